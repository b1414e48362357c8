package relay

import (
	"errors"
	"syscall"

	"github.com/lesismal/nbio"
)

// write writes all chunks at once. What the kernel doesn't take stays with nbio, within its bound. The lock is held.
func (d *driver) write(conn uint64, chunks [][]byte) {
	c := d.sockets[conn]
	if c == nil {
		return
	}
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
	}
	if c.awaitsRelease {
		for _, chunk := range chunks {
			c.deferredWrites = append(c.deferredWrites, chunk...)
		}
		c.unsent.Add(int64(size))
		return
	}
	if len(chunks) == 1 || c.unsent.Load() > 0 {
		for _, chunk := range chunks {
			c.writeChunk(chunk)
		}
		return
	}
	written, err := c.nbConn.Writev(chunks)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		c.unsent.Add(int64(size))
		return
	}
	if written < size {
		c.writeRest(chunks, written)
	}
}

// writeRest writes what Writev has not taken. nbio has counted the written bytes, and kept the rest of the chunk that
// they end in; the chunks behind it are written again.
func (c *socket) writeRest(chunks [][]byte, written int) {
	c.unsent.Add(int64(written)) // onWritten subtracts it
	remaining := written
	for _, chunk := range chunks {
		switch {
		case remaining >= len(chunk):
			remaining -= len(chunk)
		case remaining > 0:
			c.unsent.Add(int64(len(chunk) - remaining))
			remaining = 0
		default:
			c.writeChunk(chunk)
		}
	}
}

// writeChunk writes to nbio. An error closes the connection, and is reported by that.
func (c *socket) writeChunk(chunk []byte) {
	c.unsent.Add(int64(len(chunk)))
	c.nbConn.Write(chunk)
}

// onWritten is nbio's hook for what the kernel has taken. nbio holds its connection's lock meanwhile, so that a closing
// connection is finished by another goroutine.
func (d *driver) onWritten(nbConn *nbio.Conn, _ []byte, n int) {
	c, ok := nbConn.Session().(*socket)
	if !ok {
		return
	}
	isAllSent := c.unsent.Add(int64(-n)) == 0
	if !isAllSent || !c.closing.Load() {
		return
	}
	d.workers.run(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.sockets[c.conn] == c {
			d.finishClose(c)
		}
	})
}
