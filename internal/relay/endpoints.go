package relay

import (
	"hash/fnv"
	"math"
	"slices"

	"valeshift/balancer"
)

// backend is what this relay knows of one backend, and its sessions and poll connection.
type backend struct {
	Endpoint
	id         uint32 // the balancer's ID for the backend
	condition  balancer.EndpointState
	sessions   []*session // established sessions on this backend
	lastDataAt float64    // Unix milliseconds at which the backend last sent data on a session

	pollConn    *connection // connection for load polls; nil if there is none
	pollPending bool        // a poll has not been answered yet
}

// newBackend returns a backend of which only the name is known.
func newBackend(name string) *backend {
	return &backend{Endpoint: Endpoint{Name: name}, id: BackendID(name)}
}

// BackendID returns the balancer's ID for a backend of that name, a hash of the name. If another backend already has
// that ID, the next free one is used instead.
func BackendID(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

// endpointSet owns the endpoint list: the backends that discovery has reported, by name and by ID.
type endpointSet struct {
	byName  map[string]*backend
	byID    map[uint32]*backend
	inOrder []*backend     // in the order of arrival, so that a seed always gives the same order of effects
	zones   map[string]int // the balancer's zone numbers by zone name

	index      uint64  // version of the list
	received   bool    // an update from discovery has been applied
	confirmed  bool    // discovery has sent the list, or confirmed that the one held is current
	clockAhead float64 // milliseconds by which this relay's clock is ahead of the fleet's reference clock

	nextErrorLogAt float64 // earliest time of the next log line about answers to polls, in Unix milliseconds
}

func newEndpointSet(zones map[string]int) endpointSet {
	return endpointSet{byName: map[string]*backend{}, byID: map[uint32]*backend{}, zones: zones}
}

// confirm records that discovery has sent the list, or confirmed that the one held is current.
func (s *endpointSet) confirm() { s.confirmed = true }

// markReceived records that an update from discovery has been applied.
func (s *endpointSet) markReceived() { s.received = true }

// forgetVersion makes the next watch ask for the whole list.
func (s *endpointSet) forgetVersion() { s.index = 0 }

// findOrAdd returns the backend of that name, and adds it if it is new. Its ID derives from the name, so that all
// relays draw the same backend for an affinity group.
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

// remove deletes a backend from the lookup tables. It stays in inOrder until compact is called.
func (s *endpointSet) remove(b *backend) {
	delete(s.byName, b.Name)
	delete(s.byID, b.id)
}

// compact deletes removed backends from inOrder.
func (s *endpointSet) compact() {
	if len(s.inOrder) > len(s.byName) {
		s.inOrder = slices.DeleteFunc(s.inOrder, func(b *backend) bool { return s.byName[b.Name] != b })
	}
}

// zoneNumber returns the balancer's number for a zone; a new name gets the next number.
func (s *endpointSet) zoneNumber(name string) int {
	number, known := s.zones[name]
	if !known {
		number = len(s.zones)
		s.zones[name] = number
	}
	return number
}

// current returns the endpoint list as held now, as a complete update.
func (s *endpointSet) current() *EndpointUpdate {
	update := &EndpointUpdate{Index: s.index, Complete: true}
	for _, b := range s.inOrder {
		if b.condition != balancer.Gone {
			update.Endpoints = append(update.Endpoints, b.Endpoint)
		}
	}
	return update
}

// localStartTime returns when the backend started by this relay's own clock, in Unix milliseconds; 0 or less: not
// known.
func (s *endpointSet) localStartTime(e Endpoint) float64 {
	if e.StartedAt <= 0 {
		return e.StartedAt
	}
	return e.StartedAt + s.clockAhead
}

// applyEndpoints applies an update to the relay's endpoint list, and its consequences for sessions and polls.
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
		m.applyCondition(backend)
	}
	m.endpoints.compact()
}

// applyEndpoint applies one entry of an update and returns its backend. An invalid entry leaves what is known of its
// backend unchanged; nil is returned if nothing is known of it.
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

// conditionOf returns the balancer state that follows from an entry of the list. A backend that is draining by the
// sibling's list gets no new sessions from this process either.
func (m *StateMachine) conditionOf(endpoint Endpoint) balancer.EndpointState {
	switch {
	case endpoint.Status == EndpointActive && !m.siblings.drained[endpoint.Name]:
		return balancer.Ready
	case endpoint.Status == EndpointActive || endpoint.Status == EndpointLeaving:
		return balancer.Draining
	}
	return balancer.Gone
}

// updateBalancer passes what is known of the backend to the balancer.
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

// applyCondition acts on a backend's condition. If the backend drains or is gone, its sessions are scheduled for
// migration. If it is gone, its poll connection is closed too and the backend is removed, so that backends whose names
// never return don't use up memory. A backend with a pending attempt is kept: its name may return, and the session of
// that attempt would then be on a removed backend, which no longer gets updates.
func (m *StateMachine) applyCondition(backend *backend) {
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

// removeSuperseded marks backends as gone whose address the update gives to another backend. A discovery that lost its
// version history never reports that the old ones left, and the address would go on getting sessions under a name for
// which no updates come.
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

// setClockAhead corrects backends' start times for how far this relay's clock is ahead of the fleet's reference clock.
func (m *StateMachine) setClockAhead(aheadMillis float64) {
	m.balancer().ShiftStartTimes(aheadMillis - m.endpoints.clockAhead)
	m.log("clock skew", "ahead ms", math.Round(aheadMillis))
	m.endpoints.clockAhead = aheadMillis
}
