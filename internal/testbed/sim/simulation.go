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

// Result is the outcome of one run: what the model, the auditor and the relays counted.
type Result struct {
	Variant            string
	Metrics            *model.Metrics
	FaultSpans         []model.FaultSpan
	Auditor            *audit.Auditor
	SlowStartOverloads int
	Events             int
	Bytes              int
	RealTime           time.Duration // wall-clock time of the run, the only field that differs from run to run
	Relays             []relay.Counters
}

// Sim is one run of an experiment under one variant. It implements model.Infrastructure.
type Sim struct {
	experiment           *experiment.Experiment
	variant              string
	network              *network
	environment          *model.Environment
	auditor              *audit.Auditor
	machines             []*machine                       // one for each relay, by the relay's number
	impairments          map[[2]int]experiment.Impairment // impairments of network paths, by their machines {from, to}
	coordinatorProcesses map[int]*coordinatorProcess      // coordinators by the number of their machine
	// WrapStateMachine, if not nil, wraps each relay's state machine. Tests of the auditor use it to inject faults.
	WrapStateMachine func(relay int, stateMachine StateMachine) StateMachine
}

// machine is the machine of one relay, with the state that outlives the relay's processes.
type machine struct {
	process        *relayProcess         // the relay's current process, or the last one if none runs
	stateMachine   *relay.StateMachine   // state machine of the process that was started last
	starts         int                   // number of processes started so far
	knownEndpoints *relay.EndpointUpdate // endpoint list that the next process starts with
	formerCounters relay.Counters        // counters of the process that exited last
	disk           *simulatedDisk
	clockOffset    float64 // milliseconds that the machine's clock is ahead of the true time
}

const settleTime = 4000.0 // milliseconds that a run goes on after arrivals end, for requests still in progress

// New prepares a run of one variant. It writes a trace of the run to trace, unless that is nil.
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

// Run runs the experiment to its end.
func (s *Sim) Run() (*Result, error) {
	startedAt := time.Now()
	addresses, err := s.setUp()
	if err != nil {
		return nil, err
	}
	s.environment.Start(addresses)
	s.network.after(float64(s.experiment.Warmup)/2, s.snapshotDisks)
	s.network.run(startMillis + float64(s.experiment.Length))
	s.environment.Workload.Close()
	s.network.run(startMillis + float64(s.experiment.Length) + settleTime)
	s.auditor.Finish(s.network.now)
	return s.result(time.Since(startedAt)), nil
}

// setUp creates the environment, starts the relays and returns their addresses.
func (s *Sim) setUp() (addresses []string, err error) {
	s.environment = model.NewEnvironment(s.experiment, s, nodeHost{s.network.addNode("world", -1)}, s.auditor)
	s.auditor.IsSameZone = s.environment.IsSameZone
	s.auditor.LocalityFrom = startMillis + float64(s.experiment.Warmup)
	for i := range s.experiment.Relays.Count {
		n := s.network.addNode(fmt.Sprintf("relay-%d:1", i), i%s.experiment.Fleet.Zones)
		n.isRefusing = true
		addresses = append(addresses, n.address)
		s.machines = append(s.machines, &machine{
			process:        &relayProcess{node: n, eventLoop: eventLoop{isExited: true}},
			knownEndpoints: s.savedEndpoints(),
			disk:           &simulatedDisk{memory: store.NewMemoryFS()},
		})
		if err := s.startProcess(i); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// snapshotDisks copies all disks, for faults that restore an older state of a disk.
func (s *Sim) snapshotDisks() {
	for _, m := range s.machines {
		m.disk.olderCopy = m.disk.memory.Clone()
	}
}

func (s *Sim) result(realTime time.Duration) *Result {
	r := &Result{
		Variant:            s.variant,
		Metrics:            s.environment.Metrics,
		FaultSpans:         s.environment.FaultSpans,
		Auditor:            s.auditor,
		SlowStartOverloads: s.environment.SlowStartOverloads(),
		Events:             s.network.events,
		Bytes:              s.network.bytes,
		RealTime:           realTime,
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

// startProcess starts a process of a relay that has none.
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

// newProcess creates a process of a relay. When it replaces a running process, parent is that process and handoff is
// its handoff; otherwise both are nil.
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
	s.machines[i].knownEndpoints = s.savedEndpoints()
	s.environment.RelayExited(i)
}

// savedEndpoints returns the endpoint list that the platform keeps for the next process of a relay that exits now.
func (s *Sim) savedEndpoints() *relay.EndpointUpdate {
	if !s.experiment.Relays.KnowsEndpoints {
		return &relay.EndpointUpdate{Complete: true}
	}
	return s.environment.Discovery.FullUpdate()
}
