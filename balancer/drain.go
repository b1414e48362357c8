package balancer

const (
	drainSpread         = 3000.0 // over which sessions are moved that must leave, as their backend does
	shutdownDrainSpread = 1500.0 // and as this relay shuts down
)

// DrainDelay returns after how many milliseconds the nth of so many sessions, from 0, that must leave their
// backend is told so. Within is the time that a shutdown of this relay leaves, of which the end is used, as a
// relay stopped before may not be back yet; 0 means that the backend drains. Sessions are paced against a
// fleet whose clients all come again within one late report. Where there are other relays each has a random
// place within its part of the time, against many relays with a session each: every one is its relay's first,
// and all would leave in one moment. While another process of this relay takes sessions over at once, a
// shutdown has all its time.
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

// SetDraining takes whether another process of this relay has taken over: then this one assigns nothing to
// backends in slow start and, where there is a retry budget, begins no retries. Against two processes that
// spend one budget each.
func (b *Balancer) SetDraining(draining bool) { b.attempts.draining = draining }
