package cost

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
)

// backends are stand-ins for backends, on loopback. They establish every session, echo its lines and answer load polls.
type backends struct {
	addresses []string
	listeners []net.Listener

	endlessPolls atomic.Int32 // how many backends, from the first on, answer load polls without end
}

func startBackends(count int) (*backends, error) {
	b := &backends{}
	for index := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.close()
			return nil, fmt.Errorf("start backends: %w", err)
		}
		b.addresses = append(b.addresses, listener.Addr().String())
		b.listeners = append(b.listeners, listener)
		go b.acceptSessions(listener, int32(index))
	}
	return b, nil
}

func (b *backends) close() {
	for _, listener := range b.listeners {
		listener.Close()
	}
}

// acceptSessions serves each connection of one backend, until the listener is closed.
func (b *backends) acceptSessions(listener net.Listener, index int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serveSession(conn, index)
	}
}

const pollPrefix = "STATS"

var pollAnswer = []byte("PONG cpu=0.001,rps=1,x0=0.001\r\n")

// maxLineBytes is longer than any line that a measurement sends.
const maxLineBytes = 512

// serveSession answers the lines of a connection to a backend until it ends.
func (b *backends) serveSession(conn net.Conn, index int32) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte(pollPrefix)) && index < b.endlessPolls.Load():
			writeEndlessly(conn, endlessPollAnswer)
		case bytes.Equal(line, endlessRequest):
			writeEndlessly(conn, endlessLine)
		case bytes.Equal(line, unansweredLine):
		default:
			if _, err := conn.Write(answer(line)); err != nil {
				return
			}
		}
	}
}

// answer returns a backend's answer to a line: to a request, to a load poll, or the line itself as an echo.
func answer(line []byte) []byte {
	switch {
	case bytes.HasPrefix(line, []byte("OPEN")):
		return []byte("UP receipt\r\n")
	case bytes.HasPrefix(line, []byte(pollPrefix)):
		return pollAnswer
	default:
		return line
	}
}
