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

// A flood is not read on and on where its connection is closing, as its peer takes nothing in.
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
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%d bytes were taken", sent)
}

// A close over input that has not been read resets the connection, and takes the answer with it where the peer has
// not read that yet: clients send in the very moment in which the relay closes.
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
			require.NoError(t, err, "an end, no reset")
			assert.Equal(t, "ERR\r\n", string(all))
			writeText(t, peer, "and more\r\n") // the relay reads on: a reset would come of it otherwise
			peer.SetReadDeadline(time.Now().Add(lingerTimeout / 10))
			_, err = peer.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
			require.NoError(t, peer.Close())
			assert.Eventually(t, func() bool {
				d.mutex.Lock()
				defer d.mutex.Unlock()
				return len(d.sockets) == 0 && len(d.closing) == 0
			}, 5*time.Second, time.Millisecond, "its descriptor is free again")
		})
	}
}

// Clients that never close their side hold descriptors for a bounded time, and a bounded number of them.
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

// What is in the backlog as the process ends has been accepted by the kernel, and is owed an answer; nothing of it is
// forwarded.
func TestBacklogIsAnsweredAtTheEnd(t *testing.T) {
	d, _ := newTestDriver(t)
	startMachine(t, d)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.listener = listener.(*net.TCPListener)
	d.accept.done = make(chan struct{})
	close(d.accept.done) // the accept loop has not run since these came
	var clients []net.Conn
	for i := range 5 {
		peer, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		writeText(t, peer, fmt.Sprintf("OPEN %d 2 c=feed,t=one,d=2000\r\n", i+1))
		clients = append(clients, peer)
	}
	silent, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	d.machine.drain.exiting = true
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
