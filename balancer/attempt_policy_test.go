package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Whether a session gets another attempt, a rejection or an error depends on the idempotency of its request, on
// the outcome of the attempt, and on the attempts and time left.
func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		scope       DeduplicationScope
		outcome     AttemptOutcome
		after       float64
		attempts    int
		want        DecisionKind
	}{
		{"idempotent runs again", Idempotent, ScopeAll, OutcomeTimedOut, 100, 1, Assign},
		{"idempotent out of attempts", Idempotent, ScopeAll, OutcomeFailed, 100, 3, Reject},
		{"non-idempotent may have run", NonIdempotent, ScopeAll, OutcomeTimedOut, 100, 1, Fail},
		{"non-idempotent broke", NonIdempotent, ScopeAll, OutcomeConnectionLost, 100, 1, Fail},
		{"non-idempotent never ran", NonIdempotent, ScopeAll, OutcomeRejected, 100, 1, Assign},
		{"non-idempotent never ran, out of attempts", NonIdempotent, ScopeAll, OutcomeUnreachable, 100, 3, Reject},
		{"idempotent by key inside its window", IdempotentByKey, ScopeAll, OutcomeTimedOut, 100, 1, Assign},
		{"idempotent by key past its window", IdempotentByKey, ScopeAll, OutcomeTimedOut, 900, 1, Fail},
		{"idempotent by key out of attempts inside its window", IdempotentByKey, ScopeAll, OutcomeFailed, 100, 3, Reject},
		{"idempotent by key out of attempts, scope not all", IdempotentByKey, ScopeZone, OutcomeFailed, 100, 3, Fail},
		{"past the deadline", Idempotent, ScopeAll, OutcomeTimedOut, 2000, 1, Reject},
	} {
		b := testFleet{Idempotency: c.idempotency, Scope: c.scope, DeduplicationWindow: 800, MaxRetryAfter: 200,
			Loads: []float64{0.3, 0.3, 0.3, 0.3}}.build(t)
		session := newSession(start)
		require.Equal(t, Assign, b.Assign(start, session).Kind, c.name)
		session.attempt.number = c.attempts
		assert.Equal(t, c.want, b.AttemptFinished(start+c.after, session, c.outcome, false).Kind, c.name)
	}
}

func TestRetryStaysInDeduplicationScope(t *testing.T) {
	for _, scope := range []DeduplicationScope{ScopeZone, ScopeCell} {
		for seed := range int64(10) {
			b := testFleet{Idempotency: IdempotentByKey, Scope: scope, DeduplicationWindow: 800, Seed: seed,
				Loads: []float64{0.3, 0.3, 0.3, 0.3}}.build(t)
			session := newSession(start)
			first := b.Assign(start, session)
			second := b.AttemptFinished(start+100, session, OutcomeTimedOut, false)
			require.Equal(t, Assign, second.Kind)
			assert.Equal(t, first.Backend%2, second.Backend%2)
		}
	}
}

// A burst of attempts on an overloaded shared store is slowed down: late and failed attempts reduce the
// concurrency limit, and other sessions are queued.
func TestLateAttemptsReduceConcurrency(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome AttemptOutcome
		silent  bool
		want    int
	}{
		{"timeouts", OutcomeTimedOut, false, 1},
		{"errors", OutcomeFailed, false, 1},
		{"canceled", OutcomeCanceled, false, 64},
		{"timeouts on silent backends say nothing of the store", OutcomeTimedOut, true, 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := testFleet{Loads: []float64{0.3, 0.3, 0.3}}.build(t)
			for i := range 10 {
				now := start + float64(i)*1000
				session := newSession(now)
				require.Equal(t, Assign, b.Assign(now, session).Kind)
				if c.silent {
					b.outliers.consecutiveFailures[session.attempt.backend] = 1
				}
				b.AttemptFinished(now+500, session, c.outcome, true)
				b.outliers.consecutiveFailures[session.attempt.backend] = 0
			}
			assigned := 0
			now := start + 20000
			for range 100 {
				if b.Assign(now, newSession(now)).Kind == Assign {
					assigned++
				}
			}
			assert.Equal(t, float64(c.want), b.attempts.concurrencyLimit)
			assert.LessOrEqual(t, assigned, c.want)
		})
	}
}

// One attempt from each of hundreds of relays is already a burst, so the concurrency limit can go below 1: it is
// then the probability that an attempt is allowed.
func TestConcurrencyOfManyRelaysIsAChance(t *testing.T) {
	b := testFleet{Loads: []float64{0.3}, Relays: 220}.build(t)
	for i := range 8 {
		attemptedAt := start + float64(i)
		b.attempts.recordOutcome(&Session{attempt: latestAttempt{startedAt: attemptedAt}}, attemptedAt+0.5, false)
	}
	allowed := 0
	for range 300 {
		if b.allowAttempt() {
			allowed++
		}
	}
	assert.Less(t, allowed, 20)
}

func TestTimelyAttemptsRaiseConcurrency(t *testing.T) {
	b := testFleet{Loads: []float64{0.3}}.build(t)
	b.attempts.concurrencyLimit = 1
	for i := range 20 {
		now := start + float64(i)*100
		session := newSession(now)
		require.Equal(t, Assign, b.Assign(now, session).Kind)
		b.SessionEstablished(now+20, session)
	}
	assert.Greater(t, b.attempts.concurrencyLimit, 5.0)
}
