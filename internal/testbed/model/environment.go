package model

import (
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
)

const (
	sampleInterval        = 250.0  // time between two samples of the backends' utilization, in ms
	failureDetectionDelay = 3000.0 // time until the endpoint list drops a backend that has died without notice, in ms
	noZone                = -1     // zone of hosts that are never isolated
)

// Labels of the sources of random numbers. They are part of the seeds: another label gives other numbers.
const (
	randEnvironment = "world"
	randWorkload    = "crowd"
	randBackend     = "server"
)

// Statuses of an endpoint on the list.
const (
	statusActive  = "active"
	statusLeaving = "leaving"
	statusLeft    = "left"
)

// Environment is everything around the relays of one experiment: the backends, the clients, the discovery service
// and the faults.
type Environment struct {
	Backends   []*Backend
	Discovery  *Discovery
	Workload   *Workload // nil until Start
	Metrics    *Metrics
	FaultSpans []FaultSpan // faults that have begun

	experiment        *experiment.Experiment
	infrastructure    Infrastructure
	host              Host
	observer          Observer
	rng               *rand.Rand
	sessionStore      *SessionStore
	relays            []relayState
	backendZones      map[string]string          // zone of each backend, by name; filled by IsSameZone
	activeImpairments map[*experiment.Fault]bool // faults that impair the network now
}

// relayState is what the environment knows of a relay. All fields but the last two are reset with each incarnation.
type relayState struct {
	isStopping  bool // it was told to shut down
	isDrained   bool // operators have drained it
	drainCount  int  // number of times that operators have drained it
	isReplacing bool // another process is taking it over
	isFrozen    bool // its process is stopped, as by SIGSTOP
	isUp        bool // its process runs
	incarnation int  // number of times that it has ended
	zone        int
}

// NewEnvironment returns an environment with its backends and their endpoint list. Start starts the rest once the
// relays run.
func NewEnvironment(x *experiment.Experiment, infrastructure Infrastructure, host Host,
	observer Observer) *Environment {
	var classes []string
	for _, t := range x.Classes() {
		classes = append(classes, t.Class)
	}
	e := &Environment{
		Discovery:         NewDiscovery(host),
		Metrics:           NewMetrics(host.Now(), classes),
		experiment:        x,
		infrastructure:    infrastructure,
		host:              host,
		observer:          observer,
		rng:               x.Rand(randEnvironment, 0),
		sessionStore:      NewSessionStore(x.Fleet.StoreRate),
		backendZones:      map[string]string{},
		activeImpairments: map[*experiment.Fault]bool{},
	}
	for i := range x.Fleet.Backends {
		e.addBackend(i % x.Fleet.Zones)
	}
	for i := range x.Relays.Count {
		e.relays = append(e.relays, relayState{isUp: true, zone: i % x.Fleet.Zones})
	}
	return e
}

// addBackend starts another backend and adds it to the endpoint list.
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
	e.publishEndpoint(b, statusActive)
	return b
}

func backendName(number int) string { return fmt.Sprintf("s-%04d", number) }

// newBackend creates a backend that answers at its address. It is not on the endpoint list yet.
func (e *Environment) newBackend(spec BackendSpec, host Host) *Backend {
	b := NewBackend(spec, host, e.observer, e.sessionStore, e.experiment.Rand(randBackend, len(e.Backends)))
	b.OnChange = func() { e.backendChanged(b) }
	e.infrastructure.Bind(spec.Address, b)
	e.Backends = append(e.Backends, b)
	return b
}

// publishEndpoint adds a backend to the endpoint list, or changes its status there.
func (e *Environment) publishEndpoint(b *Backend, status string) {
	e.Discovery.SetEndpoint(relay.Endpoint{
		Name:      b.Name,
		Address:   b.Address,
		Zone:      b.Zone,
		Status:    status,
		Weight:    1,
		StartedAt: b.StartTime,
	})
}

// backendChanged updates the network and the endpoint list after a backend has died or started again.
func (e *Environment) backendChanged(b *Backend) {
	e.infrastructure.SetRefusing(b.Address, b.Dead)
	if !b.Dead {
		e.publishEndpoint(b, statusActive)
		return
	}
	startTime := b.StartTime
	e.host.After(failureDetectionDelay, func() {
		if b.Dead && b.StartTime == startTime {
			e.publishEndpoint(b, statusLeft)
		}
	})
}

// Start makes the clients connect to the relays at the given addresses and the faults begin at their times.
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

// sample records the backends' utilization and the number of sessions, every sampleInterval until the end of the
// run.
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
		second := e.Metrics.secondAt(now)
		second.MeanUtilization = sum / count
		second.MaxUtilization = max(second.MaxUtilization, highest)
		second.UtilizationStdDev = math.Sqrt(max(squares/count-sum/count*sum/count, 0))
		second.Sessions = e.Workload.Established
	}
	if now < e.Metrics.Start+float64(e.experiment.Length)-sampleInterval {
		e.host.After(sampleInterval, e.sample)
	}
}

// IsSameZone reports whether a relay and a backend are in the same zone.
func (e *Environment) IsSameZone(relay int, backend string) bool {
	if _, known := e.backendZones[backend]; !known {
		for _, b := range e.Backends {
			e.backendZones[b.Name] = b.Zone
		}
	}
	return e.backendZones[backend] == experiment.Zone(e.relays[relay].zone)
}

// HasCapacity reports whether one more session can be sent to the backend without breaking a rule and without a
// long wait.
func (e *Environment) HasCapacity(b *Backend) bool {
	now := e.host.Now()
	return b.isServing() && !e.sessionStore.isBusy(now) && b.hasCapacity(now)
}

// SlowStartOverloads returns how many times backends were overloaded in slow start.
func (e *Environment) SlowStartOverloads() (count int) {
	for _, b := range e.Backends {
		count += b.SlowStartOverloads
	}
	return count
}

// killRelay kills a relay that runs, and starts it again after the given time, or never if that is infinite.
func (e *Environment) killRelay(i int, restartAfter float64) {
	if !e.relays[i].isUp {
		return
	}
	e.relays[i].isStopping = false
	e.infrastructure.KillRelay(i)
	e.Workload.RemoveRelay(i, false)
	e.relayExited(i, restartAfter)
}

// RelayExited must be called when a relay has exited by itself. The relay is started again after RestartDelay.
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
	if !wasPlanned { // after a planned stop no answer may be missing: the observer must not excuse any
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
