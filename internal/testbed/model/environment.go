package model

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

const (
	sampleInterval = 250.0  // between two looks at the backends
	failureNotice  = 3000.0 // until the endpoint list has that a backend is gone without a word
	noZone         = -1     // the zone of hosts that are never isolated
)

// The uses of random sources. They are part of the seeds: another name draws other numbers.
const (
	randEnvironment = "world"
	randWorkload    = "crowd"
	randBackend     = "server"
)

// The states of an endpoint on the list.
const (
	statusActive  = "active"
	statusLeaving = "leaving"
	statusLeft    = "left"
)

// Environment is the fleet, the clients and the discovery service of one experiment, and its faults.
type Environment struct {
	Backends   []*Backend
	Discovery  *Discovery
	Workload   *Workload // nil until Start
	Metrics    *Metrics
	FaultSpans []FaultSpan // that have begun

	experiment     *experiment.Experiment
	infrastructure Infrastructure
	host           Host
	observer       Observer
	rng            *rand.Rand
	sessionStore   *SessionStore
	relays         []relayState
	zones          map[string]string          // of the backends, by name; filled by IsSameZone
	impairing      map[*experiment.Fault]bool // the faults that impair the network now
}

// relayState is what the environment knows of a relay. All but the last two start anew with each incarnation.
type relayState struct {
	isStopping  bool // as planned
	isDrained   bool // by operators
	drains      int  // how often
	isReplacing bool // another process is taking it over
	isFrozen    bool
	isUp        bool
	incarnation int
	zone        int
}

// NewEnvironment returns an environment with its backends and their list. Start starts the rest once the relays
// are there.
func NewEnvironment(x *experiment.Experiment, infrastructure Infrastructure, host Host,
	observer Observer) *Environment {
	var classes []string
	for _, t := range x.Classes() {
		classes = append(classes, t.Class)
	}
	e := &Environment{
		Discovery:      NewDiscovery(host),
		Metrics:        NewMetrics(host.Now(), classes),
		experiment:     x,
		infrastructure: infrastructure,
		host:           host,
		observer:       observer,
		rng:            x.Rand(randEnvironment, 0),
		sessionStore:   NewSessionStore(x.Fleet.StoreRate),
		zones:          map[string]string{},
		impairing:      map[*experiment.Fault]bool{},
	}
	for i := range x.Fleet.Backends {
		e.addBackend(i % x.Fleet.Zones)
	}
	for i := range x.Relays.Count {
		e.relays = append(e.relays, relayState{isUp: true, zone: i % x.Fleet.Zones})
	}
	return e
}

// addBackend brings up another backend and lists it.
func (e *Environment) addBackend(zone int) *Backend {
	host, address := e.infrastructure.NewHost(zone)
	fleet := e.experiment.Fleet
	spec := BackendSpec{
		Name:             backendName(len(e.Backends)),
		Address:          address,
		Zone:             experiment.Zone(zone),
		Cores:            fleet.Cores,
		Speed:            1 + fleet.SpeedSpread*(2*e.rng.Float64()-1),
		SetupWork:        float64(fleet.SetupWork),
		MaxReportAge:     float64(fleet.MaxReportAge),
		ReportNoise:      fleet.ReportNoise,
		SlowStartFrom:    fleet.SlowStartFrom,
		SlowStart:        float64(fleet.SlowStart),
		OverloadMultiple: fleet.OverloadMultiple,
		OverloadWindow:   float64(fleet.OverloadWindow),
		OverloadDowntime: float64(fleet.OverloadDowntime),
	}
	b := e.newBackend(spec, host)
	e.list(b, statusActive)
	return b
}

func backendName(number int) string { return fmt.Sprintf("s-%04d", number) }

// newBackend has a backend answer at its address. It is not listed yet.
func (e *Environment) newBackend(spec BackendSpec, host Host) *Backend {
	b := NewBackend(spec, host, e.observer, e.sessionStore, e.experiment.Rand(randBackend, len(e.Backends)))
	b.OnChange = func() { e.backendChanged(b) }
	e.infrastructure.Bind(spec.Address, b)
	e.Backends = append(e.Backends, b)
	return b
}

// list brings a backend onto the endpoint list, or changes its status there.
func (e *Environment) list(b *Backend, status string) {
	e.Discovery.SetEndpoint(relay.Endpoint{
		Name:      b.Name,
		Address:   b.Address,
		Zone:      b.Zone,
		Status:    status,
		Weight:    1,
		StartedAt: b.Since,
	})
}

// backendChanged follows a backend that has died or is back.
func (e *Environment) backendChanged(b *Backend) {
	e.infrastructure.SetRefusing(b.Address, b.Dead)
	if !b.Dead {
		e.list(b, statusActive)
		return
	}
	since := b.Since
	e.host.After(failureNotice, func() {
		if b.Dead && b.Since == since {
			e.list(b, statusLeft)
		}
	})
}

// Start has the clients come to the relays at the addresses, and the faults begin at their times.
func (e *Environment) Start(addresses []string) {
	var zones []int
	for _, r := range e.relays {
		zones = append(zones, r.zone)
	}
	host, address := e.infrastructure.NewHost(noZone)
	e.Workload = NewWorkload(e.experiment, host, e.observer, e.Metrics, addresses, zones)
	e.infrastructure.Bind(address, e.Workload)
	e.Workload.Start()
	for i := range e.experiment.Faults {
		f := &e.experiment.Faults[i]
		e.host.After(float64(f.At), func() { e.startFault(f) })
	}
	e.sample()
}

// sample notes the backends' utilization, again and again until the end of the run.
func (e *Environment) sample() {
	now := e.host.Now()
	sum, squares, highest, count := 0.0, 0.0, 0.0, 0.0
	for _, b := range e.Backends {
		if !b.isServing() {
			continue
		}
		u := b.Utilization(now)
		sum += u
		squares += u * u
		highest = max(highest, u)
		count++
	}
	if count > 0 {
		second := e.Metrics.at(now)
		second.MeanUtilization = sum / count
		second.MaxUtilization = max(second.MaxUtilization, highest)
		second.UtilizationStdDev = math.Sqrt(max(squares/count-sum/count*sum/count, 0))
		second.Sessions = e.Workload.Established
	}
	if now < e.Metrics.Start+float64(e.experiment.Length)-sampleInterval {
		e.host.After(sampleInterval, e.sample)
	}
}

// IsSameZone tells whether a relay and a backend are in one zone.
func (e *Environment) IsSameZone(relay int, backend string) bool {
	if _, known := e.zones[backend]; !known {
		for _, b := range e.Backends {
			e.zones[b.Name] = b.Zone
		}
	}
	return e.zones[backend] == experiment.Zone(e.relays[relay].zone)
}

// HasCapacity tells whether one more session can be sent to the backend with all rules kept and in good time.
func (e *Environment) HasCapacity(b *Backend) bool {
	now := e.host.Now()
	return b.isServing() && !e.sessionStore.isBusy(now) && b.hasCapacity(now)
}

// ColdOverloads returns how often a cold backend was pushed over.
func (e *Environment) ColdOverloads() (count int) {
	for _, b := range e.Backends {
		count += b.ColdOverloads
	}
	return count
}

// killRelay ends a relay that runs, and has it start again after a time, or never if that is infinite.
func (e *Environment) killRelay(i int, restartAfter float64) {
	if !e.relays[i].isUp {
		return
	}
	e.relays[i].isStopping = false
	e.infrastructure.KillRelay(i)
	e.Workload.RemoveRelay(i, false)
	e.relayExited(i, restartAfter)
}

// RelayExited is called when a relay has ended by itself. It is started again after its time.
func (e *Environment) RelayExited(i int) {
	e.relayExited(i, float64(e.experiment.Relays.RestartDelay))
}

func (e *Environment) relayExited(i int, restartAfter float64) {
	if !e.relays[i].isUp {
		return
	}
	wasPlanned := e.relays[i].isStopping
	e.relays[i] = relayState{zone: e.relays[i].zone, incarnation: e.relays[i].incarnation + 1}
	e.Workload.SetReplacing(i, false)
	if !wasPlanned { // one that stops as planned owes all its answers before it exits
		e.observer.RelayChanged(e.host.Now(), i, false)
	}
	if math.IsInf(restartAfter, 1) {
		return
	}
	e.host.After(restartAfter, func() {
		e.relays[i].isUp = true
		if wasPlanned {
			e.observer.RelayChanged(e.host.Now(), i, false)
		}
		e.observer.RelayChanged(e.host.Now(), i, true)
		e.infrastructure.StartRelay(i)
		e.Workload.RestoreRelay(i)
	})
}
