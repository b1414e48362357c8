package baseline

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

const (
	idempotent = iota
	notIdempotent
)

func newPolicy(t *testing.T, kind Kind) *Policy {
	t.Helper()
	p, err := New(Config{
		Kind:        kind,
		Zone:        1,
		Seed:        7,
		Classes:     []balancer.Class{{Idempotency: balancer.Idempotent}, {Idempotency: balancer.NonIdempotent}},
		MaxAttempts: 3,
		RetryAfter:  250,
		LoadOf:      func(backend uint32) float64 { return 10 - float64(backend) },
		HasCapacity: func(backend uint32) bool { return backend != 3 },
	})
	require.NoError(t, err)
	p.BeginEndpointUpdate(true)
	for id, zone := range []int{0, 0, 1, 1} {
		p.UpdateEndpoint(balancer.Endpoint{ID: uint32(id), Zone: zone, State: balancer.Ready})
	}
	p.EndEndpointUpdate(0)
	return p
}

// assignAll assigns sessions and returns how many each backend got.
func assignAll(t *testing.T, p *Policy, sessions int) map[uint32]int {
	t.Helper()
	got := map[uint32]int{}
	for range sessions {
		d := p.Assign(0, &balancer.Session{Class: idempotent, Deadline: 1000})
		require.Equal(t, balancer.Assign, d.Kind)
		got[d.Backend]++
	}
	return got
}

func TestKindsChoose(t *testing.T) {
	for kind, want := range map[Kind]map[uint32]int{
		RoundRobin:           {0: 10, 1: 10, 2: 10, 3: 10},
		FewestSessions:       {0: 10, 1: 10, 2: 10, 3: 10},
		FewestSessionsInZone: {2: 20, 3: 20},
		TrueLoad:             {3: 40},
		TrueLoadWithCapacity: {2: 40},
	} {
		t.Run(kind.String(), func(t *testing.T) {
			assert.Equal(t, want, assignAll(t, newPolicy(t, kind), 40))
		})
	}
	for _, kind := range []Kind{Random, PowerOfTwoChoices} {
		t.Run(kind.String(), func(t *testing.T) {
			assert.Len(t, assignAll(t, newPolicy(t, kind), 40), 4, "every backend is assigned sessions")
		})
	}
}

func TestUnknownKind(t *testing.T) {
	_, err := New(Config{Kind: "best"})
	assert.EqualError(t, err, `variants: no baseline is called "best"`)
}

func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		class   int
		outcome balancer.AttemptOutcome
		want    []balancer.DecisionKind // after each attempt's end
	}{
		"idempotent: as many attempts as allowed, then rejected": {idempotent, balancer.OutcomeTimedOut,
			[]balancer.DecisionKind{balancer.Assign, balancer.Assign, balancer.Reject}},
		"not idempotent, may have run: fails at once": {notIdempotent, balancer.OutcomeTimedOut,
			[]balancer.DecisionKind{balancer.Fail}},
		"not idempotent, did not run: another attempt": {notIdempotent, balancer.OutcomeUnreachable,
			[]balancer.DecisionKind{balancer.Assign, balancer.Assign, balancer.Reject}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPolicy(t, FewestSessions)
			s := &balancer.Session{Class: c.class, Deadline: 1000}
			before := p.Assign(0, s)
			for _, want := range c.want {
				next := p.AttemptFinished(1, s, c.outcome, false)
				assert.Equal(t, want, next.Kind)
				if next.Kind == balancer.Assign {
					assert.NotEqual(t, before.Backend, next.Backend, "a retry goes to another backend")
				}
				before = next
			}
			for id := range uint32(4) {
				assert.Zero(t, p.BackendStatus(id).Sessions, "no session is counted any more")
			}
		})
	}
}

func TestCompleteUpdateReplacesTheList(t *testing.T) {
	p := newPolicy(t, RoundRobin)
	p.BeginEndpointUpdate(true)
	p.UpdateEndpoint(balancer.Endpoint{ID: 2, Zone: 1, State: balancer.Ready})
	p.EndEndpointUpdate(0)
	listed, excluded := p.Counts()
	assert.Equal(t, [2]int{4, 3}, [2]int{listed, excluded})
	assert.Equal(t, map[uint32]int{2: 5}, assignAll(t, p, 5))
}
