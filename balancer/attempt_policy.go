package balancer

import "math"

const (
	maxConcurrentAttempts = 64.0     // of all relays together
	lateAttemptFactor     = 0.5      // of the concurrency limit, that a late or failed attempt leaves
	shedConcurrencyFactor = 1.0 / 16 // the same, for a session that was shed
	timelyShare           = 0.5      // of the latency objective: an attempt within it shows no overrun store
	establishedDecay      = 10000.0  // over which counted sessions fade to 1/e
)

// AttemptPolicy bounds attempts: how many a session has, whether one may follow another that may have been
// executed, and how many are in flight at once.
type AttemptPolicy struct {
	classes       []Class
	maxAttempts   int
	maxRetryAfter float64 // the longest wait that clients follow; 0: none may be told
	relays        float64
	budget        *RetryBudget // nil: retries are not bounded
	draining      bool         // another process of this relay has the retry budget and that of slow starts

	established      float64 // sessions established, fading
	establishedSpan  float64 // the time over which they were, fading alike
	establishedAsOf  float64
	inFlight         int
	concurrencyLimit float64 // of attempts in flight; below 1 it is the chance of a single one
	limitReducedAt   float64
}

// NewAttemptPolicy takes the classes, the most attempts of a session, the longest Retry-After in milliseconds
// (0: none), the number of relays and the budget of retries (nil: they are not bounded).
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

// canRetry reports whether the session may have another attempt; the first included.
func (p *AttemptPolicy) canRetry(session *Session, now float64) bool {
	if session.attempts >= p.maxAttempts || now >= session.Deadline {
		return false
	}
	if session.attempts > 0 && !p.withinBudget(now) {
		return false
	}
	class := &p.classes[session.Class]
	switch {
	case !session.mayHaveRun || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == IdempotentByKey:
		return now < session.executedAt+class.DeduplicationWindow
	default:
		return false
	}
}

// withinBudget reports whether the retry budget, where there is one and this process has it, allows a retry.
func (p *AttemptPolicy) withinBudget(now float64) bool {
	return p.budget.allowsRetry(now) && !(p.draining && p.budget != nil)
}

// canBeRepeated reports whether a client may be told to repeat a request that is given up, as it was not
// executed or a repeat does no harm.
func (p *AttemptPolicy) canBeRepeated(session *Session, now float64) bool {
	class := &p.classes[session.Class]
	if !session.mayHaveRun || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == IdempotentByKey && class.Scope == ScopeAll &&
		now+p.maxRetryAfter < session.executedAt+class.DeduplicationWindow
}

// allowAttempt reports whether one more attempt may be in flight. Where the limit is under one it is a
// chance, as one attempt from each of hundreds of relays is a wave.
func (b *Balancer) allowAttempt() bool {
	p := b.attempts
	return p.inFlight < int(p.concurrencyLimit) || (p.inFlight == 0 && b.rng.Float64() < p.concurrencyLimit)
}

// recordOutcome widens or halves the concurrency limit, by whether an attempt was established in good time;
// one that began before the last cut says nothing. Against a wave on a shared store, which then works for
// sessions given up. All relays together start with the same limit.
func (p *AttemptPolicy) recordOutcome(session *Session, now float64, timely bool) {
	if timely {
		widened := p.concurrencyLimit + min(1/p.concurrencyLimit, p.concurrencyLimit)
		p.concurrencyLimit = min(widened, max(maxConcurrentAttempts/p.relays, 1))
	} else if session.attemptedAt > p.limitReducedAt {
		p.reduceConcurrency(now, lateAttemptFactor)
	}
}

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
	if !session.mayHaveRun || class.Idempotency == Idempotent {
		return true
	}
	switch class.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return b.zones[backend] == session.executedZone
	case ScopeCell:
		return b.cells[backend] == session.executedCell
	default:
		return false
	}
}
