package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Sessions draw their zone by the weights; a closed zone gets none, one that accepts overflow those that find
// no room, and without weights all backends are alike.
func TestZoneWeights(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []ZoneWeight
		loads []float64 // of backends in zones 0, 1, 0, 1 ...
		want  [2]float64
	}{
		{"all near", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{1, 0}},
		{"near as long as there is room", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{0.7, 0.1, 0.7, 0.1},
			[2]float64{1, 0}},
		{"full, and the other is open", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 1}},
		{"full, and the other is closed", []ZoneWeight{{0, 1, true}, {1, 0, false}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 0}},
		{"emptied", []ZoneWeight{{0, 0, false}, {1, 1, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0, 1}},
		{"a share", []ZoneWeight{{0, 0.3, false}, {1, 0.7, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.3, 0.7}},
		{"a share, and some left", []ZoneWeight{{0, 0.3, false}, {1, 0.3, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.5, 0.5}},
		{"a zone that nobody decided on", []ZoneWeight{{1, 0, false}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{1, 0}},
		{"none", nil, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0.5, 0.5}},
	} {
		b := testFleet{Loads: c.loads, Seed: 3}.build(t)
		b.SetZoneWeights(c.parts)
		var got [2]float64
		const sessions = 2000
		for range sessions {
			session := newSession(start)
			session.LoadHint = 1
			if a := b.Assign(start, session); a.Kind == Assign {
				got[(a.Backend-1)%2] += 1.0 / sessions
				b.SessionEstablished(start, session)
				b.AttemptFinished(start, session, OutcomeSucceeded, true)
			}
		}
		assert.InDeltaSlice(t, c.want[:], got[:], 0.05, c.name)
	}
}

// Attempts and polls are counted by zone and result; load and capacity are those of its backends.
func TestZoneObservations(t *testing.T) {
	b := testFleet{Loads: []float64{0.1, 0.3, 0.1, 0.3}, Seed: 3}.build(t)
	b.SetZoneWeights([]ZoneWeight{{1, 1, true}})
	for i, outcome := range []AttemptOutcome{OutcomeSucceeded, OutcomeTimedOut, OutcomeRejected, OutcomeConnectionLost} {
		session := newSession(start)
		if a := b.Assign(start, session); assert.Equal(t, Assign, a.Kind) && outcome == OutcomeSucceeded {
			b.SessionEstablished(start, session)
		} else {
			b.AttemptFinished(start, session, outcome, true)
		}
		b.PollFinished(start, uint32(i+1), i != 2, []float64{0, 0.2})
	}
	all, demand := b.ZoneObservations(start)
	assert.Equal(t, []float64{0, 0, 2, 1}, []float64{all[0].Attempts, all[0].FailedAttempts, all[0].Polls, all[0].UnansweredPolls})
	assert.Equal(t, []float64{4, 2, 2, 0}, []float64{all[1].Attempts, all[1].FailedAttempts, all[1].Polls, all[1].UnansweredPolls})
	assert.Positive(t, all[1].Load)
	assert.Equal(t, 2.0, all[1].Capacity)
	assert.False(t, math.IsNaN(demand) || demand < 0)
}

// Where operators have closed every zone, a session is rejected at once, and accepted as soon as one is open
// again.
func TestAllZonesClosed(t *testing.T) {
	b := testFleet{Loads: []float64{0.1, 0.1}, Seed: 3}.build(t)
	b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 0, false}})
	assert.Equal(t, Reject, b.Assign(start, newSession(start)).Kind)
	b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 1, true}})
	assert.Equal(t, Assign, b.Assign(start, newSession(start)).Kind)
}
