package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The load of a session that was shed is remembered by its key, so that it does not overload the next backend.
func TestLoadOfShedSessionIsRemembered(t *testing.T) {
	b := testFleet{Loads: []float64{0.3, 0.3}, Relays: 1}.build(t)
	session := &Session{Key: 7, Deadline: start + 2000}
	b.Assign(start, session)
	b.SessionEstablished(start, session)
	b.LoadMeasured(session, 90000)
	b.LoadMeasured(session, math.NaN())
	b.AttemptFinished(start+100, session, OutcomeConnectionLost, true)
	returning := &Session{Key: 7, Deadline: start + 3000}
	b.Assign(start+1000, returning)
	assert.Equal(t, 90000.0, returning.load)
}

// A relay that has just started continues to assign after it has measured its first session, because the
// weights are refreshed at once. With the capacity estimated before, all backends would seem full.
func TestYoungRelayLearnsSessionLoad(t *testing.T) {
	b := testFleet{Loads: []float64{0.1, 0.1, 0.1, 0.1}}.build(t)
	now := start
	for i := range 40 {
		session := newSession(now)
		require.Equal(t, Assign, b.Assign(now, session).Kind, "session %d", i)
		b.SessionEstablished(now+5, session)
		b.LoadMeasured(session, 30000)
		now += 20
	}
}
