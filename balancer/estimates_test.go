package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After a power loss, a relay that knows nothing assigns next to nothing to backends in slow start; one that
// knows their capacity assigns its share of it.
func TestRestoredCapacityFillsWarmingBackends(t *testing.T) {
	blind, told := newRecoveringRelay(12, 24, 1000, 1), newRecoveringRelay(12, 24, 1000, 1)
	require.True(t, told.RestoreEstimates(newEstimates(1)))
	told.SetRecovering(true, 0)
	assert.Less(t, assignSessions(blind, 1100, 60, 30), 6)
	assert.Greater(t, assignSessions(told, 1100, 60, 30), 15)
}

func TestInvalidEstimatesAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Estimates){
		"no capacity":   func(estimates *Estimates) { estimates.Capacity = 0 },
		"no number":     func(estimates *Estimates) { estimates.MeanSessionLoad = math.NaN() },
		"endless":       func(estimates *Estimates) { estimates.Capacity = math.Inf(1) },
		"other number":  func(estimates *Estimates) { estimates.ClassLoads = nil },
		"negative load": func(estimates *Estimates) { estimates.ClassLoads[0] = -1 },
	} {
		b, estimates := newRecoveringRelay(2, 2, 1000, 1), newEstimates(1)
		spoil(&estimates)
		assert.False(t, b.RestoreEstimates(estimates), name)
		assert.Nil(t, b.admission, name)
	}
	b := newRecoveringRelay(2, 2, 1000, 1)
	require.True(t, b.RestoreEstimates(newEstimates(1)))
	assert.False(t, b.RestoreEstimates(newEstimates(1)), "what is known goes before what is said again")
}

// What an incarnation of a few seconds hands on is no more than what it was started with.
func TestEstimatesDoNotGrow(t *testing.T) {
	estimates := newEstimates(1)
	for range 20 {
		b := newRecoveringRelay(2, 4, 1000, 1)
		require.True(t, b.RestoreEstimates(estimates))
		b.SetRecovering(true, 0)
		assignSessions(b, 1100, 60, 10)
		b.fleet.capacity = 10 * estimates.Capacity // as reports that hold nothing yet have it
		estimates = b.Estimates()
	}
	assert.Equal(t, 4e6, estimates.Capacity)
	b := newRecoveringRelay(2, 4, 1000, 1)
	require.True(t, b.RestoreEstimates(estimates))
	b.quotas.loadSamples, b.fleet.capacity = 2*confidentSessions, 10*estimates.Capacity
	assert.Equal(t, maxEstimateGrowth*4e6, b.Estimates().Capacity)
}
