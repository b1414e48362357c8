package relay

import (
	"cmp"
	"slices"

	"valeshift/internal/protocol"
)

// dialedIDBase separates the IDs of connections: those of client connections are lower, and those of connections that
// the relay dials are higher.
const dialedIDBase = 1 << 63

// connection is a connection that is open or being dialed.
type connection struct {
	id       uint64
	session  *session // nil for a poll connection
	backend  *backend // the backend that it goes to; nil for a client connection
	input    protocol.LineSplitter
	deadline timer // for the next thing awaited on the connection

	// Client connections only.
	acceptedAt float64 // Unix milliseconds
	lastDataAt float64 // when a part of the request last arrived, in Unix milliseconds
	pings      uint8   // PING lines received before the request; at most maxPings+1

	// Poll connections only.
	polledBytes int // bytes that the backend has sent since the last poll

	// Backend connections only.
	isConnected      bool    // the connection is established
	awaitsMarker     bool    // the connection is established, and its request waits until the attempt marker is replicated
	backendStartedAt float64 // the backend's start time as known when the connection was dialed
}

// connTable holds all client and backend connections that are open or being dialed.
type connTable struct {
	byID         map[uint64]*connection
	lastDialedID uint64
	pollConns    int // number of poll connections
}

func newConnTable() connTable {
	return connTable{byID: map[uint64]*connection{}, lastDialedID: dialedIDBase}
}

// nextDialedID returns an unused ID for a connection to a backend.
func (t *connTable) nextDialedID() uint64 {
	t.lastDialedID++
	return t.lastDialedID
}

// clients returns the client connections, in the order in which they were accepted.
func (t *connTable) clients() []*connection {
	var all []*connection
	for _, conn := range t.byID {
		if conn.backend == nil {
			all = append(all, conn)
		}
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}

// closeMode is how a connection is closed.
type closeMode uint8

const (
	gracefully closeMode = iota // after everything written to it has been sent
	byReset                     // immediately, with a TCP reset
)

// addConn adds a connection to the table and updates the counters.
func (m *StateMachine) addConn(conn *connection) *connection {
	m.conns.byID[conn.id] = conn
	if conn.session == nil {
		m.conns.pollConns++
	}
	m.OpenConns = len(m.conns.byID)
	m.MaxOpenConns = max(m.MaxOpenConns, m.OpenConns)
	return conn
}

// dropConn removes a connection from the table and closes it. Later events on it are ignored.
func (m *StateMachine) dropConn(conn *connection, how closeMode) {
	if m.conns.byID[conn.id] == nil {
		return
	}
	m.timers.stop(&conn.deadline)
	delete(m.conns.byID, conn.id)
	if conn.session == nil {
		m.conns.pollConns--
	}
	m.OpenConns = len(m.conns.byID)
	if how == byReset {
		m.effects.reset(conn.id)
	} else {
		m.effects.close(conn.id)
	}
}

// dial starts connecting to the backend. session is nil for a poll connection.
func (m *StateMachine) dial(backend *backend, session *session) *connection {
	conn := m.addConn(&connection{id: m.conns.nextDialedID(), backend: backend, session: session,
		backendStartedAt: backend.StartedAt})
	forClient := uint64(0)
	if session != nil && session.clientConn != nil {
		forClient = session.clientConn.id
	}
	m.effects.dial(conn.id, forClient, backend.Address)
	return conn
}

// write sends data on the connection, after everything written before.
func (m *StateMachine) write(conn *connection, data []byte) { m.effects.write(conn.id, data) }

// connEstablished handles a dialed connection that has been established.
func (m *StateMachine) connEstablished(e ConnEstablished) {
	conn := m.conns.byID[e.Conn]
	if conn == nil {
		return
	}
	switch session := conn.session; {
	case session == nil:
		m.pollConnEstablished(conn)
	case session.state == handingOff:
	case session.state == established: // the backend has already answered on this connection: treat it as broken
		m.backendClosed(session, ConnClosed{})
	default:
		m.sendRequest(session)
	}
}

// dataReceived handles data from a connection. Data that arrives while the session is handed off belongs to the other
// process and is ignored.
func (m *StateMachine) dataReceived(e DataReceived) {
	conn := m.conns.byID[e.Conn]
	if conn == nil {
		return
	}
	switch session := conn.session; {
	case session == nil:
		m.receivePollAnswer(conn, e.Data)
	case session.state == handingOff:
	case conn.backend == nil:
		m.receiveFromClient(session, e.Data, m.now-e.Waited)
	case session.state == established:
		m.forwardToClient(session, e.Data)
	default:
		m.receiveAnswer(session, e.Data)
	}
}

// connClosed handles a connection that was closed or never established.
func (m *StateMachine) connClosed(e ConnClosed) {
	conn := m.conns.byID[e.Conn]
	if conn == nil {
		return
	}
	// The peer may have closed only its sending direction, so the socket may still be open here.
	m.dropConn(conn, gracefully)
	switch session := conn.session; {
	case session == nil:
		m.failPoll(conn.backend)
	case session.state == handingOff:
		session.brokeInTransfer = true
	case conn.backend == nil:
		m.clientClosed(session, e)
	case session.state == established:
		m.backendClosed(session, e)
	case !conn.isConnected || e.Unsent:
		m.finishAttempt(session, ConnectFailed)
	default:
		m.finishAttempt(session, ClosedBeforeAnswer)
	}
}
