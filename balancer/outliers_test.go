package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// If sessions broke while a backend was silent, it has restarted, which begins a slow start. If they survived, only
// the network was interrupted.
func TestSlowStartAfterSilence(t *testing.T) {
	for _, broke := range []bool{true, false} {
		b := testFleet{Loads: []float64{0.4}}.build(t)
		session := newSession(start)
		b.Assign(start, session)
		b.SessionEstablished(start, session)
		b.PollFinished(start+100, 1, false, nil)
		if broke {
			b.AttemptFinished(start+200, session, OutcomeConnectionLost, true)
		}
		b.PollFinished(start+9000, 1, true, []float64{0, 0})
		assert.Equal(t, broke, b.slowStart.capacityShare(0, start+9000) < 1)
	}
}

// Two consecutive failures eject a backend, one does not, and an answer makes it healthy again.
func TestTwoFailuresEject(t *testing.T) {
	b := testFleet{Loads: []float64{0.4, 0.4}}.build(t)
	b.PollFinished(start, 1, false, nil)
	assert.True(t, b.outliers.isHealthy(0), "one lost poll does not eject the backend")
	b.PollFinished(start+300, 1, false, nil)
	for range 20 {
		assert.Equal(t, uint32(2), b.Assign(start+400, newSession(start+400)).Backend)
	}
	b.PollFinished(start+600, 1, true, []float64{0, 0.4})
	assert.True(t, b.outliers.isHealthy(0))
}

// Timeouts alone eject no backend: with a slow shared store, attempts time out everywhere.
func TestTimeoutsEjectNobody(t *testing.T) {
	b := testFleet{Loads: []float64{0.4, 0.4, 0.4}}.build(t)
	for i := range 20 {
		now := start + float64(i)*100
		session := newSession(now)
		b.Assign(now, session)
		b.AttemptFinished(now+50, session, OutcomeTimedOut, true)
	}
	for backend := range b.ids {
		assert.True(t, b.outliers.isHealthy(backend))
	}
}

// endSession ends a session that was assigned at the given time.
type endSession func(session *Session, at float64)

// shareOfFirstBackend assigns a hundred sessions over two seconds, while fresh reports give the first backend the
// least load, and returns the share of the sessions that this backend got.
func shareOfFirstBackend(b *Balancer, from float64, end endSession) (share float64) {
	const sessions = 100
	loads := []float64{0.1, 0.5, 0.5, 0.5}
	for i := range sessions {
		now := from + float64(i)*20
		for backend, id := range b.ids {
			b.LoadReported(now, id, []float64{0, loads[backend]})
		}
		session := newSession(now)
		decision := b.Assign(now, session)
		if decision.Kind != Assign {
			continue
		}
		if decision.Backend == 1 {
			share += 1.0 / sessions
		}
		end(session, now)
	}
	return share
}

// A backend that reports little load, but sheds sessions or does not answer, gets fewer and fewer sessions. After
// some time without evidence against it, it gets its full share again.
func TestOutlierGetsFewerSessions(t *testing.T) {
	for _, c := range []struct {
		name        string
		outcome     AttemptOutcome
		established bool
	}{
		{"sheds", OutcomeConnectionLost, true},
		{"does not answer", OutcomeTimedOut, false},
		{"breaks", OutcomeConnectionLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := testFleet{Loads: []float64{0.1, 0.5, 0.5, 0.5}, MaxAttempts: 1, Seed: 2}.build(t)
			endWell := func(session *Session, at float64) {
				b.SessionEstablished(at+10, session)
				b.AttemptFinished(at+10, session, OutcomeSucceeded, true)
			}
			endBadly := func(session *Session, at float64) {
				if session.attempt.backend != 0 {
					endWell(session, at)
					return
				}
				b.attempts.concurrencyLimit = maxConcurrentAttempts // keeps the concurrency limit out of this test
				if c.established {
					b.SessionEstablished(at+10, session)
				}
				b.AttemptFinished(at+20, session, c.outcome, true)
			}
			before := shareOfFirstBackend(b, start, endWell)
			assert.Greater(t, before, 0.3, "without evidence against it")
			assert.Less(t, shareOfFirstBackend(b, start+3000, endBadly), before/3)
			assert.Greater(t, shareOfFirstBackend(b, start+60000, endWell), before*0.7,
				"later it is tried again, and sessions confirm its reports")
		})
	}
}

// A backend that sheds a session and then reports that it is full is not at fault. An error is no evidence either,
// as the client may have caused it.
func TestBadEndCountsAfterTheNextReport(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome AttemptOutcome
		report  float64
		want    bool
	}{
		{"reports that it is not full", OutcomeConnectionLost, 0.2, true},
		{"reports that it is full", OutcomeConnectionLost, 0.9, false},
		{"answers with an error", OutcomeFailed, 0.2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := testFleet{Loads: []float64{0.1, 0.5, 0.5}}.build(t)
			session := newSession(start)
			b.SessionResumed(start, session, 1)
			session.attempt.startedAt = start
			b.AttemptFinished(start+100, session, c.outcome, true)
			assert.Zero(t, b.outliers.score(0, start+150), "no evidence before its next report")
			b.LoadReported(start+200, 1, []float64{0, c.report})
			assert.Equal(t, c.want, b.outliers.score(0, start+200) > 0)
		})
	}
}

// A session that lasted reduces the evidence against its backend. If the evidence against all backends is the same,
// none is an outlier.
func TestOutlierScoreFalls(t *testing.T) {
	b := testFleet{Loads: []float64{0.1, 0.5, 0.5, 0.5}, MaxAttempts: 1, Seed: 2}.build(t)
	b.outliers.addEvidence(0, start, outlierPenalty)
	session := &Session{Deadline: start + 2000}
	b.SessionResumed(start, session, 1)
	session.attempt.startedAt = start
	now := start + shedWindow
	before := b.outliers.score(0, now)
	b.AttemptFinished(now, session, OutcomeSucceeded, true)
	assert.Less(t, b.outliers.score(0, now), 0.6*before, "a session that lasted reduces the score")
	for backend := range b.ids {
		b.outliers.addEvidence(backend, now, outlierPenalty)
		b.outliers.addEvidence(backend, now, outlierPenalty)
	}
	for backend := range b.ids {
		assert.Less(t, b.outliers.score(backend, now), 0.05, "the evidence against all backends is the same")
	}
}
