package sim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/replication"
)

// entrusted plays a fleet whose relays have others hold what they tell clients, and sums what came of it at
// those that live at the end.
func entrusted(t *testing.T, text string) (*Result, replication.Counts, map[string]int) {
	s := New(parse(t, text), "module", nil)
	r, err := s.Run()
	require.NoError(t, err)
	assert.Zero(t, r.Audit.ViolationCount(), "%v", r.Audit.Violations)
	assert.Zero(t, r.Fallen, "servers pushed over")
	sum, left := replication.Counts{}, map[string]int{}
	for _, p := range s.relays {
		if !p.over {
			h := p.mates.core.Status(p.clock()).Replication
			sum.Add(h.Counts["places"])
			for kind, n := range h.Kinds {
				if n.Stored > 0 {
					left[kind] += n.Stored
				}
			}
		}
	}
	t.Logf("%+v, held at the end %v, service %.4f", sum, left, r.Tally.ServedShare(12000, 24000))
	return r, sum, left
}

// While the fleet recovers from a power loss, clients find their places at any relay: also with machines lost
// with their disks, ways cut and lossy, relays that sleep; and nothing is left behind.
func TestPlacesAreFound(t *testing.T) {
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3", "honours-busy = 0.5",
		"honours-busy = 0.9",
		`length = "34s"`, `length = "24s"`).Replace(machines) + fault("power-loss", "10s", "for = \"2s\"\nspread = \"1s\"\nshare = 1.0")
	for name, c := range map[string]struct {
		faults string
		missed float64 // of those that found a place, the most that did not get it
	}{
		"nothing more": {"", 0.01},
		"two machines lost with their disks, one after the other": {fault("relay-kill", "13500ms",
			"share = 0.12\ndisk = \"wiped\"") + fault("relay-kill", "15s", "share = 0.12\ndisk = \"wiped\""), 0.03},
		"ways cut for a while": {fault("way-cut", "13s",
			"for = \"2s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true"), 0.2},
		"a clock an hour ahead": {fault("clock-wrong", "11s", "for = \"12s\"\nshare = 0.1\nfactor = 3600"), 0.03},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, sum, left := entrusted(t, text+c.faults)
			assert.Greater(t, sum.Replicated, uint64(30))
			assert.Greater(t, sum.Found, uint64(10))
			assert.LessOrEqual(t, float64(sum.Missed), c.missed*float64(sum.Found+sum.Missed))
			assert.Empty(t, left)
		})
	}
}

// Where servers do what a single-use link asks for and break before they say so, its client tries again at
// whatever relay: with marks next to nothing is begun a second time, also with machines lost with their
// disks, lossy ways and relays that sleep; without, it is each time.
func TestMarksKeepEffectsSingle(t *testing.T) {
	lost := fault("answers-lost", "6s", "for = \"14s\"\nshare = 1.0\nfactor = 0.4")
	with := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nremember = \"20s\"", `length = "34s"`,
		`length = "24s"`).Replace(machines)
	for name, c := range map[string]struct {
		text     string
		repeated int // at the most
		least    int
	}{
		"nothing is held": {strings.Replace(machines, `length = "34s"`, `length = "24s"`, 1) + lost, 1000, 15},
		"marks":           {with + lost, 0, 0},
		"machines lost with their disks": {with + lost + fault("relay-kill", "9s",
			"share = 0.12\ndisk = \"wiped\"") +
			fault("relay-kill", "12s", "share = 0.12\ndisk = \"wiped\""), 2, 0},
		"a third of what relays say is lost": {with + lost + fault("way-loss", "6s",
			"for = \"14s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 3, 0},
		"some sleep": {with + lost + fault("relay-freeze", "9s", "for = \"2s\"\nshare = 0.2"), 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(parse(t, c.text), "module", nil)
			r, err := s.Run()
			require.NoError(t, err)
			assert.Zero(t, r.Audit.ViolationCount(), "%v", r.Audit.Violations)
			assert.LessOrEqual(t, r.Audit.RepeatedEffects, c.repeated)
			assert.GreaterOrEqual(t, r.Audit.RepeatedEffects, c.least)
			sum := replication.Counts{}
			for _, p := range s.relays {
				if h := p.mates.core.Status(p.clock()).Replication; h != nil && !p.over {
					sum.Add(h.Counts["marks"])
				}
			}
			t.Logf("repeated %d, %+v, service %.4f", r.Audit.RepeatedEffects, sum, r.Tally.ServedShare(6000, 20000))
			if c.least == 0 {
				assert.Greater(t, sum.Found, uint64(20), "further tries that met a mark")
			}
		})
	}
}

// Clients whose relay is lost with its disk return to the servers where they stood, as others know of them;
// without, by chance.
func TestClientsReturnWhereTheyStood(t *testing.T) {
	loss := fault("relay-kill", "12s", "share = 0.34\ndisk = \"wiped\"")
	with := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nstood = true", `length = "34s"`,
		`length = "20s"`).Replace(machines)
	for name, c := range map[string]struct {
		text        string
		least, most float64 // of those that return, that do so to where they stood
	}{
		"nothing is held": {strings.Replace(machines, `length = "34s"`, `length = "20s"`, 1) + loss, 0, 0.3},
		"hints":           {with + loss, 0.95, 1},
		"a third of what relays say is lost": {with + loss + fault("way-loss", "4s",
			"for = \"16s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 0.85, 1},
		"a third of the servers drain": {with + loss + fault("drain", "11900ms", "for = \"8s\"\nshare = 0.34"), 0.2,
			0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(parse(t, c.text), "module", nil)
			r, err := s.Run()
			require.NoError(t, err)
			assert.Zero(t, r.Audit.ViolationCount(), "%v", r.Audit.Violations)
			assert.Zero(t, r.Fallen, "servers pushed over")
			share := float64(r.Audit.AffineReconnects) / float64(r.Audit.Reconnects)
			t.Logf("%d of %d, service %.4f", r.Audit.AffineReconnects, r.Audit.Reconnects, r.Tally.ServedShare(12000, 20000))
			assert.Greater(t, r.Audit.Reconnects, 60)
			assert.GreaterOrEqual(t, share, c.least)
			assert.LessOrEqual(t, share, c.most)
		})
	}
}

// Three hundred relays and 120 servers, nine machines lost with their disks: effects are not begun again, clients
// return where they stood, no rule is broken.
func TestHeldAtThreeHundred(t *testing.T) {
	if testing.Short() {
		t.Skip("one routine, and minutes under the race detector")
	}
	text := strings.NewReplacer("disk = true", "disk = true\nholdings = 3\nremember = \"10s\"\nstood = true",
		"count = 9", "count = 300", "servers = 12", "servers = 120", "honours-busy = 0.5", "honours-busy = 0.9",
		"cores = 2", "cores = 4", "standing = 240", "standing = 2400", "rate = 10", "rate = 60", "rate = 5", "rate = 60",
		"store-rate = 400", "store-rate = 3000", `length = "34s"`, `length = "8s"`).Replace(machines) +
		fault("relay-kill", "4500ms", "share = 0.03\ndisk = \"wiped\"") +
		fault("answers-lost", "3s", "for = \"4s\"\nshare = 1.0\nfactor = 0.4")
	s := New(parse(t, text), "module", nil)
	r, err := s.Run()
	require.NoError(t, err)
	assert.Zero(t, r.Audit.ViolationCount(), "%v", r.Audit.Violations)
	assert.Zero(t, r.Fallen, "servers pushed over")
	sums := map[string]replication.Counts{}
	for _, p := range s.relays {
		if !p.over {
			for kind, n := range p.mates.core.Status(p.clock()).Replication.Counts {
				sum := sums[kind]
				sum.Add(n)
				sums[kind] = sum
			}
		}
	}
	t.Logf("%+v; begun again %d; %d of %d back where they stood; service %.4f", sums, r.Audit.RepeatedEffects, r.Audit.AffineReconnects,
		r.Audit.Reconnects, r.Tally.ServedShare(4500, 8000))
	assert.Greater(t, sums["marks"].Found, uint64(20))
	assert.LessOrEqual(t, float64(r.Audit.RepeatedEffects), 2+0.1*float64(sums["marks"].Found))
	assert.Greater(t, r.Audit.Reconnects, 40)
	assert.GreaterOrEqual(t, float64(r.Audit.AffineReconnects), 0.8*float64(r.Audit.Reconnects))
}
