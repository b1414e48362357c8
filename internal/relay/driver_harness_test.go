package relay

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

// smallBufferBytes is a size for receive buffers, small enough that the kernel accepts little of what is written.
const smallBufferBytes = 2048

// newTestDriver returns a driver without a state machine, and a function that opens connection 1 from it to a peer that
// accepts little data until it reads.
func newTestDriver(t *testing.T) (d *driver, connect func() (*socket, net.Conn)) {
	t.Helper()
	listener := listenWithSmallBuffer(t)
	d = &driver{sockets: map[uint64]*socket{}, dials: map[uint64]*pendingDial{},
		accept: acceptState{inFlight: make(chan struct{}, maxAcceptsInFlight)}}
	d.engine = nbio.NewEngine(nbio.Config{NPoller: 1, MaxWriteBufferSize: maxUnsentBytes})
	d.engine.OnWrittenSize(d.onWritten)
	d.engine.OnClose(func(nbConn *nbio.Conn, _ error) {
		c, ok := nbConn.Session().(*socket)
		if !ok {
			return
		}
		d.workers.run(func() {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			d.removeSocket(c)
		})
	})
	startPolling(t, d, listener)
	t.Cleanup(func() {
		listener.Close()
		d.engine.Stop()
		d.workers.stop()
	})
	return d, func() (*socket, net.Conn) {
		t.Helper()
		local, peer := connectPair(t, listener)
		nbConn, err := nbio.NBConn(local)
		require.NoError(t, err)
		require.NoError(t, nbConn.SetWriteBuffer(4096))
		c := &socket{conn: 1, nbConn: nbConn, polled: true}
		nbConn.SetSession(c)
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.sockets[1] = c
		_, err = d.engine.AddConn(nbConn)
		require.NoError(t, err)
		return c, peer
	}
}

// listenWithSmallBuffer listens on loopback. The connections that it accepts have small receive buffers.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		return rawConn.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// connectPair returns both ends of a connection to the listener.
func connectPair(t *testing.T, listener net.Listener) (dialed, accepted net.Conn) {
	t.Helper()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	return dialed, accepted
}

// startPolling starts the engine and waits until it polls: nbio 1.6.8 spins forever if it is stopped before that.
func startPolling(t *testing.T, d *driver, listener net.Listener) {
	t.Helper()
	buffer := make([]byte, readBufferBytes)
	polling := make(chan struct{})
	d.engine.OnRead(func(nbConn *nbio.Conn) {
		if nbConn.Session() == nil { // the probe connection, opened below
			nbConn.Close()
			close(polling)
			return
		}
		d.onReadable(nbConn, buffer)
	})
	require.NoError(t, d.engine.Start())
	require.NoError(t, d.batches.open(d.engine))
	probe, accepted := connectPair(t, listener)
	_, err := d.engine.AddConn(accepted)
	require.NoError(t, err)
	_, err = probe.Write([]byte("x"))
	require.NoError(t, err)
	<-polling
	probe.Close()
}

// startMachine gives the driver a state machine with one backend, b1, whose address can't be reached.
func startMachine(t *testing.T, d *driver) {
	t.Helper()
	values, err := settings.Flatten([]byte(baseSettings))
	require.NoError(t, err)
	machine, err := New(d.now(), &Config{Settings: values, Discovery: "127.0.0.1:1",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints([]string{"b1=active"})}})
	require.NoError(t, err)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.machine = machine
	d.log = slog.New(slog.DiscardHandler)
	d.accept.changed = sync.NewCond(&d.mutex)
	d.timer = time.NewTimer(time.Hour)
	d.discovery = newDiscoveryWatch(d.handle)
}

// newUnwatchedDriver returns a driver with a state machine whose watch of the endpoint list reports nothing: events come
// from the test and from connections alone.
func newUnwatchedDriver(t *testing.T) *driver {
	t.Helper()
	d, _ := newTestDriver(t)
	startMachine(t, d)
	d.discovery = newDiscoveryWatch(func(Event) {})
	return d
}

// writeAndClose writes to connection 1, and closes it once everything is sent.
func writeAndClose(d *driver, chunks ...[]byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.write(1, chunks)
	d.closeOrReset(1, gracefully)
}

// writeText writes text to a connection.
func writeText(t *testing.T, to net.Conn, text string) {
	t.Helper()
	_, err := to.Write([]byte(text))
	require.NoError(t, err)
}
