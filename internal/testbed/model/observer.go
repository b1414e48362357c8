package model

import "valeshift/internal/testbed/experiment"

// Observer is notified of what each side sees. Relays are identified by their number in the experiment, sessions by
// the ID that their client chose. The first argument is the time.
type Observer interface {
	// RequestSent: a client has sent a request for a session to a relay and gives up after wait. All requests of a
	// client until one is answered UP are one operation: together they are to have one effect.
	RequestSent(now float64, id, operation string, relay int, effect experiment.Effect, wait float64)
	// ResponseReceived: the client has received the first line, whose verb is UP, BUSY, ERR or another.
	ResponseReceived(now float64, id, verb string)
	// NoticeReceived: the client has received a further line that is none of the backend's numbered ones.
	NoticeReceived(now float64, id, verb string)
	// ClosedByRelay: the relay's side has ended the client's connection.
	ClosedByRelay(now float64, id string, reset bool)
	// ClosedByClient: the client has ended its connection itself.
	ClosedByClient(now float64, id string)

	// AttemptReceived: a backend has received the request for a session. The backend's present capacity and the
	// session's load are in cores; cold says that the backend is in slow start.
	AttemptReceived(now float64, id, backend string, cold bool, capacity, load float64)
	// AttemptFinished: the attempt is over for the backend, which has answered it, or its connection has ended.
	AttemptFinished(now float64, id, backend string)
	// EffectApplied: the backend has executed the session's request once.
	EffectApplied(now float64, id, backend string)
	// ClosedByBackend: the backend has ended the connection of an established session, or has died.
	ClosedByBackend(now float64, id, backend string)

	// LineSent and LineReceived: a line of one direction was sent or received. Lines are numbered from 1 for each
	// direction.
	LineSent(now float64, id string, toClient bool, number int)
	LineReceived(now float64, id string, toClient bool, number int, sentAt float64)

	// EndpointUpdated: the endpoint list has delivered an endpoint to a relay; startTime is the backend's start time.
	EndpointUpdated(now float64, relay int, backend, status string, startTime float64)
	// RelayChanged: a relay was killed or has exited (false), or serves (true). A relay that is stopping still
	// counts as serving.
	RelayChanged(now float64, relay int, up bool)
	// BackendStarted: a dead backend serves again. What it was sent before is no longer load on it.
	BackendStarted(now float64, backend string)
	// RelayFrozen: the machine has stopped a relay's process (true) or continues it (false). Answers that the relay
	// owes meanwhile are excused.
	RelayFrozen(now float64, relay int, frozen bool)
	// RelayDrained: a relay was told to drain some seconds ago and may hold no session any more.
	RelayDrained(now float64, relay int)
	// ReplacementRejected: a relay whose process is being replaced has not let a client in.
	ReplacementRejected(now float64, relay int)
	// BackendUnreachable: from now on nothing passes to or from a backend (true), or it does again (false).
	BackendUnreachable(now float64, backend string, unreachable bool)
}
