package relay

import (
	"encoding/json"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/hotrestart"
)

// TestReceivedSessionWaitsForItsRelease: a child neither writes to nor closes a received connection before the parent
// has released it. An epoll set keeps a closed descriptor for as long as another process holds the connection, and
// reports the connection's end for whichever connection has the descriptor number by then: sessions ended without a
// MOVE while a process was replaced.
func TestReceivedSessionWaitsForItsRelease(t *testing.T) {
	d, _ := newTestDriver(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, peer := connectPair(t, listener)
	nbConn, err := nbio.NBConn(near)
	require.NoError(t, err)
	c := &socket{conn: 1, nbConn: nbConn, awaitsRelease: true}
	nbConn.SetSession(c)
	d.sockets[1] = c
	writeAndClose(d, []byte("MO"), []byte("VE"))
	peer.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = peer.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is written or closed before the release")
	d.mutex.Lock()
	d.startPolling([2]*socket{c, {conn: 2}})
	d.mutex.Unlock()
	peer.SetDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(peer)
	require.NoError(t, err)
	assert.Equal(t, "MOVE", string(all))
}

// TestReceivedSessionThatLeavesAtOnceIsMoved: a drained child held clients without MOVE, end or reply, as the sessions
// that its parent sent were migrated with their arrival, before the driver had their sockets.
func TestReceivedSessionThatLeavesAtOnceIsMoved(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(d *driver, session *TransferredSession)
	}{
		{"its migration is due", func(_ *driver, session *TransferredSession) { session.LeavesInMillis = 0 }},
		{"the drain of this process is over", func(d *driver, _ *TransferredSession) {
			d.machine.lifecycle.drainRequested = true
			d.machine.lifecycle.startedAt = d.now() - 2*d.machine.maxDrainTime()
		}},
		{"the drain of this process ends with its arrival", func(d *driver, _ *TransferredSession) {
			d.machine.setDraining(true)
			d.machine.timers.set(&d.machine.lifecycle.timer, d.now())
		}},
		{"its backend drains, which the parent does not know", func(d *driver, _ *TransferredSession) {
			d.machine.applyEndpoints(&EndpointUpdate{Endpoints: parseEndpoints([]string{"b1=leaving"})})
		}},
	} {
		for _, confirmsRelease := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				d := newUnwatchedDriver(t)
				session := parentSession(confirmsRelease)
				tt.prepare(d, session)
				client, backend, released := receiveFromParent(t, d, session)
				if confirmsRelease {
					client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					_, err := client.Read(make([]byte, 1))
					assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is written or closed before the release")
					released()
				}
				requireReadsAll(t, client, "MOVE\r\n")
				requireReadsAll(t, backend, "")
				client.Close()
				assert.Eventually(t, func() bool {
					d.mutex.Lock()
					defer d.mutex.Unlock()
					return len(d.sockets) == 0 && len(d.closing) == 0
				}, 5*time.Second, time.Millisecond, "its descriptors are released")
			})
		}
	}
}

// parentSession returns a session of the parent at backend b1, which stays.
func parentSession(confirmsRelease bool) *TransferredSession {
	return &TransferredSession{Version: handoffVersion, ID: "a", Class: "feed", Tenant: "one", Backend: "b1",
		LeavesInMillis: -1, ConfirmsRelease: confirmsRelease}
}

// receiveFromParent has the driver take over a session, of which the parent has closed its own descriptors. It returns
// the peers' ends of the connections and the function that confirms the release.
func receiveFromParent(t *testing.T, d *driver, session *TransferredSession) (client, backend net.Conn, released func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var files [hotrestart.FilesPerSession]*os.File
	var peers [hotrestart.FilesPerSession]net.Conn
	for i := range files {
		var parent net.Conn
		parent, peers[i] = connectPair(t, listener)
		files[i], err = parent.(*net.TCPConn).File()
		require.NoError(t, err)
		parent.Close()
		t.Cleanup(func() { peers[i].Close() })
	}
	text, err := json.Marshal(session)
	require.NoError(t, err)
	accepted, released := d.receiveSession(text, files)
	require.True(t, accepted)
	for _, file := range files {
		file.Close()
	}
	return peers[0], peers[1], released
}

// requireReadsAll requires that the peer reads the text and then the end of the stream.
func requireReadsAll(t *testing.T, peer net.Conn, want string) {
	t.Helper()
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, want, string(all))
}

// TestUnreleasedSessionIsNotTransferred: a child that is replaced itself, before its parent has released a session, closed
// the session's connections without MOVE: it tried to stop polling what it did not poll yet, then polled it twice.
func TestUnreleasedSessionIsNotTransferred(t *testing.T) {
	d := newUnwatchedDriver(t)
	client, backend, released := receiveFromParent(t, d, parentSession(true))
	both := sessionSockets{d.sockets[1], d.sockets[dialedIDBase+1]}
	session, _ := d.detachSession(1, both)
	assert.Nil(t, session)
	released()
	requireForwards(t, client, backend)
}

// requireForwards requires that the session's lines are forwarded both ways.
func requireForwards(t *testing.T, client, backend net.Conn) {
	t.Helper()
	writeText(t, client, "line\r\n")
	requireReads(t, backend, "line\r\n")
	writeText(t, backend, "reply\r\n")
	requireReads(t, client, "reply\r\n")
}

// requireReads requires that the peer reads the text.
func requireReads(t *testing.T, peer net.Conn, want string) {
	t.Helper()
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	text := make([]byte, len(want))
	_, err := io.ReadFull(peer, text)
	require.NoError(t, err)
	require.Equal(t, want, string(text))
}

// TestTransferWithoutDescriptorsKeepsTheSession: a session whose descriptors could not be duplicated for its transfer was
// cut off without MOVE, as a connection that was still polled was added to the poller again.
func TestTransferWithoutDescriptorsKeepsTheSession(t *testing.T) {
	d := newUnwatchedDriver(t)
	client, backend, _ := receiveFromParent(t, d, parentSession(false))
	both := sessionSockets{d.sockets[1], d.sockets[dialedIDBase+1]}
	allowDescriptors := forbidDescriptors(t)
	session, _ := d.detachSession(1, both)
	allowDescriptors()
	require.Nil(t, session)
	require.Equal(t, 1, d.machine.Established)
	requireForwards(t, client, backend)
}

// forbidDescriptors keeps the process from opening descriptors until allow is called.
func forbidDescriptors(t *testing.T) (allow func()) {
	t.Helper()
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: limit.Max}))
	return func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)) }
}
