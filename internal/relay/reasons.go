package relay

import "valeshift/balancer"

// EndReason is how an attempt or an established session ended. Whoever sees the end names it; outcome says what it means
// to the balancer.
type EndReason uint8

// The reasons: first those of an attempt, then those of an established session, then those on the client's side.
const (
	NotSent            EndReason = iota // the backend is draining or has restarted by now: nothing was written
	ConnectFailed                       // refused, never up in time, or broken before the whole request was sent
	BackendBusy                         // the backend answered BUSY
	BackendError                        // the backend answered ERR
	MalformedAnswer                     // the backend sent a line that is none of the protocol
	ClosedBeforeAnswer                  // the backend closed without an answer, after the request was sent
	AttemptTimedOut                     // nothing came in the time given
	BackendFinished                     // BYE: the session was served to its end
	BackendMovedClient                  // MOVE: a draining backend sends the client away
	BackendClosed                       // the backend closed or reset an established session
	BackendSilent                       // the backend brought nothing back
	SlowReader                          // a side took in too little of what was written
	RelayMovedClient                    // this relay sent the client elsewhere
	ClientClosed                        // the client closed in order
	ClientReset                         // the client reset its connection
	TransferredToChild                  // the child process has the session
)

// endReasonNames are the names under which the counters stand in the log.
var endReasonNames = [...]string{
	NotSent:            "not sent",
	ConnectFailed:      "never up",
	BackendBusy:        "turned down",
	BackendError:       "backend error",
	MalformedAnswer:    "bad answer",
	ClosedBeforeAnswer: "broke off",
	AttemptTimedOut:    "no answer",
	BackendFinished:    "served out",
	BackendMovedClient: "sent away",
	BackendClosed:      "broke up",
	BackendSilent:      "fell silent",
	SlowReader:         "slow reader",
	RelayMovedClient:   "moved away",
	ClientClosed:       "client done",
	ClientReset:        "client broke",
	TransferredToChild: "handed over",
}

// String is the name under which the reason is counted.
func (e EndReason) String() string { return endReasonNames[e] }

// outcome is the one place where a reason becomes what the balancer goes by.
func (e EndReason) outcome() balancer.AttemptOutcome {
	switch e {
	case NotSent:
		return balancer.OutcomeNotSent
	case ConnectFailed:
		return balancer.OutcomeUnreachable
	case BackendBusy:
		return balancer.OutcomeRejected
	case BackendError, MalformedAnswer:
		return balancer.OutcomeFailed
	case AttemptTimedOut:
		return balancer.OutcomeTimedOut
	case BackendFinished, ClientClosed:
		return balancer.OutcomeSucceeded
	case BackendMovedClient, RelayMovedClient, ClientReset, SlowReader, TransferredToChild:
		return balancer.OutcomeCanceled
	}
	return balancer.OutcomeConnectionLost
}

// RequestError is why a client was rejected before it had a session. The balancer hears nothing of it.
type RequestError uint8

// The errors.
const (
	RequestTimedOut   RequestError = iota // no request came in time
	IncompleteRequest                     // the client left in the middle of its request
	LineTooLong                           // a line over the bound
	MalformedRequest                      // no request of the protocol, or a number out of all bounds
	UnknownName                           // a class or tenant that the settings don't name
	DuplicateID                           // the id of a session that is open
	UnexpectedData                        // the client sent on without waiting for its answer
	TooManyPings                          // the client asks without end whether the relay is there
	Evicted                               // it had said nothing for longest when descriptors were short
)

// requestErrorNames are the names under which the counters stand in the log.
var requestErrorNames = [...]string{
	RequestTimedOut:   "no head",
	IncompleteRequest: "half a head",
	LineTooLong:       "too long",
	MalformedRequest:  "bad head",
	UnknownName:       "unknown name",
	DuplicateID:       "id in use",
	UnexpectedData:    "said more",
	TooManyPings:      "many pings",
	Evicted:           "pushed out",
}

// String is the name under which the error is counted.
func (e RequestError) String() string { return requestErrorNames[e] }
