package balancer

import "fmt"

// Session is one client's connection, from its arrival until its end. The caller fills the exported fields
// before the first Assign; the Balancer owns the others.
type Session struct {
	Class         int
	Tenant        int
	Key           uint64  // of the client, hashed; 0: none
	AffinityGroup uint64  // hashed; 0: none
	Deadline      float64 // when the client's final answer is due
	LoadHint      float64 // expected load; 0: unknown

	load     float64 // on its backend, measured or estimated
	measured bool

	hash      uint64          // random; used where neither group nor key decides
	preferred optionalBackend // where it or its group was before

	state    sessionState
	attempt  latestAttempt
	executed executedAttempt
	polls    candidatePolls
	warming  slowStartGrant
}

// optionalBackend is the index of a backend, if it is set. Its zero value is none, as the caller makes sessions
// and can't set noBackend.
type optionalBackend struct {
	index int
	isSet bool
}

// sessionState is how far a session has come.
type sessionState struct {
	known       bool    // Assign has seen it, or it was established elsewhere
	arrivedAt   float64 // here
	reserved    bool    // an attempt is in flight or the session is established: it counts on its backend
	established bool
	clientGone  bool
}

// latestAttempt is the latest attempt of a session.
type latestAttempt struct {
	backend   int
	number    int // from 1; 0: there was none
	startedAt float64
}

// executedAttempt is the attempt of a session that may have been executed, if there is one.
type executedAttempt struct {
	isPossible bool
	at         float64
	zone       int // -1: unknown
	cell       int // -1: unknown
}

// candidatePolls are the polls that the next assignment of a session waits for.
type candidatePolls struct {
	candidates   []int   // backends polled for it
	awaitedUntil float64 // when it stops waiting for their answers; 0: none are polled
}

// slowStartGrant is the backend in slow start that a session may go to.
type slowStartGrant struct {
	backend      int     // drawn for it, or noBackend
	onlyIfFull   bool    // it may go there only if all warm backends are full
	onlyIfLoaded bool    // it may go there only if the backend reports load
	usedBudget   float64 // of slow starts, by this draw, as milliseconds
}

// Load returns what the session puts on its backend, and whether that was measured.
func (s *Session) Load() (load float64, measured bool) { return s.load, s.measured }

// assignment is the latest attempt as load on its backend.
func (s *Session) assignment() assignment {
	return assignment{at: s.attempt.startedAt, load: s.load}
}

// Class is what the settings say of one kind of session.
type Class struct {
	LatencyObjective    float64 // for the time until the session is established
	DeduplicationWindow float64 // for which backends recognise a repeated idempotency key
	PriorityWeight      float64 // gain of a served session, relative to other classes
	Idempotency         Idempotency
	Scope               DeduplicationScope
}

// Idempotency says what a second execution of a session's request would do.
type Idempotency uint8

const (
	// Idempotent requests may be executed again.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which backends of the class's scope drop a repeat within its
	// window.
	IdempotentByKey
	// NonIdempotent requests are never executed twice.
	NonIdempotent
)

var idempotencyNames = [...]string{"idempotent", "idempotent by key", "non-idempotent"}

// String returns the name for logs and tests.
func (i Idempotency) String() string { return enumName(idempotencyNames[:], uint8(i)) }

// DeduplicationScope names the backends that recognise a repeat of an IdempotentByKey request.
type DeduplicationScope uint8

// The scopes, widest first: all backends, those of the same zone, those of the same partition cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

var scopeNames = [...]string{"all", "zone", "cell"}

// String returns the name for logs and tests.
func (s DeduplicationScope) String() string { return enumName(scopeNames[:], uint8(s)) }

// AttemptOutcome is how an attempt, or the session that it established, ended.
type AttemptOutcome uint8

const (
	// OutcomeSucceeded: the backend answered, or the established session ended in good order.
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
	// OutcomeCanceled: the client or the relay ended it.
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

// DecisionKind is what a Decision asks of the caller.
type DecisionKind uint8

const (
	// NoDecision: nothing more is to be done.
	NoDecision DecisionKind = iota
	// Assign: begin an attempt at Backend.
	Assign
	// Queue: ask again after Wait, or when a poll was answered.
	Queue
	// Reject: the client is told that trying again, after Wait, is harmless.
	Reject
	// Fail: the client is told of an error, as its request may have been executed.
	Fail
)

var decisionNames = [...]string{"none", "assign", "queue", "reject", "fail"}

// String returns the name for logs and tests.
func (k DecisionKind) String() string { return enumName(decisionNames[:], uint8(k)) }

// Decision says what to do with a session.
type Decision struct {
	Kind    DecisionKind
	Backend uint32  // ID, for Assign
	Timeout float64 // for Assign: milliseconds after which the attempt is given up
	Attempt int     // for Assign: number of the session's attempt, from 0
	Wait    float64 // milliseconds: for Queue until the next Assign, for Reject as Retry-After (0: none)
}

// enumName names a value of a small enumeration.
func enumName(names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown (%d)", value)
}
