package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestClientIsAnsweredInTheMomentOfItsAccept: a relay crashed when a drain ended in the moment in which a client was
// accepted, as the client was answered before the poller had its connection.
func TestClientIsAnsweredInTheMomentOfItsAccept(t *testing.T) {
	for _, tt := range []struct {
		name  string
		sends string
	}{
		{"silent client", ""},
		{"ping already received", "PING\r\n"},
		{"request already received", "OPEN a 1f c=feed,t=one,d=2000\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, listener := newAcceptingDriver(t)
			d.handle(DrainRequested{On: true})
			d.mutex.Lock()
			d.machine.timers.set(&d.machine.lifecycle.timer, d.now()) // the drain ends with the next event
			d.mutex.Unlock()
			client := dialWith(t, listener, tt.sends)
			require.True(t, d.acceptClient())
			answer, err := io.ReadAll(client)
			require.NoError(t, err, "the connection must end without a reset")
			assert.Equal(t, "BUSY 900\r\n", string(answer))
		})
	}
}

// TestDataOfAnAcceptedClientIsNotLost: what a client sends before it is accepted reaches the state machine after the
// accept, though the poller already watches the connection by then.
func TestDataOfAnAcceptedClientIsNotLost(t *testing.T) {
	d, listener := newAcceptingDriver(t)
	d.machine.lifecycle.ready = true
	for range 200 {
		client := dialWith(t, listener, "PING\r\n")
		require.True(t, d.acceptClient())
		answer, err := bufio.NewReader(client).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "PONG\r\n", answer)
		client.Close()
	}
}

// newAcceptingDriver returns a driver with a state machine and a listener, but without its accept loop.
func newAcceptingDriver(t *testing.T) (*driver, net.Listener) {
	t.Helper()
	d := newUnwatchedDriver(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	d.listener = listener.(*net.TCPListener)
	return d, listener
}

// dialWith connects a client to the listener and sends text.
func dialWith(t *testing.T, listener net.Listener, text string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(5 * time.Second))
	writeText(t, client, text)
	return client
}
