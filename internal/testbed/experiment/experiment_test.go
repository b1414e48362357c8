package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const traffic = "[[traffic]]\nrate = 1\n"

func TestParseFillsIn(t *testing.T) {
	x, err := Parse([]byte("length = \"5s\"\n[fleet]\nservers = 3\n" + traffic + "[[fault]]\nkind = \"slow\"\n"))
	require.NoError(t, err)
	assert.Equal(t, Millis(5000), x.Length)
	assert.Equal(t, []string{"module"}, x.Variants)
	assert.Equal(t, "kind0", x.Traffic[0].Class)
	assert.Equal(t, EffectReplayable, x.Traffic[0].Effect)
	assert.Equal(t, FaultSlow, x.Faults[0].Kind)
	assert.Equal(t, 0.4, x.Faults[0].Factor)
}

func TestParseNamesTheWrongField(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no traffic", "", "traffic: clients in all: from 1 to 5e+06 expected, got 0"},
		{"unknown field", "lenght = \"5s\"\n", "1:1: lenght: no such field"},
		{"malformed length", "length = \"5 s\"\n", "1:10: length: a length from 0 to 24h expected"},
		{"length without unit", "length = 5\n", "length: from 1000 to 3.6e+06 expected, got 5"},
		{"number below its range", traffic + "gain = -1\n", "traffic.0.gain: from 0.001 to 1e+06 expected, got -1"},
		{"unknown effect", traffic + "effect = \"none\"\n",
			"traffic.0.effect: replayable, referenced or single-use expected"},
		{"separator in a name", traffic + "party = \"a,b\"\n", "traffic.0.party: a name of plain letters expected"},
		{"unknown policy", "variants = [\"best\"]\n" + traffic, "variants: one of module, random"},
		{"unknown fault", traffic + "[[fault]]\nkind = \"flood\"\n", "fault.0.kind: no such kind: \"flood\""},
		{"unknown disk fault", traffic + "[[fault]]\nkind = \"relay-kill\"\ndisk = \"wet\"\n",
			"fault.0.disk: one of wiped, torn, flipped, older, another's, full, read-only, slow expected"},
		{"unknown place", traffic + "[[fault]]\nkind = \"way-cut\"\nto = \"relay-9\"\n",
			"fault.0.to: relays, discovery, relay-N, zone-X, half or rest expected, got \"relay-9\""},
		{"too many backends", traffic + "[fleet]\nservers = 30000\n",
			"fleet.servers: from 1 to 20000 expected, got 30000"},
		{"more zones than backends", "[fleet]\nzones = 11\n" + traffic, "fleet.zones: from 1 to 10 expected, got 11"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestAffectsLink(t *testing.T) {
	x := Default()
	x.Relays.Count = 4
	x.Fleet.Zones = 2
	for _, c := range []struct {
		name     string
		fault    Fault
		from, to int
		want     bool
	}{
		{"relays to discovery", Fault{From: "relays", To: "discovery"}, 1, Discovery, true},
		{"not back", Fault{From: "relays", To: "discovery"}, Discovery, 1, false},
		{"back too", Fault{From: "relays", To: "discovery", Bidirectional: true}, Discovery, 1, true},
		{"one relay", Fault{From: "relay-2", To: "relays"}, 2, 3, true},
		{"another relay", Fault{From: "relay-2", To: "relays"}, 1, 3, false},
		{"a zone", Fault{From: "zone-b", To: "zone-a"}, 3, 2, true},
		{"half and rest", Fault{From: "half", To: "rest"}, 0, 1, true},
		{"rest and half", Fault{From: "half", To: "rest"}, 1, 0, false},
		{"a machine to itself", Fault{From: "relays", To: "relays"}, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, x.AffectsLink(&c.fault, c.from, c.to))
		})
	}
}

// Random numbers for one use are the same in every run and don't depend on what other uses draw. They change with the
// seed and the number.
func TestRandIsPerUse(t *testing.T) {
	x, y := Default(), Default()
	x.Rand("one use", 0).Float64()
	assert.Equal(t, x.Rand("another use", 1).Float64(), y.Rand("another use", 1).Float64())
	assert.NotEqual(t, x.Rand("another use", 1).Float64(), x.Rand("another use", 2).Float64())
	y.Seed++
	assert.NotEqual(t, x.Rand("another use", 1).Float64(), y.Rand("another use", 1).Float64())
}

// Parse returns an experiment or an error, never both, and each experiment gives a relay its settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(traffic))
	f.Add([]byte("length = \"5s\"\n[relays]\ncount = 2\n[[traffic]]\nstanding = 5\nlife = \"1s\"\n"))
	f.Add([]byte(traffic + "[[fault]]\nkind = \"wave\"\nshare = 0.5\n"))
	f.Add([]byte("[fleet]\ncores = nan\n" + traffic))
	f.Fuzz(func(t *testing.T, text []byte) {
		x, err := Parse(text)
		if (x == nil) == (err == nil) {
			t.Fatal("either an experiment or an error expected")
		}
		if x != nil && len(x.RelaySettings(0)) == 0 {
			t.Fatal("a parsed experiment gives a relay no settings")
		}
	})
}
