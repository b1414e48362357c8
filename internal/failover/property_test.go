package failover

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever is observed and ordered, the policy empties no more than one region or a third of the zones, a zone
// always serves, the shares of each zone add up to 1, and replaying the commands gives the same log, even if it
// is restored from a snapshot in between.
func TestPolicyProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, 12)
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		var commands [][]byte
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			s.addRandomObservations(rng)
			s.now += 500
			command, changed := s.drawCommand(rt)
			if changed {
				data, err := json.Marshal(command)
				require.NoError(rt, err)
				require.Less(rt, len(data), 8000)
				s.number++
				s.log.Apply(s.number, data)
				commands = append(commands, data)
			}
			requireServing(rt, s.log)
		}
		replayed := replayWithRestore(rt, commands)
		require.JSONEq(rt, string(s.log.Snapshot()), string(replayed.Snapshot()))
	})
}

// addRandomObservations adds random observations from each of twelve relays.
func (s *simulation) addRandomObservations(rng *rand.Rand) {
	for relay := range 12 {
		observations := Observations{
			Relay:  fmt.Sprint("r", relay),
			Zone:   sixZones[relay%6].Name,
			ByZone: map[string]Observation{},
			Demand: 30 * rng.Float64(),
		}
		for _, z := range sixZones {
			attempts := 20 * rng.Float64()
			observations.ByZone[z.Name] = Observation{
				Attempts:       attempts,
				FailedAttempts: attempts * float64(rng.Intn(2)),
				Load:           20 * rng.Float64(),
				Capacity:       simulatedCapacity,
			}
		}
		s.policy.AddObservations(s.now, observations)
	}
}

// drawCommand returns a random operator's order in one of six cases, and otherwise the policy's proposal, if any.
func (s *simulation) drawCommand(rt *rapid.T) (command Command, changed bool) {
	if rapid.IntRange(0, 5).Draw(rt, "order") != 0 {
		return s.policy.Evaluate(s.now, s.log)
	}
	return Command{Order: &OperatorOrder{
		ID:     fmt.Sprint(s.now),
		Zone:   rapid.SampledFrom(sixZones).Draw(rt, "zone").Name,
		Action: rapid.SampledFrom([]OrderAction{ActionEmpty, ActionReturn, ActionHold}).Draw(rt, "action"),
	}}, true
}

// requireServing requires that the policy has emptied no more than three zones, that a zone serves once there are
// any, and that the shares of each zone add up to 1.
func requireServing(t require.TestingT, log *DecisionLog) {
	emptiedByPolicy := emptiedZones(log.PolicyZones)
	require.LessOrEqual(t, len(emptiedByPolicy), 3)
	serving := 0
	for _, zone := range log.EffectiveZones() {
		if zone.Share > 0 {
			serving++
		}
		requireFullShares(t, zone)
	}
	require.True(t, serving > 0 || len(log.PolicyZones) == 0)
}

// replayWithRestore applies the commands to a new log, which is restored from its snapshot halfway through.
func replayWithRestore(t require.TestingT, commands [][]byte) *DecisionLog {
	log := &DecisionLog{}
	for i, data := range commands {
		log.Apply(uint64(i+1), data)
		if i == len(commands)/2 {
			restored := &DecisionLog{}
			require.NoError(t, restored.Restore(log.Snapshot()))
			log = restored
		}
	}
	return log
}
