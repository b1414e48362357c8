package relay

// This file is the driver's side of receiving established sessions from a parent process: it takes over their sockets,
// and starts to use them once the parent has released its own descriptors.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/lesismal/nbio"

	"valeshift/internal/hotrestart"
)

// receiveSession takes over a session that the parent sends, and reports whether it did. If the parent confirms the
// release of its descriptors, nothing is read, written or closed until the returned function is called.
func (d *driver) receiveSession(text []byte, files [hotrestart.FilesPerSession]*os.File) (accepted bool, released func()) {
	session := &TransferredSession{}
	if json.Unmarshal(text, session) != nil {
		return false, nil
	}
	nbConns, err := openTransferred(files)
	if err != nil {
		return false, nil
	}
	both := sessionSockets{}
	for i, nbConn := range nbConns {
		both[i] = &socket{nbConn: nbConn, awaitsRelease: true}
		nbConn.SetSession(both[i])
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.offerSession(session, &both) {
		for _, nbConn := range nbConns {
			nbConn.Close()
		}
		return false, nil
	}
	startPolling := func() {
		d.batches.afterBatch(func() {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			d.startPolling(both)
		})
	}
	if !session.ConfirmsRelease {
		startPolling()
		return true, nil
	}
	return true, startPolling
}

// offerSession has the state machine decide on a session that the parent sends, and reports whether it takes the session
// over. The caller holds d.mutex.
func (d *driver) offerSession(session *TransferredSession, both *sessionSockets) (accepted bool) {
	d.lastClientConn++
	d.receiving = both
	d.handleLocked(SessionReceived{Conn: d.lastClientConn, Session: session})
	accepted = d.receiving == nil
	d.receiving = nil
	return accepted
}

// addReceived adds the sockets of the session that is being received. It carries out SessionAccepted, which precedes all
// other effects on the session: the state machine may end the session in the event that brings it.
func (d *driver) addReceived(accepted *SessionAccepted) {
	both := d.receiving
	d.receiving = nil
	both[0].conn = accepted.Conn
	both[1].conn = accepted.BackendConn
	for _, c := range both {
		d.sockets[c.conn] = c
	}
}

// openTransferred opens connections on the descriptors that came with a session.
func openTransferred(files [hotrestart.FilesPerSession]*os.File) (all [hotrestart.FilesPerSession]*nbio.Conn, err error) {
	for i, file := range files {
		conn, err := net.FileConn(file)
		if err == nil {
			all[i], err = nbio.NBConn(conn)
		}
		if err != nil {
			if all[0] != nil {
				all[0].Close()
			}
			return all, fmt.Errorf("open transferred connection: %w", err)
		}
	}
	return all, nil
}

// startPolling starts polling the sockets of a received session, and carries out the effects that were deferred. The
// caller holds d.mutex.
func (d *driver) startPolling(both sessionSockets) {
	for _, c := range both {
		c.awaitsRelease = false
		if d.sockets[c.conn] != c {
			continue
		}
		if d.poll(c) != nil {
			d.removeSocket(c)
			d.workers.run(func() { d.handle(ConnClosed{Conn: c.conn, Reset: true}) })
			continue
		}
		d.carryOutDeferred(c)
	}
}

// carryOutDeferred writes the data whose writing was deferred until the connection was released, and closes the
// connection if that was requested meanwhile. The caller holds d.mutex.
func (d *driver) carryOutDeferred(c *socket) {
	switch {
	case len(c.deferredWrites) > 0: // onWritten finishes the close
		if c.closing.Load() {
			c.setFlushDeadline()
		}
		c.nbConn.Write(c.deferredWrites)
		c.deferredWrites = nil
	case c.closing.Load():
		d.finishClose(c)
	}
}
