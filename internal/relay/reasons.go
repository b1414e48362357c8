package relay

import "valeshift/balancer"

// EndReason is how an attempt or an established session ended. The code that detects the end sets the reason, and
// outcome translates it for the balancer.
type EndReason uint8

// The reasons: first why attempts end, then why established sessions end, then the ends on the client's side.
const (
	NotSent            EndReason = iota // the backend began to drain, or restarted, after it was chosen: nothing was sent
	ConnectFailed                       // connection refused, not established in time, or broken before the whole request was sent
	BackendBusy                         // the backend answered BUSY
	BackendError                        // the backend answered ERR
	MalformedAnswer                     // the backend sent a line that the protocol does not allow
	ClosedBeforeAnswer                  // the backend closed without an answer, after the request was sent
	AttemptTimedOut                     // no answer came within the attempt's timeout
	BackendFinished                     // the backend sent BYE: it has served the session to its end
	BackendMovedClient                  // the backend sent MOVE: it drains and sends the client away
	BackendClosed                       // the backend closed or reset an established session
	BackendSilent                       // the backend did not reply in time
	SlowReader                          // the client or the backend read too little of what was sent to it
	RelayMovedClient                    // this relay told the client to connect again
	ClientClosed                        // the client closed its connection without a reset
	ClientReset                         // the client reset its connection
	TransferredToChild                  // the child process has taken the session over
)

// endReasonNames are the names of the reasons' counters in the log.
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

// String returns the name of the reason's counter in the log.
func (e EndReason) String() string { return endReasonNames[e] }

// outcome translates the reason into the outcome that the balancer is told. Nothing else does so.
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

// RequestError is why a client was rejected because of what it sent, or did not send, before its answer. The balancer
// is not told.
type RequestError uint8

// The errors.
const (
	RequestTimedOut   RequestError = iota // no whole request arrived in time
	IncompleteRequest                     // the client left in the middle of its request
	LineTooLong                           // a line exceeds the maximum length
	MalformedRequest                      // not a request of the protocol, or one with a number out of range
	UnknownName                           // the settings don't define its class or tenant
	DuplicateID                           // a session with the same ID is open
	UnexpectedData                        // the client sent more without waiting for its answer
	TooManyPings                          // the client sent more than maxPings pings before its request
	Evicted                               // descriptors were short, and this client had been silent for longest
)

// requestErrorNames are the names of the errors' counters in the log.
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

// String returns the name of the error's counter in the log.
func (e RequestError) String() string { return requestErrorNames[e] }
