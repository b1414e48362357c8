package relay

// Verbs are the first words of the protocol's lines.
const (
	verbPing = "PING" // a client asks whether the relay serves
	verbPong = "PONG" // a backend answers a poll
	verbUp   = "UP"   // a backend accepts a session
	verbBusy = "BUSY" // a backend rejects a session
	verbErr  = "ERR"  // a backend fails a session
	verbLoad = "LOAD" // a backend measures a session's load
	verbBye  = "BYE"  // a backend has served a session to its end
	verbMove = "MOVE" // a backend sends a client away
)
