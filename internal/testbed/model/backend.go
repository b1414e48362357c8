package model

import (
	"math"
	"math/rand"
)

// BackendSpec holds the properties of a backend that do not change while it runs.
type BackendSpec struct {
	Name             string
	Address          string
	Zone             string
	Cores            float64 // number of cores
	Speed            float64 // speed of a core; the mean of the fleet is 1
	SetupWork        float64 // work of an attempt, in ms of a core of speed 1
	MaxReportAge     float64 // maximum age of a load report, in ms
	ReportNoise      float64 // standard deviation of a reported load, as a share of that load
	SlowStartFrom    float64 // share of its full capacity that the backend starts with
	SlowStart        float64 // time from its start until it has its full capacity, in ms
	OverloadMultiple float64 // in slow start, it fails when sent more than this times its present capacity in OverloadWindow
	OverloadWindow   float64 // time over which the load that it is sent counts for OverloadMultiple, in ms
	OverloadDowntime float64 // time for which it stays down after such a failure, in ms
}

// Backend is one backend. The work of its sessions, their set-ups and lines, shares its cores evenly; each piece of
// work uses at most one core.
type Backend struct {
	BackendSpec
	// OnChange is called when the backend has died or has started again by itself. It must be set.
	OnChange func()

	StartTime          float64 // time of its start; 0: long before the run
	Draining           bool
	Dead               bool
	Sessions           int     // number of established sessions
	Demand             float64 // load of the established sessions, in cores
	SlowStartOverloads int     // number of times that it was overloaded in slow start and failed

	host         Host
	observer     Observer
	sessionStore *SessionStore
	rng          *rand.Rand

	faults backendFaults

	conns map[uint64]*backendConn
	cpu   cpu

	recentDemand   float64     // work started lately, in cores: an exponential average over 1 s
	recentDemandAt float64     // time of the last update of recentDemand
	report         loadReport  // latest load report
	slowStartLoads []timedLoad // loads that it was sent in slow start, within OverloadWindow
}

// backendFaults holds the effects of the active faults on a backend. Shares are from 0 to 1.
type backendFaults struct {
	speedFactor     float64 // multiplies the speed of the cores
	stolenShare     float64 // share of the cores that another program uses
	stalled         bool    // no work is done
	failingShare    float64 // share of the attempts that it resets on arrival
	lostAnswerShare float64 // share of the attempts that it executes, but resets before it answers
}

// timedLoad is a load in cores and the time at which it arrived.
type timedLoad struct{ at, load float64 }

// loadReport is what a backend reports to polls.
type loadReport struct {
	at          float64 // time at which it was made
	cpu         float64 // utilization, at most 1
	sessions    float64 // number of established sessions
	utilization float64 // utilization, above 1 under overload
}

const (
	// hasCapacity accepts a session only up to these shares of the limits, which leaves room for sessions that are
	// still on their way.
	capacityMargin = 0.9 // share of the present capacity, for sessions that are established or being set up
	overloadMargin = 0.8 // share of the load that a backend in slow start may be sent within OverloadWindow
)

// NewBackend returns a backend that has finished its slow start long ago.
func NewBackend(spec BackendSpec, host Host, observer Observer, sessionStore *SessionStore,
	rng *rand.Rand) *Backend {
	now := host.Now()
	return &Backend{
		BackendSpec:    spec,
		host:           host,
		observer:       observer,
		sessionStore:   sessionStore,
		rng:            rng,
		faults:         backendFaults{speedFactor: 1},
		conns:          map[uint64]*backendConn{},
		cpu:            cpu{advancedAt: now},
		recentDemandAt: now,
		report:         loadReport{at: math.Inf(-1)},
	}
}

func (b *Backend) isServing() bool { return !b.Dead && !b.Draining }

// capacityShare returns the share of its full capacity that the backend has now.
func (b *Backend) capacityShare(now float64) float64 {
	if b.StartTime <= 0 || b.SlowStart <= 0 {
		return 1
	}
	return min(1, b.SlowStartFrom+(1-b.SlowStartFrom)*max(0, now-b.StartTime)/b.SlowStart)
}

func (b *Backend) isWarmingUp(now float64) bool { return b.capacityShare(now) < 1 }

// Capacity returns the work that the backend can do now, in cores of speed 1.
func (b *Backend) Capacity(now float64) float64 {
	return b.Cores * (1 - b.faults.stolenShare) * b.Speed * b.faults.speedFactor * b.capacityShare(now)
}

// Utilization returns the demand of about the last second as a share of the present capacity.
func (b *Backend) Utilization(now float64) float64 {
	capacity := max(b.Capacity(now), 1e-6)
	return b.recentDemand * math.Exp((b.recentDemandAt-now)/1000) / capacity
}

// addDemand adds work, in ms of a core of speed 1, to the recent demand.
func (b *Backend) addDemand(amount float64) {
	now := b.host.Now()
	b.recentDemand = b.recentDemand*math.Exp((b.recentDemandAt-now)/1000) + amount/1000
	b.recentDemandAt = now
}

// hasCapacity reports whether the backend can take one more session within its margins.
func (b *Backend) hasCapacity(now float64) bool {
	capacity := b.Capacity(now)
	pending := 0.0
	for _, c := range b.conns {
		if c.attempting {
			pending += c.load / 1000
		}
	}
	if b.Demand+pending >= capacityMargin*capacity {
		return false
	}
	return !b.isWarmingUp(now) || b.recentSlowStartLoad(now) < overloadMargin*b.OverloadMultiple*capacity
}

// recentSlowStartLoad returns the load, in cores, that the backend was sent in slow start within OverloadWindow.
func (b *Backend) recentSlowStartLoad(now float64) (sum float64) {
	for _, l := range b.slowStartLoads {
		if l.at > now-b.OverloadWindow {
			sum += l.load
		}
	}
	return sum
}

// addSlowStartLoad records the load of a session that is sent to a backend in slow start, and reports whether it
// overloads the backend. A session can't be split, so the heaviest one within OverloadWindow does not count against
// the limit.
func (b *Backend) addSlowStartLoad(now, load, capacity float64) (overloaded bool) {
	b.slowStartLoads = append(b.slowStartLoads, timedLoad{now, load})
	recent := b.slowStartLoads[:0]
	sum, heaviest := 0.0, 0.0
	for _, l := range b.slowStartLoads {
		if l.at > now-b.OverloadWindow {
			recent = append(recent, l)
			sum += l.load
			heaviest = max(heaviest, l.load)
		}
	}
	b.slowStartLoads = recent
	return sum-heaviest > b.OverloadMultiple*capacity
}

// failOverloaded stops a backend that was overloaded in slow start, and starts it again after OverloadDowntime.
func (b *Backend) failOverloaded() {
	b.Kill()
	b.SlowStartOverloads++
	b.host.After(b.OverloadDowntime, func() {
		if b.Dead {
			b.Start()
			b.OnChange()
		}
	})
	b.OnChange()
}

// SetSpeedFactor multiplies the speed of the backend's cores by factor.
func (b *Backend) SetSpeedFactor(factor float64) {
	b.changeRate(func() { b.faults.speedFactor = factor })
}

// SetStolenShare takes a share of the backend's cores away, as another program on the same machine does.
func (b *Backend) SetStolenShare(share float64) {
	b.changeRate(func() { b.faults.stolenShare = share })
}

// SetStalled suspends or resumes all work of the backend.
func (b *Backend) SetStalled(stalled bool) {
	b.changeRate(func() { b.faults.stalled = stalled })
}

// SetFailingShare makes the backend reset a share of the attempts on arrival.
func (b *Backend) SetFailingShare(share float64) { b.faults.failingShare = share }

// SetLostAnswerShare makes the backend execute a share of the attempts and reset their connections before it
// answers.
func (b *Backend) SetLostAnswerShare(share float64) { b.faults.lostAnswerShare = share }

// ResetConnections resets all connections of the backend.
func (b *Backend) ResetConnections() {
	for _, conn := range sortedKeys(b.conns) {
		b.disconnect(b.conns[conn], true)
	}
}

// Kill resets all connections and drops all work, as when the backend's process dies.
func (b *Backend) Kill() {
	b.advanceWorkClock()
	b.ResetConnections()
	b.cpu.dropAll()
	b.Dead = true
	b.recentDemand = 0
}

// Start starts a dead backend again, in slow start.
func (b *Backend) Start() {
	now := b.host.Now()
	b.Dead = false
	b.StartTime = now
	b.cpu.advancedAt = now
	b.slowStartLoads = nil
	b.faults.stalled = false
	b.report.at = math.Inf(-1)
	b.observer.BackendStarted(now, b.Name)
}
