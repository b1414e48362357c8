package relay

import (
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

// This file handles established sessions: it forwards data both ways, detects backends that fall silent, and migrates
// clients before their backend or this relay goes away. No session is migrated to balance load.

const (
	reestablishTimeout        = 38000.0 // ms to reestablish a session from before the start; it counts as lost 2 s later
	reestablishInterval       = 500.0   // ms between two tries to reestablish a session
	reestablishConnectTimeout = 4       // multiple of the connect timeout for such a try: the backend may still be starting
	replyTimeout              = 4000.0  // ms for a reply to a client's line; a client must be moved within 7 s of silence
	clientIdleTimeout         = 20000.0 // ms without data after which a client is migrated: ten of its lines are missing
	announcedEndTimeout       = 500.0   // ms for a backend to close after BYE or MOVE; the protocol allows one second
	transferRecheckInterval   = 50.0    // ms until a migration is tried again that was due while the session was handed off
)

const moveAnswer = "MOVE\r\n"

// reestablish resumes a session at the backend that already has it, which the client's request names.
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

// retryReestablish tries again after reestablishInterval, as the session is lost unless its backend is found. A session
// with no time left for that fails.
func (m *StateMachine) retryReestablish(session *session) {
	if m.now+reestablishInterval >= session.deadline {
		m.Execute(session, balancer.Decision{Kind: balancer.Fail})
		return
	}
	session.stateTimer.fire = func() { m.tryReestablish(session) }
	m.timers.set(&session.stateTimer, m.now+reestablishInterval)
}

// establish handles a backend's acceptance of a session; line is the backend's answer.
func (m *StateMachine) establish(session *session, line []byte) {
	if session.clientConn == nil { // the client left during an attempt that could not be canceled
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
	case m.lifecycle.isDraining():
		m.timers.set(&session.migrationTimer, max(m.now, m.migrationTime(0, 1)))
	case conn.backend.condition != balancer.Ready:
		m.timers.set(&session.migrationTimer, m.now)
	}
}

// addEstablished sets up a session that has become established, here or earlier at the parent process.
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

// forwardToBackend forwards a client's data, and expects a reply within replyTimeout.
func (m *StateMachine) forwardToBackend(session *session, data []byte) {
	m.ClientChunks++
	m.write(session.backendConn, data)
	m.timers.set(&session.clientConn.deadline, m.now+clientIdleTimeout)
	if !session.stateTimer.isSet() {
		m.timers.set(&session.stateTimer, m.now+replyTimeout)
	}
}

// forwardToClient forwards a backend's data in whole lines, so that a line of the relay itself never splits one of
// them.
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

// inspectLine acts on lines of a backend that concern the relay as well: load, and announced ends.
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
		m.handleAnnouncedEnd(session, BackendFinished)
	case verbMove:
		m.handleAnnouncedEnd(session, BackendMovedClient)
	}
}

// handleAnnouncedEnd handles a backend's announcement that the session is over. What the backend sends after it is
// dropped, and the session ends after announcedEndTimeout if the backend has not closed by then.
func (m *StateMachine) handleAnnouncedEnd(session *session, reason EndReason) {
	session.endReason = reason
	session.endAnnounced = true
	session.stateTimer.fire = func() { m.endSession(session, reason, gracefully) }
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

// endSession ends an established session, and closes those of its connections that are still open.
func (m *StateMachine) endSession(session *session, reason EndReason, mode closeMode) {
	m.EndReasons[reason]++
	m.Established--
	m.releaseAffinity(session, reason)
	backend := session.backendConn.backend
	index := slices.Index(backend.sessions, session)
	backend.sessions = slices.Delete(backend.sessions, index, index+1)
	m.removeSession(session)
	if session.clientConn != nil {
		m.dropConn(session.clientConn, mode)
	}
	m.dropConn(session.backendConn, mode)
	m.queue.dispatcher.AttemptFinished(m.now, session, reason.outcome(), true)
}

// migrate tells the client to connect again, so that it is assigned elsewhere. If the backend has announced the end of
// the session, the session just ends.
func (m *StateMachine) migrate(session *session, reason EndReason) {
	switch {
	case session.state == handingOff: // the child may own the session by now, and with it what the client is told
		m.timers.set(&session.migrationTimer, m.now+transferRecheckInterval)
		return
	case session.endAnnounced:
		m.endSession(session, session.endReason, gracefully)
		return
	}
	m.Migrated++
	m.write(session.clientConn, []byte(moveAnswer))
	m.endSession(session, reason, gracefully)
}

// migrateFromSilent migrates the sessions of a backend that answers neither polls nor clients' lines, if the balancer
// counts it as gone. Unanswered polls alone are not enough, as a backend may stop answering polls and still serve its
// sessions: a client's line must be waiting for a reply, too.
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

// scheduleMigration schedules the migration of a session whose backend is draining or gone, unless one is scheduled
// already. index is the session's position among those of the backend, from 0.
func (m *StateMachine) scheduleMigration(backend *backend, session *session, index int) {
	if backend.condition != balancer.Ready && !session.migrationTimer.isSet() {
		m.timers.set(&session.migrationTimer, m.now+m.balancer().BackendDrainDelay(index, len(backend.sessions)))
	}
}
