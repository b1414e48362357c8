package admission

import "math"

const (
	minOfferedShare = 0.25 // least share of the saved budget offered to a session for its priority weight, however low
	// priorityWindow is the time constant of the mean priority weight, and the time for which newcomers are offered
	// less after a client came back at the time it was given, in milliseconds.
	priorityWindow = 500.0
	newcomerShare  = 0.5 // factor on the share of clients without a reservation, while others come back on time
)

// priority decides which sessions that ask for a backend in slow start go first.
type priority struct {
	meanWeight   float64 // mean priority weight of the sessions that asked recently
	meanWeightAt float64 // when meanWeight was last updated
	lastOnTimeAt float64 // when a client last came back at the time it was given
}

// offeredShare returns the share of the saved budget that a session of the given weight is offered. If isOnTime, its
// client comes back at the time it was given.
func (p *priority) offeredShare(weight, now float64, isOnTime bool) float64 {
	decay := math.Exp((p.meanWeightAt - now) / priorityWindow)
	p.meanWeight = p.meanWeight*decay + weight*(1-decay)
	p.meanWeightAt = now
	share := max(min(weight/p.meanWeight, 1), minOfferedShare)
	switch {
	case isOnTime:
		p.lastOnTimeAt = now
	case now < p.lastOnTimeAt+priorityWindow:
		share *= newcomerShare
	}
	return share
}
