package balancer

import "math"

// AttemptFinished records the outcome of an attempt, or of the session that it established, and returns what
// follows. That is NoDecision if the session is over: last is set, it was established, or its client has
// left.
//
// Otherwise AttemptFinished calls Assign again, which decides on a retry by the attempts and time left, the
// retry budget, idempotency and the deduplication window, and the limit of attempts in flight. The first
// attempt whose outcome does not prove that the request was not executed (AttemptOutcome.IsUnprocessed) is
// recorded as the one that may have been executed.
func (b *Balancer) AttemptFinished(now float64, session *Session, outcome AttemptOutcome,
	last bool) Decision {
	if !session.state.reserved {
		return Decision{}
	}
	session.state.reserved = false
	b.release(session)
	b.rememberLoad(now, session, outcome)
	b.collectEvidence(now, session, outcome)
	b.applyOutcome(now, session, outcome)
	if !session.state.established {
		b.countAttempt(now, session, outcome)
	}
	if last || session.state.established || session.state.clientGone {
		return Decision{}
	}
	if !outcome.IsUnprocessed() && !session.executed.isPossible {
		backend := session.attempt.backend
		session.setExecuted(session.attempt.startedAt, b.zones[backend], b.cells[backend])
	}
	return b.Assign(now, session)
}

// applyOutcome updates the backend's health and the concurrency limit according to the outcome.
func (b *Balancer) applyOutcome(now float64, session *Session, outcome AttemptOutcome) {
	backend := session.attempt.backend
	wasSilent := b.outliers.consecutiveFailures[backend] > 0
	switch {
	case outcome == OutcomeConnectionLost && session.state.established && wasSilent:
		b.outliers.sessionsLost[backend] = true
	case session.state.established && session.isShed(now, outcome):
		// The sessions shed by a full backend may overload the next backend too, and so on, as every relay
		// assigns its part of them again at the same time.
		b.attempts.reduceConcurrency(now, shedConcurrencyFactor)
	case outcome == OutcomeUnreachable:
		b.recordFailure(backend)
	case outcome == OutcomeSucceeded && !session.state.established: // the answer also ended the session
		b.recordEstablished(now, session)
	case outcome == OutcomeTimedOut:
		// With a slow shared store attempts time out at all backends, so a timeout does not show that this one
		// is unhealthy. A poll of it does, and is made due at once.
		b.poller.polls.latestAt[backend] = math.Inf(-1)
		b.updateTracking(backend)
	}
}

// countAttempt records the end of an attempt that established no session.
func (b *Balancer) countAttempt(now float64, session *Session, outcome AttemptOutcome) {
	backend := session.attempt.backend
	isLate := outcome == OutcomeFailed || outcome == OutcomeTimedOut
	// Attempts on a backend that does not answer polls show nothing about a shared store. They do not reduce
	// the limit, so that an unreachable zone is not mistaken for a burst.
	if isLate && b.outliers.consecutiveFailures[backend] == 0 {
		b.attempts.recordOutcome(session, now, false)
	}
	b.attempts.inFlight--
	b.observeAttempt(backend, isLate || outcome == OutcomeUnreachable || outcome == OutcomeConnectionLost)
}

// SessionEstablished records that the backend accepted the attempt and the session continues.
func (b *Balancer) SessionEstablished(now float64, session *Session) {
	if !session.state.reserved || session.state.established {
		return // reported twice, or too late
	}
	session.state.established = true
	b.attempts.inFlight--
	b.observeAttempt(session.attempt.backend, false)
	b.recordEstablished(now, session)
}

// recordEstablished records that the backend answered an attempt without error.
func (b *Balancer) recordEstablished(now float64, session *Session) {
	b.attempts.countEstablished(now)
	b.outliers.consecutiveFailures[session.attempt.backend] = 0
	b.updateTracking(session.attempt.backend)
	objective := b.attempts.classes[session.Class].LatencyObjective
	b.attempts.recordOutcome(session, now, now-session.attempt.startedAt <= timelyShare*objective)
}

// giveUp returns the decision that ends the session: Reject if the client may safely repeat its request, else
// Fail.
func (b *Balancer) giveUp(session *Session, now float64) Decision {
	if !b.attempts.canBeRepeated(session, now) {
		return Decision{Kind: Fail}
	}
	return Decision{Kind: Reject, Wait: b.retryAfter(session, now)}
}
