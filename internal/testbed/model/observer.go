package model

import "valeshift/internal/testbed/experiment"

// Observer is told what each side saw. Relays are known by their number in the experiment, sessions by the id
// that their client drew. The first argument is the time.
type Observer interface {
	// RequestSent: a client has sent the request for a session to a relay and gives up after wait. All requests
	// until one is answered UP are one errand: they mean one effect.
	RequestSent(now float64, id, errand string, relay int, effect experiment.Effect, wait float64)
	// ResponseReceived: the client received the first line: UP, BUSY, ERR or another.
	ResponseReceived(now float64, id, verb string)
	// NoticeReceived: the client received a further line that is none of the backend's numbered ones.
	NoticeReceived(now float64, id, verb string)
	// ClosedByRelay: the client's connection was ended by the relay's side.
	ClosedByRelay(now float64, id string, reset bool)
	// ClosedByClient: the client ended it itself.
	ClosedByClient(now float64, id string)

	// AttemptReceived: the request for a session came to a backend. Its capacity at present and the session's
	// load are in cores.
	AttemptReceived(now float64, id, backend string, cold bool, capacity, load float64)
	// AttemptFinished: that attempt is over for the backend: it said no, or its connection has ended.
	AttemptFinished(now float64, id, backend string)
	// EffectApplied: the backend has done what the session asks for, once.
	EffectApplied(now float64, id, backend string)
	// ClosedByBackend: the backend ended the connection of an established session, or is gone.
	ClosedByBackend(now float64, id, backend string)

	// LineSent and LineReceived count the lines of one direction; number is the line's own, from 1.
	LineSent(now float64, id string, toClient bool, number int)
	LineReceived(now float64, id string, toClient bool, number int, sentAt float64)

	// EndpointUpdated: the endpoint list has told a relay of an endpoint.
	EndpointUpdated(now float64, relay int, backend, status string, since float64)
	// RelayChanged: a relay was killed or has exited (false), or serves (true). One that stops serves.
	RelayChanged(now float64, relay int, up bool)
	// BackendStarted: a backend that was dead serves again. What it was sent before is no load on it now.
	BackendStarted(now float64, backend string)
	// RelayFrozen: a relay is stopped by the machine (true) or goes on (false). What it owes meanwhile is
	// excused.
	RelayFrozen(now float64, relay int, frozen bool)
	// RelayDrained: a relay was told to drain some seconds ago, and may hold no session any more.
	RelayDrained(now float64, relay int)
	// ReplacementRejected: a relay whose process is being replaced did not let a client in.
	ReplacementRejected(now float64, relay int)
	// BackendUnreachable: from now on nothing passes to or from a backend, or does again (false).
	BackendUnreachable(now float64, backend string, unreachable bool)
}
