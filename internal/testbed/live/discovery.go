package live

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"valeshift/internal/relay"
)

const (
	deliveryCheckInterval = 50 * time.Millisecond // of a path that was impaired
	deliveryDelay         = 6 * deliveryCheckInterval
)

// discoveryServer is discovery over HTTP, for one relay.
type discoveryServer struct {
	run         *Run
	relayNumber int
}

// watcher queues what discovery announces for one open watch.
type watcher struct {
	mutex   sync.Mutex
	lines   [][]byte
	updates []*relay.EndpointUpdate // as long as lines; nil where a line is no update
	ended   bool
	wake    chan struct{}
}

func (w *watcher) add(line []byte, update *relay.EndpointUpdate, ended bool) {
	w.mutex.Lock()
	w.lines = append(w.lines, line)
	w.updates = append(w.updates, update)
	w.ended = w.ended || ended
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take returns what has been queued since the last call.
func (w *watcher) take() (lines [][]byte, updates []*relay.EndpointUpdate, ended bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lines, updates, ended = w.lines, w.updates, w.ended
	w.lines, w.updates = nil, nil
	return lines, updates, ended
}

// OnUpdate queues an update of the endpoint list.
func (w *watcher) OnUpdate(update *relay.EndpointUpdate) { w.add(encodeUpdate(update), update, false) }

// OnHeartbeat queues an empty line.
func (w *watcher) OnHeartbeat() { w.add([]byte("\n"), nil, false) }

// OnFailure ends the watch.
func (w *watcher) OnFailure(error) { w.add(nil, nil, true) }

// encodeUpdate writes an update as discovery does, a JSON object on a line.
func encodeUpdate(update *relay.EndpointUpdate) []byte {
	type endpoint struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   float64 `json:"since_ms"`
	}
	all := struct {
		Index     uint64     `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{update.Index, update.Complete, []endpoint{}}
	for _, e := range update.Endpoints {
		all.Endpoints = append(all.Endpoints, endpoint{e.Name, e.Address, e.Zone, e.Group, e.Status, e.Weight,
			e.StartedAt})
	}
	text, _ := json.Marshal(all) // of plain values: it can't fail
	return append(text, '\n')
}

// ServeHTTP serves one watch until the relay or discovery ends it.
func (s *discoveryServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	watch := &watcher{wake: make(chan struct{}, 1)}
	s.run.mutex.Lock()
	id := s.run.environment.Discovery.Watch(after, watch)
	s.run.mutex.Unlock()
	defer func() {
		s.run.mutex.Lock()
		s.run.environment.Discovery.Unwatch(id)
		s.run.mutex.Unlock()
	}()
	delivery := delivery{run: s.run, relayNumber: s.relayNumber, notified: map[string]bool{}}
	ticker := time.NewTicker(deliveryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-watch.wake:
		case <-request.Context().Done():
			return
		}
		lines, updates, ended := watch.take()
		for i, line := range lines {
			w.Write(line)
			if updates[i] != nil {
				delivery.written(updates[i])
			}
		}
		if len(lines) > 0 {
			w.(http.Flusher).Flush()
		}
		delivery.check()
		if ended {
			return
		}
	}
}

// delivery tells the auditor what a relay has been notified of by one watch. What is written while the path is
// impaired has not arrived; and once the path is clear, the relay may have given this watch up meanwhile, whose
// end is known here a moment later.
type delivery struct {
	run         *Run
	relayNumber int
	notified    map[string]bool // by backend
	undelivered []*relay.EndpointUpdate
	impairedAt  time.Time // when the path was last seen impaired
}

// written records an update that was written to the watch. What permits more counts from then on, what forbids
// only from its arrival.
func (d *delivery) written(update *relay.EndpointUpdate) {
	d.undelivered = append(d.undelivered, update)
	d.run.notifyAuditor(d.relayNumber, permissivePart(update), d.notified)
}

// check counts updates as arrived once the path has been clear for long enough.
func (d *delivery) check() {
	if !d.run.isDeliveredAtOnce(d.relayNumber) {
		d.impairedAt = time.Now()
		return
	}
	if len(d.undelivered) == 0 || time.Since(d.impairedAt) <= deliveryDelay {
		return
	}
	for i, update := range d.undelivered {
		d.run.notifyAuditor(d.relayNumber, unchangedPart(update, d.undelivered[i+1:]), d.notified)
	}
	d.undelivered = nil
}

// permissivePart is the part of an update that permits more: active endpoints.
func permissivePart(update *relay.EndpointUpdate) *relay.EndpointUpdate {
	part := &relay.EndpointUpdate{Index: update.Index}
	for _, e := range update.Endpoints {
		if e.Status == "active" {
			part.Endpoints = append(part.Endpoints, e)
		}
	}
	return part
}

// unchangedPart is the part of an update that no later one has changed.
func unchangedPart(update *relay.EndpointUpdate, later []*relay.EndpointUpdate) *relay.EndpointUpdate {
	part := &relay.EndpointUpdate{Index: update.Index, Complete: update.Complete && len(later) == 0}
	for _, e := range update.Endpoints {
		isChanged := slices.ContainsFunc(later, func(u *relay.EndpointUpdate) bool {
			return slices.ContainsFunc(u.Endpoints, func(f relay.Endpoint) bool { return f.Name == e.Name })
		})
		if !isChanged {
			part.Endpoints = append(part.Endpoints, e)
		}
	}
	return part
}

// notifyAuditor tells the auditor what a relay was notified of; notified has the backends of its earlier updates.
func (r *Run) notifyAuditor(relayNumber int, update *relay.EndpointUpdate, notified map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		notified[e.Name] = true
		listed[e.Name] = true
		r.auditor.EndpointUpdated(r.now(), relayNumber, e.Name, e.Status, e.StartedAt)
	}
	for name := range notified {
		if update.Complete && !listed[name] {
			r.auditor.EndpointUpdated(r.now(), relayNumber, name, "left", 0)
		}
	}
}
