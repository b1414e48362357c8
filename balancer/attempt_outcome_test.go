package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// After a last outcome, a second outcome, or the end of an established session, nothing is left to decide.
func TestNoDecisionAfterTheEnd(t *testing.T) {
	for _, c := range []struct {
		name       string
		open, last bool
	}{{"last", false, true}, {"stood", true, false}, {"stood and last", true, true}} {
		b := testFleet{Loads: []float64{0.3, 0.3}}.build(t)
		session := newSession(start)
		b.Assign(start, session)
		if c.open {
			b.SessionEstablished(start+20, session)
			b.SessionEstablished(start+20, session)
		}
		assert.Equal(t, NoDecision, b.AttemptFinished(start+50, session, OutcomeConnectionLost, c.last).Kind, c.name)
		assert.Equal(t, NoDecision, b.AttemptFinished(start+60, session, OutcomeConnectionLost, false).Kind, c.name)
		b.SessionEstablished(start+70, session)
		assert.Zero(t, b.attempts.inFlight, c.name)
		assert.Zero(t, b.usage.counts[0]+b.usage.counts[1], c.name)
		assert.Zero(t, b.poller.unreported.byBackend[0]+b.poller.unreported.byBackend[1], "a session that is over weighs on nothing")
	}
}

// Sessions shed by one full backend go on to the next. One that is shed soon after it was established cuts
// the concurrency limit far; one that lasted, or broke on a silent backend, does not.
func TestShedSessionsReduceConcurrency(t *testing.T) {
	for _, c := range []struct {
		after  float64
		silent int
		want   float64
	}{{600, 0, 4}, {20000, 0, 64}, {600, 1, 64}} {
		b := testFleet{Loads: []float64{0.3, 0.3}}.build(t)
		session := newSession(start)
		b.Assign(start, session)
		b.SessionEstablished(start+20, session)
		b.outliers.consecutiveFailures[session.attempt.backend] = c.silent
		b.AttemptFinished(start+c.after, session, OutcomeConnectionLost, true)
		assert.InDelta(t, c.want, b.attempts.concurrencyLimit, 0.1)
	}
}
