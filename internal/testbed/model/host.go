// Package model is the testbed's model of everything around the relays: backends with cores and a shared session
// store, clients that connect, wait, give up and reconnect, the discovery service, and faults of all of them.
//
// It uses no sockets, no clock and no log. A Host carries the bytes of each actor, under virtual time or on
// loopback sockets, an Infrastructure controls machines and relays, and an Observer is notified of what happens on
// every side. Times are milliseconds of the host's clock. Nothing in the package is safe for concurrent use: hosts
// call one actor at a time.
package model

// Host gives one actor a clock, timers and connections, and calls it when something happens on those.
type Host interface {
	// Now returns the present time.
	Now() float64
	// Dial opens a connection. The next call about it is the actor's OnConnect or OnClose.
	Dial(address string) (conn uint64)
	// Write sends data. The caller may reuse data once Write returns.
	Write(conn uint64, data []byte)
	// Close ends a connection in an orderly way.
	Close(conn uint64)
	// Reset resets a connection.
	Reset(conn uint64)
	// After calls do once that many milliseconds have passed.
	After(wait float64, do func())
}

// Actor handles what happens on its connections.
type Actor interface {
	// OnAccept is called when a connection has been accepted.
	OnAccept(conn uint64)
	// OnConnect is called when a connection that the actor dialed has been established.
	OnConnect(conn uint64)
	// OnData is called with received data.
	OnData(conn uint64, data []byte)
	// OnClose is called when the other side has ended a connection, or when a connection could not be established.
	// It is not called after the actor's own Close or Reset.
	OnClose(conn uint64, reset bool)
}
