package sim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/fleet"
	"valeshift/internal/replication"
)

// The kinds of records, as the fleet status names them.
const (
	reservations = "places"
	markers      = "marks"
)

// runReplicated runs an experiment with replication and checks that it breaks no rule.
func runReplicated(t *testing.T, text string) (*Sim, *Result) {
	t.Helper()
	s := New(parse(t, text), "module", nil)
	r, err := s.Run()
	require.NoError(t, err)
	assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
	return s, r
}

// replicationStatuses returns the replication status of each relay that runs at the end.
func (s *Sim) replicationStatuses() []*fleet.ReplicationStatus {
	var statuses []*fleet.ReplicationStatus
	for _, m := range s.machines {
		p := m.process
		if p.isExited {
			continue
		}
		if status := p.fleetNode.core.Status(p.clock()).Replication; status != nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// replicationCounts sums the counts of one kind of record over the relays that run at the end.
func (s *Sim) replicationCounts(kind string) replication.Counts {
	sum := replication.Counts{}
	for _, status := range s.replicationStatuses() {
		sum.Add(status.Counts[kind])
	}
	return sum
}

// storedRecords returns how many records of each kind are stored at the end. Kinds without records are left out.
func (s *Sim) storedRecords() map[string]int {
	stored := map[string]int{}
	for _, status := range s.replicationStatuses() {
		for kind, one := range status.Kinds {
			if one.Stored > 0 {
				stored[kind] += one.Stored
			}
		}
	}
	return stored
}

// While the fleet recovers from a power loss, clients find their reservations at any relay, even if machines are lost
// with their disks or the network is partitioned. No record is left at the end.
func TestReservationsAreFound(t *testing.T) {
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3", "honours-busy = 0.5",
		"honours-busy = 0.9",
		`length = "34s"`, `length = "24s"`).Replace(machines) +
		fault("power-loss", "10s", "for = \"2s\"\nspread = \"1s\"\nshare = 1.0")
	for _, c := range []struct {
		name           string
		faults         string
		maxMissedShare float64 // greatest share of the reservations found that may fail to be acquired in time
	}{
		{"no other fault", "", 0.01},
		{"two machines lost with their disks, one after the other", fault("relay-kill", "13500ms",
			"share = 0.12\ndisk = \"wiped\"") + fault("relay-kill", "15s", "share = 0.12\ndisk = \"wiped\""), 0.03},
		{"partitioned for a while", fault("way-cut", "13s",
			"for = \"2s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true"), 0.2},
		{"a clock an hour ahead", fault("clock-wrong", "11s", "for = \"12s\"\nshare = 0.1\nfactor = 3600"), 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, r := runReplicated(t, text+c.faults)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded until they failed")
			counts := s.replicationCounts(reservations)
			stored := s.storedRecords()
			t.Logf("reservations %+v, stored at the end %v, service %.4f", counts, stored,
				r.Metrics.ServedShare(12000, 24000))
			assert.Greater(t, counts.Replicated, uint64(30))
			assert.Greater(t, counts.Found, uint64(10))
			assert.LessOrEqual(t, float64(counts.Missed), c.maxMissedShare*float64(counts.Found+counts.Missed))
			assert.Empty(t, stored)
		})
	}
}

// Backends carry out single-use sessions but fail before they answer, and the clients retry at any relay. Attempt
// markers prevent almost all repeated effects, even if machines are lost with their disks, the network loses datagrams
// or relays are paused. Without markers effects are repeated.
func TestMarkersPreventRepeatedEffects(t *testing.T) {
	answersLost := fault("answers-lost", "6s", "for = \"14s\"\nshare = 1.0\nfactor = 0.4")
	without := strings.Replace(machines, `length = "34s"`, `length = "24s"`, 1) + answersLost
	with := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nremember = \"20s\"", `length = "34s"`,
		`length = "24s"`).Replace(machines) + answersLost
	for _, c := range []struct {
		name        string
		text        string
		maxRepeated int
		minRepeated int
	}{
		{"without markers", without, 1000, 15},
		{"with markers", with, 0, 0},
		{"machines lost with their disks", with +
			fault("relay-kill", "9s", "share = 0.12\ndisk = \"wiped\"") +
			fault("relay-kill", "12s", "share = 0.12\ndisk = \"wiped\""), 2, 0},
		{"a third of the datagrams between relays lost", with + fault("way-loss", "6s",
			"for = \"14s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 3, 0},
		{"some relays paused", with + fault("relay-freeze", "9s", "for = \"2s\"\nshare = 0.2"), 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, r := runReplicated(t, c.text)
			assert.LessOrEqual(t, r.Auditor.RepeatedEffects, c.maxRepeated)
			assert.GreaterOrEqual(t, r.Auditor.RepeatedEffects, c.minRepeated)
			counts := s.replicationCounts(markers)
			t.Logf("%d effects repeated, markers %+v, service %.4f", r.Auditor.RepeatedEffects, counts,
				r.Metrics.ServedShare(6000, 20000))
			if c.minRepeated == 0 {
				assert.Greater(t, counts.Found, uint64(20), "too few retries found an attempt marker")
			}
		})
	}
}

// Clients whose relay is lost with its disk return to their former backends, because other relays have replicas of the
// affinity records. Without replicated affinities they return there only by chance.
func TestClientsReturnToTheirBackends(t *testing.T) {
	relaysLost := fault("relay-kill", "12s", "share = 0.34\ndisk = \"wiped\"")
	without := strings.Replace(machines, `length = "34s"`, `length = "20s"`, 1) + relaysLost
	with := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nstood = true", `length = "34s"`,
		`length = "20s"`).Replace(machines) + relaysLost
	for _, c := range []struct {
		name     string
		text     string
		minShare float64 // least share of the returning clients that reach their former backend
		maxShare float64 // greatest share of the returning clients that reach their former backend
	}{
		{"without affinities", without, 0, 0.3},
		{"with affinities", with, 0.95, 1},
		{"a third of the datagrams between relays lost", with + fault("way-loss", "4s",
			"for = \"16s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 0.85, 1},
		{"a third of the backends drain", with + fault("drain", "11900ms", "for = \"8s\"\nshare = 0.34"), 0.2, 0.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, r := runReplicated(t, c.text)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded until they failed")
			share := float64(r.Auditor.AffineReconnects) / float64(r.Auditor.Reconnects)
			t.Logf("%d of %d clients back at their backends, service %.4f", r.Auditor.AffineReconnects,
				r.Auditor.Reconnects, r.Metrics.ServedShare(12000, 20000))
			assert.Greater(t, r.Auditor.Reconnects, 60)
			assert.GreaterOrEqual(t, share, c.minShare)
			assert.LessOrEqual(t, share, c.maxShare)
		})
	}
}

// With 300 relays and 120 backends, of which nine relays are lost with their disks, attempt markers and affinities work
// as in small fleets: few effects are repeated, clients return to their backends, and no rule is broken.
func TestReplicationAtThreeHundredRelays(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in one goroutine, for minutes under the race detector")
	}
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nremember = \"10s\"\nstood = true",
		"count = 9", "count = 300", "servers = 12", "servers = 120", "honours-busy = 0.5", "honours-busy = 0.9",
		"cores = 2", "cores = 4", "standing = 240", "standing = 2400", "rate = 10", "rate = 60", "rate = 5", "rate = 60",
		"store-rate = 400", "store-rate = 3000", `length = "34s"`, `length = "8s"`).Replace(machines) +
		fault("relay-kill", "4500ms", "share = 0.03\ndisk = \"wiped\"") +
		fault("answers-lost", "3s", "for = \"4s\"\nshare = 1.0\nfactor = 0.4")
	s, r := runReplicated(t, text)
	assert.Zero(t, r.SlowStartOverloads, "backends overloaded until they failed")
	counts := s.replicationCounts(markers)
	t.Logf("markers %+v; %d effects repeated; %d of %d clients back at their backends; service %.4f", counts,
		r.Auditor.RepeatedEffects, r.Auditor.AffineReconnects, r.Auditor.Reconnects, r.Metrics.ServedShare(4500, 8000))
	assert.Greater(t, counts.Found, uint64(20))
	assert.LessOrEqual(t, float64(r.Auditor.RepeatedEffects), 2+0.1*float64(counts.Found))
	assert.Greater(t, r.Auditor.Reconnects, 40)
	assert.GreaterOrEqual(t, float64(r.Auditor.AffineReconnects), 0.8*float64(r.Auditor.Reconnects))
}
