package relay

import "valeshift/balancer"

// Times are in milliseconds.
const (
	readyTimeout     = 1000.0 // after the start; the relay then serves even if discovery has not sent a list
	drainGrace       = 500.0  // after the start of a drain, in which new clients still arrive
	maxHardLimitWait = 3000.0 // most that a drain waits for the longest hard limit of a request
	finalAnswerTime  = 400.0  // added to that, to answer what arrived last; the process may be killed 0.3 s later
)

// lifecycle is the state of the relay as a whole: ready, draining, shutting down, exiting.
type lifecycle struct {
	ready      bool
	readyTimer timer // until the relay counts as ready even if discovery has not sent a list

	stopping  bool    // the relay is shutting down
	draining  bool    // the relay drains without exiting
	startedAt float64 // Unix milliseconds at which the drain began
	timer     timer   // until the drain is finished
	exiting   bool    // the Exit effect was issued
}

// isActive reports whether the relay is draining, with or without an exit at the end.
func (l *lifecycle) isActive() bool { return l.stopping || l.draining }

// becomeReady announces that the relay is ready to serve, and answers the pings that came before.
func (m *StateMachine) becomeReady() {
	if m.drain.ready {
		return
	}
	m.drain.ready = true
	m.timers.stop(&m.drain.readyTimer)
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
	if m.drain.stopping {
		return
	}
	m.siblings.yield(yieldToChild)
	m.drain.stopping = true
	m.drain.draining = false
	m.startDrain()
	wake := timer{fire: func() {}} // wakes Handle, which exits if nothing is left to do
	m.timers.set(&wake, m.now+drainGrace)
}

// setDraining drains the relay as a shutdown does, but without an exit, or ends such a drain. A shutdown takes
// precedence.
func (m *StateMachine) setDraining(on bool) {
	if m.drain.stopping || m.drain.draining == on {
		return
	}
	m.drain.draining = on
	m.log("draining", "on", on, "established", m.Established)
	if on {
		m.startDrain()
		return
	}
	m.timers.stop(&m.drain.timer)
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
	m.drain.startedAt = m.now
	all := m.establishedSessions()
	for i, session := range all {
		at := m.migrationTime(i, len(all))
		if session.migrationTimer.isSet() { // its backend drains: no later than already scheduled
			at = min(at, session.migrationTimer.at)
		}
		m.timers.set(&session.migrationTimer, at)
		if m.siblings.yielded {
			m.requestTransfer(session)
		}
	}
	m.drain.timer.fire = m.finishDrain
	m.timers.set(&m.drain.timer, m.now+m.maxDrainTime())
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

// migrationTime returns when the nth of total established sessions is migrated in a drain, in Unix milliseconds.
func (m *StateMachine) migrationTime(nth, total int) float64 {
	return m.drain.startedAt + drainGrace + m.balancer().ShutdownDrainDelay(nth, total, m.maxDrainTime()-drainGrace)
}

// finishDrain answers or migrates all clients that are left, and exits if the relay is shutting down.
func (m *StateMachine) finishDrain() {
	for _, conn := range m.conns.clients() {
		m.finishNow(conn)
	}
	if m.drain.stopping {
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
		m.assign(session)
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
	if m.drain.stopping && (m.siblings.yielded || m.now >= m.drain.startedAt+drainGrace) && m.isIdle() {
		m.exit()
	}
}

// exit issues the Exit effect, at most once.
func (m *StateMachine) exit() {
	if !m.drain.exiting {
		m.drain.exiting = true
		m.effects.add(&Exit{})
	}
}
