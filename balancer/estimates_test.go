package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After a power loss, a relay without estimates assigns almost no sessions to backends in slow start. A relay that
// has restored their capacity assigns its share of it.
func TestRestoredCapacityFillsWarmingBackends(t *testing.T) {
	uninformed, informed := newRecoveringRelay(12, 24, 1000, 1), newRecoveringRelay(12, 24, 1000, 1)
	require.True(t, informed.RestoreEstimates(newEstimates(1)))
	informed.SetRecovering(true, 0)
	assert.Less(t, assignSessions(uninformed, 1100, 60, 30), 6)
	assert.Greater(t, assignSessions(informed, 1100, 60, 30), 15)
}

func TestInvalidEstimatesAreRefused(t *testing.T) {
	for name, corrupt := range map[string]func(*Estimates){
		"no capacity":       func(estimates *Estimates) { estimates.Capacity = 0 },
		"mean not a number": func(estimates *Estimates) { estimates.MeanSessionLoad = math.NaN() },
		"infinite capacity": func(estimates *Estimates) { estimates.Capacity = math.Inf(1) },
		"no loads by class": func(estimates *Estimates) { estimates.ClassLoads = nil },
		"negative load":     func(estimates *Estimates) { estimates.ClassLoads[0] = -1 },
	} {
		b, estimates := newRecoveringRelay(2, 2, 1000, 1), newEstimates(1)
		corrupt(&estimates)
		assert.False(t, b.RestoreEstimates(estimates), name)
		assert.Nil(t, b.admission, name)
	}
	b := newRecoveringRelay(2, 2, 1000, 1)
	require.True(t, b.RestoreEstimates(newEstimates(1)))
	assert.False(t, b.RestoreEstimates(newEstimates(1)), "estimates that are known already take precedence over later ones")
}

// An incarnation that runs for a few seconds passes on no more capacity than it was started with, and a longer one
// at most maxEstimateGrowth times as much.
func TestEstimatesDoNotGrow(t *testing.T) {
	estimates := newEstimates(1)
	for range 20 {
		b := newRecoveringRelay(2, 4, 1000, 1)
		require.True(t, b.RestoreEstimates(estimates))
		b.SetRecovering(true, 0)
		assignSessions(b, 1100, 60, 10)
		b.fleet.capacity = 10 * estimates.Capacity // reports that include no sessions yet lead to such an estimate
		estimates = b.Estimates()
	}
	assert.Equal(t, 4e6, estimates.Capacity)
	b := newRecoveringRelay(2, 4, 1000, 1)
	require.True(t, b.RestoreEstimates(estimates))
	b.quotas.loadSamples, b.fleet.capacity = 2*confidentSessions, 10*estimates.Capacity
	assert.Equal(t, maxEstimateGrowth*4e6, b.Estimates().Capacity)
}
