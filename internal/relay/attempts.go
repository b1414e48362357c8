package relay

// This file is the state machine's queue of sessions and their attempts: it asks the balancer, by the dispatcher, and
// does what it decides.

import (
	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/protocol"
)

// sessionQueue owns the sessions from their requests to their ends, and what the balancer has of them.
type sessionQueue struct {
	dispatcher *dispatch.Dispatcher[*session]
	byID       map[string]*session
	sessions   int
	answers    []answerCounts // by class
}

func (q *sessionQueue) countServed(class int)   { q.answers[class].served++ }
func (q *sessionQueue) countRejected(class int) { q.answers[class].refused++ }
func (q *sessionQueue) countFailed(class int)   { q.answers[class].failed++ }

// balancer decides where sessions go.
func (m *StateMachine) balancer() dispatch.Balancer { return m.queue.dispatcher.Balancer }

// addSession counts a session from now on, under that id.
func (m *StateMachine) addSession(session *session, id string) {
	session.id = id
	m.queue.sessions++
	m.queue.byID[id] = session
}

// removeSession ends a session: nothing of it is waited for any more.
func (m *StateMachine) removeSession(session *session) {
	if session.state != finished && session.state != awaitingRequest {
		m.queue.sessions--
		delete(m.queue.byID, session.id)
	}
	m.enter(session, finished)
	m.queue.dispatcher.Forget(session)
	m.timers.stop(&session.stateTimer)
	m.timers.stop(&session.migrationTimer)
}

// assign has the balancer assign a session that waited for other relays' answers.
func (m *StateMachine) assign(session *session) {
	m.timers.stop(&session.stateTimer)
	session.pendingLookups = 0
	m.enter(session, queued)
	m.queue.dispatcher.Assign(m.now, session)
}

// Execute carries out what the balancer decided on a session; the dispatcher calls it.
func (m *StateMachine) Execute(session *session, decision balancer.Decision) {
	switch decision.Kind {
	case balancer.Assign:
		m.startAttempt(session, m.endpoints.byID[decision.Backend], decision.Timeout)
	case balancer.Reject:
		m.Rejected++
		m.queue.countRejected(session.Class)
		if !m.replicateRejection(session, decision.Wait) {
			m.sendFinalAnswer(session, formatBusy(decision.Wait))
		}
	case balancer.Fail:
		m.Failed++
		m.queue.countFailed(session.Class)
		m.sendFinalAnswer(session, errorAnswer)
	}
}

// sendFinalAnswer gives the final answer of a session that is not established.
func (m *StateMachine) sendFinalAnswer(session *session, answer string) {
	m.removeSession(session)
	if session.clientConn != nil {
		m.write(session.clientConn, []byte(answer))
		m.dropConn(session.clientConn, gracefully)
	}
}

// startAttempt sends a session's request to the backend, whose answer has to come within timeout milliseconds.
func (m *StateMachine) startAttempt(session *session, backend *backend, timeout float64) {
	m.Attempts++
	m.enter(session, attempting)
	session.deadline = m.now + timeout
	m.dialForSession(session, backend, m.rules.connectTimeout)
}

// dialForSession dials the backend, which has to be up within that time.
func (m *StateMachine) dialForSession(session *session, backend *backend, within float64) {
	conn := m.dial(backend, session)
	session.backendConn = conn
	conn.deadline.fire = func() { m.finishAttempt(session, ConnectFailed) }
	m.timers.set(&conn.deadline, min(m.now+within, session.deadline))
	m.replicateMarker(session)
}

// sendRequest sends the request now that the backend's connection is up, unless the attempt's marker is to be
// replicated first.
func (m *StateMachine) sendRequest(session *session) {
	if m.awaitMarker(session) {
		return
	}
	conn := session.backendConn
	conn.isUp = true
	if session.state == attempting && conn.backend.hasChangedSince(conn) {
		m.finishAttempt(session, NotSent)
		return
	}
	timeout := session.deadline - m.now
	if session.state == reestablishing {
		timeout = session.request.Timeout
	}
	m.RequestsSent++
	m.effects.writeChunks(conn.id, session.request.EncodeWithTimeout(timeout))
	conn.deadline.fire = func() { m.finishAttempt(session, AttemptTimedOut) }
	m.timers.set(&conn.deadline, session.deadline)
}

// hasChangedSince tells whether the backend has begun to drain since the connection was dialed, or is known by now to
// have restarted: all sessions assigned to it while it was held to be warm would come to it at once.
func (b *backend) hasChangedSince(conn *connection) bool {
	return b.condition != balancer.Ready || b.StartedAt > conn.backendStartedAt
}

// receiveAnswer handles what a backend answers to a request. What follows the answer in one piece is not taken for the
// next attempt's.
func (m *StateMachine) receiveAnswer(session *session, data []byte) {
	for conn := session.backendConn; session.backendConn == conn && session.state != established; {
		line, rest, err := conn.input.Next(data)
		if err != nil {
			m.finishAttempt(session, MalformedAnswer)
			return
		}
		if line == nil {
			return
		}
		data = rest
		m.handleAnswer(session, line)
	}
	if session.state == established && len(data) > 0 {
		m.forwardToClient(session, data)
	}
}

// handleAnswer handles one line of a backend's answer.
func (m *StateMachine) handleAnswer(session *session, line []byte) {
	verb, report := protocol.CutVerb(line)
	if m.rules.reportsInAnswers && (string(verb) == verbErr || string(verb) == verbBusy) {
		m.recordReport(session.backendConn.backend, report)
	}
	switch string(verb) {
	case verbUp:
		m.establish(session, line)
	case verbLoad:
	case verbBusy:
		m.finishAttempt(session, BackendBusy)
	case verbErr:
		m.finishAttempt(session, BackendError)
	case verbMove:
		m.finishAttempt(session, BackendMovedClient)
	default:
		m.finishAttempt(session, MalformedAnswer)
	}
}

// finishAttempt ends the attempt that is out, and has the balancer decide what follows.
func (m *StateMachine) finishAttempt(session *session, why EndReason) {
	m.EndReasons[why]++
	conn := session.backendConn
	session.backendConn = nil
	if conn.isUp {
		m.dropConn(conn, gracefully)
	} else {
		m.dropConn(conn, byReset)
	}
	if session.state == reestablishing {
		m.retryReestablish(session)
		return
	}
	if !conn.isUp || why.outcome().IsUnprocessed() {
		m.releaseMarker(session)
	}
	m.enter(session, queued)
	clientGone := session.clientConn == nil
	if clientGone {
		m.removeSession(session)
	}
	m.queue.dispatcher.AttemptFinished(m.now, session, why.outcome(), clientGone)
}

// clientClosed handles that the client has left, whatever its session waits for.
func (m *StateMachine) clientClosed(session *session, e ConnClosed) {
	how, why := gracefully, ClientClosed
	switch {
	case e.SlowReader:
		how, why = byReset, SlowReader
	case e.Reset:
		how, why = byReset, ClientReset
	}
	conn := session.clientConn
	session.clientConn = nil
	switch session.state {
	case awaitingRequest:
		if conn.input.HasPending() {
			m.RequestErrors[IncompleteRequest]++
		}
		m.stopAwaiting(session, finished)
	case established:
		m.endSession(session, why, how)
	case attempting:
		m.Abandoned++
		m.balancer().ClientDisconnected(&session.Entry.Session)
		if m.rules.canCancel || !session.backendConn.isUp {
			m.finishAttempt(session, ClientReset)
		}
	case queued:
		m.Abandoned++
		m.balancer().ClientDisconnected(&session.Entry.Session)
		m.removeSession(session)
	case replicating, lookingUp:
		m.Abandoned++
		m.removeSession(session)
	case reestablishing:
		m.Abandoned++
		if session.backendConn != nil {
			m.dropConn(session.backendConn, how)
		}
		m.removeSession(session)
	}
}
