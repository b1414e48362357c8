package balancer

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// young is a relay just back, of so many, with a fleet of cold servers.
func young(relays, servers int, now float64, gains ...float64) *Balancer {
	var categories []Class
	for _, g := range gains {
		categories = append(categories, Class{LatencyObjective: 500, PriorityWeight: g})
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
		Attempts: NewAttemptPolicy(categories, 3, 1000, relays, NewRetryBudget(5, 0.1, 1000)),
		Quotas:   NewQuotas(categories, nil, 1, relays),
	})

	b.BeginEndpointUpdate(true)
	for i := range servers {
		b.UpdateEndpoint(Endpoint{ID: uint32(i + 1), State: Ready, StartedAt: now, Weight: 1})
	}
	b.EndEndpointUpdate(now)
	return b
}

func learnt(categories int) Estimates {
	l := Estimates{Capacity: 4e6, MeanSessionLoad: 4e4, ClassLoads: make([]float64, categories), ClassSamples: make([]float64,
		categories)}
	for i := range l.ClassLoads {
		l.ClassLoads[i], l.ClassSamples[i] = 4e4, 50
	}
	return l
}

// place asks for so many links, one a step, and counts those sent.
func place(b *Balancer, from float64, links int, step float64) (sent int) {
	for i := range links {
		now := from + float64(i)*step
		l := &Session{Deadline: now + 1000}
		if b.Assign(now, l).Kind == Assign {
			sent++
			b.SessionEstablished(now, l)
		}
	}
	return sent
}

// A relay that has learnt nothing grants cold servers next to nothing, which is what a power loss did to a
// whole fleet; one that knows what they bear grants its part of it.
func TestKnowsWhatServersBear(t *testing.T) {
	blind, told := young(12, 24, 1000, 1), young(12, 24, 1000, 1)
	require.True(t, told.RestoreEstimates(learnt(1)))
	told.SetRecovering(true, 0)
	assert.Less(t, place(blind, 1100, 60, 30), 6)
	assert.Greater(t, place(told, 1100, 60, 30), 15)
}

func TestRecallRefuses(t *testing.T) {
	for name, spoil := range map[string]func(*Estimates){
		"no capacity":   func(l *Estimates) { l.Capacity = 0 },
		"no number":     func(l *Estimates) { l.MeanSessionLoad = math.NaN() },
		"endless":       func(l *Estimates) { l.Capacity = math.Inf(1) },
		"other number":  func(l *Estimates) { l.ClassLoads = nil },
		"negative load": func(l *Estimates) { l.ClassLoads[0] = -1 },
	} {
		b, l := young(2, 2, 1000, 1), learnt(1)
		spoil(&l)
		assert.False(t, b.RestoreEstimates(l), name)
		assert.Nil(t, b.admission, name)
	}
	b := young(2, 2, 1000, 1)
	require.True(t, b.RestoreEstimates(learnt(1)))
	assert.False(t, b.RestoreEstimates(learnt(1)), "what is known goes before what is said again")
}

// A server of a list that was kept is cold until discovery tells when it started.
func TestSupposed(t *testing.T) {
	b := young(2, 0, 1000, 1)
	b.BeginEndpointUpdate(true)
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, Weight: 1})
	b.UpdateEndpoint(Endpoint{ID: 2, State: Ready, Weight: 1})
	b.EndEndpointUpdate(1000)
	b.AssumeEndpoints(1000)
	cold, usable := b.WarmingUp(1100)
	assert.Equal(t, [2]int{2, 2}, [2]int{cold, usable})
	b.BeginEndpointUpdate(true)
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, Weight: 1})                 // it never went
	b.UpdateEndpoint(Endpoint{ID: 2, State: Ready, StartedAt: 900, Weight: 1}) // it did, earlier than was held
	b.EndEndpointUpdate(1200)
	cold, _ = b.WarmingUp(1200)
	assert.Equal(t, 1, cold)
	assert.Equal(t, 900.0, b.slowStart.startedAt[1])
}

// With no word of the window before the start, all that is free in it counts as spent.
func TestRestartedBudget(t *testing.T) {
	b := young(2, 2, 1000, 1)
	b.AssumeRetriesSpent(1000)
	assert.False(t, b.attempts.budget.allowsRetry(1001))
	assert.True(t, b.attempts.budget.allowsRetry(3000))
}

// What a life of some seconds makes of what it was told does not grow from life to life.
func TestLearntDoesNotGrow(t *testing.T) {
	l := learnt(1)
	for range 20 {
		b := young(2, 4, 1000, 1)
		require.True(t, b.RestoreEstimates(l))
		b.SetRecovering(true, 0)
		place(b, 1100, 60, 10)
		b.capacity = 10 * l.Capacity // as figures that hold nothing yet have it
		l = b.Estimates()
	}
	assert.Equal(t, 4e6, l.Capacity)
	b := young(2, 4, 1000, 1)
	require.True(t, b.RestoreEstimates(l))
	b.quotas.loadSamples, b.capacity = 2*confidentSessions, 10*l.Capacity
	assert.Equal(t, maxEstimateGrowth*4e6, b.Estimates().Capacity)
}

// What others placed, by their own words, in place of a guess from the few links of this relay's own, which
// come to one server by chance; and reports that are known to be young. A cold server stays with the guess.
func TestOthersAndLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		others float64 // load, below 0: not known
		late   float64 // 0: nobody says
		cold   float64 // when the server started
		want   float64 // figured load of a server that two links of this relay's have just gone to
	}{
		{"a guess", -1, 0, 0, 0.2 + 0.02*(1+0.5*3/(1+3.0/64))},
		{"none placed any", 0, 0, 0, 0.2 + 0.02},
		{"as much as this one", 4e4 * 2, 0, 0, 0.2 + 0.02 + 0.5*0.02/4},
		{"far more than can be: the guess, evenly", 1e12, 0, 0, 0.2 + 0.02 + 0.5*3/(1+3.0/64)*0.02/4},
		{"cold: the guess, of the part that it bears", 0, 0, 2e5, 0.2 + 0.1*(1+0.5*3/(1+3.0/64))},
		{"reports are young", -1, 250, 0, 0.2},
	} {
		b := young(4, 4, 0, 1)
		b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, StartedAt: c.cold, Weight: 1})
		b.capacity = 4e6
		b.SetRemoteLoad(c.others)
		if c.late > 0 {
			b.SetMaxReportAge(c.late)
		}
		now := 2e5
		for range 2 {
			b.startAttempt(now, &Session{load: 4e4}, 0)
		}
		b.LoadReported(now+300, 1, []float64{0.2})
		assert.InDelta(t, c.want, b.loadEstimate(0, now), 1e-6, c.name)
		fresh := 0.0
		for _, f := range b.poller.unreportedLoads {
			fresh += f
		}
		assert.InDelta(t, fresh, b.UnreportedLoad(), 1e-6, c.name)
	}
}

// Clocks that are off: starts that were told move, what this relay saw of restarts itself stays.
func TestShift(t *testing.T) {
	const hour, now = 3.6e6, 1e12
	b := young(4, 3, now-hour, 1) // told an hour ago, by this relay's clock
	cold, _ := b.WarmingUp(now)
	assert.Zero(t, cold)
	b.ShiftStartTimes(hour) // which is an hour ahead: all have just started
	cold, _ = b.WarmingUp(now)
	assert.Equal(t, 3, cold)
	b.ShiftStartTimes(-hour)
	cold, _ = b.WarmingUp(now)
	assert.Zero(t, cold)
	b.startSlowStart(1, now) // its links broke, and it answers again
	b.ShiftStartTimes(-hour)
	cold, _ = b.WarmingUp(now)
	assert.Equal(t, 1, cold)
}

// A link that returns goes to the server where it stood: at its first try only, and never against a drain, a
// cold start, a full server, one that does not answer, or a decision on zones.
func TestPrefer(t *testing.T) {
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
			b := fleet{Loads: []float64{0.2, 0.1, 0.3, 0.1}, Seed: seed}.build(t)
			c.change(b)
			l := arrive(start)
			b.PreferBackend(l, 3)
			a := b.Assign(start, l)
			if a.Backend == 3 {
				there++
			}
			if c.there {
				a = b.AttemptFinished(start, l, OutcomeRejected, false)
				assert.NotEqual(t, uint32(3), a.Backend, "not again where it was turned away")
			}
		}
		want := 0
		if c.there {
			want = 20
		}
		assert.Equal(t, want, there, c.name)
	}
}

// An earlier try of the client's that may have run counts as the link's own: a single-use link is not run
// again, nor its client told that trying again is harmless; a referenced one goes where, and as long as, its
// repeat is dropped.
func TestRan(t *testing.T) {
	for _, c := range []struct {
		effect  Idempotency
		scope   DeduplicationScope
		id      uint32
		ago     float64
		verdict DecisionKind
	}{
		{Idempotent, ScopeAll, 1, 100, Assign},
		{NonIdempotent, ScopeAll, 1, 100, Fail},
		{NonIdempotent, ScopeAll, 99, 100, Fail},
		{IdempotentByKey, ScopeAll, 1, 100, Assign},
		{IdempotentByKey, ScopeAll, 99, 100, Assign},
		{IdempotentByKey, ScopeZone, 1, 100, Assign},
		{IdempotentByKey, ScopeZone, 99, 100, Fail}, // whose zone is not known
		{IdempotentByKey, ScopeAll, 1, 1e6, Fail},   // longer than repeats are remembered
	} {
		b := fleet{Loads: []float64{0.1, 0.1, 0.1, 0.1}, Seed: 3}.build(t)
		cat := &b.attempts.classes[0]
		cat.Idempotency, cat.Scope, cat.DeduplicationWindow = c.effect, c.scope, 5000
		l := arrive(start)
		b.RecordEarlierAttempt(l, c.id, start-c.ago)
		a := b.Assign(start, l)
		for now := start; a.Kind == Queue && now < l.Deadline+100; now += 50 {
			a = b.Assign(now, l)
		}
		assert.Equal(t, c.verdict, a.Kind, "%+v", c)
		if c.scope == ScopeZone && a.Kind == Assign {
			assert.Equal(t, uint32(1), a.Backend%2, "%+v", c)
		}
	}
}
