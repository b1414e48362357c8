package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const traffic = "[[traffic]]\nrate = 1\n"

func TestParse(t *testing.T) {
	x, err := Parse([]byte("length = \"5s\"\n[fleet]\nservers = 3\n" + traffic + "[[fault]]\nkind = \"slow\"\n"))
	require.NoError(t, err)
	assert.Equal(t, Millis(5000), x.Length)
	assert.Equal(t, []string{"module"}, x.Variants)
	assert.Equal(t, "kind0", x.Traffic[0].Class)
	assert.Equal(t, 0.4, x.Faults[0].Factor)
	for _, c := range []struct{ text, want string }{
		{"", "traffic: clients in all: from 1 to 5e+06 expected, got 0"},
		{"lenght = \"5s\"\n", "1:1: lenght: no such field"},
		{"length = \"5 s\"\n", "1:10: length: a length from 0 to 24h expected"},
		{"length = 5\n", "length: from 1000 to 3.6e+06 expected, got 5"},
		{traffic + "gain = -1\n", "traffic.0.gain: from 0.001 to 1e+06 expected, got -1"},
		{traffic + "effect = \"none\"\n", "traffic.0.effect: replayable, referenced or single-use expected"},
		{traffic + "party = \"a,b\"\n", "traffic.0.party: a name of plain letters expected"},
		{"variants = [\"best\"]\n" + traffic, "variants: one of module, random"},
		{traffic + "[[fault]]\nkind = \"flood\"\n", "fault.0.kind: no such kind: \"flood\""},
		{traffic + "[fleet]\nservers = 30000\n", "fleet.servers: from 1 to 20000 expected, got 30000"},
		{"[fleet]\nzones = 11\n" + traffic, "fleet.zones: from 1 to 10 expected, got 11"},
	} {
		_, err := Parse([]byte(c.text))
		assert.ErrorContains(t, err, c.want, c.text)
	}
}

// What one part draws moves no other, and is the same every time.
func TestChance(t *testing.T) {
	x, y := Default(), Default()
	x.Rand("crowd", 0).Float64()
	assert.Equal(t, x.Rand("world", 1).Float64(), y.Rand("world", 1).Float64())
	assert.NotEqual(t, x.Rand("world", 1).Float64(), x.Rand("world", 2).Float64())
	y.Seed++
	assert.NotEqual(t, x.Rand("world", 1).Float64(), y.Rand("world", 1).Float64())
}

// Whatever is read can be used: a relay's settings come of it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(traffic))
	f.Add([]byte("length = \"5s\"\n[relays]\ncount = 2\n[[traffic]]\nstanding = 5\nlife = \"1s\"\n"))
	f.Add([]byte(traffic + "[[fault]]\nkind = \"wave\"\nshare = 0.5\n"))
	f.Add([]byte("[fleet]\ncores = nan\n" + traffic))
	f.Fuzz(func(t *testing.T, text []byte) {
		x, err := Parse(text)
		if (x == nil) == (err == nil) {
			t.Fatal("one of experiment and error expected")
		}
		if x != nil && len(x.RelaySettings(0)) == 0 {
			t.Fatal("no settings")
		}
	})
}
