package sim

import (
	"fmt"
	"io"
	"time"

	"valeshift/internal/hand"
	"valeshift/internal/lab/audit"
	"valeshift/internal/lab/baseline"
	"valeshift/internal/lab/experiment"
	"valeshift/internal/lab/model"
	"valeshift/internal/relay"
	"valeshift/internal/settings"
	"valeshift/logic"
)

// Result is what one run came to.
type Result struct {
	Variant string
	Tally   *model.Tally
	Marks   []model.Mark
	Audit   *audit.Auditor
	Fallen  int
	Events  int
	Bytes   int
	Took    time.Duration // of real time; the only figure that differs from run to run
	Relays  []relay.Counters
}

// Sim is one run in the making.
type Sim struct {
	x       *experiment.Experiment
	variant string
	net     *network
	world   *model.World
	audit   *audit.Auditor
	relays  []*process
	reducer []*relay.Reducer
	lives   []int
	known   []*relay.News
	past    []relay.Counters // of lives that are over
	// Spoil, where set, puts something between the network and a relay's reducer: for tests of the auditor.
	Spoil func(relay int, brain Brain) Brain
}

const settle = 4000.0 // after the last arrival, for what is still under way

// New makes a run of one variant.
func New(x *experiment.Experiment, variant string, trace io.Writer) *Sim {
	n := newNetwork(x.Chance("network", 0), float64(x.Network.Delay), float64(x.Network.Jitter), x.Network.Split)
	n.trace = trace
	slack := 4*float64(x.Network.Delay+4*x.Network.Jitter) + 1
	return &Sim{x: x, variant: variant, net: n,
		audit: audit.New(slack, x.Fleet.TipMultiple, float64(x.Fleet.Fall))}
}

// Run plays an experiment under one variant.
func Run(x *experiment.Experiment, variant string, trace io.Writer) (*Result, error) {
	return New(x, variant, trace).Run()
}

// Run plays it.
func (s *Sim) Run() (*Result, error) {
	began := time.Now()
	x := s.x
	s.world = model.NewWorld(x, s, host{s.net.node("world", -1)}, s.audit)
	var addresses []string
	for i := range x.Relays.Count {
		zone := i % x.Fleet.Zones
		d := s.net.node(fmt.Sprintf("relay-%d:1", i), zone)
		d.refuse = true
		addresses = append(addresses, d.address)
		s.relays = append(s.relays, &process{node: d, over: true})
		s.reducer, s.lives = append(s.reducer, nil), append(s.lives, 0)
		s.known, s.past = append(s.known, s.world.List.Whole()), append(s.past, relay.Counters{})
		if err := s.start(i); err != nil {
			return nil, err
		}
	}
	s.world.Begin(addresses)
	s.net.run(start + float64(x.Length))
	s.world.Crowd.Close()
	s.net.run(start + float64(x.Length) + settle)
	s.audit.Finish(s.net.now)
	r := &Result{Variant: s.variant, Tally: s.world.Tally, Marks: s.world.Marks, Audit: s.audit,
		Fallen: s.world.Fallen(), Events: s.net.events, Bytes: s.net.bytes, Took: time.Since(began)}
	for i, d := range s.reducer {
		r.Relays = append(r.Relays, d.Counters)
		if d.Counters.Satisfied == 0 {
			r.Relays[i] = s.past[i]
		}
	}
	return r, nil
}

// start begins a life of a relay.
func (s *Sim) start(i int) error {
	x := s.x
	s.lives[i]++
	told := &relay.Told{Name: fmt.Sprintf("relay-%d", i), Discovery: "10.0.0.1:1", Sockets: x.Relays.Sockets,
		Seed: x.Chance("relay", i*1000+s.lives[i]).Uint64(), Known: s.known[i],
		Settings: x.Told(i % x.Fleet.Zones)}
	module, err := Policy(x, s.variant, told, s.truth)
	if err != nil {
		return err
	}
	reducer, err := relay.NewOn(s.net.now, told, module)
	if err != nil {
		return err
	}
	s.reducer[i] = reducer
	var brain Brain = reducer
	if s.Spoil != nil {
		brain = s.Spoil(i, brain)
	}
	d := s.relays[i].node
	p := newProcess(d, i, brain, s.world.List, s.audit, func() { s.ended(i) })
	s.relays[i] = p
	p.take(relay.Event{Kind: relay.Tick})
	return nil
}

func (s *Sim) ended(i int) {
	s.past[i] = s.reducer[i].Counters
	s.known[i] = s.world.List.Whole()
	s.world.Exited(i)
}

// Policy makes the module of one relay for a variant.
func Policy(x *experiment.Experiment, variant string, told *relay.Told,
	truth func(uint32) float64) (hand.Module, error) {
	if variant == experiment.Known[0] {
		return settings.Over(told.Settings).Assemble(told.Seed)
	}
	var categories []logic.Category
	for _, t := range x.Categories() {
		effect := map[string]logic.Effect{"replayable": logic.Replayable, "referenced": logic.Referenced,
			"single-use": logic.SingleUse}[t.Effect]
		categories = append(categories, logic.Category{PromisedTime: float64(t.Promised), Gain: t.Gain,
			Effect: effect})
	}
	return baseline.New(variant, told.Seed, categories, x.Relays.Tries, float64(x.Relays.MaxBack), truth)
}

// truth is a server's true load, for perfect sight; one that is dead or dark is full.
func (s *Sim) truth(id uint32) float64 {
	for _, v := range s.world.Servers {
		if relay.Number(v.Name) == id && !v.Dead {
			return v.Demand / max(v.Capacity(s.net.now), 1e-6)
		}
	}
	return 1e6
}

// Place gives a place on the network.
func (s *Sim) Place(zone int) (model.Host, string) {
	d := s.net.node(fmt.Sprintf("10.1.%d.%d:9000", len(s.net.order)/250, len(s.net.order)%250), zone)
	return host{d}, d.address
}

// Bind says who stands at a place.
func (s *Sim) Bind(address string, who model.Actor) { s.net.nodes[address].actor = who }

// Dark has nothing pass to or from a place, or again.
func (s *Sim) Dark(address string, dark bool) {
	s.net.tell("%s dark %t", address, dark)
	s.net.nodes[address].dark = dark
	s.net.reopened()
}

// Refuse has a place refuse new connections, or again take them.
func (s *Sim) Refuse(address string, refuse bool) {
	s.net.tell("%s refuse %t", address, refuse)
	s.net.nodes[address].refuse = refuse
}

// Cut parts a zone from the others, or joins it again.
func (s *Sim) Cut(zone int, cut bool) {
	s.net.tell("zone %d cut %t", zone, cut)
	s.net.cut[zone] = cut
	s.net.reopened()
}

// Kill ends a relay at once.
func (s *Sim) Kill(i int) {
	s.net.tell("relay %d killed", i)
	s.past[i], s.known[i] = s.reducer[i].Counters, s.world.List.Whole()
	s.relays[i].stop(true)
}

// Stop has a relay stop as planned; if it has not by the time that the platform gives, it is killed.
func (s *Sim) Stop(i int) {
	s.net.tell("relay %d stops", i)
	p, longest := s.relays[i], 0.0
	for _, t := range s.x.Traffic {
		longest = max(longest, float64(t.HardLimit))
	}
	p.take(relay.Event{Kind: relay.Stop})
	s.net.after(min(longest, 3000)+700, func() {
		if !p.over {
			p.stop(true)
			s.ended(i)
		}
	})
}

// Start has a relay start again.
func (s *Sim) Start(i int) {
	s.net.tell("relay %d starts", i)
	if err := s.start(i); err != nil {
		panic(err) // it was built from the same before
	}
}

// Reload gives a relay the other address of discovery.
func (s *Sim) Reload(i int) {
	s.net.tell("relay %d reloads", i)
	if p := s.relays[i]; !p.over {
		p.take(relay.Event{Kind: relay.Reload, Text: fmt.Sprintf("10.0.0.%d:1", 2+s.net.seq%200)})
	}
}
