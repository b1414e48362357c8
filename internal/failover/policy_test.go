package failover

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const forever = 1e9 // ms, later than the end of any simulation

func TestPolicyDecisions(t *testing.T) {
	oneThird := func(relay int) bool { return relay/6%3 == 0 }
	for name, c := range map[string]struct {
		failureRate  func(now float64, observing, observed string) float64
		isLying      func(relay int) bool
		until        float64
		want         string // zones that are not home at the end, with their states
		maxDecisions int    // highest number of decisions until then, including the one on the configured zones
	}{
		"no fault": {until: 20000, maxDecisions: 1},
		"a zone is lost": {
			failureRate: zoneFails("b", 1, 5000, forever),
			until:       7500, want: "b emptied", maxDecisions: 2,
		},
		"a zone is degraded, one attempt in three fails": {
			failureRate: zoneFails("b", 0.34, 5000, forever),
			until:       9500, want: "b emptied", maxDecisions: 2,
		},
		"one attempt in ten fails": {
			failureRate: zoneFails("b", 0.1, 5000, forever),
			until:       30000, maxDecisions: 1,
		},
		"a zone is lost for half a second": {
			failureRate: zoneFails("b", 1, 5000, 5500),
			until:       30000, maxDecisions: 1,
		},
		"a third of the relays lie": {isLying: oneThird, until: 30000, maxDecisions: 1},
		"a zone is lost and a third of the relays lie": {
			failureRate: zoneFails("b", 1, 5000, forever), isLying: oneThird,
			until: 8000, want: "b emptied", maxDecisions: 2,
		},
		"all zones fail alike, by the store": {
			failureRate: func(float64, string, string) float64 { return 0.6 },
			until:       30000, maxDecisions: 1,
		},
		"a zone flaps every 3 s": {
			failureRate: func(now float64, _, observed string) float64 {
				return failsIf(observed == "b" && int(now/3000)%2 == 1)
			},
			until: 120000, want: "b emptied", maxDecisions: 4,
		},
		"a zone fails for one other zone only, by a broken path": {
			failureRate: func(_ float64, observing, observed string) float64 {
				return failsIf(observing == "a" && observed == "b")
			},
			until: 30000, maxDecisions: 1,
		},
		"a zone that is cut off sees all others fail": {
			failureRate: func(_ float64, observing, observed string) float64 {
				return failsIf((observing == "f") != (observed == "f"))
			},
			until: 8000, want: "f emptied", maxDecisions: 2,
		},
		"a region is lost": {
			failureRate: func(_ float64, _, observed string) float64 { return failsIf(observed >= "d") },
			until:       20000, want: "d emptied, e emptied, f emptied", maxDecisions: 2,
		},
		"three zones of two regions are lost: a third is emptied at most": {
			failureRate: func(_ float64, _, observed string) float64 {
				return failsIf(observed == "a" || observed == "c" || observed == "e")
			},
			until: 20000, want: "a emptied, c emptied", maxDecisions: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 36)
			if c.failureRate != nil {
				s.failureRate = c.failureRate
			}
			if c.isLying != nil {
				s.isLying = c.isLying
			}
			s.runUntil(c.until)
			assert.Equal(t, c.want, s.states(), "%+v", s.log.History)
			assert.LessOrEqual(t, len(s.log.History), c.maxDecisions, "%+v", s.log.History)
		})
	}
}

// If traffic stays within its zone, only the attempts of a zone's own relays show that the zone is degraded.
func TestDegradedZoneIsSeenByItsOwnRelays(t *testing.T) {
	s := newSimulation(t, 36)
	s.localTrafficOnly = true
	s.failureRate = zoneFails("b", 0.34, 5000, forever)
	s.runUntil(9500)
	assert.Equal(t, "b emptied", s.states())

	s = newSimulation(t, 36)
	s.localTrafficOnly = true
	s.failureRate = func(_ float64, observing, _ string) float64 { return failsIf(observing == "a") / 12 }
	s.runUntil(20000)
	assert.Empty(t, s.states(), "one failed attempt in twelve is too little to empty a zone")
}

// A zone that was lost returns in steps, and must be healthy at each of them. If it is emptied again soon after,
// it waits twice as long before it returns.
func TestEmptiedZoneReturns(t *testing.T) {
	s := newSimulation(t, 36)
	s.failureRate = zoneFails("b", 1, 5000, 10000)
	var seen []string
	for s.now < 40000 {
		s.runUntil(s.now + evaluationInterval)
		zone := s.log.EffectiveZones()[1]
		step := fmt.Sprintf("%s %.2f", zone.State, zone.Share)
		if len(seen) == 0 || seen[len(seen)-1] != step {
			seen = append(seen, step)
		}
	}
	assert.Equal(t, []string{"home 1.00", "emptied 0.00", "returning 0.05", "returning 0.20", "returning 0.50",
		"home 1.00"}, seen)
	last := s.latestDecision()
	firstWait := s.policy.health["b"].returnWait

	s.failureRate = zoneFails("b", 1, 41000, 43000)
	s.runUntil(46000)
	assert.Equal(t, "b emptied", s.states())
	assert.Equal(t, 2*firstWait, s.policy.health["b"].returnWait)
	assert.Greater(t, s.log.Number, last.Number)
}

// Runs random schedules of degraded and flapping zones, broken network paths, slow stores and relays that report
// falsely. No zone may be emptied that did not fail shortly before.
func TestNoHealthyZoneIsEmptied(t *testing.T) {
	const schedules = 150
	const maxEmptyDelay = 4000 // ms after the end of a fault until which its zone may be emptied
	for seed := range int64(schedules) {
		s := newSimulation(t, 12)
		faults := s.randomFaults(rand.New(rand.NewSource(seed)))
		s.runUntil(30000)
		for i, decision := range s.log.History {
			for k, zone := range decision.Zones {
				if zone.State != Emptied || (i > 0 && s.log.History[i-1].Zones[k].State == Emptied) {
					continue
				}
				failedBefore := false
				for _, f := range faults {
					if f.zone == zone.Name && decision.ProposedAt > f.from && decision.ProposedAt < f.until+maxEmptyDelay {
						failedBefore = true
					}
				}
				require.True(t, failedBefore, "seed %d: %s emptied at %.0f: %s; %+v", seed, zone.Name,
					decision.ProposedAt, zone.Reason, faults)
			}
		}
	}
}

// zoneFault is a period in which a share of all attempts in a zone fails.
type zoneFault struct {
	zone              string
	from, until, rate float64
}

// randomFaults gives the simulation a random schedule of faults, and returns those that concern whole zones.
func (s *simulation) randomFaults(rng *rand.Rand) (faults []zoneFault) {
	s.localTrafficOnly = rng.Intn(2) == 0
	for range 1 + rng.Intn(3) {
		f := zoneFault{
			zone: sixZones[rng.Intn(6)].Name,
			from: 3000 + 15000*rng.Float64(),
			rate: 0.3 + 0.7*rng.Float64(),
		}
		faultDuration := 200 + 4000*rng.Float64()
		healthyDuration := 500 + 4000*rng.Float64()
		for range 1 + rng.Intn(5) {
			f.until = f.from + faultDuration
			faults = append(faults, f)
			f.from = f.until + healthyDuration
		}
	}
	storeSlowFrom := 3000 + 20000*rng.Float64()
	storeSlowUntil := storeSlowFrom + 3000
	baseRate := 0.07 * rng.Float64()
	brokenFrom := sixZones[rng.Intn(6)].Name
	brokenTo := sixZones[rng.Intn(6)].Name
	s.failureRate = func(now float64, observing, observed string) float64 {
		worst := baseRate
		for _, f := range faults {
			if f.zone == observed && now >= f.from && now < f.until {
				worst = max(worst, f.rate)
			}
		}
		isStoreSlow := now > storeSlowFrom && now < storeSlowUntil
		isPathBroken := observing == brokenFrom && observed == brokenTo && brokenFrom != brokenTo
		if isStoreSlow || isPathBroken {
			worst = max(worst, 0.5)
		}
		return worst
	}
	lyingRelay := rng.Intn(12)
	s.isLying = func(relay int) bool { return relay == lyingRelay && !s.localTrafficOnly }
	return faults
}
