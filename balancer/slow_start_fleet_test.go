package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The settings and lengths of the simulation; times are in milliseconds.
const (
	simulatedInitialCapacity  = 0.2
	simulatedDuration         = 20000.0
	simulatedOverloadMultiple = 3.0
	simulatedOverloadSpan     = 2000.0

	simulationStep   = 10.0
	simulationLength = 25000.0
	reportPeriod     = 500.0
	reportDelay      = 200.0
	meanSessionLife  = 40000.0
	burstLength      = 3000.0
)

// simulatedBackend holds sessions and reports its load with a delay.
type simulatedBackend struct {
	slowStart  bool
	load       float64   // load of its sessions, as a multiple of the mean session load
	reportedAt float64   // time of the latest report
	latestLoad float64   // load in the latest report
	formerLoad float64   // load in the report before
	assignedAt []float64 // times at which sessions were assigned to it during its slow start
}

func (s *simulatedBackend) capacityShare(now float64) float64 {
	if !s.slowStart {
		return 1
	}
	return min(1, simulatedInitialCapacity+(1-simulatedInitialCapacity)*(now-start)/simulatedDuration)
}

func (s *simulatedBackend) report(now, sessionsPerBackend float64) {
	if now >= s.reportedAt+reportPeriod {
		s.formerLoad = s.latestLoad
		s.latestLoad = s.load / (sessionsPerBackend * s.capacityShare(now))
		s.reportedAt = now
	}
}

// visibleLoad returns the load in the answer to a poll.
func (s *simulatedBackend) visibleLoad(now float64) float64 {
	if now >= s.reportedAt+reportDelay {
		return s.latestLoad
	}
	return s.formerLoad
}

// recordArrival records a session that is assigned now and returns how much of what the backend can take within the
// overload span is used.
func (s *simulatedBackend) recordArrival(now, sessionsPerBackend float64) float64 {
	s.assignedAt = append(s.assignedAt, now)
	recent := 0.0
	for _, at := range s.assignedAt {
		if at > now-simulatedOverloadSpan {
			recent++
		}
	}
	n := simulatedOverloadMultiple * s.capacityShare(now) * sessionsPerBackend * simulatedOverloadSpan / simulatedDuration
	return recent / (n + 2*math.Sqrt(n) + 2)
}

type simulatedSession struct {
	session  *Session
	balancer *Balancer
	backend  *simulatedBackend // nil: the session is queued
	weight   float64           // load, as a multiple of the mean session load
	until    float64           // time at which the session ends
}

// slowStartFleet simulates balancers that know nothing of each other and share backends, some of which are in slow
// start.
type slowStartFleet struct {
	balancers          int
	sessionsPerBackend float64 // capacity of a warm backend, in sessions of the mean load
	warmLoad           float64 // load of the warm backends at the beginning, from 0 to 1
	quietRateFactor    float64 // factor on the usual rate of new sessions before the burst
	burstRateFactor    float64 // factor on the usual rate of new sessions during the burst
	burstDelay         float64 // milliseconds from the start to the burst
	unevenClients      bool    // half of the sessions come to a tenth of the balancers
	seed               int64

	rng         *rand.Rand
	backends    []*simulatedBackend
	relays      []*Balancer
	sessions    []*simulatedSession
	arrivalsDue float64 // number of sessions that are due to arrive, with a fraction
	worstUsage  float64 // highest usage of a backend in slow start so far
}

const (
	warmBackends          = 7
	warmingCount          = 3
	arrivalRatePerSession = 0.32 // new sessions a second, per session that a warm backend can hold
	waveRate              = 2.0  // the rate in the same unit above which the clients count as returning ones
)

func (f *slowStartFleet) build() {
	f.rng = rand.New(rand.NewSource(f.seed))
	for range warmBackends {
		f.backends = append(f.backends,
			&simulatedBackend{load: f.warmLoad * f.sessionsPerBackend, latestLoad: f.warmLoad, formerLoad: f.warmLoad})
	}
	for range warmingCount {
		f.backends = append(f.backends, &simulatedBackend{slowStart: true})
	}
	for i := range f.balancers {
		f.relays = append(f.relays, f.newBalancer(f.seed*1000+int64(i)))
	}
}

func (f *slowStartFleet) newBalancer(seed int64) *Balancer {
	classes := []Class{{LatencyObjective: 500, PriorityWeight: 1}}
	quota := f.sessionsPerBackend * float64(len(f.backends)) * quotaCapacityShare
	b := New(Config{
		Endpoints:  NewEndpointSet(false, 10000),
		RoundRobin: NewRoundRobin(rand.New(rand.NewSource(seed))),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  simulatedInitialCapacity,
			Duration:         simulatedDuration,
			OverloadMultiple: simulatedOverloadMultiple,
			OverloadSpan:     simulatedOverloadSpan,
			Relays:           f.balancers,
		}),
		Poller:   NewLoadPoller(true, 0.002, []string{"x0"}),
		Attempts: NewAttemptPolicy(classes, 3, 0, f.balancers, nil),
		Quotas:   NewQuotas(classes, []float64{quota}, 0.2, f.balancers),
	})
	b.BeginEndpointUpdate(true)
	for i, s := range f.backends {
		started := 0.0
		if s.slowStart {
			started = start
		}
		b.UpdateEndpoint(Endpoint{ID: uint32(i + 1), State: Ready, StartedAt: started, Weight: 1})
	}
	b.EndEndpointUpdate(start)
	return b
}

// run runs the simulation and returns the highest usage of a backend in slow start within any overload span.
func (f *slowStartFleet) run() float64 {
	f.build()
	for now := start; now < start+simulationLength; now += simulationStep {
		f.answerPolls(now)
		f.arrivals(now)
		open := f.sessions[:0]
		for _, simulated := range f.sessions {
			if simulated.backend == nil && !f.assign(now, simulated) {
				continue
			}
			if simulated.backend != nil && now >= simulated.until {
				simulated.backend.load -= simulated.weight
				simulated.balancer.AttemptFinished(now, simulated.session, OutcomeSucceeded, true)
				continue
			}
			open = append(open, simulated)
		}
		f.sessions = open
	}
	return f.worstUsage
}

func (f *slowStartFleet) answerPolls(now float64) {
	for _, s := range f.backends {
		s.report(now, f.sessionsPerBackend)
	}
	for _, b := range f.relays {
		for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
			b.PollFinished(now, action.Backend, true, []float64{f.backends[action.Backend-1].visibleLoad(now)})
		}
	}
}

func (f *slowStartFleet) arrivals(now float64) {
	rate := arrivalRatePerSession * f.sessionsPerBackend
	switch sinceBurst := now - start - f.burstDelay; {
	case sinceBurst < 0:
		rate *= f.quietRateFactor
	case sinceBurst < burstLength:
		rate *= f.burstRateFactor
	}
	for f.arrivalsDue += rate * simulationStep / 1000; f.arrivalsDue >= 1; f.arrivalsDue-- {
		among := f.balancers
		if f.unevenClients && f.rng.Float64() < 0.5 {
			among = max(f.balancers/10, 1)
		}
		session := newSession(now)
		f.sessions = append(f.sessions, &simulatedSession{session: session, balancer: f.relays[f.rng.Intn(among)]})
	}
}

// assign asks the session's balancer for a decision and reports whether the session is assigned or queued.
func (f *slowStartFleet) assign(now float64, simulated *simulatedSession) bool {
	decision := simulated.balancer.Assign(now, simulated.session)
	if decision.Kind != Assign {
		return decision.Kind == Queue
	}
	simulated.backend = f.backends[decision.Backend-1]
	simulated.weight = math.Exp(f.rng.NormFloat64()*0.8 - 0.32)
	simulated.until = now + meanSessionLife*f.rng.ExpFloat64()
	if simulated.backend.slowStart && simulated.backend.capacityShare(now) < 1 {
		f.worstUsage = max(f.worstUsage, simulated.backend.recordArrival(now, f.sessionsPerBackend))
	}
	simulated.backend.load += simulated.weight
	simulated.balancer.SessionEstablished(now, simulated.session)
	simulated.balancer.LoadMeasured(simulated.session, simulated.weight)
	return true
}

// slowStartLoad describes the sessions that arrive at a slowStartFleet.
type slowStartLoad struct {
	name                                                   string
	warmLoad, quietRateFactor, burstRateFactor, burstDelay float64
	unevenClients                                          bool
}

// fleet returns a fleet that gets this load.
func (l slowStartLoad) fleet(balancers int, capacity float64, seed int64) *slowStartFleet {
	return &slowStartFleet{
		balancers:          balancers,
		sessionsPerBackend: capacity,
		warmLoad:           l.warmLoad,
		quietRateFactor:    l.quietRateFactor,
		burstRateFactor:    l.burstRateFactor,
		burstDelay:         l.burstDelay,
		unevenClients:      l.unevenClients,
		seed:               seed,
	}
}

// worstUsage returns the highest usage of a backend in slow start over the given number of seeds.
func (l slowStartLoad) worstUsage(balancers int, sessionsPerBackend float64, seeds int64) (worst float64) {
	for seed := range seeds {
		worst = max(worst, l.fleet(balancers, sessionsPerBackend, seed).run())
	}
	return worst
}

// All balancers together assign to a backend in slow start, within the overload span, at most n + 2*sqrt(n) + 2
// sessions, where n is the number that it can take. This holds for any number of balancers, right after starts, with
// uneven clients and in a burst.
func TestColdBudgetHoldsForTheWholeFleet(t *testing.T) {
	seeds, sizes := int64(10), []int{1, 3, 12, 20, 30, 80}
	if testing.Short() {
		seeds, sizes = 4, []int{3, 30, 80}
	}
	for _, load := range []slowStartLoad{
		{"calm", 0.4, 1, 1, 0, false},
		{"burst", 0.5, 1, 4, 500, false},
		{"burst, uneven clients", 0.5, 1, 4, 500, true},
		{"warm backends full", 0.9, 1, 4, 500, false},
		{"warm backends full, uneven clients", 0.9, 1, 4, 500, true},
	} {
		if testing.Short() && load.warmLoad < loadLimit {
			continue // short runs test only the hardest loads
		}
		for _, balancers := range sizes {
			for _, sessionsPerBackend := range []float64{25, 200} {
				worst := load.worstUsage(balancers, sessionsPerBackend, seeds)
				name := fmt.Sprintf("%d balancers, %s, %v sessions a backend", balancers, load.name, sessionsPerBackend)
				t.Logf("%s: %.2f", name, worst)
				assert.LessOrEqual(t, worst, 1.0, name)
			}
		}
	}
}

// The limit of TestColdBudgetHoldsForTheWholeFleet holds in a wave too. Two thirds of all clients return within three
// seconds, after eight seconds in which almost none came, and the warm backends are full. Each balancer has saved up
// budget, and no report includes yet what the others assign.
func TestColdBudgetHoldsInAWave(t *testing.T) {
	load := slowStartLoad{"a wave after silence", 0.9, 0.05, 6, 8000, false}
	for _, balancers := range []int{1, 3, 12, 20, 30} {
		worst := load.worstUsage(balancers, 25, 30)
		t.Logf("%d balancers: %.2f", balancers, worst)
		assert.LessOrEqual(t, worst, 1.0, "%d balancers", balancers)
	}
}
