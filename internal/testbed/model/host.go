// Package model is the testbed's model of what relays work among: backends with cores and a shared session
// store, clients that come, wait, give up and come back, the discovery service, and the faults of all of them.
//
// It touches no socket, no clock and no log. A Host carries the bytes of each actor, under virtual time or on
// loopback sockets, an Infrastructure does what concerns machines and relays, and an Observer sees what happens
// on every side. Times are milliseconds of the host's clock. Nothing in the package is safe for concurrent use:
// hosts call one actor at a time.
package model

// Host carries what one actor sends and calls it back.
type Host interface {
	// Now returns the present time.
	Now() float64
	// Dial opens a connection. The actor's OnConnect or OnClose is called next for it.
	Dial(address string) (conn uint64)
	// Write sends data, which the caller may reuse once it returns.
	Write(conn uint64, data []byte)
	// Close ends a connection in order.
	Close(conn uint64)
	// Reset breaks a connection.
	Reset(conn uint64)
	// After calls a function once so many milliseconds have passed.
	After(wait float64, do func())
}

// Actor is called when something happens to its connections.
type Actor interface {
	// OnAccept is called when a connection was accepted.
	OnAccept(conn uint64)
	// OnConnect is called when a connection that the actor dialed is established.
	OnConnect(conn uint64)
	// OnData is called with received bytes.
	OnData(conn uint64, data []byte)
	// OnClose is called when the other side has ended a connection or it could not be established. It is not
	// called after a Close or Reset of the actor's own.
	OnClose(conn uint64, reset bool)
}
