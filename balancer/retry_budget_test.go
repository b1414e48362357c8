package balancer

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The budget is compared with an exact count of sessions and retries, at random times with bursts, pauses and
// the edges of windows. It never allows a retry that the exact count forbids. Of the others it allows more than
// a quarter, if there are more than 100; not all, as it errs by one slot at either edge of the window.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		window := []float64{1, 50, 5000, 60000}[rng.Intn(4)]
		freeRetries, retriesPerSession := float64(rng.Intn(4)), []float64{0, 0.1, 0.5, 2}[rng.Intn(4)]
		b := NewRetryBudget(freeRetries, retriesPerSession, window)
		now := float64(rng.Intn(3)) * window * rng.Float64() // sometimes exactly 0
		var sessions, retries []float64
		countInWindow := func(all []float64) (n float64) {
			for _, at := range all {
				if at > now-window {
					n++
				}
			}
			return n
		}
		allowed, allowable := 0, 0
		for range 2000 {
			switch rng.Intn(12) {
			case 0:
				now += window * rng.Float64() * 1.5
			case 1:
				now += window * float64(rng.Intn(3)) / 2 // to or halfway to the edge of the window
			case 2, 3, 4, 5, 6:
				now += window / 100 * rng.Float64()
			}
			if rng.Intn(3) > 0 {
				b.recordSession(now)
				sessions = append(sessions, now)
			}
			if rng.Intn(2) > 0 {
				isWithinBudget := countInWindow(retries)+1 <= freeRetries+retriesPerSession*countInWindow(sessions)
				if isWithinBudget {
					allowable++
				}
				if b.allowsRetry(now) {
					allowed++
					require.True(t, isWithinBudget, "seed %d at %v: %v retries, %v sessions",
						seed, now, countInWindow(retries), countInWindow(sessions))
					b.recordRetry(now)
					retries = append(retries, now)
				}
			}
		}
		if allowable > 100 {
			assert.Greater(t, allowed, allowable/4, "seed %d: retries allowed, of those within the budget", seed)
		}
	}
	var noBudget *RetryBudget
	noBudget.recordSession(1)
	noBudget.recordRetry(1)
	assert.True(t, noBudget.allowsRetry(1), "no budget")
}

// A session whose retry the budget forbids is rejected at once, with a Retry-After, however much time is left.
func TestForbiddenRetryEndsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		budget      *RetryBudget
		idempotency Idempotency
		outcome     AttemptOutcome
		want        DecisionKind
	}{
		{"no budget", nil, Idempotent, OutcomeRejected, Assign},
		{"one free", NewRetryBudget(1, 0, 5000), Idempotent, OutcomeRejected, Assign},
		{"none free", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeRejected, Reject},
		{"may have been executed", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeConnectionLost, Reject},
		{"may have been executed, non-idempotent", NewRetryBudget(9, 9, 5000), NonIdempotent, OutcomeConnectionLost, Fail},
		{"not executed", NewRetryBudget(0, 0, 5000), NonIdempotent, OutcomeUnreachable, Reject},
	} {
		b := testFleet{Loads: []float64{0.1, 0.1, 0.1}, Idempotency: c.idempotency, MaxRetryAfter: 900, Budget: c.budget}.build(t)
		session := newSession(start)
		require.Equal(t, Assign, b.Assign(start, session).Kind)
		decision := b.AttemptFinished(start+10, session, c.outcome, false)
		assert.Equal(t, c.want, decision.Kind, c.name)
		if decision.Kind == Reject {
			assert.Equal(t, 900.0, decision.Wait, c.name)
		}
	}
}

// A child process restores the retry budget with the retries already counted in it, and the draining parent
// starts no more retries.
func TestRetryBudgetIsRestored(t *testing.T) {
	newBalancer := func() *Balancer {
		return testFleet{Loads: []float64{0.1, 0.1, 0.1}, MaxRetryAfter: 900, Budget: NewRetryBudget(2, 0, 5000)}.build(t)
	}
	rejectFirstAttempt := func(b *Balancer, now float64) DecisionKind {
		session := newSession(now)
		require.Equal(t, Assign, b.Assign(now, session).Kind)
		return b.AttemptFinished(now+10, session, OutcomeRejected, false).Kind
	}
	parent, child := newBalancer(), newBalancer()
	assert.Equal(t, Assign, rejectFirstAttempt(parent, start))
	snapshot := parent.Snapshot(start + 100)
	parent.SetDraining(true)
	require.NoError(t, child.Restore(start+150, &snapshot))
	assert.Equal(t, Reject, rejectFirstAttempt(parent, start+200))
	assert.Equal(t, Assign, rejectFirstAttempt(child, start+200))
	assert.Equal(t, Reject, rejectFirstAttempt(child, start+300), "the parent had spent one of two")
	assert.Equal(t, Assign, rejectFirstAttempt(child, start+5400), "after a whole window")
	snapshot.BudgetRetries = snapshot.BudgetRetries[:3]
	assert.ErrorContains(t, child.Restore(start+6000, &snapshot), "slots")
}

// A relay that does not know the retries of the window before its start counts the free ones as spent.
func TestAssumeRetriesSpent(t *testing.T) {
	b := newRecoveringRelay(2, 2, 1000, 1)
	b.AssumeRetriesSpent(1000)
	assert.False(t, b.attempts.budget.allowsRetry(1001))
	assert.True(t, b.attempts.budget.allowsRetry(3000))
}
