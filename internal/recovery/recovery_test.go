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

func TestDetectFullOutage(t *testing.T) {
	old := Peer{AgeMillis: 1e6, Phase: Normal}
	young := Peer{AgeMillis: 3000, Phase: Normal}
	admitting := Peer{AgeMillis: 1e6, Phase: Admitting}
	for _, c := range []struct {
		name   string
		peers  []Peer
		isFull bool
	}{
		{"nobody heard", nil, true},
		{"all old", []Peer{old, old, old}, false},
		{"all young", []Peer{young, young}, true},
		{"a wave of half", []Peer{old, old, young, young}, false},
		{"some are back for a while and recover still", []Peer{admitting, admitting, young, old}, true},
		{"one of a rolling restart", []Peer{old, old, old, old, young}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			isFull, reason := DetectFullOutage(c.peers)
			assert.Equal(t, c.isFull, isFull)
			assert.NotEmpty(t, reason)
		})
	}
}

// snapshot returns a snapshot with the given capacity and one endpoint for each of the statuses.
func snapshot(capacity float64, index uint64, statuses ...string) *relay.Snapshot {
	s := &relay.Snapshot{Version: 1, Capacity: capacity, MeanLoad: 4e4}
	if len(statuses) == 0 {
		return s
	}
	s.Endpoints = &relay.EndpointUpdate{Index: index, Complete: true}
	for i, status := range statuses {
		endpoint := relay.Endpoint{Name: fmt.Sprint("s", i), Address: "1.1.1.1:1", Status: status}
		s.Endpoints.Endpoints = append(s.Endpoints.Endpoints, endpoint)
	}
	return s
}

// disk returns a disk source, whose endpoints discovery has not confirmed since the start.
func disk(s *relay.Snapshot) Source { return Source{Snapshot: s, ConfirmedAgoMillis: -1} }

func statusesOf(s *relay.Snapshot) []string {
	if s.Endpoints == nil {
		return nil
	}
	var statuses []string
	for _, e := range s.Endpoints.Endpoints {
		statuses = append(statuses, e.Status)
	}
	return statuses
}

func TestReconcile(t *testing.T) {
	const active, leaving = statusActive, statusLeaving
	for _, c := range []struct {
		name      string
		disk      Source
		others    []Source
		capacity  float64
		statuses  []string
		isAssumed bool
		discarded int
	}{
		{"only the disk", disk(snapshot(5, 9, active, active)), nil, 5, []string{active, active}, true, 0},
		{"only others", disk(nil), []Source{{"r1", snapshot(5, 9, active), -1}}, 5, []string{active}, true, 0},
		{"another has heard discovery just now", disk(snapshot(5, 90, active, active)),
			[]Source{{"r1", snapshot(5, 3, leaving, active, active), 100}},
			5, []string{leaving, active, active}, false, 0},
		{"and counts anew, which beats any number", disk(snapshot(5, 90, active)),
			[]Source{{"r1", snapshot(5, 1, active, active), 100}, {"r2", snapshot(5, 99, active), 60000}},
			5, []string{active, active}, false, 0},
		{"of what is not fresh the strictest", disk(snapshot(5, 9, active, active)),
			[]Source{{"r1", snapshot(5, 8, leaving, active), -1}}, 5, []string{leaving, active}, true, 1},
		{"the disk's own capacity, near the median", disk(snapshot(6, 9)),
			[]Source{{"r1", snapshot(5, 0), -1}, {"r2", snapshot(5, 0), -1}}, 6, nil, false, 0},
		{"one that lies", disk(snapshot(5, 9)),
			[]Source{{"r1", snapshot(5000, 0), -1}, {"r2", snapshot(6, 0), -1}}, 5, nil, false, 1},
		{"a disk from elsewhere", disk(snapshot(500, 9)),
			[]Source{{"r1", snapshot(5, 0), -1}, {"r2", snapshot(6, 0), -1}}, 6, nil, false, 1},
		{"of two the one that asks less", disk(snapshot(500, 9)), []Source{{"r1", snapshot(5, 0), -1}},
			5, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Reconcile(c.disk, c.others)
			require.NotNil(t, r.Snapshot)
			assert.Equal(t, c.capacity, r.Snapshot.Capacity)
			assert.Equal(t, c.statuses, statusesOf(r.Snapshot))
			assert.Equal(t, c.isAssumed, r.Snapshot.EndpointsAssumed)
			assert.Len(t, r.Discarded, c.discarded)
			assert.NotEmpty(t, r.Accepted)
		})
	}
	assert.Nil(t, Reconcile(Source{}, nil).Snapshot, "no source at all")
}

// With any combination of disk results, peers and answers, at any time or missing altogether, the querying and all
// phases end within their time limits, no peer is queried again before it answers, and the capacity share stays
// between 0 and 1.
func TestAllPhasesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isDiskUnread, hasPeers := rapid.Bool().Draw(t, "has disk"), rapid.Bool().Draw(t, "has peers")
		p := New(1000, isDiskUnread, hasPeers)
		queried := map[string]bool{}
		var peers []Peer
		restored := 0
		const end = 1000 + queryTimeout + maxAdmittingTime + 1000
		for now := 1000.0; now < end; now += rapid.Float64Range(1, 500).Draw(t, "step") {
			if hasPeers && rapid.IntRange(0, 3).Draw(t, "peer joins") == 0 {
				peers = append(peers, Peer{
					Name:               fmt.Sprint("r", len(peers)%7),
					AgeMillis:          rapid.Float64Range(0, 1e6).Draw(t, "age"),
					Phase:              Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
					RejectedLastSecond: rapid.Uint32().Draw(t, "rejected"),
					Unreachable:        rapid.Bool().Draw(t, "unreachable"),
				})
			}
			var actions []Action
			if isDiskUnread && rapid.IntRange(0, 9).Draw(t, "read") == 0 {
				isDiskUnread = false
				actions = p.ReceiveDisk(now, DiskResult{Snapshot: snapshot(5, 1, statusActive)})
			}
			for name := range queried {
				if rapid.Bool().Draw(t, "answers") {
					delete(queried, name)
					capacity := rapid.Float64Range(0, 1e9).Draw(t, "capacity")
					p.ReceiveAnswer(Source{Name: name, Snapshot: snapshot(capacity, 1, statusActive)}, "")
				}
			}
			actions = append(actions, p.Advance(now, peers, relay.Status{
				Now:                now,
				EndpointsConfirmed: rapid.Bool().Draw(t, "endpoints confirmed"),
				WarmingUp:          rapid.IntRange(0, 4).Draw(t, "warming up"),
				Usable:             4,
				RejectedLastSecond: rapid.IntRange(0, 1000).Draw(t, "own rejected"),
			})...)
			for _, a := range actions {
				if a.Query != "" {
					if queried[a.Query] {
						t.Fatal("queried twice")
					}
					queried[a.Query] = true
				}
				if _, isRestored := a.Event.(relay.StateRestored); isRestored {
					restored++
				}
				changed, _ := a.Event.(relay.RecoveryChanged)
				isValidShare := changed.CapacityShare >= 0 && changed.CapacityShare <= 1
				if !isValidShare || math.IsNaN(p.capacityShare) {
					t.Fatal("capacity share out of range", p.capacityShare, changed.CapacityShare)
				}
			}
			if now > 1000+queryTimeout+500 && p.Phase() < Admitting {
				t.Fatal("still querying")
			}
		}
		if p.Phase() != Normal || restored > 2 || len(p.sources) > maxQueriedPeers {
			t.Fatal(p.Phase(), restored, len(p.sources))
		}
	})
}

// A disk that is read after the querying still supplies its estimates, but not its endpoints.
func TestLateDisk(t *testing.T) {
	p := New(0, true, false)
	assert.Empty(t, p.Advance(100, nil, relay.Status{}))
	actions := p.Advance(diskTimeout, nil, relay.Status{})
	assert.Equal(t, Admitting, p.Phase())
	assert.NotEmpty(t, actions)
	actions = p.ReceiveDisk(10000, DiskResult{Snapshot: snapshot(5, 3, statusActive)})
	require.Len(t, actions, 1)
	restored, isRestored := actions[0].Event.(relay.StateRestored)
	require.True(t, isRestored)
	assert.Nil(t, restored.Snapshot.Endpoints)
	assert.Equal(t, 5.0, restored.Snapshot.Capacity)
}
