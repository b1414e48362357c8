package relay

// This file manages connections. lesismal/nbio polls, reads and writes them, with workarounds for these limits of
// nbio 1.6.8 (docs/architecture.md describes the probes that show them):
//   - DialAsync returns no connection before it is established, and does not report one that never is, so net.Dialer
//     dials and nbio takes over the established connection.
//   - Writev drops all buffers after the first that the kernel accepts only in part, so Write is used for them.
//   - OnData reports a reset that follows data as an end of stream, so OnRead is used and reads from the connection.

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
	readBufferBytes  = 16 << 10 // size of the buffer for reads, in bytes
	maxTurnBytes     = 64 << 10 // bytes read from one connection before others get their turn
	maxUnsentBytes   = 64 << 10 // unsent bytes above which a peer is a slow reader and its connection is closed
	unlimitedSockets = 1 << 30  // stands for no limit: more sockets than a process can open
)

// socket is a connection that nbio manages.
type socket struct {
	conn   uint64 // connection ID in events and effects
	nbConn *nbio.Conn
	unsent atomic.Int64 // bytes written but not yet accepted by the kernel
	polled bool         // nbio's poller watches it

	awaitsFirstData bool // a client connection on which nothing has been read yet; used only by the reader

	closing        atomic.Bool // the connection is closed once nothing is unsent
	discardedBytes int         // bytes received and dropped since closing was set

	readMutex   sync.Mutex // held while reading
	transferred bool       // the child process has the connection; guarded by readMutex

	awaitsRelease  bool   // received from a parent that has not released it yet: it is not read, written or closed
	deferredWrites []byte // data to write once it is released, included in unsent
}

// addAccepted adds a client's connection, after the poller's batch, and reports it to the state machine. It waits while
// maxAcceptsInFlight clients are not added yet, as the state machine limits how many are accepted by those that it knows.
func (d *driver) addAccepted(netConn net.Conn) {
	nbConn, err := nbio.NBConn(netConn)
	if err != nil {
		netConn.Close()
		return
	}
	d.accept.inFlight <- struct{}{}
	d.batches.afterBatch(func() {
		d.addClient(nbConn)
		<-d.accept.inFlight
	})
}

// addClient adds a client's connection and reports it to the state machine. nbio polls it by then, because the effects of
// the event may already write to it. Data that arrives in between waits for the lock, and so comes after the event.
func (d *driver) addClient(nbConn *nbio.Conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastClientConn++
	c := &socket{conn: d.lastClientConn, nbConn: nbConn, awaitsFirstData: true}
	if d.addPolled(c) != nil {
		return
	}
	d.handleLocked(ConnAccepted{Conn: c.conn})
}

// addDialed adds a connection whose dial has succeeded and reports it to the state machine.
func (d *driver) addDialed(conn, forClient uint64, netConn net.Conn) {
	nbConn, err := nbio.NBConn(netConn)
	if err != nil {
		netConn.Close()
	}
	d.batches.afterBatch(func() { d.addBackendConn(conn, forClient, nbConn, err) })
}

// addBackendConn adds a connection whose dial has succeeded, unless err says why it can't be added, and reports it to the
// state machine, unless the dial was canceled in the meantime. If the client that it is for has closed its connection,
// that is reported first, as the poller may not have noticed yet: nothing is sent for a client that has left.
func (d *driver) addBackendConn(conn, forClient uint64, nbConn *nbio.Conn, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, wanted := d.dials[conn]
	delete(d.dials, conn)
	if err == nil && !wanted {
		nbConn.Close()
		return
	}
	if err == nil {
		err = d.addPolled(&socket{conn: conn, nbConn: nbConn})
	}
	if err != nil {
		d.handleLocked(ConnClosed{Conn: conn, Reset: true})
		return
	}
	if client := d.sockets[forClient]; client != nil {
		if closed, reset := client.hasPeerClosed(); closed {
			d.handleLocked(ConnClosed{Conn: forClient, Reset: reset})
		}
	}
	d.handleLocked(ConnEstablished{Conn: conn})
}

// addPolled adds a socket to the driver's table and to nbio's poller, in one step, so that the table holds no socket on
// which the state machine's effects can't be carried out. After an error nbio has closed the connection. The caller
// holds d.mutex.
func (d *driver) addPolled(c *socket) error {
	d.evictClosing(1)
	c.nbConn.SetSession(c)
	if err := d.poll(c); err != nil {
		return err
	}
	d.sockets[c.conn] = c
	return nil
}

// poll adds the socket to nbio's poller. nbio closes a connection that it can't add, such as one that it polls already.
// The caller holds d.mutex.
func (d *driver) poll(c *socket) error {
	if _, err := d.engine.AddConn(c.nbConn); err != nil {
		return fmt.Errorf("poll connection: %w", err)
	}
	c.polled = true
	return nil
}

// onReadable is nbio's read callback.
func (d *driver) onReadable(nbConn *nbio.Conn, buffer []byte) {
	if !d.batches.handleEvent(nbConn) {
		d.readAvailable(nbConn, buffer)
	}
}

// readAvailable reads the available data, up to the end of the stream or the reset that may follow it, but no more than
// maxTurnBytes from a peer that may send more: the poller reports what is left again, after the other connections had
// their turn.
func (d *driver) readAvailable(nbConn *nbio.Conn, buffer []byte) {
	d.mutex.Lock() // nbio does not synchronize with the goroutine that set the session; this lock does
	c := nbConn.Session().(*socket)
	d.mutex.Unlock()
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for turnBytes := 0; !c.transferred; {
		if turnBytes >= maxTurnBytes && !c.hasPeerEnded() {
			return
		}
		n, err := nbConn.Read(buffer)
		turnBytes += max(n, 0)
		switch {
		case n > 0 && c.closing.Load():
			c.discardedBytes += n
			if c.discardedBytes > maxUnsentBytes { // a peer that only sends, at full speed, would cost a core
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

// hasPeerEnded reports whether the peer has closed or reset the connection, though data may be left to read. nbio closes
// the connection after the turn in which its poller reports that, so all data has to be read in this turn.
func (c *socket) hasPeerEnded() bool {
	poll := []unix.PollFd{{Fd: int32(c.nbConn.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err != nil || n > 0
}

// firstDataWaited returns for how many milliseconds a client's first data, counted from its last byte, waited to be
// read, and 0 for all later data. The kernel's clock for this has a resolution of a few milliseconds.
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

// onClose is nbio's close callback. nbio calls it on a goroutine that swallows panics, so a worker handles the event.
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

// nbioLogger forwards nbio's warnings and errors to the relay's log.
type nbioLogger struct{ log *slog.Logger }

// SetLevel implements logging.Logger and does nothing: the relay's log has its own level.
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
