package balancer

import (
	"math"
	"slices"
)

// loadDecay is the share of the way down to a lower reported load that the kept load moves per poll interval.
const loadDecay = 0.3

// loadFields lists the report fields that a load can be read from, in order of preference. The first
// absoluteFields of them are shares of a capacity.
var loadFields = [...]string{"x0", "cpu", "active", "rps", "waiting", "x1", "avg_ms"}

const absoluteFields = 2

// noLoadField is the index of the field if no load can be read from a report.
const noLoadField = math.MaxInt

// defaultMaxReportAge is the highest age of a report, in milliseconds, that is assumed until one is set.
const defaultMaxReportAge = 1500.0

// loadReports holds the loads that backends have reported.
type loadReports struct {
	field           int     // index of the report field that the load is read from
	hasAbsoluteLoad bool    // loads are shares of a capacity, so that fixed limits apply to them
	maxAge          float64 // highest age of the load in a report that arrives, in milliseconds

	loads      []float64 // smoothed load by backend; NaN: unknown
	receivedAt []float64 // time of the latest report by backend; -Inf: never
}

// newLoadReports returns loadReports without backends. It chooses the field that loads are read from.
func newLoadReports(fields []string) loadReports {
	for rank, name := range loadFields {
		if i := slices.Index(fields, name); i >= 0 {
			return loadReports{field: i, hasAbsoluteLoad: rank < absoluteFields, maxAge: defaultMaxReportAge}
		}
	}
	return loadReports{field: noLoadField, maxAge: defaultMaxReportAge}
}

// canRead reports whether a load can be read from a report.
func (r *loadReports) canRead() bool { return r.field != noLoadField }

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

// LoadReported records a load report, even if it arrives late.
func (b *Balancer) LoadReported(now float64, id uint32, report []float64) {
	backend, known := b.indexByID[id]
	if !known {
		return
	}
	load := b.poller.reports.read(report, b.weights[backend])
	if !math.IsNaN(load) {
		b.resolveAwaitedReport(backend, now, load)
		b.poller.reports.setLoad(backend, now, load)
	}
	b.poller.unreported.dropReported(backend, now-b.poller.reports.maxAge)
	b.roundRobin.stale = true
}

// read returns the load in a report: the value of x0 or of the field chosen in its place, divided by the backend's
// weight unless it is a share of a capacity. It returns NaN if the load is absent, negative, infinite or not a
// number.
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

// setLoad sets a reported load, smoothed when it falls: a session stays on its backend for life, so the peaks of
// a varying load matter.
func (r *loadReports) setLoad(backend int, now, load float64) {
	if load < r.loads[backend] {
		reports := (now - r.receivedAt[backend]) / pollInterval
		load += (r.loads[backend] - load) * math.Pow(1-loadDecay, reports)
	}
	r.loads[backend] = load
	r.receivedAt[backend] = now
}
