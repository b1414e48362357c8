package relay

import "valeshift/balancer"

// All in milliseconds.
const (
	readyTimeout    = 1000.0 // after which the relay serves on the list that it was started with
	drainGrace      = 500.0  // clients still come for so long after a drain begins
	maxDrainWait    = 3000.0 // the longest of a hard limit that a drain waits for
	finalAnswerTime = 400.0  // after that, for what came last; the kill may come 0.3 s later
)

// lifecycle owns whether the relay serves: ready, draining, shutting down, exiting.
type lifecycle struct {
	ready      bool
	readyTimer timer // until it counts as ready, whatever it has heard

	stopping  bool // it shuts down
	draining  bool // it is drained, but not to exit
	startedAt float64
	timer     timer // until the drain is finished
	exiting   bool  // Exit was asked for
}

// isActive tells whether the relay is drained, for an exit or not.
func (l *lifecycle) isActive() bool { return l.stopping || l.draining }

// becomeReady says that the relay is fit to serve, and answers the pings that came before.
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

// shutDown begins a graceful shutdown: who comes is served, established sessions are migrated once the load balancer
// sends clients elsewhere, and all is answered before the kill can come. To a child process that is ready all clients
// are left at once: else some that this one accepts last would be migrated as soon as they are established.
func (m *StateMachine) shutDown(yieldToChild bool) {
	if m.drain.stopping {
		return
	}
	m.siblings.yield(yieldToChild)
	m.drain.stopping = true
	m.drain.draining = false
	m.startDrain()
	wake := timer{fire: func() {}} // Handle looks then whether all is done
	m.timers.set(&wake, m.now+drainGrace)
}

// setDraining drains the relay as a shutdown does, but without an exit, or takes it back to work. A shutdown has
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

// startDrain has established sessions migrated over the time that the balancer gives, and whatever is left then
// answered.
func (m *StateMachine) startDrain() {
	m.drain.startedAt = m.now
	all := m.establishedSessions()
	for i, session := range all {
		at := m.migrationTime(i, len(all))
		if session.migrationTimer.isSet() { // its backend drains: no later than scheduled for that
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

// establishedSessions are those, in the order in which their clients came.
func (m *StateMachine) establishedSessions() []*session {
	var all []*session
	for _, conn := range m.conns.clients() {
		if conn.session.state == established {
			all = append(all, conn.session)
		}
	}
	return all
}

// maxDrainTime is how long a drain takes at the most, in milliseconds.
func (m *StateMachine) maxDrainTime() float64 {
	return min(m.rules.longestHardLimit, maxDrainWait) + finalAnswerTime
}

// migrationTime is when the nth of so many established sessions is migrated in a drain.
func (m *StateMachine) migrationTime(nth, of int) float64 {
	return m.drain.startedAt + drainGrace + m.balancer().ShutdownDrainDelay(nth, of, m.maxDrainTime()-drainGrace)
}

// finishDrain answers or migrates whatever is left.
func (m *StateMachine) finishDrain() {
	for _, conn := range m.conns.clients() {
		m.finishNow(conn)
	}
	if m.drain.stopping {
		m.exit()
	}
}

// finishNow brings a client to its end now, whatever its session waits for.
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
		session.Deadline = m.now // so that the balancer gives it up
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

// isIdle tells whether nobody waits for anything: there is no session, and no client whose request may be on its way.
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

// exitWhenDone has the process exit once a shutdown has nothing to wait for.
func (m *StateMachine) exitWhenDone() {
	if m.drain.stopping && (m.siblings.yielded || m.now >= m.drain.startedAt+drainGrace) && m.isIdle() {
		m.exit()
	}
}

// exit has the process exit, once.
func (m *StateMachine) exit() {
	if !m.drain.exiting {
		m.drain.exiting = true
		m.effects.add(&Exit{})
	}
}
