package relay

// This file has other relays hold records for this one. A client that is told to retry later, while the whole fleet
// recovers, finds its reservation at any relay, even if the relay that rejected it is lost. An attempt that is not safe
// to repeat is marked before its request is sent, so that a retry of the client, at any relay, does not run it again.
// Where a client is established is held as a hint. Package replication stores and finds the records.

// RecordKind is the kind of a record that other relays hold.
type RecordKind uint8

// The kinds of records.
const (
	ReservationRecord RecordKind = iota // a client was told to retry at a certain time
	AttemptRecord                       // an attempt marker: a client's attempt may run, or have run, at a backend
	AffinityRecord                      // a hint: a client, or its affinity group, is established at a backend
)

const (
	replicationTimeout = 8.0 // most ms that an answer or a request waits for other relays to hold a record
	minRejectionWait   = 1.0 // ms, the shortest wait that a client is told after its rejection was replicated
)

// replicationState is what this relay replicates at other relays.
type replicationState struct {
	enabled         bool    // other relays hold records for this one
	affinity        bool    // the records include where clients and groups are established
	markerRetention float64 // ms that a marker is held beyond its session's deadline; 0: no attempt is marked
	recovering      bool    // the whole fleet recovers from a full outage
}

// enableReplication starts replicating records at other relays.
func (m *StateMachine) enableReplication(e ReplicationEnabled) {
	m.replication.enabled = true
	m.replication.markerRetention = e.MarkerRetentionMillis
	m.replication.affinity = e.Affinity
}

// setRecovering sets whether the whole fleet recovers from a full outage, such as a loss of power, and which share of
// the capacity of backends that are warming up this relay may use.
func (m *StateMachine) setRecovering(on bool, capacityShare float64) {
	m.balancer().SetRecovering(on, capacityShare)
	if on != m.replication.recovering {
		m.log("recovery of the fleet", "on", on)
	}
	m.replication.recovering = on
}

// recordReplicated handles the result of a replication: the answer or the request that waited for it is sent.
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

// recordFound handles the result of a lookup.
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

// replicateRejection has other relays hold the reservation of a client that is about to be rejected, and reports
// whether the rejection waits for that. If it does not, the caller answers the client at once.
func (m *StateMachine) replicateRejection(session *session, wait float64) bool {
	shouldReplicate := m.replication.enabled && m.replication.recovering && session.Key != 0 && wait > 0
	if !shouldReplicate || session.clientConn == nil || m.now+2*replicationTimeout > session.Deadline {
		return false
	}
	m.queue.dispatcher.Forget(session)
	m.enter(session, replicating)
	session.deadline = m.now + wait // when its client is to retry
	connID := session.clientConn.id
	session.stateTimer.fire = func() { m.recordReplicated(connID, false) }
	m.timers.set(&session.stateTimer, m.now+replicationTimeout)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: ReservationRecord, Conn: connID, Key: session.Key,
		At: session.deadline})
	return true
}

// rejectionReplicated sends the rejection that waited. If other relays hold the reservation, this relay drops its own
// copy and looks the reservation up as they do: the client could otherwise use it at another relay and then again here.
func (m *StateMachine) rejectionReplicated(session *session, replicated bool) {
	if replicated {
		m.RejectionsReplicated++
		m.balancer().DropReservation(session.Key)
	} else {
		m.RejectionsUnreplicated++
	}
	m.sendFinalAnswer(session, formatBusy(max(session.deadline-m.now, minRejectionWait)))
}

// lookUpReservation looks up the client's reservation at other relays. The session does not wait for the result: one
// that finds no capacity at once is queued, and has precedence by the time that it is assigned again.
func (m *StateMachine) lookUpReservation(session *session) {
	if m.replication.enabled && m.replication.recovering && session.Key != 0 {
		m.effects.replicate(ReplicationRequest{Operation: Lookup, Record: ReservationRecord, Key: session.Key})
	}
}

// Attempt markers.

// needsMarker reports whether the session's attempts must be marked.
func (m *StateMachine) needsMarker(session *session) bool {
	return m.replication.markerRetention > 0 && session.Key != 0 && m.rules.nonIdempotent[session.Class]
}

// replicateMarker has other relays hold a marker for the attempt that begins, while its connection is being set up. A
// session of which an earlier attempt may have run has a marker already.
func (m *StateMachine) replicateMarker(session *session) {
	if session.state != attempting || session.markerConn != 0 || !m.needsMarker(session) {
		return
	}
	conn := session.backendConn
	session.markerConn = conn.id
	session.markerDeadline = min(m.now+replicationTimeout, session.deadline)
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AttemptRecord, Conn: conn.id, Key: session.Key,
		At: session.Deadline + m.replication.markerRetention, Backend: conn.backend.Name, ExecutedAt: m.executedAt(session)})
}

// executedAt returns the earliest time at which the session's request may have been executed, if the attempt that
// begins now is counted. Backends recognise a repeat from then on, so a repeat does not begin the window anew.
func (m *StateMachine) executedAt(session *session) float64 {
	if at, isPossible := session.Entry.Session.ExecutedAt(); isPossible {
		return at
	}
	return m.now
}

// deferForMarker makes the request wait while its marker is being replicated, until markerDeadline at the latest, and
// reports whether it waits. Nothing of the request is sent before.
func (m *StateMachine) deferForMarker(session *session) bool {
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

// markerReplicated handles the result of replicating a marker: either way, a request that waited for it is sent.
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

// releaseMarker releases the attempt's marker: the client has its answer, or the backend did not process the request.
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

// affinityKey returns the key of the session's affinity record: its group, or the inverted key of a client without a
// group, so that the two are told apart.
func affinityKey(session *session) uint64 {
	if session.AffinityGroup != 0 {
		return session.AffinityGroup
	}
	return ^session.Key
}

// replicatesAffinity reports whether other relays are to hold where the session is established.
func (m *StateMachine) replicatesAffinity(session *session) bool {
	return m.replication.affinity && (session.AffinityGroup != 0 || session.Key != 0)
}

// replicateAffinity has other relays hold where the session is established, in case this relay is lost.
func (m *StateMachine) replicateAffinity(session *session) {
	if !m.replicatesAffinity(session) {
		return
	}
	conn := session.backendConn
	session.affinityConn = conn.id
	m.effects.replicate(ReplicationRequest{Operation: Replicate, Record: AffinityRecord, Conn: conn.id,
		Key: affinityKey(session), Backend: conn.backend.Name})
}

// releaseAffinity releases the affinity record of a session that was served to its end, as its client is not expected
// back. The record of a group stays: the group may have other sessions at the backend.
func (m *StateMachine) releaseAffinity(session *session, reason EndReason) {
	hasCompleted := reason == ClientClosed || reason == BackendFinished
	if session.affinityConn != 0 && session.AffinityGroup == 0 && hasCompleted {
		m.effects.replicate(ReplicationRequest{Operation: Release, Record: AffinityRecord, Conn: session.affinityConn,
			Key: affinityKey(session)})
	}
}
