package balancer

// startAttempt records the start of an attempt and returns the decision for the caller.
func (b *Balancer) startAttempt(now float64, session *Session, backend int) Decision {
	b.attempts.inFlight++
	if session.attempt.number > 0 {
		b.attempts.budget.recordRetry(now)
	}
	session.attempt.number++
	session.attempt.backend = backend
	session.attempt.startedAt = now
	session.state.reserved = true
	b.reserve(session)
	b.poller.unreported.add(backend, session.assignment())
	return Decision{
		Kind:    Assign,
		Backend: b.ids[backend],
		// All the time that is left. On a slow store, an attempt that is given up early leaves its work there,
		// and its retry adds more.
		Timeout: session.Deadline - now,
		Attempt: session.attempt.number - 1,
	}
}

// SessionResumed adds a session that is established at the backend but that this relay did not know of.
func (b *Balancer) SessionResumed(now float64, session *Session, id uint32) {
	backend, known := b.indexByID[id]
	if !known {
		backend = b.addBackend(id)
	}
	b.estimateSessionLoad(session)
	session.state.known = true
	session.state.arrivedAt = now
	session.executed.isPossible = true
	session.attempt.backend = backend
	session.attempt.number = 1
	session.state.reserved = true
	session.state.established = true
	b.reserve(session)
}

// SessionReceived adds a session that another process of this relay established and transferred, with the
// load known there.
func (b *Balancer) SessionReceived(now float64, session *Session, id uint32, load float64, measured bool) {
	b.SessionResumed(now, session, id)
	b.changeLoad(session, load)
	session.measured = measured
}

// ClientDisconnected records that the client has disconnected, and reports whether AttemptFinished is still to
// be called for the session.
func (b *Balancer) ClientDisconnected(session *Session) bool {
	session.state.clientGone = true
	return session.state.reserved
}

// RecordEarlierAttempt records, before the session's first Assign, that an attempt of its client at another
// relay may have been executed at that backend and time. It counts as the session's own. If the backend is
// unknown, so are its zone and cell.
func (b *Balancer) RecordEarlierAttempt(session *Session, id uint32, at float64) {
	zone, cell := -1, -1
	if backend, known := b.indexByID[id]; known {
		zone = b.zones[backend]
		cell = b.cells[backend]
	}
	session.setExecuted(at, zone, cell)
}

// MayExecute reports whether the request of the attempt in flight may be sent at that time. It may not once the
// deduplication window of an earlier attempt that may have been executed has ended, as the backend would not
// recognise the request as a repeat.
func (b *Balancer) MayExecute(now float64, session *Session) bool {
	return b.attempts.mayExecute(session, now)
}

// ExecutedAt returns the start of the first attempt that may have been executed, in Unix milliseconds, and
// whether there is one. The deduplication window begins then.
func (s *Session) ExecutedAt() (at float64, isPossible bool) {
	return s.executed.at, s.executed.isPossible
}

// setExecuted records that an attempt may have been executed, at that time, zone and cell; -1: unknown zone or
// cell.
func (s *Session) setExecuted(at float64, zone, cell int) {
	s.executed = executedAttempt{isPossible: true, at: at, zone: zone, cell: cell}
}

// PreferBackend sets, before the session's first Assign, the backend where it or its group was established
// before, according to another relay. It is a hint: the first attempt goes there only if the backend may have
// the session and has room.
func (b *Balancer) PreferBackend(session *Session, id uint32) {
	if backend, known := b.indexByID[id]; known {
		session.preferred = optionalBackend{index: backend, isSet: true}
	}
}
