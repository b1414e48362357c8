package relay

// This file sends the connections of established sessions from the parent process to its child. It carries out what the
// state machine asks for and tells it how that went; it doesn't decide which session goes, nor know what its bytes mean.

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"valeshift/internal/hotrestart"
)

// maxEpollDescriptor bounds the descriptors among which the poller's own is looked for: it is opened at the start.
const maxEpollDescriptor = 64

var errConnClosed = errors.New("connection closed")

// transferChannel sends sessions to the child process.
type transferChannel struct {
	pending sync.WaitGroup // sessions whose transfer was asked for

	mutex   sync.Mutex          // held while one session is sent; guards all below
	channel *hotrestart.Channel // nil until the first session
	failed  bool                // no further session is sent
	epollFD int                 // the poller's descriptor; 0 until it is found
}

// transferSession sends one session, and tells the state machine what has become of it. Both sockets' reads are locked
// from before the state machine gives the session up until that is known: bytes that belong to the child must not be
// read here.
func (d *driver) transferSession(clientConn, backendConn uint64) {
	t := &d.transfers
	defer t.pending.Done()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	d.mutex.Lock()
	client := d.sockets[clientConn]
	backend := d.sockets[backendConn]
	child := d.handoffChild
	d.mutex.Unlock()
	if client == nil || backend == nil || !d.openTransferChannel(child) {
		return
	}
	client.readMutex.Lock()
	defer client.readMutex.Unlock()
	backend.readMutex.Lock()
	defer backend.readMutex.Unlock()
	session, fds := d.detachSession(client, backend)
	if session == nil {
		return
	}
	sent := d.sendSession(session, fds)
	d.settleTransfer(client, backend, sent)
}

// openTransferChannel reports whether sessions can be sent.
func (d *driver) openTransferChannel(child int) bool {
	t := &d.transfers
	if t.channel != nil || t.failed {
		return !t.failed
	}
	channel, err := d.slot.OpenChannel(child)
	if err != nil {
		d.log.Warn("no channel to the child process", "err", err)
		t.failed = true
		return false
	}
	t.channel = channel
	return true
}

// detachSession has the state machine give the session up, and takes its sockets out of the poller. It returns
// descriptors of their own to be sent; no session where it stays here. All is done under the driver's lock: no
// descriptor's number can come to another connection meanwhile.
func (d *driver) detachSession(client, backend *socket) (session *TransferredSession,
	fds [hotrestart.FilesPerSession]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	both := [hotrestart.FilesPerSession]*socket{client, backend}
	for _, c := range both {
		if c.unsent.Load() > 0 || c.closing.Load() || isClosed(c.nbConn) {
			return nil, fds
		}
	}
	d.detached = nil
	d.handleLocked(DetachRequested{Conn: client.conn})
	session = d.detached
	if session == nil {
		return nil, fds
	}
	fds, err := d.takeDescriptors(both)
	if err != nil {
		d.handleLocked(SessionTransferred{Conn: client.conn})
		return nil, fds
	}
	return session, fds
}

// takeDescriptors has the poller forget both sockets and duplicates their descriptors, or leaves all as it was.
func (d *driver) takeDescriptors(both [hotrestart.FilesPerSession]*socket) (fds [hotrestart.FilesPerSession]int,
	err error) {
	for i, c := range both {
		fds[i], err = d.takeDescriptor(c)
		if err == nil {
			continue
		}
		for _, fd := range fds[:i] {
			syscall.Close(fd)
		}
		for _, c := range both {
			d.resumePolling(c)
		}
		return fds, err
	}
	return fds, nil
}

func (d *driver) takeDescriptor(c *socket) (int, error) {
	if err := d.stopPolling(c.nbConn.Hash()); err != nil {
		return 0, err
	}
	fd, err := syscall.Dup(c.nbConn.Hash())
	if err != nil {
		return 0, err
	}
	if isClosed(c.nbConn) {
		syscall.Close(fd)
		return 0, errConnClosed
	}
	return fd, nil
}

// sendSession closes the descriptors, and reports whether the child has the session or may have it.
func (d *driver) sendSession(session *TransferredSession, fds [hotrestart.FilesPerSession]int) (sent bool) {
	t := &d.transfers
	record, err := json.Marshal(session)
	if err == nil {
		sent, err = t.channel.SendSession(record, fds)
	}
	for _, fd := range fds {
		syscall.Close(fd)
	}
	if err != nil && !errors.Is(err, hotrestart.ErrRejected) {
		d.log.Warn("can't transfer a session", "err", err)
		t.channel.Close()
		t.failed = true
	}
	return sent
}

// settleTransfer lets go of a session that was sent, or goes on with one that stays.
func (d *driver) settleTransfer(client, backend *socket, sent bool) {
	d.mutex.Lock()
	for _, c := range [...]*socket{client, backend} {
		if sent {
			c.transferred = true
			delete(d.sockets, c.conn)
		} else {
			d.resumePolling(c)
		}
	}
	d.mutex.Unlock()
	d.handle(SessionTransferred{Conn: client.conn, Accepted: sent})
	if !sent {
		return
	}
	client.nbConn.Close() // the child's descriptors keep the connections up
	backend.nbConn.Close()
	t := &d.transfers
	if err := t.channel.ConfirmRelease(); err != nil && !t.failed {
		d.log.Warn("can't confirm the release of a session", "err", err)
	}
}

// isClosed reports whether nbio has closed the connection; taking nbio's lock by ExecuteLen orders that before.
func isClosed(nbConn *nbio.Conn) bool {
	nbConn.ExecuteLen()
	closed, _ := nbConn.IsClosed()
	return closed
}

// resumePolling has the poller look after the connection as before.
func (d *driver) resumePolling(c *socket) {
	if !isClosed(c.nbConn) {
		d.engine.AddConn(c.nbConn)
	}
}

// stopPolling takes a descriptor out of the poller's epoll set. nbio 1.6.8 leaves that to the kernel, which does so only
// once no process holds the connection; and it doesn't export its set, which is found as the one that has the
// descriptor.
func (d *driver) stopPolling(fd int) error {
	t := &d.transfers
	if t.epollFD > 0 {
		return syscall.EpollCtl(t.epollFD, syscall.EPOLL_CTL_DEL, fd, nil)
	}
	const firstDescriptor = 3 // behind standard input, output and error
	for candidate := firstDescriptor; candidate < maxEpollDescriptor; candidate++ {
		if candidate != fd && syscall.EpollCtl(candidate, syscall.EPOLL_CTL_DEL, fd, nil) == nil {
			t.epollFD = candidate
			return nil
		}
	}
	return syscall.ENOENT
}

// receiveSession takes over a session that the parent process sends. It is a hotrestart.SessionHandler. Where the parent
// confirms its release, nothing is read or written before.
func (d *driver) receiveSession(record []byte, files [hotrestart.FilesPerSession]*os.File) (accepted bool,
	released func()) {
	session := &TransferredSession{}
	if json.Unmarshal(record, session) != nil {
		return false, nil
	}
	nbConns, err := newNbioConns(files)
	if err != nil {
		return false, nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastClientConn++
	clientConn := d.lastClientConn
	d.acceptedBackendConn = 0
	d.handleLocked(SessionReceived{Conn: clientConn, Session: session})
	if d.acceptedBackendConn == 0 {
		for _, nbConn := range nbConns {
			nbConn.Close()
		}
		return false, nil
	}
	conns := [...]uint64{clientConn, d.acceptedBackendConn}
	var sockets [hotrestart.FilesPerSession]*socket
	for i, nbConn := range nbConns {
		sockets[i] = &socket{conn: conns[i], nbConn: nbConn, awaitsRelease: true}
		nbConn.SetSession(sockets[i])
		d.sockets[conns[i]] = sockets[i]
	}
	if !session.ConfirmsRelease {
		d.startPolling(sockets)
		return true, nil
	}
	return true, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.startPolling(sockets)
	}
}

func newNbioConns(files [hotrestart.FilesPerSession]*os.File) (nbConns [hotrestart.FilesPerSession]*nbio.Conn,
	err error) {
	for i, file := range files {
		nbConns[i], err = newNbioConn(file)
		if err != nil {
			for _, nbConn := range nbConns[:i] {
				nbConn.Close()
			}
			return nbConns, err
		}
	}
	return nbConns, nil
}

func newNbioConn(file *os.File) (*nbio.Conn, error) {
	netConn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return nbio.NBConn(netConn)
}

// startPolling begins to read a session that was received, and writes what was deferred. The lock is held.
func (d *driver) startPolling(sockets [hotrestart.FilesPerSession]*socket) {
	for _, c := range sockets {
		c.awaitsRelease = false
		if d.sockets[c.conn] != c { // closed meanwhile
			continue
		}
		if _, err := d.engine.AddConn(c.nbConn); err != nil {
			d.workers.run(func() { d.handle(ConnClosed{Conn: c.conn, Reset: true}) })
			continue
		}
		c.polled = true
		if c.closing.Load() {
			c.setFlushDeadline()
		}
		if len(c.deferredWrites) > 0 {
			c.nbConn.Write(c.deferredWrites)
			c.deferredWrites = nil
		}
	}
}
