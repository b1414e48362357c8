package model

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

// Ground is where a world stands: under virtual time, or on loopback sockets.
type Ground interface {
	// Place gives an actor a host, and an address where it can be dialed.
	Place(zone int) (host Host, address string)
	Bind(address string, who Actor) // says who stands there, also anew
	Dark(address string, dark bool) // nothing passes to or from it; connections stay open
	Refuse(address string, refuse bool)
	Cut(zone int, cut bool) // from the other zones

	Kill(relay int)
	Stop(relay int) // by SIGTERM
	Start(relay int)
	Reload(relay int) // to the other address of discovery
	LameDuck(relay int, on bool)
	Freeze(relay int, on bool)            // the process does nothing, and the kernel goes on for it
	Clock(relay int, ahead float64)       // its machine's, by so many ms
	Disk(relay int, what string)          // that becomes of its disk while it is down
	Way(from, to int, way experiment.Way) // from now on, between relays, and experiment.Discovery
	// by another process on the same socket; done once only that one is left
	Replace(relay int, done func())
}

// World is one experiment's fleet, clients and discovery, and its faults as they come.
type World struct {
	x       *experiment.Experiment
	ground  Ground
	host    Host
	watch   Witness
	chance  *rand.Rand
	store   *Store
	Servers []*Server
	List    *Catalogue
	Crowd   *Crowd
	Tally   *Tally
	Marks   []Mark
	relays  []relayState
	zones   map[string]string          // by server's name
	ways    map[*experiment.Fault]bool // that hold now
}

// Mark is a fault as it came, for the time axis.
type Mark struct {
	From float64 `json:"From"` // of the run
	To   float64 `json:"To"`
	Text string  `json:"Text"`
}

type relayState struct {
	up, planned bool
	drained     bool // by operators
	drains      int  // how often in this life
	replaced    bool // just now
	frozen      bool
	life        int
	zone        int
}

const (
	sampled    = 250.0  // between two looks at the servers
	emptyIn    = 4000.0 // from when operators empty a relay
	everywhere = -1     // a zone that is never cut off
)

// NewWorld builds the fleet and its list. Begin starts the rest once the relays are there.
func NewWorld(x *experiment.Experiment, ground Ground, host Host, watch Witness) *World {
	var categories []string
	for _, t := range x.Categories() {
		categories = append(categories, t.Category)
	}
	w := &World{x: x, ground: ground, host: host, watch: watch, chance: x.Chance("world", 0),
		store: NewStore(x.Fleet.StoreRate), List: NewCatalogue(host),
		Tally: NewTally(host.Now(), categories), ways: map[*experiment.Fault]bool{}}
	for i := range x.Fleet.Servers {
		w.add(i%x.Fleet.Zones, "")
	}
	for i := range x.Relays.Count {
		w.relays = append(w.relays, relayState{up: true, zone: i % x.Fleet.Zones})
	}
	return w
}

// add brings up a server; at the place of another, if one is given.
func (w *World) add(zone int, name string) *Server {
	f := w.x.Fleet
	n := len(w.Servers)
	if name == "" {
		name = fmt.Sprintf("s-%04d", n)
	}
	host, address := w.ground.Place(zone)
	s := NewServer(Make{Name: name, Address: address, Zone: experiment.Zone(zone), Cores: f.Cores,
		Speed: 1 + f.SpeedSpread*(2*w.chance.Float64()-1), SetupWork: float64(f.SetupWork),
		Reports: float64(f.Reports), Noise: f.Noise, ColdFrom: f.ColdFrom, Cold: float64(f.Cold),
		TipMultiple: f.TipMultiple, Fall: float64(f.Fall), Down: float64(f.Down)},
		host, w.watch, w.store, w.x.Chance("server", n))
	w.ground.Bind(address, s)
	s.Changed = func() { w.changed(s) }
	w.Servers = append(w.Servers, s)
	w.list(s, "active")
	return s
}

func (w *World) list(s *Server, status string) {
	w.List.Set(relay.Endpoint{Name: s.Name, Address: s.Address, Zone: s.Zone, Status: status, Weight: 1,
		StartedAt: s.Since})
}

// notice is how long it takes until the list has that a server is gone without a word.
const notice = 3000.0

// changed follows a server that has died, or is back.
func (w *World) changed(s *Server) {
	w.ground.Refuse(s.Address, s.Dead)
	if !s.Dead {
		w.list(s, "active")
		return
	}
	since := s.Since
	w.host.After(notice, func() {
		if s.Dead && s.Since == since {
			w.list(s, "left")
		}
	})
}

// Begin has the clients come by the addresses of the relays, and the faults at their times.
func (w *World) Begin(addresses []string) {
	var zones []int
	for _, r := range w.relays {
		zones = append(zones, r.zone)
	}
	host, address := w.ground.Place(everywhere)
	w.Crowd = NewCrowd(w.x, host, w.watch, w.Tally, addresses, zones)
	w.ground.Bind(address, w.Crowd)
	w.Crowd.Begin()
	for i := range w.x.Faults {
		f := &w.x.Faults[i]
		w.host.After(float64(f.At), func() { w.fault(f) })
	}
	w.sample()
}

// sample looks at the servers' loads.
func (w *World) sample() {
	now := w.host.Now()
	sum, squares, worst, n := 0.0, 0.0, 0.0, 0.0
	for _, s := range w.Servers {
		if s.Dead || s.Draining {
			continue
		}
		u := s.Util(now)
		sum, squares, worst, n = sum+u, squares+u*u, max(worst, u), n+1
	}
	if n > 0 {
		at := w.Tally.at(now)
		at.MeanUtil, at.WorstUtil = sum/n, max(at.WorstUtil, worst)
		at.Spread = math.Sqrt(max(squares/n-sum/n*sum/n, 0))
		at.Standing = w.Crowd.Stands
	}
	if now < w.Tally.Start+float64(w.x.Length)-sampled {
		w.host.After(sampled, w.sample)
	}
}

// part is that share of all, one at the least.
func part[T any](all []T, share float64) []T {
	return all[:min(max(int(math.Round(share*float64(len(all)))), 1), len(all))]
}

// some draws that share of the servers that serve, one at the least.
func (w *World) some(share float64) (some []*Server) {
	for _, s := range w.Servers {
		if !s.Dead && !s.Draining {
			some = append(some, s)
		}
	}
	w.chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return part(some, share)
}

func (w *World) someRelays(share float64) (some []int) {
	for i := range w.relays {
		if r := w.relays[i]; r.up && !r.planned && !r.drained && !r.replaced && !r.frozen {
			some = append(some, i)
		}
	}
	w.chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return part(some, share)
}

// fault has one fault begin, and end after its time.
func (w *World) fault(f *experiment.Fault) {
	begin := w.host.Now() - w.Tally.Start
	w.Marks = append(w.Marks, Mark{begin, begin + float64(f.For), f.Kind})
	undo := w.begin(f)
	if undo != nil {
		w.host.After(float64(f.For), undo)
	}
}

func (w *World) begin(f *experiment.Fault) (undo func()) {
	each := func(servers []*Server, begin, end func(*Server)) func() {
		for _, s := range servers {
			begin(s)
		}
		return func() {
			for _, s := range servers {
				end(s)
			}
		}
	}
	die := func(s *Server) { s.Die(); s.Changed() }
	back := func(s *Server) {
		if s.Dead {
			s.Start()
			s.Changed()
		}
	}
	if _, way := f.Way(); way {
		w.ways[f] = true
		w.setWays()
		return func() { delete(w.ways, f); w.setWays() }
	}
	switch f.Kind {
	case "power-loss":
		w.powerLoss(f, die, back)
	case "relay-freeze":
		all := w.someRelays(f.Share)
		for _, i := range all {
			life := w.relays[i].life
			w.relays[i].frozen = true
			w.watch.Frozen(w.host.Now(), i, true)
			w.ground.Freeze(i, true)
			w.host.After(float64(f.For), func() {
				if w.relays[i].life == life {
					w.relays[i].frozen = false
					w.ground.Freeze(i, false)
					w.watch.Frozen(w.host.Now(), i, false)
				}
			})
		}
	case "clock-wrong":
		all := part(w.chance.Perm(len(w.relays)), f.Share) // also of those that are down
		set := func(ahead float64) {
			for _, i := range all {
				w.ground.Clock(i, ahead)
			}
		}
		set(f.Factor * 1000)
		return func() { set(0) }
	case "silent":
		return each(w.some(f.Share), func(s *Server) { w.dark(s, true) }, func(s *Server) { w.dark(s, false) })
	case "reset":
		each(w.some(f.Share), (*Server).Reset, nil)
	case "refuse":
		return each(w.some(f.Share), func(s *Server) { w.ground.Refuse(s.Address, true) },
			func(s *Server) { w.ground.Refuse(s.Address, s.Dead) })
	case "slow":
		return each(w.some(f.Share), func(s *Server) { s.Slowed(f.Factor) }, func(s *Server) { s.Slowed(1) })
	case "stalls":
		servers, on := w.some(f.Share), true
		w.stall(servers, &on)
		return func() { on = false }
	case "neighbour":
		return each(w.some(f.Share), func(s *Server) { s.Stolen(min(f.Factor, 0.99)) },
			func(s *Server) { s.Stolen(0) })
	case "slow-store":
		w.store.Slow(f.Factor)
		return func() { w.store.Slow(1) }
	case "drain":
		return each(w.some(f.Share), w.drain, func(s *Server) {
			s.Draining = false
			w.list(s, "active")
		})
	case "leave":
		servers := w.some(f.Share)
		each(servers, w.drain, nil)
		w.host.After(5000, func() {
			for _, s := range servers {
				die(s)
				w.list(s, "left")
				s.Draining = false
			}
		})
		return func() { w.host.After(5000, func() { each(servers, back, nil) }) }
	case "growth":
		for range max(int(f.Share*float64(len(w.Servers))), 1) {
			w.grow()
		}
	case "cold-return":
		return each(w.some(f.Share), die, back)
	case "address-taken":
		each(w.some(f.Share), w.replace, nil)
	case "zone-lost":
		zone := w.chance.Intn(w.x.Fleet.Zones)
		return w.zonesLost(die, back, func(z int) bool { return z == zone })
	case "region-lost":
		region := w.x.Region(w.chance.Intn(w.x.Fleet.Zones))
		return w.zonesLost(die, back, func(z int) bool { return w.x.Region(z) == region })
	case "zone-grey":
		return each(w.zone(), func(s *Server) { s.Grey(min(f.Factor, 1)) }, func(s *Server) { s.Grey(0) })
	case "answers-lost":
		return each(w.some(f.Share), func(s *Server) { s.Unsaid(min(f.Factor, 1)) },
			func(s *Server) { s.Unsaid(0) })
	case "zone-busy":
		return each(w.zone(), func(s *Server) { s.Stolen(min(f.Factor, 0.99)) }, func(s *Server) { s.Stolen(0) })
	case "zone-cut":
		zone := w.chance.Intn(w.x.Fleet.Zones)
		return w.cut(zone)
	case "discovery-late":
		w.List.Late = f.Factor * 1000
		return func() { w.List.Late = 0 }
	case "discovery-down":
		w.List.Down(true)
		return func() { w.List.Down(false) }
	case "discovery-lying":
		return each(w.some(f.Share), func(s *Server) { w.list(s, "left") }, func(s *Server) {
			if !s.Dead && !s.Draining {
				w.list(s, "active")
			}
		})
	case "discovery-back":
		w.List.Anew()
	case "relay-kill":
		for _, i := range w.someRelays(f.Share) {
			w.kill(i, float64(w.x.Relays.Back))
			w.ground.Disk(i, f.Disk)
		}
	case "relay-restart":
		for _, i := range w.someRelays(f.Share) {
			w.relays[i].planned = true
			w.Crowd.RelayGone(i, true)
			w.ground.Stop(i)
		}
	case "relay-drain":
		all := w.someRelays(f.Share)
		for _, i := range all {
			w.empty(i)
		}
		return func() {
			for _, i := range all {
				if w.relays[i].up && w.relays[i].drained {
					w.relays[i].drained = false
					w.ground.LameDuck(i, false)
					w.Crowd.RelayBack(i)
				}
			}
		}
	case "relay-replace":
		for _, i := range w.someRelays(f.Share) {
			life := w.relays[i].life
			w.relays[i].replaced = true
			w.Crowd.Door(i, true)
			w.ground.Replace(i, func() {
				if w.relays[i].life == life {
					w.relays[i].replaced = false
					w.Crowd.Door(i, false)
				}
			})
		}
	case "reload":
		for _, i := range w.someRelays(f.Share) {
			w.ground.Reload(i)
		}
	case "wave":
		w.Crowd.Wave(f.Share)
	case "burst":
		w.Crowd.Burst(f.Factor)
		return func() { w.Crowd.Burst(1) }
	}
	return nil
}

// empty has operators empty a relay: the front sees it say no and deals nobody there, and some seconds on
// none of its clients is left.
func (w *World) empty(i int) {
	life := w.relays[i].life
	w.relays[i].drained = true
	w.relays[i].drains++
	drains := w.relays[i].drains
	w.ground.LameDuck(i, true)
	w.Crowd.RelayGone(i, true)
	w.host.After(emptyIn, func() {
		if w.relays[i].life == life && w.relays[i].drained && w.relays[i].drains == drains {
			w.watch.Emptied(w.host.Now(), i)
		}
	})
}

func (w *World) dark(s *Server, dark bool) {
	w.ground.Dark(s.Address, dark)
	w.watch.Dark(w.host.Now(), s.Name, dark)
}

func (w *World) cut(zone int) func() {
	set := func(cut bool) {
		w.ground.Cut(zone, cut)
		for _, s := range w.Servers { // each is dark to some relays; more than is said, so that nobody is blamed
			w.watch.Dark(w.host.Now(), s.Name, cut)
		}
	}
	set(true)
	return func() { set(false) }
}

func (w *World) drain(s *Server) {
	s.Draining = true
	w.list(s, "leaving")
}

func (w *World) stall(servers []*Server, on *bool) {
	for _, s := range servers {
		s.Still(true)
	}
	w.host.After(300, func() {
		for _, s := range servers {
			s.Still(false)
		}
		w.host.After(700, func() {
			if *on {
				w.stall(servers, on)
			}
		})
	})
}

// zone gives all servers of one.
func (w *World) zone() (all []*Server) {
	zone := experiment.Zone(w.chance.Intn(w.x.Fleet.Zones))
	for _, s := range w.Servers {
		if s.Zone == zone {
			all = append(all, s)
		}
	}
	return all
}

func (w *World) grow() {
	s := w.add(w.chance.Intn(w.x.Fleet.Zones), "")
	s.Since = w.host.Now()
	w.list(s, "active")
}

// replace has a new server answer at the address of one that died.
func (w *World) replace(old *Server) {
	old.Die()
	w.list(old, "left")
	f := old.Make
	f.Name = fmt.Sprintf("s-%04d", len(w.Servers))
	s := NewServer(f, old.host, w.watch, w.store, w.x.Chance("server", len(w.Servers)))
	s.Since = w.host.Now()
	s.Changed = func() { w.changed(s) }
	w.ground.Bind(f.Address, s)
	w.Servers = append(w.Servers, s)
	w.list(s, "active")
}

// Near tells whether a relay and a server are of one zone.
func (w *World) Near(relay int, server string) bool {
	if w.zones == nil {
		w.zones = map[string]string{}
	}
	if _, there := w.zones[server]; !there {
		for _, s := range w.Servers {
			w.zones[s.Name] = s.Zone
		}
	}
	return w.zones[server] == experiment.Zone(w.relays[relay].zone)
}

func (w *World) zonesLost(die, back func(*Server), these func(zone int) bool) func() {
	var lost []*Server
	gone := map[string]bool{}
	for z := range w.x.Fleet.Zones {
		gone[experiment.Zone(z)] = these(z)
	}
	for _, s := range w.Servers {
		if !s.Dead && gone[s.Zone] {
			lost = append(lost, s)
			die(s)
		}
	}
	for i, r := range w.relays {
		if these(r.zone) && r.up {
			w.kill(i, float64(w.x.Relays.Back))
		}
	}
	return func() {
		for _, s := range lost {
			back(s)
		}
	}
}

func (w *World) kill(i int, back float64) {
	if !w.relays[i].up {
		return
	}
	w.relays[i].planned = false
	w.ground.Kill(i)
	w.Crowd.RelayGone(i, false)
	w.exited(i, back)
}

// Exited takes that a relay has ended, and has it start again after its time.
func (w *World) Exited(i int) { w.exited(i, float64(w.x.Relays.Back)) }

func (w *World) exited(i int, back float64) {
	if !w.relays[i].up {
		return
	}
	planned := w.relays[i].planned
	w.relays[i] = relayState{zone: w.relays[i].zone, life: w.relays[i].life + 1}
	w.Crowd.Door(i, false)
	if !planned { // one that stops as planned owes all its answers before it exits
		w.watch.Relay(w.host.Now(), i, false)
	}
	if math.IsInf(back, 1) {
		return
	}
	w.host.After(back, func() {
		w.relays[i].up = true
		if planned {
			w.watch.Relay(w.host.Now(), i, false)
		}
		w.watch.Relay(w.host.Now(), i, true)
		w.ground.Start(i)
		w.Crowd.RelayBack(i)
	})
}

// powerLoss has servers, relays and discovery go at one instant, and return over a spread: discovery at its
// beginning, the others where they are drawn.
func (w *World) powerLoss(f *experiment.Fault, die, back func(*Server)) {
	returns := func() float64 { return float64(f.For) + w.chance.Float64()*float64(f.Spread) }
	for n, i := range w.someRelays(f.Share) {
		in := returns()
		if n < f.Never {
			in = math.Inf(1)
		}
		w.kill(i, in)
		w.ground.Disk(i, f.Disk)
	}
	for _, s := range w.some(f.Share) {
		die(s)
		w.host.After(returns(), func() { back(s) })
	}
	w.List.Down(true)
	w.host.After(float64(f.For), func() { w.List.Down(false) })
}

// setWays has each way be what the faults make of it that hold now; the latest in the file wins.
func (w *World) setWays() {
	for from := experiment.Discovery; from < len(w.relays); from++ {
		for to := experiment.Discovery; to < len(w.relays); to++ {
			if from == to {
				continue
			}
			var way experiment.Way
			for i := range w.x.Faults {
				if f := &w.x.Faults[i]; w.ways[f] && w.x.Between(f, from, to) {
					way, _ = f.Way()
				}
			}
			w.ground.Way(from, to, way)
		}
	}
}

// Fallen counts how often a cold server was pushed over.
func (w *World) Fallen() (n int) {
	for _, s := range w.Servers {
		n += s.Fallen
	}
	return n
}
