package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
