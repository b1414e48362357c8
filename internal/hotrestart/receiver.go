package hotrestart

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const bytesPerDescriptor = 4 // size of a descriptor in a packet's control message, in bytes

// SessionHandler handles a session that a parent process sends, and reports whether this process takes it
// over. The files are closed after the call, so a handler that accepts the session duplicates their
// descriptors. If released is not nil, it is called once the parent has closed its descriptors of the session,
// or does not answer.
type SessionHandler func(record []byte, files [FilesPerSession]*os.File) (accepted bool, released func())

// Receiver receives the sessions that parent processes send.
type Receiver struct {
	listener   *net.UnixListener
	handle     SessionHandler
	goroutines sync.WaitGroup

	mutex  sync.Mutex
	conns  map[*net.UnixConn]bool
	closed bool
}

// ReceiveSessions passes each session that a parent process sends to the handler, until the receiver is
// closed.
func (s *Slot) ReceiveSessions(handle SessionHandler) (*Receiver, error) {
	address := &net.UnixAddr{Net: network, Name: s.path(s.number, socketKind)}
	listener, err := net.ListenUnix(network, address)
	if err != nil {
		return nil, fmt.Errorf("receive sessions: %w", err)
	}
	listener.SetUnlinkOnClose(false) // the socket file stays, as it does if the process is killed
	r := &Receiver{listener: listener, handle: handle, conns: map[*net.UnixConn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Close stops receiving, and waits for calls of the handler to return.
func (r *Receiver) Close() {
	r.mutex.Lock()
	r.closed = true
	r.listener.Close()
	for conn := range r.conns {
		conn.Close()
	}
	r.mutex.Unlock()
	r.goroutines.Wait()
}

// accept serves connections until the listener fails, which it does once it is closed.
func (r *Receiver) accept() {
	for {
		conn, err := r.listener.AcceptUnix()
		if err != nil {
			return
		}
		if r.register(conn) {
			r.goroutines.Go(func() { r.serve(conn) })
		}
	}
}

// register reports whether the connection is to be served. It closes one that arrives during Close.
func (r *Receiver) register(conn *net.UnixConn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *Receiver) serve(conn *net.UnixConn) {
	defer func() {
		conn.Close()
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
	}()
	for r.receiveSession(conn) {
	}
}

// receiveSession receives and answers one session, and reports whether another can follow.
func (r *Receiver) receiveSession(conn *net.UnixConn) bool {
	record, files, err := readPacket(conn)
	if err != nil {
		return false
	}
	answer := packetRejected
	var released func()
	if len(files) == FilesPerSession {
		var accepted bool
		accepted, released = r.handle(record, [FilesPerSession]*os.File(files))
		if accepted {
			answer = packetAccepted
		}
	}
	for _, file := range files {
		file.Close()
	}
	if released != nil {
		defer released()
		return awaitRelease(conn)
	}
	_, err = conn.Write([]byte(answer))
	return err == nil
}

// readPacket reads a record and the files sent with it. If the packet was truncated, it returns no files.
func readPacket(conn *net.UnixConn) (record []byte, files []*os.File, err error) {
	record = make([]byte, maxPacketBytes)
	rights := make([]byte, syscall.CmsgSpace(bytesPerDescriptor*FilesPerSession))
	recordLength, rightsLength, flags, _, err := conn.ReadMsgUnix(record, rights)
	if err != nil {
		return nil, nil, err
	}
	if recordLength == 0 {
		return nil, nil, io.EOF
	}
	for _, fd := range descriptors(rights[:rightsLength]) {
		files = append(files, os.NewFile(uintptr(fd), "session"))
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		for _, file := range files {
			file.Close()
		}
		files = nil
	}
	return record[:recordLength], files, nil
}

// descriptors returns the descriptors in a packet's control messages. Messages that can't be parsed are
// skipped.
func descriptors(rights []byte) []int {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	var all []int
	for _, message := range messages {
		if fds, err := syscall.ParseUnixRights(&message); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

// awaitRelease tells the sender that this process waits, and returns once the sender has released the session,
// has closed the channel, or has not answered in time. It reports whether another session can follow.
func awaitRelease(conn *net.UnixConn) bool {
	conn.SetDeadline(time.Now().Add(answerTimeout))
	defer conn.SetDeadline(time.Time{})
	if _, err := conn.Write([]byte(packetWaiting)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, len(packetReleased)))
	return err == nil
}
