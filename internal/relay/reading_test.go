package relay

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const floodBytes = 150 << 10 // more than is read in one turn, and little enough for the kernel to buffer

// TestReadTurnIsBounded: a backend whose answer never ends kept the relay from reading any other connection, as it was
// read until nothing was left.
func TestReadTurnIsBounded(t *testing.T) {
	d, c := newFloodedDriver(t, false)
	buffer := make([]byte, readBufferBytes)
	left := floodBytes
	for left > maxTurnBytes {
		d.readAvailable(c.nbConn, buffer)
		require.Equal(t, left-maxTurnBytes, c.unreadBytes(t), "what one turn leaves")
		left -= maxTurnBytes
	}
	d.readAvailable(c.nbConn, buffer)
	assert.Zero(t, c.unreadBytes(t))
	assert.False(t, isClosed(c.nbConn))
}

// TestPeerThatHasClosedIsReadInOneTurn: nbio closes a connection after the turn in which it sees the peer's end, so what
// a bounded turn left unread would be lost.
func TestPeerThatHasClosedIsReadInOneTurn(t *testing.T) {
	d, c := newFloodedDriver(t, true)
	d.readAvailable(c.nbConn, make([]byte, readBufferBytes))
	assert.True(t, isClosed(c.nbConn), "it is read up to the end of the stream")
}

// TestLastLinesOfAClosedBackendArrive: a bounded turn must not cost the lines of a backend that sends much and closes.
func TestLastLinesOfAClosedBackendArrive(t *testing.T) {
	d := newUnwatchedDriver(t)
	client, backend, _ := receiveFromParent(t, d, parentSession(false))
	d.mutex.Lock()
	c := d.sockets[dialedIDBase+1]
	d.mutex.Unlock()
	c.readMutex.Lock() // the poller waits until everything has arrived
	require.NoError(t, c.nbConn.SetReadBuffer(2*floodBytes))
	lines := strings.Repeat(strings.Repeat("x", 1022)+"\r\n", floodBytes/1024)
	writeText(t, backend, lines)
	require.NoError(t, backend.Close())
	require.Eventually(t, func() bool { return c.unreadBytes(t) == len(lines) && c.hasPeerEnded() },
		5*time.Second, time.Millisecond)
	c.readMutex.Unlock()
	requireReads(t, client, lines)
}

// newFloodedDriver returns a driver with a connection that it does not poll, on which floodBytes have arrived, and the
// end of the stream too if it is closed.
func newFloodedDriver(t *testing.T, closed bool) (*driver, *socket) {
	t.Helper()
	d := newUnwatchedDriver(t)
	peer := connectUnpolled(t, d)
	c := d.sockets[1]
	require.NoError(t, c.nbConn.SetReadBuffer(2*floodBytes))
	t.Cleanup(func() {
		c.nbConn.Close()
		peer.Close()
	})
	writeText(t, peer, string(make([]byte, floodBytes)))
	if closed {
		require.NoError(t, peer.(*net.TCPConn).CloseWrite())
	}
	require.Eventually(t, func() bool { return c.unreadBytes(t) == floodBytes && c.hasPeerEnded() == closed },
		5*time.Second, time.Millisecond)
	return d, c
}

// unreadBytes returns how many bytes have arrived and are not read yet.
func (c *socket) unreadBytes(t *testing.T) int {
	t.Helper()
	unread, err := unix.IoctlGetInt(c.nbConn.Hash(), unix.TIOCINQ)
	require.NoError(t, err)
	return unread
}
