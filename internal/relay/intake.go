package relay

// This file handles clients that have no session yet: connections on which no complete request has arrived.

import (
	"strconv"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

// All times are in milliseconds.
const (
	requestTimeout     = 1500.0 // time for a client to begin its request, even if it pings: silent ones hold descriptors
	slowRequestTimeout = 2700.0 // time from accept for a request that has begun: clients may take two seconds to write it
	maxPings           = 16     // most pings that a client may send before its request
	evictionGrace      = 30.0   // a client without a request is not evicted before this time, however many there are
	errorLogInterval   = 1000.0 // least time between log lines on rejected clients, so that a flood can't fill the log
	maxTimeoutFactor   = 10     // a client's timeout above this multiple of its class's hard limit is malformed
	answerMargin       = 10.0   // how long before the client's timeout its answer is due
	minTimeout         = 1.0    // least time for a session, however short the client's timeout
)

const (
	errorAnswer = "ERR\r\n"
	pongAnswer  = "PONG\r\n"
)

// formatBusy returns a rejection that tells the client to retry after wait milliseconds; 0 gives no time.
func formatBusy(wait float64) string {
	if wait > 0 {
		return "BUSY " + strconv.FormatInt(int64(wait), 10) + "\r\n"
	}
	return "BUSY\r\n"
}

// clientIntake owns the clients whose request has not arrived yet, and whether further clients are accepted.
type clientIntake struct {
	awaiting       []*connection // clients in order of arrival; all but the first may have sent a request or ended
	awaitingCount  int           // number of clients still without a request
	evictionTimer  timer         // fires when the oldest client may be evicted
	acceptPaused   bool          // PauseAccept is in effect
	nextErrorLogAt float64       // earliest time of the next log line about rejected clients, in Unix milliseconds
}

// acceptClient adds a client's connection, and starts the timeout for its request.
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

// stopAwaiting removes a client that has sent its request, or has ended without one, from the waiting clients.
func (m *StateMachine) stopAwaiting(session *session, next sessionState) {
	m.enter(session, next)
	m.intake.awaitingCount--
	for len(m.intake.awaiting) > 0 && m.intake.awaiting[0].session.state != awaitingRequest {
		m.intake.awaiting = m.intake.awaiting[1:]
	}
}

// receiveFromClient handles data from a client: pings and its request, and after that data for the backend. arrivedAt is
// when the last byte arrived.
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
		case len(data) > 0: // a client must wait for its answer, so this is no valid request, and no backend may get any of it
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
		m.failOnUnexpectedData(session)
	}
}

// failOnUnexpectedData ends a session whose client sent more data before its answer.
func (m *StateMachine) failOnUnexpectedData(session *session) {
	m.RequestErrors[UnexpectedData]++
	m.queue.countFailed(session.Class)
	conn := session.clientConn
	m.write(conn, []byte(errorAnswer))
	m.clientClosed(session, ConnClosed{})
	m.dropConn(conn, gracefully)
}

// answerPing tells a client whether the relay is serving. Until the relay is ready, the answer is held back.
func (m *StateMachine) answerPing(session *session) {
	conn := session.clientConn
	conn.pings++
	if conn.pings > maxPings {
		m.rejectClient(session, TooManyPings, errorAnswer)
		return
	}
	m.Pings++
	switch {
	case m.lifecycle.isDraining() && !m.siblings.yielded:
		m.write(conn, []byte(errorAnswer))
	case m.lifecycle.ready:
		m.write(conn, []byte(pongAnswer))
	}
}

// startSession creates a session from a client's request. The request is fully validated first: a backend would close the
// connection on an invalid one, and that would count as the backend's failure. The line is copied because read buffers are
// reused; the parsed request points into the copy. The client's timeout runs from the arrival of its request.
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
	case len(request.StickyBackend) == 0 && request.Timeout > maxTimeoutFactor*m.rules.hardLimits[class]:
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
	session.Deadline = arrivedAt + max(min(request.Timeout, m.rules.hardLimits[class])-answerMargin, minTimeout)
	m.Requests++
	m.addSession(session, string(request.ID))
	m.timers.stop(&session.clientConn.deadline)
	m.stopAwaiting(session, queued)
	m.admit(session)
}

// admit has a new session assigned, re-establishes one that names its earlier backend, or rejects the session.
func (m *StateMachine) admit(session *session) {
	switch {
	case m.lifecycle.exiting, // the process is about to end and could not finish the session
		m.now >= session.Deadline: // its time ran out in the listener's backlog
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.rules.maxRetryAfter})
	case len(session.request.StickyBackend) > 0:
		m.reestablish(session)
	case m.isShortOfDescriptors() || m.queue.sessions > m.limits.ownSessions:
		// Otherwise descriptors would run out in the middle of a session. Nothing has been sent yet, so a retry is
		// harmless. A queued session is counted with its future backend connection. Otherwise queued sessions would take
		// all descriptors when they are assigned, and new clients would wait to be accepted until their time runs out.
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.rules.maxRetryAfter})
	default:
		m.lookUpReservation(session)
		if !m.lookUpForRetry(session) {
			m.queue.dispatcher.Assign(m.now, session)
		}
	}
}

// rejectClient sends the answer to a client that has no session, and closes its connection.
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

// busyAnswer returns a rejection with the longest retry time, if the settings allow retry times.
func (m *StateMachine) busyAnswer() string { return formatBusy(m.rules.maxRetryAfter) }

// evictionCandidate returns the client without a request that is evicted first. Clients that have not begun a request come
// before those that have; within each group, the client that has sent nothing for the longest time comes first. So a crowd
// of clients that idle, or stop halfway through their requests, can't cause the eviction of one that writes its request
// slowly. It returns nil if all clients are younger than evictionGrace.
func (m *StateMachine) evictionCandidate() *connection {
	var candidate *connection
	for _, conn := range m.intake.awaiting {
		if m.now < conn.acceptedAt+evictionGrace {
			break // and all later ones are younger still
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

// isEvictedBefore reports whether c, a client without a request, is evicted before other.
func (c *connection) isEvictedBefore(other *connection) bool {
	if c.input.HasPending() != other.input.HasPending() {
		return other.input.HasPending()
	}
	return c.lastDataAt < other.lastDataAt
}

// exceedsIntakeLimits reports whether too many clients wait without a request, or no descriptor is left for
// another client.
func (m *StateMachine) exceedsIntakeLimits() bool {
	return m.intake.awaitingCount > m.limits.maxAwaiting() || len(m.conns.byID) >= m.limits.ownDescriptors
}

// limitIntake evicts clients without a request while there are too many: silent clients would take the descriptors that
// sessions need. An evicted client is told to retry, as its request may be on its way. limitIntake pauses accepting while
// eviction is not enough, after all clients have been yielded to a child process, and in a child that is not ready yet.
func (m *StateMachine) limitIntake() {
	for m.exceedsIntakeLimits() {
		conn := m.evictionCandidate()
		if conn == nil {
			if len(m.intake.awaiting) > 0 {
				m.timers.set(&m.intake.evictionTimer, m.intake.awaiting[0].acceptedAt+evictionGrace)
			}
			break
		}
		m.rejectClient(conn.session, Evicted, m.busyAnswer())
	}
	pause := m.exceedsIntakeLimits() || m.siblings.yielded || (m.siblings.hasParent && !m.lifecycle.ready)
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
