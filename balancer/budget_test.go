package balancer

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Against a plain count of all links and tries: at random times, in crowds and pauses, across windows' edges,
// no try that is allowed breaks the rule; and most of what the rule gives is given.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	for seed := range int64(40) {
		chance := rand.New(rand.NewSource(seed))
		window := []float64{1, 50, 5000, 60000}[chance.Intn(4)]
		free, share := float64(chance.Intn(4)), []float64{0, 0.1, 0.5, 2}[chance.Intn(4)]
		b := NewRetryBudget(free, share, window)
		now := float64(chance.Intn(3)) * window * chance.Float64() // also right at the start
		var taken, tries []float64
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
			switch chance.Intn(12) {
			case 0:
				now += window * chance.Float64() * 1.5
			case 1:
				now += window * float64(chance.Intn(3)) / 2 // to the edge
			case 2, 3, 4, 5, 6:
				now += window / 100 * chance.Float64()
			}
			if chance.Intn(3) > 0 {
				b.recordSession(now)
				taken = append(taken, now)
			}
			if chance.Intn(2) > 0 {
				right := in(tries)+1 <= free+share*in(taken)
				if right {
					could++
				}
				if b.allowsRetry(now) {
					given++
					require.True(t, right, "seed %d at %v: %v tries, %v links", seed, now, in(tries), in(taken))
					b.recordRetry(now)
					tries = append(tries, now)
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

// A try that the budget forbids is answered at once, whatever time is left, with a time to come back.
func TestBudgetEndsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget *RetryBudget
		effect Idempotency
		end    AttemptOutcome
		want   DecisionKind
	}{
		{"no rule", nil, Idempotent, OutcomeRejected, Assign},
		{"one free", NewRetryBudget(1, 0, 5000), Idempotent, OutcomeRejected, Assign},
		{"none free", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeRejected, Reject},
		{"may have run", NewRetryBudget(0, 0.5, 5000), Idempotent, OutcomeConnectionLost, Reject},
		{"may have run, and must not twice", NewRetryBudget(9, 9, 5000), NonIdempotent, OutcomeConnectionLost, Fail},
		{"never ran", NewRetryBudget(0, 0, 5000), NonIdempotent, OutcomeUnreachable, Reject},
	} {
		b := fleet{Loads: []float64{0.1, 0.1, 0.1}, Effect: c.effect, MaxBack: 900, Budget: c.budget}.build(t)
		l := arrive(start)
		require.Equal(t, Assign, b.Assign(start, l).Kind)
		a := b.AttemptFinished(start+10, l, c.end, false)
		assert.Equal(t, c.want, a.Kind, c.name)
		if a.Kind == Reject {
			assert.Equal(t, 900.0, a.Wait, c.name)
		}
	}
}

// The budget goes to the next process with what was spent of it, and the one that left it spends no more.
func TestBudgetGoesOn(t *testing.T) {
	two := func() *Balancer {
		return fleet{Loads: []float64{0.1, 0.1, 0.1}, MaxBack: 900, Budget: NewRetryBudget(2, 0, 5000)}.build(t)
	}
	fail := func(b *Balancer, now float64) DecisionKind {
		l := arrive(now)
		require.Equal(t, Assign, b.Assign(now, l).Kind)
		return b.AttemptFinished(now+10, l, OutcomeRejected, false).Kind
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
