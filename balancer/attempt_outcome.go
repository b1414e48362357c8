package balancer

import "math"

// AttemptFinished records the outcome of an attempt, or of the session that it established, and decides what
// follows: another attempt, the queue, or the client's answer. With last the session is over, whatever the
// outcome, as it is if it was established or its client has left: then there is NoDecision.
//
// Otherwise it calls Assign again, which decides on a retry by the attempts and time left, the retry budget,
// idempotency and the deduplication window, and concurrency. The first attempt whose outcome does not prove
// that the request was not executed (AttemptOutcome.IsUnprocessed) is the one that may have been executed.
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

// applyOutcome updates the backend's health and the concurrency limit by the outcome.
func (b *Balancer) applyOutcome(now float64, session *Session, outcome AttemptOutcome) {
	backend := session.attempt.backend
	wasSilent := b.outliers.consecutiveFailures[backend] > 0
	switch {
	case outcome == OutcomeConnectionLost && session.state.established && wasSilent:
		b.outliers.sessionsLost[backend] = true
	case session.state.established && session.isShed(now, outcome):
		// Sessions shed by a full backend all come to the next one, at every relay, and may go round.
		b.attempts.reduceConcurrency(now, shedConcurrencyFactor)
	case outcome == OutcomeUnreachable:
		b.recordFailure(backend)
	case outcome == OutcomeSucceeded && !session.state.established: // an answer that ends the session
		b.recordEstablished(now, session)
	case outcome == OutcomeTimedOut:
		// A slow shared store times out everywhere: only the backend's own poll tells, so it is due at once.
		b.poller.polls.latestAt[backend] = math.Inf(-1)
		b.updateTracking(backend)
	}
}

// countAttempt records the end of an attempt that established no session.
func (b *Balancer) countAttempt(now float64, session *Session, outcome AttemptOutcome) {
	backend := session.attempt.backend
	isLate := outcome == OutcomeFailed || outcome == OutcomeTimedOut
	// A silent backend says nothing of the store: a zone that is cut off must not be taken for a wave.
	if isLate && b.outliers.consecutiveFailures[backend] == 0 {
		b.attempts.recordOutcome(session, now, false)
	}
	b.attempts.inFlight--
	b.observeAttempt(backend, isLate || outcome == OutcomeUnreachable || outcome == OutcomeConnectionLost)
}

// SessionEstablished records that the attempt was accepted and the session goes on.
func (b *Balancer) SessionEstablished(now float64, session *Session) {
	if !session.state.reserved || session.state.established {
		return // reported twice, or too late
	}
	session.state.established = true
	b.attempts.inFlight--
	b.observeAttempt(session.attempt.backend, false)
	b.recordEstablished(now, session)
}

// recordEstablished records that an attempt was answered without error.
func (b *Balancer) recordEstablished(now float64, session *Session) {
	b.attempts.countEstablished(now)
	b.outliers.consecutiveFailures[session.attempt.backend] = 0
	b.updateTracking(session.attempt.backend)
	objective := b.attempts.classes[session.Class].LatencyObjective
	b.attempts.recordOutcome(session, now, now-session.attempt.startedAt <= timelyShare*objective)
}

// giveUp ends the session without another attempt. The client is told to repeat its request only if that is
// safe.
func (b *Balancer) giveUp(session *Session, now float64) Decision {
	if !b.attempts.canBeRepeated(session, now) {
		return Decision{Kind: Fail}
	}
	return Decision{Kind: Reject, Wait: b.retryAfter(session, now)}
}
