package relay

import (
	"cmp"
	"slices"

	"valeshift/internal/protocol"
)

// firstDialedID is the number of the first connection that the relay dials; lower ones are clients'.
const firstDialedID = 1 << 63

// connection is one open connection, or one being dialed.
type connection struct {
	id       uint64
	session  *session // nil: it is for polls
	backend  *backend // that it goes to; nil: it is a client's
	input    protocol.LineSplitter
	deadline timer // for what is awaited on it

	// Of a client's.
	acceptedAt float64
	lastDataAt float64 // when it last brought a part of its request
	pings      uint8   // maxPings and one more at the most

	// Of a backend's.
	isUp             bool
	awaitsMarker     bool    // it is up, and its request waits for the attempt's marker to be replicated
	backendStartedAt float64 // the backend's start, as it was known when it was chosen
}

// connTable holds all connections that are open or being dialed, of clients and to backends.
type connTable struct {
	byID         map[uint64]*connection
	lastDialedID uint64
	polling      int // connections for polls
}

func newConnTable() connTable {
	return connTable{byID: map[uint64]*connection{}, lastDialedID: firstDialedID}
}

// nextDialedID is a number for a connection to a backend.
func (t *connTable) nextDialedID() uint64 {
	t.lastDialedID++
	return t.lastDialedID
}

// clients are the clients' connections in the order in which they came.
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

// closeMode is how a connection is ended.
type closeMode uint8

const (
	gracefully closeMode = iota // once all that was written is sent
	byReset                     // at once
)

// addConn takes a connection into the table.
func (m *StateMachine) addConn(conn *connection) *connection {
	m.conns.byID[conn.id] = conn
	if conn.session == nil {
		m.conns.polling++
	}
	m.OpenConns = len(m.conns.byID)
	m.MaxOpenConns = max(m.MaxOpenConns, m.OpenConns)
	return conn
}

// dropConn ends a connection. Whatever comes of it later is dropped.
func (m *StateMachine) dropConn(conn *connection, how closeMode) {
	if m.conns.byID[conn.id] == nil {
		return
	}
	m.timers.stop(&conn.deadline)
	delete(m.conns.byID, conn.id)
	if conn.session == nil {
		m.conns.polling--
	}
	m.OpenConns = len(m.conns.byID)
	if how == byReset {
		m.effects.reset(conn.id)
	} else {
		m.effects.close(conn.id)
	}
}

// dial starts a connection to the backend; session is nil for one that polls it.
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

// write sends data on the connection after all that was written before.
func (m *StateMachine) write(conn *connection, data []byte) { m.effects.write(conn.id, data) }

// connEstablished handles that a connection that was dialed is up.
func (m *StateMachine) connEstablished(e ConnEstablished) {
	conn := m.conns.byID[e.Conn]
	if conn == nil {
		return
	}
	switch session := conn.session; {
	case session == nil:
		m.pollConnEstablished(conn)
	case session.state == handingOff:
	case session.state == established: // it has answered before: the connection is not what it was
		m.backendClosed(session, ConnClosed{})
	default:
		m.sendRequest(session)
	}
}

// dataReceived handles bytes of a connection. What comes while its session is handed off is the other process's.
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

// connClosed handles the end of a connection.
func (m *StateMachine) connClosed(e ConnClosed) {
	conn := m.conns.byID[e.Conn]
	if conn == nil {
		return
	}
	// The socket may still be open on this side, after the other has ended its sending.
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
	case !conn.isUp || e.Unsent:
		m.finishAttempt(session, ConnectFailed)
	default:
		m.finishAttempt(session, ClosedBeforeAnswer)
	}
}
