package relay

// This file is the part of the reducer for what outlives a relay: what it keeps of what it knows, and what it
// makes of that at its next start. What of it is believed is decided elsewhere; here it only comes as events.

import (
	"encoding/json"
	"fmt"
	"math"

	"valeshift/balancer"
)

const snapshotVersion = 1

// Snapshot is what a relay keeps, for its next life and for others that ask: the list as discovery told it, what
// links and servers weigh in general, and which clients it told to come again when. No load is among it, as
// none is worth anything a second later.
type Snapshot struct {
	Version     int                  `json:"Version"`
	Endpoints   *EndpointUpdate      `json:"List"`     // nil: discovery has told none in this life
	ConfirmedAt float64              `json:"Told"`     // clock time at which it last told that the list holds
	Capacity    float64              `json:"Capacity"` // of a server, microseconds of work a second; 0: not known
	MeanLoad    float64              `json:"LoadMean"`
	Classes     map[string]ClassLoad `json:"Categories"`
	RetryAt     map[uint64]float64   `json:"Back"` // clock times, by key

	// OwnLoad and Figures are of warm servers: the load of this relay's links there, and the sum of their figures.
	// Of those and of how many links each relay has, what a server bears can be told for the whole fleet.
	OwnLoad       float64 `json:"-"`
	EstimatedLoad float64 `json:"-"`

	// EndpointsAssumed: nobody who has heard discovery in this life tells the list, so that its servers are held to have
	// just started.
	EndpointsAssumed bool `json:"-"`
}

// Status is what others are told of how this relay fares.
type Status struct {
	Now                  float64
	EndpointsConfirmed   bool // the list, by discovery
	Index                uint64
	Rejected             int // clients turned away so far
	RejectedLastSecond   int // of those, in the last second
	Sessions             int
	WarmingUp, Usable    int     // servers
	UnreportedLoad       float64 // load that figures may not hold yet
	DiscoveryClockOffset float64 // what discovery's clock is ahead of this relay's, to half a second; NaN: not told
}

// Status is that.
func (m *StateMachine) Status(now float64) Status {
	cold, usable := m.dispatcher.Balancer.WarmingUp(now)
	return Status{Now: now, EndpointsConfirmed: m.endpointsConfirmed, Index: m.endpointsIndex, Rejected: int(m.Rejected), Sessions: m.sessions, WarmingUp: cold,
		Usable: usable, DiscoveryClockOffset: m.discoveryClockOffset, UnreportedLoad: m.dispatcher.Balancer.UnreportedLoad()}
}

// ClassLoad is what links of one category weigh, and how many that stands on.
type ClassLoad struct {
	Load   float64 `json:"Load"`
	Weight float64 `json:"Weighed"`
}

// Encode is what is kept as it is written.
func (k *Snapshot) Encode() ([]byte, error) { return json.Marshal(k) }

// ParseSnapshot reads it, and names what can't be.
func ParseSnapshot(text []byte) (*Snapshot, error) {
	k := &Snapshot{}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, fmt.Errorf("kept: %w", err)
	}
	bad := func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }
	if k.Version != snapshotVersion {
		return nil, fmt.Errorf("kept: version %d expected, got %d", snapshotVersion, k.Version)
	}
	if bad(k.Capacity) || bad(k.MeanLoad) || bad(k.ConfirmedAt) {
		return nil, fmt.Errorf("kept: a figure is no number or negative")
	}
	for name, c := range k.Classes {
		if bad(c.Load) || bad(c.Weight) {
			return nil, fmt.Errorf("kept: category %q: a figure is no number or negative", name)
		}
	}
	if k.Endpoints != nil {
		for _, e := range k.Endpoints.Endpoints {
			if e.Name == "" || e.Address == "" || bad(e.StartedAt) || bad(e.Weight) {
				return nil, fmt.Errorf("kept: list: an entry without name, address or a figure that can be")
			}
		}
	}
	return k, nil
}

// Snapshot is what this relay would keep now.
func (m *StateMachine) Snapshot() *Snapshot {
	l := m.dispatcher.Balancer.Estimates()
	k := &Snapshot{Version: snapshotVersion, Capacity: l.Capacity, MeanLoad: l.MeanSessionLoad, OwnLoad: l.OwnLoad,
		EstimatedLoad: l.ReportedLoad, Classes: map[string]ClassLoad{}, RetryAt: m.dispatcher.Balancer.Reservations(m.now)}
	for name, i := range m.classes {
		if i < len(l.ClassLoads) {
			k.Classes[name] = ClassLoad{Load: l.ClassLoads[i], Weight: l.ClassSamples[i]}
		}
	}
	if m.endpointsConfirmed {
		k.Endpoints, k.ConfirmedAt = m.currentEndpoints(), m.discoveryHeardAt
	}
	return k
}

// currentEndpoints is the list as it is held.
func (m *StateMachine) currentEndpoints() *EndpointUpdate {
	n := &EndpointUpdate{Index: m.endpointsIndex, Complete: true}
	for _, backend := range m.backendOrder {
		if backend.condition != balancer.Gone {
			n.Endpoints = append(n.Endpoints, backend.Endpoint)
		}
	}
	return n
}

// restore takes what is believed of what was kept. A list counts only until discovery tells one, and its
// servers are held to have just started, as nobody knows better.
func (m *StateMachine) restore(k *Snapshot) {
	l := balancer.Estimates{Capacity: k.Capacity, MeanSessionLoad: k.MeanLoad, ClassLoads: make([]float64, len(m.classes)),
		ClassSamples: make([]float64, len(m.classes))}
	for name, i := range m.classes {
		if c, known := k.Classes[name]; known {
			l.ClassLoads[i], l.ClassSamples[i] = c.Load, c.Weight
		}
	}
	decider := m.dispatcher.Balancer
	learnt := decider.RestoreEstimates(l)
	decider.RestoreReservations(m.now, k.RetryAt)
	listed := 0
	if k.Endpoints != nil && !m.endpointsConfirmed && len(k.Endpoints.Endpoints) > 0 {
		if k.Endpoints.Index > m.endpointsIndex { // than the platform's
			listed = len(k.Endpoints.Endpoints)
			index := m.endpointsIndex
			m.applyEndpoints(&EndpointUpdate{Complete: true, Endpoints: k.Endpoints.Endpoints})
			m.endpointsIndex = index // what discovery tells from there on is asked for
		}
		if k.EndpointsAssumed {
			decider.AssumeEndpoints(m.now)
		}
		if len(m.backendOrder) > 0 {
			m.becomeReady() // by hearsay at once, in place of by nothing a second after the start
		}
		if m.watchID == 0 { // as the module has just been told a list, it would ask for one late
			m.startWatch()
		}
	}
	m.log("recalled", "backends", listed, "learnt", learnt, "capacity", math.Round(k.Capacity),
		"told to return",
		len(k.RetryAt))
}

// setRecovering takes that the whole fleet lost power, or that it has recovered.
func (m *StateMachine) setRecovering(on bool, part float64) {
	m.dispatcher.Balancer.SetRecovering(on, part)
	if on != m.recovering {
		m.log("recovery of the fleet", "on", on)
	}
	m.recovering = on
}

// localStartTime is when a server started by this relay's own clock.
func (m *StateMachine) localStartTime(e Endpoint) float64 {
	if e.StartedAt <= 0 {
		return e.StartedAt
	}
	return e.StartedAt + m.clockAhead
}

// setClockAhead takes how far this relay's clock is ahead of what the fleet takes for right.
func (m *StateMachine) setClockAhead(ahead float64) {
	m.dispatcher.Balancer.ShiftStartTimes(ahead - m.clockAhead)
	m.log("clock", "ahead of the fleet's, ms", math.Round(ahead))
	m.clockAhead = ahead
}

const (
	suspendThreshold = 1000.0 // that a timer is late by: this process was stopped
	resumeReadTime   = 150.0  // for what came meanwhile to be read
)

// resumeAfterSuspend takes that this process was stopped and goes on now. The watch gets the time to say what it has.
func (m *StateMachine) resumeAfterSuspend(now float64) {
	m.log("stopped for a while", "ms", math.Round(now-m.timers[0].at))
	m.dispatcher.Balancer.Pause(now + resumeReadTime)
	if m.watchTimer.position > 0 && m.watchTimer.at < now+resumeReadTime {
		m.setTimer(&m.watchTimer, now+resumeReadTime)
	}
}
