package relay

import (
	"container/heap"
	"math"
)

// timer calls fire once, when its time comes. The zero value is a timer that is not set.
type timer struct {
	at       float64 // Unix milliseconds
	position int     // place in the heap, from 1; 0: the timer is not set
	fire     func()
}

func (t *timer) isSet() bool { return t.position > 0 }

// timerHeap orders timers by time. It implements heap.Interface.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface: the earlier one comes first.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.position = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.position = 0
	return t
}

// timerQueue holds all timers that are set, and the time for which the state machine has requested TimerFired.
type timerQueue struct {
	heap     timerHeap
	nextWake float64 // Unix milliseconds of the last SetTimer, if TimerFired has not come for it; +Inf: none
}

func newTimerQueue() timerQueue { return timerQueue{nextWake: math.Inf(1)} }

// set makes the timer fire at the given time, in Unix milliseconds, and replaces any earlier setting.
func (q *timerQueue) set(t *timer, at float64) {
	t.at = at
	if t.isSet() {
		heap.Fix(&q.heap, t.position-1)
	} else {
		heap.Push(&q.heap, t)
	}
}

// postpone makes a timer that is set fire no earlier than the given time, in Unix milliseconds.
func (q *timerQueue) postpone(t *timer, until float64) {
	if t.isSet() && t.at < until {
		q.set(t, until)
	}
}

// stop keeps the timer from firing.
func (q *timerQueue) stop(t *timer) {
	if t.isSet() {
		heap.Remove(&q.heap, t.position-1)
	}
}

// needsWake reports whether a SetTimer is needed for TimerFired to come by the given time. If so, it records the SetTimer
// as issued. None is needed if one for the same or an earlier time has yet to fire.
func (q *timerQueue) needsWake(at float64) bool {
	if at >= q.nextWake {
		return false
	}
	q.nextWake = at
	return true
}

// wakeFired records that TimerFired has come for the last SetTimer.
func (q *timerQueue) wakeFired() { q.nextWake = math.Inf(1) }

// next returns when the first timer fires, in Unix milliseconds; +Inf: none is set.
func (q *timerQueue) next() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].at
}

// fireDue fires all timers that are due, in the order of their times. What they call may set and stop timers.
func (q *timerQueue) fireDue(now float64) {
	for q.next() <= now {
		heap.Pop(&q.heap).(*timer).fire()
	}
}
