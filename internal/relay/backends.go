package relay

// This file is the part of the reducer for backends: the list as discovery tells it, the watch on it, and
// probes. It must never decide which backend is used or when one is asked: that is the module's.

import (
	"cmp"
	"hash/fnv"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

const (
	// heartbeatTimeout is for the next line of a watch: an empty one comes every 2 s. What a silent watch misses
	// counts as told 6 s after it fell silent, which leaves time for a call that is refused once or twice.
	heartbeatTimeout = 2800.0
	// answerTimeout is for the first line. Discovery works through calls in turn, so that one given up early
	// loses its place there. With renewGap it leaves time for a second call within the 4 s in which a discovery
	// that a reload names has to be heard.
	answerTimeout     = 3300.0
	renewInterval     = 250.0 // before a discovery that a reload names is asked again
	pollTimeoutFactor = 2     // times the time for a connect, for a probe's answer
)

// backend is a server as this relay knows it.
type backend struct {
	Endpoint
	id          uint32
	condition   balancer.EndpointState
	sessions    []*session // that stand
	lastDataAt  float64    // when one of them last brought anything
	pollConn    *connection
	pollPending bool // a probe is out
}

// BackendStatus is what is held of one backend: what passes on the sockets, and what the module goes by.
type BackendStatus struct {
	Name                  string
	Established, Attempts int // links on sockets
	Reserved              int // by the module; the same as both together
	ReportAgeMillis       float64
	Ejected               bool
}

// BackendStatuses are those of all backends, by name. Against a module that goes by what is no longer so: they can be
// asked for while the relay serves.
func (m *StateMachine) BackendStatuses(now float64) []BackendStatus {
	tries := map[*backend]int{}
	for _, conn := range m.conns {
		if conn.backend != nil && conn.session != nil && conn.session.state == attempting {
			tries[conn.backend]++
		}
	}
	var all []BackendStatus
	for _, backend := range m.backends {
		known := m.dispatcher.Balancer.BackendStatus(backend.id)
		all = append(all, BackendStatus{Name: backend.Name, Established: len(backend.sessions), Attempts: tries[backend],
			Reserved: known.Sessions, ReportAgeMillis: now - known.ReportedAt, Ejected: known.IsAvoided})
	}
	slices.SortFunc(all, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// newBackend is a backend of which only the name is known.
func newBackend(name string) *backend {
	return &backend{Endpoint: Endpoint{Name: name}, id: BackendID(name)}
}

// findOrAddBackend finds the backend, or takes in a new one. Its number comes of its name, so that all relays draw
// alike.
func (m *StateMachine) findOrAddBackend(name string) *backend {
	backend := m.backends[name]
	if backend == nil {
		backend = newBackend(name)
		for m.backendsByID[backend.id] != nil {
			backend.id++
		}
		m.backends[name], m.backendsByID[backend.id] = backend, backend
		m.backendOrder = append(m.backendOrder, backend)
	}
	return backend
}

// BackendID is what the module knows a backend of that name by, unless another has the number already; then it
// is the next that is free.
func BackendID(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

func (m *StateMachine) zoneNumber(name string) int {
	z, known := m.zones[name]
	if !known {
		z = len(m.zones)
		m.zones[name] = z
	}
	return z
}

// applyEndpoints takes news of the list.
func (m *StateMachine) applyEndpoints(news *EndpointUpdate) {
	m.endpointsIndex = news.Index
	m.dispatcher.Balancer.BeginEndpointUpdate(news.Complete)
	named := map[*backend]bool{}
	for _, e := range news.Endpoints {
		if e.Invalid != "" {
			m.log("bad entry in the list", "backend", e.Name, "why", e.Invalid)
			if m.backends[e.Name] == nil {
				continue
			}
			e = m.backends[e.Name].Endpoint
		}
		backend := m.findOrAddBackend(e.Name)
		moved := backend.Address != e.Address || e.StartedAt > backend.StartedAt
		backend.Endpoint = e
		named[backend] = true
		switch e.Status {
		case "active":
			if backend.condition = balancer.Ready; m.siblingDrained[e.Name] {
				backend.condition = balancer.Draining
			}
		case "leaving":
			backend.condition = balancer.Draining
		default:
			backend.condition = balancer.Gone
		}
		m.dispatcher.Balancer.UpdateEndpoint(balancer.Endpoint{ID: backend.id, Zone: m.zoneNumber(e.Zone),
			State: backend.condition, Cell: e.Group, StartedAt: m.localStartTime(e), Weight: e.Weight})
		if backend.pollConn != nil && moved {
			m.failPoll(backend)
		}
	}
	m.removeSuperseded(named)
	m.dispatcher.Balancer.EndEndpointUpdate(m.now)
	for _, backend := range m.backendOrder {
		if news.Complete && !named[backend] {
			backend.condition = balancer.Gone
		}
		for i, session := range backend.sessions {
			m.scheduleMigration(backend, session, i)
		}
		if backend.condition == balancer.Gone && backend.pollConn != nil {
			m.failPoll(backend)
		}
		if backend.condition == balancer.Gone && m.dispatcher.Balancer.BackendStatus(backend.id).Sessions == 0 {
			// Against a fleet whose names never come again filling the memory. One with a try out stays: under
			// the same name it may come again, and its links would be on a backend that nothing tells of.
			delete(m.backends, backend.Name)
			delete(m.backendsByID, backend.id)
		}
	}
	if len(m.backendOrder) > len(m.backends) {
		m.backendOrder = slices.DeleteFunc(m.backendOrder, func(backend *backend) bool { return m.backends[backend.Name] != backend })
	}
}

// removeSuperseded takes those for gone whose address is another's by the news. Against a discovery that lost its
// versions and so never told their end: the address would be sent links under a name that nothing is told of.
func (m *StateMachine) removeSuperseded(named map[*backend]bool) {
	at := map[string]*backend{}
	for _, backend := range m.backendOrder {
		if named[backend] && backend.condition != balancer.Gone {
			at[backend.Address] = backend
		}
	}
	for _, backend := range m.backendOrder {
		if by := at[backend.Address]; by != nil && !named[backend] && backend.condition != balancer.Gone {
			m.log("backend's address is another's now", "backend", backend.Name, "by", by.Name)
			backend.condition = balancer.Gone
			m.dispatcher.Balancer.UpdateEndpoint(balancer.Endpoint{ID: backend.id, Zone: m.zoneNumber(backend.Zone),
				State: balancer.Gone, Cell: backend.Group, StartedAt: m.localStartTime(backend.Endpoint), Weight: backend.Weight})
		}
	}
}

// endpointsUpdated takes the list, or changes of it, from the watch.
func (m *StateMachine) endpointsUpdated(e EndpointsUpdated) {
	if e.Watch != m.watchID {
		return
	}
	m.discoveryHeard()
	if e.Update.DiscoveryTime > 0 {
		m.discoveryClockOffset = e.Update.DiscoveryTime - m.now
	}
	m.endpointsConfirmed = true
	if e.Update.Index < m.endpointsIndex && (m.watchedAfter > 0 || !e.Update.Complete) {
		m.restartFromOlderVersion(e.Update.Index)
		return
	}
	m.awaitsNewDiscovery = false
	m.stopTimer(&m.renewTimer)
	if e.Update.Complete && !m.hasParent && !m.hasChild {
		m.siblingDrained = nil
	}
	m.applyEndpoints(e.Update)
	m.endpointsReceived = true
	if m.hasParent || m.hasChild {
		m.effects.add(&SendEndpoints{Update: m.currentEndpoints()})
	}
}

// restartFromOlderVersion asks for the whole list where discovery has gone back to an older version than the one held.
// It does so at once where this watch began at a later version: a discovery that counts anew may have drained a backend
// just now.
func (m *StateMachine) restartFromOlderVersion(index uint64) {
	m.endpointsIndex = 0
	if m.watchedAfter > 0 {
		m.log("version went back", "to", index)
		m.startWatch()
		return
	}
	m.effects.add(&StopWatch{})
	m.watchFailed("version went back")
}

// watchHeartbeat takes an empty line of the watch: the list that it was asked to follow still holds.
func (m *StateMachine) watchHeartbeat(e WatchHeartbeat) {
	if e.Watch != m.watchID {
		return
	}
	m.discoveryHeard()
	m.endpointsConfirmed = m.endpointsConfirmed || m.watchedAfter > 0
}

// watchEnded takes the end of the watch.
func (m *StateMachine) watchEnded(e WatchFailed) {
	if e.Watch == m.watchID {
		m.watchFailed(e.Err.Error())
	}
}

// discoveryHeard takes that the watch has brought something.
func (m *StateMachine) discoveryHeard() {
	m.setTimer(&m.watchTimer, m.now+heartbeatTimeout)
	m.discoveryHeardAt = m.now
	m.watchAnswered = true
}

func (m *StateMachine) watchFailed(why string) {
	m.log("watch failed", "why", why)
	m.watchID = 0
	m.stopTimer(&m.watchTimer)
	m.dispatcher.Balancer.WatchFailed(m.now)
	// The module's waits grow beyond the time in which a new discovery counts as having told, and in which
	// another process of this relay has been told.
	if m.awaitsNewDiscovery || m.hasChild {
		m.setTimer(&m.renewTimer, m.now+renewInterval)
	}
}

// reloadConfig takes that the file was read again. Against a discovery that counts its versions afresh, the whole
// list is asked for; until it comes, what was known stays.
func (m *StateMachine) reloadConfig(e ConfigReloaded) {
	if e.Err != nil {
		m.FailedReloads++
		m.log("reload refused, all stays as it was", "why", e.Err.Error())
		return
	}
	m.Reloads++
	m.log("reloaded", "discovery", e.DiscoveryAddress, "changed", e.DiscoveryAddress != m.discoveryAddress)
	if e.DiscoveryAddress != m.discoveryAddress {
		m.discoveryAddress = e.DiscoveryAddress
		m.awaitsNewDiscovery = true
		m.endpointsIndex = 0
		m.startWatch()
	}
}

// watchTimedOut takes that the watch has brought nothing for too long. One that has brought something is opened anew
// at once, as only that shows what it has missed since; a call that was never answered waits for its turn.
func (m *StateMachine) watchTimedOut() {
	if m.watchAnswered {
		m.log("watch fell silent")
		m.startWatch()
		return
	}
	m.effects.add(&StopWatch{})
	m.watchFailed("silent")
}

// startWatch asks for what is new; for the whole list where a younger process of this relay is there. That one is
// told all there is by its first call, and both are one relay to who drains a server: against changes told
// late.
func (m *StateMachine) startWatch() {
	m.Watches++
	m.lastWatchID++
	m.watchID, m.watchedAfter, m.watchAnswered = m.lastWatchID, m.endpointsIndex, false
	if m.hasChild || len(m.siblingDrained) > 0 {
		m.watchedAfter = 0
	}
	m.effects.add(&StartWatch{Watch: m.watchID, After: m.watchedAfter, Address: m.discoveryAddress})
	m.setTimer(&m.watchTimer, m.now+answerTimeout)
}

// Subscribe has the list watched. A watch that still brings its empty lines needs no other.
func (m *StateMachine) Subscribe() {
	if m.watchID == 0 {
		m.startWatch()
	}
}

// Poll asks the backend for its load, over one connection that stays open, as each new one is work for it.
func (m *StateMachine) Poll(id uint32) {
	m.Polls++
	backend := m.backendsByID[id]
	if backend == nil { // gone since the module wanted it asked
		m.dispatcher.Balancer.PollFinished(m.now, id, false, nil)
		return
	}
	if backend.pollConn == nil && len(m.conns)+m.maxAwaiting() >= m.ownDescriptors {
		// Against probes taking what clients come in by: while the elder process has most descriptors, and as many
		// servers join beside links that stand.
		m.dispatcher.Balancer.PollNotSent(id)
		return
	}
	backend.pollPending = true
	if backend.pollConn == nil {
		backend.pollConn = m.dial(backend, nil)
		backend.pollConn.deadline.fire = func() { m.failPoll(backend) }
	} else if backend.pollConn.isUp {
		m.sendPoll(backend)
	}
	m.setTimer(&backend.pollConn.deadline, m.now+pollTimeoutFactor*m.connectTimeout)
}

func (m *StateMachine) sendPoll(backend *backend) {
	if len(m.reportFields) > 0 {
		m.write(backend.pollConn, []byte("STATS\r\n"))
	} else {
		m.write(backend.pollConn, []byte("PING\r\n"))
	}
}

// pollConnEstablished sends the poll that waits for its connection.
func (m *StateMachine) pollConnEstablished(conn *connection) {
	conn.isUp = true
	if conn.backend.pollPending {
		m.sendPoll(conn.backend)
	}
}

// receivePollAnswer takes what a backend answers to a poll.
func (m *StateMachine) receivePollAnswer(conn *connection, data []byte) {
	backend := conn.backend
	for backend.pollConn == conn {
		line, rest, err := conn.input.Next(data)
		if err != nil {
			m.failPoll(backend)
			return
		}
		if line == nil {
			return
		}
		data = rest
		verb, said := protocol.CutVerb(line)
		m.finishPoll(backend, string(verb) == "PONG", protocol.ParseReport(said, m.reportFields))
	}
}

func (m *StateMachine) finishPoll(backend *backend, ok bool, report []float64) {
	if !backend.pollPending {
		return
	}
	backend.pollPending = false
	m.stopTimer(&backend.pollConn.deadline)
	if conn := backend.pollConn; m.isShortOfDescriptors() { // against probes of a fleet that grows holding what clients come by
		backend.pollConn = nil
		m.dropConn(conn, gracefully)
	}
	m.dispatcher.PollFinished(m.now, backend.id, ok, report)
}

// failPoll ends the connection for probes; a probe that was out has failed.
func (m *StateMachine) failPoll(backend *backend) {
	conn := backend.pollConn
	out := backend.pollPending
	backend.pollConn, backend.pollPending = nil, false
	m.dropConn(conn, byReset)
	if out {
		m.dispatcher.PollFinished(m.now, backend.id, false, nil)
		m.migrateFromSilent(backend)
	}
}

func (m *StateMachine) recordReport(backend *backend, said []byte) {
	if report := protocol.ParseReport(said, m.reportFields); report != nil {
		m.dispatcher.Balancer.LoadReported(m.now, backend.id, report)
	}
}
