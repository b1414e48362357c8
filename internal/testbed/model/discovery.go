package model

import (
	"errors"

	"valeshift/internal/relay"
)

// heartbeatInterval is the time between the empty lines of a watch.
const heartbeatInterval = 2000.0

var errDiscoveryDown = errors.New("watch: discovery is down")

// EndpointWatcher is a relay's watch on the endpoint list.
type EndpointWatcher interface {
	// OnUpdate is called with the list, or with what has changed since the last call.
	OnUpdate(update *relay.EndpointUpdate)
	// OnHeartbeat is called from time to time where nothing has changed.
	OnHeartbeat()
	// OnFailure is called when the watch has ended, or could not be opened.
	OnFailure(err error)
}

// Discovery is the discovery service: the endpoint list, its versions and the watches on it.
type Discovery struct {
	// DelayMillis is how late watches are told of a change.
	DelayMillis float64

	host      Host
	endpoints map[string]relay.Endpoint
	versions  map[string]uint64 // of each endpoint's last change
	index     uint64            // the list's version
	watches   map[uint64]*watch
	lastID    uint64 // of a watch
	downCount int    // of the faults that hold the service down
}

// watch is one relay's watch, with what it was told.
type watch struct {
	watcher EndpointWatcher
	hasList bool
	index   uint64
}

// NewDiscovery returns a service with an empty list.
func NewDiscovery(host Host) *Discovery {
	return &Discovery{
		host:      host,
		endpoints: map[string]relay.Endpoint{},
		versions:  map[string]uint64{},
		index:     1,
		watches:   map[uint64]*watch{},
	}
}

// SetEndpoint adds or changes an endpoint. Watches are told once the list's delay is over.
func (d *Discovery) SetEndpoint(endpoint relay.Endpoint) {
	d.index++
	d.endpoints[endpoint.Name] = endpoint
	d.versions[endpoint.Name] = d.index
	d.host.After(d.DelayMillis, d.updateAll)
}

// FullUpdate returns the list as it is now.
func (d *Discovery) FullUpdate() *relay.EndpointUpdate {
	update := &relay.EndpointUpdate{Index: d.index, Complete: true}
	for _, name := range sortedKeys(d.endpoints) {
		if endpoint := d.endpoints[name]; endpoint.Status != statusLeft {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update
}

// changesSince returns what has changed after that version.
func (d *Discovery) changesSince(index uint64) *relay.EndpointUpdate {
	update := &relay.EndpointUpdate{Index: d.index}
	for _, name := range sortedKeys(d.endpoints) {
		if d.versions[name] > index {
			update.Endpoints = append(update.Endpoints, d.endpoints[name])
		}
	}
	return update
}

func (d *Discovery) updateAll() {
	for _, id := range sortedKeys(d.watches) {
		d.update(d.watches[id])
	}
}

// update tells a watch what it does not have.
func (d *Discovery) update(w *watch) {
	var update *relay.EndpointUpdate
	switch {
	case !w.hasList:
		update = d.FullUpdate()
	case w.index != d.index:
		update = d.changesSince(w.index)
	default:
		return
	}
	w.hasList = true
	w.index = d.index
	w.watcher.OnUpdate(update)
}

// Watch opens a watch that begins after a version; 0: with the whole list.
func (d *Discovery) Watch(after uint64, watcher EndpointWatcher) (id uint64) {
	d.lastID++
	id = d.lastID
	if d.downCount > 0 {
		d.host.After(0, func() { watcher.OnFailure(errDiscoveryDown) })
		return id
	}
	w := &watch{watcher: watcher, hasList: after > 0 && after <= d.index, index: after}
	d.watches[id] = w
	d.host.After(d.DelayMillis, func() {
		if d.watches[id] == w {
			d.update(w)
		}
	})
	d.scheduleHeartbeat(id, w)
	return id
}

func (d *Discovery) scheduleHeartbeat(id uint64, w *watch) {
	d.host.After(heartbeatInterval, func() {
		if d.watches[id] == w {
			w.watcher.OnHeartbeat()
			d.scheduleHeartbeat(id, w)
		}
	})
}

// Unwatch ends a watch from the relay's side.
func (d *Discovery) Unwatch(id uint64) { delete(d.watches, id) }

// SetDown ends all watches and has none opened until the service is up again. It must be set up as often as it
// was set down.
func (d *Discovery) SetDown(down bool) {
	if !down {
		d.downCount--
		return
	}
	d.downCount++
	d.endAllWatches()
}

func (d *Discovery) endAllWatches() {
	ended := d.watches
	d.watches = map[uint64]*watch{}
	for _, id := range sortedKeys(ended) {
		ended[id].watcher.OnFailure(errDiscoveryDown)
	}
}

// ResetVersions starts the list's versions again from one, as a service does that has lost its state.
func (d *Discovery) ResetVersions() {
	d.index = 1
	for name := range d.endpoints {
		d.versions[name] = 1
	}
	d.endAllWatches()
}
