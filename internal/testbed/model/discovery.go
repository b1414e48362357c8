package model

import (
	"errors"

	"valeshift/internal/relay"
)

// heartbeatInterval is the time between the heartbeats of a watch, in ms.
const heartbeatInterval = 2000.0

var errDiscoveryDown = errors.New("watch: discovery is down")

// EndpointWatcher receives what a relay's watch on the endpoint list delivers.
type EndpointWatcher interface {
	// OnUpdate is called with the complete list, or with the changes since the last call.
	OnUpdate(update *relay.EndpointUpdate)
	// OnHeartbeat is called at regular intervals, whether or not anything has changed.
	OnHeartbeat()
	// OnFailure is called when the watch has ended or could not be opened.
	OnFailure(err error)
}

// Discovery is the discovery service: the endpoint list, its versions and the watches on it.
type Discovery struct {
	// DelayMillis is the delay in ms before watches deliver a change.
	DelayMillis float64

	host        Host
	endpoints   map[string]relay.Endpoint
	versions    map[string]uint64 // version of the list at each endpoint's last change, by name
	index       uint64            // version of the list
	watches     map[uint64]*watch
	lastWatchID uint64 // ID of the latest watch
	downCount   int    // number of active faults that keep the service down
}

// watch is a relay's watch and the state of the list that it has delivered.
type watch struct {
	watcher EndpointWatcher
	hasList bool   // the complete list has been delivered
	index   uint64 // version of the list that was delivered last
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

// SetEndpoint adds or changes an endpoint. Watches deliver the change after DelayMillis.
func (d *Discovery) SetEndpoint(endpoint relay.Endpoint) {
	d.index++
	d.endpoints[endpoint.Name] = endpoint
	d.versions[endpoint.Name] = d.index
	d.host.After(d.DelayMillis, d.updateAll)
}

// FullUpdate returns the present list as a complete update.
func (d *Discovery) FullUpdate() *relay.EndpointUpdate {
	update := &relay.EndpointUpdate{Index: d.index, Complete: true}
	for _, name := range sortedKeys(d.endpoints) {
		if endpoint := d.endpoints[name]; endpoint.Status != statusLeft {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update
}

// changesSince returns the endpoints that have changed after the given version of the list.
func (d *Discovery) changesSince(index uint64) *relay.EndpointUpdate {
	update := &relay.EndpointUpdate{Index: d.index}
	for _, name := range sortedKeys(d.endpoints) {
		if d.versions[name] > index {
			update.Endpoints = append(update.Endpoints, d.endpoints[name])
		}
	}
	return update
}

// updateAll brings all watches up to date.
func (d *Discovery) updateAll() {
	for _, id := range sortedKeys(d.watches) {
		d.update(d.watches[id])
	}
}

// update delivers to a watch what it has not delivered yet.
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

// Watch opens a watch that delivers the changes after the given version of the list. With 0, or a version that the
// list does not have yet, it begins with the complete list.
func (d *Discovery) Watch(after uint64, watcher EndpointWatcher) (id uint64) {
	d.lastWatchID++
	id = d.lastWatchID
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

// Unwatch ends a watch for the relay that opened it.
func (d *Discovery) Unwatch(id uint64) { delete(d.watches, id) }

// SetDown ends all watches and lets none be opened while the service is down. The service is up again once
// SetDown(false) has been called as often as SetDown(true).
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

// ResetVersions restarts the versions of the list at 1 and ends all watches, like a service that has lost its
// state.
func (d *Discovery) ResetVersions() {
	d.index = 1
	for name := range d.endpoints {
		d.versions[name] = 1
	}
	d.endAllWatches()
}
