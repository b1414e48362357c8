package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An attempt of the client at another relay that may have been executed counts as the session's own: a
// non-idempotent request is neither executed again nor its client told to repeat it; one that is idempotent
// by key goes where, and as long as, a repeat is dropped.
func TestRecordEarlierAttempt(t *testing.T) {
	for _, c := range []struct {
		idempotency Idempotency
		scope       DeduplicationScope
		id          uint32
		ago         float64
		verdict     DecisionKind
	}{
		{Idempotent, ScopeAll, 1, 100, Assign},
		{NonIdempotent, ScopeAll, 1, 100, Fail},
		{NonIdempotent, ScopeAll, 99, 100, Fail},
		{IdempotentByKey, ScopeAll, 1, 100, Assign},
		{IdempotentByKey, ScopeAll, 99, 100, Assign},
		{IdempotentByKey, ScopeZone, 1, 100, Assign},
		{IdempotentByKey, ScopeZone, 99, 100, Fail}, // whose zone is not known
		{IdempotentByKey, ScopeAll, 1, 1e6, Fail},   // longer than repeats are remembered
	} {
		b := testFleet{Loads: []float64{0.1, 0.1, 0.1, 0.1}, Seed: 3}.build(t)
		class := &b.attempts.classes[0]
		class.Idempotency, class.Scope, class.DeduplicationWindow = c.idempotency, c.scope, 5000
		session := newSession(start)
		b.RecordEarlierAttempt(session, c.id, start-c.ago)
		a := b.Assign(start, session)
		for now := start; a.Kind == Queue && now < session.Deadline+100; now += 50 {
			a = b.Assign(now, session)
		}
		assert.Equal(t, c.verdict, a.Kind, "%+v", c)
		if c.scope == ScopeZone && a.Kind == Assign {
			assert.Equal(t, uint32(1), a.Backend%2, "%+v", c)
		}
	}
}
