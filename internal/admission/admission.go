// Package admission decides how much one relay sends to backends in slow start after a full outage of the fleet,
// and which clients go first: then all backends warm up, all relays are young and all clients are there at once.
// The paper has no such case: its buckets follow polled load (section IV-B), which says nothing of backends that
// nobody has used yet.
//
// The balancer asks a Controller, which knows no backend and no session. It changes nothing until the balancer
// has set the capacity learnt before, or that the fleet recovers. Times are milliseconds of the relay's clock.
package admission

import "math"

const (
	// maxMeanShare is of what all backends in slow start bear within a span, that all relays together aim to send.
	maxMeanShare = 0.45
	// deviationRoots is how many roots of the mean the load may come to above it: three standard deviations, of
	// sessions whose loads spread like their mean.
	deviationRoots = 4.25
	// maxEvenShares is how many even shares one relay ever takes, whatever the others say.
	maxEvenShares = 1.6
	// maxSavedShare is of a span, for which a budget that was not used is saved.
	maxSavedShare = 0.25
	// keptCapacityWeight is how many sessions of its own a relay takes to trust them as much as the capacity that
	// was kept.
	keptCapacityWeight = 20.0
)

// Controller is the admission control of one relay. Nil and the zero value change nothing. It is not safe for
// concurrent use.
type Controller struct {
	capacity      float64 // of a backend, as it was kept; 0: not known
	recovering    bool    // the fleet recovers from a full outage
	capacityShare float64 // of the budget of backends in slow start, that is this relay's

	priority     priority
	reservations reservations
}

// New returns a controller that knows nothing yet.
func New() *Controller {
	return &Controller{priority: priority{meanGainAt: math.Inf(-1), promptAt: math.Inf(-1)}}
}

// SetCapacity sets the capacity of a backend as it was kept from before the start.
func (c *Controller) SetCapacity(capacity float64) { c.capacity = capacity }

// Capacity returns the capacity that was set, to be kept for the next life; 0: there is none.
func (c *Controller) Capacity() float64 {
	if c == nil {
		return 0
	}
	return c.capacity
}

// SetRecovering sets whether the fleet recovers, and which share of what backends in slow start bear is this
// relay's, by how many relays there are and how many clients each rejects; 0: an even one. Whatever others say, it
// is never more than 1.6 even shares: so all relays together, with what each has saved, stay under nine tenths of
// what backends bear within any span.
func (c *Controller) SetRecovering(recovering bool, share, relays float64) {
	c.recovering = recovering
	c.capacityShare = 1 / relays
	if share > 0 {
		c.capacityShare = min(share, maxEvenShares/relays)
	}
}

// isRecovering tells whether the fleet recovers. It may be called on nil, as all that follow.
func (c *Controller) isRecovering() bool { return c != nil && c.recovering }

// isBudgeted tells whether backends in slow start get this package's budget: the fleet recovers, and it is known
// what a backend bears.
func (c *Controller) isBudgeted() bool { return c.isRecovering() && c.capacity > 0 }

// EstimateCapacity returns a backend's capacity, by what this relay has measured of so many sessions, and by what
// was kept as far as those are few.
func (c *Controller) EstimateCapacity(measured, sessions float64) float64 {
	if c == nil || c.capacity == 0 {
		return measured
	}
	return (measured*sessions + c.capacity*keptCapacityWeight) / (sessions + keptCapacityWeight)
}

// SlowStartBudget returns this relay's budget for backends in slow start, in sessions of the mean load for each
// millisecond and backend's capacity.
//
// A backend's capacity is that many sessions. It starts with the part from of it, and falls over at that multiple
// of its present capacity within the span. Usual is the budget that fills backends over their warm-up, as they
// warm up beside others; it is returned unless the fleet recovers, half of the usable backends warm up, and it is
// known what one bears. Then there is no warm backend that could serve meanwhile, and the budget is a share of
// what those that warm up bear within the span.
func (c *Controller) SlowStartBudget(sessions, multiple, from, span, usual, warmingUp, usable float64) float64 {
	if !c.isBudgeted() || 2*warmingUp <= usable {
		return usual
	}
	return recoveryShare(multiple*sessions*from) * multiple * sessions / span * c.capacityShare
}

// recoveryShare returns the share of what backends in slow start bear within a span, of so many sessions for one
// of them, that all relays together aim to send. Sessions come to a backend by chance and differ in load: the
// fewer it bears, the further under that the mean has to lie.
func recoveryShare(bearable float64) float64 {
	root := (math.Sqrt(deviationRoots*deviationRoots+4*bearable) - deviationRoots) / 2
	return min(root*root/max(bearable, 1), maxMeanShare)
}

// ShouldRedraw tells whether queued sessions ask for a backend in slow start anew each time.
func (c *Controller) ShouldRedraw() bool { return c.isBudgeted() }

// OfferedShare returns the share of the budget saved since the last request that a session of that priority weight
// is offered. The rest is left to the next. Those of the highest weight go first, and clients that come back at the
// time they were told.
func (c *Controller) OfferedShare(weight float64, key uint64, now float64) float64 {
	if !c.isRecovering() {
		return 1
	}
	return c.priority.offeredShare(weight, now, c.reservations.isDue(key, now))
}

// SavedTimeLimit returns for how much of the time since the last request the budget is saved, of the span in which
// a backend falls over.
func (c *Controller) SavedTimeLimit(span, usual float64) float64 {
	if c.isBudgeted() {
		return maxSavedShare * span
	}
	return usual
}

// UnusedTime returns what a session leaves to the next of the time since the last request: what it was not offered,
// and what it did not need, as one session is never more than one.
func (c *Controller) UnusedTime(since, offered, due float64) float64 {
	if !c.isRecovering() {
		return 0
	}
	return since - offered/max(due, 1)
}
