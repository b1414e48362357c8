package relay

// This file is the driver's side of transferring established sessions to a child process.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"valeshift/internal/hotrestart"
)

// This file moves the sockets of established sessions from the parent process to the child. Which session goes, and what
// its bytes mean, is the state machine's business.

// maxEpollDescriptor bounds the search for the poller's own descriptor, which was opened at the start.
const maxEpollDescriptor = 64

// transferChannel is the channel to the child process.
type transferChannel struct {
	mutex   sync.Mutex // held while a session is sent: one at a time
	channel *hotrestart.Channel
	closed  bool
	pending sync.WaitGroup // transfers that were asked for
	epoll   int            // the poller's own descriptor; 0: not found yet
}

// sessionSockets are the sockets of one session: the client's, then the backend's.
type sessionSockets [hotrestart.FilesPerSession]*socket

// transferDescriptors are duplicates of their descriptors, to be sent; -1: none.
type transferDescriptors [hotrestart.FilesPerSession]int

// transferSession sends one session to the child, and tells the state machine whether it is there. The reads of both
// sockets are locked from before the state machine gives the session up until that is known, so that this process reads
// no bytes that belong to the other.
func (d *driver) transferSession(clientConn, backendConn uint64) {
	p := &d.transfers
	defer p.pending.Done()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	d.mutex.Lock()
	both, child := sessionSockets{d.sockets[clientConn], d.sockets[backendConn]}, d.siblings.handoffChild
	d.mutex.Unlock()
	if both[0] == nil || both[1] == nil || !d.openTransferChannel(child) {
		return
	}
	for _, c := range both {
		c.readMutex.Lock()
		defer c.readMutex.Unlock()
	}
	session, descriptors := d.detachSession(clientConn, both)
	if session == nil {
		return
	}
	accepted := d.sendSession(session, descriptors)
	d.settleTransfer(both, accepted)
	d.handle(SessionTransferred{Conn: clientConn, Accepted: accepted})
	if accepted {
		d.releaseTransferred(both)
	}
}

// openTransferChannel opens the channel to the child where there is none, and reports whether it is open.
func (d *driver) openTransferChannel(child int) bool {
	p := &d.transfers
	if p.channel == nil && !p.closed {
		var err error
		if p.channel, err = d.slot.OpenChannel(child); err != nil {
			d.log.Warn("can't open a channel to the child process", "err", err)
			p.closed = true
		}
	}
	return !p.closed
}

// detachSession has the state machine give the session up, and takes its sockets out of the poller, with descriptors of
// their own to be sent; nil: the session stays. All is done under the relay's lock, so that no descriptor's number can
// come to another connection meanwhile.
func (d *driver) detachSession(clientConn uint64, both sessionSockets) (*TransferredSession, transferDescriptors) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, c := range both {
		if c.unsent.Load() > 0 || c.closing.Load() || isClosed(c.nbConn) {
			return nil, transferDescriptors{}
		}
	}
	d.detached = nil
	d.handleLocked(DetachRequested{Conn: clientConn})
	session := d.detached
	if session == nil {
		return nil, transferDescriptors{}
	}
	descriptors, err := d.duplicate(both)
	if err == nil {
		return session, descriptors
	}
	descriptors.close()
	for _, c := range both {
		d.resumePolling(c)
	}
	d.handleLocked(SessionTransferred{Conn: clientConn})
	return nil, transferDescriptors{}
}

var errConnectionClosed = errors.New("connection is closed")

// duplicate takes the sockets out of the poller and duplicates their descriptors. What it has duplicated before an error
// is the caller's to close.
func (d *driver) duplicate(both sessionSockets) (transferDescriptors, error) {
	descriptors := transferDescriptors{-1, -1}
	for i, c := range both {
		if err := d.stopPolling(c.nbConn.Hash()); err != nil {
			return descriptors, fmt.Errorf("stop polling: %w", err)
		}
		duplicate, err := syscall.Dup(c.nbConn.Hash())
		if err != nil {
			return descriptors, fmt.Errorf("duplicate descriptor: %w", err)
		}
		descriptors[i] = duplicate
		if isClosed(c.nbConn) {
			return descriptors, errConnectionClosed
		}
	}
	return descriptors, nil
}

func (d transferDescriptors) close() {
	for _, descriptor := range d {
		if descriptor >= 0 {
			syscall.Close(descriptor)
		}
	}
}

// sendSession sends a detached session, closes the descriptors, and reports whether the child has accepted it. After an
// error other than the child's refusal the channel is not used again.
func (d *driver) sendSession(session *TransferredSession, descriptors transferDescriptors) bool {
	p := &d.transfers
	text, err := json.Marshal(session)
	accepted := false
	if err == nil {
		accepted, err = p.channel.SendSession(text, descriptors)
	}
	descriptors.close()
	if err != nil && !errors.Is(err, hotrestart.ErrRejected) {
		d.log.Warn("can't transfer a session", "err", err)
		p.channel.Close()
		p.closed = true
	}
	return accepted
}

// settleTransfer forgets the sockets of a session that the child has, or goes on with those of one that stays.
func (d *driver) settleTransfer(both sessionSockets, accepted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, c := range both {
		if accepted {
			c.transferred = true
			delete(d.sockets, c.conn)
		} else {
			d.resumePolling(c)
		}
	}
}

// releaseTransferred closes this process's descriptors of a session that the child has, and tells the child so. The
// child's own descriptors keep the connections up.
func (d *driver) releaseTransferred(both sessionSockets) {
	for _, c := range both {
		c.nbConn.Close()
	}
	if err := d.transfers.channel.ConfirmRelease(); err != nil && !d.transfers.closed {
		d.log.Warn("can't confirm the release of a session", "err", err)
	}
}

// isClosed reports whether nbio has closed the connection; its lock orders that before.
func isClosed(nbConn *nbio.Conn) bool {
	nbConn.ExecuteLen()
	closed, _ := nbConn.IsClosed()
	return closed
}

// resumePolling has the poller read the connection as before.
func (d *driver) resumePolling(c *socket) {
	if !isClosed(c.nbConn) {
		d.engine.AddConn(c.nbConn)
	}
}

// stopPolling takes a descriptor out of the poller's epoll set. nbio 1.6.8 leaves that to the kernel, which does so only
// once no process holds the connection; and it doesn't export its set, which is found as the one that has the descriptor.
func (d *driver) stopPolling(descriptor int) error {
	p := &d.transfers
	if p.epoll > 0 {
		return syscall.EpollCtl(p.epoll, syscall.EPOLL_CTL_DEL, descriptor, nil)
	}
	for set := 3; set < maxEpollDescriptor; set++ {
		if set != descriptor && syscall.EpollCtl(set, syscall.EPOLL_CTL_DEL, descriptor, nil) == nil {
			p.epoll = set
			return nil
		}
	}
	return syscall.ENOENT
}

// receiveSession takes over a session that the parent sends, and reports whether it did. Where the parent confirms that it
// has let go of its descriptors, nothing is read or written before the returned function is called.
func (d *driver) receiveSession(text []byte, files [hotrestart.FilesPerSession]*os.File) (accepted bool, released func()) {
	session := &TransferredSession{}
	if json.Unmarshal(text, session) != nil {
		return false, nil
	}
	nbConns, err := openTransferred(files)
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
	var both sessionSockets
	for i, conn := range [...]uint64{clientConn, d.acceptedBackendConn} {
		both[i] = &socket{conn: conn, nbConn: nbConns[i], awaitsRelease: true}
		nbConns[i].SetSession(both[i])
		d.sockets[conn] = both[i]
	}
	if !session.ConfirmsRelease {
		d.startPolling(both)
		return true, nil
	}
	return true, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.startPolling(both)
	}
}

// openTransferred makes connections of the descriptors that came with a session.
func openTransferred(files [hotrestart.FilesPerSession]*os.File) (all [hotrestart.FilesPerSession]*nbio.Conn, err error) {
	for i, file := range files {
		conn, err := net.FileConn(file)
		if err == nil {
			all[i], err = nbio.NBConn(conn)
		}
		if err != nil {
			if all[0] != nil {
				all[0].Close()
			}
			return all, fmt.Errorf("open transferred connection: %w", err)
		}
	}
	return all, nil
}

// startPolling begins to read the sockets of a received session, and writes what is to be written by now. The lock is
// held.
func (d *driver) startPolling(both sessionSockets) {
	for _, c := range both {
		c.awaitsRelease = false
		if d.sockets[c.conn] != c {
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
