package audit

import (
	"strings"

	"valeshift/internal/testbed/experiment"
)

// Answers that a request may get.
const (
	answerUp    = "UP"
	answerBusy  = "BUSY"
	answerError = "ERR"

	noticeMove = "MOVE"
)

// session is what was seen of one session, from its request on.
type session struct {
	relay          int
	incarnation    int // incarnation of the relay at the request
	effect         experiment.Effect
	operation      *operation
	requestedAt    float64
	dueAt          float64 // time by which the answer is due: the hard limit
	answer         string  // verb of the answer; empty: none yet
	isOver         bool    // the client's connection has ended
	isMoved        bool    // the client was told to reconnect
	isClosed       bool    // its backend has ended it
	wasUnreachable bool    // a backend that it had an attempt at was unreachable
	wasFrozen      bool    // the machine stopped its relay's process meanwhile
	effects        int     // number of times that its request was executed
	attempts       []attempt
	lastLines      [2]int // numbers of the last lines received, to the backend and to the client
}

// operation is all requests of a client until one is answered UP: together they are to have one effect.
type operation struct {
	client        *client
	effects       int     // number of times that its requests were executed
	lastRequestAt float64 // time of its last request
}

// client is what was seen of one client.
type client struct {
	backend string // backend of its last session; empty: it had none
}

// isExcused reports whether a session that was not answered or was cut off is excused: the relay has died since the
// request or was stopped by the machine, or it had died just before the request, when the client could not know.
func (a *Auditor) isExcused(s *session) bool {
	relay := a.relay(s.relay)
	if s.wasFrozen || relay.incarnation != s.incarnation {
		return true
	}
	return s.incarnation > 0 && s.requestedAt < relay.diedAt+a.slack
}

// RequestSent is called when a client has requested a session from a relay. The name of the operation is the
// client's name, a slash and a number.
func (a *Auditor) RequestSent(now float64, id, operationName string, relay int, effect experiment.Effect, wait float64) {
	a.sweep(now)
	a.Requests++
	if a.sessions[id] != nil {
		a.report(FinalAnswer, now, id, "a client used one id twice: the testbed is at fault")
	}
	op := a.operation(operationName)
	op.lastRequestAt = now
	state := a.relay(relay)
	a.sessions[id] = &session{
		relay:       relay,
		incarnation: state.incarnation,
		effect:      effect,
		operation:   op,
		requestedAt: now,
		dueAt:       now + wait,
		wasFrozen:   state.isFrozen,
	}
}

func (a *Auditor) operation(name string) *operation {
	op := a.operations[name]
	if op != nil {
		return op
	}
	clientName, _, _ := strings.Cut(name, "/")
	c := a.clients[clientName]
	if c == nil {
		c = &client{}
		a.clients[clientName] = c
	}
	op = &operation{client: c}
	a.operations[name] = op
	return op
}

// ResponseReceived is called when a client has received the first line of a session.
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

// NoticeReceived is called when a client has received a further line that is none of the backend's numbered ones.
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
	case s.answer == answerUp && !s.isMoved && !s.isClosed && !s.wasUnreachable:
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
