package relay

import "valeshift/balancer"

// Times are in milliseconds.
const (
	readyTimeout     = 1000.0 // time from the start after which the relay serves even if discovery has not sent a list
	drainGrace       = 500.0  // time from the start of a drain in which new clients still arrive
	maxHardLimitWait = 3000.0 // most that a drain waits for the longest hard limit of a request
	finalAnswerTime  = 400.0  // added to that wait, to answer the last requests; the process may be killed 0.3 s later
)

// lifecycleState is the state of the relay as a whole: ready, draining, shutting down, exiting.
type lifecycleState struct {
	ready      bool
	readyTimer timer // until the relay counts as ready even if discovery has not sent a list

	stopping       bool    // the relay is shutting down: it drains, then exits
	drainRequested bool    // the relay was asked to drain without exiting
	startedAt      float64 // Unix milliseconds at which the drain began
	timer          timer   // until the drain is finished
	exiting        bool    // the Exit effect was issued
}

// isDraining reports whether the relay is draining, whether it exits at the end or not.
func (l *lifecycleState) isDraining() bool { return l.stopping || l.drainRequested }

// becomeReady announces that the relay is ready to serve, and answers the pings that came before.
func (m *StateMachine) becomeReady() {
	if m.lifecycle.ready {
		return
	}
	m.lifecycle.ready = true
	m.timers.stop(&m.lifecycle.readyTimer)
	m.effects.add(&AnnounceReady{})
	for _, conn := range m.conns.clients() {
		if conn.session.state == awaitingRequest {
			for range conn.pings {
				m.write(conn, []byte(pongAnswer))
			}
		}
	}
}

// shutDown begins a graceful shutdown: clients that still arrive are served, established sessions are migrated once the
// load balancer in front sends clients elsewhere, and every request is answered before the process can be killed. If a
// child process is ready, all new clients are left to it at once; otherwise the last clients that this process accepts
// would be migrated as soon as they are established.
func (m *StateMachine) shutDown(yieldToChild bool) {
	if m.lifecycle.stopping {
		return
	}
	m.siblings.yield(yieldToChild)
	m.lifecycle.stopping = true
	m.lifecycle.drainRequested = false
	m.startDrain()
	wake := timer{fire: func() {}} // wakes Handle, which exits if nothing is left to do
	m.timers.set(&wake, m.now+drainGrace)
}

// setDraining drains the relay as a shutdown does, but without an exit, or ends such a drain. A shutdown takes
// precedence.
func (m *StateMachine) setDraining(on bool) {
	if m.lifecycle.stopping || m.lifecycle.drainRequested == on {
		return
	}
	m.lifecycle.drainRequested = on
	m.log("draining", "on", on, "established", m.Established)
	if on {
		m.startDrain()
		return
	}
	m.timers.stop(&m.lifecycle.timer)
	for _, backend := range m.endpoints.inOrder {
		for i, session := range backend.sessions {
			m.timers.stop(&session.migrationTimer)
			m.scheduleMigration(backend, session, i)
		}
	}
}

// startDrain schedules the migration of established sessions over the time that the balancer gives, and sets the timer
// for finishDrain.
func (m *StateMachine) startDrain() {
	m.lifecycle.startedAt = m.now
	all := m.establishedSessions()
	for i, session := range all {
		m.migrateBy(session, m.migrationTime(i, len(all)))
		if m.siblings.yielded {
			m.requestTransfer(session)
		}
	}
	m.lifecycle.timer.fire = m.finishDrain
	m.timers.set(&m.lifecycle.timer, m.now+m.maxDrainTime())
}

// migrateBy schedules the migration of a session for the given time, in Unix milliseconds, unless it is to migrate
// earlier, as its backend drains.
func (m *StateMachine) migrateBy(session *session, at float64) {
	if !session.migrationTimer.isSet() || at < session.migrationTimer.at {
		m.timers.set(&session.migrationTimer, at)
	}
}

// establishedSessions returns all established sessions, in the order in which their clients connected.
func (m *StateMachine) establishedSessions() []*session {
	var all []*session
	for _, conn := range m.conns.clients() {
		if conn.session.state == established {
			all = append(all, conn.session)
		}
	}
	return all
}

// maxDrainTime returns the longest time that a drain takes, in milliseconds.
func (m *StateMachine) maxDrainTime() float64 {
	return min(m.rules.longestHardLimit, maxHardLimitWait) + finalAnswerTime
}

// migrationTime returns when the established session with that index, from 0, out of count is migrated in a drain, in
// Unix milliseconds.
func (m *StateMachine) migrationTime(index, count int) float64 {
	return m.lifecycle.startedAt + drainGrace + m.balancer().ShutdownDrainDelay(index, count, m.maxDrainTime()-drainGrace)
}

// finishDrain answers or migrates all clients that are left, and exits if the relay is shutting down.
func (m *StateMachine) finishDrain() {
	for _, conn := range m.conns.clients() {
		m.finishNow(conn)
	}
	if m.lifecycle.stopping {
		m.exit()
	}
}

// finishNow gives a client its final answer now, whatever its session is waiting for.
func (m *StateMachine) finishNow(conn *connection) {
	session := conn.session
	switch session.state {
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
		session.Deadline = m.now // so that the balancer makes no further attempt
		m.finishAttempt(session, AttemptTimedOut)
	case replicating:
		m.recordReplicated(conn.id, false)
	case lookingUp:
		session.Deadline = m.now
		m.endLookups(session)
	case queued:
		session.Deadline = m.now
		m.queue.dispatcher.Assign(m.now, session)
	}
}

// isIdle reports whether nothing is left to wait for: no session, and no client whose request may be on its way. A
// client that has only sent pings doesn't count.
func (m *StateMachine) isIdle() bool {
	if m.queue.sessions > 0 {
		return false
	}
	for _, conn := range m.conns.byID {
		if conn.backend == nil && conn.pings == 0 {
			return false
		}
	}
	return true
}

// exitWhenDone makes the process exit once a shutdown has nothing left to wait for.
func (m *StateMachine) exitWhenDone() {
	if m.lifecycle.stopping && (m.siblings.yielded || m.now >= m.lifecycle.startedAt+drainGrace) && m.isIdle() {
		m.exit()
	}
}

// exit issues the Exit effect, at most once.
func (m *StateMachine) exit() {
	if !m.lifecycle.exiting {
		m.lifecycle.exiting = true
		m.effects.add(&Exit{})
	}
}
