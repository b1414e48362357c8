package sim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/fleet"
	"valeshift/internal/replication"
)

// These experiments run fleets whose relays replicate records at each other, while machines, disks and the network
// fail.

// The kinds of records as the status names them.
const (
	reservations = "places"
	markers      = "marks"
)

// runReplicated runs an experiment. No rule of the audit may be broken.
func runReplicated(t *testing.T, text string) (*Sim, *Result) {
	t.Helper()
	s := New(parse(t, text), "module", nil)
	r, err := s.Run()
	require.NoError(t, err)
	assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
	return s, r
}

// replicationStatuses returns the status of each relay that is up at the end and replicates.
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

// replicationCounts sums a kind's counts over the relays that are up at the end.
func (s *Sim) replicationCounts(kind string) replication.Counts {
	sum := replication.Counts{}
	for _, status := range s.replicationStatuses() {
		sum.Add(status.Counts[kind])
	}
	return sum
}

// storedRecords returns how many records of each kind are stored at the end, without those of which there are none.
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

// While the fleet recovers from a power loss, clients find their reservations at any relay, also with machines lost
// with their disks, and partitions; and no record is left behind.
func TestReservationsAreFound(t *testing.T) {
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3", "honours-busy = 0.5",
		"honours-busy = 0.9",
		`length = "34s"`, `length = "24s"`).Replace(machines) +
		fault("power-loss", "10s", "for = \"2s\"\nspread = \"1s\"\nshare = 1.0")
	for _, c := range []struct {
		name           string
		faults         string
		maxMissedShare float64 // of the reservations that were found, those that were not acquired
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
			assert.Zero(t, r.ColdOverloads, "backends overloaded until they failed")
			counts := s.replicationCounts(reservations)
			stored := s.storedRecords()
			t.Logf("%+v, stored at the end %v, service %.4f", counts, stored, r.Metrics.ServedShare(12000, 24000))
			assert.Greater(t, counts.Replicated, uint64(30))
			assert.Greater(t, counts.Found, uint64(10))
			assert.LessOrEqual(t, float64(counts.Missed), c.maxMissedShare*float64(counts.Found+counts.Missed))
			assert.Empty(t, stored)
		})
	}
}

// Where backends do what a single-use session asks for and break before they say so, its client retries at whatever
// relay. With markers next to nothing is begun a second time, also with machines lost with their disks, a lossy
// network and paused relays; without, it is each time.
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
			t.Logf("repeated %d, %+v, service %.4f", r.Auditor.RepeatedEffects, counts, r.Metrics.ServedShare(6000, 20000))
			if c.minRepeated == 0 {
				assert.Greater(t, counts.Found, uint64(20), "retries that met a marker")
			}
		})
	}
}

// Clients whose relay is lost with its disk return to the backends where they were, as other relays know of them;
// without affinities they do by chance.
func TestClientsReturnToTheirBackends(t *testing.T) {
	relaysLost := fault("relay-kill", "12s", "share = 0.34\ndisk = \"wiped\"")
	without := strings.Replace(machines, `length = "34s"`, `length = "20s"`, 1) + relaysLost
	with := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nstood = true", `length = "34s"`,
		`length = "20s"`).Replace(machines) + relaysLost
	for _, c := range []struct {
		name     string
		text     string
		minShare float64 // of the clients that return, those that do so to their backend
		maxShare float64
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
			assert.Zero(t, r.ColdOverloads, "backends overloaded until they failed")
			share := float64(r.Auditor.AffineReconnects) / float64(r.Auditor.Reconnects)
			t.Logf("%d of %d, service %.4f", r.Auditor.AffineReconnects, r.Auditor.Reconnects, r.Metrics.ServedShare(12000, 20000))
			assert.Greater(t, r.Auditor.Reconnects, 60)
			assert.GreaterOrEqual(t, share, c.minShare)
			assert.LessOrEqual(t, share, c.maxShare)
		})
	}
}

// Three hundred relays and 120 backends, nine machines lost with their disks: effects are not begun again, clients
// return to their backends, no rule is broken.
func TestReplicationAtThreeHundredRelays(t *testing.T) {
	if testing.Short() {
		t.Skip("one goroutine, and minutes under the race detector")
	}
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nremember = \"10s\"\nstood = true",
		"count = 9", "count = 300", "servers = 12", "servers = 120", "honours-busy = 0.5", "honours-busy = 0.9",
		"cores = 2", "cores = 4", "standing = 240", "standing = 2400", "rate = 10", "rate = 60", "rate = 5", "rate = 60",
		"store-rate = 400", "store-rate = 3000", `length = "34s"`, `length = "8s"`).Replace(machines) +
		fault("relay-kill", "4500ms", "share = 0.03\ndisk = \"wiped\"") +
		fault("answers-lost", "3s", "for = \"4s\"\nshare = 1.0\nfactor = 0.4")
	s, r := runReplicated(t, text)
	assert.Zero(t, r.ColdOverloads, "backends overloaded until they failed")
	counts := s.replicationCounts(markers)
	t.Logf("markers %+v; begun again %d; %d of %d back at their backends; service %.4f", counts, r.Auditor.RepeatedEffects,
		r.Auditor.AffineReconnects, r.Auditor.Reconnects, r.Metrics.ServedShare(4500, 8000))
	assert.Greater(t, counts.Found, uint64(20))
	assert.LessOrEqual(t, float64(r.Auditor.RepeatedEffects), 2+0.1*float64(counts.Found))
	assert.Greater(t, r.Auditor.Reconnects, 40)
	assert.GreaterOrEqual(t, float64(r.Auditor.AffineReconnects), 0.8*float64(r.Auditor.Reconnects))
}
