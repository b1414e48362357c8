package netem

import (
	"bytes"
	"io"
	"math/rand"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echoServer echoes the data of TCP connections and UDP datagrams at the address that it returns.
func echoServer(t *testing.T) (address string) {
	t.Helper()
	listener, socket, err := listenTCPAndUDP("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(func() {
		listener.Close()
		socket.Close()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, from, err := socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			socket.WriteToUDP(buffer[:n], from)
		}
	}()
	return listener.Addr().String()
}

// startProxy starts a proxy to an echo server.
func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := New("127.0.0.1", echoServer(t), rand.New(rand.NewSource(1)))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func TestTCP(t *testing.T) {
	const size = 4000
	for _, c := range []struct {
		name    string
		out     Impairment
		in      Impairment
		minTime time.Duration
		maxTime time.Duration
		isLost  bool
	}{
		{name: "open", maxTime: 900 * time.Millisecond},
		{name: "pieces", out: Impairment{MaxPiece: 100}, maxTime: 2 * time.Second},
		{name: "delay both ways", out: Impairment{Delay: 60}, in: Impairment{Delay: 60},
			minTime: 110 * time.Millisecond, maxTime: 2 * time.Second},
		{name: "limited rate", in: Impairment{BytesPerSecond: 10000},
			minTime: 300 * time.Millisecond, maxTime: 2 * time.Second},
		{name: "cut outbound", out: Impairment{Cut: true}, isLost: true},
		{name: "cut inbound", in: Impairment{Cut: true}, isLost: true},
		{name: "reset", out: Impairment{Reset: true}, isLost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProxy(t)
			p.SetImpairments(c.out, c.in)
			began := time.Now()
			conn, err := net.Dial("tcp", p.Address)
			require.NoError(t, err)
			defer conn.Close()
			conn.SetDeadline(began.Add(3 * time.Second))
			if c.isLost {
				conn.SetDeadline(began.Add(200 * time.Millisecond))
			}
			sent := bytes.Repeat([]byte("x"), size)
			conn.Write(sent)
			got := make([]byte, size)
			_, err = io.ReadFull(conn, got)
			if c.isLost {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, sent, got)
			assert.GreaterOrEqual(t, time.Since(began), c.minTime)
			assert.Less(t, time.Since(began), c.maxTime)
		})
	}
}

// A cut direction holds back the data of a connection and delivers it once it is open again: the connection isn't lost.
func TestConnectionSurvivesCut(t *testing.T) {
	p := startProxy(t)
	conn, err := net.Dial("tcp", p.Address)
	require.NoError(t, err)
	defer conn.Close()
	answer := make([]byte, 1)
	conn.Write([]byte("a"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	p.SetImpairments(Impairment{Cut: true}, Impairment{})
	conn.Write([]byte("b"))
	conn.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	_, err = conn.Read(answer)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	p.SetImpairments(Impairment{}, Impairment{})
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	assert.Equal(t, "b", string(answer))
}

func TestDatagrams(t *testing.T) {
	const sent = 100
	for _, c := range []struct {
		name       string
		out        Impairment
		minAnswers int
		maxAnswers int
	}{
		{"open", Impairment{}, 100, 100},
		{"half lost", Impairment{Loss: 0.5}, 20, 80},
		{"doubled", Impairment{Duplicate: 1}, 200, 200},
		{"cut", Impairment{Cut: true}, 0, 0},
		{"overtaken", Impairment{Reorder: 0.5}, 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProxy(t)
			p.SetImpairments(c.out, Impairment{})
			conn, err := net.Dial("udp", p.Address)
			require.NoError(t, err)
			defer conn.Close()
			var answers []byte    // each byte is the number of the datagram that was echoed
			for i := range sent { // sent slowly, so that no socket's receive buffer overflows
				conn.Write([]byte{byte(i)})
				answers = append(answers, readAnswers(conn, 2*time.Millisecond)...)
			}
			answers = append(answers, readAnswers(conn, 200*time.Millisecond)...)
			assert.GreaterOrEqual(t, len(answers), c.minAnswers)
			assert.LessOrEqual(t, len(answers), c.maxAnswers)
			assert.Equal(t, c.out.Reorder == 0, slices.IsSorted(answers))
		})
	}
}

// readAnswers returns what is received until nothing has been received for as long as wait.
func readAnswers(conn net.Conn, wait time.Duration) (answers []byte) {
	buffer := make([]byte, 10)
	for {
		conn.SetReadDeadline(time.Now().Add(wait))
		n, err := conn.Read(buffer)
		if err != nil {
			return answers
		}
		answers = append(answers, buffer[:n]...)
	}
}
