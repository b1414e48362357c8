package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNoUsableBackend(t *testing.T) {
	b := testFleet{MaxRetryAfter: 700}.build(t)
	session := newSession(start)
	assert.Equal(t, Queue, b.Assign(start, session).Kind)
	assert.Equal(t, Decision{Kind: Reject, Wait: 700}, b.Assign(start+1000, session))
}

// In a fleet that is nearly full, a session whose priority is high for its load still finds room; other
// sessions are rejected at once.
func TestCapacityGoesToPriorityPerLoad(t *testing.T) {
	b := testFleet{Loads: []float64{0.73, 0.73, 0.73}, MaxRetryAfter: 900}.build(t)
	for i := range 30 {
		session := newSession(start - 5000)
		session.Class = i % 2
		b.SessionResumed(start, session, uint32(i%3+1))
		b.LoadMeasured(session, 100)
	}
	lowPriority, highPriority := newSession(start), newSession(start)
	highPriority.Class, highPriority.Tenant = 1, 1
	assert.Equal(t, Decision{Kind: Reject, Wait: 900}, b.Assign(start, lowPriority))
	assert.Equal(t, Assign, b.Assign(start, highPriority).Kind)
	beyondQuota := newSession(start)
	beyondQuota.Class = 1
	assert.Equal(t, Reject, b.Assign(start, beyondQuota).Kind, "its tenant has more open sessions than its quota")
}

// All relays assign a group to the same backend, whatever the seed of their random source; with a cross-zone
// fee that is a backend of the local zone.
func TestAffinityGroupsAndZones(t *testing.T) {
	backends := map[uint32]bool{}
	for seed := range int64(10) {
		b := testFleet{Loads: []float64{0.2, 0.2, 0.2, 0.2}, UsesAffinityGroups: true, CrossZoneFee: 0.05, Seed: seed}.build(t)
		session := newSession(start)
		session.AffinityGroup = 42
		a := b.Assign(start, session)
		backends[a.Backend] = true
		assert.Equal(t, uint32(1), a.Backend%2, "backends of zone 0 have odd ids")
	}
	assert.Len(t, backends, 1)
}

// A backend that is busier than the others is skipped only if its load is no longer light.
func TestCrowdedBackendsSitOut(t *testing.T) {
	for _, c := range []struct {
		loads   []float64
		skipped bool
	}{{[]float64{0.30, 0.10, 0.10}, false}, {[]float64{0.65, 0.40, 0.40}, true}} {
		b := testFleet{Loads: c.loads}.build(t)
		assigned := false
		for range 60 {
			session := newSession(start)
			assigned = assigned || b.Assign(start, session).Backend == 1
		}
		assert.Equal(t, c.skipped, !assigned, c.loads)
	}
}

// A session that returns goes to the backend where it was before, at its first attempt only. It does not if
// that backend drains, is gone, in slow start, full or does not answer, or if its zone is closed.
func TestPreferBackend(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(b *Balancer)
		returned bool
	}{
		{"as it is", func(*Balancer) {}, true},
		{"it drains", func(b *Balancer) {
			b.UpdateEndpoint(Endpoint{ID: 3, State: Draining, Weight: 1})
		}, false},
		{"it is gone", func(b *Balancer) {
			b.UpdateEndpoint(Endpoint{ID: 3, State: Gone, Weight: 1})
		}, false},
		{"it has just started", func(b *Balancer) {
			b.UpdateEndpoint(Endpoint{ID: 3, State: Ready, StartedAt: start - 1, Weight: 1})
		}, false},
		{"it is full", func(b *Balancer) { b.PollFinished(start, 3, true, []float64{0, 1.2}) }, false},
		{"it does not answer", func(b *Balancer) { b.PollFinished(start, 3, false, nil); b.PollFinished(start, 3, false, nil) },
			false},
		{"its zone is closed", func(b *Balancer) { b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 1, true}}) }, false},
	} {
		returned := 0
		for seed := range int64(20) {
			b := testFleet{Loads: []float64{0.2, 0.1, 0.3, 0.1}, Seed: seed}.build(t)
			c.change(b)
			session := newSession(start)
			b.PreferBackend(session, 3)
			decision := b.Assign(start, session)
			if decision.Backend == 3 {
				returned++
			}
			if c.returned {
				decision = b.AttemptFinished(start, session, OutcomeRejected, false)
				assert.NotEqual(t, uint32(3), decision.Backend, "the retry goes to another backend")
			}
		}
		want := 0
		if c.returned {
			want = 20
		}
		assert.Equal(t, want, returned, c.name)
	}
}
