package balancer

import (
	"errors"
	"math"
)

// This file is what one process of a relay leaves to the next: what it has learnt, none of what it has in
// hand. Neither decides anything; a test holds that the next decides as this one would.

// Snapshot is what a balancer has learnt. Times are clock times; -1 stands for none.
type Snapshot struct {
	TakenAt              float64            `json:"At"`
	Backends             []BackendSnapshot  `json:"Servers"`
	ClassLoads           []float64          `json:"Loads"`   // by category
	ClassSamples         []float64          `json:"Weighed"` // by category
	MeanSessionLoad      float64            `json:"LoadMean"`
	LoadSamples          float64            `json:"Known"`
	EstimatedCapacity    float64            `json:"Guessed"`
	ListedBackends       float64            `json:"Listed"`
	EstablishedSessions  float64            `json:"Stood"`
	EstablishedSpan      float64            `json:"Over"`
	EstablishedAsOf      float64            `json:"AsOf"`
	ConcurrencyLimit     float64            `json:"Width"`
	ConcurrencyReducedAt float64            `json:"CutAt"`
	SlowStartRequestedAt float64            `json:"Asked"`
	BudgetSlot           float64            `json:"Slot"` // of the budget; -1: none
	BudgetSessions       []float64          `json:"Taken"`
	BudgetRetries        []float64          `json:"More"`
	EndedSessionLoads    map[uint64]float64 `json:"Ended"`
}

// BackendSnapshot is what it has learnt of one server.
type BackendSnapshot struct {
	ID                  uint32               `json:"ID"`
	StartedAt           float64              `json:"Started"`
	Load                float64              `json:"Load"`
	ReportedAt          float64              `json:"HeardAt"`
	PolledAt            float64              `json:"AskedAt"`
	SlowStartAt         float64              `json:"WarmFrom"`
	ConsecutiveFailures int                  `json:"Failed"`
	SessionsLost        bool                 `json:"Lost"`
	OutlierEvidence     float64              `json:"Against"`
	RecentAssignments   []AssignmentSnapshot `json:"Placed"` // of late
}

// AssignmentSnapshot is a link sent to a server that its figure may not hold yet.
type AssignmentSnapshot struct {
	At   float64 `json:"At"`
	Load float64 `json:"Load"`
}

const maxStoredKeys = 4096 // keys whose links' loads are left, against a record without bound

// encodeMissing has a value that is not there go as -1, which JSON can say.
func encodeMissing(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return -1
	}
	return x
}

func decodeMissing(x, otherwise float64) float64 {
	if x == -1 {
		return otherwise
	}
	return x
}

// Snapshot gives what was learnt until now.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.outliers.decay(now)
	e, s, p := b.attempts, b.quotas, b.poller
	r := Snapshot{TakenAt: now, ClassLoads: append([]float64{}, s.classLoads...), ClassSamples: append([]float64{}, s.classSamples...),
		MeanSessionLoad: s.meanSessionLoad, LoadSamples: s.loadSamples, EstimatedCapacity: b.estimatedCapacity, ListedBackends: b.initialBackends, EstablishedSessions: e.established, EstablishedSpan: e.establishedSpan,
		EstablishedAsOf: e.establishedAsOf, ConcurrencyLimit: e.concurrencyLimit, ConcurrencyReducedAt: e.concurrencyReducedAt, SlowStartRequestedAt: b.slowStart.requestedAt, EndedSessionLoads: map[uint64]float64{}}
	if budget := e.budget; budget != nil {
		r.BudgetSlot = encodeMissing(budget.currentSlot)
		r.BudgetSessions, r.BudgetRetries = append(r.BudgetSessions, budget.sessions[:]...), append(r.BudgetRetries, budget.retries[:]...)
	}
	for i, id := range b.ids {
		if b.states[i] == Gone {
			continue
		}
		one := BackendSnapshot{ID: id, StartedAt: b.startedAt[i], Load: encodeMissing(p.loads[i]), ReportedAt: encodeMissing(p.reportedAt[i]),
			PolledAt: encodeMissing(p.polledAt[i]), SlowStartAt: encodeMissing(b.slowStart.startedAt[i]), ConsecutiveFailures: b.outliers.consecutiveFailures[i],
			SessionsLost: b.outliers.sessionsLost[i], OutlierEvidence: b.outliers.evidence[i]}
		for _, x := range p.recentAssignments[i] {
			one.RecentAssignments = append(one.RecentAssignments, AssignmentSnapshot{x.at, x.load})
		}
		r.Backends = append(r.Backends, one)
	}
	for _, half := range []map[uint64]float64{s.endedLoads.recent, s.endedLoads.older} {
		for key, load := range half {
			if _, there := r.EndedSessionLoads[key]; !there && len(r.EndedSessionLoads) < maxStoredKeys {
				r.EndedSessionLoads[key] = load
			}
		}
	}
	return r
}

// validate says what of a record can't be.
func (r *Snapshot) validate(categories int) error {
	bad := func(all ...float64) bool {
		for _, x := range all {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				return true
			}
		}
		return false
	}
	switch {
	case len(r.BudgetSessions) != len(r.BudgetRetries) || (len(r.BudgetSessions) != 0 && len(r.BudgetSessions) != budgetSlots+1) || bad(r.BudgetSessions...) ||
		bad(r.BudgetRetries...) || bad(decodeMissing(r.BudgetSlot, 0)):
		return errors.New("record: the budget's slots can't be")
	case len(r.ClassLoads) != categories || len(r.ClassSamples) != categories:
		return errors.New("record: its categories are others")
	case bad(r.ClassLoads...) || bad(r.ClassSamples...) || bad(r.MeanSessionLoad, r.LoadSamples, r.EstimatedCapacity, r.ListedBackends, r.EstablishedSessions, r.EstablishedSpan,
		r.EstablishedAsOf, r.ConcurrencyLimit, r.ConcurrencyReducedAt, r.SlowStartRequestedAt, r.TakenAt):
		return errors.New("record: a figure is no number or negative")
	}
	for _, s := range r.Backends {
		times := bad(s.StartedAt, decodeMissing(s.ReportedAt, 0), decodeMissing(s.PolledAt, 0), decodeMissing(s.SlowStartAt, 0))
		if times || bad(decodeMissing(s.Load, 0), s.OutlierEvidence) || s.OutlierEvidence > 1 || s.ConsecutiveFailures < 0 {
			return errors.New("record: a server's figure is no number or negative")
		}
		for _, x := range s.RecentAssignments {
			if bad(x.At, x.Load) {
				return errors.New("record: a placed link's figure is no number or negative")
			}
		}
	}
	for _, load := range r.EndedSessionLoads {
		if bad(load) {
			return errors.New("record: an ended link's load is no number or negative")
		}
	}
	return nil
}

// Restore takes what another process of this relay has learnt, of those servers that are the same still; a
// record that can't be is refused whole.
func (b *Balancer) Restore(now float64, r *Snapshot) error {
	if err := r.validate(len(b.attempts.classes)); err != nil {
		return err
	}
	b.outliers.decay(now)
	e, s, p := b.attempts, b.quotas, b.poller
	copy(s.classLoads, r.ClassLoads)
	copy(s.classSamples, r.ClassSamples)
	s.meanSessionLoad, s.loadSamples, b.estimatedCapacity, b.initialBackends = r.MeanSessionLoad, r.LoadSamples, r.EstimatedCapacity, r.ListedBackends
	e.established, e.establishedSpan, e.establishedAsOf, e.concurrencyLimit, e.concurrencyReducedAt = r.EstablishedSessions, r.EstablishedSpan, min(r.EstablishedAsOf, now), r.ConcurrencyLimit, r.ConcurrencyReducedAt
	if e.budget != nil && len(r.BudgetSessions) > 0 {
		e.budget.currentSlot = decodeMissing(r.BudgetSlot, math.Inf(-1))
		copy(e.budget.sessions[:], r.BudgetSessions)
		copy(e.budget.retries[:], r.BudgetRetries)
	}
	// What the other has saved up for cold servers it has not handed out since, and neither is it given twice.
	b.slowStart.requestedAt = max(min(r.SlowStartRequestedAt, now), r.TakenAt)
	for key, load := range r.EndedSessionLoads {
		s.endedLoads.store(now, endedLoadRetention, key, load)
	}
	for _, one := range r.Backends {
		i, known := b.indexByID[one.ID]
		if !known || b.startedAt[i] != one.StartedAt {
			continue
		}
		p.loads[i], p.reportedAt[i] = decodeMissing(one.Load, math.NaN()), decodeMissing(one.ReportedAt, math.Inf(-1))
		p.polledAt[i] = decodeMissing(one.PolledAt, math.Inf(-1))
		b.outliers.consecutiveFailures[i], b.outliers.sessionsLost[i] = one.ConsecutiveFailures, one.SessionsLost
		b.outliers.meanEvidence += (one.OutlierEvidence - b.outliers.evidence[i]) / float64(len(b.ids))
		b.outliers.evidence[i] = one.OutlierEvidence
		if one.SlowStartAt >= 0 {
			b.startSlowStart(i, one.SlowStartAt)
		}
		p.recentAssignments[i] = p.recentAssignments[i][:0]
		for _, x := range one.RecentAssignments {
			p.recentAssignments[i] = append(p.recentAssignments[i], assignment{x.At, x.Load})
		}
		p.dropReported(i, p.reportedAt[i]-p.maxReportAge)
		b.updateTracking(i)
	}
	b.roundRobin.invalidate()
	return nil
}
