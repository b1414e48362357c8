package balancer

import (
	"math"
	"slices"
)

// This file is bookkeeping that keeps questions from looking at every server: which is to be probed next,
// which are cold, how many can be used. Each change of a server's state that these rest on is followed by
// touch.

// waiting keeps servers in a heap by when a probe is due at the shortest time between two.
type waiting struct {
	heap  []int
	place []int // in the heap, from 1; 0: not there
	key   []float64
}

func (w *waiting) grow(n int) {
	for len(w.place) < n {
		w.place, w.key = append(w.place, 0), append(w.key, 0)
	}
}

func (w *waiting) put(s int, key float64) {
	w.key[s] = key
	if w.place[s] == 0 {
		w.heap = append(w.heap, s)
		w.place[s] = len(w.heap)
	}
	w.down(w.up(w.place[s] - 1))
}

func (w *waiting) drop(s int) {
	i, last := w.place[s]-1, len(w.heap)-1
	if i < 0 {
		return
	}
	w.swap(i, last)
	w.heap, w.place[s] = w.heap[:last], 0
	if i < last {
		w.down(w.up(i))
	}
}

func (w *waiting) swap(i, j int) {
	h := w.heap
	h[i], h[j] = h[j], h[i]
	w.place[h[i]], w.place[h[j]] = i+1, j+1
}

func (w *waiting) less(i, j int) bool { return w.key[w.heap[i]] < w.key[w.heap[j]] }

func (w *waiting) up(i int) int {
	for i > 0 && w.less(i, (i-1)/2) {
		w.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

func (w *waiting) down(i int) {
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

// track is what is kept of all servers.
type track struct {
	calm, doubted waiting // that answer, and that failed of late
	fresh         []int   // never asked, or to be asked as if never, in order
	isFresh       []bool
	cold          []int // in order; some may be warm by now
	usable        int   // ready, and they answer
	isUsable      []bool
	listed        int // not gone
	isListed      []bool
}

func (t *track) grow(n int) {
	t.calm.grow(n)
	t.doubted.grow(n)
	for len(t.isFresh) < n {
		t.isFresh, t.isUsable = append(t.isFresh, false), append(t.isUsable, false)
		t.isListed = append(t.isListed, false)
	}
}

// touch takes that what is known of the server has changed.
func (b *Balancer) touch(s int) {
	t, p := &b.track, b.probing
	ready := b.condition[s] == Ready
	if usable := ready && b.health.good(s); usable != t.isUsable[s] {
		t.isUsable[s] = usable
		if usable {
			t.usable++
		} else {
			t.usable--
		}
	}
	if listed := b.condition[s] != Gone; listed != t.isListed[s] {
		t.isListed[s] = listed
		if listed {
			t.listed++
		} else {
			t.listed--
		}
	}
	wait := ready && math.IsNaN(p.sentAt[s])
	fresh := wait && math.IsInf(p.askedAt[s], -1)
	if fresh != t.isFresh[s] {
		t.isFresh[s] = fresh
		if i, at := slices.BinarySearch(t.fresh, s); fresh {
			t.fresh = slices.Insert(t.fresh, i, s)
		} else if at {
			t.fresh = slices.Delete(t.fresh, i, i+1)
		}
	}
	in, out := &t.calm, &t.doubted
	if b.health.failed[s] > 0 {
		in, out = out, in
	}
	out.drop(s)
	if wait && !fresh {
		in.put(s, b.dueAt(s, probeEvery))
	} else {
		in.drop(s)
	}
}

// chill takes that the server has started cold at that time.
func (b *Balancer) chill(s int, since float64) {
	b.warmup.since[s] = since
	if i, there := slices.BinarySearch(b.track.cold, s); !there {
		b.track.cold = slices.Insert(b.track.cold, i, s)
	}
}

// coldOnes are the servers that are cold, in order.
func (b *Balancer) coldOnes(now float64) []int {
	b.track.cold = slices.DeleteFunc(b.track.cold, func(s int) bool { return b.warmup.part(s, now) >= 1 })
	return b.track.cold
}

// look is one look for the server that is to be probed now, the first in order, or when the next is.
type look struct {
	now, every, part float64
	pick             int
	wait             float64
}

// find looks among those below a place of a heap. Extra is how much later than its key a server is due at the
// least; a hundredth of a millisecond is left for rounding.
func (b *Balancer) find(w *waiting, i int, extra float64, l *look) {
	if i >= len(w.heap) {
		return
	}
	s := w.heap[i]
	if w.key[s]+extra-0.01 > l.now+max(l.wait, 0) {
		return
	}
	if b.probing.lots[s] < l.part {
		wait := b.dueAt(s, l.every) - l.now
		if l.wait = min(l.wait, wait); wait <= 0 && (l.pick < 0 || s < l.pick) {
			l.pick = s
		}
	}
	b.find(w, 2*i+1, extra, l)
	b.find(w, 2*i+2, extra, l)
}
