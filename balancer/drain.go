package balancer

const (
	drainSpread         = 3000.0 // over which the sessions of a draining backend leave it
	shutdownDrainSpread = 1500.0 // over which all sessions leave, at the end of a shutdown
)

// BackendDrainDelay returns after how many milliseconds the nth of so many sessions, from 0, is to leave a
// backend that drains. They leave one after the other, over drainSpread: the clients of a whole backend, if
// they returned within one report interval, would be assigned by a single late report.
func (b *Balancer) BackendDrainDelay(nth, total int) float64 {
	return b.drainDelay(nth, total, drainSpread)
}

// ShutdownDrainDelay returns after how many milliseconds the nth of so many sessions, from 0, is to leave this
// relay, which shuts down within so many milliseconds. Sessions leave one after the other,
//   - over the end of that time, as a relay that was stopped before may not be back yet;
//   - over all of it, up to drainSpread, if another process of this relay takes the sessions over at once;
//   - all at its end, if this is the only relay, as nobody else takes them;
//   - as from a backend that drains, if no time is left.
func (b *Balancer) ShutdownDrainDelay(nth, total int, timeLeft float64) float64 {
	if timeLeft <= 0 {
		return b.BackendDrainDelay(nth, total)
	}
	spread := min(timeLeft, shutdownDrainSpread)
	if b.attempts.draining {
		spread = min(timeLeft, drainSpread)
	} else if b.quotas.relays < 2 {
		return timeLeft
	}
	return max(timeLeft-spread, 0) + b.drainDelay(nth, total, spread)
}

// drainDelay returns the time of the nth of so many sessions that leave within the spread. Where there are other
// relays it has jitter, since with one session each all relays would move theirs at the same moment.
func (b *Balancer) drainDelay(nth, total int, spread float64) float64 {
	jitter := b.rng.Float64() * (1 - 1/b.quotas.relays)
	return spread * (float64(nth) + jitter) / float64(total)
}

// SetDraining sets whether another process of this relay has taken over. A draining process assigns nothing
// to backends in slow start and begins no retries where there is a retry budget, so that the two processes do
// not spend each budget twice.
func (b *Balancer) SetDraining(draining bool) { b.attempts.draining = draining }
