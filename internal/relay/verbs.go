package relay

// The verbs are the first words of the protocol's lines.
const (
	verbPing = "PING" // client asks whether the relay is serving
	verbPong = "PONG" // backend answers a poll
	verbUp   = "UP"   // backend accepts a session
	verbBusy = "BUSY" // backend rejects a session
	verbErr  = "ERR"  // backend fails a session
	verbLoad = "LOAD" // backend reports a session's load
	verbBye  = "BYE"  // backend has finished serving a session
	verbMove = "MOVE" // backend tells a client to migrate
)
