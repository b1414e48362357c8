package relay

import (
	"container/heap"
	"math"
)

// timer calls fire once when its time has come. The zero value is a timer that is not set.
type timer struct {
	at       float64 // Unix milliseconds
	position int     // in the heap, from 1; 0: not set
	fire     func()
}

func (t *timer) isSet() bool { return t.position > 0 }

// timerHeap orders timers by their times, for container/heap.
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

// timerQueue holds all timers that are set, and knows for when the process was asked to wake the state machine.
type timerQueue struct {
	heap   timerHeap
	setFor float64 // time of the last SetTimer that has not fired; +Inf: none
}

func newTimerQueue() timerQueue { return timerQueue{setFor: math.Inf(1)} }

// set has the timer fire at that time, Unix milliseconds, in place of any earlier setting.
func (q *timerQueue) set(t *timer, at float64) {
	t.at = at
	if t.isSet() {
		heap.Fix(&q.heap, t.position-1)
	} else {
		heap.Push(&q.heap, t)
	}
}

// postpone has the timer, where it is set, not fire before that time.
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

// wakeAt tells whether the process is to be asked to wake the state machine at that time: it does not do so sooner anyway.
func (q *timerQueue) wakeAt(at float64) bool {
	if at >= q.setFor {
		return false
	}
	q.setFor = at
	return true
}

// woken says that the time of the last SetTimer has come.
func (q *timerQueue) woken() { q.setFor = math.Inf(1) }

// next is when the first timer fires; +Inf: there is none.
func (q *timerQueue) next() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].at
}

// fireDue calls what is due by now, in the order of its times. What it calls may set and stop timers.
func (q *timerQueue) fireDue(now float64) {
	for q.next() <= now {
		heap.Pop(&q.heap).(*timer).fire()
	}
}
