package relay

import (
	"hash/fnv"
	"math"
	"slices"

	"valeshift/balancer"
)

// backend is a backend as this relay knows it.
type backend struct {
	Endpoint
	id         uint32 // the balancer's number for it
	condition  balancer.EndpointState
	sessions   []*session // established ones
	lastDataAt float64    // when one of them last brought anything

	pollConn    *connection // for polls; nil: there is none
	pollPending bool        // a poll is out
}

// newBackend is a backend of which only the name is known.
func newBackend(name string) *backend {
	return &backend{Endpoint: Endpoint{Name: name}, id: BackendID(name)}
}

// BackendID is the balancer's number for a backend of that name, unless another has the number already; then it is the
// next that is free.
func BackendID(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

// endpointSet owns the endpoint list: the backends as discovery told them, by the names and numbers that they have.
type endpointSet struct {
	byName  map[string]*backend
	byID    map[uint32]*backend
	inOrder []*backend     // as they came, so that one seed gives one order of effects
	zones   map[string]int // numbers by name

	index      uint64  // the version of the list
	received   bool    // discovery has told the list
	confirmed  bool    // or that the one held is still true
	clockAhead float64 // of this relay's clock, against the one that the fleet goes by; milliseconds
}

func newEndpointSet(zones map[string]int) endpointSet {
	return endpointSet{byName: map[string]*backend{}, byID: map[uint32]*backend{}, zones: zones}
}

// confirm says that discovery has told the list, or that the one held is still true.
func (s *endpointSet) confirm() { s.confirmed = true }

// markReceived says that an update of discovery's has been applied.
func (s *endpointSet) markReceived() { s.received = true }

// forgetVersion has the whole list asked for.
func (s *endpointSet) forgetVersion() { s.index = 0 }

// findOrAdd finds the backend, or takes in a new one. Its number comes of its name, so that all relays draw alike.
func (s *endpointSet) findOrAdd(name string) *backend {
	found := s.byName[name]
	if found != nil {
		return found
	}
	added := newBackend(name)
	for s.byID[added.id] != nil {
		added.id++
	}
	s.byName[name] = added
	s.byID[added.id] = added
	s.inOrder = append(s.inOrder, added)
	return added
}

// remove forgets a backend; compact takes it out of the order.
func (s *endpointSet) remove(b *backend) {
	delete(s.byName, b.Name)
	delete(s.byID, b.id)
}

// compact takes removed backends out of the order.
func (s *endpointSet) compact() {
	if len(s.inOrder) > len(s.byName) {
		s.inOrder = slices.DeleteFunc(s.inOrder, func(b *backend) bool { return s.byName[b.Name] != b })
	}
}

// zoneNumber is the balancer's number for a zone; a new name gets the next.
func (s *endpointSet) zoneNumber(name string) int {
	number, known := s.zones[name]
	if !known {
		number = len(s.zones)
		s.zones[name] = number
	}
	return number
}

// current is the list as it is held.
func (s *endpointSet) current() *EndpointUpdate {
	update := &EndpointUpdate{Index: s.index, Complete: true}
	for _, b := range s.inOrder {
		if b.condition != balancer.Gone {
			update.Endpoints = append(update.Endpoints, b.Endpoint)
		}
	}
	return update
}

// localStartTime is when the backend started by this relay's own clock; 0 or less: not known.
func (s *endpointSet) localStartTime(e Endpoint) float64 {
	if e.StartedAt <= 0 {
		return e.StartedAt
	}
	return e.StartedAt + s.clockAhead
}

// applyEndpoints makes an update the list that the relay goes by.
func (m *StateMachine) applyEndpoints(update *EndpointUpdate) {
	m.endpoints.index = update.Index
	m.balancer().BeginEndpointUpdate(update.Complete)
	named := map[*backend]bool{}
	for _, endpoint := range update.Endpoints {
		if backend := m.applyEndpoint(endpoint); backend != nil {
			named[backend] = true
		}
	}
	m.removeSuperseded(named)
	m.balancer().EndEndpointUpdate(m.now)
	for _, backend := range m.endpoints.inOrder {
		if update.Complete && !named[backend] {
			backend.condition = balancer.Gone
		}
		m.followCondition(backend)
	}
	m.endpoints.compact()
}

// applyEndpoint takes one entry of an update; nil: it can't be used, and nothing is known of that backend. What is known
// of a backend stays where its entry is invalid.
func (m *StateMachine) applyEndpoint(endpoint Endpoint) *backend {
	if endpoint.Invalid != "" {
		m.log("invalid endpoint in the list", "backend", endpoint.Name, "why", endpoint.Invalid)
		known := m.endpoints.byName[endpoint.Name]
		if known == nil {
			return nil
		}
		endpoint = known.Endpoint
	}
	backend := m.endpoints.findOrAdd(endpoint.Name)
	replaced := backend.Address != endpoint.Address || endpoint.StartedAt > backend.StartedAt
	backend.Endpoint = endpoint
	backend.condition = m.conditionOf(endpoint)
	m.updateBalancer(backend)
	if backend.pollConn != nil && replaced {
		m.failPoll(backend)
	}
	return backend
}

// conditionOf is what an entry of the list means for its backend. One that the sibling was told is draining gets
// nothing new here either.
func (m *StateMachine) conditionOf(endpoint Endpoint) balancer.EndpointState {
	switch {
	case endpoint.Status == EndpointActive && !m.siblings.drained[endpoint.Name]:
		return balancer.Ready
	case endpoint.Status == EndpointActive || endpoint.Status == EndpointLeaving:
		return balancer.Draining
	}
	return balancer.Gone
}

// updateBalancer tells the balancer what is known of the backend.
func (m *StateMachine) updateBalancer(backend *backend) {
	m.balancer().UpdateEndpoint(balancer.Endpoint{
		ID:        backend.id,
		Zone:      m.endpoints.zoneNumber(backend.Zone),
		State:     backend.condition,
		Cell:      backend.Group,
		StartedAt: m.endpoints.localStartTime(backend.Endpoint),
		Weight:    backend.Weight,
	})
}

// followCondition does what follows of a backend's condition: its sessions are migrated, its connection for polls ends,
// and one that is gone is forgotten, so that a fleet whose names never come again can't fill the memory. A backend with
// an attempt out stays: under the same name it may come again, and its sessions would be on a backend of which nothing is
// told.
func (m *StateMachine) followCondition(backend *backend) {
	for i, session := range backend.sessions {
		m.scheduleMigration(backend, session, i)
	}
	if backend.condition != balancer.Gone {
		return
	}
	if backend.pollConn != nil {
		m.failPoll(backend)
	}
	if m.balancer().BackendStatus(backend.id).Sessions == 0 {
		m.endpoints.remove(backend)
	}
}

// removeSuperseded takes backends for gone whose address is another's by the update, as by a discovery that lost its
// versions and so never told their end: the address would get sessions under a name of which nothing is told.
func (m *StateMachine) removeSuperseded(named map[*backend]bool) {
	byAddress := map[string]*backend{}
	for _, backend := range m.endpoints.inOrder {
		if named[backend] && backend.condition != balancer.Gone {
			byAddress[backend.Address] = backend
		}
	}
	for _, backend := range m.endpoints.inOrder {
		successor := byAddress[backend.Address]
		if successor == nil || named[backend] || backend.condition == balancer.Gone {
			continue
		}
		m.log("backend superseded at its address", "backend", backend.Name, "by", successor.Name)
		backend.condition = balancer.Gone
		m.updateBalancer(backend)
	}
}

// setClockAhead corrects start times by how far this relay's clock is ahead of the one that the fleet goes by.
func (m *StateMachine) setClockAhead(aheadMillis float64) {
	m.balancer().ShiftStartTimes(aheadMillis - m.endpoints.clockAhead)
	m.log("clock skew", "ahead ms", math.Round(aheadMillis))
	m.endpoints.clockAhead = aheadMillis
}
