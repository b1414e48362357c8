package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	coldFrom     = 0.2
	coldLength   = 20000.0
	coldMultiple = 3.0
	coldSpan     = 2000.0

	simulationStep   = 10.0
	simulationLength = 25000.0
	reportPeriod     = 500.0
	reportDelay      = 200.0
	meanLinkLife     = 40000.0
	burstLength      = 3000.0
)

// simulatedServer bears links, and reports its load late.
type simulatedServer struct {
	startedCold  bool
	load         float64 // links of the mean load
	reported     float64 // time of the last report
	figure       float64 // of that
	formerFigure float64
	sentAt       []float64 // when links came to it while it was cold
}

func (s *simulatedServer) part(now float64) float64 {
	if !s.startedCold {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*(now-start)/coldLength)
}

func (s *simulatedServer) report(now, bears float64) {
	if now >= s.reported+reportPeriod {
		s.formerFigure, s.figure, s.reported = s.figure, s.load/(bears*s.part(now)), now
	}
}

// visibleFigure is the figure that a probe is answered with.
func (s *simulatedServer) visibleFigure(now float64) float64 {
	if now >= s.reported+reportDelay {
		return s.figure
	}
	return s.formerFigure
}

// usage counts a link that comes now, and gives the part of what the server can take within the span that has come.
func (s *simulatedServer) usage(now, bears float64) float64 {
	s.sentAt = append(s.sentAt, now)
	within := 0.0
	for _, at := range s.sentAt {
		if at > now-coldSpan {
			within++
		}
	}
	n := coldMultiple * s.part(now) * bears * coldSpan / coldLength
	return within / (n + 2*math.Sqrt(n) + 2)
}

type simulatedLink struct {
	link     *Session
	balancer *Balancer
	server   *simulatedServer // nil: it waits
	weight   float64
	until    float64
}

// coldFleet plays balancers that know nothing of each other, on servers of which some have just started cold.
type coldFleet struct {
	balancers     int
	bears         float64 // links of the mean load that a warm server bears
	warmLoad      float64 // of the warm servers at the beginning, of 1
	quiet         float64 // times the usual rate of new links, up to the burst
	burst         float64 // and in it
	burstFrom     float64 // after the start
	unevenClients bool    // half of the links come to a tenth of the balancers
	seed          int64

	chance  *rand.Rand
	servers []*simulatedServer
	all     []*Balancer
	links   []*simulatedLink
	owed    float64 // part of a link that is due
	worst   float64 // usage of a cold server
}

const (
	warmServers    = 7
	coldServers    = 3
	ratePerBearing = 0.32 // new links a second, for each that a server bears
	waveRate       = 2.0  // the same, above which they are clients whose connections broke
)

func (f *coldFleet) build() {
	f.chance = rand.New(rand.NewSource(f.seed))
	for range warmServers {
		f.servers = append(f.servers,
			&simulatedServer{load: f.warmLoad * f.bears, figure: f.warmLoad, formerFigure: f.warmLoad})
	}
	for range coldServers {
		f.servers = append(f.servers, &simulatedServer{startedCold: true})
	}
	for i := range f.balancers {
		f.all = append(f.all, f.balancer(f.seed*1000+int64(i)))
	}
}

func (f *coldFleet) balancer(seed int64) *Balancer {
	categories := []Class{{LatencyObjective: 500, PriorityWeight: 1}}
	quota := f.bears * float64(len(f.servers)) * quotaCapacityShare
	b := New(Config{
		Endpoints:  NewEndpointSet(false, 10000),
		RoundRobin: NewRoundRobin(rand.New(rand.NewSource(seed))),
		SlowStart: NewSlowStart(SlowStartConfig{
			InitialCapacity:  coldFrom,
			Duration:         coldLength,
			OverloadMultiple: coldMultiple,
			OverloadSpan:     coldSpan,
			Relays:           f.balancers,
		}),
		Poller:   NewLoadPoller(true, 0.002, []string{"x0"}),
		Attempts: NewAttemptPolicy(categories, 3, 0, f.balancers, nil),
		Quotas:   NewQuotas(categories, []float64{quota}, 0.2, f.balancers),
	})

	b.BeginEndpointUpdate(true)
	for i, s := range f.servers {
		started := 0.0
		if s.startedCold {
			started = start
		}
		b.UpdateEndpoint(Endpoint{ID: uint32(i + 1), State: Ready, StartedAt: started, Weight: 1})
	}
	b.EndEndpointUpdate(start)
	return b
}

// play gives the most that a cold server was sent within any span, as a part of what it can take.
func (f *coldFleet) play() float64 {
	f.build()
	for now := start; now < start+simulationLength; now += simulationStep {
		f.answerProbes(now)
		f.arrivals(now)
		kept := f.links[:0]
		for _, l := range f.links {
			if l.server == nil && !f.place(now, l) {
				continue
			}
			if l.server != nil && now >= l.until {
				l.server.load -= l.weight
				l.balancer.AttemptFinished(now, l.link, OutcomeSucceeded, true)
				continue
			}
			kept = append(kept, l)
		}
		f.links = kept
	}
	return f.worst
}

func (f *coldFleet) answerProbes(now float64) {
	for _, s := range f.servers {
		s.report(now, f.bears)
	}
	for _, b := range f.all {
		for due := b.NextAction(now); due.Kind == ActionPoll; due = b.NextAction(now) {
			b.PollFinished(now, due.Backend, true, []float64{f.servers[due.Backend-1].visibleFigure(now)})
		}
	}
}

func (f *coldFleet) arrivals(now float64) {
	rate := ratePerBearing * f.bears
	switch since := now - start - f.burstFrom; {
	case since < 0:
		rate *= f.quiet
	case since < burstLength:
		rate *= f.burst
	}
	for f.owed += rate * simulationStep / 1000; f.owed >= 1; f.owed-- {
		among := f.balancers
		if f.unevenClients && f.chance.Float64() < 0.5 {
			among = max(f.balancers/10, 1)
		}
		link := arrive(now)
		f.links = append(f.links, &simulatedLink{link: link, balancer: f.all[f.chance.Intn(among)]})
	}
}

// place asks where the link goes, and tells whether it is still to be looked after.
func (f *coldFleet) place(now float64, l *simulatedLink) bool {
	answer := l.balancer.Assign(now, l.link)
	if answer.Kind != Assign {
		return answer.Kind == Queue
	}
	l.server = f.servers[answer.Backend-1]
	l.weight = math.Exp(f.chance.NormFloat64()*0.8 - 0.32)
	l.until = now + meanLinkLife*f.chance.ExpFloat64()
	if l.server.startedCold && l.server.part(now) < 1 {
		f.worst = max(f.worst, l.server.usage(now, f.bears))
	}
	l.server.load += l.weight
	l.balancer.SessionEstablished(now, l.link)
	l.balancer.LoadMeasured(l.link, l.weight)
	return true
}

// coldLoad is what comes to the fleet.
type coldLoad struct {
	name                              string
	warmLoad, quiet, burst, burstFrom float64
	unevenClients                     bool
}

// worstUsage gives the most that a cold server was sent, over so many seeds.
func (l coldLoad) worstUsage(balancers int, bears float64, seeds int64) (worst float64) {
	for seed := range seeds {
		fleet := coldFleet{balancers: balancers, bears: bears, warmLoad: l.warmLoad, quiet: l.quiet, burst: l.burst,
			burstFrom: l.burstFrom, unevenClients: l.unevenClients, seed: seed}
		worst = max(worst, fleet.play())
	}
	return worst
}

// What all balancers together send to a cold server within the span in which it can fall stays under N and twice
// its root and two, however many they are: right after starts, with uneven clients and in a burst.
func TestColdBudgetHoldsForTheWholeFleet(t *testing.T) {
	seeds, sizes := int64(10), []int{1, 3, 12, 20, 30, 80}
	if testing.Short() {
		seeds, sizes = 4, []int{3, 30, 80}
	}
	for _, load := range []coldLoad{
		{"calm", 0.4, 1, 1, 0, false},
		{"burst", 0.5, 1, 4, 500, false},
		{"burst, uneven clients", 0.5, 1, 4, 500, true},
		{"warm servers full", 0.9, 1, 4, 500, false},
		{"warm servers full, uneven clients", 0.9, 1, 4, 500, true},
	} {
		if testing.Short() && load.warmLoad < loadLimit {
			continue // the hardest alone
		}
		for _, balancers := range sizes {
			for _, bears := range []float64{25, 200} {
				worst := load.worstUsage(balancers, bears, seeds)
				name := fmt.Sprintf("%d balancers, %s, servers that bear %v", balancers, load.name, bears)
				t.Logf("%s: %.2f", name, worst)
				assert.LessOrEqual(t, worst, 1.0, name)
			}
		}
	}
}

// The same where two thirds of all clients come again within three seconds, after eight in which next to none came,
// with no room on warm servers: each balancer has its budget saved up, and none sees yet what the others send.
func TestColdBudgetHoldsInAWave(t *testing.T) {
	load := coldLoad{"a wave after silence", 0.9, 0.05, 6, 8000, false}
	for _, balancers := range []int{1, 3, 12, 20, 30} {
		worst := load.worstUsage(balancers, 25, 30)
		t.Logf("%d balancers: %.2f", balancers, worst)
		assert.LessOrEqual(t, worst, 1.0, "%d balancers", balancers)
	}
}
