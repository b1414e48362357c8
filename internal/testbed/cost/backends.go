package cost

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
)

// backends are stand-ins for backends, on loopback. They establish every session, echo its lines and answer load polls.
type backends struct {
	addresses []string
	listeners []net.Listener
}

func startBackends(count int) (*backends, error) {
	b := &backends{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.close()
			return nil, fmt.Errorf("start backends: %w", err)
		}
		b.addresses = append(b.addresses, listener.Addr().String())
		b.listeners = append(b.listeners, listener)
		go acceptSessions(listener)
	}
	return b, nil
}

func (b *backends) close() {
	for _, listener := range b.listeners {
		listener.Close()
	}
}

// acceptSessions serves each accepted connection, until the listener is closed.
func acceptSessions(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveSession(conn)
	}
}

// maxLineBytes is longer than any line that a measurement sends.
const maxLineBytes = 512

// serveSession answers the lines of a connection until it ends.
func serveSession(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write(answer(line)); err != nil {
			return
		}
	}
}

// answer returns a backend's answer to a line: to a request, to a load poll, or the line itself as an echo.
func answer(line []byte) []byte {
	switch {
	case bytes.HasPrefix(line, []byte("OPEN")):
		return []byte("UP receipt\r\n")
	case bytes.HasPrefix(line, []byte("STATS")):
		return []byte("PONG cpu=0.001,rps=1,x0=0.001\r\n")
	default:
		return line
	}
}
