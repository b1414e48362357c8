package failover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Traffic for which a zone has no capacity goes to other zones of its region first. The zone serves all its local
// traffic again once it has the capacity.
func TestOverfullZoneSpills(t *testing.T) {
	s := newSimulation(t, 36)
	s.load = func(now float64, zone string) float64 {
		if zone == "a" && now > 5000 {
			return 16
		}
		return normalZoneLoad
	}
	s.runUntil(9000)
	a := s.log.EffectiveZones()[0]
	assert.Equal(t, Spilling, a.State)
	assert.InDelta(t, 0.5, a.Share, 0.03)
	assert.Equal(t, []string{"b", "c"}, []string{a.Diversions[0].Zone, a.Diversions[1].Zone},
		"traffic is diverted to the zones of the same region, as they have capacity")
	assert.InDelta(t, 0.5, a.Diversions[0].Fraction+a.Diversions[1].Fraction+a.Unserved, 0.03)

	s.load = func(_ float64, zone string) float64 {
		if zone == "a" {
			return 16
		}
		return 7.5
	}
	s.runUntil(14000)
	s.load = func(float64, string) float64 { return 5 }
	s.runUntil(20000)
	assert.Empty(t, s.states(), "the zone is home again, as it has capacity")
}

// TestSpillingEndsWithoutAnotherHome guards against zones that go on diverting traffic they have capacity for: while no other
// zone was home, a spilling zone kept its share also when its load had fallen.
func TestSpillingEndsWithoutAnotherHome(t *testing.T) {
	s := newSimulation(t, 36)
	load := 16.0
	s.load = func(_ float64, zone string) float64 {
		if zone == "f" {
			return normalZoneLoad
		}
		return load
	}
	s.runUntil(9000)
	s.failureRate = zoneFails("f", 1, 9000, forever)
	s.runUntil(16000)
	require.Equal(t, "a spilling, b spilling, c spilling, d spilling, e spilling, f emptied", s.states())
	load = normalZoneLoad
	s.runUntil(22000)
	assert.Equal(t, "f emptied", s.states())
}

// Diverted traffic goes to the same region first, as far as the zones there have spare capacity, then to other
// regions. The rest is unserved.
func TestDivert(t *testing.T) {
	zones := []Zone{
		{Name: "a", Region: "n", State: Emptied},
		{Name: "b", Region: "n", State: Home, Share: 1},
		{Name: "d", Region: "s", State: Home, Share: 1},
	}
	demand := map[string]float64{"a": 10, "b": 5, "d": 2}
	divert(zones, demand, map[string]float64{"b": 10, "d": 10})
	assert.InDelta(t, 0.3, zones[0].Diversions[0].Fraction, 1e-9)
	assert.Equal(t, "d", zones[0].Diversions[1].Zone)
	assert.InDelta(t, 0.6, zones[0].Diversions[1].Fraction, 1e-9)
	assert.InDelta(t, 0.1, zones[0].Unserved, 1e-9)

	divert(zones, nil, nil)
	assert.Equal(t, []TrafficShare{{"b", 1}}, zones[0].Diversions, "goes to the same region, as no capacity is known")
}
