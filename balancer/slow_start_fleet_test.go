package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

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

// simulatedBackend bears sessions, and reports its load late.
type simulatedBackend struct {
	slowStart  bool
	load       float64 // sessions of the mean load
	reportedAt float64 // time of the last report
	latestLoad float64 // of that
	formerLoad float64
	assignedAt []float64 // when sessions came to it during its slow start
}

func (s *simulatedBackend) capacityShare(now float64) float64 {
	if !s.slowStart {
		return 1
	}
	return min(1, simulatedInitialCapacity+(1-simulatedInitialCapacity)*(now-start)/simulatedDuration)
}

func (s *simulatedBackend) report(now, bears float64) {
	if now >= s.reportedAt+reportPeriod {
		s.formerLoad = s.latestLoad
		s.latestLoad = s.load / (bears * s.capacityShare(now))
		s.reportedAt = now
	}
}

// visibleLoad is the load that a poll is answered with.
func (s *simulatedBackend) visibleLoad(now float64) float64 {
	if now >= s.reportedAt+reportDelay {
		return s.latestLoad
	}
	return s.formerLoad
}

// usage counts a session that arrives now and returns the share of the backend's capacity within the overload
// span that is used.
func (s *simulatedBackend) usage(now, bears float64) float64 {
	s.assignedAt = append(s.assignedAt, now)
	within := 0.0
	for _, at := range s.assignedAt {
		if at > now-simulatedOverloadSpan {
			within++
		}
	}
	n := simulatedOverloadMultiple * s.capacityShare(now) * bears * simulatedOverloadSpan / simulatedDuration
	return within / (n + 2*math.Sqrt(n) + 2)
}

type simulatedSession struct {
	session  *Session
	balancer *Balancer
	backend  *simulatedBackend // nil: it waits
	weight   float64
	until    float64
}

// slowStartFleet plays balancers that know nothing of each other, on backends of which some are in slow
// start.
type slowStartFleet struct {
	balancers          int
	sessionsPerBackend float64 // sessions of the mean load that a warm backend bears
	warmLoad           float64 // of the warm backends at the beginning, of 1
	quiet              float64 // times the usual rate of new sessions, up to the burst
	burst              float64 // and in it
	burstFrom          float64 // after the start
	unevenClients      bool    // half of the sessions come to a tenth of the balancers
	seed               int64

	rng         *rand.Rand
	backends    []*simulatedBackend
	all         []*Balancer
	sessions    []*simulatedSession
	arrivalsDue float64 // part of a session that is due
	worstUsage  float64 // usage of a backend in slow start
}

const (
	warmBackends   = 7
	warmingCount   = 3
	ratePerBearing = 0.32 // new sessions a second, for each that a backend bears
	waveRate       = 2.0  // the same, above which they are clients whose connections broke
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
		f.all = append(f.all, f.newBalancer(f.seed*1000+int64(i)))
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

// play returns the highest usage of a backend in slow start within any span.
func (f *slowStartFleet) play() float64 {
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
	for _, b := range f.all {
		for action := b.NextAction(now); action.Kind == ActionPoll; action = b.NextAction(now) {
			b.PollFinished(now, action.Backend, true, []float64{f.backends[action.Backend-1].visibleLoad(now)})
		}
	}
}

func (f *slowStartFleet) arrivals(now float64) {
	rate := ratePerBearing * f.sessionsPerBackend
	switch since := now - start - f.burstFrom; {
	case since < 0:
		rate *= f.quiet
	case since < burstLength:
		rate *= f.burst
	}
	for f.arrivalsDue += rate * simulationStep / 1000; f.arrivalsDue >= 1; f.arrivalsDue-- {
		among := f.balancers
		if f.unevenClients && f.rng.Float64() < 0.5 {
			among = max(f.balancers/10, 1)
		}
		session := newSession(now)
		f.sessions = append(f.sessions, &simulatedSession{session: session, balancer: f.all[f.rng.Intn(among)]})
	}
}

// assign asks where the session goes, and tells whether it is still to be looked after.
func (f *slowStartFleet) assign(now float64, simulated *simulatedSession) bool {
	decision := simulated.balancer.Assign(now, simulated.session)
	if decision.Kind != Assign {
		return decision.Kind == Queue
	}
	simulated.backend = f.backends[decision.Backend-1]
	simulated.weight = math.Exp(f.rng.NormFloat64()*0.8 - 0.32)
	simulated.until = now + meanSessionLife*f.rng.ExpFloat64()
	if simulated.backend.slowStart && simulated.backend.capacityShare(now) < 1 {
		f.worstUsage = max(f.worstUsage, simulated.backend.usage(now, f.sessionsPerBackend))
	}
	simulated.backend.load += simulated.weight
	simulated.balancer.SessionEstablished(now, simulated.session)
	simulated.balancer.LoadMeasured(simulated.session, simulated.weight)
	return true
}

// slowStartLoad is what comes to the fleet.
type slowStartLoad struct {
	name                              string
	warmLoad, quiet, burst, burstFrom float64
	unevenClients                     bool
}

// fleet returns a fleet that the load comes to.
func (l slowStartLoad) fleet(balancers int, bears float64, seed int64) *slowStartFleet {
	return &slowStartFleet{
		balancers:          balancers,
		sessionsPerBackend: bears,
		warmLoad:           l.warmLoad,
		quiet:              l.quiet,
		burst:              l.burst,
		burstFrom:          l.burstFrom,
		unevenClients:      l.unevenClients,
		seed:               seed,
	}
}

// worstUsage returns the highest usage of a backend in slow start, over so many seeds.
func (l slowStartLoad) worstUsage(balancers int, bears float64, seeds int64) (worst float64) {
	for seed := range seeds {
		worst = max(worst, l.fleet(balancers, bears, seed).play())
	}
	return worst
}

// What all balancers together assign to a backend in slow start within the overload span stays under N and
// twice its root and two, however many they are: right after starts, with uneven clients and in a burst.
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
			continue // the hardest alone
		}
		for _, balancers := range sizes {
			for _, bears := range []float64{25, 200} {
				worst := load.worstUsage(balancers, bears, seeds)
				name := fmt.Sprintf("%d balancers, %s, backends that bear %v", balancers, load.name, bears)
				t.Logf("%s: %.2f", name, worst)
				assert.LessOrEqual(t, worst, 1.0, name)
			}
		}
	}
}

// The same where two thirds of all clients return within three seconds, after eight in which next to none
// came, with full warm backends: each balancer has saved up its budget, and none sees yet what the others
// assign.
func TestColdBudgetHoldsInAWave(t *testing.T) {
	load := slowStartLoad{"a wave after silence", 0.9, 0.05, 6, 8000, false}
	for _, balancers := range []int{1, 3, 12, 20, 30} {
		worst := load.worstUsage(balancers, 25, 30)
		t.Logf("%d balancers: %.2f", balancers, worst)
		assert.LessOrEqual(t, worst, 1.0, "%d balancers", balancers)
	}
}
