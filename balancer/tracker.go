package balancer

import (
	"math"
	"slices"
)

// backendTracker keeps what would else need a look at every backend: which is to be polled next, which warm
// up, how many can be used. It decides nothing. Each change of a backend's state that it rests on is followed
// by updateTracking.
type backendTracker struct {
	healthyQueue  pollQueue // backends that answered their last poll
	failedQueue   pollQueue // backends that did not
	neverPolled   []int     // backends to be polled for the first time, in order of index
	isNeverPolled []bool    // by backend
	warming       []int     // backends in slow start, in order of index; some may be warm by now

	usable   int // number of ready and healthy backends
	isUsable []bool
	listed   int // number of backends that are not gone
	isListed []bool
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
	countIf(isReady && b.outliers.isHealthy(backend), &t.isUsable[backend], &t.usable)
	countIf(b.states[backend] != Gone, &t.isListed[backend], &t.listed)

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

// countIf keeps a count of the backends that have a property.
func countIf(has bool, had *bool, count *int) {
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

// setNeverPolled adds the backend to neverPolled, or takes it out.
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

// Counts returns how many backends the endpoint list has, draining ones included, and how many of them no new
// session is assigned to now, as they drain or don't answer.
func (b *Balancer) Counts() (listed, avoided int) {
	return b.tracker.listed, b.tracker.listed - b.tracker.usable
}

// startSlowStart records that the backend started at the given time.
func (b *Balancer) startSlowStart(backend int, startedAt float64) {
	b.slowStart.startedAt[backend] = startedAt
	if i, found := slices.BinarySearch(b.tracker.warming, backend); !found {
		b.tracker.warming = slices.Insert(b.tracker.warming, i, backend)
	}
}

// warmingBackends returns the backends that warm up, in order. The slice is good until the next call.
func (b *Balancer) warmingBackends(now float64) []int {
	b.tracker.warming = slices.DeleteFunc(b.tracker.warming, func(backend int) bool {
		return b.slowStart.capacityShare(backend, now) >= 1
	})
	return b.tracker.warming
}

// WarmingUp counts the backends that sessions are assigned to, and those of them that warm up.
func (b *Balancer) WarmingUp(now float64) (warming, usable int) {
	for _, backend := range b.warmingBackends(now) {
		if b.states[backend] == Ready && b.outliers.isHealthy(backend) {
			warming++
		}
	}
	return warming, b.tracker.usable
}
