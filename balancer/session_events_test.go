package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An attempt of the client at another relay that may have been executed counts as the session's own. A
// non-idempotent request is not executed again, and its client is not told to repeat it. One that is idempotent
// by key goes only to backends in the deduplication scope, within the deduplication window.
func TestRecordEarlierAttempt(t *testing.T) {
	for _, c := range []struct {
		idempotency Idempotency
		scope       DeduplicationScope
		id          uint32
		ago         float64
		want        DecisionKind
	}{
		{Idempotent, ScopeAll, 1, 100, Assign},
		{NonIdempotent, ScopeAll, 1, 100, Fail},
		{NonIdempotent, ScopeAll, 99, 100, Fail},
		{IdempotentByKey, ScopeAll, 1, 100, Assign},
		{IdempotentByKey, ScopeAll, 99, 100, Assign},
		{IdempotentByKey, ScopeZone, 1, 100, Assign},
		{IdempotentByKey, ScopeZone, 99, 100, Fail}, // the zone of backend 99 is unknown
		{IdempotentByKey, ScopeAll, 1, 1e6, Fail},   // after the deduplication window
	} {
		b := testFleet{Loads: []float64{0.1, 0.1, 0.1, 0.1}, Seed: 3}.build(t)
		class := &b.attempts.classes[0]
		class.Idempotency, class.Scope, class.DeduplicationWindow = c.idempotency, c.scope, 5000
		session := newSession(start)
		b.RecordEarlierAttempt(session, c.id, start-c.ago)
		decision := b.Assign(start, session)
		for now := start; decision.Kind == Queue && now < session.Deadline+100; now += 50 {
			decision = b.Assign(now, session)
		}
		assert.Equal(t, c.want, decision.Kind, "%+v", c)
		if c.scope == ScopeZone && decision.Kind == Assign {
			assert.Equal(t, uint32(1), decision.Backend%2, "%+v", c)
		}
	}
}
