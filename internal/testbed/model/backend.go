package model

import (
	"math"
	"math/rand"
)

// BackendSpec is what a backend is made of.
type BackendSpec struct {
	Name             string
	Address          string
	Zone             string
	Cores            float64
	Speed            float64 // of a core, 1 being the fleet's mean
	SetupWork        float64 // of a core of speed one for each attempt, in milliseconds
	MaxReportAge     float64 // that a load report may reach
	ReportNoise      float64 // standard deviation of a reported load, as a part of it
	SlowStartFrom    float64 // part of its capacity that it starts with
	SlowStart        float64 // time until it has all of it
	OverloadMultiple float64 // of its present capacity: sent more within OverloadWindow in slow start, it fails
	OverloadWindow   float64
	OverloadDowntime float64 // for which it lies there
}

// Backend is one backend. The lines and set-ups of its sessions share its cores evenly, each on one core at
// most.
type Backend struct {
	BackendSpec
	// OnChange, which must be set, is called when the backend has died or is back by itself.
	OnChange func()

	Since              float64 // time of its start; 0: long ago
	Draining           bool
	Dead               bool
	Sessions           int     // that are established
	Demand             float64 // of those, in cores
	SlowStartOverloads int     // how often it was overloaded in slow start

	host         Host
	observer     Observer
	sessionStore *SessionStore
	rng          *rand.Rand

	faults backendFaults

	conns map[uint64]*backendConn
	cpu   cpu

	offered        float64 // demand in cores, smoothed over a second
	offeredAt      float64 // when that was reckoned
	report         loadReport
	slowStartLoads []timedLoad // that it was sent in slow start
}

// backendFaults is what faults make of a backend.
type backendFaults struct {
	speedFactor     float64
	stolenShare     float64 // of its cores
	stalled         bool
	failingShare    float64 // of the attempts: it breaks them
	lostAnswerShare float64 // of the attempts: it does what they ask for, and breaks before it says so
}

// timedLoad is a load in cores that came at a time.
type timedLoad struct{ at, load float64 }

// loadReport is what a backend says of its load.
type loadReport struct {
	at          float64 // when it was made
	cpu         float64 // utilization, at most 1
	sessions    float64
	utilization float64
}

const (
	// HasCapacity fills a backend up to these parts, so that a session still on its way finds room.
	capacityMargin = 0.9 // of its present capacity, by sessions that are established or on their way
	overloadMargin = 0.8 // of what a backend in slow start can take within its window
)

// NewBackend returns a backend that has run for long.
func NewBackend(spec BackendSpec, host Host, observer Observer, sessionStore *SessionStore,
	rng *rand.Rand) *Backend {
	now := host.Now()
	return &Backend{
		BackendSpec:  spec,
		host:         host,
		observer:     observer,
		sessionStore: sessionStore,
		rng:          rng,
		faults:       backendFaults{speedFactor: 1},
		conns:        map[uint64]*backendConn{},
		cpu:          cpu{reckonedAt: now},
		offeredAt:    now,
		report:       loadReport{at: math.Inf(-1)},
	}
}

func (b *Backend) isServing() bool { return !b.Dead && !b.Draining }

// capacityShare is the part of its capacity that the backend has by now.
func (b *Backend) capacityShare(now float64) float64 {
	if b.Since <= 0 || b.SlowStart <= 0 {
		return 1
	}
	return min(1, b.SlowStartFrom+(1-b.SlowStartFrom)*max(0, now-b.Since)/b.SlowStart)
}

func (b *Backend) isWarmingUp(now float64) bool { return b.capacityShare(now) < 1 }

// Capacity returns what the backend can do now, in cores of speed one.
func (b *Backend) Capacity(now float64) float64 {
	return b.Cores * (1 - b.faults.stolenShare) * b.Speed * b.faults.speedFactor * b.capacityShare(now)
}

// Utilization returns the demand of about the last second as a part of the present capacity.
func (b *Backend) Utilization(now float64) float64 {
	capacity := max(b.Capacity(now), 1e-6)
	return b.offered * math.Exp((b.offeredAt-now)/1000) / capacity
}

// offer adds work, in milliseconds of a core, to the smoothed demand.
func (b *Backend) offer(amount float64) {
	now := b.host.Now()
	b.offered = b.offered*math.Exp((b.offeredAt-now)/1000) + amount/1000
	b.offeredAt = now
}

// hasCapacity tells whether one more session would keep the backend within its margins.
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

// recentSlowStartLoad returns what the backend was sent in slow start within its window.
func (b *Backend) recentSlowStartLoad(now float64) (sum float64) {
	for _, l := range b.slowStartLoads {
		if l.at > now-b.OverloadWindow {
			sum += l.load
		}
	}
	return sum
}

// addSlowStartLoad counts what a backend in slow start is sent, and reports whether that overloads it. A session can't be
// split, so the heaviest of the window may come on top.
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

// fallOver stops a backend that was overloaded in slow start, for its downtime.
func (b *Backend) fallOver() {
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

// SetSpeedFactor has the backend work at a part of its speed.
func (b *Backend) SetSpeedFactor(factor float64) {
	b.changeRate(func() { b.faults.speedFactor = factor })
}

// SetStolenShare has somebody else take a part of the backend's cores.
func (b *Backend) SetStolenShare(share float64) {
	b.changeRate(func() { b.faults.stolenShare = share })
}

// SetStalled has the backend stand still, or work again.
func (b *Backend) SetStalled(stalled bool) {
	b.changeRate(func() { b.faults.stalled = stalled })
}

// SetFailingShare has the backend break a part of the attempts.
func (b *Backend) SetFailingShare(share float64) { b.faults.failingShare = share }

// SetLostAnswerShare has the backend do what a part of the attempts ask for, and break before it says so.
func (b *Backend) SetLostAnswerShare(share float64) { b.faults.lostAnswerShare = share }

// ResetConnections resets all connections.
func (b *Backend) ResetConnections() {
	for _, conn := range sortedKeys(b.conns) {
		b.disconnect(b.conns[conn], true)
	}
}

// Kill ends all that the backend has and does.
func (b *Backend) Kill() {
	b.reckonWork()
	b.ResetConnections()
	b.cpu.dropAll()
	b.Dead = true
	b.offered = 0
}

// Start has a backend that died serve again, in slow start.
func (b *Backend) Start() {
	now := b.host.Now()
	b.Dead = false
	b.Since = now
	b.cpu.reckonedAt = now
	b.slowStartLoads = nil
	b.faults.stalled = false
	b.report.at = math.Inf(-1)
	b.observer.BackendStarted(now, b.Name)
}
