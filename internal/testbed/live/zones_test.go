package live

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/experiment"
)

// twoRegions is an experiment with fourteen processes, nine relays and five coordinators, in two regions of three zones
// each.
const twoRegions = `
name = "zones"
seed = SEED
length = "24s"
warm = "3s"
[relays]
count = 9
peers = true
disk = true
known = true
report-age = true
council = 5
[fleet]
servers = 12
zones = 6
regions = 2
cores = 4
store-rate = 400
[[traffic]]
category = "chat"
standing = 200
rate = 30
life = "20s"
load = 25
load-spread = 0.5
every = "500ms"
honours-busy = 0.5
[[traffic]]
category = "order"
effect = "single-use"
gain = 4
rate = 30
life = "2s"
load = 10
every = "400ms"
`

// decision is a decision that a relay applied, as its log has it.
type decision struct {
	at        time.Time
	number    uint64
	openZones string // names, of one letter each, of the zones that accept overflow from others
	isEmpty   bool   // it has no zone weights
}

var (
	decisionLine   = regexp.MustCompile(`time=(\S+) .*decision (\d+): \[(.*)\]`)
	zoneInDecision = regexp.MustCompile(`\{(\w+) \S+ (\w+)\}`) // a relay.ZoneWeight: name, share, accepts overflow
)

// decisionsInLog returns the decisions in a relay's log, over all its starts.
func decisionsInLog(t *testing.T, dir string, relay int) (all []decision) {
	text, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("relay-%d.log", relay)))
	require.NoError(t, err)
	for _, line := range strings.Split(string(text), "\n") {
		m := decisionLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339, m[1])
		require.NoError(t, err)
		d := decision{at: at, isEmpty: m[3] == ""}
		d.number, _ = strconv.ParseUint(m[2], 10, 64)
		for _, z := range zoneInDecision.FindAllStringSubmatch(m[3], -1) {
			if z[2] == "true" {
				d.openZones += z[1]
			}
		}
		all = append(all, d)
	}
	return all
}

// Nine relays and five coordinators agree on zones while faults occur: decisions of the same number open the same zones
// at all relays, no relay goes back to a lower number, even after a restart, and no audit rule is broken. Each case
// also checks whether a zone stops accepting overflow, and the share served at the end.
func TestZonesByProcesses(t *testing.T) {
	binary := buildRelay(t)
	slots := make(chan struct{}, 3)
	repeatFault := func(kind string, from, step, n int, rest string) (text string) {
		for i := range n {
			text += fault(kind, fmt.Sprintf("%dms", from+i*step), rest)
		}
		return text
	}
	for _, c := range []struct {
		name, faults string
		zoneClosed   string  // whether some decision has a zone that accepts no overflow: yes, no or either
		minService   float64 // lowest share of the offered weight that is served at the end
	}{
		{"a zone lost and back", fault("zone-lost", "7s", `for = "5s"`), "yes", 0.9},
		{"a zone grey: one in three tries breaks, health calls are fine", fault("zone-grey", "7s",
			"for = \"8s\"\nfactor = 0.5"), "yes", 0.9},
		{"a store that is slow for all", fault("slow-store", "7s", "for = \"5s\"\nfactor = 0.1"), "no", 0},
		{"a zone that flaps every second", repeatFault("zone-grey", 7000, 2000, 6, "for = \"1s\"\nfactor = 1"), "either",
			0.8},
		{"half of the machines cut off from the rest, and a zone lost", fault("way-cut", "7s",
			"for = \"6s\"\nfrom = \"half\"\nto = \"rest\"\nboth = true") + fault("zone-lost", "8s", `for = "6s"`),
			"either", 0.8},
		{"cut one way, a third lost, late and double", fault("way-cut", "7s",
			"for = \"4s\"\nfrom = \"half\"\nto = \"rest\"") +
			fault("way-loss", "7s", "for = \"9s\"\nfactor = 0.33") + fault("way-double", "7s",
			"for = \"9s\"\nfactor = 0.5") +
			fault("zone-lost", "12s", `for = "4s"`), "either", 0.8},
		{"some sleep, a leader perhaps, and wake", fault("relay-freeze", "6s", "for = \"4s\"\nshare = 0.4") +
			fault("zone-lost", "8s", `for = "5s"`), "either", 0.8},
		{"power lost in the middle of an emptying", fault("zone-lost", "7s", `for = "6s"`) + fault("power-loss",
			"9s",
			"for = \"1s\"\nspread = \"500ms\"\nshare = 1.0"), "either", 0.7},
		{"regions 80 ms apart, voters' clocks off, a zone lost", fault("way-delay", "4s",
			"for = \"20s\"\nfactor = 0.08\nfrom = \"half\"\nto = \"rest\"\nboth = true") + fault("clock-wrong", "5s",
			"for = \"12s\"\nshare = 0.4\nfactor = -7") + fault("zone-lost", "8s", `for = "5s"`), "yes", 0.8},
		{"each half is told of other servers by discovery, a zone has traffic and no servers",
			fault("discovery-lying",
				"6s", "for = \"8s\"\nshare = 0.3") + fault("way-cut", "7s",
				"for = \"5s\"\nfrom = \"half\"\nto = \"discovery\""),
			"either", 0.8},
		{"most voters never come back: each decides alone again", fault("zone-grey", "5s",
			"for = \"14s\"\nfactor = 0.6") +
			fault("power-loss", "9s", "for = \"1s\"\nspread = \"200ms\"\nshare = 0.67\nnever = 6"), "either", 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			// The seed depends on the length of the case's name.
			text := strings.Replace(twoRegions, "SEED", fmt.Sprint(7+len(c.name)), 1)
			if strings.Contains(c.name, "no servers") {
				text = strings.Replace(text, "servers = 12", "servers = 6\ncold = \"3s\"", 1) + fault("drain", "3s",
					"for = \"20s\"\nshare = 0.15") // each zone has one backend
			}
			r := playExperiment(t, binary, text+c.faults)
			if r == nil {
				return
			}
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			assert.Zero(t, r.SlowStartOverloads, "backends overloaded in slow start")
			assert.Greater(t, r.Metrics.ServedShare(19000, 24000), c.minService)
			openByNumber := map[uint64]string{}
			zoneClosed := false
			for i := range 9 {
				last := uint64(0)
				for _, d := range decisionsInLog(t, r.Logs, i) {
					assert.GreaterOrEqual(t, d.number, last, "relay %d went back to an earlier decision", i)
					if last = d.number; d.isEmpty {
						continue
					}
					if was, there := openByNumber[d.number]; there {
						assert.Equal(t, was, d.openZones, "decision %d", d.number)
					}
					openByNumber[d.number] = d.openZones
					zoneClosed = zoneClosed || len(d.openZones) < 6
				}
				assert.NotZero(t, last, "relay %d applied no decision", i)
			}
			if c.zoneClosed != "either" {
				assert.Equal(t, c.zoneClosed == "yes", zoneClosed, "%v", openByNumber)
			}
		})
	}
}

func TestCouncilOfAnExperiment(t *testing.T) {
	_, err := experiment.Parse([]byte(strings.Replace(strings.Replace(twoRegions, "SEED", "1", 1),
		"council = 5", "council = 4", 1)))
	assert.ErrorContains(t, err, "relays.council")
}
