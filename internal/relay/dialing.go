package relay

// This file dials backends beside the reducer, and has it know of a client that left meanwhile before the
// connection is used. It decides nothing.

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// pendingDial is a connection that is being dialed. Against a context for each, which costs a routine and a timer
// more than the connecting itself: whoever gives the dial up shuts its socket down.
type pendingDial struct {
	mutex    sync.Mutex
	rawConn  syscall.RawConn // once there is a socket
	canceled bool
}

var errDialCanceled = errors.New("dial: given up")

// control is told of the socket before it connects.
func (d *pendingDial) control(_, _ string, raw syscall.RawConn) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.rawConn = raw; d.canceled {
		return errDialCanceled
	}
	return nil
}

func (d *pendingDial) cancel() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.canceled = true
	if d.rawConn != nil {
		d.rawConn.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// dial connects beside the reducer. A connection that comes up after it was given up is dropped here. The
// reducer gives up each that does not come up in time, so that there is no other limit.
func (s *driver) dial(conn, client uint64, address string) {
	s.evictClosing(1)
	d := &pendingDial{}
	s.dials[conn] = d
	s.workers.run(func() {
		dialer := net.Dialer{KeepAlive: -1, Control: d.control}
		plain, err := dialer.Dial("tcp", address)
		if err != nil {
			s.mutex.Lock()
			delete(s.dials, conn)
			s.mutex.Unlock()
			s.handle(ConnClosed{Conn: conn, Reset: true})
			return
		}
		if s.register(conn, plain, true) {
			s.reportEstablished(conn, client)
		}
	})
}

// reportEstablished tells that a dialed connection is up. Where the client that it is for has closed by now, that is told
// first, as the poller may not have come to it yet: nothing is sent for a client that has gone.
func (s *driver) reportEstablished(conn, client uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c := s.sockets[client]; c != nil {
		if over, broken := c.hasPeerClosed(); over {
			s.handleLocked(ConnClosed{Conn: client, Reset: broken})
		}
	}
	s.handleLocked(ConnEstablished{Conn: conn})
}

// hasPeerClosed tells whether the peer has closed or reset the connection, with nothing left to be read before that.
func (c *socket) hasPeerClosed() (closed, broken bool) {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return true, false
	}
	var one [1]byte
	n, _, err := syscall.Recvfrom(c.nbConn.Hash(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET), err != nil
}
