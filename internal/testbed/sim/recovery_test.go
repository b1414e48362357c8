package sim

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

// machines is a fleet whose relays have membership and disks. Its load is half of the backends' capacity.
const machines = `
name = "machines"
seed = 9
length = "34s"
warm = "4s"
[relays]
count = 9
known = false
peers = true
disk = true
[fleet]
servers = 12
zones = 3
cores = 2
speed-spread = 0.3
store-rate = 400
[[traffic]]
category = "chat"
standing = 240
rate = 10
life = "30s"
load = 40
load-spread = 0.8
every = "1s"
honours-busy = 0.5
[[traffic]]
category = "order"
effect = "single-use"
gain = 4
rate = 5
life = "5s"
load = 20
every = "500ms"
honours-busy = 0.5
`

// fault returns the text of a fault in an experiment file; rest holds its other fields.
func fault(kind, at, rest string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n%s\n", kind, at, rest)
}

// wrongClocks sets the clocks of a share of the relays wrong before power returns, and right again four seconds after
// it is back.
func wrongClocks(share, seconds float64) string {
	return fault("clock-wrong", "11s", fmt.Sprintf("for = \"6s\"\nshare = %v\nfactor = %v", share, seconds))
}

// After a power loss, in combination with other faults, no rule is broken and no backend is overloaded. At the end all
// running relays are in the normal phase and clients are served again.
func TestPowerLossRecovery(t *testing.T) {
	powerLoss := fault("power-loss", "10s", "for = \"2s\"\nspread = \"1s\"\nshare = 1.0")
	tenPowerLosses := ""
	for i := range 10 {
		tenPowerLosses += fault("power-loss", fmt.Sprintf("%dms", 8000+1300*i),
			"for = \"400ms\"\nspread = \"600ms\"\nshare = 1.0")
	}
	for _, c := range []struct{ name, faults string }{
		{"all at once", powerLoss},
		{"half returns and serves, then the other half with older disks",
			fault("power-loss", "10s", "for = \"1s\"\nshare = 0.5") +
				fault("power-loss", "10010ms", "for = \"6s\"\nshare = 1.0\ndisk = \"older\"")},
		{"ten times over", tenPowerLosses},
		{"two never return", strings.Replace(powerLoss, "share", "never = 2\nshare", 1)},
		{"discovery returns late and counts anew", powerLoss + fault("discovery-down", "10s", "for = \"7s\"") +
			fault("discovery-back", "16s", "")},
		{"addresses are taken by others", powerLoss + fault("address-taken", "9s", "share = 0.3")},
		{"two islands recover apart and meet", powerLoss + fault("way-cut", "10s",
			"for = \"8s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true")},
		{"a third of what relays say is lost, all of it late", powerLoss + fault("way-loss", "10s",
			"for = \"9s\"\nfactor = 0.33\nfrom = \"half\"\nto = \"rest\"\nboth = true") +
			fault("way-delay", "10s", "for = \"9s\"\nfactor = 0.3\nfrom = \"rest\"\nto = \"half\"")},
		{"some are stopped over the loss and wake with the old world",
			fault("relay-freeze", "9900ms", "for = \"5s\"\nshare = 0.3") + powerLoss},
		{"the store is slow for all", powerLoss + fault("slow-store", "10s", "for = \"6s\"\nfactor = 0.3")},
		{"nobody honours its time", strings.Replace(powerLoss, "share", "factor = 0\nshare", 1)},
		{"clocks an hour ahead at one relay", powerLoss + wrongClocks(0.1, 3600)},
		{"clocks an hour behind at three", powerLoss + wrongClocks(0.3, -3600)},
		{"clocks an hour ahead at all, until power is long back", powerLoss + wrongClocks(1, 3600)},
		{"disks wiped", strings.Replace(powerLoss, "share", "disk = \"wiped\"\nshare", 1)},
		{"disks torn", strings.Replace(powerLoss, "share", "disk = \"torn\"\nshare", 1)},
		{"bits flipped", strings.Replace(powerLoss, "share", "disk = \"flipped\"\nshare", 1)},
		{"all have another's disk", strings.Replace(powerLoss, "share", "disk = \"another's\"\nshare", 1)},
		{"disks full", strings.Replace(powerLoss, "share", "disk = \"full\"\nshare", 1)},
		{"disks that take ten seconds", strings.Replace(powerLoss, "share", "disk = \"slow\"\nshare", 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := machines + c.faults
			if strings.HasPrefix(c.name, "nobody honours") {
				text = strings.ReplaceAll(text, "honours-busy = 0.5", "honours-busy = 0.0")
			}
			s := New(parse(t, text), "module", nil)
			r, err := s.Run()
			require.NoError(t, err)
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded until they failed")
			minService := 0.9
			if strings.Contains(c.faults, "wiped") || strings.Contains(c.faults, "another's") {
				minService = 0.85 // no capacities of backends are known from before the power loss
			}
			assert.Greater(t, r.Metrics.ServedShare(30000, 33000), minService)
			phases, live := s.Phases(), 0
			for _, m := range s.machines {
				p := m.process
				if !p.isExited {
					live++
				}
			}
			assert.Equal(t, live, phases[recovery.Normal], "%v", phases)
		})
	}
}

// Relays recover from a power loss faster with what they stored on disk and learn from each other than without.
func TestMembershipAndDisksSpeedUpRecovery(t *testing.T) {
	service := map[bool]float64{}
	for _, enabled := range []bool{false, true} {
		x := parse(t, machines+fault("power-loss", "10s", "for = \"2s\"\nspread = \"1s\"\nshare = 1.0"))
		x.Relays.Membership, x.Relays.Disk = enabled, enabled
		r, err := Run(x, "module", nil)
		require.NoError(t, err)
		service[enabled] = r.Metrics.ServedShare(13000, 20000)
	}
	assert.Greater(t, service[true], 2*service[false])
}

// The checks of TestPowerLossRecovery detect relays that recover wrongly: each fault injected into the relays leads to
// a violation or an overload, and the same experiment without it to none.
func TestFaultyRecoveryIsCaught(t *testing.T) {
	discoveryDown := fault("discovery-down", "10s", "for = \"5s\"")
	changeRestored := func(change func(k *relay.Snapshot)) func(e relay.Event) relay.Event {
		return func(e relay.Event) relay.Event {
			if restored, ok := e.(relay.StateRestored); ok {
				k := *restored.Snapshot
				change(&k)
				return relay.StateRestored{Snapshot: &k}
			}
			return e
		}
	}
	for _, c := range []struct {
		name, otherFaults string
		before            func(e relay.Event) relay.Event
	}{
		{"each believes that servers bear a hundred times as much", discoveryDown,
			changeRestored(func(k *relay.Snapshot) { k.Capacity *= 100 })},
		{"each takes hearsay for discovery's word", discoveryDown,
			changeRestored(func(k *relay.Snapshot) { k.EndpointsAssumed = false })},
		{"none is told that its clock is ahead", fault("clock-wrong", "11s", "for = \"16s\"\nshare = 1.0"),
			func(e relay.Event) relay.Event {
				switch e := e.(type) {
				case relay.ClockSkewMeasured:
					return relay.ClockSkewMeasured{}
				case relay.EndpointsUpdated:
					undated := *e.Update
					undated.DiscoveryTime = 0
					return relay.EndpointsUpdated{Watch: e.Watch, Update: &undated}
				}
				return e
			}},
	} {
		// enough clients to overload backends that are still in slow start
		text := strings.Replace(machines, "standing = 240", "standing = 500", 1) +
			fault("power-loss", "10s", "for = \"2s\"\nspread = \"5s\"\nshare = 1.0") + c.otherFaults
		for _, injected := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %t", c.name, injected), func(t *testing.T) {
				t.Parallel()
				s := New(parse(t, text), "module", nil)
				if injected {
					s.WrapStateMachine = func(_ int, stateMachine StateMachine) StateMachine {
						return &faultyStateMachine{StateMachine: stateMachine, before: c.before}
					}
				}
				r, err := s.Run()
				require.NoError(t, err)
				assert.Equal(t, injected, r.Auditor.ViolationCount()+r.SlowStartOverloads > 0, "%v", r.Auditor.Violations)
			})
		}
	}
}
