package balancer

import (
	"math"
	"slices"
)

// loadDecay is how far down to a lower report a load moves in the time of one report.
const loadDecay = 0.3

// loadFields are the names of report fields that a load can be read from, the best first. The first
// absoluteFields of them are shares of a capacity.
var loadFields = [...]string{"x0", "cpu", "active", "rps", "waiting", "x1", "avg_ms"}

const absoluteFields = 2

// selectField chooses the report field that loads are read from.
func (p *LoadPoller) selectField(fields []string) {
	p.reportField = math.MaxInt // no report has it
	for rank, name := range loadFields {
		if i := slices.Index(fields, name); i >= 0 {
			p.reportField = i
			p.hasAbsoluteLoad = rank < absoluteFields
			return
		}
	}
}

// LoadReported records a load report, however late it is.
func (b *Balancer) LoadReported(now float64, id uint32, report []float64) {
	backend, known := b.indexByID[id]
	if !known {
		return
	}
	load := b.poller.loadFromReport(report, b.weights[backend])
	if !math.IsNaN(load) {
		b.judgeReport(backend, now, load)
		b.poller.setLoad(backend, now, load)
	}
	b.poller.dropReported(backend, now-b.poller.maxReportAge)
	b.roundRobin.stale = true
}

// loadFromReport reads a report's load: x0, or a stand-in, divided by the backend's weight if that is no
// absolute figure. A load that is negative or no number is NaN.
func (p *LoadPoller) loadFromReport(report []float64, weight float64) float64 {
	if p.reportField >= len(report) {
		return math.NaN()
	}
	load := report[p.reportField]
	if !(load >= 0) || math.IsInf(load, 1) {
		return math.NaN()
	}
	if p.hasAbsoluteLoad || weight <= 0 {
		return load
	}
	return load / weight
}

// setLoad sets a reported load, smoothed when it falls: a session stays for life, so the peaks of a varying
// load count.
func (p *LoadPoller) setLoad(backend int, now, load float64) {
	if load < p.loads[backend] {
		reports := (now - p.reportedAt[backend]) / pollInterval
		load += (p.loads[backend] - load) * math.Pow(1-loadDecay, reports)
	}
	p.loads[backend] = load
	p.reportedAt[backend] = now
}
