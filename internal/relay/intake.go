package relay

// This file is the state machine's side of clients that have no session yet: connections without a whole request.

import (
	"strconv"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

// Times are milliseconds.
const (
	requestTimeout     = 1500.0 // for a client's request to begin, pings or none: silent clients hold descriptors
	slowRequestTimeout = 2700.0 // since its accept, for one that has begun: clients may take two seconds to write it
	maxPings           = 16     // before the request
	evictionGrace      = 30.0   // left to a client without a request, however many there are
	errorLogInterval   = 1000.0 // between two log lines on rejected clients, so that a flood of them can't fill the log
	maxWaitFactor      = 10     // times the class's hard limit; a client's timeout beyond that is malformed
	answerMargin       = 10.0   // the answer is there so long before the client gives up
	minWait            = 1.0
)

const (
	errorAnswer = "ERR\r\n"
	pongAnswer  = "PONG\r\n"
)

// formatBusy is a rejection that tells the client to come again after wait milliseconds; 0: whenever it likes.
func formatBusy(wait float64) string {
	if wait > 0 {
		return "BUSY " + strconv.FormatInt(int64(wait), 10) + "\r\n"
	}
	return "BUSY\r\n"
}

// clientIntake owns the clients whose request has not come, and whether further ones are accepted.
type clientIntake struct {
	awaiting       []*connection // in the order in which they came, with some that are over; the first is not over
	awaitingCount  int           // how many of them have no request
	evictionTimer  timer         // until the oldest of them may be evicted
	acceptPaused   bool
	nextErrorLogAt float64 // from when rejected clients may be logged again
}

// acceptClient takes in a client's connection.
func (m *StateMachine) acceptClient(connID uint64) {
	m.Accepted++
	session := &session{}
	m.enter(session, awaitingRequest)
	conn := m.addConn(&connection{id: connID, session: session, acceptedAt: m.now, lastDataAt: m.now})
	session.clientConn = conn
	m.intake.awaitingCount++
	m.intake.awaiting = append(m.intake.awaiting, conn)
	conn.deadline.fire = func() {
		if conn.input.HasPending() && m.now < conn.acceptedAt+slowRequestTimeout {
			m.timers.set(&conn.deadline, conn.acceptedAt+slowRequestTimeout)
			return
		}
		m.rejectClient(session, RequestTimedOut, errorAnswer)
	}
	m.timers.set(&conn.deadline, m.now+requestTimeout)
}

// stopAwaiting says that the client has sent its request, or is over without one.
func (m *StateMachine) stopAwaiting(session *session, next sessionState) {
	m.enter(session, next)
	m.intake.awaitingCount--
	for len(m.intake.awaiting) > 0 && m.intake.awaiting[0].session.state != awaitingRequest {
		m.intake.awaiting = m.intake.awaiting[1:]
	}
}

// receiveFromClient handles what a client sends: pings and its request, later what the backend is to get. The last byte
// arrived at that time.
func (m *StateMachine) receiveFromClient(session *session, data []byte, arrivedAt float64) {
	for session.state == awaitingRequest {
		line, rest, err := session.clientConn.input.Next(data)
		if err != nil {
			m.rejectClient(session, LineTooLong, errorAnswer)
			return
		}
		if line == nil {
			session.clientConn.lastDataAt = m.now
			return
		}
		data = rest
		switch {
		case string(protocol.TrimLineEnd(line)) == verbPing:
			m.answerPing(session)
		case len(data) > 0: // a client waits after its request: this is none, and no backend is to see any of it
			m.rejectClient(session, UnexpectedData, errorAnswer)
		default:
			m.startSession(session, line, arrivedAt)
		}
	}
	switch {
	case len(data) == 0 || session.state == finished:
	case session.state == established:
		m.forwardToBackend(session, data)
	default:
		m.failImpatientClient(session)
	}
}

// failImpatientClient ends a session whose client sent on without waiting for its answer.
func (m *StateMachine) failImpatientClient(session *session) {
	m.RequestErrors[UnexpectedData]++
	m.queue.countFailed(session.Class)
	conn := session.clientConn
	m.write(conn, []byte(errorAnswer))
	m.clientClosed(session, ConnClosed{})
	m.dropConn(conn, gracefully)
}

// answerPing tells a client whether the relay serves; before it is ready, the answer waits until it is.
func (m *StateMachine) answerPing(session *session) {
	conn := session.clientConn
	conn.pings++
	if conn.pings > maxPings {
		m.rejectClient(session, TooManyPings, errorAnswer)
		return
	}
	m.Pings++
	switch {
	case m.drain.isActive() && !m.siblings.yielded:
		m.write(conn, []byte(errorAnswer))
	case m.drain.ready:
		m.write(conn, []byte(pongAnswer))
	}
}

// startSession takes a session in once its request has been checked whole: a backend would close on what it can't use,
// and be blamed for it. The line is copied, as read buffers are used again; the request points into the copy. The client's
// time runs from when its request arrived.
func (m *StateMachine) startSession(session *session, line []byte, arrivedAt float64) {
	request, err := protocol.ParseRequest(append([]byte(nil), line...))
	if err != nil {
		m.rejectClient(session, MalformedRequest, errorAnswer)
		return
	}
	class, knownClass := m.rules.classes[string(request.Class)]
	tenant, knownTenant := m.rules.tenant(string(request.Tenant))
	switch {
	case !knownClass || (!knownTenant && len(request.Tenant) > 0 && len(m.rules.tenants) > 0):
		m.rejectClient(session, UnknownName, errorAnswer)
		return
	case len(request.StickyBackend) == 0 && request.Timeout > maxWaitFactor*m.rules.hardLimits[class]:
		m.queue.countFailed(class)
		m.rejectClient(session, MalformedRequest, errorAnswer)
		return
	case m.queue.byID[string(request.ID)] != nil:
		m.queue.countFailed(class)
		m.rejectClient(session, DuplicateID, errorAnswer)
		return
	}
	session.request = request
	session.Class = class
	session.Tenant = tenant
	session.Key = request.Key
	session.AffinityGroup = request.AffinityGroup
	session.LoadHint = request.LoadHint * 1000
	session.Deadline = arrivedAt + max(min(request.Timeout, m.rules.hardLimits[class])-answerMargin, minWait)
	m.Requests++
	m.addSession(session, string(request.ID))
	m.timers.stop(&session.clientConn.deadline)
	m.stopAwaiting(session, queued)
	m.admit(session)
}

// admit has a new session assigned, or its answer sought where it has been established before; or rejects it.
func (m *StateMachine) admit(session *session) {
	switch {
	case m.drain.exiting, // nobody is left to see it through to its answer
		m.now >= session.Deadline: // it waited in the listener's backlog until its time was up
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.rules.maxRetryAfter})
	case len(session.request.StickyBackend) > 0:
		m.reestablish(session)
	case m.isShortOfDescriptors() || m.queue.sessions > m.limits.ownSessions:
		// Else descriptors would run out in the middle of a session; nothing was sent, so that a retry is harmless. A
		// queued session counts with the connection that it will have: else queued ones would take all there are once
		// they go on, and whoever comes then would wait to be accepted until its time is up.
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.rules.maxRetryAfter})
	default:
		m.lookUpReservation(session)
		if !m.lookUpAttempts(session) {
			m.queue.dispatcher.Assign(m.now, session)
		}
	}
}

// rejectClient answers a client that has no session.
func (m *StateMachine) rejectClient(session *session, why RequestError, answer string) {
	m.RequestErrors[why]++
	if m.now >= m.intake.nextErrorLogAt {
		m.intake.nextErrorLogAt = m.now + errorLogInterval
		m.log("client rejected", "why", why.String(), "count", m.RequestErrors[why])
	}
	m.stopAwaiting(session, finished)
	m.write(session.clientConn, []byte(answer))
	m.dropConn(session.clientConn, gracefully)
}

// busyAnswer has a client come again later, where it may be told when.
func (m *StateMachine) busyAnswer() string { return formatBusy(m.rules.maxRetryAfter) }

// evictionCandidate is the client without a request that is evicted first: those that have begun none before those that
// have, and of each the one that has brought nothing for longest. So a crowd that connects and idles, or stops half way,
// can't push out one that writes its request slowly. nil: all have come just now.
func (m *StateMachine) evictionCandidate() *connection {
	var candidate *connection
	for _, conn := range m.intake.awaiting {
		if m.now < conn.acceptedAt+evictionGrace {
			break // so are all that came later
		}
		if conn.session.state != awaitingRequest {
			continue
		}
		if candidate == nil || conn.isEvictedBefore(candidate) {
			candidate = conn
		}
	}
	return candidate
}

// isEvictedBefore orders clients without a request for eviction.
func (c *connection) isEvictedBefore(other *connection) bool {
	if c.input.HasPending() != other.input.HasPending() {
		return other.input.HasPending()
	}
	return c.lastDataAt < other.lastDataAt
}

// isCrowded tells whether there are too many clients without a request, or no descriptors for further ones.
func (m *StateMachine) isCrowded() bool {
	return m.intake.awaitingCount > m.limits.maxAwaiting() || len(m.conns.byID) >= m.limits.ownDescriptors
}

// limitIntake evicts clients without a request where there are too many, and pauses the accepting of others meanwhile:
// silent ones would take the descriptors that sessions need. One whose request may be on its way is told to come again.
func (m *StateMachine) limitIntake() {
	for m.isCrowded() {
		conn := m.evictionCandidate()
		if conn == nil {
			if len(m.intake.awaiting) > 0 {
				m.timers.set(&m.intake.evictionTimer, m.intake.awaiting[0].acceptedAt+evictionGrace)
			}
			break
		}
		m.rejectClient(conn.session, Evicted, m.busyAnswer())
	}
	pause := m.isCrowded() || m.siblings.yielded || (m.siblings.hasParent && !m.drain.ready)
	if pause == m.intake.acceptPaused {
		return
	}
	m.intake.acceptPaused = pause
	if pause {
		m.AcceptPauses++
		m.effects.add(&PauseAccept{})
	} else {
		m.effects.add(&ResumeAccept{})
	}
}
