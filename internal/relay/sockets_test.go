package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

// narrow is Sockets without a relay, and a way to connect them to a peer that takes little in till it reads.
func narrow(t *testing.T) (s *driver, connect func() (*socket, net.Conn)) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				2048)
		})
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s = &driver{sockets: map[uint64]*socket{}, dials: map[uint64]*pendingDial{}}
	s.engine = nbio.NewEngine(nbio.Config{NPoller: 1, MaxWriteBufferSize: maxUnsentBytes})
	s.engine.OnWrittenSize(s.onWritten)
	s.engine.OnClose(func(nb *nbio.Conn, _ error) {
		c, ok := nb.Session().(*socket)
		if !ok {
			return
		}
		s.workers.run(func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.removeSocket(c)
		})
	})
	buffer := make([]byte, readBufferBytes)
	polls := make(chan struct{})
	s.engine.OnRead(func(c *nbio.Conn) {
		if c.Session() == nil { // the first one, below
			c.Close()
			close(polls)
			return
		}
		s.readAvailable(c, buffer)
	})
	require.NoError(t, s.engine.Start())
	// nbio 1.6.8 spins for ever where it is stopped before its poller has begun, so that is waited for.
	first, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	_, err = s.engine.AddConn(accepted)
	require.NoError(t, err)
	_, err = first.Write([]byte("x"))
	require.NoError(t, err)
	<-polls
	first.Close()
	t.Cleanup(func() {
		listener.Close()
		s.engine.Stop()
	})
	return s, func() (*socket, net.Conn) {
		out, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		in, err := listener.Accept()
		require.NoError(t, err)
		nb, err := nbio.NBConn(out)
		require.NoError(t, err)
		require.NoError(t, nb.SetWriteBuffer(4096))
		k := &socket{conn: 1, nbConn: nb, polled: true}
		nb.SetSession(k)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.sockets[1] = k
		_, err = s.engine.AddConn(nb)
		require.NoError(t, err)
		return k, in
	}
}

// closeAfter writes to the one connection, and closes it once that is out.
func closeAfter(s *driver, parts ...[]byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(1, parts)
	s.closeOrReset(1, gracefully)
}

// serving gives them a relay with one backend, to which it can't connect.
func serving(t *testing.T, s *driver) {
	values, err := settings.Flatten([]byte(baseSettings))
	require.NoError(t, err)
	reducer, err := New(s.now(), &Config{Settings: values, Discovery: "127.0.0.1:1",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints([]string{"b1=active"})}})
	require.NoError(t, err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machine, s.log = reducer, slog.New(slog.DiscardHandler)
	s.acceptChanged, s.timer = sync.NewCond(&s.mutex), time.NewTimer(time.Hour)
	s.discovery = newDiscoveryWatch(s.handle)
}

// Against nbio's Writev, which loses whatever follows the first piece that the kernel did not take whole.
func TestGatheredWritesKeepEverything(t *testing.T) {
	s, connect := narrow(t)
	for _, c := range []struct{ pieces, size int }{{1, 60000}, {3, 20000}, {40, 1500}, {15, 4000}} {
		k, in := connect()
		var parts [][]byte
		var want []byte
		for i := range c.pieces {
			parts = append(parts, bytes.Repeat([]byte{'a' + byte(i%26)}, c.size))
			want = append(want, parts[i]...)
		}
		closeAfter(s, parts...)
		require.Positive(t, k.unsent.Load(), "the kernel took it all: nothing is tested")
		rest, err := io.ReadAll(in)
		require.NoError(t, err, "ended, not broken, once all is written")
		assert.True(t, bytes.Equal(want, rest), "%d pieces of %d: %d bytes came", c.pieces, c.size, len(rest))
		assert.Zero(t, k.unsent.Load())
	}
}

// Against a poller's set that keeps what this process has closed, as another still holds it, and tells its
// end of whatever has the number next: seen as links ended without a word while a process was replaced.
func TestAdoptedWaitsForTheElder(t *testing.T) {
	s, _ := narrow(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	in, err := l.Accept()
	require.NoError(t, err)
	nb, err := nbio.NBConn(out)
	require.NoError(t, err)
	k := &socket{conn: 1, nbConn: nb, awaitsRelease: true}
	nb.SetSession(k)
	s.sockets[1] = k
	closeAfter(s, []byte("MO"), []byte("VE"))
	in.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = in.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is written, nothing closed")
	s.mutex.Lock()
	s.startPolling([2]*socket{k, {conn: 2}})
	s.mutex.Unlock()
	in.SetDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(in)
	require.NoError(t, err)
	assert.Equal(t, "MOVE", string(all))
}

// Against a flood that is read on and on once its connection is ended, as its peer takes no last words.
func TestFloodBehindTheEndIsCutOff(t *testing.T) {
	s, connect := narrow(t)
	k, in := connect()
	closeAfter(s, make([]byte, 60000))
	require.Positive(t, k.unsent.Load())
	in.SetWriteDeadline(time.Now().Add(flushTimeout / 2))
	sent, err := 0, error(nil)
	for n := 0; err == nil; sent += n {
		n, err = in.Write(make([]byte, readBufferBytes))
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%d bytes were taken", sent)
}

// A close over input that has not been read resets the connection, and takes the answer with it where the peer has
// not read that yet: clients send in the very moment in which the relay closes.
func TestCloseReadsOnUntilTheClientCloses(t *testing.T) {
	s, connect := narrow(t)
	serving(t, s)
	for _, c := range []struct {
		name string
		send func(in net.Conn, close func())
	}{
		{"before the close", func(in net.Conn, close func()) { write(t, in, "late\r\n"); close() }},
		{"after the close", func(in net.Conn, close func()) { close(); write(t, in, "late\r\n") }},
		{"half a line around it", func(in net.Conn, close func()) {
			write(t, in, "la")
			close()
			write(t, in, "te\r\n")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, in := connect()
			c.send(in, func() { closeAfter(s, []byte("ERR\r\n")) })
			in.SetReadDeadline(time.Now().Add(5 * time.Second))
			all, err := io.ReadAll(in)
			require.NoError(t, err, "an end, no reset")
			assert.Equal(t, "ERR\r\n", string(all))
			write(t, in, "and more\r\n") // the relay reads on: a reset would come of it otherwise
			in.SetReadDeadline(time.Now().Add(lingerTimeout / 10))
			_, err = in.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
			require.NoError(t, in.Close())
			assert.Eventually(t, func() bool {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				return len(s.sockets) == 0 && len(s.closing) == 0
			}, 5*time.Second, time.Millisecond, "its descriptor is free again")
		})
	}
}

func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	_, err := to.Write([]byte(text))
	require.NoError(t, err)
}

// Against clients that never close their side holding descriptors: a bound on time, and on number.
func TestClosingConnectionsAreBounded(t *testing.T) {
	s, connect := narrow(t)
	serving(t, s)
	s.machine.limits.ownDescriptors = 0
	var clients []net.Conn
	for i := range 3 * spareClosingDescriptors {
		k, in := connect()
		s.mutex.Lock()
		delete(s.sockets, 1)
		k.conn = uint64(i + 1)
		s.sockets[k.conn] = k
		s.closeOrReset(k.conn, gracefully)
		assert.LessOrEqual(t, len(s.sockets), spareClosingDescriptors)
		s.mutex.Unlock()
		clients = append(clients, in)
	}
	for _, in := range clients {
		in.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := in.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.sockets) == 0 && len(s.closing) == 0
	}, 5*time.Second, time.Millisecond)
}

// A client may close while its attempt is dialed, with the poller busy elsewhere: that is found out before anything
// is sent, and nothing is.
func TestNothingIsSentForAClientThatHasClosed(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(net.Conn)
		sent  bool
	}{
		{"close", func(in net.Conn) { in.Close() }, false},
		{"end of sending", func(in net.Conn) { in.(*net.TCPConn).CloseWrite() }, false},
		{"reset", func(in net.Conn) {
			in.(*net.TCPConn).SetLinger(0)
			in.Close()
		}, false},
		{"stays", func(net.Conn) {}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := narrow(t)
			serving(t, s)
			backend, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer backend.Close()
			s.machine.endpoints.byName["b1"].Address = backend.Addr().String()
			in := connectUnpolled(t, s)
			s.handle(ConnAccepted{Conn: 1})
			c.leave(in)
			s.handle(DataReceived{Conn: 1, Data: []byte("OPEN a 1f c=feed,t=one,d=2000\r\n")})
			server, err := backend.Accept()
			require.NoError(t, err)
			server.SetReadDeadline(time.Now().Add(5 * time.Second))
			line, err := bufio.NewReader(server).ReadString('\n')
			if c.sent {
				assert.Contains(t, line, "OPEN a 1f ")
				return
			}
			assert.Error(t, err, "the connection is given up")
			assert.Empty(t, line)
		})
	}
}

// connectUnpolled has a client come as connection 1, of which the poller tells nothing.
func connectUnpolled(t *testing.T, s *driver) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	in, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	out, err := listener.Accept()
	require.NoError(t, err)
	nb, err := nbio.NBConn(out)
	require.NoError(t, err)
	k := &socket{conn: 1, nbConn: nb}
	nb.SetSession(k)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sockets[1] = k
	return in
}

// What waits to be accepted as the process ends has been accepted by the machine, and is owed an answer; nothing
// of it is sent on.
func TestBacklogIsAnsweredAtTheEnd(t *testing.T) {
	s, _ := narrow(t)
	serving(t, s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.listener, s.acceptDone = listener.(*net.TCPListener), make(chan struct{})
	close(s.acceptDone) // the accept loop has not run since these came
	var clients []net.Conn
	for i := range 5 {
		in, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		write(t, in, fmt.Sprintf("OPEN %d 2 c=feed,t=one,d=2000\r\n", i+1))
		clients = append(clients, in)
	}
	silent, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	s.machine.drain.exiting = true
	s.finish()
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	for _, in := range append(clients, silent) {
		in.SetReadDeadline(time.Now().Add(5 * time.Second))
		all, err := io.ReadAll(in)
		require.NoError(t, err)
		assert.Equal(t, "BUSY 900\r\n", string(all))
		in.Close()
	}
	s.waitFor(5*time.Second, func() bool { return len(s.sockets) == 0 })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	assert.Empty(t, s.sockets)
	assert.Zero(t, s.machine.Attempts)
}

// A dial that is given up ends at once, though its peer says nothing: here a listener that is full.
func TestDialGivenUpEndsAtOnce(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 10 { // until it is full
		c, err := net.DialTimeout("tcp", address.String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	for _, early := range []bool{false, true} {
		d, ended := &pendingDial{}, make(chan error, 1)
		if early { // before there is a socket
			d.cancel()
		}
		go func() {
			dialer := net.Dialer{KeepAlive: -1, Control: d.control}
			_, err := dialer.Dial("tcp", address.String())
			ended <- err
		}()
		if !early {
			select {
			case err := <-ended:
				require.Fail(t, "the listener is not full", "%v", err)
			case <-time.After(50 * time.Millisecond):
			}
			d.cancel()
		}
		select {
		case err := <-ended:
			require.Error(t, err)
		case <-time.After(5 * time.Second):
			require.Fail(t, "still dialing")
		}
	}
}

// Workers take each job at once, also where all are busy, and those that are done take the next.
func TestWorkers(t *testing.T) {
	var w workerPool
	const jobs = 3 * maxIdleWorkers
	busy, free := make(chan bool, jobs), make(chan bool)
	for round := range 2 {
		for range jobs {
			w.run(func() {
				busy <- true
				<-free
			})
		}
		for range jobs {
			<-busy
		}
		for range jobs {
			free <- true
		}
		require.Eventually(t, func() bool {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			return len(w.idle) == maxIdleWorkers
		}, 5*time.Second, time.Millisecond, "round %d", round)
	}
}
