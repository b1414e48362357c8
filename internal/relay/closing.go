package relay

// This file closes connections. All that was written is sent first. A client's connection is then shut down for sending
// only, and read until the client closes it as well: closing a socket with unread input resets the connection, and the
// reset may reach the client before it has read the answer. This file also closes the listener when the process ends.

import (
	"slices"
	"syscall"
	"time"
)

const (
	flushTimeout  = 2 * time.Second // longest wait for a peer to receive what was written before the close
	lingerTimeout = time.Second     // longest wait for a client to close after its connection was shut down for sending

	maxClosing              = 1024 // closing connections at a time; fewer if descriptors are short
	spareClosingDescriptors = 8    // descriptors for closing connections, beyond the limit for open ones

	// At the end of the process:
	acceptEndTimeout   = 150 * time.Millisecond // longest wait for the accept loop to end, if processes share the socket
	backlogTimeout     = 100 * time.Millisecond // longest time to accept what is in the listener's backlog
	backlogIdleTimeout = 10 * time.Millisecond  // time without a new connection after which the backlog counts as empty
	finalWriteTimeout  = 200 * time.Millisecond // longest wait for clients to receive the last answers
	finalCloseTimeout  = 50 * time.Millisecond  // longest wait for the last sessions to end, and later for clients to close
	finalCheckInterval = time.Millisecond       // time between two checks of what is waited for
)

// closeOrReset closes or resets a connection, or cancels its dial. The caller holds d.mutex.
func (d *driver) closeOrReset(conn uint64, mode closeMode) {
	if pending := d.dials[conn]; pending != nil {
		delete(d.dials, conn)
		pending.cancel()
		return
	}
	c := d.sockets[conn]
	switch {
	case c == nil:
	case mode == byReset:
		delete(d.sockets, conn)
		c.nbConn.SetLinger(1, 0)
		c.nbConn.Close()
	default:
		d.close(c)
	}
}

// close closes a connection once all that was written to it is sent. The caller holds d.mutex.
func (d *driver) close(c *socket) {
	c.closing.Store(true)
	switch {
	case c.awaitsRelease: // startPolling closes it
	case c.unsent.Load() == 0:
		d.finishClose(c)
	default:
		c.setFlushDeadline()
	}
	if d.sockets[c.conn] == c {
		d.closing = append(d.closing, c)
		d.evictClosing(0)
	}
}

// setFlushDeadline limits the time that the peer has to receive what is unsent: a peer that never reads must not hold a
// descriptor forever.
func (c *socket) setFlushDeadline() { c.nbConn.SetWriteDeadline(time.Now().Add(flushTimeout)) }

// finishClose closes a connection whose data is all sent; a client's is shut down for sending only. The caller holds
// d.mutex.
func (d *driver) finishClose(c *socket) {
	if c.conn < dialedIDBase && c.polled && c.shutdownSend() {
		c.nbConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	d.closeNow(c)
}

// shutdownSend shuts the connection down for sending, and reports whether it did. nbio marks a connection as closed
// under the same lock before it releases the descriptor, so the descriptor's number can't belong to another connection
// yet.
func (c *socket) shutdownSend() bool {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return false
	}
	return syscall.Shutdown(c.nbConn.Hash(), syscall.SHUT_WR) == nil
}

// closeNow closes the connection in both directions, and discards what has been received. The caller holds d.mutex.
func (d *driver) closeNow(c *socket) {
	delete(d.sockets, c.conn)
	c.discardUnread()
	c.nbConn.Close()
}

// discardUnread reads and drops what the peer has sent, up to readBufferBytes.
func (c *socket) discardUnread() {
	var buffer [4 << 10]byte
	for range readBufferBytes / len(buffer) {
		n, err := c.nbConn.Read(buffer[:])
		if n <= 0 || err != nil {
			return
		}
	}
}

// removeSocket removes a connection that nbio has closed. The caller holds d.mutex.
func (d *driver) removeSocket(c *socket) {
	if d.sockets[c.conn] == c {
		delete(d.sockets, c.conn)
	}
	if c.closing.Load() {
		d.closing = slices.DeleteFunc(d.closing, func(other *socket) bool { return other == c })
	}
}

// evictClosing immediately closes the connections that have been closing for longest, while there are more than
// maxClosing or their descriptors are needed for newConns new connections. The caller holds d.mutex.
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

// maxOpenSockets returns how many connections may hold a descriptor, including those that are closing.
func (d *driver) maxOpenSockets() int {
	if d.machine == nil || d.machine.limits.ownDescriptors > unlimitedSockets {
		return unlimitedSockets
	}
	return d.machine.limits.ownDescriptors + spareClosingDescriptors
}

// closeListener closes the listener after accepting the connections in its backlog: the kernel has accepted them
// already, so their clients must get an answer. The state machine has issued Exit, and rejects every new client. If a
// child process shares the listener, the backlog is left to the child.
func (d *driver) closeListener() {
	d.mutex.Lock()
	d.accept.ending = true
	yielded := d.machine.siblings.yielded
	d.accept.changed.Broadcast()
	d.listener.SetDeadline(time.Unix(1, 0))
	d.mutex.Unlock()
	if !d.awaitAcceptEnd() {
		return // an accept call that blocks has emptied the backlog; Close would wait for that call
	}
	if !yielded {
		d.acceptBacklog()
	}
	d.listener.Close()
}

// awaitAcceptEnd waits for the accept loop, and reports whether it has ended. If another process has just switched a
// shared socket to blocking mode, the loop ends only with this process.
func (d *driver) awaitAcceptEnd() bool {
	var timeout <-chan time.Time // nil, which never fires, unless processes share the socket
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

// acceptBacklog accepts connections until the backlog is empty or backlogTimeout has passed.
func (d *driver) acceptBacklog() {
	deadline := time.Now().Add(backlogTimeout)
	for time.Now().Before(deadline) {
		d.listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
		if !d.acceptClient() {
			return
		}
	}
}

// finish answers the clients that have no answer yet, and waits for clients to receive the last answers.
func (d *driver) finish() {
	d.closeListener()
	d.waitFor(finalCloseTimeout, func() bool { return len(d.accept.inFlight) == 0 && d.machine.isIdle() })
	d.handle(ProcessExiting{})
	d.waitFor(finalWriteTimeout, func() bool { return d.unsentBytes() == 0 })
	d.waitFor(finalCloseTimeout, func() bool { return len(d.closing) == 0 })
}

// waitFor waits until isDone returns true, but no longer than the timeout. It calls isDone with d.mutex held.
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

// unsentBytes returns how many of the bytes written to connections the kernel has not accepted. The caller holds
// d.mutex.
func (d *driver) unsentBytes() int64 {
	var unsent int64
	for _, c := range d.sockets {
		unsent += c.unsent.Load()
	}
	return unsent
}
