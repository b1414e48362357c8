// Package dispatch connects the balancer with a driver, which is the simulator's (package adapter) or the
// relay's state machine (package relay). For the sessions of one relay it asks the balancer for decisions, asks
// again for queued sessions, and has the driver carry out decisions and due actions. Both drivers use it, so
// that the same observations lead to the same decisions. It makes no decisions itself and is independent of the
// transport. Times and durations are in milliseconds.
package dispatch

import (
	"math"

	"valeshift/balancer"
)

// Entry is a Dispatcher's state of one session. The driver embeds it in its own session type.
type Entry struct {
	balancer.Session
	Attempt int     // number of the latest attempt, which may be in flight, from 0
	retryAt float64 // when to call Assign for the session again; +Inf if it is not queued
}

// DispatchEntry implements Session for the types that embed an Entry.
func (e *Entry) DispatchEntry() *Entry { return e }

// Session is the driver's session type, which embeds an Entry.
type Session interface {
	comparable
	DispatchEntry() *Entry
}

// Driver carries out the balancer's decisions and actions.
type Driver[S Session] interface {
	// Execute carries out a decision other than Queue. After any decision but Assign the session is over.
	Execute(session S, decision balancer.Decision)
	// Poll requests a load report from the backend with that ID.
	Poll(id uint32)
	// Subscribe requests the endpoint list.
	Subscribe()
}

// Dispatcher manages the sessions of one relay. It is not safe for concurrent use.
type Dispatcher[S Session] struct {
	Balancer     Balancer
	driver       Driver[S]
	queued       []S  // may include sessions that Forget was called for
	pollAnswered bool // a poll was answered since the last Advance; queued sessions may be waiting for that
}

// NewDispatcher returns a Dispatcher without sessions.
func NewDispatcher[S Session](b Balancer, driver Driver[S]) *Dispatcher[S] {
	return &Dispatcher[S]{Balancer: b, driver: driver}
}

// Assign asks the balancer where the session goes, and has the decision carried out.
func (d *Dispatcher[S]) Assign(now float64, session S) {
	d.apply(now, session, d.Balancer.Assign(now, &session.DispatchEntry().Session))
}

// AttemptFinished reports the outcome of an attempt, or of the session that it established, to the balancer and
// has its decision carried out. If last is set, the session is over.
func (d *Dispatcher[S]) AttemptFinished(now float64, session S, outcome balancer.AttemptOutcome, last bool) {
	d.apply(now, session, d.Balancer.AttemptFinished(now, &session.DispatchEntry().Session, outcome, last))
}

// PollFinished reports the end of a load poll.
func (d *Dispatcher[S]) PollFinished(now float64, id uint32, ok bool, report []float64) {
	d.pollAnswered = true
	d.Balancer.PollFinished(now, id, ok, report)
}

// Forget removes the session from the queue.
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

// Advance retries the queued sessions that are due, has due actions carried out, and returns the time of its
// next call.
func (d *Dispatcher[S]) Advance(now float64) float64 {
	d.retryQueued(now)
	wake := now + d.runActions(now)
	for _, session := range d.queued {
		wake = min(wake, session.DispatchEntry().retryAt)
	}
	return wake
}

// retryQueued calls Assign for the queued sessions that are due, or for all of them after an answered poll.
func (d *Dispatcher[S]) retryQueued(now float64) {
	waiting := d.queued
	d.queued = d.queued[len(d.queued):] // Assign appends behind the sessions being iterated over
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

// runActions has actions carried out until none is due, and returns how long to wait for the next one.
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
