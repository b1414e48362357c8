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
	flushTimeout   = 2 * time.Second        // for a peer to take what was written before the close
	lingerTimeout  = time.Second            // for a client to close after its connection was closed for sending
	spareClosing   = 8                      // descriptors beyond those of open connections that closing ones may use
	mostClosing    = 1024                   // closing connections, where descriptors are not limited
	backlogGap     = 10 * time.Millisecond  // without a connection from the backlog, after which that is empty
	backlogTimeout = 100 * time.Millisecond // for the backlog to be emptied at the end of the process
	lastWrites     = 200 * time.Millisecond // for the last answers to be taken then
	lastCloses     = 50 * time.Millisecond  // and for the clients to close
	lastCheck      = time.Millisecond
)

// end closes a connection that the reducer is done with, or stops it from being dialed. The lock is held.
func (s *Sockets) end(conn uint64, how closeMode) {
	if d := s.dialing[conn]; d != nil {
		delete(s.dialing, conn)
		d.giveUp()
		return
	}
	c := s.open[conn]
	switch {
	case c == nil:
	case how == byReset:
		delete(s.open, conn)
		c.nb.SetLinger(1, 0)
		c.nb.Close()
	default:
		s.close(c)
	}
}

// close closes a connection once all that was written is out.
func (s *Sockets) close(c *socket) {
	c.closing.Store(true)
	if c.unsent.Load() == 0 {
		s.flushed(c)
	} else if !c.early { // nbio has no deadlines before it polls
		c.startFlush()
	}
	if s.open[c.conn] == c {
		s.closing = append(s.closing, c)
		s.limitClosing(0)
	}
}

// startFlush gives the peer some time for what is not written yet. Against one that never takes it holding its
// descriptor for ever.
func (c *socket) startFlush() { c.nb.SetWriteDeadline(time.Now().Add(flushTimeout)) }

// flushed takes that all was written to a closing connection.
func (s *Sockets) flushed(c *socket) {
	if c.conn < firstDialedID && c.polled && c.closeForSending() {
		c.nb.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	s.closeNow(c)
}

// closeForSending tells whether it could. nbio marks a connection as closed under the same lock before it gives up
// the descriptor, so that the number is not another's.
func (c *socket) closeForSending() bool {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return false
	}
	return syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR) == nil
}

// closeNow closes both ways, less what came up to now.
func (s *Sockets) closeNow(c *socket) {
	delete(s.open, c.conn)
	c.discard()
	c.nb.Close()
}

// discard drops what the peer has sent, up to a bound.
func (c *socket) discard() {
	var piece [4 << 10]byte
	for range readPiece / len(piece) {
		if n, err := c.nb.Read(piece[:]); n <= 0 || err != nil {
			return
		}
	}
}

// forgetSocket takes that a connection is gone. The lock is held.
func (s *Sockets) forgetSocket(c *socket) {
	if s.open[c.conn] == c {
		delete(s.open, c.conn)
	}
	if c.closing.Load() {
		s.closing = slices.DeleteFunc(s.closing, func(other *socket) bool { return other == c })
	}
}

// limitClosing closes connections that have been closing for longest where they hold descriptors that so many new
// connections need.
func (s *Sockets) limitClosing(more int) {
	for len(s.closing) > 0 &&
		(len(s.closing) > mostClosing || len(s.open)+len(s.dialing)+more > s.mostSockets()) {
		oldest := s.closing[0]
		s.closing = s.closing[1:]
		if s.open[oldest.conn] == oldest {
			s.closeNow(oldest)
		}
	}
}

// mostSockets is how many connections may hold a descriptor, closing ones among them.
func (s *Sockets) mostSockets() int {
	if s.reducer == nil || s.reducer.limits.ownDescriptors > maxSockets {
		return maxSockets
	}
	return s.reducer.limits.ownDescriptors + spareClosing
}

// closeListener takes in what waits to be accepted, and then has no more come: the machine has accepted it, so that
// it is owed an answer. The reducer has said that it is done, and turns away whatever comes from now on. Where a
// younger process has the listener too, what waits is left to that.
func (s *Sockets) closeListener() {
	s.mutex.Lock()
	s.ending = true
	yielded := s.reducer.siblings.yielded
	s.freed.Broadcast()
	s.listener.SetDeadline(time.Unix(1, 0))
	s.mutex.Unlock()
	<-s.accepted
	for until := time.Now().Add(backlogTimeout); !yielded && time.Now().Before(until); {
		s.listener.SetDeadline(time.Now().Add(backlogGap))
		if !s.acceptOne() {
			break
		}
	}
	s.listener.Close()
}

// endAll answers whoever has no answer yet, and waits for the last answers to be taken.
func (s *Sockets) endAll() {
	s.closeListener()
	s.waitFor(lastCloses, func() bool { return s.reducer.isIdle() })
	s.take(ProcessExiting{})
	s.waitFor(lastWrites, func() bool { return s.unsent() == 0 })
	s.waitFor(lastCloses, func() bool { return len(s.closing) == 0 })
}

// waitFor waits until it is done, asked under the lock, but no longer than that.
func (s *Sockets) waitFor(limit time.Duration, done func() bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(lastCheck) {
		s.mutex.Lock()
		over := done()
		s.mutex.Unlock()
		if over {
			return
		}
	}
}

// unsent is how many bytes written to open connections the system has not taken.
func (s *Sockets) unsent() (left int64) {
	for _, c := range s.open {
		left += c.unsent.Load()
	}
	return left
}
