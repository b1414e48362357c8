package relay

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// pendingDial is a connection that is being dialed. Canceling it shuts its socket down. A context per dial would cost a
// goroutine and a timer on top of the dial itself.
type pendingDial struct {
	mutex    sync.Mutex
	rawConn  syscall.RawConn // nil until the socket exists
	canceled bool
}

var errDialCanceled = errors.New("dial canceled")

// control is the net.Dialer.Control hook, which is called after the socket is created and before it connects.
func (p *pendingDial) control(_, _ string, rawConn syscall.RawConn) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rawConn = rawConn
	if p.canceled {
		return errDialCanceled
	}
	return nil
}

// cancel ends the dial. One that has no socket yet fails once it has created it.
func (p *pendingDial) cancel() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.canceled = true
	if p.rawConn != nil {
		p.rawConn.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// dial connects to a backend in the background. A connection that is established after its dial was canceled is closed
// by addDialed. There is no timeout here, because the state machine cancels dials that take too long. The caller holds
// d.mutex.
func (d *driver) dial(conn, forClient uint64, address string) {
	d.evictClosing(1)
	pending := &pendingDial{}
	d.dials[conn] = pending
	d.workers.run(func() {
		dialer := net.Dialer{KeepAlive: -1, Control: pending.control}
		netConn, err := dialer.Dial("tcp", address)
		if err != nil {
			d.mutex.Lock()
			delete(d.dials, conn)
			d.mutex.Unlock()
			d.handle(ConnClosed{Conn: conn, Reset: true})
			return
		}
		d.addDialed(conn, forClient, netConn)
	})
}

// hasPeerClosed reports whether the peer has closed or reset the connection and no unread data is left.
func (c *socket) hasPeerClosed() (closed, reset bool) {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return true, false
	}
	var peeked [1]byte
	n, _, err := syscall.Recvfrom(c.nbConn.Hash(), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	isEnd := n == 0 && err == nil
	return isEnd || errors.Is(err, syscall.ECONNRESET), err != nil
}
