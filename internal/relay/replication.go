package relay

// This file is the part of the reducer for words that other relays hold as well. A client that is told to
// come again while the whole fleet recovers finds its place at any relay, though the one that told it is
// lost. And a setup try that may run is marked before it goes out, so that its client's next try, at whatever
// relay, does not run it again. How that is held is none of its business.

// RecordKind is what is held.
type RecordKind uint8

// The words.
const (
	ReservationRecord RecordKind = iota // a client was told to come at At
	AttemptRecord                       // a setup try of a client's may run at the backend Text: until At, or as it went out at At
	AffinityRecord                      // a client, or its group, stands at the backend Text: a hint
)

const (
	replicationTimeout = 8.0  // ms, that an answer or a head waits for others to hold it, at the most
	lookupTimeout      = 50.0 // that a client's further try waits for word of a former one, at the most
	lookupTimeShare    = 0.25 // of the time it has left
)

// enableReplication has records held at other relays from now on.
func (m *StateMachine) enableReplication(e ReplicationEnabled) {
	m.replicationEnabled = true
	m.markerRetention = e.MarkerRetentionMillis
	m.affinityReplicated = e.Affinity
}

// replicateRejection has others hold what the link's client is about to be told; false: it is told at once.
func (m *StateMachine) replicateRejection(session *session, wait float64) bool {
	if !m.replicationEnabled || !m.recovering || session.Key == 0 || wait <= 0 || session.clientConn == nil || m.now+2*replicationTimeout > session.Deadline {
		return false
	}
	m.dispatcher.Forget(session)
	m.enter(session, replicating)
	session.deadline = m.now + wait // when its client is to come again
	connID := session.clientConn.id
	session.stateTimer.fire = func() { m.recordReplicated(connID, false) }
	m.setTimer(&session.stateTimer, m.now+replicationTimeout)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Conn: connID, Key: session.Key, At: session.deadline})
	return true
}

// recordReplicated gives the answer that waited. Where others hold it, this relay goes by their word too: against a
// place that was used elsewhere being used here again. Or it lets the head go out that did.
func (m *StateMachine) recordReplicated(connID uint64, held bool) {
	conn := m.conns[connID]
	if conn == nil || conn.session == nil {
		return
	}
	session := conn.session
	if session.backendConn == conn {
		m.markerReplicated(session, held)
		return
	}
	if session.state != replicating {
		return
	}
	if held {
		m.RejectionsReplicated++
		m.dispatcher.Balancer.DropReservation(session.Key)
	} else {
		m.RejectionsUnreplicated++
	}
	m.sendFinalAnswer(session, formatBusy(max(session.deadline-m.now, 1)))
}

// lookUpReservation seeks what others hold for the link's client. Nothing waits for it: a link that finds no room at
// once asks for it again, and goes first by then.
func (m *StateMachine) lookUpReservation(session *session) {
	if m.replicationEnabled && m.recovering && session.Key != 0 {
		m.effects.replicate(ReplicationRequest{Operation: Lookup, Key: session.Key})
	}
}

// recordFound takes what was found.
func (m *StateMachine) recordFound(e RecordFound) {
	if e.Record == ReservationRecord {
		m.dispatcher.Balancer.RestoreReservations(m.now, map[uint64]float64{e.Key: e.At})
	} else if conn := m.conns[e.Conn]; conn != nil && conn.session != nil && conn.session.state == lookingUp {
		m.finishLookup(conn.session, e)
	}
}

// needsMarker tells whether a setup try of the link is marked.
func (m *StateMachine) needsMarker(session *session) bool {
	return m.markerRetention > 0 && session.Key != 0 && m.nonIdempotent[session.Class]
}

// replicateMarker has others hold that the setup try that begins may run, while it connects. A link whose former try
// may have run already is marked.
func (m *StateMachine) replicateMarker(session *session) {
	if session.state != attempting || session.markerConn != 0 || !m.needsMarker(session) {
		return
	}
	conn := session.backendConn
	session.markerConn, session.markerDeadline = conn.id, min(m.now+replicationTimeout, session.deadline)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AttemptRecord, Conn: conn.id, Key: session.Key, At: session.Deadline + m.markerRetention, Backend: conn.backend.Name})
}

// awaitMarker tells whether the head still waits for that. Meanwhile nothing has gone out.
func (m *StateMachine) awaitMarker(session *session) bool {
	if session.markerDeadline == 0 {
		return false
	}
	if m.now >= session.markerDeadline {
		session.markerDeadline = 0
		m.AttemptsUnmarked++
		return false
	}
	conn := session.backendConn
	conn.awaitsMarker = true
	conn.deadline.fire = func() { m.sendRequest(session) }
	m.setTimer(&conn.deadline, session.markerDeadline)
	return true
}

// markerReplicated has the head go out that waited.
func (m *StateMachine) markerReplicated(session *session, held bool) {
	if session.state != attempting || session.markerDeadline == 0 {
		return
	}
	if session.markerDeadline = 0; held {
		m.AttemptsMarked++
	} else {
		m.AttemptsUnmarked++
	}
	if session.backendConn.awaitsMarker {
		m.sendRequest(session)
	}
}

// releaseMarker takes the mark back: its client has the answer, or nothing ran.
func (m *StateMachine) releaseMarker(session *session) {
	if session.markerConn != 0 {
		m.effects.replicate(ReplicationRequest{Operation: Release, Record: AttemptRecord, Conn: session.markerConn, Key: session.Key})
		session.markerConn, session.markerDeadline = 0, 0
	}
}

// replicateAffinity has others hold where the link stands, for when this relay is lost.
func (m *StateMachine) replicateAffinity(session *session) {
	if m.affinityReplicated && (session.AffinityGroup != 0 || session.Key != 0) {
		session.affinityConn = session.backendConn.id
		m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AffinityRecord, Conn: session.affinityConn, Key: affinityKey(session), Backend: session.backendConn.backend.Name})
	}
}

// affinityKey is the group's number, or the client's, told apart.
func affinityKey(session *session) uint64 {
	if session.AffinityGroup != 0 {
		return session.AffinityGroup
	}
	return ^session.Key
}

// releaseAffinity takes that back where the client has ended the link itself: it is not to come again. A group may
// have others there.
func (m *StateMachine) releaseAffinity(session *session, how EndReason) {
	if session.affinityConn != 0 && session.AffinityGroup == 0 && (how == ClientClosed || how == BackendFinished) {
		m.effects.replicate(ReplicationRequest{Operation: Release, Record: AffinityRecord, Conn: session.affinityConn, Key: affinityKey(session)})
	}
}

// lookUpAttempts seeks a mark of a former try, where the client says that there was one, and where it or its group
// stood; false: nothing is waited for.
func (m *StateMachine) lookUpAttempts(session *session) bool {
	if !session.request.IsRetry || !m.replicationEnabled {
		return false
	}
	connID, wait := session.clientConn.id, 0.0
	ask := func(word RecordKind, key uint64, longest float64) {
		wait = max(wait, min(longest, (session.Deadline-m.now)*lookupTimeShare))
		session.pendingLookups++
		m.effects.replicate(ReplicationRequest{Operation: Lookup, Record: word, Conn: connID, Key: key, At: m.now + wait})
	}
	if m.affinityReplicated && (session.AffinityGroup != 0 || session.Key != 0) {
		ask(AffinityRecord, affinityKey(session), replicationTimeout)
	}
	if m.needsMarker(session) {
		ask(AttemptRecord, session.Key, lookupTimeout)
	}
	if session.pendingLookups == 0 {
		return false
	}
	m.enter(session, lookingUp)
	session.stateTimer.fire = func() { m.assign(session) }
	m.setTimer(&session.stateTimer, m.now+wait)
	return true
}

// finishLookup takes what was said of the link's client, and has it placed once there is nothing more to wait for.
func (m *StateMachine) finishLookup(session *session, e RecordFound) {
	backend := m.backends[e.Backend]
	switch {
	case !e.Found:
	case e.Record == AttemptRecord:
		m.RepeatsDetected++
		id := uint32(0) // of no server that is known: then the scope of a referenced link isn't either
		if backend != nil {
			id = backend.id
		}
		m.dispatcher.Balancer.RecordEarlierAttempt(&session.Entry.Session, id, e.At)
	case backend != nil:
		m.AffinityHits++
		m.dispatcher.Balancer.PreferBackend(&session.Entry.Session, backend.id)
	}
	if session.pendingLookups--; session.pendingLookups <= 0 {
		m.assign(session)
	}
}

func (m *StateMachine) assign(session *session) {
	m.stopTimer(&session.stateTimer)
	session.pendingLookups = 0
	m.enter(session, queued)
	m.dispatcher.Assign(m.now, session)
}
