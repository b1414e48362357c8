package audit

import (
	"strings"

	"valeshift/internal/testbed/experiment"
)

// The answers that a request may get.
const (
	answerUp    = "UP"
	answerBusy  = "BUSY"
	answerError = "ERR"

	noticeMove = "MOVE"
)

// session is what was seen of one session, from its request on.
type session struct {
	relay       int
	incarnation int // of the relay
	effect      experiment.Effect
	errand      *errand
	requestedAt float64
	dueAt       float64
	answer      string // empty: none yet
	isOver      bool   // for the client
	isMoved     bool   // the client was told to reconnect
	isClosed    bool   // by its backend
	wasDark     bool   // it was on a backend while that was unreachable
	wasFrozen   bool   // its relay was stopped by the machine meanwhile
	effects     int
	attempts    []attempt
	lastLines   [2]int // numbers of the last lines that were received, by direction
}

// errand is all that a client asks for until it is answered UP: one effect is meant.
type errand struct {
	client        *client
	effects       int
	lastRequestAt float64
}

// client is what was seen of one client.
type client struct {
	backend string // where it had its last session; empty: nowhere
}

// isExcused tells whether the relay that was asked for the session has died since, or just before, when the
// client could not know, or was stopped.
func (a *Auditor) isExcused(s *session) bool {
	relay := a.relay(s.relay)
	if s.wasFrozen || relay.incarnation != s.incarnation {
		return true
	}
	return s.incarnation > 0 && s.requestedAt < relay.diedAt+a.slack
}

// RequestSent is called when a client has asked a relay for a session. The errand's name is the client's, a
// slash and a number.
func (a *Auditor) RequestSent(now float64, id, errandName string, relay int, effect experiment.Effect, wait float64) {
	a.sweep(now)
	a.Requests++
	if a.sessions[id] != nil {
		a.report(FinalAnswer, now, id, "a client used one id twice: the testbed is at fault")
	}
	e := a.errand(errandName)
	e.lastRequestAt = now
	state := a.relay(relay)
	a.sessions[id] = &session{
		relay:       relay,
		incarnation: state.incarnation,
		effect:      effect,
		errand:      e,
		requestedAt: now,
		dueAt:       now + wait,
		wasFrozen:   state.isFrozen,
	}
}

func (a *Auditor) errand(name string) *errand {
	e := a.errands[name]
	if e != nil {
		return e
	}
	clientName, _, _ := strings.Cut(name, "/")
	c := a.clients[clientName]
	if c == nil {
		c = &client{}
		a.clients[clientName] = c
	}
	e = &errand{client: c}
	a.errands[name] = e
	return e
}

// ResponseReceived is called when a client has received the first line.
func (a *Auditor) ResponseReceived(now float64, id, verb string) {
	s := a.sessions[id]
	if s == nil {
		return
	}
	s.answer = verb
	switch {
	case verb != answerUp && verb != answerBusy && verb != answerError:
		a.report(FinalAnswer, now, id, "%q is no answer", verb)
	case now > s.dueAt+grace+a.slack && !s.wasFrozen:
		a.report(FinalAnswer, now, id, "%s came %.0f ms after the hard limit", verb, now-s.dueAt)
	case verb == answerUp && s.effects == 0:
		a.report(FinalAnswer, now, id, "UP that no backend said")
	case verb == answerBusy && s.effect == experiment.EffectSingleUse && s.effects > 0:
		a.report(AtMostOnce, now, id, "told that a retry is harmless, though the effect was applied")
	}
}

// NoticeReceived is called when a client has received a further line that is none of the backend's numbered
// ones.
func (a *Auditor) NoticeReceived(now float64, id, verb string) {
	s := a.sessions[id]
	if s == nil {
		return
	}
	if verb == noticeMove && s.answer == answerUp {
		s.isMoved = true
		return
	}
	a.report(FinalAnswer, now, id, "%s after %s", verb, s.answer)
}

// ClosedByRelay is called when the relay's side has ended a client's connection.
func (a *Auditor) ClosedByRelay(now float64, id string, reset bool) {
	s := a.sessions[id]
	if s == nil || s.isOver {
		return
	}
	s.isOver = true
	switch {
	case a.isExcused(s):
	case s.answer == "":
		a.report(FinalAnswer, now, id, "ended without an answer")
	case s.answer == answerUp && !s.isMoved && !s.isClosed && !s.wasDark:
		a.report(LineDelivery, now, id, "cut off without MOVE while its backend serves (reset %t)", reset)
	}
}

// ClosedByClient is called when a client has ended its connection.
func (a *Auditor) ClosedByClient(now float64, id string) {
	s := a.sessions[id]
	if s == nil || s.isOver {
		return
	}
	s.isOver = true
	if s.answer == "" && now > s.dueAt+grace && !a.isExcused(s) {
		a.report(FinalAnswer, now, id, "no answer %.0f ms after it was asked", now-s.requestedAt)
	}
}

// ReplacementRejected is called when a relay that is being replaced has not let a client in.
func (a *Auditor) ReplacementRejected(now float64, relay int) {
	a.ReplacementRejections++
	a.report(FinalAnswer, now, "-", "relay %d, being replaced, did not let a client in", relay)
}
