package model

import (
	"errors"

	"valeshift/internal/relay"
)

// EndpointWatcher is a relay's watch on the list.
type EndpointWatcher interface {
	OnUpdate(n *relay.EndpointUpdate)
	OnHeartbeat()
	OnFailure(err error)
}

// Discovery is discovery: the list of servers, its versions and who watches it.
type Discovery struct {
	host        Host
	entries     map[string]relay.Endpoint
	versions    map[string]uint64 // of each entry's last change
	index       uint64
	watches     map[uint64]*watch
	last        uint64 // watch
	DelayMillis float64
	downs       int // faults that hold it down
}

type watch struct {
	to   EndpointWatcher
	has  uint64
	told bool // the whole list
}

const beat = 2000.0 // between empty lines

var errDown = errors.New("watch: discovery is down")

// NewDiscovery starts with an empty list.
func NewDiscovery(host Host) *Discovery {
	return &Discovery{host: host, entries: map[string]relay.Endpoint{}, versions: map[string]uint64{},
		index: 1, watches: map[uint64]*watch{}}
}

// SetEndpoint takes an entry in, or changes it; all watches are told once the list's delay is over.
func (c *Discovery) SetEndpoint(e relay.Endpoint) {
	c.index++
	c.entries[e.Name], c.versions[e.Name] = e, c.index
	c.host.After(c.DelayMillis, c.tell)
}

// FullUpdate is the list as it is now.
func (c *Discovery) FullUpdate() *relay.EndpointUpdate {
	n := &relay.EndpointUpdate{Index: c.index, Complete: true}
	for _, name := range sorted(c.entries) {
		if e := c.entries[name]; e.Status != "left" {
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	return n
}

func (c *Discovery) tell() {
	for _, id := range sorted(c.watches) {
		c.bring(c.watches[id])
	}
}

// bring tells one watch what it has not.
func (c *Discovery) bring(w *watch) {
	if w.told && w.has == c.index {
		return
	}
	n := c.FullUpdate()
	if w.told {
		n = &relay.EndpointUpdate{Index: c.index}
		for _, name := range sorted(c.entries) {
			if c.versions[name] > w.has {
				n.Endpoints = append(n.Endpoints, c.entries[name])
			}
		}
	}
	w.told, w.has = true, c.index
	w.to.OnUpdate(n)
}

// Watch opens a watch from that version on.
func (c *Discovery) Watch(after uint64, to EndpointWatcher) (id uint64) {
	c.last++
	id = c.last
	if c.downs > 0 {
		c.host.After(0, func() { to.OnFailure(errDown) })
		return id
	}
	w := &watch{to: to, has: after, told: after > 0 && after <= c.index}
	c.watches[id] = w
	c.host.After(c.DelayMillis, func() {
		if c.watches[id] == w {
			c.bring(w)
		}
	})
	c.beat(id, w)
	return id
}

func (c *Discovery) beat(id uint64, w *watch) {
	c.host.After(beat, func() {
		if c.watches[id] == w {
			w.to.OnHeartbeat()
			c.beat(id, w)
		}
	})
}

// Unwatch ends a watch from the relay's side.
func (c *Discovery) Unwatch(id uint64) { delete(c.watches, id) }

// SetDown ends all watches and lets none be opened until it is up again, as often as it was taken down.
func (c *Discovery) SetDown(down bool) {
	if down {
		c.downs++
		c.endAll()
	} else {
		c.downs--
	}
}

func (c *Discovery) endAll() {
	all := c.watches
	c.watches = map[uint64]*watch{}
	for _, id := range sorted(all) {
		all[id].to.OnFailure(errDown)
	}
}

// ResetVersions starts the list's versions again from one, as a discovery does that has lost what it kept.
func (c *Discovery) ResetVersions() {
	c.index = 1
	for _, name := range sorted(c.entries) {
		c.versions[name] = 1
	}
	c.endAll()
}
