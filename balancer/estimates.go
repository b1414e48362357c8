package balancer

import "math"

// maxEstimateGrowth limits the capacity that one incarnation passes on, as a multiple of the capacity that it
// was started with.
const maxEstimateGrowth = 1.25

// Estimates holds what a relay has learnt about backends and sessions in general, not about any single one. It
// is a hint for a relay that has just restarted.
type Estimates struct {
	Capacity        float64   `json:"Capacity"` // capacity of a backend, in session load; 0: unknown
	MeanSessionLoad float64   `json:"LoadMean"`
	ClassLoads      []float64 `json:"Loads"`   // mean session load, by class
	ClassSamples    []float64 `json:"Weighed"` // number of sessions behind each class's mean

	OwnLoad      float64 `json:"Own"`     // load of this relay's sessions on warm backends, as far as reports include it
	ReportedLoad float64 `json:"Figures"` // sum of the loads that those backends report
}

// Estimates returns what this relay has learnt, for its next incarnation and for other relays. With too few
// sessions for an estimate of its own, or while the fleet recovers, it passes on the capacity that it was started
// with, and later at most a quarter more. In the first seconds reports include few of the assigned sessions, so
// estimates are too high. Without the limit they would grow from one incarnation to the next during repeated
// power losses.
func (b *Balancer) Estimates() Estimates {
	estimates := Estimates{
		Capacity:        b.capacityForEstimates(),
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

// capacityForEstimates returns the capacity of a backend for Estimates.
func (b *Balancer) capacityForEstimates() float64 {
	restored := b.admission.Capacity()
	samples := b.quotas.loadSamples
	switch {
	case samples < confidentSessions:
		return restored
	case restored > 0 && (samples < 2*confidentSessions || b.admission.ShouldRedraw()):
		return restored
	case restored > 0:
		return min(b.fleet.capacity, maxEstimateGrowth*restored)
	default:
		return b.fleet.capacity
	}
}

// RestoreEstimates applies estimates made before this start, by this relay or another, and reports whether it
// did. What this incarnation has learnt itself takes precedence, and invalid estimates are refused.
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

// areValid reports whether the estimates have plausible values for the given number of classes.
func (e *Estimates) areValid(classes int) bool {
	if !isFinitePositive(e.Capacity) || !isFinitePositive(e.MeanSessionLoad) {
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

// isFinitePositive reports whether the value is a finite number above 0.
func isFinitePositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }
