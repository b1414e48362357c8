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
	Variant       string
	Metrics       *model.Metrics
	FaultSpans    []model.FaultSpan
	Auditor       *audit.Auditor
	ColdOverloads int
	Events        int
	Bytes         int
	RealTime      time.Duration // that the run took; the only figure that differs from run to run
	Relays        []relay.Counters
}

// Sim is one run of one variant. It implements model.Infrastructure.
type Sim struct {
	experiment           *experiment.Experiment
	variant              string
	network              *network
	environment          *model.Environment
	auditor              *audit.Auditor
	machines             []*machine // one for each relay
	impairments          map[[2]int]experiment.Impairment
	coordinatorProcesses map[int]*coordinatorProcess // by their machines
	// WrapStateMachine, where set, wraps each relay's state machine, for tests of the auditor.
	WrapStateMachine func(relay int, stateMachine StateMachine) StateMachine
}

// machine is a relay's machine, with what outlives a process of the relay.
type machine struct {
	process        *relayProcess       // the relay's present one, or its last
	stateMachine   *relay.StateMachine // of that process
	starts         int                 // processes started so far
	knownEndpoints *relay.EndpointUpdate
	formerCounters relay.Counters // of the process that exited last
	disk           *simulatedDisk
	clockOffset    float64 // milliseconds ahead of the true time
}

const settleTime = 4000.0 // milliseconds after the last arrival, for what is still under way

// New makes a run of one variant.
func New(x *experiment.Experiment, variant string, trace io.Writer) *Sim {
	network := newNetwork(x.Rand("network", 0), float64(x.Network.Delay), float64(x.Network.Jitter),
		x.Network.SplitProbability)
	network.trace = trace
	slack := 4*float64(x.Network.Delay+4*x.Network.Jitter) + 1
	return &Sim{
		experiment:           x,
		variant:              variant,
		network:              network,
		auditor:              audit.New(slack, x.Fleet.OverloadMultiple, float64(x.Fleet.OverloadWindow)),
		impairments:          map[[2]int]experiment.Impairment{},
		coordinatorProcesses: map[int]*coordinatorProcess{},
	}
}

// Run runs an experiment under one variant.
func Run(x *experiment.Experiment, variant string, trace io.Writer) (*Result, error) {
	return New(x, variant, trace).Run()
}

// Run runs it.
func (s *Sim) Run() (*Result, error) {
	startedAt := time.Now()
	addresses, err := s.setUp()
	if err != nil {
		return nil, err
	}
	s.environment.Start(addresses)
	s.network.after(float64(s.experiment.Warmup)/2, s.copyDisks)
	s.network.run(startMillis + float64(s.experiment.Length))
	s.environment.Workload.Close()
	s.network.run(startMillis + float64(s.experiment.Length) + settleTime)
	s.auditor.Finish(s.network.now)
	return s.result(time.Since(startedAt)), nil
}

// setUp makes the environment and starts the relays; it returns their addresses.
func (s *Sim) setUp() (addresses []string, err error) {
	s.environment = model.NewEnvironment(s.experiment, s, nodeHost{s.network.addNode("world", -1)}, s.auditor)
	s.auditor.IsSameZone = s.environment.IsSameZone
	s.auditor.LocalityFrom = startMillis + float64(s.experiment.Warmup)
	for i := range s.experiment.Relays.Count {
		n := s.network.addNode(fmt.Sprintf("relay-%d:1", i), i%s.experiment.Fleet.Zones)
		n.isRefusing = true
		addresses = append(addresses, n.address)
		s.machines = append(s.machines, &machine{
			process:        &relayProcess{node: n, isExited: true},
			knownEndpoints: s.endpointsToKeep(),
			disk:           &simulatedDisk{memory: store.NewMemoryFS()},
		})
		if err := s.startProcess(i); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// copyDisks keeps each disk as it is now, for faults that bring an older one back.
func (s *Sim) copyDisks() {
	for _, m := range s.machines {
		m.disk.older = m.disk.memory.Clone()
	}
}

func (s *Sim) result(realTime time.Duration) *Result {
	r := &Result{
		Variant:       s.variant,
		Metrics:       s.environment.Metrics,
		FaultSpans:    s.environment.FaultSpans,
		Auditor:       s.auditor,
		ColdOverloads: s.environment.ColdOverloads(),
		Events:        s.network.events,
		Bytes:         s.network.bytes,
		RealTime:      realTime,
	}
	for _, m := range s.machines {
		counters := m.stateMachine.Counters
		if counters.Succeeded == 0 {
			counters = m.formerCounters
		}
		r.Relays = append(r.Relays, counters)
	}
	return r
}

// startProcess starts a relay.
func (s *Sim) startProcess(i int) error {
	p, err := s.newProcess(i, nil, nil)
	if err != nil {
		return err
	}
	s.machines[i].process = p
	p.listen()
	p.handle(relay.TimerFired{})
	s.startFleetNode(i, p)
	return nil
}

// newProcess makes a process of a relay; beside an old one (parent, else nil), with its handoff.
func (s *Sim) newProcess(i int, parent *relayProcess, handoff *relay.Handoff) (*relayProcess, error) {
	x := s.experiment
	machine := s.machines[i]
	machine.starts++
	zone := i % x.Fleet.Zones
	config := &relay.Config{
		Name:               fmt.Sprintf("relay-%d", i),
		Discovery:          "10.0.0.1:1",
		MaxSockets:         x.Relays.MaxDescriptors,
		Seed:               x.Rand("relay", i*1000+machine.starts).Uint64(),
		InitialEndpoints:   machine.knownEndpoints,
		Settings:           x.RelaySettings(zone),
		MaxReportAgeMillis: x.MaxReportAge(),
		HasParent:          parent != nil,
		Handoff:            handoff,
	}
	policy, err := Policy(x, s.variant, zone, config, s.loadOf, s.hasCapacity)
	if err != nil {
		return nil, err
	}
	stateMachine, err := relay.NewWithBalancer(s.wallClock(i), config, policy)
	if err != nil {
		return nil, err
	}
	machine.stateMachine = stateMachine
	var wrapped StateMachine = stateMachine
	if s.WrapStateMachine != nil {
		wrapped = s.WrapStateMachine(i, wrapped)
	}
	onExit := func() { s.relayExited(i) }
	p := newRelayProcess(machine.process.node, i, wrapped, s.environment.Discovery, s.impairments, s.auditor, onExit)
	p.sibling = parent
	p.clockOffset = machine.clockOffset
	return p, nil
}

func (s *Sim) relayExited(i int) {
	s.machines[i].formerCounters = s.machines[i].stateMachine.Counters
	s.machines[i].knownEndpoints = s.endpointsToKeep()
	s.environment.RelayExited(i)
}

// endpointsToKeep returns the endpoint list that the platform keeps for a relay that ends now.
func (s *Sim) endpointsToKeep() *relay.EndpointUpdate {
	if !s.experiment.Relays.KnowsEndpoints {
		return &relay.EndpointUpdate{Complete: true}
	}
	return s.environment.Discovery.FullUpdate()
}
