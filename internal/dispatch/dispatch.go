// Package dispatch keeps the sessions that a driver has for one relay: it puts them to the balancer, asks
// again about those that are queued, and has actions carried out until none is due. Both drivers, the
// simulator's (package adapter) and the relay's state machine (package relay), use it, so that the same
// decisions follow from the same observations. It decides nothing and knows no transport. Times and durations
// are milliseconds.
package dispatch

import (
	"math"

	"valeshift/balancer"
)

// Entry is what a Dispatcher keeps of a driver's session; the driver embeds it.
type Entry struct {
	balancer.Session
	Attempt int     // number of the attempt in flight or of the latest one, from 0
	retryAt float64 // when to ask about the session again; +Inf: it is not queued
}

// DispatchEntry returns the entry, for a Dispatcher that knows the driver's session as a Session only.
func (e *Entry) DispatchEntry() *Entry { return e }

// Session is a driver's session, which embeds an Entry.
type Session interface {
	comparable
	DispatchEntry() *Entry
}

// Driver carries out what the balancer decides.
type Driver[S Session] interface {
	// Execute carries out a decision, which is none to queue the session. After any but Assign the session is
	// over.
	Execute(session S, decision balancer.Decision)
	// Poll asks the backend of that ID for its load.
	Poll(id uint32)
	// Subscribe asks for the endpoint list.
	Subscribe()
}

// Dispatcher keeps the sessions of one relay. It is not safe for concurrent use.
type Dispatcher[S Session] struct {
	Balancer     Balancer
	driver       Driver[S]
	queued       []S  // some may have been forgotten since
	pollAnswered bool // since the last Advance: queued sessions may wait for it
}

// NewDispatcher returns a Dispatcher without sessions.
func NewDispatcher[S Session](b Balancer, driver Driver[S]) *Dispatcher[S] {
	return &Dispatcher[S]{Balancer: b, driver: driver}
}

// Assign has the balancer decide where the session goes, and carries that out.
func (d *Dispatcher[S]) Assign(now float64, session S) {
	d.apply(now, session, d.Balancer.Assign(now, &session.DispatchEntry().Session))
}

// AttemptFinished reports the outcome of an attempt, or of the session that it established, and carries out
// what follows. With last the session is over.
func (d *Dispatcher[S]) AttemptFinished(now float64, session S, outcome balancer.AttemptOutcome, last bool) {
	d.apply(now, session, d.Balancer.AttemptFinished(now, &session.DispatchEntry().Session, outcome, last))
}

// PollFinished reports the end of a load poll.
func (d *Dispatcher[S]) PollFinished(now float64, id uint32, ok bool, report []float64) {
	d.pollAnswered = true
	d.Balancer.PollFinished(now, id, ok, report)
}

// Forget has the balancer not asked about the session again.
func (d *Dispatcher[S]) Forget(session S) { session.DispatchEntry().retryAt = math.Inf(1) }

func (d *Dispatcher[S]) apply(now float64, session S, decision balancer.Decision) {
	entry := session.DispatchEntry()
	entry.retryAt = math.Inf(1)
	switch decision.Kind {
	case balancer.Queue:
		entry.retryAt = now + decision.Wait
		d.queued = append(d.queued, session)
		return
	case balancer.Assign:
		entry.Attempt = decision.Attempt
	}
	d.driver.Execute(session, decision)
}

// Advance asks about the queued sessions that are due, has due actions carried out, and returns when to call
// it again.
func (d *Dispatcher[S]) Advance(now float64) float64 {
	d.retryQueued(now)
	wake := now + d.runActions(now)
	for _, session := range d.queued {
		wake = min(wake, session.DispatchEntry().retryAt)
	}
	return wake
}

// retryQueued asks about queued sessions: those whose time has come, or all of them after an answered poll.
func (d *Dispatcher[S]) retryQueued(now float64) {
	waiting := d.queued
	d.queued = d.queued[len(d.queued):] // sessions queued anew go behind those that are walked over
	for _, session := range waiting {
		retryAt := session.DispatchEntry().retryAt
		isForgotten := math.IsInf(retryAt, 1)
		switch {
		case retryAt <= now || (d.pollAnswered && !isForgotten):
			d.Assign(now, session)
		case !isForgotten:
			d.queued = append(d.queued, session)
		}
	}
	d.pollAnswered = false
}

// runActions has actions carried out until none is due, and returns how long to wait for the next.
func (d *Dispatcher[S]) runActions(now float64) float64 {
	for {
		action := d.Balancer.NextAction(now)
		switch action.Kind {
		case balancer.ActionPoll:
			d.driver.Poll(action.Backend)
		case balancer.ActionSubscribe:
			d.driver.Subscribe()
		default:
			return action.Wait
		}
	}
}
