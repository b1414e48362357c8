package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"valeshift/balancer"
)

const snapshotVersion = 1

// Snapshot is the part of a relay's state that is kept for its next incarnation and for other relays that ask: the
// endpoint list as discovery sent it, estimates of the load of sessions and the capacity of backends, and when clients
// were told to retry. It has no current loads, as they are worthless a second later. Which snapshots are trusted is
// decided elsewhere: a restored one arrives as the event StateRestored.
type Snapshot struct {
	Version     int                  `json:"Version"`
	Endpoints   *EndpointUpdate      `json:"List"`     // nil if discovery has confirmed none in this incarnation
	ConfirmedAt float64              `json:"Told"`     // Unix milliseconds at which discovery last confirmed the list
	Capacity    float64              `json:"Capacity"` // of a backend, in microseconds of work per second; 0 if not known
	MeanLoad    float64              `json:"LoadMean"`
	Classes     map[string]ClassLoad `json:"Categories"`
	RetryAt     map[uint64]float64   `json:"Back"` // when each client is to retry, in Unix milliseconds, by its key

	// OwnLoad is the load of this relay's sessions on backends that are not warming up, as far as reports include it, and
	// TotalReportedLoad is the sum of the loads that those backends report. From these, and from the number of sessions of
	// each relay, the fleet computes the capacity of a backend.
	OwnLoad           float64 `json:"-"`
	TotalReportedLoad float64 `json:"-"`

	// EndpointsAssumed says that no relay has confirmed the list with discovery since its start, so that the backends are
	// assumed to have just started.
	EndpointsAssumed bool `json:"-"`
}

// ClassLoad is the estimated load of a session of one class.
type ClassLoad struct {
	Load   float64 `json:"Load"`
	Weight float64 `json:"Weighed"` // number of sessions that the estimate is based on
}

// Encode returns the snapshot in its stored form.
func (s *Snapshot) Encode() ([]byte, error) { return json.Marshal(s) }

// ParseSnapshot reads a stored snapshot. The error says what is invalid.
func ParseSnapshot(text []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("parse snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("parse snapshot: version %d expected, got %d", snapshotVersion, s.Version)
	}
	if !isQuantity(s.Capacity) || !isQuantity(s.MeanLoad) || !isQuantity(s.ConfirmedAt) {
		return nil, errors.New("parse snapshot: a quantity is negative or not a finite number")
	}
	for name, class := range s.Classes {
		if !isQuantity(class.Load) || !isQuantity(class.Weight) {
			return nil, fmt.Errorf("parse snapshot: category %q: a quantity is negative or not a finite number", name)
		}
	}
	if s.Endpoints != nil {
		for _, e := range s.Endpoints.Endpoints {
			if e.Name == "" || e.Address == "" || !isQuantity(e.StartedAt) || !isQuantity(e.Weight) {
				return nil, errors.New("parse snapshot: endpoints: an entry has no name or address, or an invalid number")
			}
		}
	}
	return s, nil
}

// isQuantity reports whether x is a finite number that is not negative.
func isQuantity(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// Snapshot returns the snapshot of the current state. It must be called between events.
func (m *StateMachine) Snapshot() *Snapshot {
	estimates := m.balancer().Estimates()
	s := &Snapshot{
		Version:           snapshotVersion,
		Capacity:          estimates.Capacity,
		MeanLoad:          estimates.MeanSessionLoad,
		OwnLoad:           estimates.OwnLoad,
		TotalReportedLoad: estimates.ReportedLoad,
		Classes:           map[string]ClassLoad{},
		RetryAt:           m.balancer().Reservations(m.now),
	}
	for name, i := range m.rules.classes {
		if i < len(estimates.ClassLoads) {
			s.Classes[name] = ClassLoad{Load: estimates.ClassLoads[i], Weight: estimates.ClassSamples[i]}
		}
	}
	if m.endpoints.confirmed {
		s.Endpoints = m.endpoints.current()
		s.ConfirmedAt = m.watch.lastLineAt
	}
	return s
}

// restore applies a snapshot from before the start. Its list is used only until discovery sends one.
func (m *StateMachine) restore(s *Snapshot) {
	estimatesRestored := m.restoreEstimates(s)
	m.balancer().RestoreReservations(m.now, s.RetryAt)
	restored := 0
	if s.Endpoints != nil && !m.endpoints.confirmed && len(s.Endpoints.Endpoints) > 0 {
		restored = m.restoreEndpoints(s)
	}
	m.log("restored state", "backends", restored, "estimates", estimatesRestored, "capacity", math.Round(s.Capacity),
		"reservations", len(s.RetryAt))
}

// restoreEstimates passes the snapshot's load and capacity estimates to the balancer, and reports whether it uses them.
func (m *StateMachine) restoreEstimates(s *Snapshot) bool {
	estimates := balancer.Estimates{
		Capacity:        s.Capacity,
		MeanSessionLoad: s.MeanLoad,
		ClassLoads:      make([]float64, len(m.rules.classes)),
		ClassSamples:    make([]float64, len(m.rules.classes)),
	}
	for name, i := range m.rules.classes {
		if class, known := s.Classes[name]; known {
			estimates.ClassLoads[i] = class.Load
			estimates.ClassSamples[i] = class.Weight
		}
	}
	return m.balancer().RestoreEstimates(estimates)
}

// restoreEndpoints applies the snapshot's list if it is newer than the one the relay was started with, and returns how
// many backends it took from it.
func (m *StateMachine) restoreEndpoints(s *Snapshot) int {
	restored := 0
	if s.Endpoints.Index > m.endpoints.index {
		restored = len(s.Endpoints.Endpoints)
		// The version is kept, so that discovery is asked for every change since the initial list.
		m.applyEndpoints(&EndpointUpdate{Index: m.endpoints.index, Complete: true, Endpoints: s.Endpoints.Endpoints})
	}
	if s.EndpointsAssumed {
		m.balancer().AssumeEndpoints(m.now)
	}
	if len(m.endpoints.inOrder) > 0 {
		m.becomeReady() // with the restored list; without any list it would take a second from the start
	}
	if m.watch.id == 0 { // having just received a list, the balancer would start a watch late
		m.startWatch()
	}
	return restored
}
