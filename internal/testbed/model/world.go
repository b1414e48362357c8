package model

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

// Infrastructure is where a world stands: under virtual time, or on loopback sockets.
type Infrastructure interface {
	// NewHost gives an actor a host, and an address where it can be dialed.
	NewHost(zone int) (host Host, address string)
	Bind(address string, who Actor)           // says who stands there, also anew
	SetUnreachable(address string, dark bool) // nothing passes to or from it; connections stay open
	SetRefusing(address string, refuse bool)
	IsolateZone(zone int, cut bool) // from the other zones

	KillRelay(relay int)
	StopRelay(relay int) // by SIGTERM
	StartRelay(relay int)
	ReloadRelay(relay int) // to the other address of discovery
	DrainRelay(relay int, on bool)
	FreezeRelay(relay int, on bool)                        // the process does nothing, and the kernel goes on for it
	SetClockOffset(relay int, ahead float64)               // its machine's, by so many ms
	DamageDisk(relay int, what string)                     // that becomes of its disk while it is down
	SetImpairment(from, to int, way experiment.Impairment) // from now on, between relays, and experiment.Discovery
	// by another process on the same socket; done once only that one is left
	ReplaceRelay(relay int, done func())
}

// Environment is one experiment's fleet, clients and discovery, and its faults as they come.
type Environment struct {
	x          *experiment.Experiment
	ground     Infrastructure
	host       Host
	watch      Observer
	chance     *rand.Rand
	store      *SessionStore
	Backends   []*Backend
	Discovery  *Discovery
	Workload   *Workload
	Metrics    *Metrics
	FaultSpans []FaultSpan
	relays     []relayState
	zones      map[string]string          // by server's name
	ways       map[*experiment.Fault]bool // that hold now
}

// FaultSpan is a fault as it came, for the time axis.
type FaultSpan struct {
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

// NewEnvironment builds the fleet and its list. Begin starts the rest once the relays are there.
func NewEnvironment(x *experiment.Experiment, ground Infrastructure, host Host, watch Observer) *Environment {
	var categories []string
	for _, t := range x.Classes() {
		categories = append(categories, t.Class)
	}
	w := &Environment{x: x, ground: ground, host: host, watch: watch, chance: x.Rand("world", 0),
		store: NewSessionStore(x.Fleet.StoreRate), Discovery: NewDiscovery(host),
		Metrics: NewMetrics(host.Now(), categories), ways: map[*experiment.Fault]bool{}}
	for i := range x.Fleet.Backends {
		w.add(i%x.Fleet.Zones, "")
	}
	for i := range x.Relays.Count {
		w.relays = append(w.relays, relayState{up: true, zone: i % x.Fleet.Zones})
	}
	return w
}

// add brings up a server; at the place of another, if one is given.
func (w *Environment) add(zone int, name string) *Backend {
	f := w.x.Fleet
	n := len(w.Backends)
	if name == "" {
		name = fmt.Sprintf("s-%04d", n)
	}
	host, address := w.ground.NewHost(zone)
	s := NewBackend(BackendSpec{Name: name, Address: address, Zone: experiment.Zone(zone), Cores: f.Cores,
		Speed: 1 + f.SpeedSpread*(2*w.chance.Float64()-1), SetupWork: float64(f.SetupWork),
		MaxReportAge: float64(f.MaxReportAge), ReportNoise: f.ReportNoise, SlowStartFrom: f.SlowStartFrom, SlowStart: float64(f.SlowStart),
		OverloadMultiple: f.OverloadMultiple, OverloadWindow: float64(f.OverloadWindow), OverloadDowntime: float64(f.OverloadDowntime)},
		host, w.watch, w.store, w.x.Rand("server", n))
	w.ground.Bind(address, s)
	s.Changed = func() { w.changed(s) }
	w.Backends = append(w.Backends, s)
	w.list(s, "active")
	return s
}

func (w *Environment) list(s *Backend, status string) {
	w.Discovery.SetEndpoint(relay.Endpoint{Name: s.Name, Address: s.Address, Zone: s.Zone, Status: status, Weight: 1,
		StartedAt: s.Since})
}

// notice is how long it takes until the list has that a server is gone without a word.
const notice = 3000.0

// changed follows a server that has died, or is back.
func (w *Environment) changed(s *Backend) {
	w.ground.SetRefusing(s.Address, s.Dead)
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

// Start has the clients come by the addresses of the relays, and the faults at their times.
func (w *Environment) Start(addresses []string) {
	var zones []int
	for _, r := range w.relays {
		zones = append(zones, r.zone)
	}
	host, address := w.ground.NewHost(everywhere)
	w.Workload = NewWorkload(w.x, host, w.watch, w.Metrics, addresses, zones)
	w.ground.Bind(address, w.Workload)
	w.Workload.Start()
	for i := range w.x.Faults {
		f := &w.x.Faults[i]
		w.host.After(float64(f.At), func() { w.fault(f) })
	}
	w.sample()
}

// sample looks at the servers' loads.
func (w *Environment) sample() {
	now := w.host.Now()
	sum, squares, worst, n := 0.0, 0.0, 0.0, 0.0
	for _, s := range w.Backends {
		if s.Dead || s.Draining {
			continue
		}
		u := s.Utilization(now)
		sum, squares, worst, n = sum+u, squares+u*u, max(worst, u), n+1
	}
	if n > 0 {
		at := w.Metrics.at(now)
		at.MeanUtilization, at.MaxUtilization = sum/n, max(at.MaxUtilization, worst)
		at.UtilizationStdDev = math.Sqrt(max(squares/n-sum/n*sum/n, 0))
		at.Sessions = w.Workload.Established
	}
	if now < w.Metrics.Start+float64(w.x.Length)-sampled {
		w.host.After(sampled, w.sample)
	}
}

// part is that share of all, one at the least.
func part[T any](all []T, share float64) []T {
	return all[:min(max(int(math.Round(share*float64(len(all)))), 1), len(all))]
}

// some draws that share of the servers that serve, one at the least.
func (w *Environment) some(share float64) (some []*Backend) {
	for _, s := range w.Backends {
		if !s.Dead && !s.Draining {
			some = append(some, s)
		}
	}
	w.chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return part(some, share)
}

func (w *Environment) someRelays(share float64) (some []int) {
	for i := range w.relays {
		if r := w.relays[i]; r.up && !r.planned && !r.drained && !r.replaced && !r.frozen {
			some = append(some, i)
		}
	}
	w.chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return part(some, share)
}

// fault has one fault begin, and end after its time.
func (w *Environment) fault(f *experiment.Fault) {
	begin := w.host.Now() - w.Metrics.Start
	w.FaultSpans = append(w.FaultSpans, FaultSpan{begin, begin + float64(f.Duration), f.Kind})
	undo := w.begin(f)
	if undo != nil {
		w.host.After(float64(f.Duration), undo)
	}
}

func (w *Environment) begin(f *experiment.Fault) (undo func()) {
	each := func(servers []*Backend, begin, end func(*Backend)) func() {
		for _, s := range servers {
			begin(s)
		}
		return func() {
			for _, s := range servers {
				end(s)
			}
		}
	}
	die := func(s *Backend) { s.Die(); s.Changed() }
	back := func(s *Backend) {
		if s.Dead {
			s.Start()
			s.Changed()
		}
	}
	if _, way := f.Impairment(); way {
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
			w.watch.RelayFrozen(w.host.Now(), i, true)
			w.ground.FreezeRelay(i, true)
			w.host.After(float64(f.Duration), func() {
				if w.relays[i].life == life {
					w.relays[i].frozen = false
					w.ground.FreezeRelay(i, false)
					w.watch.RelayFrozen(w.host.Now(), i, false)
				}
			})
		}
	case "clock-wrong":
		all := part(w.chance.Perm(len(w.relays)), f.Share) // also of those that are down
		set := func(ahead float64) {
			for _, i := range all {
				w.ground.SetClockOffset(i, ahead)
			}
		}
		set(f.Factor * 1000)
		return func() { set(0) }
	case "silent":
		return each(w.some(f.Share), func(s *Backend) { w.dark(s, true) }, func(s *Backend) { w.dark(s, false) })
	case "reset":
		each(w.some(f.Share), (*Backend).Reset, nil)
	case "refuse":
		return each(w.some(f.Share), func(s *Backend) { w.ground.SetRefusing(s.Address, true) },
			func(s *Backend) { w.ground.SetRefusing(s.Address, s.Dead) })
	case "slow":
		return each(w.some(f.Share), func(s *Backend) { s.Slowed(f.Factor) }, func(s *Backend) { s.Slowed(1) })
	case "stalls":
		servers, on := w.some(f.Share), true
		w.stall(servers, &on)
		return func() { on = false }
	case "neighbour":
		return each(w.some(f.Share), func(s *Backend) { s.Stolen(min(f.Factor, 0.99)) },
			func(s *Backend) { s.Stolen(0) })
	case "slow-store":
		w.store.Slow(f.Factor)
		return func() { w.store.Slow(1) }
	case "drain":
		return each(w.some(f.Share), w.drain, func(s *Backend) {
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
		for range max(int(f.Share*float64(len(w.Backends))), 1) {
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
		return each(w.zone(), func(s *Backend) { s.Grey(min(f.Factor, 1)) }, func(s *Backend) { s.Grey(0) })
	case "answers-lost":
		return each(w.some(f.Share), func(s *Backend) { s.Unsaid(min(f.Factor, 1)) },
			func(s *Backend) { s.Unsaid(0) })
	case "zone-busy":
		return each(w.zone(), func(s *Backend) { s.Stolen(min(f.Factor, 0.99)) }, func(s *Backend) { s.Stolen(0) })
	case "zone-cut":
		zone := w.chance.Intn(w.x.Fleet.Zones)
		return w.cut(zone)
	case "discovery-late":
		w.Discovery.DelayMillis = f.Factor * 1000
		return func() { w.Discovery.DelayMillis = 0 }
	case "discovery-down":
		w.Discovery.SetDown(true)
		return func() { w.Discovery.SetDown(false) }
	case "discovery-lying":
		return each(w.some(f.Share), func(s *Backend) { w.list(s, "left") }, func(s *Backend) {
			if !s.Dead && !s.Draining {
				w.list(s, "active")
			}
		})
	case "discovery-back":
		w.Discovery.ResetVersions()
	case "relay-kill":
		for _, i := range w.someRelays(f.Share) {
			w.kill(i, float64(w.x.Relays.RestartDelay))
			w.ground.DamageDisk(i, f.Disk)
		}
	case "relay-restart":
		for _, i := range w.someRelays(f.Share) {
			w.relays[i].planned = true
			w.Workload.RemoveRelay(i, true)
			w.ground.StopRelay(i)
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
					w.ground.DrainRelay(i, false)
					w.Workload.RestoreRelay(i)
				}
			}
		}
	case "relay-replace":
		for _, i := range w.someRelays(f.Share) {
			life := w.relays[i].life
			w.relays[i].replaced = true
			w.Workload.SetReplacing(i, true)
			w.ground.ReplaceRelay(i, func() {
				if w.relays[i].life == life {
					w.relays[i].replaced = false
					w.Workload.SetReplacing(i, false)
				}
			})
		}
	case "reload":
		for _, i := range w.someRelays(f.Share) {
			w.ground.ReloadRelay(i)
		}
	case "wave":
		w.Workload.ResetConnections(f.Share)
	case "burst":
		w.Workload.SetRateFactor(f.Factor)
		return func() { w.Workload.SetRateFactor(1) }
	}
	return nil
}

// empty has operators empty a relay: the front sees it say no and deals nobody there, and some seconds on
// none of its clients is left.
func (w *Environment) empty(i int) {
	life := w.relays[i].life
	w.relays[i].drained = true
	w.relays[i].drains++
	drains := w.relays[i].drains
	w.ground.DrainRelay(i, true)
	w.Workload.RemoveRelay(i, true)
	w.host.After(emptyIn, func() {
		if w.relays[i].life == life && w.relays[i].drained && w.relays[i].drains == drains {
			w.watch.RelayDrained(w.host.Now(), i)
		}
	})
}

func (w *Environment) dark(s *Backend, dark bool) {
	w.ground.SetUnreachable(s.Address, dark)
	w.watch.BackendUnreachable(w.host.Now(), s.Name, dark)
}

func (w *Environment) cut(zone int) func() {
	set := func(cut bool) {
		w.ground.IsolateZone(zone, cut)
		for _, s := range w.Backends { // each is dark to some relays; more than is said, so that nobody is blamed
			w.watch.BackendUnreachable(w.host.Now(), s.Name, cut)
		}
	}
	set(true)
	return func() { set(false) }
}

func (w *Environment) drain(s *Backend) {
	s.Draining = true
	w.list(s, "leaving")
}

func (w *Environment) stall(servers []*Backend, on *bool) {
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
func (w *Environment) zone() (all []*Backend) {
	zone := experiment.Zone(w.chance.Intn(w.x.Fleet.Zones))
	for _, s := range w.Backends {
		if s.Zone == zone {
			all = append(all, s)
		}
	}
	return all
}

func (w *Environment) grow() {
	s := w.add(w.chance.Intn(w.x.Fleet.Zones), "")
	s.Since = w.host.Now()
	w.list(s, "active")
}

// replace has a new server answer at the address of one that died.
func (w *Environment) replace(old *Backend) {
	old.Die()
	w.list(old, "left")
	f := old.BackendSpec
	f.Name = fmt.Sprintf("s-%04d", len(w.Backends))
	s := NewBackend(f, old.host, w.watch, w.store, w.x.Rand("server", len(w.Backends)))
	s.Since = w.host.Now()
	s.Changed = func() { w.changed(s) }
	w.ground.Bind(f.Address, s)
	w.Backends = append(w.Backends, s)
	w.list(s, "active")
}

// IsSameZone tells whether a relay and a server are of one zone.
func (w *Environment) IsSameZone(relay int, server string) bool {
	if w.zones == nil {
		w.zones = map[string]string{}
	}
	if _, there := w.zones[server]; !there {
		for _, s := range w.Backends {
			w.zones[s.Name] = s.Zone
		}
	}
	return w.zones[server] == experiment.Zone(w.relays[relay].zone)
}

func (w *Environment) zonesLost(die, back func(*Backend), these func(zone int) bool) func() {
	var lost []*Backend
	gone := map[string]bool{}
	for z := range w.x.Fleet.Zones {
		gone[experiment.Zone(z)] = these(z)
	}
	for _, s := range w.Backends {
		if !s.Dead && gone[s.Zone] {
			lost = append(lost, s)
			die(s)
		}
	}
	for i, r := range w.relays {
		if these(r.zone) && r.up {
			w.kill(i, float64(w.x.Relays.RestartDelay))
		}
	}
	return func() {
		for _, s := range lost {
			back(s)
		}
	}
}

func (w *Environment) kill(i int, back float64) {
	if !w.relays[i].up {
		return
	}
	w.relays[i].planned = false
	w.ground.KillRelay(i)
	w.Workload.RemoveRelay(i, false)
	w.exited(i, back)
}

// RelayExited takes that a relay has ended, and has it start again after its time.
func (w *Environment) RelayExited(i int) { w.exited(i, float64(w.x.Relays.RestartDelay)) }

func (w *Environment) exited(i int, back float64) {
	if !w.relays[i].up {
		return
	}
	planned := w.relays[i].planned
	w.relays[i] = relayState{zone: w.relays[i].zone, life: w.relays[i].life + 1}
	w.Workload.SetReplacing(i, false)
	if !planned { // one that stops as planned owes all its answers before it exits
		w.watch.RelayChanged(w.host.Now(), i, false)
	}
	if math.IsInf(back, 1) {
		return
	}
	w.host.After(back, func() {
		w.relays[i].up = true
		if planned {
			w.watch.RelayChanged(w.host.Now(), i, false)
		}
		w.watch.RelayChanged(w.host.Now(), i, true)
		w.ground.StartRelay(i)
		w.Workload.RestoreRelay(i)
	})
}

// powerLoss has servers, relays and discovery go at one instant, and return over a spread: discovery at its
// beginning, the others where they are drawn.
func (w *Environment) powerLoss(f *experiment.Fault, die, back func(*Backend)) {
	returns := func() float64 { return float64(f.Duration) + w.chance.Float64()*float64(f.ReturnSpread) }
	for n, i := range w.someRelays(f.Share) {
		in := returns()
		if n < f.NeverReturn {
			in = math.Inf(1)
		}
		w.kill(i, in)
		w.ground.DamageDisk(i, f.Disk)
	}
	for _, s := range w.some(f.Share) {
		die(s)
		w.host.After(returns(), func() { back(s) })
	}
	w.Discovery.SetDown(true)
	w.host.After(float64(f.Duration), func() { w.Discovery.SetDown(false) })
}

// setWays has each way be what the faults make of it that hold now; the latest in the file wins.
func (w *Environment) setWays() {
	for from := experiment.Discovery; from < len(w.relays); from++ {
		for to := experiment.Discovery; to < len(w.relays); to++ {
			if from == to {
				continue
			}
			var way experiment.Impairment
			for i := range w.x.Faults {
				if f := &w.x.Faults[i]; w.ways[f] && w.x.AffectsLink(f, from, to) {
					way, _ = f.Impairment()
				}
			}
			w.ground.SetImpairment(from, to, way)
		}
	}
}

// ColdOverloads counts how often a cold server was pushed over.
func (w *Environment) ColdOverloads() (n int) {
	for _, s := range w.Backends {
		n += s.ColdOverloads
	}
	return n
}
