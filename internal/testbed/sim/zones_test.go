package sim

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/experiment"
)

// regions is a fleet in two regions of three zones, whose relays follow a council of five.
const regions = `
name = "zones"
seed = 11
length = "30s"
warm = "4s"
[relays]
count = 12
peers = true
disk = true
known = true
report-age = true
council = 5
[fleet]
servers = 24
zones = 6
regions = 2
cores = 4
store-rate = 600
[[traffic]]
category = "chat"
standing = 600
rate = 25
life = "30s"
load = 40
load-spread = 0.8
every = "1s"
honours-busy = 0.5
[[traffic]]
category = "order"
effect = "single-use"
gain = 4
rate = 15
life = "5s"
load = 20
every = "500ms"
honours-busy = 0.5
`

// decisions takes what relays follow from a run's trace.
type decisions struct {
	line     bytes.Buffer
	pictures map[uint64]string
	last     map[string]uint64
	first    map[string]float64 // when each relay first went by a picture that has a zone closed
	wrong    []string
}

var followed = regexp.MustCompile(`^(\S+) relay (\d+) fleet: decision (\d+): \[(.*)\]`)
var zoned = regexp.MustCompile(`\{(\w+) \S+ (\w+)\}`)

func (d *decisions) Write(data []byte) (int, error) {
	for _, b := range data {
		if d.line.WriteByte(b); b == '\n' {
			d.take(d.line.String())
			d.line.Reset()
		}
	}
	return len(data), nil
}

func (d *decisions) take(line string) {
	m := followed.FindStringSubmatch(line)
	if m == nil {
		return
	}
	at, _ := strconv.ParseFloat(m[1], 64)
	number, _ := strconv.ParseUint(m[3], 10, 64)
	if number < d.last[m[2]] {
		d.wrong = append(d.wrong, fmt.Sprintf("relay %s went back from %d to %d", m[2], d.last[m[2]], number))
	}
	d.last[m[2]] = number
	if m[4] == "" {
		return
	}
	open := ""
	for _, z := range zoned.FindAllStringSubmatch(m[4], -1) {
		if z[2] == "true" {
			open += z[1]
		}
	}
	if was, there := d.pictures[number]; there && was != open {
		d.wrong = append(d.wrong, fmt.Sprintf("decision %d is %s and %s", number, was, open))
	}
	d.pictures[number] = open
	if _, there := d.first[m[2]]; !there && len(open) < 6 {
		d.first[m[2]] = at
	}
}

func decided(t *testing.T, text string) (*Result, *decisions) {
	x, err := experiment.Parse([]byte(text))
	require.NoError(t, err)
	d := &decisions{pictures: map[uint64]string{}, last: map[string]uint64{}, first: map[string]float64{}}
	r, err := Run(x, x.Variants[0], d)
	require.NoError(t, err)
	assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
	assert.Zero(t, r.ColdOverloads, "servers pushed over")
	assert.Empty(t, d.wrong)
	return r, d
}

// Zones decided in common, simulated: by when all follow, how near traffic stays, what service is left.
func TestZonesInCommon(t *testing.T) {
	at := func(kind string, from, length float64, rest string) string {
		return fault(kind, fmt.Sprintf("%.0fms", from), fmt.Sprintf("for = \"%.0fms\"\n", length)+rest)
	}
	for name, c := range map[string]struct {
		faults  string
		emptied float64 // by when at all relays that live then; 0: never
		near    float64
		service float64 // from ten seconds on
	}{
		"nothing":                      {"", 0, 0.98, 0.995},
		"a zone lost":                  {at("zone-lost", 15000, 8000, ""), 18000, 0.8, 0.98},
		"a zone grey":                  {at("zone-grey", 15000, 8000, "factor = 0.34"), 21000, 0.8, 0.99},
		"a region lost":                {at("region-lost", 15000, 8000, ""), 18500, 0.6, 0.93},
		"a store that is slow for all": {at("slow-store", 15000, 8000, "factor = 0.2"), 0, 0.95, 0.97},
		"a fifth of a second":          {at("zone-grey", 15000, 200, "factor = 1"), 0, 0.95, 0.99},
		"power lost while it is empty": {at("zone-lost", 15000, 10000, "") + at("power-loss", 18500, 1000,
			"share = 1.0"), 18000, 0.45, 0.7}, // near: 0.495 to 0.521 in 16 plays, as Raft draws its elections
		"regions 80 ms apart, some cut": {at("way-delay", 5000, 30000, "factor = 0.08") + at("zone-lost", 15000,
			8000, "") + at("way-cut", 20000, 5000, "from = \"half\"\nto = \"rest\""), 18500, 0.8, 0.97},
		"clocks drift and are set": {at("clock-wrong", 12000, 10000, "share = 0.5\nfactor = -7") +
			at("zone-lost", 15000, 8000, ""), 18500, 0.8, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, d := decided(t, regions+c.faults)
			assert.GreaterOrEqual(t, float64(r.Auditor.LocalAttempts)/float64(r.Auditor.LocatedAttempts), c.near)
			assert.Greater(t, r.Metrics.ServedShare(10000, 30000), c.service)
			if c.emptied == 0 {
				assert.Empty(t, d.first)
				return
			}
			assert.GreaterOrEqual(t, len(d.first), 6)
			for relay, at := range d.first {
				assert.True(t, at < c.emptied || at > 18000, "relay %s from %.0f on", relay, at)
			}
		})
	}
}

// Three hundred relays: a lost zone is followed by all within three seconds.
func TestZonesInCommonAtThreeHundred(t *testing.T) {
	if testing.Short() {
		t.Skip("one routine, and minutes under the race detector")
	}
	text := strings.NewReplacer("count = 12", "count = 300", "servers = 24", "servers = 60", `length = "30s"`,
		`length = "10s"`,
		"standing = 600", "standing = 300", "rate = 25", "rate = 40").Replace(regions)
	_, d := decided(t, text+fault("zone-lost", "5s", "for = \"3s\""))
	assert.GreaterOrEqual(t, len(d.first), 240)
	for relay, at := range d.first {
		assert.Less(t, at, 8000.0, "relay %s", relay)
	}
}
