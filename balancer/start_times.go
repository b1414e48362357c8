package balancer

import "math"

// AssumeEndpoints takes that the backends of the latest update are from a cached list: whether one has
// restarted since, nobody has told yet, so that each is taken to have started now. Against backends in
// slow start taken for warm.
func (b *Balancer) AssumeEndpoints(now float64) {
	if b.assumedStarts == nil {
		b.assumedStarts = map[int]bool{}
	}
	for backend, mentioned := range b.inUpdate {
		if mentioned {
			b.assumedStarts[backend] = true
			b.startedAt[backend] = now
			b.startSlowStart(backend, now)
		}
	}
}

// confirmStart takes discovery's word on when a backend started, where that was only assumed.
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

// ShiftStartTimes takes that all start times that were told are later by that many milliseconds on this
// relay's clock, which is off. What it saw of restarts itself is by its own clock and stays.
func (b *Balancer) ShiftStartTimes(by float64) {
	for backend, startedAt := range b.startedAt {
		if startedAt == 0 || b.assumedStarts[backend] {
			continue
		}
		b.startedAt[backend] = startedAt + by
		observed := b.slowStart.startedAt[backend]
		if !(observed > startedAt) { // else it was seen to have restarted since
			observed = math.Inf(-1)
		}
		b.startSlowStart(backend, max(observed, b.startedAt[backend]))
		b.updateTracking(backend)
	}
}
