package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// FilesPerSession is how many descriptors go with a session: its client's connection and its backend's.
const FilesPerSession = 2

const (
	network        = "unixpacket" // keeps the bounds of packets
	maxPacketBytes = 16 << 10
	answerTimeout  = 500 * time.Millisecond // for the other process's next packet
)

// Packets between the processes beside the sessions themselves. They are shared by processes of different
// builds, so they must not change.
const (
	packetAccepted = "taken"   // the receiver has the session, and uses it from now on
	packetWaiting  = "waits"   // it has it, and waits with using it for packetReleased
	packetRejected = "refused" // the session stays the sender's
	packetReleased = "free"    // the sender has closed its own descriptors of the session
)

// ErrRejected reports that the other process left the session to this one.
var ErrRejected = errors.New("session rejected")

// Channel is a connection to a child process, on which sessions are sent. It is not safe for use by several
// goroutines at a time.
type Channel struct {
	conn          *net.UnixConn
	awaitsRelease bool // the receiver waits for this process to close its descriptors of the last session
}

// OpenChannel connects to the process of that number.
func (s *Slot) OpenChannel(number int) (*Channel, error) {
	address := &net.UnixAddr{Net: network, Name: s.path(number, socketKind)}
	conn, err := net.DialUnix(network, nil, address)
	if err != nil {
		return nil, fmt.Errorf("open channel: %w", err)
	}
	return &Channel{conn: conn}, nil
}

// SendSession sends a record with the descriptors of a session, and waits for the answer. The caller keeps its
// own descriptors. After ErrRejected, or any error with sent false, the session stays here; after an error with
// sent true it may be the other process's.
func (c *Channel) SendSession(record []byte, fds [FilesPerSession]int) (sent bool, err error) {
	if len(record) > maxPacketBytes {
		return false, fmt.Errorf("send session: %w: %d bytes, at most %d expected", ErrTooLarge, len(record),
			maxPacketBytes)
	}
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, _, err := c.conn.WriteMsgUnix(record, syscall.UnixRights(fds[:]...), nil); err != nil {
		return false, fmt.Errorf("send session: %w", err)
	}
	answer := make([]byte, len(packetRejected))
	n, err := c.conn.Read(answer)
	if err != nil {
		return true, fmt.Errorf("send session: %w", err)
	}
	switch string(answer[:n]) {
	case packetAccepted:
		return true, nil
	case packetWaiting:
		c.awaitsRelease = true
		return true, nil
	default:
		return false, fmt.Errorf("send session: %w", ErrRejected)
	}
}

// ConfirmRelease tells the other process, where it waits for that, that no descriptor of the last session is
// open here any more. The receiver's poller needs to know: its epoll set keeps a descriptor that it has closed
// for as long as another process holds the connection, and reports its events for whatever connection has the
// number next, as nbio takes no connection out of the set by itself.
func (c *Channel) ConfirmRelease() error {
	if !c.awaitsRelease {
		return nil
	}
	c.awaitsRelease = false
	if _, err := c.conn.Write([]byte(packetReleased)); err != nil {
		return fmt.Errorf("confirm release of session: %w", err)
	}
	return nil
}

// Close closes the channel. The receiver closes its end then, and stops waiting for a release.
func (c *Channel) Close() { c.conn.Close() }
