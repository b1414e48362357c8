package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// With hundreds of relays the fleet is not polled regularly: a session has a few backends polled when it
// arrives and goes to one that answered.
func TestCandidatesArePolledForEachSession(t *testing.T) {
	for seed := range int64(10) {
		b := testFleet{Loads: make([]float64, 60), Relays: 220, Seed: seed}.build(t)
		now, session, asked := start+20000, newSession(start+20000), []uint32(nil)
		require.Equal(t, Queue, b.Assign(now, session).Kind)
		for d := b.NextAction(now); d.Kind == ActionPoll; d = b.NextAction(now) {
			asked = append(asked, d.Backend)
		}
		require.Len(t, asked, candidatesPerSession)
		assert.Equal(t, Queue, b.Assign(now+1, session).Kind, "answers are waited for")
		b.PollFinished(now+2, asked[2], true, []float64{0, 0.3})
		a := b.Assign(now+40, session)
		assert.Equal(t, Assign, a.Kind, "but not for long")
		assert.Equal(t, asked[2], a.Backend, "silent backends are not used")
		b.SessionEstablished(now+40, session)
		full := newSession(now)
		require.Equal(t, Queue, b.Assign(now, full).Kind)
		for d := b.NextAction(now); d.Kind == ActionPoll; d = b.NextAction(now) {
			b.PollFinished(now, d.Backend, true, []float64{0, 0.9})
		}
		b.PollFinished(now+2, asked[2], true, []float64{0, 0.9})
		assert.Equal(t, Reject, b.Assign(now+40, full).Kind, "no asking on until the last gap is filled")
	}
}

// A fleet that answers no polls is not polled ever faster by relays that know no loads.
func TestSilentFleetIsNotHammered(t *testing.T) {
	for _, relays := range []int{1, 30, 220} {
		b := testFleet{Loads: make([]float64, 20), Relays: relays}.build(t)
		for s := range b.ids {
			b.forgetLoad(s)
		}
		asked := 0
		for now := start; now < start+10000; now += 10 {
			for d := b.NextAction(now); d.Kind == ActionPoll; d = b.NextAction(now) {
				asked++
				b.PollFinished(now, d.Backend, false, nil)
			}
		}
		assert.LessOrEqual(t, asked, 20*35, relays)
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

// Beside a process that serves, another takes over once most backends have reported their loads.
func TestIsReady(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		name  string
		loads []float64
		down  int
		want  bool
	}{
		{"no load", []float64{nan, nan, nan, nan}, 0, false},
		{"half of them", []float64{0.1, 0.1, nan, nan}, 0, false},
		{"most", []float64{0.1, 0.1, 0.1, nan}, 0, true},
		{"one that doesn't answer is not waited for", []float64{0.1, 0.1, nan, nan}, 3, true},
		{"no backend", nil, 0, false},
	} {
		b := testFleet{Loads: c.loads}.build(t)
		if c.down > 0 {
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
		}
		assert.Equal(t, c.want, b.IsReady(start+10), c.name)
		assert.False(t, b.IsReady(start+10000), "%s: reports grow old", c.name)
	}
	b := testFleet{Loads: []float64{nan, nan, nan, nan}, Relays: 5000}.build(t)
	assert.True(t, b.IsReady(start+10), "asked for sessions only")
}
