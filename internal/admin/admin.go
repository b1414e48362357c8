// Package admin is the admin API of a relay over HTTP/1.1, one call to a connection: readiness, metrics,
// draining, and what the relay knows of its fleet and holds for it. It turns calls into methods of a Relay, and
// writes out the metrics that were published last. It doesn't wait for a client's traffic, look at the relay's
// state itself, or tell callers apart.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// MaxDescriptors is how many descriptors the admin API holds at most, its listener included.
	MaxDescriptors = maxConns + 2 // one more while the next is accepted and the oldest is closed

	callTimeout    = 2 * time.Second // for a request to be read, and again for its answer to be written
	maxHeaderBytes = 4 << 10
)

// Metric is one published value: a counter, which only grows, or a gauge.
type Metric struct {
	Name      string
	Value     uint64
	IsCounter bool
}

// Relay is what the API serves. Its methods are called by several goroutines at a time, and must not wait for
// more than one event of the relay.
type Relay interface {
	// IsReady reports whether the relay is fit to be sent clients.
	IsReady() bool
	// Metrics returns what was published last.
	Metrics() []Metric
	// SetDraining drains the relay or takes it back into service. The error says why that can't be.
	SetDraining(draining bool) error
	// FleetStatus returns what the relay stores and hears of others, to be encoded as JSON; nil where it does
	// neither.
	FleetStatus() any
	// ReplicatedRecords returns one part, from 0 on, of the records that the relay holds for others, to be
	// encoded as JSON; nil where it holds none for any.
	ReplicatedRecords(part int) any
}

// Serve answers calls at the listener until the context is done or the listener fails, closes the listener and
// all connections, and returns why it ended: nil where the context was done.
func Serve(ctx context.Context, listener net.Listener, relay Relay, log *slog.Logger) error {
	conns := &connLimiter{}
	server := &http.Server{
		Handler:        newHandler(relay),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      conns.observe,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	stopClosing := context.AfterFunc(ctx, func() { server.Close() })
	defer stopClosing()
	log.Info("admin API listening", "listen", listener.Addr().String())
	err := server.Serve(listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve admin API: %w", err)
}

// newHandler routes the calls. Another path is answered 404, another method 405.
func newHandler(relay Relay) http.Handler {
	handler := &handler{relay: relay}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /_ready", handler.ready)
	routes.HandleFunc("GET /_vars", handler.metrics)
	routes.HandleFunc("GET /_fleet", handler.fleetStatus)
	routes.HandleFunc("GET /_holdings", handler.replicatedRecords)
	routes.HandleFunc("POST /_lameduck/on", func(w http.ResponseWriter, _ *http.Request) {
		handler.setDraining(w, true, "on")
	})
	routes.HandleFunc("POST /_lameduck/off", func(w http.ResponseWriter, _ *http.Request) {
		handler.setDraining(w, false, "off")
	})
	return routes
}

type handler struct {
	relay Relay
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.relay.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	for _, metric := range h.relay.Metrics() {
		kind := "g"
		if metric.IsCounter {
			kind = "c"
		}
		fmt.Fprintf(w, "relay.%s:%d|%s\n", metric.Name, metric.Value, kind)
	}
}

func (h *handler) fleetStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, r, h.relay.FleetStatus())
}

func (h *handler) replicatedRecords(w http.ResponseWriter, r *http.Request) {
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	if err != nil || part < 0 {
		http.Error(w, "part: a number from 0 on expected", http.StatusBadRequest)
		return
	}
	writeJSON(w, r, h.relay.ReplicatedRecords(part))
}

func (h *handler) setDraining(w http.ResponseWriter, draining bool, answer string) {
	if err := h.relay.SetDraining(draining); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	fmt.Fprintln(w, answer)
}

// writeJSON answers 404 where there is no value. An error of the encoder means that the caller has left.
func writeJSON(w http.ResponseWriter, r *http.Request, value any) {
	if value == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
