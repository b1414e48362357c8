package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

const maxConns = 16

// connLimiter bounds how many connections are open, so that callers that never finish a call can't keep others
// out: beyond the bound it closes the connection that has been open longest, as a call takes milliseconds.
type connLimiter struct {
	mutex sync.Mutex
	open  []net.Conn // in the order in which they came
}

// observe is an http.Server's ConnState hook.
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
