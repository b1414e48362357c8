package balancer

import "math"

// This file is the count of setup tries beyond a link's first, where a rule bounds them: a fixed number of
// slots, whatever the traffic. It decides nothing; the module asks it before each such try.

const slots = 64 // of a window

// RetryBudget counts links taken and tries beyond their first over a window. Its answers are on the safe side by
// one slot at either edge: tries are counted a slot longer than the window, links a slot shorter.
type RetryBudget struct {
	free, share, width float64
	at                 float64 // number of the slot that is counted in; -Inf before the first
	taken, more        [slots + 1]float64
}

// NewRetryBudget takes how many such tries are free in a window, how many more each link taken in it allows, and
// its length.
func NewRetryBudget(free, share, window float64) *RetryBudget {
	return &RetryBudget{free: free, share: share, width: window / slots, at: math.Inf(-1)}
}

// turn empties the slots whose time is over. The clock may stand still, or go back a little: then what comes
// counts with the latest slot, which is the longer for it.
func (b *RetryBudget) turn(now float64) {
	n := math.Floor(now / b.width)
	for steps := 0; b.at < n && steps <= slots; steps++ {
		b.at = max(b.at+1, n-slots)
		b.taken[b.slot(b.at)], b.more[b.slot(b.at)] = 0, 0
	}
}

func (b *RetryBudget) slot(n float64) int {
	return (int(math.Mod(n, slots+1)) + slots + 1) % (slots + 1)
}

// take takes that a link has come.
func (b *RetryBudget) take(now float64) {
	if b != nil {
		b.turn(now)
		b.taken[b.slot(b.at)]++
	}
}

// spend takes that a try beyond a link's first goes out.
func (b *RetryBudget) spend(now float64) {
	if b != nil {
		b.turn(now)
		b.more[b.slot(b.at)]++
	}
}

// restart takes that a relay may have spent all that is free just before its start, and kept no word of it.
func (b *RetryBudget) restart(now float64) {
	if b != nil {
		b.turn(now)
		b.more[b.slot(b.at)] += b.free
	}
}

// allows tells whether one more keeps to the rule.
func (b *RetryBudget) allows(now float64) bool {
	if b == nil {
		return true
	}
	b.turn(now)
	taken, more := 0.0, 0.0
	for i := range b.more {
		more += b.more[i]
		if i != b.slot(b.at+1) { // the oldest
			taken += b.taken[i]
		}
	}
	return more+1 <= b.free+b.share*taken
}
