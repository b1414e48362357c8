package balancer

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// nextPlain is Next as it is without bookkeeping: a look at every server.
func nextPlain(b *Balancer, now float64) Action {
	d := Action{Wait: b.watchAt - now}
	if d.Wait <= 0 {
		b.watchAt = now + b.watchSilence()
		return Action{Kind: ActionWatch}
	}
	p := b.poller
	if s := p.nextRequested(); s >= 0 {
		return b.startPoll(now, s)
	}
	part, every := b.pollingPlan()
	if !p.enabled || part == 0 {
		return d
	}
	for s, c := range b.states {
		if c != Ready || p.selectionDraws[s] >= part || !math.IsNaN(p.pollSentAt[s]) {
			continue
		}
		if math.IsInf(p.polledAt[s], -1) {
			p.polledAt[s] = now + b.roundRobin.rng.Float64()*failedPollInterval - every
		}
		wait := p.polledAt[s] + every*(0.9+0.2*p.selectionDraws[s]) - now
		if b.outliers.consecutiveFailures[s] > 0 {
			wait = p.polledAt[s] + failedPollInterval - now
		}
		if wait <= 0 {
			return b.startPoll(now, s)
		}
		d.Wait = min(d.Wait, wait)
	}
	return d
}

func large(servers, relays int, fee float64, seed int64) *Balancer {
	chance := rand.New(rand.NewSource(seed))
	categories := []Class{{LatencyObjective: 300, PriorityWeight: 1}}
	b := New(Config{
		Endpoints:  NewEndpointSet(false, 0),
		RoundRobin: NewRoundRobin(chance),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  0.2,
			Duration:         9000,
			OverloadMultiple: 3,
			OverloadSpan:     2000,
			Relays:           relays,
		}),
		Poller:   NewLoadPoller(true, fee, []string{"x0"}),
		Attempts: NewAttemptPolicy(categories, 3, 900, relays, nil),
		Quotas:   NewQuotas(categories, nil, 1, relays),
	})

	b.BeginEndpointUpdate(true)
	for s := range servers {
		b.UpdateEndpoint(Endpoint{ID: uint32(s), State: Ready, Weight: 1})
	}
	b.EndEndpointUpdate(0)
	return b
}

// Whatever happens, the same is due, and the same servers are cold, as a look at every server finds.
func TestBookkeepingFindsWhatALookAtAllDoes(t *testing.T) {
	for seed := range int64(60) {
		chance := rand.New(rand.NewSource(seed))
		servers, relays, fee := 1+chance.Intn(60), 1+chance.Intn(100), []float64{0, 0, 0.001, 0.02}[chance.Intn(4)]
		a, b := large(servers, relays, fee, seed), large(servers, relays, fee, seed)
		now := 1.0
		var asked []uint32
		var as, bs []*Session
		for range 1500 {
			now += chance.ExpFloat64() * 20
			switch k := chance.Intn(10); {
			case k < 3 && len(asked) > 0:
				i := chance.Intn(len(asked))
				ok, load := chance.Intn(4) > 0, chance.Float64()
				a.PollFinished(now, asked[i], ok, []float64{load})
				b.PollFinished(now, asked[i], ok, []float64{load})
				asked = append(asked[:i], asked[i+1:]...)
			case k < 6:
				x, y := &Session{Deadline: now + 2000}, &Session{Deadline: now + 2000}
				require.Equal(t, b.Assign(now, y), a.Assign(now, x), "seed %d", seed)
				if x.reserved {
					as, bs = append(as, x), append(bs, y)
				}
			case k < 8 && len(as) > 0:
				i := chance.Intn(len(as))
				if chance.Intn(2) == 0 {
					a.SessionEstablished(now, as[i])
					b.SessionEstablished(now, bs[i])
					break
				}
				outcome := []AttemptOutcome{OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeConnectionLost}[chance.Intn(5)]
				require.Equal(t, b.AttemptFinished(now, bs[i], outcome, true), a.AttemptFinished(now, as[i], outcome, true))
				as, bs = append(as[:i], as[i+1:]...), append(bs[:i], bs[i+1:]...)
			case k == 8:
				id, cond, since := uint32(chance.Intn(servers+3)), EndpointState(chance.Intn(3)), 0.0
				if chance.Intn(3) == 0 {
					since = now
				}
				for _, of := range []*Balancer{a, b} {
					of.BeginEndpointUpdate(false)
					of.UpdateEndpoint(Endpoint{ID: id, State: cond, StartedAt: since, Weight: 1})
					of.EndEndpointUpdate(now)
				}
			}
			for {
				x, y := a.NextAction(now), nextPlain(b, now)
				require.Equal(t, y, x, "seed %d at %v", seed, now)
				if x.Kind == ActionWait {
					break
				}
				if x.Kind == ActionPoll {
					asked = append(asked, x.Backend)
				}
			}
			usable := 0
			for s, c := range a.states {
				if c == Ready && a.outliers.isHealthy(s) {
					usable++
				}
				if a.slowStart.capacityShare(s, now) < 1 {
					require.Contains(t, a.warmingBackends(now), s)
				}
			}
			require.Equal(t, usable, a.tracker.usable, "seed %d", seed)
		}
	}
}

func fleets(b *testing.B, run func(b *testing.B, servers int)) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(map[int]string{20: "20", 200: "200", 1000: "1000", 5000: "5000"}[n], func(b *testing.B) { run(b, n) })
	}
}

// settled is a fleet whose servers have all been asked and have told their loads.
func settled(servers int) (*Balancer, float64) {
	l := large(servers, 2, 0, 1)
	now := 1.0
	for ; now < 3000; now += 10 {
		for d := l.NextAction(now); d.Kind == ActionPoll; d = l.NextAction(now) {
			l.PollFinished(now, d.Backend, true, []float64{0.2 + 0.2*float64(d.Backend%7)/7})
		}
	}
	return l, now
}

// Placing a link, and its end, on a fleet that answers its probes meanwhile: 2000 links a second.
func BenchmarkPlace(b *testing.B) {
	fleets(b, func(b *testing.B, servers int) {
		l, now := settled(servers)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			link := &Session{Deadline: now + 2000}
			if l.Assign(now, link).Kind == Assign {
				l.SessionEstablished(now, link)
				l.AttemptFinished(now, link, OutcomeSucceeded, true)
			}
		}
	})
}

// What is asked after every event, a line passed on among them.
func BenchmarkNext(b *testing.B) {
	fleets(b, func(b *testing.B, servers int) {
		l, now := settled(servers)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			l.NextAction(now)
		}
	})
}

// The same by a look at every server, to be held against it in one run.
func BenchmarkNextByLookingAtAll(b *testing.B) {
	fleets(b, func(b *testing.B, servers int) {
		l, now := settled(servers)
		b.ResetTimer()
		for range b.N {
			nextPlain(l, now)
		}
	})
}

// One rebuild of the table of buckets.
func BenchmarkBuild(b *testing.B) {
	fleets(b, func(b *testing.B, servers int) {
		l, now := settled(servers)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			l.roundRobin.invalidate()
			l.refreshWeights(now)
		}
	})
}
