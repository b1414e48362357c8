package failover

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sixZones are six zones, the first three in one region and the others in another.
var sixZones = []Zone{
	{Name: "a", Region: "n"},
	{Name: "b", Region: "n"},
	{Name: "c", Region: "n"},
	{Name: "d", Region: "s"},
	{Name: "e", Region: "s"},
	{Name: "f", Region: "s"},
}

const (
	evaluationInterval   = 100.0 // ms between two evaluations of the policy
	attemptsPerRelay     = 20.0  // attempts in each relay's observation of a zone
	simulatedCapacity    = 10.0  // capacity of each zone, in capacities of one backend
	evaluationsPerReport = 10    // evaluations between two reports of the same relay
	normalZoneLoad       = 4.0   // load of a zone for which a test sets no other, in capacities of one backend
)

// simulation runs relays that observe the zones as the test defines, and one policy whose proposals are all
// applied to the log.
type simulation struct {
	t      testing.TB
	now    float64
	relays int // number of relays; relay i is in zone i modulo the number of zones
	policy *Policy
	log    *DecisionLog
	number uint64 // number of the latest command
	rng    *rand.Rand

	failureRate      func(now float64, observing, observed string) float64 // failure rate of attempts, 0 to 1
	load             func(now float64, zone string) float64                // both the load and the demand of a zone
	isLying          func(relay int) bool                                  // such a relay swaps successes and failures
	localTrafficOnly bool                                                  // relays attempt only their own zone
}

func newSimulation(t testing.TB, relays int) *simulation {
	t.Helper()
	return &simulation{
		t:           t,
		relays:      relays,
		policy:      NewPolicy(sixZones),
		log:         &DecisionLog{},
		rng:         rand.New(rand.NewSource(1)),
		failureRate: func(float64, string, string) float64 { return 0 },
		load:        func(float64, string) float64 { return normalZoneLoad },
		isLying:     func(int) bool { return false },
	}
}

// apply applies a command to the log with the next number, and returns the decision.
func (s *simulation) apply(command Command) Decision {
	s.t.Helper()
	s.number++
	command.ProposedAt = s.now
	data, err := json.Marshal(command)
	require.NoError(s.t, err)
	s.log.Apply(s.number, data)
	return s.latestDecision()
}

func (s *simulation) latestDecision() Decision { return s.log.History[len(s.log.History)-1] }

// runUntil runs the simulation until the given time: in each interval the relays that are due report, and the
// policy is evaluated and its proposal applied.
func (s *simulation) runUntil(end float64) {
	s.t.Helper()
	for ; s.now < end; s.now += evaluationInterval {
		for relay := range s.relays {
			observations := s.observe(relay)
			if relay%evaluationsPerReport == int(s.now/evaluationInterval)%evaluationsPerReport {
				s.policy.AddObservations(s.now, observations)
			}
		}
		if command, changed := s.policy.Evaluate(s.now, s.log); changed {
			s.apply(command)
		}
	}
}

// observe returns the observations of one relay.
func (s *simulation) observe(relay int) Observations {
	zoneIndex := relay % len(sixZones)
	zone := sixZones[zoneIndex].Name
	relaysInZone := float64((s.relays + len(sixZones) - 1 - zoneIndex) / len(sixZones))
	observations := Observations{
		Relay:  fmt.Sprint("r", relay),
		Zone:   zone,
		Demand: s.load(s.now, zone) / relaysInZone,
		ByZone: map[string]Observation{},
	}
	for _, observed := range sixZones {
		observations.ByZone[observed.Name] = s.observeZone(relay, zone, observed.Name)
	}
	return observations
}

// observeZone returns what a relay in the observing zone reports on the observed zone. With localTrafficOnly all
// health checks succeed; otherwise there are none.
func (s *simulation) observeZone(relay int, observing, observed string) Observation {
	o := Observation{Attempts: attemptsPerRelay, Load: s.load(s.now, observed), Capacity: simulatedCapacity}
	o.FailedAttempts = float64(int(attemptsPerRelay*s.failureRate(s.now, observing, observed) + s.rng.Float64()))
	if s.localTrafficOnly {
		o.HealthChecks = attemptsPerRelay
		if observed != observing {
			o.Attempts = 0
			o.FailedAttempts = 0
		}
	}
	if s.isLying(relay) {
		o.FailedAttempts = attemptsPerRelay - o.FailedAttempts
	}
	return o
}

// states lists the zones that are not home, with their states.
func (s *simulation) states() string {
	var notHome []string
	for _, z := range s.log.EffectiveZones() {
		if z.State != Home {
			notHome = append(notHome, fmt.Sprintf("%s %s", z.Name, z.State))
		}
	}
	return strings.Join(notHome, ", ")
}

// zoneFails returns a failure rate function for a zone that fails at the given rate from one time to another.
func zoneFails(zone string, rate, from, until float64) func(float64, string, string) float64 {
	return func(now float64, _, observed string) float64 {
		if observed == zone && now >= from && now < until {
			return rate
		}
		return 0
	}
}

// failsIf returns a failure rate of 1 if fails is true, and of 0 otherwise.
func failsIf(fails bool) float64 {
	if fails {
		return 1
	}
	return 0
}

// requireFullShares requires that the shares of a zone's local traffic add up to 1.
func requireFullShares(t require.TestingT, zone Zone) {
	sum := zone.Share + zone.Unserved
	for _, diversion := range zone.Diversions {
		sum += diversion.Fraction
	}
	require.InDelta(t, 1, sum, 0.02, "%+v", zone)
}
