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

// In a fleet that is nearly full, a session of high priority for its load still finds room; another is
// rejected at once.
func TestCapacityGoesToPriorityPerLoad(t *testing.T) {
	b := testFleet{Loads: []float64{0.73, 0.73, 0.73}, MaxRetryAfter: 900}.build(t)
	for i := range 30 {
		session := newSession(start - 5000)
		session.Class = i % 2
		b.SessionResumed(start, session, uint32(i%3+1))
		b.LoadMeasured(session, 100)
	}
	poor, rich := newSession(start), newSession(start)
	rich.Class, rich.Tenant = 1, 1
	assert.Equal(t, Decision{Kind: Reject, Wait: 900}, b.Assign(start, poor))
	assert.Equal(t, Assign, b.Assign(start, rich).Kind)
	beyond := newSession(start)
	beyond.Class = 1
	assert.Equal(t, Reject, b.Assign(start, beyond).Kind, "its tenant holds more than its share")
}

// All relays draw the same backend for a group, whatever their random source; where crossing zones costs, the
// local zone comes first.
func TestAffinityGroupsAndZones(t *testing.T) {
	at := map[uint32]bool{}
	for seed := range int64(10) {
		b := testFleet{Loads: []float64{0.2, 0.2, 0.2, 0.2}, UsesAffinityGroups: true, CrossZoneFee: 0.05, Seed: seed}.build(t)
		session := newSession(start)
		session.AffinityGroup = 42
		a := b.Assign(start, session)
		at[a.Backend] = true
		assert.Equal(t, uint32(1), a.Backend%2, "backends of zone 0 have odd ids")
	}
	assert.Len(t, at, 1)
}

// A busier backend gets no sessions only when it is crowded.
func TestCrowdedBackendsSitOut(t *testing.T) {
	for _, c := range []struct {
		loads []float64
		sits  bool
	}{{[]float64{0.30, 0.10, 0.10}, false}, {[]float64{0.65, 0.40, 0.40}, true}} {
		b := testFleet{Loads: c.loads}.build(t)
		drawn := false
		for range 60 {
			session := newSession(start)
			drawn = drawn || b.Assign(start, session).Backend == 1
		}
		assert.Equal(t, c.sits, !drawn, c.loads)
	}
}

// A session that returns goes to the backend where it was before: at its first attempt only, and never
// against a drain, a slow start, a full backend, one that does not answer, or zone weights.
func TestPreferBackend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *Balancer)
		there  bool
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
		{"its zone is emptied", func(b *Balancer) { b.SetZoneWeights([]ZoneWeight{{0, 0, false}, {1, 1, true}}) }, false},
	} {
		there := 0
		for seed := range int64(20) {
			b := testFleet{Loads: []float64{0.2, 0.1, 0.3, 0.1}, Seed: seed}.build(t)
			c.change(b)
			session := newSession(start)
			b.PreferBackend(session, 3)
			a := b.Assign(start, session)
			if a.Backend == 3 {
				there++
			}
			if c.there {
				a = b.AttemptFinished(start, session, OutcomeRejected, false)
				assert.NotEqual(t, uint32(3), a.Backend, "not again where it was rejected")
			}
		}
		want := 0
		if c.there {
			want = 20
		}
		assert.Equal(t, want, there, c.name)
	}
}
