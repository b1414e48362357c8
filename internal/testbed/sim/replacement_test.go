package sim

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/relay"
)

// TestReceivedSessionsThatLeaveAtOnce: the simulation lost what a new process did with a session in the moment in which
// it received it, and so could not show sessions that are held without MOVE.
func TestReceivedSessionsThatLeaveAtOnce(t *testing.T) {
	received := 0
	var trace bytes.Buffer
	s := New(parse(t, calm+"[[fault]]\nkind = \"relay-replace\"\nat = \"6s\"\nshare = 1\n"), "module", &trace)
	s.WrapStateMachine = func(_ int, stateMachine StateMachine) StateMachine {
		return &faultyStateMachine{StateMachine: stateMachine, before: func(e relay.Event) relay.Event {
			if event, isReceived := e.(relay.SessionReceived); isReceived {
				received++
				event.Session.LeavesInMillis = 0
			}
			return e
		}}
	}
	r, err := s.Run()
	require.NoError(t, err)
	assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
	assert.Greater(t, received, 100)
	assert.Equal(t, received, bytes.Count(trace.Bytes(), []byte("MOVE")), "each of their clients is told to leave")
}
