package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

const maxConns = 16 // maximum number of open connections

// connLimiter limits the number of open connections, so that callers that never finish a call can't keep
// others out. Beyond maxConns it closes the oldest connection: a call takes milliseconds, so that one is
// likely stalled.
type connLimiter struct {
	mutex sync.Mutex
	open  []net.Conn // oldest first
}

// observe is the http.Server.ConnState hook.
func (l *connLimiter) observe(conn net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch state {
	case http.StateNew:
		l.open = append(l.open, conn)
		if len(l.open) > maxConns {
			l.open[0].Close()
			l.open = slices.Delete(l.open, 0, 1)
		}
	case http.StateClosed:
		l.open = slices.DeleteFunc(l.open, func(other net.Conn) bool { return other == conn })
	}
}
