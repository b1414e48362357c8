package relay

// This file writes to connections, and counts what the system has not taken of it.

import (
	"errors"
	"syscall"

	"github.com/lesismal/nbio"
)

// write hands all parts over at once; what the kernel does not take stays with nbio, within its bound.
func (s *driver) write(conn uint64, parts [][]byte) {
	c := s.sockets[conn]
	if c == nil {
		return
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if c.awaitsRelease {
		for _, p := range parts {
			c.deferredWrites = append(c.deferredWrites, p...)
		}
		c.unsent.Add(int64(size))
		return
	}
	if len(parts) == 1 || c.unsent.Load() > 0 {
		for _, p := range parts {
			s.writeChunk(c, p)
		}
		return
	}
	n, err := c.nbConn.Writev(parts)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		c.unsent.Add(int64(size))
		return
	}
	if n >= size {
		return
	}
	// nbio counted the n bytes and kept the rest of the piece they end in; the pieces after it are given again.
	c.unsent.Add(int64(n))
	for _, p := range parts {
		switch {
		case n >= len(p):
			n -= len(p)
		case n > 0:
			c.unsent.Add(int64(len(p) - n))
			n = 0
		default:
			s.writeChunk(c, p)
		}
	}
}

func (s *driver) writeChunk(c *socket, p []byte) {
	c.unsent.Add(int64(len(p)))
	c.nbConn.Write(p) // an error closes it, and is told by that
}

// onWritten is told what the kernel took; nbio holds its connection's lock meanwhile.
func (s *driver) onWritten(nb *nbio.Conn, _ []byte, n int) {
	c, ok := nb.Session().(*socket)
	if ok && c.unsent.Add(int64(-n)) == 0 && c.closing.Load() {
		s.workers.run(func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.sockets[c.conn] == c {
				s.finishClose(c)
			}
		})
	}
}
