package sim

import (
	"fmt"
	"io"
	"time"

	"valeshift/internal/relay"
	"valeshift/internal/store"
	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// Result is the outcome of one run.
type Result struct {
	Variant string
	Tally   *model.Metrics
	Marks   []model.FaultSpan
	Audit   *audit.Auditor
	Fallen  int
	Events  int
	Bytes   int
	Took    time.Duration // of real time; the only figure that differs from run to run
	Relays  []relay.Counters
}

// Sim is one run of one variant. It implements model.Infrastructure.
type Sim struct {
	x                    *experiment.Experiment
	variant              string
	net                  *network
	world                *model.Environment
	audit                *audit.Auditor
	relays               []*process
	reducer              []*relay.StateMachine
	lives                []int
	known                []*relay.EndpointUpdate
	past                 []relay.Counters // of lives that are over
	ways                 map[[2]int]experiment.Impairment
	disks                []*simulatedDisk
	coordinatorProcesses map[int]*coordinatorProcess // voters, by their machines
	clocks               []float64                   // of relays' machines, ahead of the true time
	// Spoil, where set, wraps each relay's state machine, for tests of the auditor.
	Spoil func(relay int, brain Brain) Brain
}

const settleTime = 4000.0 // milliseconds after the last arrival, for what is still under way

// New makes a run of one variant.
func New(x *experiment.Experiment, variant string, trace io.Writer) *Sim {
	n := newNetwork(x.Rand("network", 0), float64(x.Network.Delay), float64(x.Network.Jitter), x.Network.SplitProbability)
	n.trace = trace
	slack := 4*float64(x.Network.Delay+4*x.Network.Jitter) + 1
	return &Sim{x: x, variant: variant, net: n, ways: map[[2]int]experiment.Impairment{},
		coordinatorProcesses: map[int]*coordinatorProcess{}, audit: audit.New(slack, x.Fleet.OverloadMultiple, float64(x.Fleet.OverloadWindow))}
}

// Run plays an experiment under one variant.
func Run(x *experiment.Experiment, variant string, trace io.Writer) (*Result, error) {
	return New(x, variant, trace).Run()
}

// Run plays it.
func (s *Sim) Run() (*Result, error) {
	startedAt := time.Now()
	addresses, err := s.setUp()
	if err != nil {
		return nil, err
	}
	s.world.Start(addresses)
	s.net.after(float64(s.x.Warmup)/2, s.copyDisks)
	s.net.run(start + float64(s.x.Length))
	s.world.Workload.Close()
	s.net.run(start + float64(s.x.Length) + settleTime)
	s.audit.Finish(s.net.now)
	return s.result(time.Since(startedAt)), nil
}

// setUp makes the environment and starts the relays; it returns their addresses.
func (s *Sim) setUp() (addresses []string, err error) {
	s.world = model.NewEnvironment(s.x, s, host{s.net.node("world", -1)}, s.audit)
	s.audit.IsSameZone = s.world.IsSameZone
	s.audit.LocalityFrom = start + float64(s.x.Warmup)
	for i := range s.x.Relays.Count {
		n := s.net.node(fmt.Sprintf("relay-%d:1", i), i%s.x.Fleet.Zones)
		n.refuse = true
		addresses = append(addresses, n.address)
		s.relays = append(s.relays, &process{node: n, over: true})
		s.reducer = append(s.reducer, nil)
		s.lives = append(s.lives, 0)
		s.disks = append(s.disks, &simulatedDisk{memory: store.NewMemoryFS()})
		s.clocks = append(s.clocks, 0)
		s.known = append(s.known, s.keeps())
		s.past = append(s.past, relay.Counters{})
		if err := s.start(i); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// copyDisks keeps each disk as it is now, for faults that bring an older one back.
func (s *Sim) copyDisks() {
	for _, d := range s.disks {
		d.older = d.memory.Clone()
	}
}

func (s *Sim) result(realTime time.Duration) *Result {
	r := &Result{
		Variant: s.variant,
		Tally:   s.world.Metrics,
		Marks:   s.world.FaultSpans,
		Audit:   s.audit,
		Fallen:  s.world.ColdOverloads(),
		Events:  s.net.events,
		Bytes:   s.net.bytes,
		Took:    realTime,
	}
	for i, stateMachine := range s.reducer {
		counters := stateMachine.Counters
		if counters.Succeeded == 0 {
			counters = s.past[i]
		}
		r.Relays = append(r.Relays, counters)
	}
	return r
}

// start starts a relay.
func (s *Sim) start(i int) error {
	p, err := s.process(i, nil, nil)
	if err != nil {
		return err
	}
	s.relays[i] = p
	p.listen()
	p.take(relay.TimerFired{})
	s.startFleetNode(i, p)
	return nil
}

// process makes a process of a relay; beside an old one (parent, else nil), with its handoff.
func (s *Sim) process(i int, parent *process, handoff *relay.Handoff) (*process, error) {
	x := s.x
	s.lives[i]++
	zone := i % x.Fleet.Zones
	config := &relay.Config{
		Name:               fmt.Sprintf("relay-%d", i),
		Discovery:          "10.0.0.1:1",
		MaxSockets:         x.Relays.MaxDescriptors,
		Seed:               x.Rand("relay", i*1000+s.lives[i]).Uint64(),
		InitialEndpoints:   s.known[i],
		Settings:           x.RelaySettings(zone),
		MaxReportAgeMillis: x.MaxReportAge(),
		HasParent:          parent != nil,
		Handoff:            handoff,
	}
	policy, err := Policy(x, s.variant, zone, config, s.loadOf, s.hasCapacity)
	if err != nil {
		return nil, err
	}
	stateMachine, err := relay.NewWithBalancer(s.wall(i), config, policy)
	if err != nil {
		return nil, err
	}
	s.reducer[i] = stateMachine
	var brain Brain = stateMachine
	if s.Spoil != nil {
		brain = s.Spoil(i, brain)
	}
	p := newProcess(s.relays[i].node, i, brain, s.world.Discovery, s.ways, s.audit, func() { s.ended(i) })
	p.beside = parent
	p.ahead = s.clocks[i]
	return p, nil
}

func (s *Sim) ended(i int) {
	s.past[i] = s.reducer[i].Counters
	s.known[i] = s.keeps()
	s.world.RelayExited(i)
}

// keeps returns the endpoint list that the platform keeps for a relay that ends now.
func (s *Sim) keeps() *relay.EndpointUpdate {
	if !s.x.Relays.KnowsEndpoints {
		return &relay.EndpointUpdate{Complete: true}
	}
	return s.world.Discovery.FullUpdate()
}
