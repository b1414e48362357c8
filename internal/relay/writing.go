package relay

// This file writes to connections, and counts what the system has not taken of it.

import (
	"errors"
	"syscall"

	"github.com/lesismal/nbio"
)

// write hands all parts over at once; what the kernel does not take stays with nbio, within its bound.
func (s *Sockets) write(conn uint64, parts [][]byte) {
	c := s.open[conn]
	if c == nil {
		return
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if c.early {
		for _, p := range parts {
			c.later = append(c.later, p...)
		}
		c.unsent.Add(int64(size))
		return
	}
	if len(parts) == 1 || c.unsent.Load() > 0 {
		for _, p := range parts {
			s.writeOne(c, p)
		}
		return
	}
	n, err := c.nb.Writev(parts)
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
			s.writeOne(c, p)
		}
	}
}

func (s *Sockets) writeOne(c *socket, p []byte) {
	c.unsent.Add(int64(len(p)))
	c.nb.Write(p) // an error closes it, and is told by that
}

// written is told what the kernel took; nbio holds its connection's lock meanwhile.
func (s *Sockets) written(nb *nbio.Conn, _ []byte, n int) {
	c, ok := nb.Session().(*socket)
	if ok && c.unsent.Add(int64(-n)) == 0 && c.closing.Load() {
		s.work.do(func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.open[c.conn] == c {
				s.flushed(c)
			}
		})
	}
}
