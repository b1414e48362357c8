package balancer

import (
	"math"

	"valeshift/internal/admission"
)

// This file is how the balancer takes what outlives a relay: what was learnt before its start, a list that
// discovery has not confirmed, the loss of the whole fleet. What follows of those for cold servers is decided
// in admit; nothing is decided here.

const maxEstimateGrowth = 1.25 // of what was kept, that one life passes on

// Estimates is what a relay knows of servers and links in general, not of any one: a hint to one just back.
type Estimates struct {
	Capacity        float64   `json:"Capacity"` // of a server, microseconds of work a second; 0: not known
	MeanSessionLoad float64   `json:"LoadMean"` // of a link
	ClassLoads      []float64 `json:"Loads"`
	ClassSamples    []float64 `json:"Weighed"`

	// OwnLoad and Figures are of warm servers: the load of this relay's links that figures hold, and their sum.
	OwnLoad      float64 `json:"Own"`
	ReportedLoad float64 `json:"Figures"`
}

// Estimates gives what this relay has learnt, for its next life and for others. With too few links for a word of
// its own, or while the fleet recovers, it passes on what it was told, and later no more than a part above
// it: against guesses of the first seconds, when servers' figures hold few of the links sent there, growing
// from one life to the next where power is lost over and over.
func (b *Balancer) Estimates() Estimates {
	s := b.quotas
	l := Estimates{Capacity: b.capacity, MeanSessionLoad: s.meanSessionLoad, ClassLoads: append([]float64{}, s.classLoads...),
		ClassSamples: append([]float64{}, s.classSamples...)}
	for i, c := range b.states {
		warm := b.slowStart.startedAt[i]+b.slowStart.duration <= b.roundRobin.builtAt
		if c == Ready && warm && b.outliers.isHealthy(i) && !math.IsNaN(b.poller.loads[i]) {
			l.OwnLoad += max(b.sessionLoads[i]-b.poller.unreportedLoads[i], 0)
			l.ReportedLoad += b.poller.loads[i]
		}
	}
	kept := b.admission.Capacity()
	switch {
	case s.loadSamples < confidentSessions, kept > 0 && (s.loadSamples < 2*confidentSessions || b.admission.ShouldRedraw()):
		l.Capacity = kept
	case kept > 0:
		l.Capacity = min(l.Capacity, maxEstimateGrowth*kept)
	}
	return l
}

// RestoreEstimates takes what was learnt before this start, here or at another relay; what this life has learnt itself
// goes before it.
func (b *Balancer) RestoreEstimates(l Estimates) bool {
	s := b.quotas
	good := func(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
	if !good(l.Capacity) || !good(l.MeanSessionLoad) || s.loadSamples >= confidentSessions || len(l.ClassLoads) != len(s.classLoads) ||
		len(l.ClassSamples) != len(s.classSamples) {
		return false
	}
	for i := range l.ClassLoads {
		if !(l.ClassLoads[i] >= 0 && l.ClassSamples[i] >= 0) || math.IsInf(l.ClassLoads[i], 1) {
			return false
		}
	}
	b.admissionControl().SetCapacity(l.Capacity)
	copy(s.classLoads, l.ClassLoads)
	for i, w := range l.ClassSamples {
		s.classSamples[i] = min(w, 50)
	}
	s.meanSessionLoad, s.loadSamples = l.MeanSessionLoad, confidentSessions
	b.roundRobin.invalidate()
	return true
}

func (b *Balancer) admissionControl() *admission.Controller {
	if b.admission == nil {
		b.admission = admission.New()
	}
	return b.admission
}

// SetRecovering takes that the whole fleet lost power, or has recovered, and which part of what cold servers bear
// this relay is to take; 0: an even one. Where servers can't be asked for their load nothing follows of it:
// their figures are what shows a cold server that it has had enough, whatever was kept.
func (b *Balancer) SetRecovering(on bool, part float64) {
	b.admissionControl().SetRecovering(on && b.poller.enabled, part, b.slowStart.relays)
}

// WarmingUp counts the servers that links are sent to, and those of them that are cold.
func (b *Balancer) WarmingUp(now float64) (cold, usable int) {
	for _, s := range b.warmingBackends(now) {
		if b.states[s] == Ready && b.outliers.isHealthy(s) {
			cold++
		}
	}
	return cold, b.tracker.usable
}

// AssumeRetriesSpent takes that this relay may have served until just before its start: the tries that its last life may
// have spent count here, so that the budget holds in a window that covers both.
func (b *Balancer) AssumeRetriesSpent(now float64) { b.attempts.budget.assumeSpent(now) }

// AssumeEndpoints takes that the servers listed now are from a list that was kept: whether one has restarted since,
// nobody has told yet, so that each is held to have started now. Against cold servers taken for warm.
func (b *Balancer) AssumeEndpoints(now float64) {
	if b.assumedStarts == nil {
		b.assumedStarts = map[int]bool{}
	}
	for s := range b.inUpdate {
		if b.inUpdate[s] {
			b.assumedStarts[s], b.startedAt[s] = true, now
			b.startSlowStart(s, now)
		}
	}
}

// confirmStart takes discovery's word on when a server started, where that was only supposed.
func (b *Balancer) confirmStart(s int, started float64) {
	if !b.assumedStarts[s] {
		return
	}
	delete(b.assumedStarts, s)
	b.startedAt[s], b.slowStart.startedAt[s] = started, math.Inf(-1)
	if started > 0 {
		b.startSlowStart(s, started)
	}
	b.updateTracking(s)
}

// Pause has links wait until then, those that have the time: what this relay knows may be long out of date,
// and what is new waits to be read. Against a process that was stopped sending on to servers that have left
// since.
func (b *Balancer) Pause(until float64) { b.pausedUntil = until }

// ShiftStartTimes takes that all starts that were told are to be read later by that much, as this relay's clock is off.
// What it saw of restarts itself is by its own clock and stays.
func (b *Balancer) ShiftStartTimes(by float64) {
	for s, started := range b.startedAt {
		if started == 0 || b.assumedStarts[s] {
			continue
		}
		own := b.slowStart.startedAt[s]
		b.startedAt[s] = started + by
		if !(own > started) { // else it was seen to have restarted since
			own = math.Inf(-1)
		}
		b.startSlowStart(s, max(own, b.startedAt[s]))
		b.updateTracking(s)
	}
}

// SetMaxReportAge takes how old a report may be, where somebody knows.
func (b *Balancer) SetMaxReportAge(most float64) { b.poller.maxReportAge = most }

// UnreportedLoad is the load that this relay has placed and figures may not hold yet.
func (b *Balancer) UnreportedLoad() float64 { return b.poller.unreportedTotal }

// SetRemoteLoad takes what the other relays have placed so, by their own words; below 0: they don't say.
func (b *Balancer) SetRemoteLoad(load float64) { b.poller.remoteUnreported = load }

// Reservations gives who was told to come again when, by key; Promised takes whom the last life told so.
func (b *Balancer) Reservations(now float64) map[uint64]float64 {
	return b.admission.Reservations(now, maxStoredKeys)
}

// DropReservation has it forget whom it told so, by that key.
func (b *Balancer) DropReservation(key uint64) { b.admission.DropReservation(key) }

// RestoreReservations takes that.
func (b *Balancer) RestoreReservations(now float64, told map[uint64]float64) {
	if len(told) > 0 {
		b.admissionControl().RestoreReservations(now, b.attempts.maxRetryAfter, told)
	}
}

// RecordEarlierAttempt takes, before the link is placed for the first time, that an earlier one of its client's may have run,
// at that server, at that time: it is treated as if that had been its own try. Where the server is not known,
// no scope is.
func (b *Balancer) RecordEarlierAttempt(l *Session, id uint32, at float64) {
	l.earlierAttempt, l.executedAt, l.executedZone, l.executedCell = 1, at, -1, -1
	if s, known := b.indexByID[id]; known {
		l.executedZone, l.executedCell = b.zones[s], b.cells[s]
	}
}

// PreferBackend takes, before the link is placed for the first time, where it or its group stood, by another relay's
// word. It is a hint: it goes before the link's turn at its first try, and only where that server may have
// it.
func (b *Balancer) PreferBackend(l *Session, id uint32) {
	if s, known := b.indexByID[id]; known {
		l.preferred = s + 1
	}
}
