package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Sessions draw their target zone by the zone weights. A zone of weight 0 that accepts no overflow gets none, one
// that accepts overflow gets sessions that find no room in their zone, and without weights zones don't matter.
func TestZoneWeights(t *testing.T) {
	for _, c := range []struct {
		name       string
		weights    []ZoneWeight
		loads      []float64 // of backends in zones 0, 1, 0, 1 ...
		wantShares [2]float64
	}{
		{"all to zone 0", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{1, 0}},
		{"zone 0 as long as it has room", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{0.7, 0.1, 0.7, 0.1},
			[2]float64{1, 0}},
		{"zone 0 full, zone 1 accepts overflow", []ZoneWeight{{0, 1, true}, {1, 0, true}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 1}},
		{"zone 0 full, zone 1 closed", []ZoneWeight{{0, 1, true}, {1, 0, false}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 0}},
		{"zone 0 closed", []ZoneWeight{{0, 0, false}, {1, 1, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0, 1}},
		{"a share", []ZoneWeight{{0, 0.3, false}, {1, 0.7, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.3, 0.7}},
		{"weights below 1 in total", []ZoneWeight{{0, 0.3, false}, {1, 0.3, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.5, 0.5}},
		{"a zone without a weight", []ZoneWeight{{1, 0, false}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{1, 0}},
		{"no weights", nil, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0.5, 0.5}},
	} {
		b := testFleet{Loads: c.loads, Seed: 3}.build(t)
		b.SetZoneWeights(c.weights)
		var shares [2]float64
		const sessions = 2000
		for range sessions {
			session := newSession(start)
			session.LoadHint = 1
			if a := b.Assign(start, session); a.Kind == Assign {
				shares[(a.Backend-1)%2] += 1.0 / sessions
				b.SessionEstablished(start, session)
				b.AttemptFinished(start, session, OutcomeSucceeded, true)
			}
		}
		assert.InDeltaSlice(t, c.wantShares[:], shares[:], 0.05, c.name)
	}
}

// Attempts and polls are counted by zone and result; a zone's load and capacity are the sums of its backends.
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
	zones, demand := b.ZoneObservations(start)
	assert.Equal(t, []float64{0, 0, 2, 1}, []float64{zones[0].Attempts, zones[0].FailedAttempts, zones[0].Polls, zones[0].UnansweredPolls})
	assert.Equal(t, []float64{4, 2, 2, 0}, []float64{zones[1].Attempts, zones[1].FailedAttempts, zones[1].Polls, zones[1].UnansweredPolls})
	assert.Positive(t, zones[1].Load)
	assert.Equal(t, 2.0, zones[1].Capacity)
	assert.False(t, math.IsNaN(demand) || demand < 0)
}

// While operators have closed every zone, sessions are rejected at once; they are assigned again as soon as one
// zone is open.
func TestAllZonesClosed(t *testing.T) {
	b := testFleet{Loads: []float64{0.1, 0.1}, Seed: 3}.build(t)
	b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 0, false}})
	assert.Equal(t, Reject, b.Assign(start, newSession(start)).Kind)
	b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 1, true}})
	assert.Equal(t, Assign, b.Assign(start, newSession(start)).Kind)
}
