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

const bytesPerDescriptor = 4 // in a packet's control message

// SessionHandler takes a session that a parent process sends, and reports whether this process has it from then
// on. The files are closed after the call; a handler that accepts has descriptors of its own. Where it returns
// released, too, that is called once the parent holds no descriptor of the session any more, or does not answer.
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

// ReceiveSessions passes each session that a parent process sends to the handler, until the receiver is closed.
func (s *Slot) ReceiveSessions(handle SessionHandler) (*Receiver, error) {
	address := &net.UnixAddr{Net: network, Name: s.path(s.number, socketKind)}
	listener, err := net.ListenUnix(network, address)
	if err != nil {
		return nil, fmt.Errorf("receive sessions: %w", err)
	}
	listener.SetUnlinkOnClose(false) // the file stays, as after a process that was killed
	r := &Receiver{listener: listener, handle: handle, conns: map[*net.UnixConn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Close stops receiving, and returns once no call of the handler is under way.
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

// accept ends when the listener fails, which it does once it is closed.
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

// register reports whether the connection is to be served. One that comes during Close is not.
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

// receiveSession receives one session, and reports whether another can follow.
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

// readPacket reads a record and the files that came with it: none where anything was cut off.
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

// descriptors returns the descriptors that came with a packet; those of a message that can't be read are left out.
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

// awaitRelease says that this process waits, and returns once the sender has released the session, has closed
// the channel, or has not answered in time. It reports whether another session can follow.
func awaitRelease(conn *net.UnixConn) bool {
	conn.SetDeadline(time.Now().Add(answerTimeout))
	defer conn.SetDeadline(time.Time{})
	if _, err := conn.Write([]byte(packetWaiting)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, len(packetReleased)))
	return err == nil
}
