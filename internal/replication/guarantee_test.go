package replication

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// This file tests the guarantees of docs/design/replication.md, with specific losses and with random schedules of
// faults.

// A reservation is found and used exactly once after any loss within the guarantee: fewer than half of its replicas
// with their disks, even right after the replication; a zone; all power; a network partition.
func TestDurableRecordSurvivesLosses(t *testing.T) {
	replicas := func(f *testFleet) []int { return f.replicasOf(f.histories["k"].record) }
	for _, c := range []struct {
		name          string
		copies        int
		damage        func(f *testFleet)
		mayBeLost     bool // beyond the guarantee: the record may be lost, but must not be used twice
		firstIsolated bool // the record's first replica is isolated, so no client comes to it
	}{
		{name: "no loss", copies: 3, damage: func(*testFleet) {}},
		{name: "the owner with its disk, in the instant after", copies: 3, damage: func(f *testFleet) { f.wipeRelay(0) }},
		{name: "one of three replicas", copies: 3, damage: func(f *testFleet) { f.wipeRelay(replicas(f)[1]) }},
		{name: "two of five at once", copies: 5, damage: func(f *testFleet) {
			f.wipeRelay(replicas(f)[0])
			f.wipeRelay(replicas(f)[3])
		}},
		{name: "two of five, and a third restarts", copies: 5, damage: func(f *testFleet) {
			f.wipeRelay(replicas(f)[0])
			f.wipeRelay(replicas(f)[3])
			f.killRelay(replicas(f)[1])
			f.runUntil(f.now + 100)
			f.startRelay(replicas(f)[1])
		}},
		{name: "two of three, beyond the guarantee", copies: 3, mayBeLost: true, damage: func(f *testFleet) {
			f.wipeRelay(replicas(f)[0])
			f.wipeRelay(replicas(f)[1])
		}},
		{name: "a zone with its disks", copies: 3, damage: func(f *testFleet) {
			for i, r := range f.relays {
				if r.zone == "z1" {
					f.wipeRelay(i)
				}
			}
		}},
		{name: "all power", copies: 3, damage: (*testFleet).losePower},
		{name: "a replica with its disk, which returns", copies: 3, damage: func(f *testFleet) {
			i := replicas(f)[2]
			f.wipeRelay(i)
			f.runUntil(f.now + 100)
			f.startRelay(i)
		}},
		{name: "a replica is isolated", copies: 3, firstIsolated: true, damage: func(f *testFleet) {
			f.isolate(replicas(f)[0])
		}},
		{name: "a third of all datagrams", copies: 3, damage: func(f *testFleet) { f.lossRate = 0.33 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range int64(20) {
				f := newTestFleet(t, 9, 3, c.copies, seed, injectedFaults{})
				f.reserve(0, "k", f.now+5000)
				f.runUntil(f.now + 60)
				require.Positive(t, f.histories["k"].replicatedAt)
				c.damage(f)
				f.runUntil(f.now + 50)
				f.updateMembers()
				var up []int
				for i, r := range f.relays {
					if !r.down && !(c.firstIsolated && i == replicas(f)[0]) {
						up = append(up, i)
					}
				}
				for range 2 {
					f.acquire(up[f.rng.Intn(len(up))], "k")
					f.runUntil(f.now + 1100)
				}
				if !c.mayBeLost {
					assert.Equal(t, 1, f.histories["k"].uses, "seed %d", seed)
				}
				assert.Empty(t, f.checkHistories(), "seed %d", seed)
			}
		})
	}
}

// schedule runs events that a seed determines: records are replicated, clients come to two relays at once, relays are
// killed, paused and wiped one at a time, and routes are blocked or lose datagrams.
type schedule struct {
	*testFleet
	rng          *rand.Rand
	reservations []string // keys of the reservations
	markers      []string // keys of the markers
	expiresAt    float64
}

// randomRelay returns the index of a random relay that is neither down nor paused.
func (s *schedule) randomRelay() int {
	for {
		i := s.rng.Intn(len(s.relays))
		if !s.relays[i].down && !s.relays[i].paused {
			return i
		}
	}
}

func (s *schedule) replicateSome() {
	for range 4 {
		key := fmt.Sprint("k", len(s.reservations))
		s.reservations = append(s.reservations, key)
		s.reserve(s.randomRelay(), key, s.expiresAt)
	}
	for range 2 {
		key := fmt.Sprint("m", len(s.markers))
		s.markers = append(s.markers, key)
		s.storeMarker(s.randomRelay(), key, s.expiresAt)
	}
}

// revokeSome revokes a random marker in half of the cases, if its owner is running and has not been restarted since.
func (s *schedule) revokeSome() {
	marker := s.histories[s.markers[s.rng.Intn(len(s.markers))]]
	owner := s.relays[marker.owner]
	if s.rng.Intn(2) == 0 && !owner.down && owner.starts == marker.ownerStart && !owner.paused {
		marker.revoked = true
		s.perform(marker.owner, owner.Revoke(s.now, marker.token))
	}
}

func (s *schedule) acquireSome() {
	for range 4 {
		key := s.reservations[s.rng.Intn(len(s.reservations))]
		s.acquire(s.randomRelay(), key)
		if s.rng.Intn(2) == 0 {
			s.acquire(s.randomRelay(), key)
		}
	}
}

// unavailableCount returns how many relays are down or paused.
func (s *schedule) unavailableCount() int {
	count := 0
	for _, r := range s.relays {
		if r.down || r.paused {
			count++
		}
	}
	return count
}

func (s *schedule) injectFault() {
	i := s.rng.Intn(len(s.relays))
	unavailable := s.unavailableCount()
	mostAreUp := unavailable < len(s.relays)/2
	switch s.rng.Intn(9) {
	case 0:
		if mostAreUp {
			s.killRelay(i)
		}
	case 1:
		if mostAreUp {
			s.relays[i].paused = true
		}
	case 2:
		for j := range s.relays {
			if s.rng.Intn(2) == 0 {
				s.blocked[route{i, j}] = true
			}
		}
	case 3:
		s.lossRate = 0.4 * s.rng.Float64()
	case 4:
		if unavailable == 0 && s.rng.Intn(3) == 0 {
			s.wipeRelay(i)
		}
	case 5:
		s.healNetwork()
	case 6:
		if s.rng.Intn(3) == 0 {
			for j := range s.relays {
				s.killRelay(j)
			}
			for j := range s.relays {
				s.startRelay(j)
			}
		}
	default:
		s.resumeAllRelays()
	}
}

// checkAll ends all faults, looks for each record that must have survived, and returns all violations.
func (s *schedule) checkAll() []string {
	s.t.Helper()
	s.healNetwork()
	s.resumeAllRelays()
	s.runUntil(s.now + 1100)
	s.updateMembers()
	for _, key := range s.markers {
		s.checkMarker(s.randomRelay(), key)
	}
	for _, key := range s.reservations {
		s.checkReservation(key)
	}
	return s.checkHistories()
}

// checkReservation acquires a reservation, unless it may have been lost or used.
func (s *schedule) checkReservation(key string) {
	s.t.Helper()
	history := s.histories[key]
	mayBeUsed := history.uses > 0 || history.inconclusive || len(history.operations)+len(history.pendingSince) > 0
	if mayBeUsed || !s.isWithinGuarantee(history) {
		return
	}
	s.acquire(s.randomRelay(), key)
	s.runUntil(s.now + 30)
	if history.uses == 0 {
		s.violations = append(s.violations, key+" was lost")
	}
}

// runRandomSchedule runs a schedule that the seed determines, and returns the violations.
func runRandomSchedule(t *testing.T, count int, seed int64, faults injectedFaults, disksLoseWrites bool) []string {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	f := newTestFleet(t, count, 3, 3+2*int(seed%2), seed, faults)
	if disksLoseWrites {
		for _, r := range f.relays {
			r.losesSyncedWrites = true
			r.diskAtStart = map[string][]byte{}
		}
	}
	s := &schedule{testFleet: f, rng: rng, expiresAt: f.now + 20000}
	for range 25 {
		s.replicateSome()
		s.revokeSome()
		s.acquireSome()
		s.injectFault()
		s.runUntil(s.now + 5 + 100*s.rng.Float64())
		if s.rng.Intn(2) == 0 {
			s.updateMembers()
		}
	}
	return s.checkAll()
}

// randomSchedules is the number of seeds that a test run tries.
const randomSchedules = 60

// The guarantees hold in random schedules of faults, in fleets of 9, 60 and 300 relays.
func TestRandomSchedules(t *testing.T) {
	for seed := range int64(randomSchedules) {
		require.Empty(t, runRandomSchedule(t, 9, seed, injectedFaults{}, false), "seed %d", seed)
	}
	require.Empty(t, runRandomSchedule(t, 60, 1, injectedFaults{}, false))
	if !testing.Short() {
		require.Empty(t, runRandomSchedule(t, 300, 1, injectedFaults{}, false))
	}
}

// losePowerAtReply kills all relays as soon as the owner has the outcome that its record is replicated, restarts them,
// and returns violations if the record was lost.
func losePowerAtReply(t *testing.T, seed int64, faults injectedFaults) []string {
	t.Helper()
	f := newTestFleet(t, 9, 3, 3, seed, faults)
	f.reserve(0, "k", f.now+5000)
	for until := f.now + 60; f.now < until && f.histories["k"].replicatedAt == 0; {
		f.runUntil(f.now + timeStep)
	}
	for i := range f.relays {
		f.killRelay(i)
	}
	for i := range f.relays {
		f.startRelay(i)
	}
	f.updateMembers()
	f.acquire(1, "k")
	f.runUntil(f.now + 1100)
	if f.histories["k"].uses != 1 {
		return []string{"lost"}
	}
	return f.checkHistories()
}

// The checks of this file detect each injected fault: a check that detects none would be worthless.
func TestInjectedFaultsAreDetected(t *testing.T) {
	type scenario func(t *testing.T, seed int64, faults injectedFaults) []string
	random := func(disksLoseWrites bool) scenario {
		return func(t *testing.T, seed int64, faults injectedFaults) []string {
			t.Helper()
			return runRandomSchedule(t, 9, seed, faults, disksLoseWrites)
		}
	}
	for _, c := range []struct {
		name     string
		faults   injectedFaults
		scenario scenario
		detected bool
	}{
		{"no fault", injectedFaults{}, losePowerAtReply, false},
		{"acknowledged before the sync", injectedFaults{ackBeforeSync: true}, losePowerAtReply, true},
		{"a replica counted twice", injectedFaults{countDuplicates: true}, random(false), true},
		{"a used record forgotten too early", injectedFaults{forgetUsed: true}, random(false), true},
		{"a revoked marker forgotten too early", injectedFaults{forgetRevoked: true}, random(false), true},
		{"disks that lose synced writes at a kill", injectedFaults{}, random(true), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			detected := slices.ContainsFunc(seeds(100), func(seed int64) bool {
				return len(c.scenario(t, seed, c.faults)) > 0
			})
			assert.Equal(t, c.detected, detected)
		})
	}
}

func seeds(count int) []int64 {
	all := make([]int64, count)
	for i := range all {
		all[i] = int64(i)
	}
	return all
}
