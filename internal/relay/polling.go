package relay

import "valeshift/internal/protocol"

// pollTimeoutFactor times the connect timeout is the timeout of a poll.
const pollTimeoutFactor = 2

// maxPollAnswerBytes is the largest size of what a backend may send from one poll to the next.
const maxPollAnswerBytes = protocol.MaxLineBytes

// Requests that polls send: for a load report, and for a sign of life alone.
const (
	reportPoll = "STATS\r\n"
	plainPoll  = "PING\r\n"
)

// Poll asks the backend for its load; the dispatcher calls it. All polls of a backend share one connection that stays
// open, as every new connection costs the backend work.
func (m *StateMachine) Poll(id uint32) {
	m.Polls++
	backend := m.endpoints.byID[id]
	if backend == nil { // removed since the balancer asked for the poll
		m.balancer().PollFinished(m.now, id, false, nil)
		return
	}
	if backend.pollConn == nil && len(m.conns.byID)+m.limits.maxAwaiting() >= m.limits.ownDescriptors {
		// Poll connections must not take the descriptors that new clients need, which are scarce while the parent process
		// holds most of them, or when many backends join while sessions hold most of them.
		m.balancer().PollNotSent(id)
		return
	}
	backend.pollPending = true
	if backend.pollConn == nil {
		backend.pollConn = m.dial(backend, nil)
		backend.pollConn.deadline.fire = func() { m.failPoll(backend) }
	} else if backend.pollConn.isConnected {
		m.sendPoll(backend)
	}
	m.timers.set(&backend.pollConn.deadline, m.now+pollTimeoutFactor*m.rules.connectTimeout)
}

// sendPoll sends a poll, which asks for a load report if backends give any.
func (m *StateMachine) sendPoll(backend *backend) {
	backend.pollConn.polledBytes = 0
	if len(m.rules.reportFields) > 0 {
		m.write(backend.pollConn, []byte(reportPoll))
	} else {
		m.write(backend.pollConn, []byte(plainPoll))
	}
}

// pollConnEstablished sends the poll that was waiting for its connection.
func (m *StateMachine) pollConnEstablished(conn *connection) {
	conn.isConnected = true
	if conn.backend.pollPending {
		m.sendPoll(conn.backend)
	}
}

// receivePollAnswer handles data on a poll connection: the backend's answers to polls. A backend that sends more than an
// answer can have loses the connection: relays would spend their time on what nobody asked for.
func (m *StateMachine) receivePollAnswer(conn *connection, data []byte) {
	backend := conn.backend
	conn.polledBytes += len(data)
	if conn.polledBytes > maxPollAnswerBytes {
		m.rejectPollAnswer(backend)
		return
	}
	for backend.pollConn == conn {
		line, rest, err := conn.input.Next(data)
		if err != nil {
			m.rejectPollAnswer(backend)
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

// finishPoll passes the answer to a poll to the balancer.
func (m *StateMachine) finishPoll(backend *backend, ok bool, report []float64) {
	if !backend.pollPending {
		return
	}
	backend.pollPending = false
	m.timers.stop(&backend.pollConn.deadline)
	if m.isShortOfDescriptors() { // when many backends join, poll connections would hold the descriptors that clients need
		conn := backend.pollConn
		backend.pollConn = nil
		m.dropConn(conn, gracefully)
	}
	m.queue.dispatcher.PollFinished(m.now, backend.id, ok, report)
}

// rejectPollAnswer fails the poll of a backend whose answer is too long.
func (m *StateMachine) rejectPollAnswer(backend *backend) {
	if m.now >= m.endpoints.nextErrorLogAt {
		m.endpoints.nextErrorLogAt = m.now + errorLogInterval
		m.log("answer to a poll too long", "backend", backend.Name, "limit bytes", maxPollAnswerBytes)
	}
	m.failPoll(backend)
}

// failPoll resets the poll connection. A poll that was not answered yet counts as failed.
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

// recordReport passes a load report that came with an answer to the balancer.
func (m *StateMachine) recordReport(backend *backend, text []byte) {
	if report := protocol.ParseReport(text, m.rules.reportFields); report != nil {
		m.balancer().LoadReported(m.now, backend.id, report)
	}
}
