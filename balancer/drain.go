package balancer

const (
	drainSpread         = 3000.0 // milliseconds over which the sessions of a draining backend leave it
	shutdownDrainSpread = 1500.0 // milliseconds at the end of a shutdown over which all sessions leave the relay
)

// BackendDrainDelay returns the milliseconds after which the session with that index, from 0, out of count
// sessions is to leave a draining backend. Sessions leave one after the other over drainSpread. If all clients of
// a backend returned within one report interval, they would all be assigned by the same outdated load reports.
func (b *Balancer) BackendDrainDelay(index, count int) float64 {
	return b.drainDelay(index, count, drainSpread)
}

// ShutdownDrainDelay returns the milliseconds after which the session with that index, from 0, out of count
// sessions is to leave this relay, which shuts down within timeLeft milliseconds. Sessions leave one after the
// other:
//   - in general over the last shutdownDrainSpread, as a relay that was stopped before this one may not be back
//     until then;
//   - over the last drainSpread, if another process of this relay takes the sessions over at once;
//   - all at the end, if this is the only relay, as no other can take them;
//   - as from a draining backend, if no time is left.
func (b *Balancer) ShutdownDrainDelay(index, count int, timeLeft float64) float64 {
	if timeLeft <= 0 {
		return b.BackendDrainDelay(index, count)
	}
	spread := min(timeLeft, shutdownDrainSpread)
	if b.attempts.draining {
		spread = min(timeLeft, drainSpread)
	} else if b.quotas.relays < 2 {
		return timeLeft
	}
	return max(timeLeft-spread, 0) + b.drainDelay(index, count, spread)
}

// drainDelay returns the milliseconds after which the session with that index, from 0, leaves, if count sessions
// leave evenly over the spread. If there are other relays it adds jitter, as relays with one session each would
// otherwise all move theirs at the same moment.
func (b *Balancer) drainDelay(index, count int, spread float64) float64 {
	jitter := b.rng.Float64() * (1 - 1/b.quotas.relays)
	return spread * (float64(index) + jitter) / float64(count)
}

// SetDraining sets whether another process of this relay has taken over. A draining process assigns no
// sessions to backends in slow start, and starts no retries if there is a retry budget, because the two
// processes would otherwise spend each budget twice.
func (b *Balancer) SetDraining(draining bool) { b.attempts.draining = draining }
