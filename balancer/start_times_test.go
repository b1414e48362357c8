package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A backend from a cached list counts as in slow start until discovery confirms when it started.
func TestAssumeEndpoints(t *testing.T) {
	b := newRecoveringRelay(2, 0, 1000, 1)
	b.BeginEndpointUpdate(true)
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, Weight: 1})
	b.UpdateEndpoint(Endpoint{ID: 2, State: Ready, Weight: 1})
	b.EndEndpointUpdate(1000)
	b.AssumeEndpoints(1000)
	warming, usable := b.WarmingUp(1100)
	assert.Equal(t, [2]int{2, 2}, [2]int{warming, usable})
	b.BeginEndpointUpdate(true)
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, Weight: 1})                 // it has not restarted
	b.UpdateEndpoint(Endpoint{ID: 2, State: Ready, StartedAt: 900, Weight: 1}) // it has restarted, earlier than assumed
	b.EndEndpointUpdate(1200)
	warming, _ = b.WarmingUp(1200)
	assert.Equal(t, 1, warming)
	assert.Equal(t, 900.0, b.slowStart.startedAt[1])
}

// If the clocks differ, start times from discovery are shifted. Those of restarts that the relay observed itself stay
// unchanged.
func TestShiftStartTimes(t *testing.T) {
	const hour, now = 3.6e6, 1e12
	b := newRecoveringRelay(4, 3, now-hour, 1) // by this relay's clock, all started an hour ago
	warming, _ := b.WarmingUp(now)
	assert.Zero(t, warming)
	b.ShiftStartTimes(hour) // this relay's clock is an hour ahead: all have just started
	warming, _ = b.WarmingUp(now)
	assert.Equal(t, 3, warming)
	b.ShiftStartTimes(-hour)
	warming, _ = b.WarmingUp(now)
	assert.Zero(t, warming)
	b.startSlowStart(1, now) // a restart that this relay observed
	b.ShiftStartTimes(-hour)
	warming, _ = b.WarmingUp(now)
	assert.Equal(t, 1, warming)
}
