package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/relay"
	"valeshift/internal/settings"
	"valeshift/internal/store"
	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/baseline"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// Result is what one run came to.
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

// Sim is one run in the making.
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
	disks                []*disk
	coordinatorProcesses map[int]*coordinatorProcess // voters, by their machines
	clocks               []float64                   // of relays' machines, ahead of the true time
	// Spoil, where set, puts something between the network and a relay's reducer: for tests of the auditor.
	Spoil func(relay int, brain Brain) Brain
}

const settle = 4000.0 // after the last arrival, for what is still under way

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
	began := time.Now()
	x := s.x
	s.world = model.NewEnvironment(x, s, host{s.net.node("world", -1)}, s.audit)
	s.audit.IsSameZone, s.audit.LocalityFrom = s.world.IsSameZone, start+float64(x.Warmup)
	var addresses []string
	for i := range x.Relays.Count {
		zone := i % x.Fleet.Zones
		d := s.net.node(fmt.Sprintf("relay-%d:1", i), zone)
		d.refuse = true
		addresses = append(addresses, d.address)
		s.relays = append(s.relays, &process{node: d, over: true})
		s.reducer, s.lives = append(s.reducer, nil), append(s.lives, 0)
		s.disks = append(s.disks, &disk{memory: store.NewMemoryFS()})
		s.clocks = append(s.clocks, 0)
		s.known, s.past = append(s.known, s.keeps()), append(s.past, relay.Counters{})
		if err := s.start(i); err != nil {
			return nil, err
		}
	}
	s.world.Start(addresses)
	s.net.after(float64(x.Warmup)/2, func() {
		for _, d := range s.disks {
			d.older = d.memory.Clone()
		}
	})
	s.net.run(start + float64(x.Length))
	s.world.Workload.Close()
	s.net.run(start + float64(x.Length) + settle)
	s.audit.Finish(s.net.now)
	r := &Result{Variant: s.variant, Tally: s.world.Metrics, Marks: s.world.FaultSpans, Audit: s.audit,
		Fallen: s.world.ColdOverloads(), Events: s.net.events, Bytes: s.net.bytes, Took: time.Since(began)}
	for i, d := range s.reducer {
		r.Relays = append(r.Relays, d.Counters)
		if d.Counters.Succeeded == 0 {
			r.Relays[i] = s.past[i]
		}
	}
	return r, nil
}

// start begins a life of a relay.
func (s *Sim) start(i int) error {
	p, err := s.process(i, nil, nil)
	if err != nil {
		return err
	}
	s.relays[i] = p
	p.listens()
	p.take(relay.TimerFired{})
	s.join(i, p)
	return nil
}

// process makes a process of a relay; beside an elder one, with what that has left.
func (s *Sim) process(i int, elder *process, left *relay.Handoff) (*process, error) {
	x := s.x
	s.lives[i]++
	told := &relay.Config{Name: fmt.Sprintf("relay-%d", i), Discovery: "10.0.0.1:1", MaxSockets: x.Relays.MaxDescriptors,
		Seed: x.Rand("relay", i*1000+s.lives[i]).Uint64(), InitialEndpoints: s.known[i],
		Settings: x.RelaySettings(i % x.Fleet.Zones), MaxReportAgeMillis: x.MaxReportAge(), HasParent: elder != nil, Handoff: left}
	module, err := Policy(x, s.variant, i%x.Fleet.Zones, told, s.truth, s.bears)
	if err != nil {
		return nil, err
	}
	reducer, err := relay.NewWithBalancer(s.wall(i), told, module)
	if err != nil {
		return nil, err
	}
	s.reducer[i] = reducer
	var brain Brain = reducer
	if s.Spoil != nil {
		brain = s.Spoil(i, brain)
	}
	p := newProcess(s.relays[i].node, i, brain, s.world.Discovery, s.ways, s.audit, func() { s.ended(i) })
	p.beside, p.ahead = elder, s.clocks[i]
	return p, nil
}

const (
	seen    = 50.0 // until one process sees another that has come or gone
	noticed = 20.0 // until the platform sees that the younger is ready
)

// ReplaceRelay starts another process beside a relay's; once that is ready, the elder is stopped as planned.
func (s *Sim) ReplaceRelay(i int, done func()) {
	s.net.tell("relay %d is replaced", i)
	elder := s.relays[i]
	elder.take(relay.SiblingProcessesChanged{HasChild: true, WantsHandoff: true})
	s.net.after(seen, func() {
		if elder.over || s.relays[i] != elder {
			return
		}
		text, err := json.Marshal(elder.left)
		var left *relay.Handoff
		if err == nil {
			left, err = relay.ParseHandoff(text, s.wall(i))
		}
		if err != nil { // as its machine's clock was set meanwhile: it begins without
			s.net.tell("relay %d: %v", i, err)
			left = nil
		}
		younger, err := s.process(i, elder, left)
		if err != nil {
			panic(err) // it was built from the same before
		}
		elder.beside = younger
		younger.ready = func() {
			younger.listens()
			s.net.after(noticed, func() { s.yield(i, elder, younger, done) })
		}
		younger.take(relay.TimerFired{})
	})
}

// yield stops the elder process, and has the younger know once it is gone.
func (s *Sim) yield(i int, elder, younger *process, done func()) {
	if elder.over || younger.over {
		return
	}
	alone := func() {
		s.relays[i] = younger
		s.net.after(seen, func() {
			younger.beside = nil
			if !younger.over {
				younger.take(relay.SiblingProcessesChanged{})
				done()
			}
		})
	}
	elder.exit = alone
	elder.take(relay.ShutdownRequested{YieldToChild: true})
	s.net.after(s.x.KillAfter(), func() {
		if !elder.over {
			elder.stop(true)
			alone()
		}
	})
}

// DrainRelay has operators empty a relay, or take it back to work.
func (s *Sim) DrainRelay(i int, on bool) {
	s.net.tell("relay %d lame duck %t", i, on)
	p := s.relays[i]
	p.take(relay.DrainRequested{On: on})
	if p.mates != nil && !p.over {
		record, acts := p.mates.core.SetDraining(p.clock(), on)
		p.mates.do(acts)
		p.mates.save(record, nil)
	}
}

func (s *Sim) ended(i int) {
	s.past[i] = s.reducer[i].Counters
	s.known[i] = s.keeps()
	s.world.RelayExited(i)
}

// keeps is what the platform keeps of the list for a relay that ends now.
func (s *Sim) keeps() *relay.EndpointUpdate {
	if !s.x.Relays.KnowsEndpoints {
		return &relay.EndpointUpdate{Complete: true}
	}
	return s.world.Discovery.FullUpdate()
}

// Policy makes the module of one relay for a variant.
func Policy(x *experiment.Experiment, variant string, zone int, told *relay.Config,
	truth func(uint32) float64, bears func(uint32) bool) (dispatch.Balancer, error) {
	if variant == experiment.Policies[0] {
		return settings.NewReader(told.Settings).BuildBalancer(told.Seed)
	}
	var categories []balancer.Class
	for _, t := range x.Classes() {
		effect := map[string]balancer.Idempotency{"replayable": balancer.Idempotent, "referenced": balancer.IdempotentByKey,
			"single-use": balancer.NonIdempotent}[t.Effect]
		categories = append(categories, balancer.Class{LatencyObjective: float64(t.LatencyObjective), PriorityWeight: t.PriorityWeight,
			Idempotency: effect})
	}
	return baseline.New(baseline.Config{
		Kind:        baseline.Kind(variant),
		Zone:        zone,
		Seed:        told.Seed,
		Classes:     categories,
		MaxAttempts: x.Relays.MaxAttempts,
		RetryAfter:  float64(x.Relays.MaxRetryAfter),
		LoadOf:      truth,
		HasCapacity: bears,
	})
}

// truth is a server's true load, for perfect sight; one that is dead or dark is full.
func (s *Sim) truth(id uint32) float64 {
	for _, v := range s.world.Backends {
		if relay.BackendID(v.Name) == id && !v.Dead {
			return v.Demand / max(v.Capacity(s.net.now), 1e-6)
		}
	}
	return 1e6
}

// bears tells whether a server has room for one more link: perfect sight that keeps the rules.
func (s *Sim) bears(id uint32) bool {
	for _, v := range s.world.Backends {
		if relay.BackendID(v.Name) == id {
			return s.world.HasCapacity(v)
		}
	}
	return false
}

// NewHost gives a place on the network.
func (s *Sim) NewHost(zone int) (model.Host, string) {
	d := s.net.node(fmt.Sprintf("10.1.%d.%d:9000", len(s.net.order)/250, len(s.net.order)%250), zone)
	return host{d}, d.address
}

// Bind says who stands at a place.
func (s *Sim) Bind(address string, who model.Actor) { s.net.nodes[address].actor = who }

// SetUnreachable has nothing pass to or from a place, or again.
func (s *Sim) SetUnreachable(address string, dark bool) {
	s.net.tell("%s dark %t", address, dark)
	s.net.nodes[address].dark = dark
	s.net.reopened()
}

// SetRefusing has a place refuse new connections, or again take them.
func (s *Sim) SetRefusing(address string, refuse bool) {
	s.net.tell("%s refuse %t", address, refuse)
	s.net.nodes[address].refuse = refuse
}

// IsolateZone parts a zone from the others, or joins it again.
func (s *Sim) IsolateZone(zone int, cut bool) {
	s.net.tell("zone %d cut %t", zone, cut)
	s.net.cut[zone] = cut
	s.net.reopened()
}

// KillRelay ends a relay at once.
func (s *Sim) KillRelay(i int) {
	s.net.tell("relay %d killed", i)
	s.past[i], s.known[i] = s.reducer[i].Counters, s.keeps()
	p := s.relays[i]
	p.stop(true)
	s.lose(i)
	if p.beside != nil && !p.beside.over {
		p.beside.stop(true)
	}
}

// FreezeRelay stops a relay's process, or has it go on.
func (s *Sim) FreezeRelay(i int, on bool) {
	s.net.tell("relay %d frozen %t", i, on)
	if p := s.relays[i]; !p.over {
		p.freeze(on)
	}
}

// wall is what a relay's machine has for the time.
func (s *Sim) wall(i int) float64 { return s.net.now + s.clocks[i] }

// SetClockOffset has a relay's machine have a clock that is so far ahead. A process keeps the time that it began by.
func (s *Sim) SetClockOffset(i int, ahead float64) {
	s.net.tell("relay %d clock %v ms ahead", i, ahead)
	s.clocks[i] = ahead
}

// SetImpairment sets what lies between two machines in that direction.
func (s *Sim) SetImpairment(from, to int, way experiment.Impairment) {
	s.ways[[2]int{from, to}] = way
	if way.Reset && from == experiment.Discovery && !s.relays[to].over {
		s.relays[to].reset()
	}
}

// StopRelay has a relay stop as planned; if it has not by the time that the platform gives, it is killed.
func (s *Sim) StopRelay(i int) {
	s.net.tell("relay %d stops", i)
	p := s.relays[i]
	p.take(relay.ShutdownRequested{})
	s.net.after(s.x.KillAfter(), func() {
		if !p.over {
			p.stop(true)
			s.ended(i)
		}
	})
}

// StartRelay has a relay start again.
func (s *Sim) StartRelay(i int) {
	s.net.tell("relay %d starts", i)
	if err := s.start(i); err != nil {
		panic(err) // it was built from the same before
	}
}

// ReloadRelay gives a relay the other address of discovery.
func (s *Sim) ReloadRelay(i int) {
	s.net.tell("relay %d reloads", i)
	if p := s.relays[i]; !p.over {
		p.take(relay.ConfigReloaded{DiscoveryAddress: fmt.Sprintf("10.0.0.%d:1", 2+s.net.seq%200)})
	}
}
