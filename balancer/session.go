package balancer

import "fmt"

// Session is one client's connection, from its arrival until its end. The caller fills the exported fields
// before the first Assign; the Balancer owns the others.
type Session struct {
	Class         int     // index of its class in the settings
	Tenant        int     // index of its tenant in the settings
	Key           uint64  // hash of the client's key; 0: none
	AffinityGroup uint64  // hash of the affinity group; 0: none
	Deadline      float64 // when the client's final answer is due
	LoadHint      float64 // expected load, in microseconds of work a second; 0: unknown

	load     float64 // load on its backend, measured or estimated
	measured bool    // a load has been measured, or hinted by the client

	hash      uint64          // random; the draws use it if neither affinity group nor key places the session
	preferred optionalBackend // backend where it or its group was before

	state    sessionState
	attempt  latestAttempt
	executed executedAttempt
	polls    candidatePolls
	warming  slowStartGrant
}

// optionalBackend is the index of a backend, if one is set. Its zero value is unset: sessions are created by
// the caller, who can't set noBackend.
type optionalBackend struct {
	index int
	isSet bool
}

// sessionState is the progress of a session.
type sessionState struct {
	known       bool    // Assign was called for it, or it was established elsewhere
	arrivedAt   float64 // when it arrived at this relay
	reserved    bool    // an attempt is in flight or the session is established: it counts on its backend
	established bool    // its backend accepted an attempt
	clientGone  bool    // its client has disconnected
}

// latestAttempt is the latest attempt of a session.
type latestAttempt struct {
	backend   int     // its backend, or noBackend
	number    int     // number of the attempt, from 1; 0: there was none
	startedAt float64 // when the attempt started
}

// executedAttempt is the attempt of a session that may have been executed, if there is one.
type executedAttempt struct {
	isPossible bool    // there is such an attempt
	at         float64 // when the attempt started
	zone       int     // zone of its backend; -1: unknown
	cell       int     // partition cell of its backend; -1: unknown
}

// candidatePolls are the polls that the next assignment of a session waits for.
type candidatePolls struct {
	candidates   []int   // backends polled for the session
	awaitedUntil float64 // when the session stops waiting for the answers; 0: it does not wait
}

// slowStartGrant is the permission of a session to go to one backend in slow start.
type slowStartGrant struct {
	backend      int     // backend drawn for the session, or noBackend
	onlyIfFull   bool    // granted only if all warm backends are full
	onlyIfLoaded bool    // granted only if the backend reports load
	usedBudget   float64 // slow-start budget that the draw used, in milliseconds of saved time
}

// Load returns the session's load on its backend, and whether it was measured.
func (s *Session) Load() (load float64, measured bool) { return s.load, s.measured }

// assignment returns the latest attempt as an entry of the load assigned to its backend.
func (s *Session) assignment() assignment {
	return assignment{at: s.attempt.startedAt, load: s.load}
}

// Class holds the settings of one class of sessions.
type Class struct {
	LatencyObjective    float64            // milliseconds within which a session is to be established
	DeduplicationWindow float64            // milliseconds for which backends recognise a repeated idempotency key
	PriorityWeight      float64            // gain of a served session, relative to other classes
	Idempotency         Idempotency        // whether a request may be executed twice
	Scope               DeduplicationScope // backends that recognise a repeat
}

// Idempotency says whether a session's request may be executed a second time.
type Idempotency uint8

const (
	// Idempotent requests may be executed again.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which the backends in the class's Scope drop a repeat within its
	// DeduplicationWindow.
	IdempotentByKey
	// NonIdempotent requests must not be executed twice.
	NonIdempotent
)

var idempotencyNames = [...]string{"idempotent", "idempotent by key", "non-idempotent"}

// String returns the name for logs and tests.
func (i Idempotency) String() string { return enumName(idempotencyNames[:], uint8(i)) }

// DeduplicationScope says which backends recognise a repeat of an IdempotentByKey request.
type DeduplicationScope uint8

// The scopes from wide to narrow: all backends, those of the same zone, those of the same partition cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

var scopeNames = [...]string{"all", "zone", "cell"}

// String returns the name for logs and tests.
func (s DeduplicationScope) String() string { return enumName(scopeNames[:], uint8(s)) }

// AttemptOutcome is the way in which an attempt, or the session that it established, ended.
type AttemptOutcome uint8

const (
	// OutcomeSucceeded: the backend answered, or the established session ended normally.
	OutcomeSucceeded AttemptOutcome = iota
	// OutcomeFailed: the backend answered with an error.
	OutcomeFailed
	// OutcomeRejected: the backend refused the request without executing it.
	OutcomeRejected
	// OutcomeTimedOut: no answer came before the attempt's timeout.
	OutcomeTimedOut
	// OutcomeUnreachable: no connection to the backend could be established.
	OutcomeUnreachable
	// OutcomeConnectionLost: the connection to the backend broke.
	OutcomeConnectionLost
	// OutcomeCanceled: the client or the relay ended the attempt or session.
	OutcomeCanceled
	// OutcomeNotSent: the request was not sent.
	OutcomeNotSent
)

var outcomeNames = [...]string{"succeeded", "failed", "rejected", "timed out", "unreachable",
	"connection lost", "canceled", "not sent"}

// String returns the name for logs and tests.
func (o AttemptOutcome) String() string { return enumName(outcomeNames[:], uint8(o)) }

// IsUnprocessed reports whether the outcome proves that the request was not executed.
func (o AttemptOutcome) IsUnprocessed() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotSent
}

// DecisionKind is what a Decision tells the caller to do.
type DecisionKind uint8

const (
	// NoDecision: nothing, the session is over.
	NoDecision DecisionKind = iota
	// Assign: start an attempt at Backend.
	Assign
	// Queue: call Balancer.Assign again after Wait, or when a poll was answered.
	Queue
	// Reject: tell the client that it may safely repeat its request, after Wait.
	Reject
	// Fail: answer the client with an error, as its request may have been executed.
	Fail
)

var decisionNames = [...]string{"none", "assign", "queue", "reject", "fail"}

// String returns the name for logs and tests.
func (k DecisionKind) String() string { return enumName(decisionNames[:], uint8(k)) }

// Decision says what to do with a session.
type Decision struct {
	Kind    DecisionKind
	Backend uint32  // for Assign: ID of the backend
	Timeout float64 // for Assign: milliseconds after which the attempt is given up
	Attempt int     // for Assign: number of the session's attempt, from 0
	Wait    float64 // milliseconds, for Queue until the next Assign, for Reject as Retry-After (0: none)
}

// enumName returns the name of an enumeration's value.
func enumName(names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown (%d)", value)
}
