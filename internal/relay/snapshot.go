package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"valeshift/balancer"
)

const snapshotVersion = 1

// Snapshot is what a relay keeps of what it knows, for its next incarnation and for other relays that ask: the endpoint
// list as discovery told it, what sessions and backends weigh in general, and which clients it told to come again when.
// No load is among it, as none is worth anything a second later. Which snapshots are believed is decided elsewhere: a
// restored one comes as the event StateRestored.
type Snapshot struct {
	Version     int                  `json:"Version"`
	Endpoints   *EndpointUpdate      `json:"List"`     // nil: discovery has told none in this incarnation
	ConfirmedAt float64              `json:"Told"`     // Unix milliseconds at which discovery last said that the list holds
	Capacity    float64              `json:"Capacity"` // of a backend, in microseconds of work a second; 0: not known
	MeanLoad    float64              `json:"LoadMean"`
	Classes     map[string]ClassLoad `json:"Categories"`
	RetryAt     map[uint64]float64   `json:"Back"` // Unix milliseconds by the client's key

	// OwnLoad and EstimatedLoad are of backends that are not warming up: the load of this relay's sessions there, and the
	// sum of the backends' load estimates. From those, and from how many sessions each relay has, the fleet works out the
	// capacity of a backend.
	OwnLoad       float64 `json:"-"`
	EstimatedLoad float64 `json:"-"`

	// EndpointsAssumed says that the list comes from nobody who has heard discovery in this incarnation, so that its
	// backends are assumed to have just started.
	EndpointsAssumed bool `json:"-"`
}

// ClassLoad is what sessions of one class weigh.
type ClassLoad struct {
	Load   float64 `json:"Load"`
	Weight float64 `json:"Weighed"` // how many sessions that stands on
}

// Encode is the snapshot as it is stored.
func (s *Snapshot) Encode() ([]byte, error) { return json.Marshal(s) }

// ParseSnapshot reads a stored snapshot; an error says what can't be used.
func ParseSnapshot(text []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("parse snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("parse snapshot: version %d expected, got %d", snapshotVersion, s.Version)
	}
	if !isQuantity(s.Capacity) || !isQuantity(s.MeanLoad) || !isQuantity(s.ConfirmedAt) {
		return nil, errors.New("parse snapshot: a quantity is negative or no number")
	}
	for name, class := range s.Classes {
		if !isQuantity(class.Load) || !isQuantity(class.Weight) {
			return nil, fmt.Errorf("parse snapshot: category %q: a quantity is negative or no number", name)
		}
	}
	if s.Endpoints != nil {
		for _, e := range s.Endpoints.Endpoints {
			if e.Name == "" || e.Address == "" || !isQuantity(e.StartedAt) || !isQuantity(e.Weight) {
				return nil, errors.New("parse snapshot: endpoints: an entry without name or address, or with a number that can't be")
			}
		}
	}
	return s, nil
}

// isQuantity tells whether x is a finite number that is not negative.
func isQuantity(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// Snapshot is what this relay would keep now. It is called between events.
func (m *StateMachine) Snapshot() *Snapshot {
	estimates := m.balancer().Estimates()
	s := &Snapshot{
		Version:       snapshotVersion,
		Capacity:      estimates.Capacity,
		MeanLoad:      estimates.MeanSessionLoad,
		OwnLoad:       estimates.OwnLoad,
		EstimatedLoad: estimates.ReportedLoad,
		Classes:       map[string]ClassLoad{},
		RetryAt:       m.balancer().Reservations(m.now),
	}
	for name, i := range m.rules.classes {
		if i < len(estimates.ClassLoads) {
			s.Classes[name] = ClassLoad{Load: estimates.ClassLoads[i], Weight: estimates.ClassSamples[i]}
		}
	}
	if m.endpoints.confirmed {
		s.Endpoints = m.endpoints.current()
		s.ConfirmedAt = m.watch.heardAt
	}
	return s
}

// restore goes by a snapshot from before the start. Its list counts only until discovery tells one.
func (m *StateMachine) restore(s *Snapshot) {
	learned := m.restoreEstimates(s)
	m.balancer().RestoreReservations(m.now, s.RetryAt)
	listed := 0
	if s.Endpoints != nil && !m.endpoints.confirmed && len(s.Endpoints.Endpoints) > 0 {
		listed = m.restoreEndpoints(s)
	}
	m.log("restored state", "backends", listed, "estimates", learned, "capacity", math.Round(s.Capacity), "reservations",
		len(s.RetryAt))
}

// restoreEstimates tells the balancer what sessions and backends weigh, and returns whether it goes by that.
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

// restoreEndpoints goes by the snapshot's list where it is newer than the one the relay was started with, and returns how
// many backends it took from it.
func (m *StateMachine) restoreEndpoints(s *Snapshot) int {
	listed := 0
	if s.Endpoints.Index > m.endpoints.index {
		listed = len(s.Endpoints.Endpoints)
		// The version stays, so that discovery is asked for all that it tells from there on.
		m.applyEndpoints(&EndpointUpdate{Index: m.endpoints.index, Complete: true, Endpoints: s.Endpoints.Endpoints})
	}
	if s.EndpointsAssumed {
		m.balancer().AssumeEndpoints(m.now)
	}
	if len(m.endpoints.inOrder) > 0 {
		m.becomeReady() // on the restored list; otherwise it would be a second after the start, without any list
	}
	if m.watch.id == 0 { // the balancer has just been told a list, and would ask for one late
		m.startWatch()
	}
	return listed
}
