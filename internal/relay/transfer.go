package relay

// This file is where the sockets of a link that stands go from the elder process to the younger. It carries
// out what the reducer asks for and tells how it went; it must never decide which link goes, nor know what
// its bytes mean.

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

const maxEpollDescriptor = 64 // descriptors among which the poller's own is looked for: it is opened at the start

// transferChannel is the way to the younger process.
type transferChannel struct {
	mutex   sync.Mutex // over the way, one link at a time
	channel *hotrestart.Channel
	closed  bool
	pending sync.WaitGroup
	epoll   int // the poller's own descriptor, once found
}

// transferSession passes one link, and tells the reducer whether it is gone. Both sockets' reads are locked from before
// the reducer gives the link up until that is known: against bytes read here that belong to the other
// process.
func (s *driver) transferSession(client, server uint64) {
	p := &s.transfers
	defer p.pending.Done()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.mutex.Lock()
	c, b, number := s.sockets[client], s.sockets[server], s.handoffChild
	s.mutex.Unlock()
	if c == nil || b == nil || !s.openTransferChannel(number) {
		return
	}
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	record, fds := s.detachSession(client, c, b)
	if record == nil {
		return
	}
	text, err := json.Marshal(record)
	gone := false
	if err == nil {
		gone, err = p.channel.SendSession(text, fds)
	}
	for _, fd := range fds {
		syscall.Close(fd)
	}
	if err != nil && !errors.Is(err, hotrestart.ErrRejected) {
		s.log.Warn("can't pass a link", "err", err)
		p.channel.Close()
		p.closed = true
	}
	s.mutex.Lock()
	if gone {
		c.transferred, b.transferred = true, true
		delete(s.sockets, client)
		delete(s.sockets, server)
	} else {
		s.resumePolling(c)
		s.resumePolling(b)
	}
	s.mutex.Unlock()
	s.handle(SessionTransferred{Conn: client, Accepted: gone})
	if gone { // the other process's descriptors keep them up
		c.nbConn.Close()
		b.nbConn.Close()
		if err := p.channel.ConfirmRelease(); err != nil && !p.closed {
			s.log.Warn("can't say that a link was let go", "err", err)
		}
	}
}

func (s *driver) openTransferChannel(number int) bool {
	p := &s.transfers
	if p.channel == nil && !p.closed {
		var err error
		if p.channel, err = s.slot.OpenChannel(number); err != nil {
			s.log.Warn("no way to the younger process", "err", err)
			p.closed = true
		}
	}
	return !p.closed
}

// detachSession has the reducer give the link up, and takes its sockets out of the poller, with descriptors of their
// own to be sent. All under the relay's lock: no descriptor's number can come to another connection
// meanwhile.
func (s *driver) detachSession(client uint64, c, b *socket) (*TransferredSession, [hotrestart.FilesPerSession]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var fds [hotrestart.FilesPerSession]int
	both := [...]*socket{c, b}
	for _, k := range both {
		if k.unsent.Load() > 0 || k.closing.Load() || isClosed(k.nbConn) {
			return nil, fds
		}
	}
	s.detached = nil
	s.handleLocked(DetachRequested{Conn: client})
	record := s.detached
	if record == nil {
		return nil, fds
	}
	ok := true
	for i, k := range both {
		fds[i] = -1
		if ok = ok && s.stopPolling(k.nbConn.Hash()) == nil; ok {
			fd, err := syscall.Dup(k.nbConn.Hash())
			if ok = err == nil && !isClosed(k.nbConn); err == nil {
				fds[i] = fd
			}
		}
	}
	if ok {
		return record, fds
	}
	for i, k := range both {
		if fds[i] >= 0 {
			syscall.Close(fds[i])
		}
		s.resumePolling(k)
	}
	s.handleLocked(SessionTransferred{Conn: client})
	return nil, fds
}

// isClosed tells whether nbio has closed the connection; its lock orders that before.
func isClosed(nb *nbio.Conn) bool {
	nb.ExecuteLen()
	closed, _ := nb.IsClosed()
	return closed
}

// resumePolling has the poller look after the connection as before.
func (s *driver) resumePolling(c *socket) {
	if !isClosed(c.nbConn) {
		s.engine.AddConn(c.nbConn)
	}
}

// stopPolling takes a descriptor out of the poller's set. nbio 1.6.8 leaves that to the kernel, which does so only
// once no process holds the connection; and it tells nobody its set, which is found as the one that has the
// descriptor.
func (s *driver) stopPolling(fd int) error {
	p := &s.transfers
	if p.epoll > 0 {
		return syscall.EpollCtl(p.epoll, syscall.EPOLL_CTL_DEL, fd, nil)
	}
	for set := 3; set < maxEpollDescriptor; set++ {
		if set != fd && syscall.EpollCtl(set, syscall.EPOLL_CTL_DEL, fd, nil) == nil {
			p.epoll = set
			return nil
		}
	}
	return syscall.ENOENT
}

// receiveSession takes a link that the elder process passes. Where that says when it has let go, nothing is read or
// written before.
func (s *driver) receiveSession(text []byte, files [hotrestart.FilesPerSession]*os.File) (bool, func()) {
	record := &TransferredSession{}
	if json.Unmarshal(text, record) != nil {
		return false, nil
	}
	var both [hotrestart.FilesPerSession]*nbio.Conn
	for i, f := range files {
		plain, err := net.FileConn(f)
		if err == nil {
			both[i], err = nbio.NBConn(plain)
		}
		if err != nil {
			if both[0] != nil {
				both[0].Close()
			}
			return false, nil
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastClientConn++
	client := s.lastClientConn
	s.acceptedBackendConn = 0
	s.handleLocked(SessionReceived{Conn: client, Session: record})
	if s.acceptedBackendConn == 0 {
		both[0].Close()
		both[1].Close()
		return false, nil
	}
	var links [hotrestart.FilesPerSession]*socket
	for i, conn := range [...]uint64{client, s.acceptedBackendConn} {
		links[i] = &socket{conn: conn, nbConn: both[i], awaitsRelease: true}
		both[i].SetSession(links[i])
		s.sockets[conn] = links[i]
	}
	if record.ConfirmsRelease {
		return true, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.startPolling(links)
		}
	}
	s.startPolling(links)
	return true, nil
}

// startPolling begins to read what was adopted, and writes what is to be written by now.
func (s *driver) startPolling(links [hotrestart.FilesPerSession]*socket) {
	for _, c := range links {
		if c.awaitsRelease = false; s.sockets[c.conn] != c {
			continue
		}
		if _, err := s.engine.AddConn(c.nbConn); err != nil {
			s.workers.run(func() { s.handle(ConnClosed{Conn: c.conn, Reset: true}) })
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
