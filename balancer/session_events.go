package balancer

// startAttempt records that an attempt of the session begins and returns the decision for it.
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
		// All the time that is left: an attempt cut short on a slow store leaves its work there, and asks for
		// more.
		Timeout: session.Deadline - now,
		Attempt: session.attempt.number - 1,
	}
}

// SessionResumed adds an established session at that backend, which this relay did not know of.
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

// SessionReceived adds a session that was established at another process of this relay, with its load there.
func (b *Balancer) SessionReceived(now float64, session *Session, id uint32, load float64, measured bool) {
	b.SessionResumed(now, session, id)
	b.changeLoad(session, load)
	session.measured = measured
}

// ClientDisconnected records that the client has left, and reports whether an outcome is still to come.
func (b *Balancer) ClientDisconnected(session *Session) bool {
	session.state.clientGone = true
	return session.state.reserved
}

// RecordEarlierAttempt records, before the session's first Assign, that an attempt of its client at another
// relay may have been executed at that backend and time. It counts as the session's own. Where the backend is
// not known, neither zone nor cell is.
func (b *Balancer) RecordEarlierAttempt(session *Session, id uint32, at float64) {
	zone, cell := -1, -1
	if backend, known := b.indexByID[id]; known {
		zone = b.zones[backend]
		cell = b.cells[backend]
	}
	session.setExecuted(at, zone, cell)
}

// setExecuted records that an attempt may have been executed, and where: -1 stands for an unknown zone or
// cell.
func (s *Session) setExecuted(at float64, zone, cell int) {
	s.executed = executedAttempt{isPossible: true, at: at, zone: zone, cell: cell}
}

// PreferBackend sets, before the session's first Assign, where it or its group was established before,
// according to another relay. It is a hint: the first attempt goes there if that backend may have the
// session.
func (b *Balancer) PreferBackend(session *Session, id uint32) {
	if backend, known := b.indexByID[id]; known {
		session.preferred = optionalBackend{index: backend, isSet: true}
	}
}
