package recovery

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"valeshift/internal/relay"
)

func TestWhole(t *testing.T) {
	old, young, admitting := Peer{AgeMillis: 1e6, Phase: Normal}, Peer{AgeMillis: 3000, Phase: Normal}, Peer{AgeMillis: 1e6,
		Phase: Admitting}
	for _, c := range []struct {
		name   string
		others []Peer
		whole  bool
	}{
		{"nobody heard", nil, true},
		{"all old", []Peer{old, old, old}, false},
		{"all young", []Peer{young, young}, true},
		{"a wave of half", []Peer{old, old, young, young}, false},
		{"some are back for a while and recover still", []Peer{admitting, admitting, young, old}, true},
		{"one of a rolling restart", []Peer{old, old, old, old, young}, false},
	} {
		whole, why := DetectFullOutage(c.others)
		assert.Equal(t, c.whole, whole, c.name)
		assert.NotEmpty(t, why)
	}
}

func kept(capacity float64, index uint64, status ...string) *relay.Snapshot {
	k := &relay.Snapshot{Version: 1, Capacity: capacity, MeanLoad: 4e4}
	if len(status) > 0 {
		k.Endpoints = &relay.EndpointUpdate{Index: index, Complete: true}
		for i, s := range status {
			k.Endpoints.Endpoints = append(k.Endpoints.Endpoints, relay.Endpoint{Name: fmt.Sprint("s", i), Address: "1.1.1.1:1",
				Status: s})
		}
	}
	return k
}

func statuses(k *relay.Snapshot) (all []string) {
	if k.Endpoints != nil {
		for _, e := range k.Endpoints.Endpoints {
			all = append(all, e.Status)
		}
	}
	return all
}

func TestBelieve(t *testing.T) {
	const a, l = "active", "leaving"
	for _, c := range []struct {
		name     string
		disk     Source
		voices   []Source
		capacity float64
		statuses []string
		supposed bool
		left     int
	}{
		{"only the disk", Source{ConfirmedAgoMillis: -1, Snapshot: kept(5, 9, a, a)}, nil, 5, []string{a, a}, true, 0},
		{"only others", Source{ConfirmedAgoMillis: -1}, []Source{{"r1", kept(5, 9, a), -1}}, 5, []string{a}, true, 0},
		{"another has heard discovery just now", Source{ConfirmedAgoMillis: -1, Snapshot: kept(5, 90, a, a)},
			[]Source{{"r1", kept(5, 3, l, a, a), 100}}, 5, []string{l, a, a}, false, 0},
		{"and counts anew, which beats any number", Source{ConfirmedAgoMillis: -1, Snapshot: kept(5, 90, a)},
			[]Source{{"r1", kept(5, 1, a, a), 100}, {"r2", kept(5, 99, a), 60000}}, 5, []string{a, a}, false, 0},
		{"of hearsay the strictest", Source{ConfirmedAgoMillis: -1, Snapshot: kept(5, 9, a, a)},
			[]Source{{"r1", kept(5, 8, l, a), -1}}, 5, []string{l, a}, true, 1},
		{"the disk's own figure, near the middle", Source{ConfirmedAgoMillis: -1, Snapshot: kept(6, 9)},
			[]Source{{"r1", kept(5, 0), -1}, {"r2", kept(5, 0), -1}}, 6, nil, false, 0},
		{"one that lies", Source{ConfirmedAgoMillis: -1, Snapshot: kept(5, 9)},
			[]Source{{"r1", kept(5000, 0), -1}, {"r2", kept(6, 0), -1}}, 5, nil, false, 1},
		{"a disk from elsewhere", Source{ConfirmedAgoMillis: -1, Snapshot: kept(500, 9)},
			[]Source{{"r1", kept(5, 0), -1}, {"r2", kept(6, 0), -1}}, 6, nil, false, 1},
		{"of two the one that asks less", Source{ConfirmedAgoMillis: -1, Snapshot: kept(500, 9)}, []Source{{"r1", kept(5, 0), -1}},
			5, nil,
			false, 1},
	} {
		k, took, left := Reconcile(c.disk, c.voices, true)
		require.NotNil(t, k, c.name)
		assert.Equal(t, c.capacity, k.Capacity, c.name)
		assert.Equal(t, c.statuses, statuses(k), c.name)
		assert.Equal(t, c.supposed, k.EndpointsAssumed, c.name)
		assert.Len(t, left, c.left, c.name)
		assert.NotEmpty(t, took, c.name)
	}
	k, _, _ := Reconcile(Source{}, nil, true)
	assert.Nil(t, k)
}

// Whatever is read, heard and answered, and when, and whatever never is: asking ends within its bound, all
// ends within the next, and the part is none that cannot be.
func TestNobodyWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk, others := rapid.Bool().Draw(t, "disk"), rapid.Bool().Draw(t, "others")
		p := New(1000, disk, others)
		asked := map[string]bool{}
		var heard []Peer
		recalled := 0
		for now := 1000.0; now < 1000+askTime+mostAdmit+1000; now += rapid.Float64Range(1, 500).Draw(t, "step") {
			if others && rapid.IntRange(0, 3).Draw(t, "comes") == 0 {
				heard = append(heard, Peer{Name: fmt.Sprint("r", len(heard)%7), AgeMillis: rapid.Float64Range(0, 1e6).Draw(t,
					"age"),
					Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), RejectedLastSecond: rapid.Uint32().Draw(t, "waiting"),
					Unreachable: rapid.Bool().Draw(t, "mute")})
			}
			var acts []Action
			if disk && rapid.IntRange(0, 9).Draw(t, "read") == 0 {
				disk = false
				acts = p.ReceiveDisk(now, DiskResult{Snapshot: kept(5, 1, "active")})
			}
			for name := range asked {
				if rapid.Bool().Draw(t, "answers") {
					delete(asked, name)
					p.ReceiveAnswer(Source{Name: name, Snapshot: kept(rapid.Float64Range(0, 1e9).Draw(t, "capacity"), 1, "active")},
						"")
				}
			}
			acts = append(acts, p.Advance(now, heard, relay.Status{Now: now, EndpointsConfirmed: rapid.Bool().Draw(t, "told"),
				WarmingUp: rapid.IntRange(0, 4).Draw(t, "cold"), Usable: 4, RejectedLastSecond: rapid.IntRange(0, 1000).Draw(t, "w")})...)
			for _, a := range acts {
				if a.Query != "" {
					if asked[a.Query] {
						t.Fatal("asked twice")
					}
					asked[a.Query] = true
				}
				if _, restored := a.Event.(relay.StateRestored); restored {
					recalled++
				}
				changed, _ := a.Event.(relay.RecoveryChanged)
				if !(changed.CapacityShare >= 0 && changed.CapacityShare <= 1) || math.IsNaN(p.part) {
					t.Fatal("a part that can't be", changed.CapacityShare)
				}
			}
			if now > 1000+askTime+500 && p.Phase() < Admitting {
				t.Fatal("still asking")
			}
		}
		if p.Phase() != Normal || recalled > 2 || len(p.voices) > mostAsked {
			t.Fatal(p.Phase(), recalled, len(p.voices))
		}
	})
}

// A disk that is read late gives hints, and no list.
func TestLateDisk(t *testing.T) {
	p := New(0, true, false)
	assert.Empty(t, p.Advance(100, nil, relay.Status{}))
	acts := p.Advance(readTime, nil, relay.Status{})
	assert.Equal(t, Admitting, p.Phase())
	assert.NotEmpty(t, acts)
	acts = p.ReceiveDisk(10000, DiskResult{Snapshot: kept(5, 3, "active")})
	require.Len(t, acts, 1)
	restored, ok := acts[0].Event.(relay.StateRestored)
	require.True(t, ok)
	assert.Nil(t, restored.Snapshot.Endpoints)
	assert.Equal(t, 5.0, restored.Snapshot.Capacity)
}
