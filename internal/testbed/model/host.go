// Package model is the lab's picture of what a relay works among: servers with cores and a shared store,
// clients that come, wait, give up and come back, the list of servers, and what goes wrong with all of them.
// It touches no socket, no clock and no log: a Host carries its bytes, under virtual time or on loopback
// sockets, and a Witness sees what happens on every side. Times are milliseconds.
package model

// Host carries what an actor says and calls it back. No two calls of one actor run side by side.
type Host interface {
	Now() float64
	Dial(address string) (conn uint64) // Up or Over follows
	Write(conn uint64, data []byte)    // data is free again once it returns
	Close(conn uint64)
	Reset(conn uint64)
	After(wait float64, do func())
}

// Actor is called when something happens to its connections.
type Actor interface {
	OnAccept(conn uint64)  // accepted
	OnConnect(conn uint64) // dialed
	OnData(conn uint64, data []byte)
	OnClose(conn uint64, broken bool) // ended by the other side, or never up; not after an End or Break of its own
}

// Observer is told what each side saw. Relays are known by the place they have in the experiment.
type Observer interface {
	// RequestSent: the client has written the head of a link on a connection to that relay. All that it asks for until
	// it is answered UP is one errand.
	RequestSent(now float64, id, errand string, relay int, effect string, wait float64)
	// ResponseReceived: the client heard a first line: UP, BUSY, ERR or another.
	ResponseReceived(now float64, id, verb string)
	// NoticeReceived: the client got a further line, after any answer.
	NoticeReceived(now float64, id, verb string)
	// ClosedByRelay: the client's connection was ended by the relay's side.
	ClosedByRelay(now float64, id string, broken bool)
	// ClosedByClient: the client ended it itself.
	ClosedByClient(now float64, id string)

	// AttemptReceived: the head of a link came to a server; capacity is what it has at present, in cores.
	AttemptReceived(now float64, id, server string, cold bool, capacity, load float64)
	// AttemptFinished: that try is over for the server: it said no, or its connection has ended.
	AttemptFinished(now float64, id, server string)
	// EffectApplied: the server has done what the link asks for, once.
	EffectApplied(now float64, id, server string)
	// ClosedByBackend: the server ended the connection of a link that stood, or is gone.
	ClosedByBackend(now float64, id, server string)

	// LineSent and Got count the lines of one direction: n is the line's own number, from 1 on.
	LineSent(now float64, id string, down bool, n int)
	LineReceived(now float64, id string, down bool, n int, saidAt float64)

	// EndpointUpdated: news of the list has reached a relay.
	EndpointUpdated(now float64, relay int, server, status string, since float64)
	// RelayChanged: it was killed, or exited (false), or serves (true); stopping counts as serving.
	RelayChanged(now float64, relay int, up bool)
	// BackendStarted: a server that was dead serves again; what it was sent in its former life is no load on this one.
	BackendStarted(now float64, server string)
	// RelayFrozen: it is stopped by the machine (true), or goes on (false): nothing that it owes meanwhile counts.
	RelayFrozen(now float64, relay int, frozen bool)
	// RelayDrained: a relay was told to empty itself some seconds ago, and may hold nobody any more.
	RelayDrained(now float64, relay int)
	// ReplacementRejected: a client was not let in by a relay that is being replaced.
	ReplacementRejected(now float64, relay int)
	// BackendUnreachable: from now on (or no longer) nothing passes to or from that server.
	BackendUnreachable(now float64, server string, dark bool)
}
