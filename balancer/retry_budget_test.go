package balancer

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Compared with a plain count of all sessions and retries, at random times, in bursts and pauses, across the
// edges of windows: no retry that is allowed breaks the rule, and most that the rule allows are.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		window := []float64{1, 50, 5000, 60000}[rng.Intn(4)]
		free, share := float64(rng.Intn(4)), []float64{0, 0.1, 0.5, 2}[rng.Intn(4)]
		b := NewRetryBudget(free, share, window)
		now := float64(rng.Intn(3)) * window * rng.Float64() // also right at the start
		var taken, attempts []float64
		in := func(all []float64) (n float64) {
			for _, at := range all {
				if at > now-window {
					n++
				}
			}
			return n
		}
		given, could := 0, 0
		for range 2000 {
			switch rng.Intn(12) {
			case 0:
				now += window * rng.Float64() * 1.5
			case 1:
				now += window * float64(rng.Intn(3)) / 2 // to the edge
			case 2, 3, 4, 5, 6:
				now += window / 100 * rng.Float64()
			}
			if rng.Intn(3) > 0 {
				b.recordSession(now)
				taken = append(taken, now)
			}
			if rng.Intn(2) > 0 {
				right := in(attempts)+1 <= free+share*in(taken)
				if right {
					could++
				}
				if b.allowsRetry(now) {
					given++
					require.True(t, right, "seed %d at %v: %v attempts, %v sessions", seed, now, in(attempts), in(taken))
					b.recordRetry(now)
					attempts = append(attempts, now)
				}
			}
		}
		if could > 100 {
			assert.Greater(t, given, could/4, "seed %d: the margin is a slot at either edge", seed)
		}
	}
	var none *RetryBudget
	none.recordSession(1)
	none.recordRetry(1)
	assert.True(t, none.allowsRetry(1), "no rule")
}

// A session whose retry the budget forbids is rejected at once, whatever time is left, with a Retry-After.
func TestForbiddenRetryEndsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		budget      *RetryBudget
		idempotency Idempotency
		end         AttemptOutcome
		want        DecisionKind
	}{
		{"no rule", nil, Idempotent, OutcomeRejected, Assign},
		{"one free", NewRetryBudget(1, 0, 5000), Idempotent, OutcomeRejected, Assign},
		{"none free", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeRejected, Reject},
		{"may have run", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeConnectionLost, Reject},
		{"may have run, and must not twice", NewRetryBudget(9, 9, 5000), NonIdempotent, OutcomeConnectionLost, Fail},
		{"never ran", NewRetryBudget(0, 0, 5000), NonIdempotent, OutcomeUnreachable, Reject},
	} {
		b := testFleet{Loads: []float64{0.1, 0.1, 0.1}, Idempotency: c.idempotency, MaxRetryAfter: 900, Budget: c.budget}.build(t)
		session := newSession(start)
		require.Equal(t, Assign, b.Assign(start, session).Kind)
		a := b.AttemptFinished(start+10, session, c.end, false)
		assert.Equal(t, c.want, a.Kind, c.name)
		if a.Kind == Reject {
			assert.Equal(t, 900.0, a.Wait, c.name)
		}
	}
}

// The next process of a relay inherits the budget with what was spent of it, and the draining one spends no
// more.
func TestRetryBudgetIsRestored(t *testing.T) {
	two := func() *Balancer {
		return testFleet{Loads: []float64{0.1, 0.1, 0.1}, MaxRetryAfter: 900, Budget: NewRetryBudget(2, 0, 5000)}.build(t)
	}
	fail := func(b *Balancer, now float64) DecisionKind {
		session := newSession(now)
		require.Equal(t, Assign, b.Assign(now, session).Kind)
		return b.AttemptFinished(now+10, session, OutcomeRejected, false).Kind
	}
	old, next := two(), two()
	assert.Equal(t, Assign, fail(old, start))
	r := old.Snapshot(start + 100)
	old.SetDraining(true)
	require.NoError(t, next.Restore(start+150, &r))
	assert.Equal(t, Reject, fail(old, start+200))
	assert.Equal(t, Assign, fail(next, start+200))
	assert.Equal(t, Reject, fail(next, start+300), "one was spent before")
	assert.Equal(t, Assign, fail(next, start+5400), "a window later")
	r.BudgetRetries = r.BudgetRetries[:3]
	assert.ErrorContains(t, next.Restore(start+6000, &r), "slots")
}

// With no record of the window before the start, its free retries count as spent.
func TestAssumeRetriesSpent(t *testing.T) {
	b := newRecoveringRelay(2, 2, 1000, 1)
	b.AssumeRetriesSpent(1000)
	assert.False(t, b.attempts.budget.allowsRetry(1001))
	assert.True(t, b.attempts.budget.allowsRetry(3000))
}
