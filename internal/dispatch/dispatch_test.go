package dispatch

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/balancer"
)

// scriptedBalancer returns the given decisions and actions in order, and after them zero decisions and waits.
type scriptedBalancer struct {
	Balancer
	decisions []balancer.Decision
	actions   []balancer.Action
}

func (b *scriptedBalancer) Assign(float64, *balancer.Session) balancer.Decision {
	if len(b.decisions) == 0 {
		return balancer.Decision{}
	}
	next := b.decisions[0]
	b.decisions = b.decisions[1:]
	return next
}

func (b *scriptedBalancer) NextAction(float64) balancer.Action {
	if len(b.actions) == 0 {
		return balancer.Action{Wait: 5000}
	}
	next := b.actions[0]
	b.actions = b.actions[1:]
	return next
}

func (b *scriptedBalancer) PollFinished(float64, uint32, bool, []float64) {}

type testSession struct{ Entry }

// recorder is a Driver that records its calls.
type recorder struct{ calls []string }

func (r *recorder) Execute(s *testSession, decision balancer.Decision) {
	r.calls = append(r.calls, fmt.Sprintf("%v at %d, attempt %d", decision.Kind, decision.Backend, s.Attempt))
}
func (r *recorder) Poll(id uint32) { r.calls = append(r.calls, fmt.Sprintf("poll %d", id)) }
func (r *recorder) Subscribe()     { r.calls = append(r.calls, "subscribe") }

func TestQueuedSessionIsAskedAboutAgain(t *testing.T) {
	queue := balancer.Decision{Kind: balancer.Queue, Wait: 50}
	assign := balancer.Decision{Kind: balancer.Assign, Backend: 7, Attempt: 1}
	for _, c := range []struct {
		name     string
		before   func(d *Dispatcher[*testSession], s *testSession)
		now      float64
		wantCall bool
		wantWake float64
	}{
		{"not before its time", nil, 149, false, 150},
		{"at its time", nil, 150, true, 5150},
		{"sooner after an answered poll", func(d *Dispatcher[*testSession], _ *testSession) {
			d.PollFinished(101, 7, true, nil)
		}, 102, true, 5102},
		{"not once it is forgotten", func(d *Dispatcher[*testSession], s *testSession) {
			d.Forget(s)
			d.PollFinished(101, 7, true, nil)
		}, 1000, false, 6000},
	} {
		t.Run(c.name, func(t *testing.T) {
			driver := &recorder{}
			scripted := &scriptedBalancer{decisions: []balancer.Decision{queue, assign}}
			d := NewDispatcher[*testSession](scripted, driver)
			s := &testSession{}
			d.Assign(100, s)
			assert.Empty(t, driver.calls, "the driver is not called for a queued session")
			if c.before != nil {
				c.before(d, s)
			}
			assert.Equal(t, c.wantWake, d.Advance(c.now))
			if c.wantCall {
				assert.Equal(t, []string{"assign at 7, attempt 1"}, driver.calls)
			} else {
				assert.Empty(t, driver.calls)
			}
			assert.Equal(t, c.wantCall, math.IsInf(s.retryAt, 1) && s.Attempt == 1)
		})
	}
}

func TestActionsAreCarriedOutUntilNoneIsDue(t *testing.T) {
	driver := &recorder{}
	scripted := &scriptedBalancer{actions: []balancer.Action{
		{Kind: balancer.ActionPoll, Backend: 3},
		{Kind: balancer.ActionSubscribe},
		{Kind: balancer.ActionPoll, Backend: 4},
		{Wait: 250},
		{Kind: balancer.ActionPoll, Backend: 5},
	}}
	d := NewDispatcher[*testSession](scripted, driver)
	assert.Equal(t, 1250.0, d.Advance(1000))
	assert.Equal(t, []string{"poll 3", "subscribe", "poll 4"}, driver.calls)
}
