// Package admin is where operators call: HTTP/1.1, five calls, one to a connection. It turns calls into what
// its Relay does and writes out the figures that were published last. It must never wait for a client's
// traffic, look at the relay's state itself, or act on who calls.
package admin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// MaxDescriptors is how many descriptors the operators' calls may hold, their listener included.
	MaxDescriptors = maxConns + 2 // one while the next is accepted and the longest open is let go
	maxConns       = 16
	callTimeout    = 2 * time.Second // for a call to come, and again for its answer to be taken; callers wait one
	maxHeaderBytes = 4 << 10
)

// Metric is one published figure. A counter only grows; any other goes up and down.
type Metric struct {
	Name      string
	Value     uint64
	IsCounter bool
}

// Relay is what is asked. None of it may wait for more than one event of the relay.
type Relay interface {
	IsReady() bool
	Metrics() []Metric
	// SetDraining empties the relay, or takes it back to work; an error says why that can't be.
	SetDraining(on bool) error
	// FleetStatus is what the relay keeps and hears of others, to be told as JSON; nil where it does neither.
	FleetStatus() any
	// ReplicatedRecords is one part of what it holds for others, from 0 on, as JSON; nil where it holds nothing for any.
	ReplicatedRecords(part int) any
}

// Serve answers calls at the listener until that is closed.
func Serve(listener net.Listener, relay Relay, log *slog.Logger) {
	open := &connLimiter{}
	server := &http.Server{Handler: newHandler(relay), ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: open.observe,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	log.Info("operators' calls", "listen", listener.Addr().String())
	log.Warn("no more operators' calls", "err", server.Serve(listener))
}

func newHandler(relay Relay) http.Handler {
	calls := http.NewServeMux() // another path is 404, another method 405
	calls.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if relay.IsReady() {
			fmt.Fprintln(w, "ready")
		} else {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	calls.HandleFunc("GET /_vars", func(w http.ResponseWriter, _ *http.Request) {
		for _, f := range relay.Metrics() {
			kind := "g"
			if f.IsCounter {
				kind = "c"
			}
			fmt.Fprintf(w, "relay.%s:%d|%s\n", f.Name, f.Value, kind)
		}
	})
	tell := func(w http.ResponseWriter, r *http.Request, what any) {
		if what == nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(what)
	}
	calls.HandleFunc("GET /_fleet", func(w http.ResponseWriter, r *http.Request) { tell(w, r, relay.FleetStatus()) })
	calls.HandleFunc("GET /_holdings", func(w http.ResponseWriter, r *http.Request) {
		part, err := strconv.Atoi(r.URL.Query().Get("part"))
		if err != nil || part < 0 {
			http.Error(w, "part: a number from 0 on expected", http.StatusBadRequest)
			return
		}
		tell(w, r, relay.ReplicatedRecords(part))
	})
	for word, on := range map[string]bool{"on": true, "off": false} {
		calls.HandleFunc("POST /_lameduck/"+word, func(w http.ResponseWriter, _ *http.Request) {
			if err := relay.SetDraining(on); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			fmt.Fprintln(w, word)
		})
	}
	return calls
}

// connLimiter are the open connections in the order they came. Against some that finish no call keeping out the
// next one: beyond the bound the one that has been open longest is closed, as a call takes milliseconds.
type connLimiter struct {
	mutex sync.Mutex
	open  []net.Conn
}

func (c *connLimiter) observe(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew:
		if c.open = append(c.open, conn); len(c.open) > maxConns {
			c.open[0].Close()
			c.open = slices.Delete(c.open, 0, 1)
		}
	case http.StateClosed:
		c.open = slices.DeleteFunc(c.open, func(other net.Conn) bool { return other == conn })
	}
}
