package balancer

import (
	"math/rand"
	"testing"
)

// testFleet describes a balancer with ready backends 1 to n, in zones 0, 1, 0, 1 ..., one for each load.
type testFleet struct {
	Idempotency         Idempotency
	Scope               DeduplicationScope
	DeduplicationWindow float64
	MaxAttempts         int
	MaxRetryAfter       float64
	MustWatch           bool
	Loads               []float64
	LastStartedAt       float64 // when the last backend started; 0: long ago
	CrossZoneFee        float64
	UsesAffinityGroups  bool
	Relays              int
	Budget              *RetryBudget
	Seed                int64
}

// start is the time at which most tests begin, in milliseconds.
const start = 100000.0

func (f testFleet) build(t *testing.T) *Balancer {
	t.Helper()
	rng := rand.New(rand.NewSource(f.Seed))
	relays := max(f.Relays, 1)
	lowPriority := Class{
		LatencyObjective:    300,
		DeduplicationWindow: f.DeduplicationWindow,
		PriorityWeight:      1,
		Idempotency:         f.Idempotency,
		Scope:               f.Scope,
	}
	highPriority := lowPriority
	highPriority.PriorityWeight = 5
	classes := []Class{lowPriority, highPriority}
	b := New(Config{
		Endpoints:  NewEndpointSet(f.MustWatch, 10000),
		RoundRobin: NewRoundRobin(rng),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  0.2,
			Duration:         20000,
			OverloadMultiple: 3,
			OverloadSpan:     2000,
			Relays:           relays,
		}),
		Poller:             NewLoadPoller(true, 0.002, []string{"queue", "x0"}),
		Attempts:           NewAttemptPolicy(classes, max(f.MaxAttempts, 3), f.MaxRetryAfter, relays, f.Budget),
		Quotas:             NewQuotas(classes, []float64{10, 990}, 0.2, relays),
		CrossZoneFee:       f.CrossZoneFee,
		UsesAffinityGroups: f.UsesAffinityGroups,
	})
	b.BeginEndpointUpdate(true)
	for i := range f.Loads {
		startedAt := 0.0
		if i == len(f.Loads)-1 {
			startedAt = f.LastStartedAt
		}
		b.UpdateEndpoint(Endpoint{
			ID:        uint32(i + 1),
			Zone:      i % 2,
			State:     Ready,
			Cell:      i % 2,
			StartedAt: startedAt,
			Weight:    1,
		})
	}
	b.EndEndpointUpdate(start)
	for i, load := range f.Loads {
		b.LoadReported(start, uint32(i+1), []float64{0, load})
	}
	return b
}

// newSession returns a session that arrives at the given time, with a deadline two seconds later.
func newSession(now float64) *Session { return &Session{Deadline: now + 2000} }

// assignWithPolls assigns a session; every backend that is polled answers at once, with its load.
func assignWithPolls(b *Balancer, now float64, session *Session, loads []float64) Decision {
	decision := b.Assign(now, session)
	for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
		b.PollFinished(now, action.Backend, true, []float64{0, loads[action.Backend-1]})
	}
	if decision.Kind == Queue {
		decision = b.Assign(now, session)
	}
	return decision
}

// newRecoveringRelay returns the balancer of one of several relays that have just started, with all backends in
// slow start and a class for each priority weight.
func newRecoveringRelay(relays, backends int, now float64, weights ...float64) *Balancer {
	var classes []Class
	for _, weight := range weights {
		classes = append(classes, Class{LatencyObjective: 500, PriorityWeight: weight})
	}
	b := New(Config{
		Endpoints:  NewEndpointSet(true, 10000),
		RoundRobin: NewRoundRobin(rand.New(rand.NewSource(1))),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  0.2,
			Duration:         9000,
			OverloadMultiple: 3,
			OverloadSpan:     2000,
			Relays:           relays,
		}),
		Poller:   NewLoadPoller(true, 0, []string{"x0"}),
		Attempts: NewAttemptPolicy(classes, 3, 1000, relays, NewRetryBudget(5, 0.1, 1000)),
		Quotas:   NewQuotas(classes, nil, 1, relays),
	})
	b.BeginEndpointUpdate(true)
	for i := range backends {
		b.UpdateEndpoint(Endpoint{ID: uint32(i + 1), State: Ready, StartedAt: now, Weight: 1})
	}
	b.EndEndpointUpdate(now)
	return b
}

// newEstimates returns the estimates of a relay that has measured many sessions.
func newEstimates(classes int) Estimates {
	estimates := Estimates{
		Capacity:        4e6,
		MeanSessionLoad: 4e4,
		ClassLoads:      make([]float64, classes),
		ClassSamples:    make([]float64, classes),
	}
	for class := range classes {
		estimates.ClassLoads[class] = 4e4
		estimates.ClassSamples[class] = 50
	}
	return estimates
}

// assignSessions assigns sessions at intervals of step and returns how many got a backend.
func assignSessions(b *Balancer, from float64, sessions int, step float64) (assigned int) {
	for i := range sessions {
		now := from + float64(i)*step
		session := &Session{Deadline: now + 1000}
		if b.Assign(now, session).Kind == Assign {
			assigned++
			b.SessionEstablished(now, session)
		}
	}
	return assigned
}

// newFleetOf returns a balancer with ready backends whose loads are unknown.
func newFleetOf(backends, relays int, fee float64, seed int64) *Balancer {
	rng := rand.New(rand.NewSource(seed))
	classes := []Class{{LatencyObjective: 300, PriorityWeight: 1}}
	b := New(Config{
		Endpoints:  NewEndpointSet(false, 0),
		RoundRobin: NewRoundRobin(rng),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  0.2,
			Duration:         9000,
			OverloadMultiple: 3,
			OverloadSpan:     2000,
			Relays:           relays,
		}),
		Poller:   NewLoadPoller(true, fee, []string{"x0"}),
		Attempts: NewAttemptPolicy(classes, 3, 900, relays, nil),
		Quotas:   NewQuotas(classes, nil, 1, relays),
	})
	b.BeginEndpointUpdate(true)
	for id := range backends {
		b.UpdateEndpoint(Endpoint{ID: uint32(id), State: Ready, Weight: 1})
	}
	b.EndEndpointUpdate(0)
	return b
}

// newPolledFleet returns a balancer whose backends have all reported their loads, and the time after that.
func newPolledFleet(backends int) (*Balancer, float64) {
	b := newFleetOf(backends, 2, 0, 1)
	now := 1.0
	for ; now < 3000; now += 10 {
		for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
			load := 0.2 + 0.2*float64(action.Backend%7)/7
			b.PollFinished(now, action.Backend, true, []float64{load})
		}
	}
	return b, now
}
