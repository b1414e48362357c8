// Package dispatch keeps the links that a driver has in hand for one relay: it puts them to the module, asks
// again about those held, and asks what is due until nothing is. Both drivers, the wire's and the sockets',
// stand on it, so that the same decisions come of the same news. It decides nothing and knows no wire.
package dispatch

import (
	"math"

	"valeshift/balancer"
)

// Entry is the part of a driver's link that stands here; the driver embeds it.
type Entry struct {
	balancer.Session
	Attempt int     // number of the setup try that is out, or was last
	retryAt float64 // when to ask again, while it is held
}

// DispatchEntry is the link's own part.
func (l *Entry) DispatchEntry() *Entry { return l }

// Session is a driver's link.
type Session interface {
	comparable
	DispatchEntry() *Entry
}

// Driver does what the module answers.
type Driver[L Session] interface {
	// Execute does an answer that isn't to hold; after any but a send the link is no longer in hand.
	Execute(l L, a balancer.Decision)
	Poll(id uint32)
	Subscribe()
}

// Balancer decides. In service it is the balancer package; the testbed compares others with it.
type Balancer interface {
	Assign(now float64, l *balancer.Session) balancer.Decision
	AttemptFinished(now float64, l *balancer.Session, outcome balancer.AttemptOutcome, last bool) balancer.Decision
	NextAction(now float64) balancer.Action

	BeginEndpointUpdate(whole bool)
	UpdateEndpoint(id uint32, zone int, cond balancer.EndpointState, cell int, started, weight float64)
	EndEndpointUpdate(now float64)
	WatchFailed(now float64)
	PollFinished(now float64, id uint32, ok bool, report []float64)
	PollNotSent(id uint32)
	LoadReported(now float64, id uint32, report []float64)
	SessionEstablished(now float64, l *balancer.Session)
	LoadMeasured(l *balancer.Session, load float64)
	SessionResumed(now float64, l *balancer.Session, id uint32)
	SessionReceived(now float64, l *balancer.Session, id uint32, load float64, measured bool)
	ClientDisconnected(l *balancer.Session) bool

	DrainDelay(nth, of int, within float64) float64
	IsUnresponsive(id uint32, quiet float64) bool
	BackendStatus(id uint32) (links int, heard float64, out bool)
	HasClass(category int) bool
	Counts() (listed, avoided int)
	IsReady(now float64) bool
	SetDraining(on bool)
	Snapshot(now float64) balancer.Snapshot
	Estimates() balancer.Estimates
	RestoreEstimates(l balancer.Estimates) bool
	SetRecovering(on bool, part float64)
	WarmingUp(now float64) (cold, usable int)
	AssumeRetriesSpent(now float64)
	AssumeEndpoints(now float64)
	// ShiftStartTimes takes that starts which were told are to be read later by that much.
	ShiftStartTimes(by float64)
	// Pause has links wait until then, those that have the time.
	Pause(until float64)
	// SetMaxReportAge takes how old a server's report may be, ms.
	SetMaxReportAge(most float64)
	// UnreportedLoad and Others are the load that figures may not hold yet, of this relay and of the others together.
	UnreportedLoad() float64
	SetRemoteLoad(load float64)
	// SetZoneWeights has links meant for zones by those parts; Zones gives what was seen of each zone, and this
	// relay's load.
	SetZoneWeights(parts []balancer.ZoneWeight)
	ZoneObservations(now float64) (all []balancer.ZoneObservation, demand float64)
	Reservations(now float64) map[uint64]float64
	RestoreReservations(now float64, told map[uint64]float64)
	DropReservation(key uint64)
	// RecordEarlierAttempt takes, before the link is placed, that an earlier one of its client's may have run there and then.
	RecordEarlierAttempt(l *balancer.Session, id uint32, at float64)
	// PreferBackend takes, before the link is placed, where it or its group stood: a hint.
	PreferBackend(l *balancer.Session, id uint32)
	Restore(now float64, r *balancer.Snapshot) error
}

// Dispatcher is what one relay has in hand.
type Dispatcher[L Session] struct {
	Balancer     Balancer
	driver       Driver[L]
	queued       []L
	pollAnswered bool // a probe was, for which held links may wait
}

// NewDispatcher joins the module and its driver.
func NewDispatcher[L Session](b Balancer, driver Driver[L]) *Dispatcher[L] {
	return &Dispatcher[L]{Balancer: b, driver: driver}
}

// Assign asks where the link goes.
func (t *Dispatcher[L]) Assign(now float64, l L) {
	t.apply(now, l, t.Balancer.Assign(now, &l.DispatchEntry().Session))
}

// AttemptFinished tells the outcome of a setup try, or of its link, and does what follows.
func (t *Dispatcher[L]) AttemptFinished(now float64, l L, outcome balancer.AttemptOutcome, last bool) {
	t.apply(now, l, t.Balancer.AttemptFinished(now, &l.DispatchEntry().Session, outcome, last))
}

// PollFinished tells the answer to a probe.
func (t *Dispatcher[L]) PollFinished(now float64, id uint32, ok bool, report []float64) {
	t.pollAnswered = true
	t.Balancer.PollFinished(now, id, ok, report)
}

// Forget has nothing asked about the link again.
func (t *Dispatcher[L]) Forget(l L) { l.DispatchEntry().retryAt = math.Inf(1) }

func (t *Dispatcher[L]) apply(now float64, l L, a balancer.Decision) {
	h := l.DispatchEntry()
	h.retryAt = math.Inf(1)
	switch a.Kind {
	case balancer.Queue:
		h.retryAt = now + a.Wait
		t.queued = append(t.queued, l)
		return
	case balancer.Assign:
		h.Attempt = a.Attempt
	}
	t.driver.Execute(l, a)
}

// Advance asks again about held links, has sent what is due, and tells when to look again.
func (t *Dispatcher[L]) Advance(now float64) float64 {
	waiting := t.queued
	t.queued = t.queued[len(t.queued):]
	for _, l := range waiting {
		if again := l.DispatchEntry().retryAt; again <= now || (t.pollAnswered && !math.IsInf(again, 1)) {
			t.Assign(now, l)
		} else if !math.IsInf(again, 1) {
			t.queued = append(t.queued, l)
		}
	}
	t.pollAnswered = false
	due := t.Balancer.NextAction(now)
	for ; due.Poll || due.Subscribe; due = t.Balancer.NextAction(now) {
		if due.Poll {
			t.driver.Poll(due.Backend)
		} else {
			t.driver.Subscribe()
		}
	}
	wake := now + due.Wait
	for _, l := range t.queued {
		wake = min(wake, l.DispatchEntry().retryAt)
	}
	return wake
}
