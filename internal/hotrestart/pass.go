package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// FilesPerSession is how many descriptors go with a packet: a client's connection and that to its backend.
const FilesPerSession = 2

const (
	maxPacketBytes = 16 << 10
	answerTimeout  = 500 * time.Millisecond // for the other process's answer
	socketKind     = "way"                  // the socket of packets that the process of that number listens on
	packetAccepted = "taken"
	packetWaiting  = "waits" // taken, and not touched until the elder has let go of its own descriptors
	packetRejected = "refused"
	packetReleased = "free" // it has
)

// ErrRejected says that the other process left the connections to this one.
var ErrRejected = errors.New("pass: refused")

// SessionHandler takes what an elder process passes, and tells whether it has it from then on. Where it also gives
// alone, that is called once no other process holds the connections, or after a while.
type SessionHandler func(record []byte, files [FilesPerSession]*os.File) (has bool, alone func())

// ReceiveSessions has the packets that an elder process passes given to take; where that won't have them, the
// descriptors are closed here and stay the elder's alone. It ends with the process.
func (s *Slot) ReceiveSessions(take SessionHandler) error {
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: s.path(s.number, socketKind)})
	if err != nil {
		return fmt.Errorf("way: %w", err)
	}
	go func() {
		for {
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for receiveSession(c, take) {
				}
			}()
		}
	}()
	return nil
}

func receiveSession(c *net.UnixConn, take SessionHandler) bool {
	record, rights := make([]byte, maxPacketBytes), make([]byte, syscall.CmsgSpace(4*FilesPerSession))
	n, m, flags, _, err := c.ReadMsgUnix(record, rights)
	if err != nil || n == 0 {
		return false
	}
	var files [FilesPerSession]*os.File
	got := descriptors(rights[:m])
	for i, fd := range got {
		f := os.NewFile(uintptr(fd), "passed")
		if i < FilesPerSession {
			files[i] = f
		}
	}
	answer := packetRejected
	var alone func()
	if len(got) == FilesPerSession && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) == 0 {
		var has bool
		if has, alone = take(record[:n], files); has {
			answer = packetAccepted
		}
	}
	for _, f := range files { // whoever took them has others of its own
		if f != nil {
			f.Close()
		}
	}
	if alone == nil {
		_, err = c.Write([]byte(answer))
		return err == nil
	}
	defer alone()
	c.SetDeadline(time.Now().Add(answerTimeout))
	defer c.SetDeadline(time.Time{})
	if _, err = c.Write([]byte(packetWaiting)); err == nil {
		_, err = c.Read(record) // the word; or its end, which closes all that it had
	}
	return err == nil
}

func descriptors(rights []byte) (all []int) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		if fds, err := syscall.ParseUnixRights(&m); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

// Channel leads to a younger process.
type Channel struct {
	conn          *net.UnixConn
	awaitsRelease bool // the other process does, for this one to let go of what it passed
}

// OpenChannel opens the way to the process of that number.
func (s *Slot) OpenChannel(number int) (*Channel, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: s.path(number, socketKind)})
	if err != nil {
		return nil, fmt.Errorf("way: %w", err)
	}
	return &Channel{conn: c}, nil
}

// SendSession passes two connections on. ErrRefused, or an error from before they went out, leaves them here; after
// any other they may be the other process's.
func (w *Channel) SendSession(record []byte, fds [FilesPerSession]int) (gone bool, err error) {
	if len(record) > maxPacketBytes {
		return false, fmt.Errorf("pass: %d bytes, %d at the most", len(record), maxPacketBytes)
	}
	w.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, _, err := w.conn.WriteMsgUnix(record, syscall.UnixRights(fds[:]...), nil); err != nil {
		return false, fmt.Errorf("pass: %w", err)
	}
	answer := make([]byte, len(packetRejected))
	n, err := w.conn.Read(answer)
	if err != nil {
		return true, fmt.Errorf("pass: %w", err)
	}
	switch string(answer[:n]) {
	case packetAccepted:
	case packetWaiting:
		w.awaitsRelease = true
	default:
		return false, ErrRejected
	}
	return true, nil
}

// ConfirmRelease tells the other process that no descriptor of what was passed last is held here any more. Against its
// poller's set keeping what it has closed for as long as one is, and telling that of whatever connection has
// the number next (nbio takes no connection out of the set by itself).
func (w *Channel) ConfirmRelease() error {
	if !w.awaitsRelease {
		return nil
	}
	w.awaitsRelease = false
	if _, err := w.conn.Write([]byte(packetReleased)); err != nil {
		return fmt.Errorf("pass: %w", err)
	}
	return nil
}

// Close closes the way.
func (w *Channel) Close() { w.conn.Close() }
