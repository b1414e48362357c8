package balancer

const (
	drainSpread         = 3000.0 // over which the sessions of a draining backend leave it
	shutdownDrainSpread = 1500.0 // over which all sessions leave, at the end of a shutdown
)

// DrainDelay returns after how many milliseconds the nth of so many sessions, from 0, is to leave its
// backend. Within is the time left until this relay shuts down; 0 means that the backend drains. Sessions
// leave one after the other, as the clients of a whole backend that return within one report interval would
// be assigned by a single late report. Where there are other relays each session's time has jitter, since
// with one session each all relays would move theirs at the same moment. A shutdown uses the end of its time,
// as a relay that was stopped before may not be back yet, or all of it where another process of this relay
// takes the sessions over at once.
func (b *Balancer) DrainDelay(nth, of int, within float64) float64 {
	isShutdown := within > 0
	spread := drainSpread
	switch {
	case isShutdown && b.attempts.draining:
		spread = min(within, drainSpread)
	case isShutdown && b.quotas.relays < 2:
		return within // nobody else takes them
	case isShutdown:
		spread = min(within, shutdownDrainSpread)
	}
	jitter := b.rng.Float64() * (1 - 1/b.quotas.relays)
	return max(within-spread, 0) + spread*(float64(nth)+jitter)/float64(of)
}

// SetDraining sets whether another process of this relay has taken over. A draining process assigns nothing
// to backends in slow start and begins no retries where there is a retry budget, so that the two processes do
// not spend each budget twice.
func (b *Balancer) SetDraining(draining bool) { b.attempts.draining = draining }
