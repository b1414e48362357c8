package relay

// This file is the driver's side of transferring established sessions to a child process: it moves their sockets. Which
// session is transferred, and what its bytes mean, is up to the state machine. receive.go is the child's side.

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"valeshift/internal/hotrestart"
)

// maxEpollDescriptor bounds the search for the descriptor of the poller's epoll set, which is low as the set was opened
// at the start.
const maxEpollDescriptor = 64

// transferChannel is the channel to the child process.
type transferChannel struct {
	mutex   sync.Mutex // held while a session is sent, so that one is sent at a time
	channel *hotrestart.Channel
	closed  bool
	pending sync.WaitGroup // transfers that were requested and are not finished
	epollFD int            // descriptor of the poller's epoll set; 0: not found yet
}

// sessionSockets are the sockets of one session: the client's, then the backend's.
type sessionSockets [hotrestart.FilesPerSession]*socket

// transferDescriptors are duplicates of the sockets' descriptors, to be sent to the child; -1: none.
type transferDescriptors [hotrestart.FilesPerSession]int

// transferSession sends one session to the child, and tells the state machine whether the child has accepted it. The
// read locks of both sockets are held from before the state machine gives the session up until the result is known, so
// that this process reads no bytes that belong to the child.
func (d *driver) transferSession(clientConn, backendConn uint64) {
	toChild := &d.transfers
	defer toChild.pending.Done()
	toChild.mutex.Lock()
	defer toChild.mutex.Unlock()
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

// openTransferChannel opens the channel to the child if there is none, and reports whether it is open.
func (d *driver) openTransferChannel(child int) bool {
	toChild := &d.transfers
	if toChild.channel == nil && !toChild.closed {
		var err error
		if toChild.channel, err = d.slot.OpenChannel(child); err != nil {
			d.log.Warn("can't open a channel to the child process", "err", err)
			toChild.closed = true
		}
	}
	return !toChild.closed
}

// detachSession makes the state machine give the session up, removes its sockets from the poller, and returns the
// session with duplicates of their descriptors, to be sent. It returns nil if the session stays, as it does while this
// process's own parent has not released it. All of this is done under the driver's lock, so that no descriptor number
// can be reused for another connection meanwhile.
func (d *driver) detachSession(clientConn uint64, both sessionSockets) (*TransferredSession, transferDescriptors) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, c := range both {
		if !c.polled || c.unsent.Load() > 0 || c.closing.Load() || isClosed(c.nbConn) {
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

// duplicate duplicates the sockets' descriptors, and then removes the sockets from the poller. After an error, the caller
// must close the descriptors that it returns.
func (d *driver) duplicate(both sessionSockets) (transferDescriptors, error) {
	descriptors := transferDescriptors{-1, -1}
	for i, c := range both {
		duplicate, err := syscall.Dup(c.nbConn.Hash())
		if err != nil {
			return descriptors, fmt.Errorf("duplicate descriptor: %w", err)
		}
		descriptors[i] = duplicate
		if isClosed(c.nbConn) {
			return descriptors, errConnectionClosed
		}
	}
	for _, c := range both {
		if err := d.stopPolling(c.nbConn.Hash()); err != nil {
			return descriptors, fmt.Errorf("stop polling: %w", err)
		}
		c.polled = false
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

// sendSession sends a detached session, closes the duplicated descriptors, and reports whether the child has accepted
// the session. After any error but the child's refusal the channel is closed for good.
func (d *driver) sendSession(session *TransferredSession, descriptors transferDescriptors) bool {
	toChild := &d.transfers
	text, err := json.Marshal(session)
	accepted := false
	if err == nil {
		accepted, err = toChild.channel.SendSession(text, descriptors)
	}
	descriptors.close()
	if err != nil && !errors.Is(err, hotrestart.ErrRejected) {
		d.log.Warn("can't transfer a session", "err", err)
		toChild.channel.Close()
		toChild.closed = true
	}
	return accepted
}

// settleTransfer removes the sockets of a session that the child has accepted, or resumes polling those of one that stays.
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

// releaseTransferred closes this process's descriptors of a session that the child has accepted, and tells the child
// so. The child's own descriptors keep the connections open.
func (d *driver) releaseTransferred(both sessionSockets) {
	for _, c := range both {
		c.nbConn.Close()
	}
	if err := d.transfers.channel.ConfirmRelease(); err != nil && !d.transfers.closed {
		d.log.Warn("can't confirm the release of a session", "err", err)
	}
}

// isClosed reports whether nbio has closed the connection. ExecuteLen takes the connection's lock, which orders a close
// by nbio before the check.
func isClosed(nbConn *nbio.Conn) bool {
	nbConn.ExecuteLen()
	closed, _ := nbConn.IsClosed()
	return closed
}

// resumePolling adds the connection to the poller again, if it was removed. If nbio can't add it, its close is reported
// like any other.
func (d *driver) resumePolling(c *socket) {
	if !c.polled && !isClosed(c.nbConn) {
		_ = d.poll(c)
	}
}

// stopPolling removes a descriptor from the poller's epoll set. nbio 1.6.8 leaves that to the kernel, which does it
// only once no process holds the connection. nbio doesn't export the set either, so it is found by trying descriptors:
// only the set that has the connection can remove it.
func (d *driver) stopPolling(descriptor int) error {
	toChild := &d.transfers
	if toChild.epollFD > 0 {
		return syscall.EpollCtl(toChild.epollFD, syscall.EPOLL_CTL_DEL, descriptor, nil)
	}
	for set := 3; set < maxEpollDescriptor; set++ {
		if set != descriptor && syscall.EpollCtl(set, syscall.EPOLL_CTL_DEL, descriptor, nil) == nil {
			toChild.epollFD = set
			return nil
		}
	}
	return syscall.ENOENT
}
