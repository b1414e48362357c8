package relay

import (
	"fmt"
	"slices"

	"valeshift/internal/dispatch"
	"valeshift/internal/protocol"
)

// sessionState is what a session waits for. Its changes are listed in sessionTransitions and made by enter alone.
type sessionState uint8

const (
	created         sessionState = iota // nothing is known of it yet
	awaitingRequest                     // the client's request has not come
	lookingUp                           // other relays are asked whether an earlier attempt of the client may have run
	queued                              // the balancer has it: it is about to be assigned, or waits for its turn
	attempting                          // a backend is dialed, or its answer is awaited
	reestablishing                      // it was established before the start, and its backend is asked for it
	replicating                         // its answer is known, and other relays are about to hold it
	established
	handingOff // it is established, and on its way to the child process
	finished   // its client has its final answer, or has gone
)

// sessionTransitions are all changes of a session's state.
var sessionTransitions = [...][]sessionState{
	created:         {awaitingRequest, established}, // by a client that came, by the parent process
	awaitingRequest: {queued, finished},
	queued:          {lookingUp, reestablishing, attempting, replicating, finished},
	lookingUp:       {queued, finished},
	attempting:      {queued, established}, // queued after each attempt, though it be the last
	reestablishing:  {established, finished},
	replicating:     {finished},
	established:     {handingOff, finished},
	handingOff:      {established}, // also where the child has it: it ends here then
	finished:        {},
}

var sessionStateNames = [...]string{"created", "awaiting request", "looking up", "queued", "attempting",
	"reestablishing", "replicating", "established", "handing off", "finished"}

// String is the state's name in the log.
func (s sessionState) String() string { return sessionStateNames[s] }

// canBecome tells whether the change is listed.
func (s sessionState) canBecome(next sessionState) bool {
	return slices.Contains(sessionTransitions[s], next)
}

// session is one client's connection with, once an attempt is made, its backend's.
type session struct {
	dispatch.Entry
	state       sessionState
	id          string
	request     protocol.Request
	clientConn  *connection // nil: the client has gone
	backendConn *connection // of the attempt that is out, or of the established session; else nil

	// deadline is when the attempt that is out, or the reestablishing, is given up. Of a session whose rejection is being
	// replicated it is when the client is to come again.
	deadline   float64
	stateTimer timer // its meaning goes with the state

	// markerConn is the connection of the attempt whose marker other relays hold, or are asked to; 0: none.
	markerConn     uint64
	markerDeadline float64 // until when its request waits for the marker to be held; 0: it does not
	affinityConn   uint64  // the connection under which other relays hold where it is established; 0: they don't
	pendingLookups int     // answers of other relays that it waits for

	endAnnounced    bool      // the backend said that the session is about to end
	endReason       EndReason // and why
	brokeInTransfer bool      // a connection closed while the session was handed off
	migrationTimer  timer     // until its client is sent elsewhere
}

// enter changes the session's state. A change that isn't listed is a fault of the state machine: it is counted and logged,
// and made all the same, as a relay that goes on serves its other sessions.
func (m *StateMachine) enter(session *session, next sessionState) {
	if !session.state.canBecome(next) {
		m.illegalTransitions++
		m.log("illegal transition of a session", "id", session.id,
			"change", fmt.Sprintf("%s to %s", session.state, next))
	}
	session.state = next
}
