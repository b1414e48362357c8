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
	End(conn uint64)
	Break(conn uint64)
	After(wait float64, do func())
}

// Actor is called when something happens to its connections.
type Actor interface {
	Opened(conn uint64) // accepted
	Up(conn uint64)     // dialed
	Came(conn uint64, data []byte)
	Over(conn uint64, broken bool) // ended by the other side, or never up; not after an End or Break of its own
}

// Witness is told what each side saw. Relays are known by the place they have in the experiment.
type Witness interface {
	// Asked: the client has written the head of a link on a connection to that relay. All that it asks for until
	// it is answered UP is one errand.
	Asked(now float64, id, errand string, relay int, effect string, wait float64)
	// Answered: the client heard a first line: UP, BUSY, ERR or another.
	Answered(now float64, id, verb string)
	// Heard: the client got a further line, after any answer.
	Heard(now float64, id, verb string)
	// Ended: the client's connection was ended by the relay's side.
	Ended(now float64, id string, broken bool)
	// Left: the client ended it itself.
	Left(now float64, id string)

	// TryCame: the head of a link came to a server; capacity is what it has at present, in cores.
	TryCame(now float64, id, server string, cold bool, capacity, load float64)
	// TryOver: that try is over for the server: it said no, or its connection has ended.
	TryOver(now float64, id, server string)
	// Took: the server has done what the link asks for, once.
	Took(now float64, id, server string)
	// Closed: the server ended the connection of a link that stood, or is gone.
	Closed(now float64, id, server string)

	// Said and Got count the lines of one direction: n is the line's own number, from 1 on.
	Said(now float64, id string, down bool, n int)
	Got(now float64, id string, down bool, n int, saidAt float64)

	// Told: news of the list has reached a relay.
	Told(now float64, relay int, server, status string, since float64)
	// Relay: it was killed, or exited (false), or serves (true); stopping counts as serving.
	Relay(now float64, relay int, up bool)
	// Started: a server that was dead serves again; what it was sent in its former life is no load on this one.
	Started(now float64, server string)
	// Frozen: it is stopped by the machine (true), or goes on (false): nothing that it owes meanwhile counts.
	Frozen(now float64, relay int, frozen bool)
	// Emptied: a relay was told to empty itself some seconds ago, and may hold nobody any more.
	Emptied(now float64, relay int)
	// Door: a client was not let in by a relay that is being replaced.
	Door(now float64, relay int)
	// Dark: from now on (or no longer) nothing passes to or from that server.
	Dark(now float64, server string, dark bool)
}
