package balancer

import "math"

const (
	maxConcurrentAttempts = 64.0     // highest concurrency limit, summed over all relays
	lateAttemptFactor     = 0.5      // factor on the concurrency limit after a late or failed attempt
	shedConcurrencyFactor = 1.0 / 16 // factor on the concurrency limit after a shed session
	timelyShare           = 0.5      // share of the latency objective within which an attempt is timely
	establishedDecay      = 10000.0  // milliseconds in which the count of established sessions decays to 1/e
)

// AttemptPolicy limits the attempts of a session, decides whether one may follow another that may have been
// executed, and limits the attempts in flight at once.
type AttemptPolicy struct {
	classes       []Class
	maxAttempts   int          // most attempts of one session, the first included
	maxRetryAfter float64      // longest Retry-After that clients honour, in milliseconds; 0: none is sent
	relays        float64      // number of relays
	budget        *RetryBudget // nil: retries are not bounded
	draining      bool         // another process of this relay owns the retry and slow-start budgets

	established      float64 // count of established sessions, which decays with establishedDecay
	establishedSpan  float64 // milliseconds over which they were counted, with the same decay
	establishedAsOf  float64 // when established and establishedSpan were last updated
	inFlight         int     // number of attempts in flight
	concurrencyLimit float64 // highest number of attempts in flight; below 1: the probability that one is allowed
	limitReducedAt   float64 // when concurrencyLimit was last reduced
}

// NewAttemptPolicy returns a policy without attempts in flight. The longest Retry-After is in milliseconds (0:
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

// canRetry reports whether the session may have another attempt, the first included.
func (p *AttemptPolicy) canRetry(session *Session, now float64) bool {
	if session.attempt.number >= p.maxAttempts || now >= session.Deadline {
		return false
	}
	if session.attempt.number > 0 && !p.withinBudget(now) {
		return false
	}
	return p.mayExecute(session, now)
}

// mayExecute reports whether a backend in the deduplication scope may get the session's request at that time: no
// earlier attempt can have been executed, or the request is idempotent, or the backend recognises it as a repeat.
func (p *AttemptPolicy) mayExecute(session *Session, now float64) bool {
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

// withinBudget reports whether the retry budget allows a retry. In a draining process it does not, as the
// budget has passed to the process that took over.
func (p *AttemptPolicy) withinBudget(now float64) bool {
	return p.budget.allowsRetry(now) && !(p.draining && p.budget != nil)
}

// canBeRepeated reports whether a client may be told to repeat a request that is given up, because it was not
// executed or a second execution does no harm.
func (p *AttemptPolicy) canBeRepeated(session *Session, now float64) bool {
	class := &p.classes[session.Class]
	if !session.executed.isPossible || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == IdempotentByKey && class.Scope == ScopeAll &&
		now+p.maxRetryAfter < session.executed.at+class.DeduplicationWindow
}

// allowAttempt reports whether one more attempt may be in flight. A limit below one is the probability that a
// single attempt is allowed, as one attempt from each of hundreds of relays is already a burst.
func (b *Balancer) allowAttempt() bool {
	p := b.attempts
	return p.inFlight < int(p.concurrencyLimit) || (p.inFlight == 0 && b.rng.Float64() < p.concurrencyLimit)
}

// recordOutcome raises the concurrency limit after a timely attempt and halves it after a late or failed one,
// unless that attempt began before the last reduction. This slows down a burst of attempts on a shared store,
// before the store is kept busy by sessions that are given up. All relays start with the same limit.
func (p *AttemptPolicy) recordOutcome(session *Session, now float64, timely bool) {
	if timely {
		raised := p.concurrencyLimit + min(1/p.concurrencyLimit, p.concurrencyLimit)
		p.concurrencyLimit = min(raised, max(maxConcurrentAttempts/p.relays, 1))
	} else if session.attempt.startedAt > p.limitReducedAt {
		p.reduceConcurrency(now, lateAttemptFactor)
	}
}

// reduceConcurrency multiplies the concurrency limit by the factor, down to one attempt over all relays.
func (p *AttemptPolicy) reduceConcurrency(now, factor float64) {
	p.concurrencyLimit = max(p.concurrencyLimit*factor, 1/p.relays)
	p.limitReducedAt = now
}

// countEstablished counts an established session for the rate at which sessions are established.
func (p *AttemptPolicy) countEstablished(now float64) {
	decay := math.Exp((p.establishedAsOf - now) / establishedDecay)
	p.established = p.established*decay + 1
	p.establishedSpan = p.establishedSpan*decay + now - p.establishedAsOf
	p.establishedAsOf = now
}

// isInDeduplicationScope reports whether the backend may get the session's request although it may have been
// executed: the request is idempotent, or the backend recognises it as a repeat.
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
