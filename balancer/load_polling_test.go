package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// With hundreds of relays the fleet is not polled regularly. Instead, a few backends are polled when a session
// arrives, and it is assigned to one that answered.
func TestCandidatesArePolledForEachSession(t *testing.T) {
	for seed := range int64(10) {
		b := testFleet{Loads: make([]float64, 60), Relays: 220, Seed: seed}.build(t)
		now, session, polled := start+20000, newSession(start+20000), []uint32(nil)
		require.Equal(t, Queue, b.Assign(now, session).Kind)
		for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
			polled = append(polled, action.Backend)
		}
		require.Len(t, polled, candidatesPerSession)
		assert.Equal(t, Queue, b.Assign(now+1, session).Kind, "the session waits for answers")
		b.PollFinished(now+2, polled[2], true, []float64{0, 0.3})
		a := b.Assign(now+40, session)
		assert.Equal(t, Assign, a.Kind, "it stops waiting after a share of its latency objective")
		assert.Equal(t, polled[2], a.Backend, "candidates that have not answered are not used")
		b.SessionEstablished(now+40, session)
		full := newSession(now)
		require.Equal(t, Queue, b.Assign(now, full).Kind)
		for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
			b.PollFinished(now, action.Backend, true, []float64{0, 0.9})
		}
		b.PollFinished(now+2, polled[2], true, []float64{0, 0.9})
		assert.Equal(t, Reject, b.Assign(now+40, full).Kind, "if all candidates are full, no others are polled")
	}
}

// Relays that know no loads do not poll ever faster while the fleet answers no polls.
func TestSilentFleetIsNotHammered(t *testing.T) {
	for _, relays := range []int{1, 30, 220} {
		b := testFleet{Loads: make([]float64, 20), Relays: relays}.build(t)
		for s := range b.ids {
			b.forgetLoad(s)
		}
		polls := 0
		for now := start; now < start+10000; now += 10 {
			for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
				polls++
				b.PollFinished(now, action.Backend, false, nil)
			}
		}
		assert.LessOrEqual(t, polls, 20*35, relays)
	}
}

func TestPollIntervalIsBounded(t *testing.T) {
	b := testFleet{Loads: []float64{0.3, 0.3}}.build(t)
	last := map[uint32]float64{}
	for now := start; now < start+20000; now += 50 {
		for d := b.NextAction(now); d.Kind == ActionPoll; d = b.NextAction(now) {
			if before, ok := last[d.Backend]; ok {
				assert.LessOrEqual(t, now-before, 5000.0)
			}
			last[d.Backend] = now
			b.PollFinished(now, d.Backend, true, []float64{0, 0.3})
		}
	}
	assert.Len(t, last, 2)
}

// A new process takes over from the serving one once most backends have reported their loads to it.
func TestIsReady(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		name  string
		loads []float64
		down  int // ID of the first of two backends that don't answer; 0: all answer
		want  bool
	}{
		{"no backend has reported", []float64{nan, nan, nan, nan}, 0, false},
		{"half of them have reported", []float64{0.1, 0.1, nan, nan}, 0, false},
		{"most have reported", []float64{0.1, 0.1, 0.1, nan}, 0, true},
		{"backends that don't answer are not waited for", []float64{0.1, 0.1, nan, nan}, 3, true},
		{"there is no backend", nil, 0, false},
	} {
		b := testFleet{Loads: c.loads}.build(t)
		if c.down > 0 {
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
		}
		assert.Equal(t, c.want, b.IsReady(start+10), c.name)
		assert.False(t, b.IsReady(start+10000), "%s: its reports are too old by now", c.name)
	}
	b := testFleet{Loads: []float64{nan, nan, nan, nan}, Relays: 5000}.build(t)
	assert.True(t, b.IsReady(start+10), "backends are polled for sessions only, so there is nothing to wait for")
}
