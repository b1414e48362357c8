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

// defaultMaxReportAge is the age of a report, in milliseconds, that is assumed where none was set.
const defaultMaxReportAge = 1500.0

// loadReports is what backends have reported of their load.
type loadReports struct {
	field           int  // index of the report's field that the load is read from
	hasAbsoluteLoad bool // loads are shares of a capacity, so that fixed limits apply to them
	maxAge          float64

	loads      []float64 // by backend; NaN: unknown
	receivedAt []float64 // by backend; -Inf: never
}

// newLoadReports returns loadReports without backends, and chooses the field that loads are read from.
func newLoadReports(fields []string) loadReports {
	for rank, name := range loadFields {
		if i := slices.Index(fields, name); i >= 0 {
			return loadReports{field: i, hasAbsoluteLoad: rank < absoluteFields, maxAge: defaultMaxReportAge}
		}
	}
	return loadReports{field: math.MaxInt, maxAge: defaultMaxReportAge} // no report has that field
}

// grow adds a backend.
func (r *loadReports) grow() {
	r.loads = append(r.loads, math.NaN())
	r.receivedAt = append(r.receivedAt, math.Inf(-1))
}

// clear forgets the backend's reports.
func (r *loadReports) clear(backend int) {
	r.loads[backend] = math.NaN()
	r.receivedAt[backend] = math.Inf(-1)
}

// LoadReported records a load report, however late it is.
func (b *Balancer) LoadReported(now float64, id uint32, report []float64) {
	backend, known := b.indexByID[id]
	if !known {
		return
	}
	load := b.poller.reports.read(report, b.weights[backend])
	if !math.IsNaN(load) {
		b.judgeReport(backend, now, load)
		b.poller.reports.setLoad(backend, now, load)
	}
	b.poller.unreported.dropReported(backend, now-b.poller.reports.maxAge)
	b.roundRobin.stale = true
}

// read returns a report's load: x0, or a stand-in, divided by the backend's weight if that is no
// absolute figure. A load that is negative or no number is NaN.
func (r *loadReports) read(report []float64, weight float64) float64 {
	if r.field >= len(report) {
		return math.NaN()
	}
	load := report[r.field]
	if !(load >= 0) || math.IsInf(load, 1) {
		return math.NaN()
	}
	if r.hasAbsoluteLoad || weight <= 0 {
		return load
	}
	return load / weight
}

// setLoad sets a reported load, smoothed when it falls: a session stays for life, so the peaks of a varying
// load count.
func (r *loadReports) setLoad(backend int, now, load float64) {
	if load < r.loads[backend] {
		reports := (now - r.receivedAt[backend]) / pollInterval
		load += (r.loads[backend] - load) * math.Pow(1-loadDecay, reports)
	}
	r.loads[backend] = load
	r.receivedAt[backend] = now
}
