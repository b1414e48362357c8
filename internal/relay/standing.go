package relay

// This file is the part of the reducer for links that stand: lines passed on both ways, silence, and sending
// clients elsewhere before their backend or this relay goes away. It must never move a link to even out load,
// hold a whole line back, or place a link.

import (
	"cmp"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

const (
	replyTimeout            = 4000.0  // of lines that bring nothing back; two more till the first comes, and the bound is 7 s
	clientIdleTimeout       = 20000.0 // ten of a client's lines missed
	announcedEndTimeout     = 500.0   // for the end of a connection after BYE or MOVE; the protocol's bound is a second
	drainGrace              = 500.0   // clients still come for this long after a stop begins
	maxDrainWait            = 3000.0  // the longest of a hard limit that a stop waits for
	finalAnswerTime         = 400.0   // after that, for what came last; the kill may come 0.3 s later
	transferRecheckInterval = 50.0    // before a link that may be another process's by then is looked at again
)

// reestablish asks the backend that has the link already.
func (m *StateMachine) reestablish(session *session) {
	m.enter(session, reestablishing)
	session.deadline = m.now + reestablishTimeout
	m.tryReestablish(session)
}

func (m *StateMachine) tryReestablish(session *session) {
	backend := m.backends[string(session.request.StickyBackend)]
	if backend == nil || backend.Address == "" {
		m.retryReestablish(session)
		return
	}
	m.dialForSession(session, backend, 4*m.connectTimeout)
}

// retryReestablish tries again, as a link that stood is lost if its backend isn't found; at the end it is an
// error.
func (m *StateMachine) retryReestablish(session *session) {
	if m.now+reestablishInterval >= session.deadline {
		m.Execute(session, balancer.Decision{Kind: balancer.Fail})
		return
	}
	session.stateTimer.fire = func() { m.tryReestablish(session) }
	m.setTimer(&session.stateTimer, m.now+reestablishInterval)
}

// establish takes that the backend has the link.
func (m *StateMachine) establish(session *session, line []byte) {
	if session.clientConn == nil { // gone, with a setup try that might not be called off
		m.finishAttempt(session, ClientReset)
		return
	}
	conn := session.backendConn
	m.stopTimer(&conn.deadline)
	if session.state == reestablishing {
		m.Reestablished++
		m.dispatcher.Balancer.SessionResumed(m.now, &session.Entry.Session, conn.backend.id)
	} else {
		m.Succeeded++
		m.dispatcher.Balancer.SessionEstablished(m.now, &session.Entry.Session)
		m.releaseMarker(session)
		m.replicateAffinity(session)
	}
	m.answers[session.Class].served++
	m.write(session.clientConn, line)
	session.request = protocol.Request{}
	m.addEstablished(session)
	if m.yieldedToChild {
		m.requestTransfer(session)
		m.setTimer(&session.migrationTimer, max(m.now+drainGrace, m.migrationTime(0, 1)))
	} else if m.stopping || m.draining {
		m.setTimer(&session.migrationTimer, max(m.now, m.migrationTime(0, 1)))
	} else if conn.backend.condition != balancer.Ready {
		m.setTimer(&session.migrationTimer, m.now)
	}
}

// addEstablished is what holds of every link from when it stands.
func (m *StateMachine) addEstablished(session *session) {
	m.enter(session, established)
	m.Established++
	backend := session.backendConn.backend
	backend.sessions = append(backend.sessions, session)
	session.stateTimer.fire = func() { m.migrate(session, BackendSilent) }
	session.migrationTimer.fire = func() { m.migrate(session, RelayMovedClient) }
	session.clientConn.deadline.fire = func() { m.migrate(session, RelayMovedClient) }
	m.setTimer(&session.clientConn.deadline, m.now+clientIdleTimeout)
}

func (m *StateMachine) forwardToBackend(session *session, data []byte) {
	m.ClientChunks++
	m.write(session.backendConn, data)
	m.setTimer(&session.clientConn.deadline, m.now+clientIdleTimeout)
	if session.stateTimer.position == 0 {
		m.setTimer(&session.stateTimer, m.now+replyTimeout)
	}
}

// forwardToClient passes whole lines on, so that a line of the relay's own always falls between two of them.
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
		m.stopTimer(&session.stateTimer)
		m.BackendLines++
		m.write(session.clientConn, line)
		switch verb, said := protocol.CutVerb(line); string(verb) {
		case "LOAD":
			if load, ok := protocol.ParseLoad(said); ok {
				m.dispatcher.Balancer.LoadMeasured(&session.Entry.Session, load)
			}
		case "BYE":
			if m.reportsInAnswers {
				m.recordReport(session.backendConn.backend, said)
			}
			m.announceEnd(session, BackendFinished)
		case "MOVE":
			m.announceEnd(session, BackendMovedClient)
		}
	}
}

// announceEnd takes the backend's word that the link is over. What it sends after that is dropped.
func (m *StateMachine) announceEnd(session *session, how EndReason) {
	session.endReason, session.endAnnounced = how, true
	session.stateTimer.fire = func() { m.endSession(session, how, gracefully) }
	m.setTimer(&session.stateTimer, m.now+announcedEndTimeout)
}

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

// endSession ends a link that stood, on whichever sides are still open.
func (m *StateMachine) endSession(session *session, how EndReason, both closeMode) {
	m.EndReasons[how]++
	m.Established--
	m.releaseAffinity(session, how)
	backend := session.backendConn.backend
	backend.sessions = slices.Delete(backend.sessions, slices.Index(backend.sessions, session), slices.Index(backend.sessions, session)+1)
	m.removeSession(session)
	if session.clientConn != nil {
		m.dropConn(session.clientConn, both)
	}
	m.dropConn(session.backendConn, both)
	m.dispatcher.AttemptFinished(m.now, session, how.outcome(), true)
}

// migrateFromSilent has the clients of a backend that answers neither probes nor lines come again elsewhere, where the
// module holds it to be lost. A line that waits for its answer must show it: a backend may tire of probes.
func (m *StateMachine) migrateFromSilent(backend *backend) {
	quiet := 0.0
	for _, session := range backend.sessions {
		if session.stateTimer.position > 0 && !session.endAnnounced {
			quiet = max(quiet, m.now-session.stateTimer.at+replyTimeout)
		}
	}
	if !m.dispatcher.Balancer.IsUnresponsive(backend.id, min(quiet, m.now-backend.lastDataAt)) {
		return
	}
	m.log("backend fell silent", "backend", backend.Name, "links", len(backend.sessions))
	for _, session := range slices.Clone(backend.sessions) {
		m.migrate(session, BackendSilent)
	}
}

// migrate has the client come again elsewhere. One that its backend has said the last word to is only ended.
func (m *StateMachine) migrate(session *session, why EndReason) {
	switch {
	case session.state == handingOff: // its word may be another process's to say
		m.setTimer(&session.migrationTimer, m.now+transferRecheckInterval)
		return
	case session.endAnnounced:
		m.endSession(session, session.endReason, gracefully)
		return
	}
	m.Migrated++
	m.write(session.clientConn, []byte("MOVE\r\n"))
	m.endSession(session, why, gracefully)
}

// shutDown begins the relay's planned stop: what comes is served, what stands is moved once clients are dealt
// elsewhere, and all is answered before the kill can come. To a younger process that is ready all clients are
// left at once: against some that this one takes last, to be moved as soon as they stand.
func (m *StateMachine) shutDown(yield bool) {
	if m.stopping {
		return
	}
	m.yieldedToChild = yield
	m.stopping, m.draining = true, false
	m.startDrain()
	look := timer{fire: func() {}}
	m.setTimer(&look, m.now+drainGrace) // a look at whether all is done
}

// setDraining empties the relay as a stop does, but for its end, or takes it back to work. A stop goes before
// it.
func (m *StateMachine) setDraining(on bool) {
	if m.stopping || m.draining == on {
		return
	}
	m.draining = on
	m.log("lame duck", "on", on, "standing", m.Established)
	if on {
		m.startDrain()
		return
	}
	m.stopTimer(&m.drainTimer)
	for _, backend := range m.backendOrder {
		for i, session := range backend.sessions {
			m.stopTimer(&session.migrationTimer)
			m.scheduleMigration(backend, session, i)
		}
	}
}

// scheduleMigration has a link go that stands on a backend which goes, if it is not told yet.
func (m *StateMachine) scheduleMigration(backend *backend, session *session, nth int) {
	if backend.condition != balancer.Ready && session.migrationTimer.position == 0 {
		m.setTimer(&session.migrationTimer, m.now+m.dispatcher.Balancer.DrainDelay(nth, len(backend.sessions), 0))
	}
}

// startDrain has what stands moved over the time that the module gives, and whatever is left then answered.
func (m *StateMachine) startDrain() {
	m.drainStartedAt = m.now
	var all []*session
	for _, conn := range m.clientConns() {
		if conn.session.state == established {
			all = append(all, conn.session)
		}
	}
	for i, session := range all {
		at := m.migrationTime(i, len(all))
		if session.migrationTimer.position > 0 { // its backend goes: not later than that was to be
			at = min(at, session.migrationTimer.at)
		}
		m.setTimer(&session.migrationTimer, at)
		if m.yieldedToChild {
			m.requestTransfer(session)
		}
	}
	m.drainTimer.fire = m.finishDrain
	m.setTimer(&m.drainTimer, m.now+m.maxDrainTime())
}

// maxDrainTime is how long a stop takes at the most.
func (m *StateMachine) maxDrainTime() float64 {
	return min(m.longestHardLimit, maxDrainWait) + finalAnswerTime
}

// migrationTime is when the nth of so many standing links is moved at a stop.
func (m *StateMachine) migrationTime(nth, of int) float64 {
	return m.drainStartedAt + drainGrace + m.dispatcher.Balancer.DrainDelay(nth, of, m.maxDrainTime()-drainGrace)
}

// finishDrain answers and moves whatever is left.
func (m *StateMachine) finishDrain() {
	for _, conn := range m.clientConns() {
		switch session := conn.session; session.state {
		case awaitingRequest:
			m.rejectClient(session, RequestTimedOut, m.busyAnswer())
		case established:
			m.migrate(session, RelayMovedClient)
		case reestablishing:
			if session.backendConn != nil {
				m.dropConn(session.backendConn, gracefully)
			}
			m.Execute(session, balancer.Decision{Kind: balancer.Fail})
		case attempting:
			session.Deadline = m.now // so that the module gives it up
			m.finishAttempt(session, AttemptTimedOut)
		case replicating:
			m.recordReplicated(conn.id, false)
		case lookingUp:
			session.Deadline = m.now
			m.assign(session)
		case queued:
			session.Deadline = m.now
			m.dispatcher.Assign(m.now, session)
		}
	}
	if m.stopping {
		m.exit()
	}
}

// isIdle tells whether nobody waits for anything: no link, and no client whose head may be on its way.
func (m *StateMachine) isIdle() bool {
	if m.sessions > 0 {
		return false
	}
	for _, conn := range m.conns {
		if conn.backend == nil && conn.pings == 0 {
			return false
		}
	}
	return true
}

// exit has the program exit, once.
func (m *StateMachine) exit() {
	if !m.exiting {
		m.exiting = true
		m.effects.add(&Exit{})
	}
}

// clientConns are the clients' connections in the order they came.
func (m *StateMachine) clientConns() []*connection {
	var all []*connection
	for _, conn := range m.conns {
		if conn.backend == nil {
			all = append(all, conn)
		}
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}
