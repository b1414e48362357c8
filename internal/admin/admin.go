// Package admin serves a relay's admin API over HTTP/1.1, with one call per connection: readiness, metrics,
// draining, the status of the fleet, and the records that the relay holds for other relays. It maps calls to
// methods of a Relay, and returns the most recently published metrics. It doesn't wait for client traffic,
// read the relay's state itself, or authenticate callers.
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
	// MaxDescriptors is the maximum number of file descriptors that the admin API holds, including its listener.
	MaxDescriptors = maxConns + 2 // the listener, and a connection accepted before the oldest is closed

	callTimeout    = 2 * time.Second // time limit for reading a request, and another for writing its response
	maxHeaderBytes = 4 << 10         // maximum size of a request's header, in bytes
)

// Metric is a published counter, which only grows, or gauge.
type Metric struct {
	Name      string
	Value     uint64
	IsCounter bool
}

// Relay is the relay that the API gives access to. Its methods are called concurrently, and must not wait for
// more than one event of the relay. Only SetDraining may wait for the fleet as well.
type Relay interface {
	// IsReady reports whether the relay is ready for new clients.
	IsReady() bool
	// Metrics returns the metrics as last published.
	Metrics() []Metric
	// SetDraining drains the relay or returns it to service. An error says why that is not possible, or is not
	// certain to survive a restart.
	SetDraining(draining bool) error
	// FleetStatus returns the status of the relay's storage and of the other relays, as a value to encode as JSON;
	// nil if it has neither.
	FleetStatus() any
	// ReplicatedRecords returns one part, counted from 0, of the records that the relay holds for others, as a
	// value to encode as JSON; nil if it holds no records for others.
	ReplicatedRecords(part int) any
}

// Serve answers calls on the listener until the context is done or the listener fails. It closes the listener
// and all connections, and returns nil if the context was done, else the listener's error.
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

// newHandler returns a handler that routes the calls. Other paths get status 404, other methods 405.
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

// writeJSON writes the value, or status 404 if it is nil. An encoding error means that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, r *http.Request, value any) {
	if value == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
