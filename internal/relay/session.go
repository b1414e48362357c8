package relay

import (
	"fmt"
	"slices"

	"valeshift/internal/dispatch"
	"valeshift/internal/protocol"
)

// sessionState is what a session waits for. sessionTransitions lists all transitions, and only enter makes them.
type sessionState uint8

const (
	created         sessionState = iota // it has made no transition yet
	awaitingRequest                     // the client's request has not arrived, or not all of it
	lookingUp                           // other relays are asked for records of the client's earlier attempt or session
	queued                              // the balancer is about to assign it, or has it wait
	attempting                          // a backend is being dialed, or its answer is awaited
	reestablishing                      // it was established before the relay started: its backend is asked to resume it
	replicating                         // it is rejected: the client is told once other relays hold its reservation
	established                         // a backend has accepted it
	handingOff                          // it is established, and being transferred to the child process
	finished                            // its client has the final answer or has left, or the child process has it
)

// sessionTransitions lists the states that may follow each state.
var sessionTransitions = [...][]sessionState{
	created:         {awaitingRequest, established}, // accepted from a client; received from the parent process
	awaitingRequest: {queued, finished},
	queued:          {lookingUp, reestablishing, attempting, replicating, finished},
	lookingUp:       {queued, finished},
	attempting:      {queued, established}, // queued after every failed attempt, even the last one
	reestablishing:  {established, finished},
	replicating:     {finished},
	established:     {handingOff, finished},
	handingOff:      {established}, // also when the child has accepted it: it is finished right after
	finished:        {},
}

var sessionStateNames = [...]string{"created", "awaiting request", "looking up", "queued", "attempting",
	"reestablishing", "replicating", "established", "handing off", "finished"}

// String returns the state's name in the log.
func (s sessionState) String() string { return sessionStateNames[s] }

// canTransitionTo reports whether sessionTransitions lists the transition.
func (s sessionState) canTransitionTo(next sessionState) bool {
	return slices.Contains(sessionTransitions[s], next)
}

// session is one client's session, with its connection and, during an attempt or once established, its backend's.
type session struct {
	dispatch.Entry
	state       sessionState
	id          string
	request     protocol.Request
	clientConn  *connection // nil: the client has left
	backendConn *connection // used by the attempt in flight or the established session; nil: there is neither

	// deadline is when the attempt in flight, or reestablishing, is given up, in Unix milliseconds. While a rejection is
	// being replicated, it is when the client is to retry.
	deadline   float64
	stateTimer timer // ends a lookup, a replication or a wait for data, or starts the next try to reestablish

	// markerConn is the connection of the attempt whose marker other relays hold, or are being asked to hold; 0: none.
	markerConn     uint64
	markerDeadline float64 // Unix milliseconds until which the request waits for its marker; 0: it does not wait
	affinityConn   uint64  // the connection under which its affinity record was replicated; 0: none was
	lookups        retryLookups

	endAnnounced    bool      // the backend has sent BYE or MOVE: the session is about to end
	endReason       EndReason // why it is about to end; set with endAnnounced
	brokeInTransfer bool      // a connection closed while the session was being handed off
	migrationTimer  timer     // until the session is migrated
}

// enter changes the session's state. A transition that isn't listed is a bug in the state machine: it is counted and
// logged, and made all the same, so that the relay goes on serving its other sessions.
func (m *StateMachine) enter(session *session, next sessionState) {
	if !session.state.canTransitionTo(next) {
		m.illegalTransitions++
		m.log("illegal transition of a session", "id", session.id,
			"change", fmt.Sprintf("%s to %s", session.state, next))
	}
	session.state = next
}
