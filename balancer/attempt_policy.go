package balancer

import "math"

const (
	maxConcurrentAttempts = 64.0     // of all relays together
	lateAttemptFactor     = 0.5      // share of the concurrency limit left by a late or failed attempt
	shedConcurrencyFactor = 1.0 / 16 // share of it left by a shed session
	timelyShare           = 0.5      // share of the latency objective within which an attempt is timely
	establishedDecay      = 10000.0  // time in which the count of sessions fades to 1/e
)

// AttemptPolicy bounds attempts: how many a session has, whether one may follow another that may have been
// executed, and how many are in flight at once.
type AttemptPolicy struct {
	classes       []Class
	maxAttempts   int
	maxRetryAfter float64 // longest Retry-After that clients honour; 0: none is sent
	relays        float64
	budget        *RetryBudget // nil: retries are not bounded
	draining      bool         // another process of this relay owns the retry and slow-start budgets

	established      float64 // fading count of established sessions
	establishedSpan  float64 // time over which they were counted, fading alike
	establishedAsOf  float64 // when both were last updated
	inFlight         int
	concurrencyLimit float64 // of attempts in flight; below 1, the chance of a single one
	limitReducedAt   float64 // when the limit was last cut
}

// NewAttemptPolicy returns a policy with nothing in flight. The longest Retry-After is in milliseconds (0:
// none is sent); a nil budget does not bound retries.
func NewAttemptPolicy(classes []Class, maxAttempts int, maxRetryAfter float64, relays int,
	budget *RetryBudget) *AttemptPolicy {
	return &AttemptPolicy{
		classes:          classes,
		maxAttempts:      maxAttempts,
		maxRetryAfter:    maxRetryAfter,
		relays:           float64(relays),
		concurrencyLimit: max(maxConcurrentAttempts/float64(relays), 1),
		budget:           budget,
	}
}

// canRetry reports whether the session may have another attempt, or its first.
func (p *AttemptPolicy) canRetry(session *Session, now float64) bool {
	if session.attempt.number >= p.maxAttempts || now >= session.Deadline {
		return false
	}
	if session.attempt.number > 0 && !p.withinBudget(now) {
		return false
	}
	class := &p.classes[session.Class]
	switch {
	case !session.executed.isPossible || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == IdempotentByKey:
		return now < session.executed.at+class.DeduplicationWindow
	default:
		return false
	}
}

// withinBudget reports whether the retry budget allows a retry. A process that drains has left the budget to
// its successor.
func (p *AttemptPolicy) withinBudget(now float64) bool {
	return p.budget.allowsRetry(now) && !(p.draining && p.budget != nil)
}

// canBeRepeated reports whether a client may be told to repeat a request that is given up: it was not
// executed, or a repeat does no harm.
func (p *AttemptPolicy) canBeRepeated(session *Session, now float64) bool {
	class := &p.classes[session.Class]
	if !session.executed.isPossible || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == IdempotentByKey && class.Scope == ScopeAll &&
		now+p.maxRetryAfter < session.executed.at+class.DeduplicationWindow
}

// allowAttempt reports whether one more attempt may be in flight. A limit below one is the chance of a single
// attempt, as one attempt from each of hundreds of relays is a wave.
func (b *Balancer) allowAttempt() bool {
	p := b.attempts
	return p.inFlight < int(p.concurrencyLimit) || (p.inFlight == 0 && b.rng.Float64() < p.concurrencyLimit)
}

// recordOutcome raises the concurrency limit after a timely attempt and halves it after a late or failed one,
// unless that began before the last cut. So a wave on a shared store is slowed down before the store works
// for sessions that are given up. All relays start with the same limit.
func (p *AttemptPolicy) recordOutcome(session *Session, now float64, timely bool) {
	if timely {
		widened := p.concurrencyLimit + min(1/p.concurrencyLimit, p.concurrencyLimit)
		p.concurrencyLimit = min(widened, max(maxConcurrentAttempts/p.relays, 1))
	} else if session.attempt.startedAt > p.limitReducedAt {
		p.reduceConcurrency(now, lateAttemptFactor)
	}
}

// reduceConcurrency cuts the concurrency limit to that share, at the least to one attempt over all relays.
func (p *AttemptPolicy) reduceConcurrency(now, factor float64) {
	p.concurrencyLimit = max(p.concurrencyLimit*factor, 1/p.relays)
	p.limitReducedAt = now
}

// countEstablished adds a session to the rate at which sessions are established.
func (p *AttemptPolicy) countEstablished(now float64) {
	fade := math.Exp((p.establishedAsOf - now) / establishedDecay)
	p.established = p.established*fade + 1
	p.establishedSpan = p.establishedSpan*fade + now - p.establishedAsOf
	p.establishedAsOf = now
}

// isInDeduplicationScope reports whether the backend drops a repeat of what the session may have had
// executed.
func (b *Balancer) isInDeduplicationScope(session *Session, backend int) bool {
	class := &b.attempts.classes[session.Class]
	if !session.executed.isPossible || class.Idempotency == Idempotent {
		return true
	}
	switch class.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return b.zones[backend] == session.executed.zone
	case ScopeCell:
		return b.cells[backend] == session.executed.cell
	default:
		return false
	}
}
