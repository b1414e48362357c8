package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`

	version int // of the list in which it last changed
}

// Discovery is a stand-in for discovery. It keeps one list with one count of versions, whatever address it is asked at.
type Discovery struct {
	Address string
	// Delay returns how long a call waits for its turn before anything is answered; nil: not at all.
	Delay func() time.Duration

	record    *Record
	mutex     sync.Mutex
	version   int
	endpoints []*Endpoint // those that left stay here, as watches are told of them
	changed   chan struct{}
	muted     chan struct{}
	calls     int
}

// NewDiscovery starts a discovery on a free loopback port, with the backends as its list.
func NewDiscovery(record *Record, backends ...*Backend) *Discovery {
	d := &Discovery{record: record, version: 40, changed: make(chan struct{}),
		muted: make(chan struct{})}
	for _, b := range backends {
		d.version++
		d.endpoints = append(d.endpoints, &Endpoint{Name: b.Name, Address: b.Address, Zone: "hall", Type: "m1", Group: 1,
			Status: "active", Weight: 1, Since: b.Since, version: d.version})
	}
	d.Address = d.Listen()
	return d
}

// Listen serves the list at one more free loopback port, and returns that address.
func (d *Discovery) Listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.record.Must(err, "listen")
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	d.record.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// Set changes the status of a backend in the list.
func (d *Discovery) Set(name, status string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, e := range d.endpoints {
		if e.Name == name {
			d.version++
			e.Status = status
			e.version = d.version
		}
	}
	d.record.Printf("discovery: %s is %s, version %d", name, status, d.version)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Mute makes all open watches fall silent: they stay open, and nothing more comes on them. New calls are answered.
func (d *Discovery) Mute() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.record.Printf("discovery: all open watches fall silent")
	close(d.muted)
	d.muted = make(chan struct{})
}

type listAnswer struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// list returns the entries that changed after the version, or the whole list for version 0 or one that is not known.
func (d *Discovery) list(after int) (answer listAnswer, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	answer = listAnswer{Index: d.version, Snapshot: after <= 0 || after > d.version, Endpoints: []Endpoint{}}
	for _, e := range d.endpoints {
		switch {
		case answer.Snapshot && e.Status != "left", !answer.Snapshot && e.version > after:
			answer.Endpoints = append(answer.Endpoints, *e)
		}
	}
	return answer, d.changed
}

// Known returns the list as a relay would have had it last, for its configuration.
func (d *Discovery) Known() any {
	answer, _ := d.list(0)
	return answer
}

// ServeHTTP answers the calls of the protocol page.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mutex.Lock()
	d.calls++
	call := d.calls
	delay, muted := d.Delay, d.muted
	d.mutex.Unlock()
	d.record.Printf("discovery: call %d: %s", call, r.URL)
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if delay != nil {
		select {
		case <-time.After(delay()):
		case <-r.Context().Done():
			d.record.Printf("discovery: call %d: the caller has gone before its turn came", call)
			return
		}
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	w.Header().Set("Content-Type", "application/json")
	answer, changed := d.list(after)
	d.write(w, call, answer)
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for {
		select {
		case <-muted:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			d.record.Printf("discovery: call %d: the watch has ended", call)
			return
		case <-changed:
			version := answer.Index
			answer, changed = d.list(version)
			d.write(w, call, answer)
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

func (d *Discovery) write(w http.ResponseWriter, call int, answer listAnswer) {
	text, _ := json.Marshal(answer)
	d.record.Printf("discovery: call %d is told %s", call, text)
	fmt.Fprintf(w, "%s\n", text)
	w.(http.Flusher).Flush()
}
