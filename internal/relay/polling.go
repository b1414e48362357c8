package relay

import "valeshift/internal/protocol"

// pollTimeoutFactor is how many times the timeout for a connect a poll may take.
const pollTimeoutFactor = 2

// What polls send: for a load report, and only for a sign of life.
const (
	reportPoll = "STATS\r\n"
	plainPoll  = "PING\r\n"
)

// Poll asks the backend for its load; the dispatcher calls it. Polls of one backend go over one connection that stays
// open, as each new one is work for the backend.
func (m *StateMachine) Poll(id uint32) {
	m.Polls++
	backend := m.endpoints.byID[id]
	if backend == nil { // gone since the balancer wanted it polled
		m.balancer().PollFinished(m.now, id, false, nil)
		return
	}
	if backend.pollConn == nil && len(m.conns.byID)+m.limits.maxAwaiting() >= m.limits.ownDescriptors {
		// Polls are not to take what clients come in by: while the parent has most descriptors, and as many backends join
		// beside established sessions.
		m.balancer().PollNotSent(id)
		return
	}
	backend.pollPending = true
	if backend.pollConn == nil {
		backend.pollConn = m.dial(backend, nil)
		backend.pollConn.deadline.fire = func() { m.failPoll(backend) }
	} else if backend.pollConn.isUp {
		m.sendPoll(backend)
	}
	m.timers.set(&backend.pollConn.deadline, m.now+pollTimeoutFactor*m.rules.connectTimeout)
}

// sendPoll sends a poll: for a load report, where backends give any.
func (m *StateMachine) sendPoll(backend *backend) {
	if len(m.rules.reportFields) > 0 {
		m.write(backend.pollConn, []byte(reportPoll))
	} else {
		m.write(backend.pollConn, []byte(plainPoll))
	}
}

// pollConnEstablished sends the poll that waits for its connection.
func (m *StateMachine) pollConnEstablished(conn *connection) {
	conn.isUp = true
	if conn.backend.pollPending {
		m.sendPoll(conn.backend)
	}
}

// receivePollAnswer handles what a backend answers to a poll.
func (m *StateMachine) receivePollAnswer(conn *connection, data []byte) {
	backend := conn.backend
	for backend.pollConn == conn {
		line, rest, err := conn.input.Next(data)
		if err != nil {
			m.failPoll(backend)
			return
		}
		if line == nil {
			return
		}
		data = rest
		verb, report := protocol.CutVerb(line)
		m.finishPoll(backend, string(verb) == verbPong, protocol.ParseReport(report, m.rules.reportFields))
	}
}

// finishPoll hands the answer to a poll to the balancer.
func (m *StateMachine) finishPoll(backend *backend, ok bool, report []float64) {
	if !backend.pollPending {
		return
	}
	backend.pollPending = false
	m.timers.stop(&backend.pollConn.deadline)
	if m.isShortOfDescriptors() { // in a fleet that grows, polls would hold what clients come by
		conn := backend.pollConn
		backend.pollConn = nil
		m.dropConn(conn, gracefully)
	}
	m.queue.dispatcher.PollFinished(m.now, backend.id, ok, report)
}

// failPoll ends the connection for polls; a poll that was out has failed.
func (m *StateMachine) failPoll(backend *backend) {
	conn := backend.pollConn
	wasPending := backend.pollPending
	backend.pollConn = nil
	backend.pollPending = false
	m.dropConn(conn, byReset)
	if wasPending {
		m.queue.dispatcher.PollFinished(m.now, backend.id, false, nil)
		m.migrateFromSilent(backend)
	}
}

// recordReport hands a load report that came with an answer to the balancer.
func (m *StateMachine) recordReport(backend *backend, text []byte) {
	if report := protocol.ParseReport(text, m.rules.reportFields); report != nil {
		m.balancer().LoadReported(m.now, backend.id, report)
	}
}
