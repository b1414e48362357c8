package relay

import (
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

// Established sessions: data that is forwarded both ways, backends that fall silent, and clients that are sent elsewhere
// before their backend or this relay goes away. A session is never migrated to even out load.

// Times are milliseconds.
const (
	reestablishTimeout        = 38000.0 // of a session from before the start; it counts as lost two seconds later
	reestablishInterval       = 500.0
	reestablishConnectTimeout = 4       // times the timeout for a connect, as the backend may be starting
	replyTimeout              = 4000.0  // for a reply to a client's line; a client is to be moved within 7 s of silence
	clientIdleTimeout         = 20000.0 // ten of a client's lines missed
	announcedEndTimeout       = 500.0   // for the end of a connection after BYE or MOVE; the protocol's bound is a second
	transferRecheckInterval   = 50.0    // before a session that may be the child's by then is looked at again
)

const moveAnswer = "MOVE\r\n"

// reestablish asks the backend that has the session already.
func (m *StateMachine) reestablish(session *session) {
	m.enter(session, reestablishing)
	session.deadline = m.now + reestablishTimeout
	m.tryReestablish(session)
}

func (m *StateMachine) tryReestablish(session *session) {
	backend := m.endpoints.byName[string(session.request.StickyBackend)]
	if backend == nil || backend.Address == "" {
		m.retryReestablish(session)
		return
	}
	m.dialForSession(session, backend, reestablishConnectTimeout*m.rules.connectTimeout)
}

// retryReestablish tries again after a while, as the session is lost if its backend isn't found; at the end it fails.
func (m *StateMachine) retryReestablish(session *session) {
	if m.now+reestablishInterval >= session.deadline {
		m.Execute(session, balancer.Decision{Kind: balancer.Fail})
		return
	}
	session.stateTimer.fire = func() { m.tryReestablish(session) }
	m.timers.set(&session.stateTimer, m.now+reestablishInterval)
}

// establish handles that the backend has accepted the session; line is its answer.
func (m *StateMachine) establish(session *session, line []byte) {
	if session.clientConn == nil { // gone, with an attempt that could not be canceled
		m.finishAttempt(session, ClientReset)
		return
	}
	conn := session.backendConn
	m.timers.stop(&conn.deadline)
	if session.state == reestablishing {
		m.Reestablished++
		m.balancer().SessionResumed(m.now, &session.Entry.Session, conn.backend.id)
	} else {
		m.Succeeded++
		m.balancer().SessionEstablished(m.now, &session.Entry.Session)
		m.releaseMarker(session)
		m.replicateAffinity(session)
	}
	m.queue.countServed(session.Class)
	m.write(session.clientConn, line)
	session.request = protocol.Request{}
	m.addEstablished(session)
	switch {
	case m.siblings.yielded:
		m.requestTransfer(session)
		m.timers.set(&session.migrationTimer, max(m.now+drainGrace, m.migrationTime(0, 1)))
	case m.drain.isActive():
		m.timers.set(&session.migrationTimer, max(m.now, m.migrationTime(0, 1)))
	case conn.backend.condition != balancer.Ready:
		m.timers.set(&session.migrationTimer, m.now)
	}
}

// addEstablished does what is due for every session that becomes established, here or at the parent.
func (m *StateMachine) addEstablished(session *session) {
	m.enter(session, established)
	m.Established++
	backend := session.backendConn.backend
	backend.sessions = append(backend.sessions, session)
	session.stateTimer.fire = func() { m.migrate(session, BackendSilent) }
	session.migrationTimer.fire = func() { m.migrate(session, RelayMovedClient) }
	session.clientConn.deadline.fire = func() { m.migrate(session, RelayMovedClient) }
	m.timers.set(&session.clientConn.deadline, m.now+clientIdleTimeout)
}

// forwardToBackend sends on what the client sent, and has a reply awaited.
func (m *StateMachine) forwardToBackend(session *session, data []byte) {
	m.ClientChunks++
	m.write(session.backendConn, data)
	m.timers.set(&session.clientConn.deadline, m.now+clientIdleTimeout)
	if !session.stateTimer.isSet() {
		m.timers.set(&session.stateTimer, m.now+replyTimeout)
	}
}

// forwardToClient sends on whole lines, so that a line of the relay's own always falls between two of them.
func (m *StateMachine) forwardToClient(session *session, data []byte) {
	session.backendConn.backend.lastDataAt = m.now
	for len(data) > 0 && session.state == established && !session.endAnnounced {
		line, rest, err := session.backendConn.input.Next(data)
		if err != nil {
			m.log("line too long from a backend", "backend", session.backendConn.backend.Name)
			m.endSession(session, MalformedAnswer, byReset)
			return
		}
		if line == nil {
			return
		}
		data = rest
		m.timers.stop(&session.stateTimer)
		m.BackendLines++
		m.write(session.clientConn, line)
		m.inspectLine(session, line)
	}
}

// inspectLine handles what a backend's line says to the relay.
func (m *StateMachine) inspectLine(session *session, line []byte) {
	verb, rest := protocol.CutVerb(line)
	switch string(verb) {
	case verbLoad:
		if load, ok := protocol.ParseLoad(rest); ok {
			m.balancer().LoadMeasured(&session.Entry.Session, load)
		}
	case verbBye:
		if m.rules.reportsInAnswers {
			m.recordReport(session.backendConn.backend, rest)
		}
		m.announceEnd(session, BackendFinished)
	case verbMove:
		m.announceEnd(session, BackendMovedClient)
	}
}

// announceEnd handles that the backend says that the session is over. What it sends after that is dropped.
func (m *StateMachine) announceEnd(session *session, why EndReason) {
	session.endReason = why
	session.endAnnounced = true
	session.stateTimer.fire = func() { m.endSession(session, why, gracefully) }
	m.timers.set(&session.stateTimer, m.now+announcedEndTimeout)
}

// backendClosed handles the end of an established session's backend connection.
func (m *StateMachine) backendClosed(session *session, e ConnClosed) {
	switch {
	case session.endAnnounced:
		m.endSession(session, session.endReason, gracefully)
	case e.SlowReader:
		m.endSession(session, SlowReader, byReset)
	case e.Reset:
		m.endSession(session, BackendClosed, byReset)
	default:
		m.endSession(session, BackendClosed, gracefully)
	}
}

// endSession ends an established session, on whichever sides are still open.
func (m *StateMachine) endSession(session *session, why EndReason, how closeMode) {
	m.EndReasons[why]++
	m.Established--
	m.releaseAffinity(session, why)
	backend := session.backendConn.backend
	index := slices.Index(backend.sessions, session)
	backend.sessions = slices.Delete(backend.sessions, index, index+1)
	m.removeSession(session)
	if session.clientConn != nil {
		m.dropConn(session.clientConn, how)
	}
	m.dropConn(session.backendConn, how)
	m.queue.dispatcher.AttemptFinished(m.now, session, why.outcome(), true)
}

// migrate has the client come again, to be assigned elsewhere. One whose backend has announced the end is only ended.
func (m *StateMachine) migrate(session *session, why EndReason) {
	switch {
	case session.state == handingOff: // what its client is told may be the child's to say
		m.timers.set(&session.migrationTimer, m.now+transferRecheckInterval)
		return
	case session.endAnnounced:
		m.endSession(session, session.endReason, gracefully)
		return
	}
	m.Migrated++
	m.write(session.clientConn, []byte(moveAnswer))
	m.endSession(session, why, gracefully)
}

// migrateFromSilent migrates the sessions of a backend that answers neither polls nor lines, where the balancer holds it
// to be lost. A line that waits for its reply must show it too: a backend may tire of polls.
func (m *StateMachine) migrateFromSilent(backend *backend) {
	silence := 0.0
	for _, session := range backend.sessions {
		if session.stateTimer.isSet() && !session.endAnnounced {
			silence = max(silence, m.now-session.stateTimer.at+replyTimeout)
		}
	}
	if !m.balancer().IsUnresponsive(backend.id, min(silence, m.now-backend.lastDataAt)) {
		return
	}
	m.log("backend fell silent", "backend", backend.Name, "sessions", len(backend.sessions))
	for _, session := range slices.Clone(backend.sessions) {
		m.migrate(session, BackendSilent)
	}
}

// scheduleMigration has a session migrated whose backend drains or is gone, if that is not scheduled yet. It is the
// nth of the backend's.
func (m *StateMachine) scheduleMigration(backend *backend, session *session, nth int) {
	if backend.condition != balancer.Ready && !session.migrationTimer.isSet() {
		m.timers.set(&session.migrationTimer, m.now+m.balancer().BackendDrainDelay(nth, len(backend.sessions)))
	}
}
