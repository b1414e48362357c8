package relay

// This file takes sessions from their requests to their answers: it asks the balancer, through the dispatcher, where
// each one goes, and makes the attempts at backends.

import (
	"valeshift/balancer"
	"valeshift/internal/dispatch"
	"valeshift/internal/protocol"
)

// sessionQueue holds every session from its request to its end, and the dispatcher that asks the balancer where each goes.
type sessionQueue struct {
	dispatcher *dispatch.Dispatcher[*session]
	byID       map[string]*session // by the ID in the request
	sessions   int                 // open sessions; clients without a request don't count
	answers    []answerCounts      // by class
}

func (q *sessionQueue) countServed(class int)   { q.answers[class].served++ }
func (q *sessionQueue) countRejected(class int) { q.answers[class].rejected++ }
func (q *sessionQueue) countFailed(class int)   { q.answers[class].failed++ }

// balancer returns the balancer, which decides where sessions go.
func (m *StateMachine) balancer() dispatch.Balancer { return m.queue.dispatcher.Balancer }

// addSession registers a session under the ID of its request, and counts it as open.
func (m *StateMachine) addSession(session *session, id string) {
	session.id = id
	m.queue.sessions++
	m.queue.byID[id] = session
}

// removeSession marks a session as finished, unregisters it and stops its timers. It leaves its connections open.
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

// assign has the balancer assign a session whose lookups at other relays are finished or given up.
func (m *StateMachine) assign(session *session) {
	m.timers.stop(&session.stateTimer)
	m.enter(session, queued)
	m.queue.dispatcher.Assign(m.now, session)
}

// Execute carries out the balancer's decision on a session. It implements dispatch.Driver.
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

// sendFinalAnswer ends a session that is not established: a client that is still there gets the answer, and its
// connection is closed.
func (m *StateMachine) sendFinalAnswer(session *session, answer string) {
	m.removeSession(session)
	if session.clientConn != nil {
		m.write(session.clientConn, []byte(answer))
		m.dropConn(session.clientConn, gracefully)
	}
}

// startAttempt starts an attempt at the backend, which must answer within timeout milliseconds.
func (m *StateMachine) startAttempt(session *session, backend *backend, timeout float64) {
	m.Attempts++
	m.enter(session, attempting)
	session.deadline = m.now + timeout
	m.dialForSession(session, backend, m.rules.connectTimeout)
}

// dialForSession dials the backend. The attempt fails if the connection is not established within that many milliseconds,
// or by the session's deadline if that comes first.
func (m *StateMachine) dialForSession(session *session, backend *backend, within float64) {
	conn := m.dial(backend, session)
	session.backendConn = conn
	conn.deadline.fire = func() { m.finishAttempt(session, ConnectFailed) }
	m.timers.set(&conn.deadline, min(m.now+within, session.deadline))
	m.replicateMarker(session)
}

// sendRequest sends the request over the backend's connection, which is established, unless the attempt's marker must be
// replicated first. An attempt whose backend now drains or has restarted ends with nothing sent, and so does a repeat
// that the backend would no longer recognise.
func (m *StateMachine) sendRequest(session *session) {
	if m.deferForMarker(session) {
		return
	}
	conn := session.backendConn
	conn.isConnected = true
	if session.state == attempting && !m.maySend(session) {
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

// maySend reports whether the request may still be sent to the attempt's backend, whose connection is established.
func (m *StateMachine) maySend(session *session) bool {
	conn := session.backendConn
	return !conn.backend.isDrainingOrRestarted(conn) && m.balancer().MayExecute(m.now, &session.Entry.Session)
}

// isDrainingOrRestarted reports whether the backend has begun to drain since the connection was dialed, or has turned
// out to have restarted: otherwise all sessions assigned to it while it seemed warm would reach a cold backend at once.
func (b *backend) isDrainingOrRestarted(conn *connection) bool {
	return b.condition != balancer.Ready || b.StartedAt > conn.backendStartedAt
}

// receiveAnswer handles data that a backend sends in answer to a request. Data behind the answer is forwarded if the
// session is established now. Otherwise it is dropped, and never taken as the answer to the next attempt.
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

// finishAttempt ends the attempt in flight, and has the balancer decide what follows.
func (m *StateMachine) finishAttempt(session *session, reason EndReason) {
	m.EndReasons[reason]++
	conn := session.backendConn
	session.backendConn = nil
	if conn.isConnected {
		m.dropConn(conn, gracefully)
	} else {
		m.dropConn(conn, byReset)
	}
	if session.state == reestablishing {
		m.retryReestablish(session)
		return
	}
	if conn.id == session.markerConn && (!conn.isConnected || reason.outcome().IsUnprocessed()) {
		m.releaseMarker(session)
	}
	m.enter(session, queued)
	clientGone := session.clientConn == nil
	if clientGone {
		m.removeSession(session)
	}
	m.queue.dispatcher.AttemptFinished(m.now, session, reason.outcome(), clientGone)
}

// clientClosed handles the end of a client's connection, in whatever state its session is.
func (m *StateMachine) clientClosed(session *session, e ConnClosed) {
	mode, reason := gracefully, ClientClosed
	switch {
	case e.SlowReader:
		mode, reason = byReset, SlowReader
	case e.Reset:
		mode, reason = byReset, ClientReset
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
		m.endSession(session, reason, mode)
	case attempting:
		m.Abandoned++
		m.balancer().ClientDisconnected(&session.Entry.Session)
		if m.rules.canCancel || !session.backendConn.isConnected {
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
			m.dropConn(session.backendConn, mode)
		}
		m.removeSession(session)
	}
}
