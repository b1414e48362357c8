package relay

// This file looks up, before a client's retry is assigned, whether an earlier attempt of it may have run, and where the
// client or its group was established.

const (
	lookupTimeout     = 50.0 // ms that one lookup of an attempt marker is waited for
	lookupInterval    = 10.0 // ms before an attempt marker is looked up again
	lookupTimeShare   = 0.25 // share of a retry's remaining time that it may wait for lookups
	unknownBackendID  = 0    // no backend has this ID, so that its zone and cell count as unknown
	unknownExecutedAt = 0.0  // Unix milliseconds: any deduplication window that began then has ended
)

// LookupAnswer is what a lookup at other relays has told of a record.
type LookupAnswer uint8

// The answers to a lookup.
const (
	RecordHeld    LookupAnswer = iota + 1 // a relay holds the record
	RecordNotHeld                         // so many relays answered that one of them would hold the record
	NobodyAsked                           // too few other relays are known to ask
	LookupTooLate                         // too few relays answered in time
)

// retryLookups are the lookups that a client's retry waits for.
type retryLookups struct {
	awaitsMarker   bool    // whether an earlier attempt may have run is not known yet
	awaitsAffinity bool    // where the client was established is not known yet
	markerDeadline float64 // Unix milliseconds until which the marker is looked up
}

// lookUpForRetry looks up, for a client that says it has tried or been established before, the marker of its earlier
// attempt and the backend of its earlier session or its group. It reports whether the session waits for the results.
func (m *StateMachine) lookUpForRetry(session *session) bool {
	if !session.request.IsRetry || !m.replication.enabled {
		return false
	}
	session.lookups = retryLookups{
		awaitsMarker:   m.needsMarker(session),
		awaitsAffinity: m.replicatesAffinity(session),
		markerDeadline: m.now + m.lookupTime(session),
	}
	if !session.lookups.awaitsMarker && !session.lookups.awaitsAffinity {
		return false
	}
	m.enter(session, lookingUp)
	if session.lookups.awaitsAffinity {
		m.lookUpAffinity(session)
	}
	if session.lookups.awaitsMarker {
		m.lookUpMarker(session)
	}
	return true
}

// lookupTime returns for how many milliseconds the session may wait for lookups.
func (m *StateMachine) lookupTime(session *session) float64 {
	return (session.Deadline - m.now) * lookupTimeShare
}

// lookUpAffinity looks up where the client or its group was established. The session goes on without the answer if it
// comes late, unless it waits for a marker as well.
func (m *StateMachine) lookUpAffinity(session *session) {
	m.lookUp(session, AffinityRecord, affinityKey(session), min(replicationTimeout, m.lookupTime(session)))
	session.stateTimer.fire = func() { m.assign(session) }
}

// lookUpMarker looks up the marker of an earlier attempt.
func (m *StateMachine) lookUpMarker(session *session) {
	m.lookUp(session, AttemptRecord, session.Key, min(lookupTimeout, session.lookups.markerDeadline-m.now))
	session.stateTimer.fire = func() { m.markerLookupTimedOut(session) }
}

// markerLookupTimedOut ends the wait for one lookup of the marker, and for the affinity that was looked up beside it.
func (m *StateMachine) markerLookupTimedOut(session *session) {
	if session.lookups.awaitsMarker {
		m.lookUpMarkerLater(session)
	} else {
		m.assign(session)
	}
}

// lookUp starts the lookup of one record, whose answer is awaited for that many milliseconds.
func (m *StateMachine) lookUp(session *session, record RecordKind, key uint64, timeout float64) {
	m.effects.replicate(ReplicationRequest{Operation: Lookup, Record: record, Conn: session.clientConn.id, Key: key,
		At: m.now + timeout})
	m.timers.set(&session.stateTimer, m.now+timeout)
}

// lookUpMarkerLater looks up the marker again after lookupInterval, as the last lookup did not tell whether an earlier
// attempt may have run. If no time is left for that, the lookups end.
func (m *StateMachine) lookUpMarkerLater(session *session) {
	if m.now+lookupInterval >= session.lookups.markerDeadline {
		m.endLookups(session)
		return
	}
	session.stateTimer.fire = func() { m.lookUpMarker(session) }
	m.timers.set(&session.stateTimer, m.now+lookupInterval)
}

// endLookups has the session assigned without further lookups. If it is still unknown whether an earlier attempt may
// have run, that counts as executed: a second execution can't be undone.
func (m *StateMachine) endLookups(session *session) {
	if session.lookups.awaitsMarker {
		m.LookupsUndecided++
		m.balancer().RecordEarlierAttempt(&session.Entry.Session, unknownBackendID, unknownExecutedAt)
	}
	m.assign(session)
}

// finishLookup handles the answer to a lookup, and has the session assigned once no answer is awaited.
func (m *StateMachine) finishLookup(session *session, e RecordFound) {
	if e.Record == AffinityRecord {
		m.affinityLookedUp(session, e)
	} else {
		m.markerLookedUp(session, e)
	}
	if session.state == lookingUp && !session.lookups.awaitsMarker && !session.lookups.awaitsAffinity {
		m.assign(session)
	}
}

// affinityLookedUp passes the backend that was found to the balancer. It is a hint, so that whatever else the lookup
// told counts as nothing found.
func (m *StateMachine) affinityLookedUp(session *session, e RecordFound) {
	session.lookups.awaitsAffinity = false
	//exhaustive:enforce
	switch e.Answer {
	case RecordHeld:
		if backend := m.endpoints.byName[e.Backend]; backend != nil {
			m.AffinityHits++
			m.balancer().PreferBackend(&session.Entry.Session, backend.id)
		}
	case RecordNotHeld, NobodyAsked, LookupTooLate:
	}
}

// markerLookedUp passes an earlier attempt that may have run to the balancer. While nobody could tell, the marker is
// looked up again.
func (m *StateMachine) markerLookedUp(session *session, e RecordFound) {
	if !session.lookups.awaitsMarker {
		return
	}
	//exhaustive:enforce
	switch e.Answer {
	case RecordHeld:
		m.RepeatsDetected++
		session.lookups.awaitsMarker = false
		m.balancer().RecordEarlierAttempt(&session.Entry.Session, m.backendID(e.Backend), e.At)
	case RecordNotHeld:
		session.lookups.awaitsMarker = false
	case NobodyAsked, LookupTooLate:
		m.lookUpMarkerLater(session)
	}
}

// backendID returns the ID of the backend with that name, or unknownBackendID.
func (m *StateMachine) backendID(name string) uint32 {
	if backend := m.endpoints.byName[name]; backend != nil {
		return backend.id
	}
	return unknownBackendID
}
