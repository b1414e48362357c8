package fleet

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

const (
	now  = 1e12
	hour = 3.6e6 // in ms
)

// newCoreWithMembers returns the core of a relay that has received datagrams of the given number of other relays.
// prepare sets up each of them.
func newCoreWithMembers(others int, prepare func(i int, other *membership.View)) *Core {
	key := []byte("a key that all share")
	own := membership.MemberState{Name: "own", Address: "own"}
	core := New(now, own, nil, key, false, rand.New(rand.NewSource(1)))
	for i := range others {
		state := membership.MemberState{Name: fmt.Sprint(i), Address: "other"}
		other := membership.New(now, state, []string{"own"}, key, rand.New(rand.NewSource(2)))
		prepare(i, other)
		for _, d := range other.Tick(now) {
			core.ReceiveDatagram(now, "other", d.Data)
		}
	}
	return core
}

// A relay interprets backends' start times by discovery's clock, or if that is unknown by the median of its machine's
// clock and those of the other relays.
func TestClock(t *testing.T) {
	undated := math.NaN()
	for _, c := range []struct {
		name        string
		wallAhead   float64   // ms that the machine's clock is ahead of the relay's own clock
		others      []float64 // ms that the other relays' machines' clocks are ahead of their own clocks
		discovery   float64   // ms that discovery's clock is ahead of the relay's own clock; NaN if unknown
		ahead       float64   // wanted: ms that the relay's own clock is ahead of the fleet's
		isCorrected bool      // wanted: the relay is notified of that
	}{
		{"alone, and right", 0, nil, undated, 0, false},
		{"alone, and its machine's clock was set back by an hour", -hour, nil, undated, hour, true},
		{"an hour ahead of all", 0, []float64{-hour, -hour, -hour}, undated, hour, true},
		{"one that lies", 0, []float64{hour, 0, 0}, undated, 0, false},
		{"two that lie, either way", 0, []float64{hour, -hour, 10, -10}, undated, 0, false},
		{"of two the earlier", 0, []float64{-hour}, undated, hour, true},
		{"of two the earlier, its own", 0, []float64{hour}, undated, 0, false},
		{"a little off is not off", 0, []float64{-900, -900, -900}, undated, 0, false},
		{"no number", 0, []float64{math.Inf(1), 0}, undated, 0, false},
		{"discovery goes before all", 0, []float64{0, 0, 0}, -hour, hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newCoreWithMembers(len(c.others), func(i int, other *membership.View) {
				other.ClockOffset = c.others[i]
			})
			isCorrected := false
			for _, a := range core.Tick(now+50, now+50+c.wallAhead, relay.Status{DiscoveryClockOffset: c.discovery}) {
				if measured, isMeasured := a.Event.(relay.ClockSkewMeasured); isMeasured {
					isCorrected = true
					assert.InDelta(t, c.ahead, measured.AheadMillis, 60)
				}
			}
			assert.Equal(t, c.isCorrected, isCorrected)
			assert.InDelta(t, c.ahead, core.Status(now).AheadMillis, 60)
		})
	}
}

// startWithDisk starts a relay with the content of a disk; the relay's clock is the given number of milliseconds ahead
// of the fleet's. It also returns the retry times that the relay is notified of.
func startWithDisk(t *testing.T, disk *store.MemoryFS, ahead float64) (*Core, *store.Store, map[uint64]float64) {
	t.Helper()
	began := now + ahead
	status := relay.Status{DiscoveryClockOffset: -ahead}
	core := New(began, membership.MemberState{}, nil, nil, true, rand.New(rand.NewSource(1)))
	actions := core.Tick(began, began, status)
	s, found, err := store.Open(disk, "own", 1<<20)
	require.NoError(t, err)
	actions = append(actions, core.Restore(began, s, found, nil)...)
	actions = append(actions, core.Tick(began+50, began+50, status)...)
	for _, a := range actions {
		if restored, isRestored := a.Event.(relay.StateRestored); isRestored {
			return core, s, restored.Snapshot.RetryAt
		}
	}
	return core, s, nil
}

// A retry time is stored as a time of the fleet's clock, so that it is right after a restart with another local clock.
func TestRetryTimesOverClocks(t *testing.T) {
	disk := store.NewMemoryFS()
	core, s, _ := startWithDisk(t, disk, hour)
	snapshot := &relay.Snapshot{Version: 1, Capacity: 1, MeanLoad: 1,
		RetryAt: map[uint64]float64{7: now + hour + 500}}
	s.Put(core.RecordSnapshot(now+hour, snapshot), nil)
	assert.NoError(t, s.Flush())
	assert.NoError(t, s.Close())
	_, _, retryAt := startWithDisk(t, disk, -2*hour)
	assert.InDelta(t, now-2*hour+500, retryAt[7], 1)
}

// The remote load is the sum of the loads that the other relays announce; a wrong one counts for at most three times
// the median.
func TestRemoteLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    float64  // load that this relay has assigned
		others []uint64 // loads that the other relays announce
		want   float64  // remote load that the relay is notified of
	}{
		{"alone", 100, nil, noRemoteRelays},
		{"the sum of the others", 100, []uint64{50, 70}, 120},
		{"one is wrong, all else idle", 0, []uint64{0, 0, 1e12}, 0},
		{"one is wrong", 100, []uint64{100, 1e12}, 400},
		{"its own is wrong", 1e12, []uint64{100, 200}, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newCoreWithMembers(len(c.others), func(i int, other *membership.View) {
				state := other.LocalState()
				state.PlacedLoad = c.others[i]
				other.SetLocalState(state)
			})
			load := noRemoteRelays
			status := relay.Status{DiscoveryClockOffset: math.NaN(), UnreportedLoad: c.own}
			for _, a := range core.Tick(now+50, now+50, status) {
				if changed, isChanged := a.Event.(relay.RemoteLoadChanged); isChanged {
					load = changed.Load
				}
			}
			assert.Equal(t, c.want, load)
		})
	}
}
