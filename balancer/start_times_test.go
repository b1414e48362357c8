package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A backend of a cached list is in slow start until discovery tells when it started.
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
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, Weight: 1})                 // it never went
	b.UpdateEndpoint(Endpoint{ID: 2, State: Ready, StartedAt: 900, Weight: 1}) // it did, earlier than was held
	b.EndEndpointUpdate(1200)
	warming, _ = b.WarmingUp(1200)
	assert.Equal(t, 1, warming)
	assert.Equal(t, 900.0, b.slowStart.startedAt[1])
}

// With clocks that differ, start times from discovery move; restarts that the relay saw itself stay.
func TestShiftStartTimes(t *testing.T) {
	const hour, now = 3.6e6, 1e12
	b := newRecoveringRelay(4, 3, now-hour, 1) // told an hour ago, by this relay's clock
	warming, _ := b.WarmingUp(now)
	assert.Zero(t, warming)
	b.ShiftStartTimes(hour) // which is an hour ahead: all have just started
	warming, _ = b.WarmingUp(now)
	assert.Equal(t, 3, warming)
	b.ShiftStartTimes(-hour)
	warming, _ = b.WarmingUp(now)
	assert.Zero(t, warming)
	b.startSlowStart(1, now) // its sessions broke, and it answers again
	b.ShiftStartTimes(-hour)
	warming, _ = b.WarmingUp(now)
	assert.Equal(t, 1, warming)
}
