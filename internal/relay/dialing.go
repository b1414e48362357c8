package relay

// This file dials backends beside the reducer, and has it know of a client that left meanwhile before the
// connection is used. It decides nothing.

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// dialing is a connection that is being dialed. Against a context for each, which costs a routine and a timer
// more than the connecting itself: whoever gives the dial up shuts its socket down.
type dialing struct {
	mutex  sync.Mutex
	raw    syscall.RawConn // once there is a socket
	gaveUp bool
}

var errGivenUp = errors.New("dial: given up")

// socket is told of the socket before it connects.
func (d *dialing) socket(_, _ string, raw syscall.RawConn) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.raw = raw; d.gaveUp {
		return errGivenUp
	}
	return nil
}

func (d *dialing) giveUp() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.gaveUp = true
	if d.raw != nil {
		d.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// dial connects beside the reducer. A connection that comes up after it was given up is dropped here. The
// reducer gives up each that does not come up in time, so that there is no other limit.
func (s *Sockets) dial(conn, client uint64, address string) {
	s.limitClosing(1)
	d := &dialing{}
	s.dialing[conn] = d
	s.work.do(func() {
		dialer := net.Dialer{KeepAlive: -1, Control: d.socket}
		plain, err := dialer.Dial("tcp", address)
		if err != nil {
			s.mutex.Lock()
			delete(s.dialing, conn)
			s.mutex.Unlock()
			s.take(ConnClosed{Conn: conn, Reset: true})
			return
		}
		if s.hold(conn, plain, true) {
			s.tellUp(conn, client)
		}
	})
}

// tellUp tells that a dialed connection is up. Where the client that it is for has closed by now, that is told
// first, as the poller may not have come to it yet: nothing is sent for a client that has gone.
func (s *Sockets) tellUp(conn, client uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c := s.open[client]; c != nil {
		if over, broken := c.peerClosed(); over {
			s.tell(ConnClosed{Conn: client, Reset: broken})
		}
	}
	s.tell(ConnEstablished{Conn: conn})
}

// peerClosed tells whether the peer has closed or reset the connection, with nothing left to be read before that.
func (c *socket) peerClosed() (closed, broken bool) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return true, false
	}
	var one [1]byte
	n, _, err := syscall.Recvfrom(c.nb.Hash(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET), err != nil
}
