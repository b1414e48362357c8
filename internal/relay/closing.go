package relay

// This file closes connections: all that was written goes out first, and a client's connection is then closed for
// sending alone and read until the client closes too. A close over unread input would reset the connection, and
// the reset may overtake the answer. It also closes the listener at the end of the process. It decides nothing.

import (
	"slices"
	"syscall"
	"time"
)

const (
	flushTimeout            = 2 * time.Second        // for a peer to take what was written before the close
	lingerTimeout           = time.Second            // for a client to close after its connection was closed for sending
	spareClosingDescriptors = 8                      // descriptors beyond those of open connections that closing ones may use
	maxClosing              = 1024                   // closing connections, where descriptors are not limited
	backlogIdleTimeout      = 10 * time.Millisecond  // without a connection from the backlog, after which that is empty
	backlogTimeout          = 100 * time.Millisecond // for the backlog to be emptied at the end of the process
	finalWriteTimeout       = 200 * time.Millisecond // for the last answers to be taken then
	finalCloseTimeout       = 50 * time.Millisecond  // and for the clients to close
	finalCheckInterval      = time.Millisecond
)

// closeOrReset closes a connection that the reducer is done with, or stops it from being dialed. The lock is held.
func (s *driver) closeOrReset(conn uint64, how closeMode) {
	if d := s.dials[conn]; d != nil {
		delete(s.dials, conn)
		d.cancel()
		return
	}
	c := s.sockets[conn]
	switch {
	case c == nil:
	case how == byReset:
		delete(s.sockets, conn)
		c.nbConn.SetLinger(1, 0)
		c.nbConn.Close()
	default:
		s.close(c)
	}
}

// close closes a connection once all that was written is out.
func (s *driver) close(c *socket) {
	c.closing.Store(true)
	if c.unsent.Load() == 0 {
		s.finishClose(c)
	} else if !c.awaitsRelease { // nbio has no deadlines before it polls
		c.setFlushDeadline()
	}
	if s.sockets[c.conn] == c {
		s.closing = append(s.closing, c)
		s.evictClosing(0)
	}
}

// setFlushDeadline gives the peer some time for what is not written yet. Against one that never takes it holding its
// descriptor for ever.
func (c *socket) setFlushDeadline() { c.nbConn.SetWriteDeadline(time.Now().Add(flushTimeout)) }

// finishClose takes that all was written to a closing connection.
func (s *driver) finishClose(c *socket) {
	if c.conn < firstDialedID && c.polled && c.shutdownSend() {
		c.nbConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	s.closeNow(c)
}

// shutdownSend tells whether it could. nbio marks a connection as closed under the same lock before it gives up
// the descriptor, so that the number is not another's.
func (c *socket) shutdownSend() bool {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return false
	}
	return syscall.Shutdown(c.nbConn.Hash(), syscall.SHUT_WR) == nil
}

// closeNow closes both ways, less what came up to now.
func (s *driver) closeNow(c *socket) {
	delete(s.sockets, c.conn)
	c.discardUnread()
	c.nbConn.Close()
}

// discardUnread drops what the peer has sent, up to a bound.
func (c *socket) discardUnread() {
	var piece [4 << 10]byte
	for range readBufferBytes / len(piece) {
		if n, err := c.nbConn.Read(piece[:]); n <= 0 || err != nil {
			return
		}
	}
}

// removeSocket takes that a connection is gone. The lock is held.
func (s *driver) removeSocket(c *socket) {
	if s.sockets[c.conn] == c {
		delete(s.sockets, c.conn)
	}
	if c.closing.Load() {
		s.closing = slices.DeleteFunc(s.closing, func(other *socket) bool { return other == c })
	}
}

// evictClosing closes connections that have been closing for longest where they hold descriptors that so many new
// connections need.
func (s *driver) evictClosing(more int) {
	for len(s.closing) > 0 &&
		(len(s.closing) > maxClosing || len(s.sockets)+len(s.dials)+more > s.maxOpenSockets()) {
		oldest := s.closing[0]
		s.closing = s.closing[1:]
		if s.sockets[oldest.conn] == oldest {
			s.closeNow(oldest)
		}
	}
}

// maxOpenSockets is how many connections may hold a descriptor, closing ones among them.
func (s *driver) maxOpenSockets() int {
	if s.machine == nil || s.machine.limits.ownDescriptors > unlimitedSockets {
		return unlimitedSockets
	}
	return s.machine.limits.ownDescriptors + spareClosingDescriptors
}

// closeListener takes in what waits to be accepted, and then has no more come: the machine has accepted it, so that
// it is owed an answer. The reducer has said that it is done, and turns away whatever comes from now on. Where a
// younger process has the listener too, what waits is left to that.
func (s *driver) closeListener() {
	s.mutex.Lock()
	s.acceptEnding = true
	yielded := s.machine.siblings.yielded
	s.acceptChanged.Broadcast()
	s.listener.SetDeadline(time.Unix(1, 0))
	s.mutex.Unlock()
	<-s.acceptDone
	for until := time.Now().Add(backlogTimeout); !yielded && time.Now().Before(until); {
		s.listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
		if !s.acceptClient() {
			break
		}
	}
	s.listener.Close()
}

// finish answers whoever has no answer yet, and waits for the last answers to be taken.
func (s *driver) finish() {
	s.closeListener()
	s.waitFor(finalCloseTimeout, func() bool { return s.machine.isIdle() })
	s.handle(ProcessExiting{})
	s.waitFor(finalWriteTimeout, func() bool { return s.unsentBytes() == 0 })
	s.waitFor(finalCloseTimeout, func() bool { return len(s.closing) == 0 })
}

// waitFor waits until it is done, asked under the lock, but no longer than that.
func (s *driver) waitFor(limit time.Duration, done func() bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(finalCheckInterval) {
		s.mutex.Lock()
		over := done()
		s.mutex.Unlock()
		if over {
			return
		}
	}
}

// unsentBytes is how many bytes written to open connections the system has not taken.
func (s *driver) unsentBytes() (left int64) {
	for _, c := range s.sockets {
		left += c.unsent.Load()
	}
	return left
}
