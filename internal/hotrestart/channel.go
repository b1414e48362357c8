package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// FilesPerSession is the number of descriptors sent with a session: its client connection and its backend
// connection.
const FilesPerSession = 2

const (
	network        = "unixpacket"           // a Unix socket type that preserves packet boundaries
	maxPacketBytes = 16 << 10               // maximum size of a packet, in bytes
	answerTimeout  = 500 * time.Millisecond // how long to wait for the other process's next packet
)

// Packets exchanged in addition to the sessions themselves. Processes of different builds exchange them, so
// they must not change.
const (
	packetAccepted = "taken"   // the receiver has taken over the session and uses it from now on
	packetWaiting  = "waits"   // the receiver has taken over the session and uses it after packetReleased
	packetRejected = "refused" // the session stays with the sender
	packetReleased = "free"    // the sender has closed its own descriptors of the session
)

// ErrRejected is returned if the other process did not take over the session, so that it stays with this one.
var ErrRejected = errors.New("session rejected")

// Channel is a connection to a child process, on which sessions are sent. It is not safe for concurrent use.
type Channel struct {
	conn          *net.UnixConn
	awaitsRelease bool // the receiver waits until this process has closed its descriptors of the last session
}

// OpenChannel connects to the process with that slot number.
func (s *Slot) OpenChannel(number int) (*Channel, error) {
	address := &net.UnixAddr{Net: network, Name: s.path(number, socketKind)}
	conn, err := net.DialUnix(network, nil, address)
	if err != nil {
		return nil, fmt.Errorf("open channel: %w", err)
	}
	return &Channel{conn: conn}, nil
}

// SendSession sends a record with the descriptors of a session, and waits for the answer. The caller keeps its
// own descriptors open. After ErrRejected, or any error with sent false, the session stays with this process.
// After an error with sent true, the other process may have taken it over.
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

// ConfirmRelease tells the other process, if it waits for that, that this process has closed all descriptors
// of the last session. Otherwise the receiver's poller could mix up connections: nbio does not remove a closed
// connection from its epoll set, and the kernel keeps it there as long as another process holds the
// connection open. Its events would then be reported for the next connection with the same descriptor number.
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

// Close closes the channel. The receiver then closes its end and stops waiting for a release.
func (c *Channel) Close() { c.conn.Close() }
