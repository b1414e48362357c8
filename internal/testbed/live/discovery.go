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
	// deliveryCheckInterval is how often a watch checks whether the path to its relay is impaired.
	deliveryCheckInterval = 50 * time.Millisecond

	// deliveryDelay is how long the path must have been clear before the updates written to it count as delivered.
	deliveryDelay = 6 * deliveryCheckInterval
)

// discoveryServer serves discovery over HTTP to one relay.
type discoveryServer struct {
	run         *Run
	relayNumber int
}

// watcher queues the lines that discovery sends to one open watch. It implements model.EndpointWatcher.
type watcher struct {
	mutex   sync.Mutex
	lines   [][]byte
	updates []*relay.EndpointUpdate // the update in each of lines; nil for a line that is no update
	ended   bool                    // the watch ends after these lines
	wake    chan struct{}           // signals that something was queued
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

// OnHeartbeat queues an empty line, which is a heartbeat to the relay.
func (w *watcher) OnHeartbeat() { w.add([]byte("\n"), nil, false) }

// OnFailure ends the watch once the queued lines are written.
func (w *watcher) OnFailure(error) { w.add(nil, nil, true) }

// encodeUpdate returns an update as discovery sends it: a JSON object on one line.
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
	text, _ := json.Marshal(all) // can't fail: it holds strings and finite numbers only
	return append(text, '\n')
}

// ServeHTTP serves one watch, until the relay or the model's discovery ends it.
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
				delivery.addWritten(updates[i])
			}
		}
		if len(lines) > 0 {
			w.(http.Flusher).Flush()
		}
		delivery.notifyArrived()
		if ended {
			return
		}
	}
}

// delivery tells the auditor which updates have reached a relay by one watch. An update written while the path is
// impaired has not arrived yet. It does not count as soon as the path is clear either: the relay may have given up
// this watch meanwhile, which the server learns only a moment later.
type delivery struct {
	run         *Run
	relayNumber int
	notified    map[string]bool         // names of the backends in all updates that the auditor was told of
	undelivered []*relay.EndpointUpdate // written, and not known to have arrived
	impairedAt  time.Time               // when the path was last seen impaired
}

// addWritten records an update that was written to the watch. The auditor is told at once of endpoints that the relay
// may use, since it may use them from now on. It is told of the rest, such as endpoints that drain, once the update has
// arrived, since only then must the relay obey it.
func (d *delivery) addWritten(update *relay.EndpointUpdate) {
	d.undelivered = append(d.undelivered, update)
	d.run.notifyAuditor(d.relayNumber, permissivePart(update), d.notified)
}

// notifyArrived tells the auditor of all written updates once the path has been clear for deliveryDelay.
func (d *delivery) notifyArrived() {
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

// permissivePart returns the part of an update that allows a relay to use endpoints: the active ones.
func permissivePart(update *relay.EndpointUpdate) *relay.EndpointUpdate {
	part := &relay.EndpointUpdate{Index: update.Index}
	for _, e := range update.Endpoints {
		if e.Status == "active" {
			part.Endpoints = append(part.Endpoints, e)
		}
	}
	return part
}

// unchangedPart returns the endpoints of an update that no later update contains. It is a complete list only if there
// is no later update.
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

// notifyAuditor tells the auditor which endpoints a relay was notified of. Notified holds the names of the backends in
// earlier updates and gets those of this one; backends that a complete update leaves out are reported as left.
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
