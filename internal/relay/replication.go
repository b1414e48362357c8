package relay

// What other relays hold for this one. A client that is told to come again while the whole fleet recovers finds its
// reservation at any relay, though the one that told it is lost. An attempt that may not simply be made again is marked
// before its request goes out, so that the client's next attempt, at whatever relay, does not run it again. Where a
// client is established is held as a hint. How records are held is package replication's business.

// RecordKind is what a record that other relays hold is about.
type RecordKind uint8

// The kinds of records.
const (
	ReservationRecord RecordKind = iota // a client was told to come again at a time
	AttemptRecord                       // an attempt of a client may run at a backend
	AffinityRecord                      // a client, or its group, is established at a backend: a hint
)

// All in milliseconds.
const (
	replicationTimeout = 8.0  // the longest that an answer or a request waits for other relays to hold a record
	lookupTimeout      = 50.0 // the longest that a retry waits to hear of an earlier attempt
	lookupTimeShare    = 0.25 // of the time that the retry has left, which that may take
	minRejectionWait   = 1.0  // that a client is told whose rejection was being replicated
)

// replicationState owns what is replicated at other relays.
type replicationState struct {
	enabled         bool
	affinity        bool    // where clients and groups are established, too
	markerRetention float64 // milliseconds beyond an attempt's hard limit that its marker is held; 0: no markers
	recovering      bool    // the whole fleet lost power and recovers
}

// enableReplication has records held at other relays from now on.
func (m *StateMachine) enableReplication(e ReplicationEnabled) {
	m.replication.enabled = true
	m.replication.markerRetention = e.MarkerRetentionMillis
	m.replication.affinity = e.Affinity
}

// setRecovering says that the whole fleet lost power and recovers, or that it has recovered.
func (m *StateMachine) setRecovering(on bool, capacityShare float64) {
	m.balancer().SetRecovering(on, capacityShare)
	if on != m.replication.recovering {
		m.log("recovery of the fleet", "on", on)
	}
	m.replication.recovering = on
}

// recordReplicated handles whether others hold a record: the answer or the request that waited for it goes out.
func (m *StateMachine) recordReplicated(connID uint64, replicated bool) {
	conn := m.conns.byID[connID]
	if conn == nil || conn.session == nil {
		return
	}
	session := conn.session
	if session.backendConn == conn {
		m.markerReplicated(session, replicated)
		return
	}
	if session.state == replicating {
		m.rejectionReplicated(session, replicated)
	}
}

// recordFound handles what other relays hold on a client.
func (m *StateMachine) recordFound(e RecordFound) {
	if e.Record == ReservationRecord {
		m.balancer().RestoreReservations(m.now, map[uint64]float64{e.Key: e.At})
		return
	}
	if conn := m.conns.byID[e.Conn]; conn != nil && conn.session != nil && conn.session.state == lookingUp {
		m.finishLookup(conn.session, e)
	}
}

// Reservations.

// replicateRejection has others hold what the client is about to be told; false: it is told at once.
func (m *StateMachine) replicateRejection(session *session, wait float64) bool {
	isWorthwhile := m.replication.enabled && m.replication.recovering && session.Key != 0 && wait > 0
	if !isWorthwhile || session.clientConn == nil || m.now+2*replicationTimeout > session.Deadline {
		return false
	}
	m.queue.dispatcher.Forget(session)
	m.enter(session, replicating)
	session.deadline = m.now + wait // when its client is to come again
	connID := session.clientConn.id
	session.stateTimer.fire = func() { m.recordReplicated(connID, false) }
	m.timers.set(&session.stateTimer, m.now+replicationTimeout)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: ReservationRecord, Conn: connID, Key: session.Key,
		At: session.deadline})
	return true
}

// rejectionReplicated gives the answer that waited. Where others hold the reservation, this relay goes by their word too:
// else it could be used elsewhere and then here again.
func (m *StateMachine) rejectionReplicated(session *session, replicated bool) {
	if replicated {
		m.RejectionsReplicated++
		m.balancer().DropReservation(session.Key)
	} else {
		m.RejectionsUnreplicated++
	}
	m.sendFinalAnswer(session, formatBusy(max(session.deadline-m.now, minRejectionWait)))
}

// lookUpReservation seeks what others hold for the client. Nothing waits for it: a session that finds no capacity at once
// is assigned again later, and goes first by then.
func (m *StateMachine) lookUpReservation(session *session) {
	if m.replication.enabled && m.replication.recovering && session.Key != 0 {
		m.effects.replicate(ReplicationRequest{Operation: Lookup, Record: ReservationRecord, Key: session.Key})
	}
}

// Attempt markers.

// needsMarker tells whether an attempt of the session is marked.
func (m *StateMachine) needsMarker(session *session) bool {
	return m.replication.markerRetention > 0 && session.Key != 0 && m.rules.nonIdempotent[session.Class]
}

// replicateMarker has others hold that the attempt that begins may run, while it connects. A session of which an earlier
// attempt may have run is marked already.
func (m *StateMachine) replicateMarker(session *session) {
	if session.state != attempting || session.markerConn != 0 || !m.needsMarker(session) {
		return
	}
	conn := session.backendConn
	session.markerConn = conn.id
	session.markerDeadline = min(m.now+replicationTimeout, session.deadline)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AttemptRecord, Conn: conn.id, Key: session.Key,
		At: session.Deadline + m.replication.markerRetention, Backend: conn.backend.Name})
}

// awaitMarker tells whether the request still waits for the marker. Meanwhile nothing has gone out.
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
	m.timers.set(&conn.deadline, session.markerDeadline)
	return true
}

// markerReplicated sends the request that waited.
func (m *StateMachine) markerReplicated(session *session, replicated bool) {
	if session.state != attempting || session.markerDeadline == 0 {
		return
	}
	session.markerDeadline = 0
	if replicated {
		m.AttemptsMarked++
	} else {
		m.AttemptsUnmarked++
	}
	if session.backendConn.awaitsMarker {
		m.sendRequest(session)
	}
}

// releaseMarker takes the marker back: the client has its answer, or nothing ran.
func (m *StateMachine) releaseMarker(session *session) {
	if session.markerConn == 0 {
		return
	}
	m.effects.replicate(ReplicationRequest{Operation: Release, Record: AttemptRecord, Conn: session.markerConn,
		Key: session.Key})
	session.markerConn = 0
	session.markerDeadline = 0
}

// Affinity.

// affinityKey is the number of the session's group, or of its client, told apart.
func affinityKey(session *session) uint64 {
	if session.AffinityGroup != 0 {
		return session.AffinityGroup
	}
	return ^session.Key
}

// hasAffinity tells whether others hold where the session is established.
func (m *StateMachine) hasAffinity(session *session) bool {
	return m.replication.affinity && (session.AffinityGroup != 0 || session.Key != 0)
}

// replicateAffinity has others hold where the session is established, for when this relay is lost.
func (m *StateMachine) replicateAffinity(session *session) {
	if !m.hasAffinity(session) {
		return
	}
	conn := session.backendConn
	session.affinityConn = conn.id
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AffinityRecord, Conn: conn.id,
		Key: affinityKey(session), Backend: conn.backend.Name})
}

// releaseAffinity takes that back where the session has come to its end: its client is not to come again. A group may
// have other sessions there.
func (m *StateMachine) releaseAffinity(session *session, why EndReason) {
	hasCompleted := why == ClientClosed || why == BackendFinished
	if session.affinityConn != 0 && session.AffinityGroup == 0 && hasCompleted {
		m.effects.replicate(ReplicationRequest{Operation: Release, Record: AffinityRecord, Conn: session.affinityConn,
			Key: affinityKey(session)})
	}
}

// Lookups before a retry is assigned.

// lookUpAttempts seeks the marker of an earlier attempt, where the client says that there was one, and where the client
// or its group was established; false: nothing is waited for.
func (m *StateMachine) lookUpAttempts(session *session) bool {
	if !session.request.IsRetry || !m.replication.enabled {
		return false
	}
	wait := 0.0
	if m.hasAffinity(session) {
		wait = m.lookUp(session, AffinityRecord, affinityKey(session), wait, replicationTimeout)
	}
	if m.needsMarker(session) {
		wait = m.lookUp(session, AttemptRecord, session.Key, wait, lookupTimeout)
	}
	if session.pendingLookups == 0 {
		return false
	}
	m.enter(session, lookingUp)
	session.stateTimer.fire = func() { m.assign(session) }
	m.timers.set(&session.stateTimer, m.now+wait)
	return true
}

// lookUp seeks one record, and returns how long the session waits: as long as before, or for this one where that is
// longer.
func (m *StateMachine) lookUp(session *session, record RecordKind, key uint64, wait, timeout float64) float64 {
	wait = max(wait, min(timeout, (session.Deadline-m.now)*lookupTimeShare))
	session.pendingLookups++
	m.effects.replicate(ReplicationRequest{Operation: Lookup, Record: record, Conn: session.clientConn.id, Key: key,
		At: m.now + wait})
	return wait
}

// finishLookup hands what was found to the balancer, and has the session assigned once there is nothing more to wait for.
func (m *StateMachine) finishLookup(session *session, e RecordFound) {
	backend := m.endpoints.byName[e.Backend]
	switch {
	case !e.Found:
	case e.Record == AttemptRecord:
		m.RepeatsDetected++
		id := uint32(0) // of no known backend: then the failure scope of a session that refers to it isn't known either
		if backend != nil {
			id = backend.id
		}
		m.balancer().RecordEarlierAttempt(&session.Entry.Session, id, e.At)
	case backend != nil:
		m.AffinityHits++
		m.balancer().PreferBackend(&session.Entry.Session, backend.id)
	}
	session.pendingLookups--
	if session.pendingLookups <= 0 {
		m.assign(session)
	}
}
