package balancer

import "math"

// budgetSlots is how many slots a budget's window has.
const budgetSlots = 64

// RetryBudget counts sessions and retries over a sliding window, in a fixed number of slots. Its answers are
// on the safe side by one slot at either edge: retries are counted a slot longer than the window, sessions a
// slot shorter. A nil RetryBudget allows every retry.
type RetryBudget struct {
	freeRetries       float64
	retriesPerSession float64
	slotLength        float64
	currentSlot       float64 // number of the latest slot, from time 0; -Inf before the first
	sessions          [budgetSlots + 1]float64
	retries           [budgetSlots + 1]float64
}

// NewRetryBudget returns a budget of so many free retries in a window of that many milliseconds, and so many
// more for each session in it.
func NewRetryBudget(freeRetries, retriesPerSession, window float64) *RetryBudget {
	return &RetryBudget{
		freeRetries:       freeRetries,
		retriesPerSession: retriesPerSession,
		slotLength:        window / budgetSlots,
		currentSlot:       math.Inf(-1),
	}
}

// advance empties the slots whose time is over. The clock may stand still, or go back a little: then what
// comes counts with the latest slot, which is the longer for it.
func (b *RetryBudget) advance(now float64) {
	number := math.Floor(now / b.slotLength)
	for emptied := 0; b.currentSlot < number && emptied <= budgetSlots; emptied++ {
		b.currentSlot = max(b.currentSlot+1, number-budgetSlots)
		slot := slotIndex(b.currentSlot)
		b.sessions[slot] = 0
		b.retries[slot] = 0
	}
}

// slotIndex is where the slot of that number stands.
func slotIndex(number float64) int {
	const count = budgetSlots + 1
	return (int(math.Mod(number, count)) + count) % count
}

// recordSession counts a session that has come.
func (b *RetryBudget) recordSession(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.sessions[slotIndex(b.currentSlot)]++
}

// recordRetry counts a retry that goes out.
func (b *RetryBudget) recordRetry(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.retries[slotIndex(b.currentSlot)]++
}

// assumeSpent counts all that is free as spent.
func (b *RetryBudget) assumeSpent(now float64) {
	if b == nil {
		return
	}
	b.advance(now)
	b.retries[slotIndex(b.currentSlot)] += b.freeRetries
}

// allowsRetry reports whether one more retry keeps to the budget.
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

// AssumeRetriesSpent counts the free retries as spent, as the last incarnation of this relay may have spent
// them just before its end. So the budget holds in a window that covers both.
func (b *Balancer) AssumeRetriesSpent(now float64) { b.attempts.budget.assumeSpent(now) }
