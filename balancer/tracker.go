package balancer

import (
	"math"
	"slices"
)

// backendTracker indexes the backends by state, so that finding the next backend to poll, the backends in slow
// start and the number of usable ones does not take a scan of all backends. It makes no decisions. Every change
// of a backend's state, health or polls must be followed by updateTracking.
type backendTracker struct {
	healthyQueue  pollQueue // backends without failures since their last answer
	failedQueue   pollQueue // backends that have not answered since their last failure
	neverPolled   []int     // backends to be polled for the first time, in order of index
	isNeverPolled []bool    // whether each backend is in neverPolled
	warming       []int     // backends in slow start, in order of index; may include some that are warm by now

	usable   int    // number of ready and healthy backends
	isUsable []bool // whether each backend is counted in usable
	listed   int    // number of backends that are not gone
	isListed []bool // whether each backend is counted in listed
}

// grow makes room for n backends.
func (t *backendTracker) grow(n int) {
	t.healthyQueue.grow(n)
	t.failedQueue.grow(n)
	for len(t.isNeverPolled) < n {
		t.isNeverPolled = append(t.isNeverPolled, false)
		t.isUsable = append(t.isUsable, false)
		t.isListed = append(t.isListed, false)
	}
}

// updateTracking updates the tracker after a change of the backend's state, health or polls.
func (b *Balancer) updateTracking(backend int) {
	t := &b.tracker
	isReady := b.states[backend] == Ready
	updateCount(isReady && b.outliers.isHealthy(backend), &t.isUsable[backend], &t.usable)
	updateCount(b.states[backend] != Gone, &t.isListed[backend], &t.listed)

	canPoll := isReady && math.IsNaN(b.poller.polls.sentAt[backend])
	isFirst := canPoll && math.IsInf(b.poller.polls.latestAt[backend], -1)
	t.setNeverPolled(backend, isFirst)

	queue, other := &t.healthyQueue, &t.failedQueue
	if b.outliers.consecutiveFailures[backend] > 0 {
		queue, other = other, queue
	}
	other.remove(backend)
	if canPoll && !isFirst {
		queue.set(backend, b.nextPollAt(backend, pollInterval))
	} else {
		queue.remove(backend)
	}
}

// updateCount updates the count of backends that have a property, if one has gained or lost it.
func updateCount(has bool, had *bool, count *int) {
	if has == *had {
		return
	}
	*had = has
	if has {
		*count++
	} else {
		*count--
	}
}

// setNeverPolled adds the backend to neverPolled or removes it.
func (t *backendTracker) setNeverPolled(backend int, isNever bool) {
	if isNever == t.isNeverPolled[backend] {
		return
	}
	t.isNeverPolled[backend] = isNever
	i, found := slices.BinarySearch(t.neverPolled, backend)
	switch {
	case isNever:
		t.neverPolled = slices.Insert(t.neverPolled, i, backend)
	case found:
		t.neverPolled = slices.Delete(t.neverPolled, i, i+1)
	}
}

// Counts returns the number of backends on the endpoint list, including draining ones, and the number of those
// that get no new sessions now, because they are draining or don't answer.
func (b *Balancer) Counts() (listed, excluded int) {
	return b.tracker.listed, b.tracker.listed - b.tracker.usable
}

// startSlowStart begins the backend's slow start as of the given time.
func (b *Balancer) startSlowStart(backend int, startedAt float64) {
	b.slowStart.startedAt[backend] = startedAt
	if i, found := slices.BinarySearch(b.tracker.warming, backend); !found {
		b.tracker.warming = slices.Insert(b.tracker.warming, i, backend)
	}
}

// warmingBackends returns the backends in slow start, in order of index. The slice is valid until the next call.
func (b *Balancer) warmingBackends(now float64) []int {
	b.tracker.warming = slices.DeleteFunc(b.tracker.warming, func(backend int) bool {
		return b.slowStart.capacityShare(backend, now) >= 1
	})
	return b.tracker.warming
}

// WarmingUp returns how many of the usable backends are in slow start, and the number of usable backends.
func (b *Balancer) WarmingUp(now float64) (warming, usable int) {
	for _, backend := range b.warmingBackends(now) {
		if b.states[backend] == Ready && b.outliers.isHealthy(backend) {
			warming++
		}
	}
	return warming, b.tracker.usable
}
