package rig

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"syscall"
	"time"
)

// Answers of Open beside the lines of the protocol.
const (
	Refused = "connection refused"
	Lost    = "connection ended without an answer"
	Silent  = "no answer in time"
)

// NewHex returns a random number in hexadecimal, for an id or a key.
func NewHex() string { return fmt.Sprintf("%016x", rand.Uint64()|1<<63) }

// Open opens a connection to a relay and sends a request, and returns the line that answers it, without its end, or
// one of Refused, Lost and Silent. The client waits for wait and half a second more. A connection that is up is
// returned, to be closed by the caller.
func (r *Rig) Open(who, relay, key, fields string, wait time.Duration) (answer string, up net.Conn) {
	line := fmt.Sprintf("OPEN %s %s %s,d=%d", NewHex(), key, fields, wait.Milliseconds())
	conn, err := net.Dial("tcp", relay)
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.Note("%s: %s", who, Refused)
		return Refused, nil
	}
	Check(err)
	r.Note("%s: sends %q", who, line)
	conn.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
	if _, err = conn.Write([]byte(line + "\r\n")); err == nil {
		answer, err = bufio.NewReader(conn).ReadString('\n')
	}
	var timeout net.Error
	switch {
	case err == nil:
		answer = strings.TrimSuffix(answer, "\r\n")
	case errors.As(err, &timeout) && timeout.Timeout():
		answer = Silent
	default:
		answer = Lost
	}
	r.Note("%s: gets %q", who, answer)
	if strings.HasPrefix(answer, "UP ") {
		conn.SetDeadline(time.Time{})
		return answer, conn
	}
	conn.Close()
	return answer, nil
}
