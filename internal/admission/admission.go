// Package admission decides how much one relay sends to cold servers after the whole fleet lost power, and whom
// it lets go first: all servers are cold then, all relays young, all clients there at once. The paper has no
// such case: its buckets follow probed load (section IV-B), which says nothing of servers that nobody has
// used yet. It is asked by the decision module, knows no server and no link, and is silent until the module
// is told what was learnt before, or that the fleet recovers. Times are milliseconds.
package admission

import "math"

const (
	maxMeanShare        = 0.45  // of what all cold servers bear within a span, that all relays together mean to send
	deviationRoots      = 4.25  // roots of the mean above it: three deviations, of weights that spread like their mean
	maxEvenShares       = 1.6   // even parts, that one relay ever takes of that
	maxSavedShare       = 0.25  // of a span, for which what was not used is saved up
	minOfferedShare     = 0.25  // of the chance of dear links, that the cheapest have
	gainWindow          = 500.0 // over which the gain of those that wait is averaged
	reservationEarly    = 300.0 // around the time that a client was told, within which it keeps to it
	reservationLate     = 700.0
	newcomerShare       = 0.5 // of the chance, that who was told no time has while others come at theirs
	reservationRotation = 10000.0
	maxReservations     = 1 << 16 // clients, in each half of the memory of those told
	keptCapacityWeight  = 20.0    // links of its own, from which a relay trusts them as much as what was kept
)

// Controller is one relay's. The zero one, and none, change nothing.
type Controller struct {
	capacity      float64 // of a server, by what was kept; 0: nothing
	recovering    bool
	capacityShare float64 // this relay's, of the budget of cold servers
	meanGain      float64 // mean of the links that asked for a cold server of late
	meanGainAt    float64
	promptAt      float64 // when the last client came at the time it was told

	recent, older map[uint64]float64 // when clients were told to come again, by key
	rotatedAt     float64
}

// New starts with nothing known.
func New() *Controller { return &Controller{meanGainAt: math.Inf(-1), promptAt: math.Inf(-1)} }

// SetCapacity takes what a server bears by what was kept.
func (a *Controller) SetCapacity(capacity float64) { a.capacity = capacity }

// Capacity is that, for the next life; 0 where there is none.
func (a *Controller) Capacity() float64 {
	if a == nil {
		return 0
	}
	return a.capacity
}

// SetRecovering takes that the fleet recovers, or has, and which part of what cold servers bear this relay is to take,
// by how many relays there are and how many clients wait at each; 0: an even one. Whatever others say, it is
// never more than 1.6 even parts: so all relays together, with what each has saved up, stay under nine tenths
// of what servers bear within any span.
func (a *Controller) SetRecovering(on bool, part, relays float64) {
	a.recovering, a.capacityShare = on, 1/relays
	if part > 0 {
		a.capacityShare = min(part, maxEvenShares/relays)
	}
}

// EstimateCapacity is what a server bears by what this relay has seen of so many links, and by what was kept as far as
// that is little.
func (a *Controller) EstimateCapacity(seen, links float64) float64 {
	if a == nil || a.capacity == 0 {
		return seen
	}
	return (seen*links + a.capacity*keptCapacityWeight) / (links + keptCapacityWeight)
}

// SlowStartBudget is this relay's budget of cold servers for a millisecond and all of one's capacity, in links of the
// mean load, of which a server bears so many; a server falls at that multiple of its present capacity within
// the span, and starts with the part from of it; cold and usable count servers. While the fleet recovers and
// what a server bears is known, it is a part of what they bear within that span, in place of what fills them
// over their warm-up: there is no warm server beside them that could serve meanwhile.
func (a *Controller) SlowStartBudget(links, multiple, from, span, usual, cold, usable float64) float64 {
	if a != nil && a.recovering && a.capacity > 0 && 2*cold > usable {
		return recoveryShare(multiple*links*from) * multiple * links / span * a.capacityShare
	}
	return usual
}

// recoveryShare is the part of what cold servers bear within a span, of so many links for one of them, that all
// relays together mean to send. Links come to a server by chance and differ in weight, so that the fewer it
// bears, the further under that the mean has to lie.
func recoveryShare(bears float64) float64 {
	root := (math.Sqrt(deviationRoots*deviationRoots+4*bears) - deviationRoots) / 2
	return min(root*root/max(bears, 1), maxMeanShare)
}

// ShouldRedraw tells whether links that wait ask for a cold server anew each time.
func (a *Controller) ShouldRedraw() bool { return a != nil && a.recovering && a.capacity > 0 }

// OfferedShare is the part of the time since the last link asked for a cold server that one of that gain and key is
// offered; the rest is left to the next. The dearest, and those that come at the time they were told, go
// first.
func (a *Controller) OfferedShare(gain float64, key uint64, now float64) float64 {
	if a == nil || !a.recovering {
		return 1
	}
	fade := math.Exp((a.meanGainAt - now) / gainWindow)
	a.meanGain, a.meanGainAt = a.meanGain*fade+gain*(1-fade), now
	part := max(min(gain/a.meanGain, 1), minOfferedShare)
	due, told := a.findReservation(key)
	switch {
	case told && now > due-reservationEarly && now < due+reservationLate:
		a.promptAt = now
	case now < a.promptAt+gainWindow:
		part *= newcomerShare
	}
	return part
}

// SavedTimeLimit is how much of the time since the last link asked counts, of the span in which a cold server falls.
func (a *Controller) SavedTimeLimit(span, usual float64) float64 {
	if a != nil && a.recovering && a.capacity > 0 {
		return maxSavedShare * span
	}
	return usual
}

// UnusedTime is what a link leaves of that time to the next: what it was not offered, and what it did not need,
// as one link is never more than one.
func (a *Controller) UnusedTime(since, offered, due float64) float64 {
	if a == nil || !a.recovering {
		return 0
	}
	return since - offered/max(due, 1)
}

// RetryAfter is when a client of that key that is turned away is told to come again, within the longest wait: while
// the fleet recovers at times spread over its second half by the lot, against all coming in one moment.
func (a *Controller) RetryAfter(most float64, key uint64, now, lot float64) float64 {
	if a == nil || !a.recovering || most <= 0 {
		return most
	}
	wait := most * (0.5 + 0.5*lot)
	a.reserve(now, key, now+wait)
	return wait
}

func (a *Controller) reserve(now float64, key uint64, due float64) {
	if a.recent == nil || now > a.rotatedAt+reservationRotation {
		a.recent, a.older, a.rotatedAt = map[uint64]float64{}, a.recent, now
	}
	if key != 0 && len(a.recent) < maxReservations {
		a.recent[key] = due
	}
}

// DropReservation has this relay forget what a client of that key was told: others hold it, and it is claimed of them.
func (a *Controller) DropReservation(key uint64) {
	if a != nil {
		delete(a.recent, key)
		delete(a.older, key)
	}
}

func (a *Controller) findReservation(key uint64) (due float64, told bool) {
	if due, told = a.recent[key]; !told {
		due, told = a.older[key]
	}
	return due, told && key != 0
}

// Reservations gives who was told to come again when, by key, as far as that lies ahead or just behind.
func (a *Controller) Reservations(now float64, most int) map[uint64]float64 {
	all := map[uint64]float64{}
	if a == nil {
		return all
	}
	for _, half := range []map[uint64]float64{a.older, a.recent} {
		for key, due := range half {
			if now < due+reservationLate && len(all) < most {
				all[key] = due
			}
		}
	}
	return all
}

// RestoreReservations takes whom this relay told so before its start, but for times that no client could have been told.
func (a *Controller) RestoreReservations(now, longest float64, told map[uint64]float64) {
	for key, due := range told {
		if now < due+reservationLate && due < now+longest {
			a.reserve(now, key, due)
		}
	}
}
