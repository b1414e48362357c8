package balancer

// startAttempt takes that an attempt of the session begins, and returns the decision that has it begun.
func (b *Balancer) startAttempt(now float64, session *Session, backend int) Decision {
	b.attempts.inFlight++
	if session.attempts > 0 {
		b.attempts.budget.recordRetry(now)
	}
	session.attempts++
	session.backend = backend
	session.attemptedAt = now
	session.reserved = true
	b.reserve(session)
	b.poller.addAssignment(backend, assignment{at: now, load: session.load})
	return Decision{
		Kind:    Assign,
		Backend: b.ids[backend],
		// All the time that is left: an attempt cut short on a slow store leaves its work there, and asks for
		// more.
		Timeout: session.Deadline - now,
		Attempt: session.attempts - 1,
	}
}

// SessionResumed takes an established session that this relay did not know of, at that backend.
func (b *Balancer) SessionResumed(now float64, session *Session, id uint32) {
	backend, known := b.indexByID[id]
	if !known {
		backend = b.addBackend(id)
	}
	b.estimateSessionLoad(session)
	session.known = true
	session.arrivedAt = now
	session.mayHaveRun = true
	session.backend = backend
	session.attempts = 1
	session.reserved = true
	session.established = true
	b.reserve(session)
}

// SessionReceived takes a session that was established at another process of this relay, with its load there.
func (b *Balancer) SessionReceived(now float64, session *Session, id uint32, load float64, measured bool) {
	b.SessionResumed(now, session, id)
	b.changeLoad(session, load)
	session.measured = measured
}

// ClientDisconnected takes that the client has left, and reports whether an outcome is still to come.
func (b *Balancer) ClientDisconnected(session *Session) bool {
	session.clientGone = true
	return session.reserved
}

// RecordEarlierAttempt takes, before the session's first Assign, that an attempt of its client at another
// relay may have been executed, at that backend and time: it is treated as if it had been the session's own.
// Where the backend is not known, no zone or cell is.
func (b *Balancer) RecordEarlierAttempt(session *Session, id uint32, at float64) {
	zone, cell := -1, -1
	if backend, known := b.indexByID[id]; known {
		zone = b.zones[backend]
		cell = b.cells[backend]
	}
	session.setExecuted(at, zone, cell)
}

// setExecuted takes that an attempt may have been executed, and where: -1 stands for an unknown zone or cell.
func (s *Session) setExecuted(at float64, zone, cell int) {
	s.mayHaveRun = true
	s.executedAt = at
	s.executedZone = zone
	s.executedCell = cell
}

// PreferBackend takes, before the session's first Assign, where it or its group was established before, by
// another relay's word. It is a hint: it goes before the session's turn at its first attempt, and only where
// that backend may have it.
func (b *Balancer) PreferBackend(session *Session, id uint32) {
	if backend, known := b.indexByID[id]; known {
		session.preferred = backend + 1
	}
}
