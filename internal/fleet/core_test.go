package fleet

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

const now = 1e12

// hearing is a relay that has heard of so many others, which are as each is made.
func hearing(count int, make func(i int, p *membership.View)) *Core {
	key := []byte("a key that all share")
	core := New(now, membership.MemberState{Name: "own", Address: "own"}, nil, key, false, rand.New(rand.NewSource(1)))
	for i := range count {
		p := membership.New(now, membership.MemberState{Name: fmt.Sprint(i), Address: "other"}, []string{"own"}, key,
			rand.New(rand.NewSource(2)))
		make(i, p)
		for _, d := range p.Tick(now) {
			core.ReceiveDatagram(now, "other", d.Data)
		}
	}
	return core
}

// By which clock a relay reads when servers started: discovery's, else the middle one of its own and the
// others'.
func TestClock(t *testing.T) {
	const hour = 3.6e6
	never := math.NaN()
	for _, c := range []struct {
		name      string
		wall      float64 // of its machine, ahead of its own time
		others    []float64
		dated     float64
		ahead     float64
		corrected bool
	}{
		{"alone, and right", 0, nil, never, 0, false},
		{"alone, and its machine's clock was set back by an hour", -hour, nil, never, hour, true},
		{"an hour ahead of all", 0, []float64{-hour, -hour, -hour}, never, hour, true},
		{"one that lies", 0, []float64{hour, 0, 0}, never, 0, false},
		{"two that lie, either way", 0, []float64{hour, -hour, 10, -10}, never, 0, false},
		{"of two the earlier", 0, []float64{-hour}, never, hour, true},
		{"of two the earlier, its own", 0, []float64{hour}, never, 0, false},
		{"a little off is not off", 0, []float64{-900, -900, -900}, never, 0, false},
		{"no number", 0, []float64{math.Inf(1), 0}, never, 0, false},
		{"discovery goes before all", 0, []float64{0, 0, 0}, -hour, hour, true},
	} {
		core := hearing(len(c.others), func(i int, p *membership.View) { p.ClockOffset = c.others[i] })
		corrected := false
		for _, a := range core.Tick(now+50, now+50+c.wall, relay.Status{DiscoveryClockOffset: c.dated}) {
			if measured, ok := a.Event.(relay.ClockSkewMeasured); ok {
				corrected = true
				assert.InDelta(t, c.ahead, measured.AheadMillis, 60, c.name)
			}
		}
		assert.Equal(t, c.corrected, corrected, c.name)
		assert.InDelta(t, c.ahead, core.Status(now).AheadMillis, 60, c.name)
	}
}

// A promised time is kept by the fleet's clock, so that it holds for a life whose clock is another.
func TestPromisedTimeOverClocks(t *testing.T) {
	memory := store.NewMemoryFS()
	life := func(ahead float64) (*Core, *store.Store, map[uint64]float64) {
		own := now + ahead
		core := New(own, membership.MemberState{}, nil, nil, true, rand.New(rand.NewSource(1)))
		acts := core.Tick(own, own, relay.Status{DiscoveryClockOffset: -ahead})
		s, found, err := store.Open(memory, "own", 1<<20)
		assert.NoError(t, err)
		acts = append(acts, core.Restore(own, s, found, nil)...)
		acts = append(acts, core.Tick(own+50, own+50, relay.Status{DiscoveryClockOffset: -ahead})...)
		for _, a := range acts {
			if restored, ok := a.Event.(relay.StateRestored); ok {
				return core, s, restored.Snapshot.RetryAt
			}
		}
		return core, s, nil
	}
	core, s, _ := life(3.6e6)
	k := &relay.Snapshot{Version: 1, Capacity: 1, MeanLoad: 1, RetryAt: map[uint64]float64{7: now + 3.6e6 + 500}}
	s.Put(core.RecordSnapshot(now+3.6e6, k), nil)
	assert.NoError(t, s.Flush())
	assert.NoError(t, s.Close())
	_, _, back := life(-7.2e6)
	assert.InDelta(t, now-7.2e6+500, back[7], 1)
}

// What the others placed is by their own words; one that is wrong counts for three of the middle at the most.
func TestBeyond(t *testing.T) {
	for _, c := range []struct {
		own    float64
		others []uint64
		want   float64
	}{
		{100, nil, -1}, {100, []uint64{50, 70}, 120}, {0, []uint64{0, 0, 1e12}, 0}, {100, []uint64{100, 1e12}, 400},
		{1e12, []uint64{100, 200}, 300},
	} {
		core := hearing(len(c.others), func(i int, p *membership.View) {
			w := p.LocalState()
			w.PlacedLoad = c.others[i]
			p.SetLocalState(w)
		})
		told := -1.0
		for _, a := range core.Tick(now+50, now+50, relay.Status{DiscoveryClockOffset: math.NaN(), UnreportedLoad: c.own}) {
			if changed, ok := a.Event.(relay.RemoteLoadChanged); ok {
				told = changed.Load
			}
		}
		assert.Equal(t, c.want, told, "%v", c)
	}
}
