package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// narrow is Sockets without a relay, and a way to connect them to a peer that takes little in till it reads.
func narrow(t *testing.T) (s *Sockets, connect func() (*socket, net.Conn)) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				2048)
		})
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s = &Sockets{open: map[uint64]*socket{}}
	s.engine = nbio.NewEngine(nbio.Config{NPoller: 1, MaxWriteBufferSize: mostUnread})
	s.engine.OnWrittenSize(s.written)
	buffer := make([]byte, readPiece)
	s.engine.OnRead(func(c *nbio.Conn) { s.read(c, buffer) })
	require.NoError(t, s.engine.Start())
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
		k := &socket{conn: 1, nb: nb}
		nb.SetSession(k)
		s.open[1] = k
		_, err = s.engine.AddConn(nb)
		require.NoError(t, err)
		return k, in
	}
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
		s.write(1, parts)
		s.end(1, End)
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
	k := &socket{conn: 1, nb: nb, early: true}
	nb.SetSession(k)
	s.open[1] = k
	s.write(1, [][]byte{[]byte("MO"), []byte("VE")})
	s.end(1, End)
	in.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = in.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is written, nothing closed")
	s.polls([2]*socket{k, {conn: 2}})
	in.SetDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(in)
	require.NoError(t, err)
	assert.Equal(t, "MOVE", string(all))
}

// Against a flood that is read on and on once its connection is ended, as its peer takes no last words.
func TestFloodBehindTheEndIsCutOff(t *testing.T) {
	s, connect := narrow(t)
	k, in := connect()
	s.write(1, [][]byte{make([]byte, 60000)})
	s.end(1, End)
	require.Positive(t, k.unsent.Load())
	in.SetWriteDeadline(time.Now().Add(restWait / 2))
	sent, err := 0, error(nil)
	for n := 0; err == nil; sent += n {
		n, err = in.Write(make([]byte, readPiece))
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%d bytes were taken", sent)
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
		d, ended := &dialing{}, make(chan error, 1)
		if early { // before there is a socket
			d.giveUp()
		}
		go func() {
			dialer := net.Dialer{KeepAlive: -1, Control: d.socket}
			_, err := dialer.Dial("tcp", address.String())
			ended <- err
		}()
		if !early {
			select {
			case err := <-ended:
				require.Fail(t, "the listener is not full", "%v", err)
			case <-time.After(50 * time.Millisecond):
			}
			d.giveUp()
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
	var w workers
	const jobs = 3 * mostIdle
	busy, free := make(chan bool, jobs), make(chan bool)
	for round := range 2 {
		for range jobs {
			w.do(func() {
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
			return len(w.idle) == mostIdle
		}, 5*time.Second, time.Millisecond, "round %d", round)
	}
}
