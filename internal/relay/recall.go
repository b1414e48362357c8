package relay

// This file is the part of the reducer for what outlives a relay: what it keeps of what it knows, and what it
// makes of that at its next start. What of it is believed is decided elsewhere; here it only comes as events.

import (
	"encoding/json"
	"fmt"
	"math"

	"valeshift/balancer"
)

const keptVersion = 1

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
func (r *StateMachine) Status(now float64) Status {
	cold, usable := r.table.Balancer.WarmingUp(now)
	return Status{Now: now, EndpointsConfirmed: r.confirmed, Index: r.index, Rejected: int(r.Rejected), Sessions: r.links, WarmingUp: cold,
		Usable: usable, DiscoveryClockOffset: r.dated, UnreportedLoad: r.table.Balancer.UnreportedLoad()}
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
	if k.Version != keptVersion {
		return nil, fmt.Errorf("kept: version %d expected, got %d", keptVersion, k.Version)
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
func (r *StateMachine) Snapshot() *Snapshot {
	l := r.table.Balancer.Estimates()
	k := &Snapshot{Version: keptVersion, Capacity: l.Capacity, MeanLoad: l.MeanSessionLoad, OwnLoad: l.OwnLoad,
		EstimatedLoad: l.ReportedLoad, Classes: map[string]ClassLoad{}, RetryAt: r.table.Balancer.Reservations(r.now)}
	for name, i := range r.categories {
		if i < len(l.ClassLoads) {
			k.Classes[name] = ClassLoad{Load: l.ClassLoads[i], Weight: l.ClassSamples[i]}
		}
	}
	if r.confirmed {
		k.Endpoints, k.ConfirmedAt = r.listNow(), r.heardAt
	}
	return k
}

// listNow is the list as it is held.
func (r *StateMachine) listNow() *EndpointUpdate {
	n := &EndpointUpdate{Index: r.index, Complete: true}
	for _, b := range r.order {
		if b.condition != balancer.Gone {
			n.Endpoints = append(n.Endpoints, b.Endpoint)
		}
	}
	return n
}

// recall takes what is believed of what was kept. A list counts only until discovery tells one, and its
// servers are held to have just started, as nobody knows better.
func (r *StateMachine) recall(k *Snapshot) {
	l := balancer.Estimates{Capacity: k.Capacity, MeanSessionLoad: k.MeanLoad, ClassLoads: make([]float64, len(r.categories)),
		ClassSamples: make([]float64, len(r.categories))}
	for name, i := range r.categories {
		if c, known := k.Classes[name]; known {
			l.ClassLoads[i], l.ClassSamples[i] = c.Load, c.Weight
		}
	}
	m := r.table.Balancer
	learnt := m.RestoreEstimates(l)
	m.RestoreReservations(r.now, k.RetryAt)
	listed := 0
	if k.Endpoints != nil && !r.confirmed && len(k.Endpoints.Endpoints) > 0 {
		if k.Endpoints.Index > r.index { // than the platform's
			listed = len(k.Endpoints.Endpoints)
			index := r.index
			r.apply(&EndpointUpdate{Complete: true, Endpoints: k.Endpoints.Endpoints})
			r.index = index // what discovery tells from there on is asked for
		}
		if k.EndpointsAssumed {
			m.AssumeEndpoints(r.now)
		}
		if len(r.order) > 0 {
			r.nowReady() // by hearsay at once, in place of by nothing a second after the start
		}
		if r.watching == 0 { // as the module has just been told a list, it would ask for one late
			r.watch()
		}
	}
	r.note("recalled", "backends", listed, "learnt", learnt, "capacity", math.Round(k.Capacity),
		"told to return",
		len(k.RetryAt))
}

// recovers takes that the whole fleet lost power, or that it has recovered.
func (r *StateMachine) recovers(on bool, part float64) {
	r.table.Balancer.SetRecovering(on, part)
	if on != r.recovering {
		r.note("recovery of the fleet", "on", on)
	}
	r.recovering = on
}

// started is when a server started by this relay's own clock.
func (r *StateMachine) started(e Endpoint) float64 {
	if e.StartedAt <= 0 {
		return e.StartedAt
	}
	return e.StartedAt + r.ahead
}

// clocked takes how far this relay's clock is ahead of what the fleet takes for right.
func (r *StateMachine) clocked(ahead float64) {
	r.table.Balancer.ShiftStartTimes(ahead - r.ahead)
	r.note("clock", "ahead of the fleet's, ms", math.Round(ahead))
	r.ahead = ahead
}

const (
	asleep   = 1000.0 // that a timer is late by: this process was stopped
	readTime = 150.0  // for what came meanwhile to be read
)

// woken takes that this process was stopped and goes on now. The watch gets the time to say what it has.
func (r *StateMachine) woken(now float64) {
	r.note("stopped for a while", "ms", math.Round(now-r.timers[0].at))
	r.table.Balancer.Pause(now + readTime)
	if r.watched.place > 0 && r.watched.at < now+readTime {
		r.arm(&r.watched, now+readTime)
	}
}
