package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A decision in common: links draw their zone by its parts, a closed zone gets none, an open one those that
// find no room, and with no parts all is as ever.
func TestDirected(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []Direction
		loads []float64 // of servers in zones 0, 1, 0, 1 ...
		want  [2]float64
	}{
		{"all near", []Direction{{0, 1, true}, {1, 0, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{1, 0}},
		{"near as long as there is room", []Direction{{0, 1, true}, {1, 0, true}}, []float64{0.7, 0.1, 0.7, 0.1},
			[2]float64{1, 0}},
		{"full, and the other is open", []Direction{{0, 1, true}, {1, 0, true}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 1}},
		{"full, and the other is closed", []Direction{{0, 1, true}, {1, 0, false}}, []float64{1.5, 0.1, 1.5, 0.1},
			[2]float64{0, 0}},
		{"emptied", []Direction{{0, 0, false}, {1, 1, true}}, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0, 1}},
		{"a share", []Direction{{0, 0.3, false}, {1, 0.7, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.3, 0.7}},
		{"a share, and some left", []Direction{{0, 0.3, false}, {1, 0.3, true}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{0.5, 0.5}},
		{"a zone that nobody decided on", []Direction{{1, 0, false}}, []float64{0.1, 0.1, 0.1, 0.1},
			[2]float64{1, 0}},
		{"none", nil, []float64{0.1, 0.1, 0.1, 0.1}, [2]float64{0.5, 0.5}},
	} {
		b := fleet{Loads: c.loads, Seed: 3}.build(t)
		b.Direct(c.parts)
		var got [2]float64
		const links = 2000
		for range links {
			l := arrive(start)
			l.Hint = 1
			if a := b.Place(start, l); a.Verdict == Send {
				got[(a.Backend-1)%2] += 1.0 / links
				b.Accepted(start, l)
				b.After(start, l, Satisfied, true)
			}
		}
		assert.InDeltaSlice(t, c.want[:], got[:], 0.05, c.name)
	}
}

// What was seen of zones: tries and probes by how they ended, what servers hold and bear.
func TestZonesSeen(t *testing.T) {
	b := fleet{Loads: []float64{0.1, 0.3, 0.1, 0.3}, Seed: 3}.build(t)
	b.Direct([]Direction{{1, 1, true}})
	for i, outcome := range []Outcome{Satisfied, TimedOut, TurnedAway, Broken} {
		l := arrive(start)
		if a := b.Place(start, l); assert.Equal(t, Send, a.Verdict) && outcome == Satisfied {
			b.Accepted(start, l)
		} else {
			b.After(start, l, outcome, true)
		}
		b.Probed(start, uint32(i+1), i != 2, []float64{0, 0.2})
	}
	all, demand := b.Zones(start)
	assert.Equal(t, []float64{0, 0, 2, 1}, []float64{all[0].Tries, all[0].Failed, all[0].Probes, all[0].Silent})
	assert.Equal(t, []float64{4, 2, 2, 0}, []float64{all[1].Tries, all[1].Failed, all[1].Probes, all[1].Silent})
	assert.Positive(t, all[1].Load)
	assert.Equal(t, 2.0, all[1].Room)
	assert.False(t, math.IsNaN(demand) || demand < 0)
}

// Where operators have every zone emptied, a link is turned away at once; and is taken again as soon as
// a zone may have it.
func TestShut(t *testing.T) {
	b := fleet{Loads: []float64{0.1, 0.1}, Seed: 3}.build(t)
	b.Direct([]Direction{{0, 0, false}, {1, 0, false}})
	assert.Equal(t, Reject, b.Place(start, arrive(start)).Verdict)
	b.Direct([]Direction{{0, 0, false}, {1, 1, true}})
	assert.Equal(t, Send, b.Place(start, arrive(start)).Verdict)
}
