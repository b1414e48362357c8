package relay

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client may close its connection while the one to its backend is being dialed, and the poller may be too busy to
// notice. The driver has to check for that, and must send nothing to the backend.
func TestNothingIsSentForAClientThatHasClosed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(net.Conn)
		sent  bool
	}{
		{"close", func(peer net.Conn) { peer.Close() }, false},
		{"end of sending", func(peer net.Conn) { peer.(*net.TCPConn).CloseWrite() }, false},
		{"reset", func(peer net.Conn) {
			peer.(*net.TCPConn).SetLinger(0)
			peer.Close()
		}, false},
		{"stays", func(net.Conn) {}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, _ := newTestDriver(t)
			startMachine(t, d)
			backend, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer backend.Close()
			d.machine.endpoints.byName["b1"].Address = backend.Addr().String()
			peer := connectUnpolled(t, d)
			d.handle(ConnAccepted{Conn: 1})
			tt.leave(peer)
			d.handle(DataReceived{Conn: 1, Data: []byte("OPEN a 1f c=feed,t=one,d=2000\r\n")})
			server, err := backend.Accept()
			require.NoError(t, err)
			server.SetReadDeadline(time.Now().Add(5 * time.Second))
			line, err := bufio.NewReader(server).ReadString('\n')
			if tt.sent {
				assert.Contains(t, line, "OPEN a 1f ")
				return
			}
			assert.Error(t, err, "the connection must be closed without a request")
			assert.Empty(t, line)
		})
	}
}

// connectUnpolled connects a client as connection 1, which the poller does not watch.
func connectUnpolled(t *testing.T, d *driver) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	peer, accepted := connectPair(t, listener)
	nbConn, err := nbio.NBConn(accepted)
	require.NoError(t, err)
	c := &socket{conn: 1, nbConn: nbConn}
	nbConn.SetSession(c)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sockets[1] = c
	return peer
}

// A canceled dial ends at once even if its peer never answers, which here is a listener whose backlog is full.
func TestCanceledDialEndsAtOnce(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 10 { // until the backlog is full
		c, err := net.DialTimeout("tcp", address.String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	for _, beforeSocket := range []bool{false, true} {
		pending := &pendingDial{}
		ended := make(chan error, 1)
		if beforeSocket { // before the dial has created its socket
			pending.cancel()
		}
		go func() {
			dialer := net.Dialer{KeepAlive: -1, Control: pending.control}
			_, err := dialer.Dial("tcp", address.String())
			ended <- err
		}()
		if !beforeSocket {
			select {
			case err := <-ended:
				require.Fail(t, "the dial ended: the listener's backlog is not full", "%v", err)
			case <-time.After(50 * time.Millisecond):
			}
			pending.cancel()
		}
		select {
		case err := <-ended:
			require.Error(t, err)
		case <-time.After(5 * time.Second):
			require.Fail(t, "the canceled dial has not ended")
		}
	}
}
