package balancer

import "math"

// This file is the count of setup tries beyond a link's first, where a rule bounds them: a fixed number of
// slots, whatever the traffic. It decides nothing; the module asks it before each such try.

const budgetSlots = 64 // of a window

// RetryBudget counts links taken and tries beyond their first over a window. Its answers are on the safe side by
// one slot at either edge: tries are counted a slot longer than the window, links a slot shorter.
type RetryBudget struct {
	freeRetries, retriesPerSession, slotLength float64
	currentSlot                                float64 // number of the slot that is counted in; -Inf before the first
	sessions, retries                          [budgetSlots + 1]float64
}

// NewRetryBudget takes how many such tries are free in a window, how many more each link taken in it allows, and
// its length.
func NewRetryBudget(free, share, window float64) *RetryBudget {
	return &RetryBudget{freeRetries: free, retriesPerSession: share, slotLength: window / budgetSlots, currentSlot: math.Inf(-1)}
}

// advance empties the slots whose time is over. The clock may stand still, or go back a little: then what comes
// counts with the latest slot, which is the longer for it.
func (b *RetryBudget) advance(now float64) {
	n := math.Floor(now / b.slotLength)
	for steps := 0; b.currentSlot < n && steps <= budgetSlots; steps++ {
		b.currentSlot = max(b.currentSlot+1, n-budgetSlots)
		b.sessions[b.slotIndex(b.currentSlot)], b.retries[b.slotIndex(b.currentSlot)] = 0, 0
	}
}

func (b *RetryBudget) slotIndex(n float64) int {
	return (int(math.Mod(n, budgetSlots+1)) + budgetSlots + 1) % (budgetSlots + 1)
}

// recordSession takes that a link has come.
func (b *RetryBudget) recordSession(now float64) {
	if b != nil {
		b.advance(now)
		b.sessions[b.slotIndex(b.currentSlot)]++
	}
}

// recordRetry takes that a try beyond a link's first goes out.
func (b *RetryBudget) recordRetry(now float64) {
	if b != nil {
		b.advance(now)
		b.retries[b.slotIndex(b.currentSlot)]++
	}
}

// assumeSpent takes that a relay may have spent all that is free just before its start, and kept no word of it.
func (b *RetryBudget) assumeSpent(now float64) {
	if b != nil {
		b.advance(now)
		b.retries[b.slotIndex(b.currentSlot)] += b.freeRetries
	}
}

// allowsRetry tells whether one more keeps to the rule.
func (b *RetryBudget) allowsRetry(now float64) bool {
	if b == nil {
		return true
	}
	b.advance(now)
	taken, more := 0.0, 0.0
	for i := range b.retries {
		more += b.retries[i]
		if i != b.slotIndex(b.currentSlot+1) { // the oldest
			taken += b.sessions[i]
		}
	}
	return more+1 <= b.freeRetries+b.retriesPerSession*taken
}
