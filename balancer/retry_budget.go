package balancer

import "math"

// budgetSlots is the number of slots that the window of a RetryBudget is divided into.
const budgetSlots = 64

// RetryBudget limits retries in proportion to the sessions in a sliding window, which it counts in a fixed
// number of slots. It errs on the side of too few retries, as retries are counted for one slot more than the
// window and sessions for one slot less. A nil RetryBudget allows every retry.
type RetryBudget struct {
	freeRetries       float64                  // retries in a window that are allowed without any session
	retriesPerSession float64                  // further retries allowed for each session in the window
	slotLength        float64                  // length of a slot, in milliseconds
	currentSlot       float64                  // number of the latest slot, counted from time 0; -Inf: none yet
	sessions          [budgetSlots + 1]float64 // sessions in each slot, in the order of slotIndex
	retries           [budgetSlots + 1]float64 // retries in each slot, in the order of slotIndex
}

// NewRetryBudget returns a budget that allows freeRetries in each window, given in milliseconds, and
// retriesPerSession more for each session in the window.
func NewRetryBudget(freeRetries, retriesPerSession, window float64) *RetryBudget {
	return &RetryBudget{
		freeRetries:       freeRetries,
		retriesPerSession: retriesPerSession,
		slotLength:        window / budgetSlots,
		currentSlot:       math.Inf(-1),
	}
}

// advance moves on to the current slot and clears the slots that have left the window. If the clock stands
// still or goes back a little, the latest slot stays the current one, and so covers more than its length.
func (b *RetryBudget) advance(now float64) {
	number := math.Floor(now / b.slotLength)
	for emptied := 0; b.currentSlot < number && emptied <= budgetSlots; emptied++ {
		b.currentSlot = max(b.currentSlot+1, number-budgetSlots)
		slot := slotIndex(b.currentSlot)
		b.sessions[slot] = 0
		b.retries[slot] = 0
	}
}

// slotIndex returns the array index of the slot with that number.
func slotIndex(number float64) int {
	const count = budgetSlots + 1
	return (int(math.Mod(number, count)) + count) % count
}

// recordSession counts a session that has arrived.
func (b *RetryBudget) recordSession(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.sessions[slotIndex(b.currentSlot)]++
}

// recordRetry counts a retry that is started.
func (b *RetryBudget) recordRetry(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.retries[slotIndex(b.currentSlot)]++
}

// assumeSpent counts all free retries as spent.
func (b *RetryBudget) assumeSpent(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.retries[slotIndex(b.currentSlot)] += b.freeRetries
}

// allowsRetry reports whether the budget allows one more retry.
func (b *RetryBudget) allowsRetry(now float64) bool {
	if b == nil {
		return true
	}
	b.advance(now)
	oldest := slotIndex(b.currentSlot + 1)
	sessions, retries := 0.0, 0.0
	for slot := range b.retries {
		retries += b.retries[slot]
		if slot != oldest {
			sessions += b.sessions[slot]
		}
	}
	return retries+1 <= b.freeRetries+b.retriesPerSession*sessions
}

// AssumeRetriesSpent counts the free retries as spent, because the previous incarnation of this relay may have
// spent them just before its end. The budget then also holds in a window that covers both incarnations.
func (b *Balancer) AssumeRetriesSpent(now float64) { b.attempts.budget.assumeSpent(now) }
