package balancer

import (
	"math"
	"slices"
)

// This file is bookkeeping that keeps questions from looking at every server: which is to be probed next,
// which are cold, how many can be used. Each change of a server's state that these rest on is followed by
// touch.

// pollQueue keeps servers in a heap by when a probe is due at the shortest time between two.
type pollQueue struct {
	heap     []int
	position []int // in the heap, from 1; 0: not there
	dueAt    []float64
}

func (w *pollQueue) grow(n int) {
	for len(w.position) < n {
		w.position, w.dueAt = append(w.position, 0), append(w.dueAt, 0)
	}
}

func (w *pollQueue) set(s int, key float64) {
	w.dueAt[s] = key
	if w.position[s] == 0 {
		w.heap = append(w.heap, s)
		w.position[s] = len(w.heap)
	}
	w.siftDown(w.siftUp(w.position[s] - 1))
}

func (w *pollQueue) remove(s int) {
	i, last := w.position[s]-1, len(w.heap)-1
	if i < 0 {
		return
	}
	w.swap(i, last)
	w.heap, w.position[s] = w.heap[:last], 0
	if i < last {
		w.siftDown(w.siftUp(i))
	}
}

func (w *pollQueue) swap(i, j int) {
	h := w.heap
	h[i], h[j] = h[j], h[i]
	w.position[h[i]], w.position[h[j]] = i+1, j+1
}

func (w *pollQueue) less(i, j int) bool { return w.dueAt[w.heap[i]] < w.dueAt[w.heap[j]] }

func (w *pollQueue) siftUp(i int) int {
	for i > 0 && w.less(i, (i-1)/2) {
		w.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

func (w *pollQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(w.heap) {
			return
		}
		if child+1 < len(w.heap) && w.less(child+1, child) {
			child++
		}
		if !w.less(child, i) {
			return
		}
		w.swap(i, child)
		i = child
	}
}

// backendTracker is what is kept of all servers.
type backendTracker struct {
	healthyQueue, failedQueue pollQueue // that answer, and that failed of late
	neverPolled               []int     // never asked, or to be asked as if never, in order
	isNeverPolled             []bool
	warming                   []int // in order; some may be warm by now
	usable                    int   // ready, and they answer
	isUsable                  []bool
	listed                    int // not gone
	isListed                  []bool
}

func (t *backendTracker) grow(n int) {
	t.healthyQueue.grow(n)
	t.failedQueue.grow(n)
	for len(t.isNeverPolled) < n {
		t.isNeverPolled, t.isUsable = append(t.isNeverPolled, false), append(t.isUsable, false)
		t.isListed = append(t.isListed, false)
	}
}

// updateTracking takes that what is known of the server has changed.
func (b *Balancer) updateTracking(s int) {
	t, p := &b.tracker, b.poller
	ready := b.states[s] == Ready
	if usable := ready && b.outliers.isHealthy(s); usable != t.isUsable[s] {
		t.isUsable[s] = usable
		if usable {
			t.usable++
		} else {
			t.usable--
		}
	}
	if listed := b.states[s] != Gone; listed != t.isListed[s] {
		t.isListed[s] = listed
		if listed {
			t.listed++
		} else {
			t.listed--
		}
	}
	wait := ready && math.IsNaN(p.pollSentAt[s])
	fresh := wait && math.IsInf(p.polledAt[s], -1)
	if fresh != t.isNeverPolled[s] {
		t.isNeverPolled[s] = fresh
		if i, at := slices.BinarySearch(t.neverPolled, s); fresh {
			t.neverPolled = slices.Insert(t.neverPolled, i, s)
		} else if at {
			t.neverPolled = slices.Delete(t.neverPolled, i, i+1)
		}
	}
	in, out := &t.healthyQueue, &t.failedQueue
	if b.outliers.consecutiveFailures[s] > 0 {
		in, out = out, in
	}
	out.remove(s)
	if wait && !fresh {
		in.set(s, b.nextPollAt(s, pollInterval))
	} else {
		in.remove(s)
	}
}

// startSlowStart takes that the server has started cold at that time.
func (b *Balancer) startSlowStart(s int, since float64) {
	b.slowStart.startedAt[s] = since
	if i, there := slices.BinarySearch(b.tracker.warming, s); !there {
		b.tracker.warming = slices.Insert(b.tracker.warming, i, s)
	}
}

// warmingBackends are the servers that are cold, in order.
func (b *Balancer) warmingBackends(now float64) []int {
	b.tracker.warming = slices.DeleteFunc(b.tracker.warming, func(s int) bool { return b.slowStart.capacityShare(s, now) >= 1 })
	return b.tracker.warming
}

// pollSearch is one look for the server that is to be probed now, the first in order, or when the next is.
type pollSearch struct {
	now, interval, share float64
	backend              int
	wait                 float64
}

// searchQueue looks among those below a place of a heap. Extra is how much later than its key a server is due at the
// least; a hundredth of a millisecond is left for rounding.
func (b *Balancer) searchQueue(w *pollQueue, i int, extra float64, l *pollSearch) {
	if i >= len(w.heap) {
		return
	}
	s := w.heap[i]
	if w.dueAt[s]+extra-0.01 > l.now+max(l.wait, 0) {
		return
	}
	if b.poller.selectionDraws[s] < l.share {
		wait := b.nextPollAt(s, l.interval) - l.now
		if l.wait = min(l.wait, wait); wait <= 0 && (l.backend < 0 || s < l.backend) {
			l.backend = s
		}
	}
	b.searchQueue(w, 2*i+1, extra, l)
	b.searchQueue(w, 2*i+2, extra, l)
}
