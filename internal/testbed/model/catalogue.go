package model

import (
	"errors"

	"valeshift/internal/relay"
)

// Listener is a relay's watch on the list.
type Listener interface {
	News(n *relay.EndpointUpdate)
	Heard()
	Failed(err error)
}

// Catalogue is discovery: the list of servers, its versions and who watches it.
type Catalogue struct {
	host     Host
	entries  map[string]relay.Endpoint
	versions map[string]uint64 // of each entry's last change
	index    uint64
	watches  map[uint64]*watch
	last     uint64 // watch
	Late     float64
	downs    int // faults that hold it down
}

type watch struct {
	to   Listener
	has  uint64
	told bool // the whole list
}

const beat = 2000.0 // between empty lines

var errDown = errors.New("watch: discovery is down")

// NewCatalogue starts with an empty list.
func NewCatalogue(host Host) *Catalogue {
	return &Catalogue{host: host, entries: map[string]relay.Endpoint{}, versions: map[string]uint64{},
		index: 1, watches: map[uint64]*watch{}}
}

// Set takes an entry in, or changes it; all watches are told once the list's delay is over.
func (c *Catalogue) Set(e relay.Endpoint) {
	c.index++
	c.entries[e.Name], c.versions[e.Name] = e, c.index
	c.host.After(c.Late, c.tell)
}

// Whole is the list as it is now.
func (c *Catalogue) Whole() *relay.EndpointUpdate {
	n := &relay.EndpointUpdate{Index: c.index, Complete: true}
	for _, name := range sorted(c.entries) {
		if e := c.entries[name]; e.Status != "left" {
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	return n
}

func (c *Catalogue) tell() {
	for _, id := range sorted(c.watches) {
		c.bring(c.watches[id])
	}
}

// bring tells one watch what it has not.
func (c *Catalogue) bring(w *watch) {
	if w.told && w.has == c.index {
		return
	}
	n := c.Whole()
	if w.told {
		n = &relay.EndpointUpdate{Index: c.index}
		for _, name := range sorted(c.entries) {
			if c.versions[name] > w.has {
				n.Endpoints = append(n.Endpoints, c.entries[name])
			}
		}
	}
	w.told, w.has = true, c.index
	w.to.News(n)
}

// Watch opens a watch from that version on.
func (c *Catalogue) Watch(after uint64, to Listener) (id uint64) {
	c.last++
	id = c.last
	if c.downs > 0 {
		c.host.After(0, func() { to.Failed(errDown) })
		return id
	}
	w := &watch{to: to, has: after, told: after > 0 && after <= c.index}
	c.watches[id] = w
	c.host.After(c.Late, func() {
		if c.watches[id] == w {
			c.bring(w)
		}
	})
	c.beat(id, w)
	return id
}

func (c *Catalogue) beat(id uint64, w *watch) {
	c.host.After(beat, func() {
		if c.watches[id] == w {
			w.to.Heard()
			c.beat(id, w)
		}
	})
}

// Unwatch ends a watch from the relay's side.
func (c *Catalogue) Unwatch(id uint64) { delete(c.watches, id) }

// Down ends all watches and lets none be opened until it is up again, as often as it was taken down.
func (c *Catalogue) Down(down bool) {
	if down {
		c.downs++
		c.endAll()
	} else {
		c.downs--
	}
}

func (c *Catalogue) endAll() {
	all := c.watches
	c.watches = map[uint64]*watch{}
	for _, id := range sorted(all) {
		all[id].to.Failed(errDown)
	}
}

// Anew starts the list's versions again from one, as a discovery does that has lost what it kept.
func (c *Catalogue) Anew() {
	c.index = 1
	for _, name := range sorted(c.entries) {
		c.versions[name] = 1
	}
	c.endAll()
}
