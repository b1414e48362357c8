package netem

import (
	"bytes"
	"io"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo answers bytes and datagrams with themselves.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Addr().(*net.TCPAddr).AddrPort()))
	require.NoError(t, err)
	t.Cleanup(func() { l.Close(); u.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := u.ReadFromUDP(b)
			if err != nil {
				return
			}
			u.WriteToUDP(b[:n], from)
		}
	}()
	return l.Addr().String()
}

func TestTCP(t *testing.T) {
	const size = 4000
	for _, c := range []struct {
		name        string
		there, back Impairment
		least, most time.Duration
		fails       bool
	}{
		{name: "open", most: 900 * time.Millisecond},
		{name: "pieces", there: Impairment{MaxPiece: 100}, most: 2 * time.Second},
		{name: "delay both ways", there: Impairment{Delay: 60}, back: Impairment{Delay: 60},
			least: 110 * time.Millisecond, most: 2 * time.Second},
		{name: "trickle", back: Impairment{BytesPerSecond: 10000}, least: 300 * time.Millisecond, most: 2 * time.Second},
		{name: "cut there", there: Impairment{Cut: true}, fails: true},
		{name: "cut back", back: Impairment{Cut: true}, fails: true},
		{name: "reset", there: Impairment{Reset: true}, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, err := New("127.0.0.1", echo(t), rand.New(rand.NewSource(1)))
			require.NoError(t, err)
			defer w.Close()
			w.SetImpairments(c.there, c.back)
			began := time.Now()
			conn, err := net.Dial("tcp", w.Address)
			require.NoError(t, err)
			defer conn.Close()
			conn.SetDeadline(began.Add(3 * time.Second))
			if c.fails {
				conn.SetDeadline(began.Add(200 * time.Millisecond))
			}
			sent := bytes.Repeat([]byte("x"), size)
			conn.Write(sent)
			got := make([]byte, size)
			_, err = io.ReadFull(conn, got)
			if c.fails {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, sent, got)
			assert.GreaterOrEqual(t, time.Since(began), c.least)
			assert.Less(t, time.Since(began), c.most)
		})
	}
}

// What is cut comes once the way is open again: a connection is half open, not lost.
func TestCutAndBack(t *testing.T) {
	w, err := New("127.0.0.1", echo(t), rand.New(rand.NewSource(1)))
	require.NoError(t, err)
	defer w.Close()
	conn, err := net.Dial("tcp", w.Address)
	require.NoError(t, err)
	defer conn.Close()
	one := make([]byte, 1)
	conn.Write([]byte("a"))
	_, err = io.ReadFull(conn, one)
	require.NoError(t, err)
	w.SetImpairments(Impairment{Cut: true}, Impairment{})
	conn.Write([]byte("b"))
	conn.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	_, err = conn.Read(one)
	assert.Error(t, err)
	w.SetImpairments(Impairment{}, Impairment{})
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = io.ReadFull(conn, one)
	require.NoError(t, err)
	assert.Equal(t, "b", string(one))
}

func TestDatagrams(t *testing.T) {
	for _, c := range []struct {
		name        string
		there       Impairment
		least, most int // answers to a hundred
	}{
		{"open", Impairment{}, 100, 100},
		{"half lost", Impairment{Loss: 0.5}, 20, 80},
		{"doubled", Impairment{Duplicate: 1}, 200, 200},
		{"cut", Impairment{Cut: true}, 0, 0},
		{"overtaken", Impairment{Reorder: 0.5}, 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, err := New("127.0.0.1", echo(t), rand.New(rand.NewSource(1)))
			require.NoError(t, err)
			defer w.Close()
			w.SetImpairments(c.there, Impairment{})
			conn, err := net.Dial("udp", w.Address)
			require.NoError(t, err)
			defer conn.Close()
			order := []byte{}
			b := make([]byte, 10)
			read := func(wait time.Duration) {
				for {
					conn.SetReadDeadline(time.Now().Add(wait))
					n, err := conn.Read(b)
					if err != nil {
						return
					}
					order = append(order, b[:n]...)
				}
			}
			for i := range 100 { // one by one, against a socket's buffer running over
				conn.Write([]byte{byte(i)})
				read(2 * time.Millisecond)
			}
			read(200 * time.Millisecond)
			assert.GreaterOrEqual(t, len(order), c.least)
			assert.LessOrEqual(t, len(order), c.most)
			sorted := true
			for i := 1; i < len(order); i++ {
				sorted = sorted && order[i] >= order[i-1]
			}
			assert.Equal(t, c.there.Reorder == 0, sorted)
		})
	}
}
