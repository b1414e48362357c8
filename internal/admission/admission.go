// Package admission decides how much load one relay sends to backends in slow start after a full outage of the fleet,
// and which clients are served first. After such an outage all backends are warming up, all relays have just started
// and all clients reconnect at once. The paper doesn't cover this case: its buckets follow polled load (section IV-B),
// which says nothing about backends that no session has used yet.
//
// The balancer consults a Controller, which doesn't know individual backends or sessions. The Controller changes
// nothing until the balancer has set the capacity known from before the start, or that the fleet is recovering.
//
// A backend in slow start fails if the load that arrives within the overload span reaches its overload limit, which is
// a multiple of its present capacity. Times are milliseconds of the relay's clock.
package admission

import "math"

const (
	// maxTargetShare is the largest share of the overload limit of all backends in slow start that all relays
	// together aim to send within an overload span.
	maxTargetShare = 0.45
	// loadMarginFactor is how far the load of a backend may rise above its mean, in square roots of that mean. It
	// amounts to three standard deviations if the loads of sessions have a standard deviation as large as their mean.
	loadMarginFactor = 4.25
	// maxEvenShareMultiple is the largest share that one relay takes, as a multiple of an even share, whatever other
	// relays report.
	maxEvenShareMultiple = 1.6
	// maxSavedShare is the longest time for which unused budget is saved, as a share of the overload span.
	maxSavedShare = 0.25
	// restoredCapacityWeight is the number of sessions after which a relay trusts its own measurement of a backend's
	// capacity as much as the one restored from before its start.
	restoredCapacityWeight = 20.0
)

// Controller is the admission control of one relay. A nil Controller and the zero value change nothing. It is not
// safe for concurrent use.
type Controller struct {
	capacity      float64 // capacity of a backend as known from before the start; 0 if not known
	recovering    bool    // whether the fleet is recovering from a full outage
	capacityShare float64 // this relay's share of the budget for backends in slow start

	priority     priority
	reservations reservations
}

// New returns a Controller without a capacity, for a fleet that is not recovering.
func New() *Controller {
	return &Controller{priority: priority{meanWeightAt: math.Inf(-1), lastOnTimeAt: math.Inf(-1)}}
}

// SetCapacity sets the capacity of a backend as known from before the start.
func (c *Controller) SetCapacity(capacity float64) { c.capacity = capacity }

// Capacity returns the capacity that was set, to be stored for the relay's next start, or 0 if none was set.
func (c *Controller) Capacity() float64 {
	if c == nil {
		return 0
	}
	return c.capacity
}

// SetRecovering sets whether the fleet is recovering, this relay's share of the overload limit of backends in slow
// start, and the number of relays. The share depends on the number of relays and the clients that each rejects; 0
// means an even share. It is capped at 1.6 even shares (maxEvenShareMultiple) whatever other relays report, so that
// all relays together, including the budget that each has saved, stay below nine tenths of the backends' overload
// limit within any overload span.
func (c *Controller) SetRecovering(recovering bool, share, relays float64) {
	c.recovering = recovering
	c.capacityShare = 1 / relays
	if share > 0 {
		c.capacityShare = min(share, maxEvenShareMultiple/relays)
	}
}

// isRecovering reports whether the fleet is recovering. It may be called on a nil Controller, like all methods below.
func (c *Controller) isRecovering() bool { return c != nil && c.recovering }

// usesRecoveryBudget reports whether backends in slow start get this package's budget: the fleet is recovering and the
// capacity of a backend is known.
func (c *Controller) usesRecoveryBudget() bool { return c.isRecovering() && c.capacity > 0 }

// EstimateCapacity returns the estimated capacity of a backend. It weighs what this relay has measured over the given
// number of sessions against the capacity known from before the start, which counts less the more sessions there are.
func (c *Controller) EstimateCapacity(measured, sessions float64) float64 {
	if c == nil || c.capacity == 0 {
		return measured
	}
	return (measured*sessions + c.capacity*restoredCapacityWeight) / (sessions + restoredCapacityWeight)
}

// SlowStartBudget returns this relay's budget for backends in slow start, in sessions of the mean load per
// millisecond, for the whole capacity of one backend.
//
// A backend's full capacity is the given number of sessions. It starts with that times initial, and fails if multiple
// times its present capacity arrives within the overload span.
//
// The usual budget fills backends over their slow start while others are warm. It is returned unless the fleet is
// recovering, more than half of the usable backends are warming up and a backend's capacity is known. In that case
// there are too few warm backends to serve meanwhile, and the budget is a share of the overload limit of those in
// slow start.
func (c *Controller) SlowStartBudget(sessions, multiple, initial, span, usual, warmingUp, usable float64) float64 {
	if !c.usesRecoveryBudget() || 2*warmingUp <= usable {
		return usual
	}
	return targetShare(multiple*sessions*initial) * multiple * sessions / span * c.capacityShare
}

// targetShare returns the share of the overload limit of backends in slow start that all relays together aim to send
// within an overload span. The limit is that of one backend, in sessions. Sessions are spread over the backends by
// chance and differ in load, so the lower the limit, the further below it the mean load has to stay.
func targetShare(overloadLimit float64) float64 {
	root := (math.Sqrt(loadMarginFactor*loadMarginFactor+4*overloadLimit) - loadMarginFactor) / 2
	return min(root*root/max(overloadLimit, 1), maxTargetShare)
}

// ShouldRedraw reports whether a queued session draws a backend in slow start again at each of its assignments.
func (c *Controller) ShouldRedraw() bool { return c.usesRecoveryBudget() }

// OfferedShare returns the share of the budget saved since the last session asked for a backend in slow start that is
// offered to a session of the given priority weight. The rest is left to the sessions after it. Sessions of the
// highest weight, and clients that come back at the time they were given, go first.
func (c *Controller) OfferedShare(weight float64, key uint64, now float64) float64 {
	if !c.isRecovering() {
		return 1
	}
	return c.priority.offeredShare(weight, now, c.reservations.isDue(key, now))
}

// SavedTimeLimit returns the longest time since the last session's request for which unused budget is saved: a share
// of the overload span during recovery, and the usual limit otherwise.
func (c *Controller) SavedTimeLimit(span, usual float64) float64 {
	if c.usesRecoveryBudget() {
		return maxSavedShare * span
	}
	return usual
}

// UnusedTime returns the part of the elapsed time since the last session's request that a session leaves to the next:
// the time whose budget it was not offered, and the part of the offered time that it did not need. Due is the number
// of sessions that the offered budget would cover, of which a session uses at most one.
func (c *Controller) UnusedTime(elapsed, offered, due float64) float64 {
	if !c.isRecovering() {
		return 0
	}
	return elapsed - offered/max(due, 1)
}
