package live

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/fleet"
)

// nine is a fleet of nine relays that know of each other and have disks; power returns with clients waiting.
const nine = `
name = "hard case"
seed = 6
length = "20s"
warm = "3s"
` + nineRelays + `[fleet]
servers = 9
zones = 3
cores = 2
store-rate = 300
cold = "4s"
[[traffic]]
category = "chat"
standing = 140
rate = 8
life = "20s"
load = 25
load-spread = 0.8
every = "500ms"
honours-busy = HONOURED
[[traffic]]
category = "order"
effect = "single-use"
gain = 4
rate = 4
life = "2s"
load = 10
every = "400ms"
`

func fault(kind, at, rest string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n%s\n", kind, at, rest)
}

// Hard cases of a power loss by nine processes under load, faults between them: no rule is broken, no server
// pushed over, nobody stays in a phase, and service is back at the end.
func TestHardCasesByProcesses(t *testing.T) {
	binary := buildRelay(t)
	loss := func(rest string) string {
		return fault("power-loss", "5s", "for = \"1s\"\nspread = \"500ms\"\nshare = 1.0\n"+rest)
	}
	ten := ""
	for i := range 10 {
		ten += fault("power-loss", fmt.Sprintf("%dms", 9500+550*i),
			"for = \"250ms\"\nspread = \"150ms\"\nshare = 1.0")
	}
	side := make(chan struct{}, 4) // as many at once as leave each its schedule
	for _, c := range []struct {
		name, faults string
		honoured     float64
	}{
		{"half returns and serves, then the other half with older disks",
			fault("power-loss", "5s", "for = \"500ms\"\nshare = 0.5") +
				fault("power-loss", "5010ms", "for = \"3s\"\nshare = 1.0\ndisk = \"older\""), 0.5},
		{"ten times over", ten, 0.5},
		{"two never return, nobody honours its time", loss("never = 2"), 0},
		{"two islands recover apart and meet", loss("") +
			fault("way-cut", "5s", "for = \"5s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true"), 0.5},
		{"discovery returns late and counts anew", loss("") + fault("discovery-down", "5s", "for = \"4s\"") +
			fault("discovery-back", "8900ms", ""), 0.5},
		{"addresses are taken by others, the store is slow for all", fault("address-taken", "4500ms",
			"share = 0.3") +
			loss("") + fault("slow-store", "5s", "for = \"3s\"\nfactor = 0.3"), 0.5},
		{"some sleep over the loss and wake with the old world",
			fault("relay-freeze", "4900ms", "for = \"3s\"\nshare = 0.3") + loss(""), 0.5},
		{"a third have clocks an hour ahead, and discovery stays down",
			fault("clock-wrong", "5100ms", "for = \"8s\"\nshare = 0.3") + loss("") +
				fault("discovery-down", "5s", "for = \"4s\""), 0.5},
		{"a third of what relays say is lost, some late, some twice", loss("") +
			fault("way-loss", "5s", "for = \"5s\"\nfactor = 0.33\nfrom = \"half\"\nto = \"rest\"\nboth = true") +
			fault("way-delay", "5s", "for = \"5s\"\nfactor = 0.3\nfrom = \"rest\"\nto = \"half\"") +
			fault("way-double", "5s", "for = \"5s\"\nfactor = 0.5\nfrom = \"half\"\nto = \"half\""), 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			side <- struct{}{}
			defer func() { <-side }()
			text := strings.Replace(nine, "HONOURED", fmt.Sprintf("%.1f", c.honoured), 1) + c.faults
			r := played(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "servers pushed over")
			assert.Greater(t, r.Metrics.ServedShare(17000, 20000), 0.8)
			for i, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				assert.Equal(t, "normal", s.Recovery.Phase, "relay %d: %s", i, s.Recovery.Reason)
			}
		})
	}
}

// What nine processes tell their clients while they recover lies at three machines each: clients find their
// places at any relay, with machines lost with their disks meanwhile, ways cut and relays that sleep.
func TestPlacesByProcesses(t *testing.T) {
	binary := buildRelay(t)
	side := make(chan struct{}, 4)
	for _, c := range []struct {
		name, faults string
		missed       float64 // of those that found a place, the most that did not get it
	}{
		{"nothing more", "", 0.15},
		{"a machine lost with its disk, and another", fault("relay-kill", "7s", "share = 0.12\ndisk = \"wiped\"") +
			fault("relay-kill", "8s", "share = 0.12\ndisk = \"wiped\""), 0.25},
		{"half cut off from the rest for a while", fault("way-cut", "7s",
			"for = \"1s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true"), 0.5},
		{"some sleep, a third of all words is lost, all power goes again", fault("relay-freeze", "7s",
			"for = \"700ms\"\nshare = 0.2") + fault("way-loss", "6s",
			"for = \"6s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\"") + fault("power-loss", "8s",
			"for = \"400ms\"\nspread = \"300ms\"\nshare = 1.0"), 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			side <- struct{}{}
			defer func() { <-side }()
			text := strings.NewReplacer("HONOURED", "0.9", "disk = true", "disk = true\nholdings = 3", "rate = 8",
				"rate = 16",
				"standing = 140", "standing = 220").Replace(nine) +
				fault("power-loss", "5s", "for = \"1s\"\nspread = \"500ms\"\nshare = 1.0") + c.faults
			r := played(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "servers pushed over")
			var promised, took, again, missed uint64
			for _, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				n := s.Replication.Counts["places"]
				promised, took, again, missed = promised+n.Replicated, took+n.Found, again+n.AlreadyUsed, missed+n.Missed
				t.Logf("relay: words held after %.1f ms, p99 %.1f", s.Replication.P50Millis, s.Replication.P99Millis)
			}
			t.Logf("promised %d, took %d, again %d, missed %d", promised, took, again, missed)
			assert.Greater(t, promised, uint64(5))
			assert.Greater(t, took, uint64(2))
			assert.LessOrEqual(t, float64(missed), 1+c.missed*float64(took+missed))
		})
	}
}

// Where servers do what a single-use link asks for and break before they say so, clients try again at any of
// nine processes: next to none of it is begun a second time, with machines lost with their disks, words lost
// between them and processes that sleep.
func TestMarksByProcesses(t *testing.T) {
	binary := buildRelay(t)
	side := make(chan struct{}, 3)
	for _, c := range []struct {
		name, faults string
		repeated     float64 // of the tries that meet a mark, the most that are begun again
		stood        bool    // clients of lost relays return to the servers where they stood
	}{
		{"nothing more", "", 0.1, false},
		{"a machine lost with its disk, and another", fault("relay-kill", "7s", "share = 0.12\ndisk = \"wiped\"") +
			fault("relay-kill", "9s", "share = 0.12\ndisk = \"wiped\""), 0.15, true},
		{"some sleep, a third of all words is lost", fault("relay-freeze", "8s", "for = \"700ms\"\nshare = 0.2") +
			fault("way-loss", "6s", "for = \"8s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 0.25, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			side <- struct{}{}
			defer func() { <-side }()
			text := strings.NewReplacer("HONOURED", "0.9", "disk = true",
				"disk = true\nholdings = 3\nremember = \"20s\"\nstood = true",
				"rate = 4", "rate = 12").Replace(nine) +
				fault("answers-lost", "5s", "for = \"10s\"\nshare = 1.0\nfactor = 0.5") + c.faults
			r := played(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			if c.stood {
				t.Logf("returned to where they stood %d of %d", r.Auditor.AffineReconnects, r.Auditor.Reconnects)
				assert.Greater(t, r.Auditor.Reconnects, 5)
				assert.GreaterOrEqual(t, float64(r.Auditor.AffineReconnects), 0.3*float64(r.Auditor.Reconnects))
			}
			met := 0
			for _, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				n := s.Replication.Counts["marks"]
				t.Logf("relay: marks %+v, held after %.1f ms, p99 %.1f", n, s.Replication.P50Millis, s.Replication.P99Millis)
				met += int(n.Found)
			}
			t.Logf("further tries that met a mark %d, begun again %d", met, r.Auditor.RepeatedEffects)
			assert.Greater(t, met, 10)
			assert.LessOrEqual(t, float64(r.Auditor.RepeatedEffects), 1+c.repeated*float64(met))
		})
	}
}
