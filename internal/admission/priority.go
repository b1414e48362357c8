package admission

import "math"

const (
	minOfferedShare = 0.25  // of the lowest priority weight
	gainWindow      = 500.0 // over which the mean weight is taken, and clients that came in time are remembered
	newcomerShare   = 0.5   // of those without a reservation, while others come at the time they were told
)

// priority orders sessions that ask for a backend in slow start.
type priority struct {
	meanGain   float64 // mean priority weight of those that asked of late
	meanGainAt float64
	promptAt   float64 // when the last client came back at the time it was told
}

// offeredShare returns which share of the budget a session of that weight is offered. IsPrompt: its client comes
// back at the time it was told.
func (p *priority) offeredShare(weight, now float64, isPrompt bool) float64 {
	fade := math.Exp((p.meanGainAt - now) / gainWindow)
	p.meanGain = p.meanGain*fade + weight*(1-fade)
	p.meanGainAt = now
	share := max(min(weight/p.meanGain, 1), minOfferedShare)
	switch {
	case isPrompt:
		p.promptAt = now
	case now < p.promptAt+gainWindow:
		share *= newcomerShare
	}
	return share
}
