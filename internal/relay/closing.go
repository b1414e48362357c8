package relay

// This file closes connections: all that was written goes out first, and a client's connection is then closed for
// sending alone and read until the client closes, too. A close over unread input would reset the connection, and
// the reset may overtake the answer. It also closes the listener at the end of the process.

import (
	"slices"
	"syscall"
	"time"
)

const (
	flushTimeout  = 2 * time.Second // for a peer to take what was written before the close
	lingerTimeout = time.Second     // for a client to close after its connection was closed for sending

	maxClosing              = 1024 // closing connections, where descriptors are not limited
	spareClosingDescriptors = 8    // that closing connections may use beyond those of open ones

	// At the end of the process:
	acceptEndTimeout   = 150 * time.Millisecond // for the accept loop to end, on a shared socket
	backlogTimeout     = 100 * time.Millisecond // for the backlog to be emptied
	backlogIdleTimeout = 10 * time.Millisecond  // without a connection from it, after which it is empty
	finalWriteTimeout  = 200 * time.Millisecond // for the last answers to be taken
	finalCloseTimeout  = 50 * time.Millisecond  // for the clients to close
	finalCheckInterval = time.Millisecond
)

// closeOrReset closes or resets a connection, or cancels its dial. The lock is held.
func (d *driver) closeOrReset(conn uint64, how closeMode) {
	if pending := d.dials[conn]; pending != nil {
		delete(d.dials, conn)
		pending.cancel()
		return
	}
	c := d.sockets[conn]
	switch {
	case c == nil:
	case how == byReset:
		delete(d.sockets, conn)
		c.nbConn.SetLinger(1, 0)
		c.nbConn.Close()
	default:
		d.close(c)
	}
}

// close closes a connection once all that was written is sent. The lock is held.
func (d *driver) close(c *socket) {
	c.closing.Store(true)
	switch {
	case c.unsent.Load() == 0:
		d.finishClose(c)
	case !c.awaitsRelease: // nbio has no deadlines before it polls
		c.setFlushDeadline()
	}
	if d.sockets[c.conn] == c {
		d.closing = append(d.closing, c)
		d.evictClosing(0)
	}
}

// setFlushDeadline gives the peer some time for what is unsent: one that never takes it must not hold a descriptor for
// ever.
func (c *socket) setFlushDeadline() { c.nbConn.SetWriteDeadline(time.Now().Add(flushTimeout)) }

// finishClose closes a connection to which all was written. The lock is held.
func (d *driver) finishClose(c *socket) {
	if c.conn < firstDialedID && c.polled && c.shutdownSend() {
		c.nbConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	d.closeNow(c)
}

// shutdownSend closes the connection for sending, and reports whether that was done. nbio marks a connection as closed
// under the same lock before it gives up the descriptor, so that the number is not another connection's.
func (c *socket) shutdownSend() bool {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return false
	}
	return syscall.Shutdown(c.nbConn.Hash(), syscall.SHUT_WR) == nil
}

// closeNow closes the connection both ways, and drops what came up to now. The lock is held.
func (d *driver) closeNow(c *socket) {
	delete(d.sockets, c.conn)
	c.discardUnread()
	c.nbConn.Close()
}

// discardUnread drops what the peer has sent, up to a bound.
func (c *socket) discardUnread() {
	var buffer [4 << 10]byte
	for range readBufferBytes / len(buffer) {
		n, err := c.nbConn.Read(buffer[:])
		if n <= 0 || err != nil {
			return
		}
	}
}

// removeSocket forgets a connection that nbio has closed. The lock is held.
func (d *driver) removeSocket(c *socket) {
	if d.sockets[c.conn] == c {
		delete(d.sockets, c.conn)
	}
	if c.closing.Load() {
		d.closing = slices.DeleteFunc(d.closing, func(other *socket) bool { return other == c })
	}
}

// evictClosing closes at once the connections that have been closing for longest, where there are too many or so many
// new connections need their descriptors. The lock is held.
func (d *driver) evictClosing(newConns int) {
	for len(d.closing) > 0 {
		needed := len(d.sockets) + len(d.dials) + newConns
		if len(d.closing) <= maxClosing && needed <= d.maxOpenSockets() {
			return
		}
		oldest := d.closing[0]
		d.closing = d.closing[1:]
		if d.sockets[oldest.conn] == oldest {
			d.closeNow(oldest)
		}
	}
}

// maxOpenSockets returns how many connections may hold a descriptor, closing ones among them.
func (d *driver) maxOpenSockets() int {
	if d.machine == nil || d.machine.limits.ownDescriptors > unlimitedSockets {
		return unlimitedSockets
	}
	return d.machine.limits.ownDescriptors + spareClosingDescriptors
}

// closeListener accepts what is in the backlog, and then no more: the kernel has accepted it, so that it is owed an
// answer. The state machine is done, and rejects whatever comes from now on. Where a child process has the listener,
// too, the backlog is left to that.
func (d *driver) closeListener() {
	d.mutex.Lock()
	d.accept.ending = true
	yielded := d.machine.siblings.yielded
	d.accept.changed.Broadcast()
	d.listener.SetDeadline(time.Unix(1, 0))
	d.mutex.Unlock()
	if !d.awaitAcceptEnd() {
		return // a call that blocks has taken what was in the backlog; Close would wait for it
	}
	if !yielded {
		d.acceptBacklog()
	}
	d.listener.Close()
}

// awaitAcceptEnd waits for the accept loop, and reports whether it has ended. Where another process has made a shared
// socket block in this moment, the loop ends with the process.
func (d *driver) awaitAcceptEnd() bool {
	var timeout <-chan time.Time // none, but on a shared socket
	if d.slot != nil {
		timeout = time.After(acceptEndTimeout)
	}
	select {
	case <-d.accept.done:
		return true
	case <-timeout:
		return false
	}
}

func (d *driver) acceptBacklog() {
	deadline := time.Now().Add(backlogTimeout)
	for time.Now().Before(deadline) {
		d.listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
		if !d.acceptClient() {
			return
		}
	}
}

// finish answers whoever has no answer yet, and waits for the last answers to be taken.
func (d *driver) finish() {
	d.closeListener()
	d.waitFor(finalCloseTimeout, func() bool { return d.machine.isIdle() })
	d.handle(ProcessExiting{})
	d.waitFor(finalWriteTimeout, func() bool { return d.unsentBytes() == 0 })
	d.waitFor(finalCloseTimeout, func() bool { return len(d.closing) == 0 })
}

// waitFor returns once isDone, which is called under the lock, is true, or after the timeout.
func (d *driver) waitFor(timeout time.Duration, isDone func() bool) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		d.mutex.Lock()
		done := isDone()
		d.mutex.Unlock()
		if done {
			return
		}
		time.Sleep(finalCheckInterval)
	}
}

// unsentBytes returns how much of what was written to all connections the kernel has not taken. The lock is held.
func (d *driver) unsentBytes() int64 {
	var unsent int64
	for _, c := range d.sockets {
		unsent += c.unsent.Load()
	}
	return unsent
}
