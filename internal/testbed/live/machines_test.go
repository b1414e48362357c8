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

// nineRelaysUnderLoad is an experiment with nine relays that know of each other and have disks. Clients keep arriving
// during a power loss, so that many of them wait when power returns. HONOURED stands for the share of clients that wait
// as long as Retry-After says.
const nineRelaysUnderLoad = `
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

// fault returns one fault of an experiment, in TOML.
func fault(kind, at, rest string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n%s\n", kind, at, rest)
}

// Nine relay processes under load recover from a power loss combined with other faults: no audit rule is broken, no
// backend is overloaded in slow start, every relay has ended its recovery, and clients are served at the end.
func TestHardCasesByProcesses(t *testing.T) {
	binary := buildRelay(t)
	loss := func(rest string) string {
		return fault("power-loss", "5s", "for = \"1s\"\nspread = \"500ms\"\nshare = 1.0\n"+rest)
	}
	tenLosses := ""
	for i := range 10 {
		tenLosses += fault("power-loss", fmt.Sprintf("%dms", 9500+550*i),
			"for = \"250ms\"\nspread = \"150ms\"\nshare = 1.0")
	}
	slots := make(chan struct{}, 4) // limits the runs at once, so that each of them keeps its schedule
	for _, c := range []struct {
		name, faults     string
		honorsRetryAfter float64 // share of the clients that do
	}{
		{"half returns and serves, then the other half with older disks",
			fault("power-loss", "5s", "for = \"500ms\"\nshare = 0.5") +
				fault("power-loss", "5010ms", "for = \"3s\"\nshare = 1.0\ndisk = \"older\""), 0.5},
		{"ten times over", tenLosses, 0.5},
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
			slots <- struct{}{}
			defer func() { <-slots }()
			text := strings.Replace(nineRelaysUnderLoad, "HONOURED", fmt.Sprintf("%.1f", c.honorsRetryAfter), 1) + c.faults
			r := playExperiment(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded in slow start")
			assert.Greater(t, r.Metrics.ServedShare(17000, 20000), 0.8)
			for i, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				assert.Equal(t, "normal", s.Recovery.Phase, "relay %d: %s", i, s.Recovery.Reason)
			}
		})
	}
}

// Nine relay processes that recover give clients reservations, each replicated on three machines: clients can use them
// at any relay, even if machines are lost with their disks, network paths are cut or relays are frozen meanwhile.
func TestPlacesByProcesses(t *testing.T) {
	binary := buildRelay(t)
	slots := make(chan struct{}, 4) // limits the runs at once
	for _, c := range []struct {
		name, faults string
		missed       float64 // largest share of the reservations found that may not be acquired in time
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
			slots <- struct{}{}
			defer func() { <-slots }()
			text := strings.NewReplacer("HONOURED", "0.9", "disk = true", "disk = true\nholdings = 3", "rate = 8",
				"rate = 16",
				"standing = 140", "standing = 220").Replace(nineRelaysUnderLoad) +
				fault("power-loss", "5s", "for = \"1s\"\nspread = \"500ms\"\nshare = 1.0") + c.faults
			r := playExperiment(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded in slow start")
			var reserved, found, alreadyUsed, missed uint64
			for _, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				n := s.Replication.Counts["places"]
				reserved, found, alreadyUsed, missed = reserved+n.Replicated, found+n.Found, alreadyUsed+n.AlreadyUsed,
					missed+n.Missed
				t.Logf("relay: records replicated in %.1f ms, p99 %.1f", s.Replication.P50Millis, s.Replication.P99Millis)
			}
			t.Logf("reservations: %d replicated, %d acquired, %d already used, %d missed", reserved, found, alreadyUsed, missed)
			assert.Greater(t, reserved, uint64(5))
			assert.Greater(t, found, uint64(2))
			assert.LessOrEqual(t, float64(missed), 1+c.missed*float64(found+missed))
		})
	}
}

// Backends start single-use sessions but break before they answer, and the clients retry at any of nine relay
// processes: their attempt markers keep nearly all of these sessions from being started a second time, even if machines
// are lost with their disks, datagrams between relays are lost or processes are frozen.
func TestMarksByProcesses(t *testing.T) {
	binary := buildRelay(t)
	slots := make(chan struct{}, 3) // limits the runs at once
	for _, c := range []struct {
		name, faults     string
		maxRepeatedShare float64 // most sessions that may start again, as a share of the retries that meet a marker
		checksAffinity   bool    // clients of lost relays must return to the backends that they were connected to
	}{
		{"nothing more", "", 0.1, false},
		{"a machine lost with its disk, and another", fault("relay-kill", "7s", "share = 0.12\ndisk = \"wiped\"") +
			fault("relay-kill", "9s", "share = 0.12\ndisk = \"wiped\""), 0.15, true},
		{"some sleep, a third of all words is lost", fault("relay-freeze", "8s", "for = \"700ms\"\nshare = 0.2") +
			fault("way-loss", "6s", "for = \"8s\"\nfactor = 0.33\nfrom = \"relays\"\nto = \"relays\""), 0.25, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			text := strings.NewReplacer("HONOURED", "0.9", "disk = true",
				"disk = true\nholdings = 3\nremember = \"20s\"\nstood = true",
				"rate = 4", "rate = 12").Replace(nineRelaysUnderLoad) +
				fault("answers-lost", "5s", "for = \"10s\"\nshare = 1.0\nfactor = 0.5") + c.faults
			r := playExperiment(t, binary, text)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			if c.checksAffinity {
				t.Logf("returned to their backends: %d of %d", r.Auditor.AffineReconnects, r.Auditor.Reconnects)
				assert.Greater(t, r.Auditor.Reconnects, 5)
				assert.GreaterOrEqual(t, float64(r.Auditor.AffineReconnects), 0.3*float64(r.Auditor.Reconnects))
			}
			found := 0
			for _, text := range r.FleetStatus {
				var s fleet.Status
				require.NoError(t, json.Unmarshal(text, &s))
				n := s.Replication.Counts["marks"]
				t.Logf("relay: markers %+v, replicated in %.1f ms, p99 %.1f", n, s.Replication.P50Millis, s.Replication.P99Millis)
				found += int(n.Found)
			}
			t.Logf("retries that met a marker: %d, effects repeated: %d", found, r.Auditor.RepeatedEffects)
			assert.Greater(t, found, 10)
			assert.LessOrEqual(t, float64(r.Auditor.RepeatedEffects), 1+c.maxRepeatedShare*float64(found))
		})
	}
}
