package relay

// This file owns the connections: lesismal/nbio polls, reads and writes them.
//
// Where nbio 1.6.8 falls short (docs/architecture.md has the probes): its DialAsync gives no connection until
// that is up and reports none that never is, so net.Dialer dials and nbio takes over; its Writev keeps
// nothing of what follows the first piece that the kernel did not take whole, so what is left goes by Write;
// its OnData reports a reset that follows data as an end, so OnRead reads here.

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes  = 16 << 10
	maxUnsentBytes   = 64 << 10 // that a peer has not taken, above which it is a slow reader and cut off
	unlimitedSockets = 1 << 30  // more than there can be
)

// socket is a connection that nbio holds.
type socket struct {
	conn   uint64 // its number in events and effects
	nbConn *nbio.Conn
	unsent atomic.Int64 // bytes that the kernel has not taken
	polled bool         // nbio reads it

	awaitsFirstData bool // a client's that has brought nothing; of the reader's

	closing        atomic.Bool // it is closed once nothing is unsent
	discardedBytes int         // that have come since it is closing

	readMutex   sync.Mutex // held while it is read
	transferred bool       // to the child process; guarded by readMutex

	awaitsRelease  bool   // received from the parent, which has not released it: nothing is read or written
	deferredWrites []byte // that are to be written then, counted as unsent
}

// register gives a connection to nbio, unless its dial was canceled meanwhile, and reports whether it did. A client's
// connection is announced before its first bytes can be.
func (d *driver) register(conn uint64, netConn net.Conn, dialed bool) bool {
	nbConn, err := nbio.NBConn(netConn)
	if err != nil {
		netConn.Close()
		if dialed {
			d.handle(ConnClosed{Conn: conn, Reset: true})
		}
		return false
	}
	c := &socket{conn: conn, nbConn: nbConn, awaitsFirstData: !dialed}
	nbConn.SetSession(c)
	if !d.addSocket(c, dialed) {
		nbConn.Close()
		return false
	}
	if !dialed {
		d.handle(ConnAccepted{Conn: conn})
	}
	if err := d.startPollingNew(c); err != nil {
		d.handle(ConnClosed{Conn: conn, Reset: true})
		return false
	}
	return true
}

// addSocket reports whether the connection is still wanted.
func (d *driver) addSocket(c *socket, dialed bool) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, wanted := d.dials[c.conn]; dialed && !wanted {
		return false
	}
	delete(d.dials, c.conn)
	d.evictClosing(1)
	d.sockets[c.conn] = c
	return true
}

// startPollingNew has nbio poll the socket, unless it was closed since: its descriptor may be another's by now.
func (d *driver) startPollingNew(c *socket) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sockets[c.conn] != c {
		return nil
	}
	_, err := d.engine.AddConn(c.nbConn)
	c.polled = err == nil
	return err
}

// readAvailable reads what there is, up to the end or reset behind it.
func (d *driver) readAvailable(nbConn *nbio.Conn, buffer []byte) {
	d.mutex.Lock() // the socket was made under it, as nbio orders nothing between its goroutines
	c := nbConn.Session().(*socket)
	d.mutex.Unlock()
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for !c.transferred {
		n, err := nbConn.Read(buffer)
		switch {
		case n > 0 && c.closing.Load():
			c.discardedBytes += n
			if c.discardedBytes > maxUnsentBytes { // it sends at full speed and takes nothing in, at the cost of a core
				nbConn.Close()
				return
			}
		case n > 0:
			d.handle(DataReceived{Conn: c.conn, Data: buffer[:n], Waited: c.firstDataWaited()})
		case err == nil:
			nbConn.CloseWithError(io.EOF)
			return
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			nbConn.CloseWithError(err)
			return
		}
	}
}

// firstDataWaited returns for how many milliseconds the last of a client's first bytes has been here, and 0 for all later
// ones. The kernel's clock for that ticks every few milliseconds.
func (c *socket) firstDataWaited() float64 {
	if !c.awaitsFirstData {
		return 0
	}
	c.awaitsFirstData = false
	info, err := unix.GetsockoptTCPInfo(c.nbConn.Hash(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv)
}

// onClose is called by a goroutine of nbio's that swallows panics, so the event comes from another.
func (d *driver) onClose(nbConn *nbio.Conn, err error) {
	c, ok := nbConn.Session().(*socket)
	if !ok {
		return
	}
	d.workers.run(func() {
		d.mutex.Lock()
		d.removeSocket(c)
		d.mutex.Unlock()
		d.handle(ConnClosed{
			Conn:       c.conn,
			Reset:      err != nil && !errors.Is(err, io.EOF),
			Unsent:     c.unsent.Load() > 0,
			SlowReader: errors.Is(err, nbio.ErrOverflow),
		})
	})
}

// nbioLogger passes on nbio's warnings and errors.
type nbioLogger struct{ log *slog.Logger }

// SetLevel implements logging.Logger: the level is the log's.
func (nbioLogger) SetLevel(int) {}

// Debug implements logging.Logger and drops the message.
func (nbioLogger) Debug(string, ...any) {}

// Info implements logging.Logger and drops the message.
func (nbioLogger) Info(string, ...any) {}

// Warn implements logging.Logger.
func (l nbioLogger) Warn(format string, arguments ...any) {
	l.log.Warn(fmt.Sprintf(format, arguments...))
}

// Error implements logging.Logger.
func (l nbioLogger) Error(format string, arguments ...any) {
	l.log.Error(fmt.Sprintf(format, arguments...))
}
