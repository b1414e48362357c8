package balancer

import "math"

// maxEstimateGrowth bounds the capacity that one incarnation hands on, as a multiple of the one it was
// started with.
const maxEstimateGrowth = 1.25

// Estimates is what a relay knows of backends and sessions in general, not of any one: a hint to a relay that
// has just come back.
type Estimates struct {
	Capacity        float64   `json:"Capacity"` // of a backend, in session load; 0: unknown
	MeanSessionLoad float64   `json:"LoadMean"`
	ClassLoads      []float64 `json:"Loads"`   // mean session load, by class
	ClassSamples    []float64 `json:"Weighed"` // sessions that those rest on

	OwnLoad      float64 `json:"Own"`     // of this relay on warm backends, as far as reports include it
	ReportedLoad float64 `json:"Figures"` // of those backends, summed
}

// Estimates returns what this relay has learnt, for its next incarnation and for others. With too few
// sessions for an estimate of its own, or while the fleet recovers, it hands on the capacity it was started
// with, and later at most a quarter more. In the first seconds reports include few of the sessions assigned,
// so estimates are too high; without the bound they would grow from one incarnation to the next while power
// is lost over and over.
func (b *Balancer) Estimates() Estimates {
	estimates := Estimates{
		Capacity:        b.capacityToHandOn(),
		MeanSessionLoad: b.quotas.meanSessionLoad,
		ClassLoads:      append([]float64{}, b.quotas.classLoads...),
		ClassSamples:    append([]float64{}, b.quotas.classSamples...),
	}
	for backend, state := range b.states {
		isWarm := b.slowStart.startedAt[backend]+b.slowStart.Duration <= b.roundRobin.builtAt
		load := b.poller.reports.loads[backend]
		if state == Ready && isWarm && b.outliers.isHealthy(backend) && !math.IsNaN(load) {
			estimates.OwnLoad += max(b.usage.loads[backend]-b.poller.unreported.byBackend[backend], 0)
			estimates.ReportedLoad += load
		}
	}
	return estimates
}

// capacityToHandOn returns the capacity of a backend for Estimates.
func (b *Balancer) capacityToHandOn() float64 {
	told := b.admission.Capacity()
	samples := b.quotas.loadSamples
	switch {
	case samples < confidentSessions:
		return told
	case told > 0 && (samples < 2*confidentSessions || b.admission.ShouldRedraw()):
		return told
	case told > 0:
		return min(b.fleet.capacity, maxEstimateGrowth*told)
	default:
		return b.fleet.capacity
	}
}

// RestoreEstimates uses what was learnt before this start, here or at another relay, and reports whether it
// did: what this incarnation has learnt itself takes precedence, and invalid estimates are refused.
func (b *Balancer) RestoreEstimates(estimates Estimates) bool {
	quotas := b.quotas
	if quotas.loadSamples >= confidentSessions || !estimates.areValid(len(quotas.classes)) {
		return false
	}
	b.admissionControl().SetCapacity(estimates.Capacity)
	copy(quotas.classLoads, estimates.ClassLoads)
	for class, samples := range estimates.ClassSamples {
		quotas.classSamples[class] = min(samples, maxClassSamples)
	}
	quotas.meanSessionLoad = estimates.MeanSessionLoad
	quotas.loadSamples = confidentSessions
	b.roundRobin.invalidate()
	return true
}

// areValid reports whether the estimates can be true, for that many classes.
func (e *Estimates) areValid(classes int) bool {
	if !isPositive(e.Capacity) || !isPositive(e.MeanSessionLoad) {
		return false
	}
	if len(e.ClassLoads) != classes || len(e.ClassSamples) != classes {
		return false
	}
	for class := range e.ClassLoads {
		load := e.ClassLoads[class]
		if !(load >= 0) || math.IsInf(load, 1) || !(e.ClassSamples[class] >= 0) {
			return false
		}
	}
	return true
}

// isPositive reports whether the figure is a finite number above 0.
func isPositive(figure float64) bool { return figure > 0 && !math.IsInf(figure, 1) }
