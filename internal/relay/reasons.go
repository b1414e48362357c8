package relay

// This file owns the ways in which a connection can end, each one value, and what each says to the module;
// and those in which a client without a link is turned away, of which the module hears nothing. It
// must never look at a connection or a link: whoever sees the end names it.

import "valeshift/balancer"

// EndReason is how a connection of a link ended.
type EndReason uint8

// The endings: first those of a setup try, then those of a link that stood, then those on the client's side.
const (
	NotSent            EndReason = iota // the backend drains by now: nothing was written
	ConnectFailed                       // refused, never up in time, or broken before the head's last byte was written
	BackendBusy                         // the backend answered BUSY
	BackendError                        // it answered ERR
	MalformedAnswer                     // it answered with a line of no meaning
	ClosedBeforeAnswer                  // it ended without an answer, after the head was written
	AttemptTimedOut                     // nothing came in the time given
	BackendFinished                     // BYE: served to its end
	BackendMovedClient                  // MOVE: a draining backend sends the client away
	BackendClosed                       // it ended or broke while the link stood
	BackendSilent                       // it brought nothing back while the link stood
	SlowReader                          // a side took in too little of what was written
	RelayMovedClient                    // this relay sent the client elsewhere
	ClientClosed                        // the client ended it
	ClientReset                         // the client broke it
	TransferredToChild                  // the younger process has it
)

var endReasonNames = [...]string{"not sent", "never up", "turned down", "backend error", "bad answer",
	"broke off",
	"no answer", "served out", "sent away", "broke up", "fell silent", "slow reader", "moved away",
	"client done",
	"client broke", "handed over"}

func (e EndReason) String() string { return endReasonNames[e] }

// outcome is the one place where an ending becomes what the module knows.
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

// RequestError is why a client was turned away before it had a link.
type RequestError uint8

// What clients do that have none.
const (
	RequestTimedOut   RequestError = iota // none came in time
	IncompleteRequest                     // it ended in the middle of one
	LineTooLong                           // a line over the bound
	MalformedRequest                      // no head of the protocol, or a figure out of all bounds
	UnknownName                           // a category or customer that the settings don't name
	DuplicateID                           // the id of a link that is open
	UnexpectedData                        // it sent on without waiting for its answer
	TooManyPings                          // it asks whether the relay is there without end
	Evicted                               // it had said nothing for longest when descriptors were short
)

var requestErrorNames = [...]string{"no head", "half a head", "too long", "bad head", "unknown name", "id in use",
	"said more", "many pings", "pushed out"}

func (b RequestError) String() string { return requestErrorNames[b] }
