package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// There is NoDecision after an outcome that is marked as the last, after a second outcome of the same attempt,
// and after the end of an established session. Nothing stays counted.
func TestNoDecisionAfterTheEnd(t *testing.T) {
	for _, c := range []struct {
		name              string
		established, last bool
	}{{"last", false, true}, {"established", true, false}, {"established and last", true, true}} {
		b := testFleet{Loads: []float64{0.3, 0.3}}.build(t)
		session := newSession(start)
		b.Assign(start, session)
		if c.established {
			b.SessionEstablished(start+20, session)
			b.SessionEstablished(start+20, session)
		}
		assert.Equal(t, NoDecision, b.AttemptFinished(start+50, session, OutcomeConnectionLost, c.last).Kind, c.name)
		assert.Equal(t, NoDecision, b.AttemptFinished(start+60, session, OutcomeConnectionLost, false).Kind, c.name)
		b.SessionEstablished(start+70, session)
		assert.Zero(t, b.attempts.inFlight, c.name)
		assert.Zero(t, b.usage.counts[0]+b.usage.counts[1], c.name)
		assert.Zero(t, b.poller.unreported.byBackend[0]+b.poller.unreported.byBackend[1], "unreported load after the session's end")
	}
}

// Sessions shed by a full backend may overload the next one. A session that is lost soon after it was
// established cuts the concurrency limit from 64 to 4; one that lasted, or whose backend does not answer
// polls, does not.
func TestShedSessionsReduceConcurrency(t *testing.T) {
	for _, c := range []struct {
		endsAfter float64
		failures  int
		want      float64
	}{{600, 0, 4}, {20000, 0, 64}, {600, 1, 64}} {
		b := testFleet{Loads: []float64{0.3, 0.3}}.build(t)
		session := newSession(start)
		b.Assign(start, session)
		b.SessionEstablished(start+20, session)
		b.outliers.consecutiveFailures[session.attempt.backend] = c.failures
		b.AttemptFinished(start+c.endsAfter, session, OutcomeConnectionLost, true)
		assert.InDelta(t, c.want, b.attempts.concurrencyLimit, 0.1)
	}
}
