package balancer

import "math"

// AssumeEndpoints marks the backends of the latest update as read from a cached list. As it is not known which of
// them have restarted since, each is treated as just started until confirmStart: a backend in slow start must
// not be taken for a warm one.
func (b *Balancer) AssumeEndpoints(now float64) {
	if b.assumedStarts == nil {
		b.assumedStarts = map[int]bool{}
	}
	for backend, mentioned := range b.update.mentioned {
		if mentioned {
			b.assumedStarts[backend] = true
			b.startedAt[backend] = now
			b.startSlowStart(backend, now)
		}
	}
}

// confirmStart replaces an assumed start time with the one from discovery.
func (b *Balancer) confirmStart(backend int, startedAt float64) {
	if !b.assumedStarts[backend] {
		return
	}
	delete(b.assumedStarts, backend)
	b.startedAt[backend] = startedAt
	b.slowStart.startedAt[backend] = math.Inf(-1)
	if startedAt > 0 {
		b.startSlowStart(backend, startedAt)
	}
	b.updateTracking(backend)
}

// ShiftStartTimes adds that many milliseconds to all start times from discovery, whose clock differs from this
// relay's. The times of restarts that this relay observed itself are on its own clock and stay unchanged.
func (b *Balancer) ShiftStartTimes(by float64) {
	for backend, startedAt := range b.startedAt {
		if startedAt == 0 || b.assumedStarts[backend] {
			continue
		}
		b.startedAt[backend] = startedAt + by
		observed := b.slowStart.startedAt[backend]
		if !(observed > startedAt) { // otherwise this relay has observed a later restart
			observed = math.Inf(-1)
		}
		b.startSlowStart(backend, max(observed, b.startedAt[backend]))
		b.updateTracking(backend)
	}
}
