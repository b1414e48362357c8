package balancer

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Snapshot is the state that one process of a relay passes to the next: what it has learnt, without its sessions.
// All times are milliseconds on the relay's clock; -1 stands for a missing value.
//
// It is stored as one flat object, so its parts are embedded. Their order is the order of the stored fields.
type Snapshot struct {
	TakenAt  float64           `json:"At"`
	Backends []BackendSnapshot `json:"Servers"`
	SessionLoadSnapshot
	EstimatedCapacity float64 `json:"Guessed"` // capacity of a backend, estimated from the relay's own sessions
	ListedBackends    float64 `json:"Listed"`  // number of ready backends in the first endpoint list
	AttemptSnapshot
	SlowStartRequestedAt float64 `json:"Asked"` // time at which a session last drew on the slow-start budget
	RetryBudgetSnapshot
	EndedSessionLoads map[uint64]float64 `json:"Ended"` // by client key
}

// SessionLoadSnapshot holds what was learnt about the load of sessions.
type SessionLoadSnapshot struct {
	ClassLoads      []float64 `json:"Loads"`   // mean session load, by class
	ClassSamples    []float64 `json:"Weighed"` // number of sessions behind each class's mean
	MeanSessionLoad float64   `json:"LoadMean"`
	LoadSamples     float64   `json:"Known"` // number of sessions behind the overall mean
}

// AttemptSnapshot is the state of the attempt policy.
type AttemptSnapshot struct {
	EstablishedSessions  float64 `json:"Stood"` // number of established sessions, decaying over time
	EstablishedSpan      float64 `json:"Over"`  // milliseconds over which they were counted, decaying at the same rate
	EstablishedAsOf      float64 `json:"AsOf"`
	ConcurrencyLimit     float64 `json:"Width"` // highest number of attempts in flight
	ConcurrencyReducedAt float64 `json:"CutAt"`
}

// RetryBudgetSnapshot is the state of the retry budget.
type RetryBudgetSnapshot struct {
	BudgetSlot     float64   `json:"Slot"`  // number of the budget's latest slot
	BudgetSessions []float64 `json:"Taken"` // number of sessions by slot; empty: there is no retry budget
	BudgetRetries  []float64 `json:"More"`  // number of retries by slot
}

// BackendSnapshot holds what was learnt about one backend.
type BackendSnapshot struct {
	ID                  uint32               `json:"ID"`
	StartedAt           float64              `json:"Started"`
	Load                float64              `json:"Load"`
	ReportedAt          float64              `json:"HeardAt"`
	PolledAt            float64              `json:"AskedAt"`
	SlowStartAt         float64              `json:"WarmFrom"`
	ConsecutiveFailures int                  `json:"Failed"`
	SessionsLost        bool                 `json:"Lost"` // whether a session broke while the backend was silent
	OutlierEvidence     float64              `json:"Against"`
	RecentAssignments   []AssignmentSnapshot `json:"Placed"`
}

// AssignmentSnapshot is a session assigned to a backend whose report may not include it yet.
type AssignmentSnapshot struct {
	At   float64 `json:"At"`
	Load float64 `json:"Load"`
}

// missing stands for a missing value, as JSON has neither NaN nor infinity.
const missing = -1

func encodeMissing(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return missing
	}
	return value
}

func decodeMissing(value, fallback float64) float64 {
	if value == missing {
		return fallback
	}
	return value
}

// Snapshot returns what this process has learnt until now.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.outliers.decay(now)
	snapshot := Snapshot{
		TakenAt:              now,
		SessionLoadSnapshot:  b.quotas.snapshot(),
		EstimatedCapacity:    b.fleet.capacityBySessions,
		ListedBackends:       b.initialBackends,
		AttemptSnapshot:      b.attempts.snapshot(),
		SlowStartRequestedAt: b.slowStart.requestedAt,
		RetryBudgetSnapshot:  b.attempts.budget.snapshot(),
		EndedSessionLoads:    b.quotas.endedLoads.newest(maxStoredKeys),
	}
	for backend, state := range b.states {
		if state != Gone {
			snapshot.Backends = append(snapshot.Backends, b.backendSnapshot(backend))
		}
	}
	return snapshot
}

func (q *Quotas) snapshot() SessionLoadSnapshot {
	return SessionLoadSnapshot{
		ClassLoads:      append([]float64{}, q.classLoads...),
		ClassSamples:    append([]float64{}, q.classSamples...),
		MeanSessionLoad: q.meanSessionLoad,
		LoadSamples:     q.loadSamples,
	}
}

func (p *AttemptPolicy) snapshot() AttemptSnapshot {
	return AttemptSnapshot{
		EstablishedSessions:  p.established,
		EstablishedSpan:      p.establishedSpan,
		EstablishedAsOf:      p.establishedAsOf,
		ConcurrencyLimit:     p.concurrencyLimit,
		ConcurrencyReducedAt: p.limitReducedAt,
	}
}

func (b *RetryBudget) snapshot() RetryBudgetSnapshot {
	if b == nil {
		return RetryBudgetSnapshot{}
	}
	return RetryBudgetSnapshot{
		BudgetSlot:     encodeMissing(b.currentSlot),
		BudgetSessions: slices.Clone(b.sessions[:]),
		BudgetRetries:  slices.Clone(b.retries[:]),
	}
}

func (b *Balancer) backendSnapshot(backend int) BackendSnapshot {
	snapshot := BackendSnapshot{
		ID:                  b.ids[backend],
		StartedAt:           b.startedAt[backend],
		Load:                encodeMissing(b.poller.reports.loads[backend]),
		ReportedAt:          encodeMissing(b.poller.reports.receivedAt[backend]),
		PolledAt:            encodeMissing(b.poller.polls.latestAt[backend]),
		SlowStartAt:         encodeMissing(b.slowStart.startedAt[backend]),
		ConsecutiveFailures: b.outliers.consecutiveFailures[backend],
		SessionsLost:        b.outliers.sessionsLost[backend],
		OutlierEvidence:     b.outliers.evidence[backend],
	}
	for _, a := range b.poller.unreported.assignments[backend] {
		snapshot.RecentAssignments = append(snapshot.RecentAssignments,
			AssignmentSnapshot{At: a.at, Load: a.load})
	}
	return snapshot
}

// Restore applies what another process of this relay has learnt, except about backends that have restarted since.
// An invalid snapshot is refused as a whole, with an error that gives the reason.
func (b *Balancer) Restore(now float64, snapshot *Snapshot) error {
	if err := snapshot.validate(len(b.attempts.classes)); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	b.outliers.decay(now)
	b.quotas.restore(&snapshot.SessionLoadSnapshot)
	for key, load := range snapshot.EndedSessionLoads {
		b.quotas.endedLoads.store(now, key, load)
	}
	b.fleet.capacityBySessions = snapshot.EstimatedCapacity
	b.initialBackends = snapshot.ListedBackends
	b.attempts.restore(now, &snapshot.AttemptSnapshot)
	b.attempts.budget.restore(&snapshot.RetryBudgetSnapshot)
	// The slow-start budget that the other process had saved up by the time of the snapshot is dropped: that process
	// has not spent it since, and it must not be spent twice.
	b.slowStart.requestedAt = max(min(snapshot.SlowStartRequestedAt, now), snapshot.TakenAt)
	for i := range snapshot.Backends {
		b.restoreBackend(&snapshot.Backends[i])
	}
	b.roundRobin.invalidate()
	return nil
}

func (q *Quotas) restore(snapshot *SessionLoadSnapshot) {
	copy(q.classLoads, snapshot.ClassLoads)
	copy(q.classSamples, snapshot.ClassSamples)
	q.meanSessionLoad = snapshot.MeanSessionLoad
	q.loadSamples = snapshot.LoadSamples
}

func (p *AttemptPolicy) restore(now float64, snapshot *AttemptSnapshot) {
	p.established = snapshot.EstablishedSessions
	p.establishedSpan = snapshot.EstablishedSpan
	p.establishedAsOf = min(snapshot.EstablishedAsOf, now)
	p.concurrencyLimit = snapshot.ConcurrencyLimit
	p.limitReducedAt = snapshot.ConcurrencyReducedAt
}

func (b *RetryBudget) restore(snapshot *RetryBudgetSnapshot) {
	if b == nil || len(snapshot.BudgetSessions) == 0 {
		return
	}
	b.currentSlot = decodeMissing(snapshot.BudgetSlot, math.Inf(-1))
	copy(b.sessions[:], snapshot.BudgetSessions)
	copy(b.retries[:], snapshot.BudgetRetries)
}

func (b *Balancer) restoreBackend(snapshot *BackendSnapshot) {
	backend, known := b.indexByID[snapshot.ID]
	if !known || b.startedAt[backend] != snapshot.StartedAt {
		return
	}
	b.poller.reports.loads[backend] = decodeMissing(snapshot.Load, math.NaN())
	b.poller.reports.receivedAt[backend] = decodeMissing(snapshot.ReportedAt, math.Inf(-1))
	b.poller.polls.latestAt[backend] = decodeMissing(snapshot.PolledAt, math.Inf(-1))
	b.outliers.restore(backend, snapshot)
	if snapshot.SlowStartAt >= 0 {
		b.startSlowStart(backend, snapshot.SlowStartAt)
	}
	b.poller.unreported.assignments[backend] = b.poller.unreported.assignments[backend][:0]
	for _, a := range snapshot.RecentAssignments {
		b.poller.unreported.assignments[backend] = append(b.poller.unreported.assignments[backend],
			assignment{at: a.At, load: a.Load})
	}
	b.poller.unreported.dropReported(backend, b.poller.reports.receivedAt[backend]-b.poller.reports.maxAge)
	b.updateTracking(backend)
}

func (d *OutlierDetector) restore(backend int, snapshot *BackendSnapshot) {
	d.consecutiveFailures[backend] = snapshot.ConsecutiveFailures
	d.sessionsLost[backend] = snapshot.SessionsLost
	d.meanEvidence += (snapshot.OutlierEvidence - d.evidence[backend]) / float64(len(d.evidence))
	d.evidence[backend] = snapshot.OutlierEvidence
}

// validate returns an error if the snapshot has impossible values for a relay with the given number of classes.
func (s *Snapshot) validate(classes int) error {
	if err := s.RetryBudgetSnapshot.validate(); err != nil {
		return err
	}
	if len(s.ClassLoads) != classes || len(s.ClassSamples) != classes {
		return fmt.Errorf("%d classes expected, got loads of %d and samples of %d", classes,
			len(s.ClassLoads), len(s.ClassSamples))
	}
	scalarsValid := areFiniteNonNegative(s.MeanSessionLoad, s.LoadSamples, s.EstimatedCapacity, s.ListedBackends,
		s.EstablishedSessions, s.EstablishedSpan, s.EstablishedAsOf, s.ConcurrencyLimit,
		s.ConcurrencyReducedAt, s.SlowStartRequestedAt, s.TakenAt)
	if !scalarsValid || !areFiniteNonNegative(s.ClassLoads...) || !areFiniteNonNegative(s.ClassSamples...) {
		return errors.New("a value is negative, infinite or not a number")
	}
	for i := range s.Backends {
		if err := s.Backends[i].validate(); err != nil {
			return fmt.Errorf("backend %d: %w", s.Backends[i].ID, err)
		}
	}
	for key, load := range s.EndedSessionLoads {
		if !areFiniteNonNegative(load) {
			return fmt.Errorf("load of the ended session %x is negative, infinite or not a number", key)
		}
	}
	return nil
}

func (s *RetryBudgetSnapshot) validate() error {
	slots := len(s.BudgetSessions)
	if slots != len(s.BudgetRetries) || (slots != 0 && slots != budgetSlots+1) {
		return fmt.Errorf("%d slots of the retry budget or none expected, got %d for sessions and %d for retries", budgetSlots+1,
			slots, len(s.BudgetRetries))
	}
	if !areFiniteNonNegative(s.BudgetSessions...) || !areFiniteNonNegative(s.BudgetRetries...) ||
		!areFiniteNonNegative(decodeMissing(s.BudgetSlot, 0)) {
		return errors.New("a value of the retry budget is negative, infinite or not a number")
	}
	return nil
}

func (s *BackendSnapshot) validate() error {
	timesValid := areFiniteNonNegative(s.StartedAt, decodeMissing(s.ReportedAt, 0), decodeMissing(s.PolledAt, 0),
		decodeMissing(s.SlowStartAt, 0))
	if !timesValid || !areFiniteNonNegative(decodeMissing(s.Load, 0), s.OutlierEvidence) {
		return errors.New("a value is negative, infinite or not a number")
	}
	if s.OutlierEvidence > 1 || s.ConsecutiveFailures < 0 {
		return errors.New("outlier evidence above 1 or a negative number of failures")
	}
	for _, a := range s.RecentAssignments {
		if !areFiniteNonNegative(a.At, a.Load) {
			return errors.New("time or load of an assignment is negative, infinite or not a number")
		}
	}
	return nil
}

// areFiniteNonNegative reports whether all values are finite and not negative.
func areFiniteNonNegative(values ...float64) bool {
	for _, value := range values {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return false
		}
	}
	return true
}
