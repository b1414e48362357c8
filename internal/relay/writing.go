package relay

import (
	"errors"
	"syscall"

	"github.com/lesismal/nbio"
)

const maxGatheredChunks = 1024 // most chunks that the kernel accepts in one system call (IOV_MAX)

// write writes all chunks, in a single system call if nothing is unsent. nbio buffers what the kernel does not accept,
// up to maxUnsentBytes. The caller holds d.mutex.
func (d *driver) write(conn uint64, chunks [][]byte) {
	c := d.sockets[conn]
	switch {
	case c == nil:
	case c.awaitsRelease:
		c.deferWrite(d.join(chunks))
	case len(chunks) == 1:
		c.writeChunk(chunks[0])
	case len(chunks) > maxGatheredChunks || c.unsent.Load() > 0:
		c.writeChunk(d.join(chunks))
	default:
		c.writeGathered(chunks)
	}
}

// join copies the chunks into one, which is valid until the next call.
func (d *driver) join(chunks [][]byte) []byte {
	d.joined = d.joined[:0]
	for _, chunk := range chunks {
		d.joined = append(d.joined, chunk...)
	}
	return d.joined
}

// deferWrite keeps a copy of the data until the connection is released.
func (c *socket) deferWrite(data []byte) {
	c.deferredWrites = append(c.deferredWrites, data...)
	c.unsent.Add(int64(len(data)))
}

// writeGathered writes chunks in one system call. Nothing is unsent, and there are at most maxGatheredChunks.
func (c *socket) writeGathered(chunks [][]byte) {
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
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

// writeRest writes what is left after Writev. nbio reports the written bytes to onWritten and buffers the rest of a
// chunk that was written in part, but drops the chunks after it, which are written again here.
func (c *socket) writeRest(chunks [][]byte, written int) {
	c.unsent.Add(int64(written)) // onWritten subtracts the same number
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

// writeChunk writes one chunk through nbio. On an error nbio closes the connection and passes the error to onClose.
func (c *socket) writeChunk(chunk []byte) {
	c.unsent.Add(int64(len(chunk)))
	c.nbConn.Write(chunk)
}

// onWritten is nbio's callback for bytes that the kernel has accepted. nbio holds its lock of the connection during the
// call, so a worker finishes the close of a closing connection.
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
