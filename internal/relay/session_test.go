package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSessionStates(t *testing.T) {
	for state := created; state <= finished; state++ {
		assert.NotEmpty(t, state.String())
		assert.False(t, state.canTransitionTo(state), "%s to itself", state)
		assert.False(t, state.canTransitionTo(created), "%s back to created", state)
	}
	assert.Len(t, sessionTransitions, int(finished)+1)
	assert.Len(t, sessionStateNames, int(finished)+1)
}

// TestIllegalTransitionIsCounted: a transition that sessionTransitions doesn't list is counted, and made all the same.
func TestIllegalTransitionIsCounted(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	broken := &session{state: finished, id: "a"}
	s.enter(broken, established)
	s.Handle(1, TimerFired{})
	assert.Equal(t, established, broken.state)
	assert.Equal(t, 1, s.illegalTransitions)
	s.illegalTransitions = 0
	s.enter(broken, finished)
	assert.Zero(t, s.illegalTransitions)
}
