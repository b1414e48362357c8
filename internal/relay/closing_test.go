package relay

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFloodOnClosingConnectionIsCutOff: a peer that floods a closing connection, and reads nothing itself, is cut off
// rather than read without end.
func TestFloodOnClosingConnectionIsCutOff(t *testing.T) {
	d, connect := newTestDriver(t)
	c, peer := connect()
	writeAndClose(d, make([]byte, 60000))
	require.Positive(t, c.unsent.Load())
	peer.SetWriteDeadline(time.Now().Add(flushTimeout / 2))
	sent := 0
	var err error
	for err == nil {
		var n int
		n, err = peer.Write(make([]byte, readBufferBytes))
		sent += n
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open after %d bytes", sent)
}

// TestCloseReadsOnUntilTheClientCloses: closing a socket with unread input resets the connection, and a client that has
// not read its answer yet loses it. This happens when a client sends just as the relay closes.
func TestCloseReadsOnUntilTheClientCloses(t *testing.T) {
	d, connect := newTestDriver(t)
	startMachine(t, d)
	for _, tt := range []struct {
		name string
		send func(peer net.Conn, close func())
	}{
		{"before the close", func(peer net.Conn, close func()) {
			writeText(t, peer, "late\r\n")
			close()
		}},
		{"after the close", func(peer net.Conn, close func()) {
			close()
			writeText(t, peer, "late\r\n")
		}},
		{"half a line around it", func(peer net.Conn, close func()) {
			writeText(t, peer, "la")
			close()
			writeText(t, peer, "te\r\n")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, peer := connect()
			tt.send(peer, func() { writeAndClose(d, []byte("ERR\r\n")) })
			peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			all, err := io.ReadAll(peer)
			require.NoError(t, err, "the connection must end without a reset")
			assert.Equal(t, "ERR\r\n", string(all))
			writeText(t, peer, "and more\r\n") // the relay still reads: the connection would be reset otherwise
			peer.SetReadDeadline(time.Now().Add(lingerTimeout / 10))
			_, err = peer.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
			require.NoError(t, peer.Close())
			assert.Eventually(t, func() bool {
				d.mutex.Lock()
				defer d.mutex.Unlock()
				return len(d.sockets) == 0 && len(d.closing) == 0
			}, 5*time.Second, time.Millisecond, "its descriptor is released")
		})
	}
}

// TestClosingConnectionsAreBounded: clients that never close their side hold descriptors only for a limited time, and
// only a limited number of them.
func TestClosingConnectionsAreBounded(t *testing.T) {
	d, connect := newTestDriver(t)
	startMachine(t, d)
	d.machine.limits.ownDescriptors = 0
	var clients []net.Conn
	for i := range 3 * spareClosingDescriptors {
		c, peer := connect()
		d.mutex.Lock()
		delete(d.sockets, 1)
		c.conn = uint64(i + 1)
		d.sockets[c.conn] = c
		d.closeOrReset(c.conn, gracefully)
		assert.LessOrEqual(t, len(d.sockets), spareClosingDescriptors)
		d.mutex.Unlock()
		clients = append(clients, peer)
	}
	for _, peer := range clients {
		peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := peer.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Eventually(t, func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return len(d.sockets) == 0 && len(d.closing) == 0
	}, 5*time.Second, time.Millisecond)
}

// TestBacklogIsAnsweredAtTheEnd: the kernel has accepted the connections that are in the backlog when the process ends,
// so their clients must get an answer. None of their requests is forwarded.
func TestBacklogIsAnsweredAtTheEnd(t *testing.T) {
	d, _ := newTestDriver(t)
	startMachine(t, d)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.listener = listener.(*net.TCPListener)
	d.accept.done = make(chan struct{})
	close(d.accept.done) // the accept loop ends before these clients connect
	var clients []net.Conn
	for i := range 5 {
		peer, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		writeText(t, peer, fmt.Sprintf("OPEN %d 2 c=feed,t=one,d=2000\r\n", i+1))
		clients = append(clients, peer)
	}
	silent, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	d.machine.lifecycle.exiting = true
	d.finish()
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	for _, peer := range append(clients, silent) {
		peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		all, err := io.ReadAll(peer)
		require.NoError(t, err)
		assert.Equal(t, "BUSY 900\r\n", string(all))
		peer.Close()
	}
	d.waitFor(5*time.Second, func() bool { return len(d.sockets) == 0 })
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assert.Empty(t, d.sockets)
	assert.Zero(t, d.machine.Attempts)
}
