package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Endpoint is one entry of the list of backends, in discovery's form.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   float64 `json:"since_ms"`
}

// Discovery is a stand-in for discovery. It gives the whole list at each change, and an empty line every 2 s.
type Discovery struct {
	Address string

	mutex     sync.Mutex
	index     int
	endpoints []Endpoint
	changed   chan struct{}
}

// StartDiscovery starts discovery with a list.
func StartDiscovery(endpoints []Endpoint) *Discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	d := &Discovery{Address: listener.Addr().String(), index: 1, endpoints: endpoints, changed: make(chan struct{})}
	go http.Serve(listener, d)
	return d
}

// Set replaces the list.
func (d *Discovery) Set(endpoints []Endpoint) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.index++
	d.endpoints = endpoints
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list in discovery's form.
func (d *Discovery) List() json.RawMessage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	text, err := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.endpoints})
	Check(err)
	return text
}

// ServeHTTP answers a call for the list, or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	isWatch := request.URL.Query().Get("watch") == "1"
	for {
		d.mutex.Lock()
		changed := d.changed
		d.mutex.Unlock()
		fmt.Fprintf(w, "%s\n", d.List())
		if !isWatch {
			return
		}
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				w.(http.Flusher).Flush()
			case <-request.Context().Done():
				return
			}
		}
	}
}
