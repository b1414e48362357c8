package relay

// This file is the part of the reducer for two processes of one relay on a socket that the platform holds:
// what the elder leaves to the younger, and how both keep to the limits of one. It must never decide which of
// them serves, as that is the platform's, or how fast links go, as that is the module's.

import (
	"encoding/json"
	"fmt"
	"math"

	"valeshift/balancer"
)

const (
	handoffVersion     = 1
	maxHandoffAge      = 10000.0 // above which what was left says nothing of now
	childReadyTimeout  = 2500.0  // for the younger to become fit; the platform gives six seconds from its start
	siblingDescriptors = 18      // descriptors of a process that has no connection: 13 idle, the watch, the way
)

// Handoff is what the elder process leaves to the younger. Fields that are not known are passed over, so
// that one of the same version may gain some; a change of their meaning is another version.
type Handoff struct {
	Version      int               `json:"Version"`
	CreatedAt    float64           `json:"At"`
	Endpoints    *EndpointUpdate   `json:"List"`
	Balancer     balancer.Snapshot `json:"Module"`
	BackendNames []string          `json:"Names"` // of the module's servers, in its order
	Descriptors  int               `json:"Files"` // descriptors that the elder keeps to, what it needs besides connections included
	Sessions     int               `json:"Links"` // and links
}

// ParseHandoff reads what was left, and says why it can't be used.
func ParseHandoff(text []byte, now float64) (*Handoff, error) {
	h := &Handoff{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	switch {
	case h.Version != handoffVersion:
		return nil, fmt.Errorf("handover: version %d expected, got %d", handoffVersion, h.Version)
	case !(h.CreatedAt <= now+maxHandoffAge && h.CreatedAt >= now-maxHandoffAge):
		return nil, fmt.Errorf("handover: of %.0f ms ago, %v at the most", now-h.CreatedAt, maxHandoffAge)
	case h.Endpoints == nil || len(h.BackendNames) != len(h.Balancer.Backends) || h.Descriptors < 0 || h.Sessions < 0:
		return nil, fmt.Errorf("handover: a field is missing or wrong")
	}
	h.Endpoints.Complete = true
	return h, nil
}

// buildHandoff is what this process knows now.
func (m *StateMachine) buildHandoff() *Handoff {
	h := &Handoff{Version: handoffVersion, CreatedAt: m.now, Endpoints: m.currentEndpoints(),
		Balancer: m.dispatcher.Balancer.Snapshot(m.now), Descriptors: m.ownDescriptors + m.siblingReserve(), Sessions: min(m.ownSessions, math.MaxInt32)}
	kept := h.Balancer.Backends[:0]
	for _, s := range h.Balancer.Backends {
		if backend := m.backendsByID[s.ID]; backend != nil {
			kept, h.BackendNames = append(kept, s), append(h.BackendNames, backend.Name)
		}
	}
	h.Balancer.Backends = kept
	return h
}

// loadInitialEndpoints takes the list told at the start, or the elder's where that is newer, and what the elder has learnt.
// Against two lists in a row: the second would be discovery's to the module, which then asks for none.
func (m *StateMachine) loadInitialEndpoints(known *EndpointUpdate) {
	if m.handoff != nil && m.handoff.Endpoints.Index >= known.Index {
		known = m.handoff.Endpoints
	}
	m.applyEndpoints(known)
	if m.handoff == nil {
		return
	}
	if err := m.applyHandoff(m.handoff); err != nil {
		m.log("what the elder process left is passed over", "why", err.Error())
	}
}

func (m *StateMachine) applyHandoff(h *Handoff) error {
	record := h.Balancer
	record.Backends = nil
	for i, s := range h.Balancer.Backends {
		if backend := m.backends[h.BackendNames[i]]; backend != nil {
			s.ID = backend.id
			record.Backends = append(record.Backends, s)
		}
	}
	if err := m.dispatcher.Balancer.Restore(m.now, &record); err != nil {
		return err
	}
	m.log("took over what the elder process knew", "age ms", math.Round(m.now-h.CreatedAt), "backends",
		len(record.Backends))
	return nil
}

// updateSiblings takes which other processes of this relay are alive.
func (m *StateMachine) updateSiblings(e SiblingProcessesChanged) {
	if e.HasChild != m.hasChild {
		m.log("younger process", "there", e.HasChild)
		m.hasChild = e.HasChild
		m.dispatcher.Balancer.SetDraining(e.HasChild) // it has the budgets from here on
		if e.HasChild {
			m.Subscribe()
		}
	}
	if e.HasParent != m.hasParent {
		m.log("elder process", "there", e.HasParent)
		m.hasParent = e.HasParent
	}
	m.shareLimits()
	if !e.HasParent && !e.HasChild && len(m.siblingDrained) > 0 {
		m.startWatch() // what another process was told holds until discovery tells this one
	}
	if e.HasChild && e.WantsHandoff {
		m.effects.add(&SendHandoff{Handoff: m.buildHandoff()})
	}
}

// applySiblingEndpoints takes the list that another process of this relay was told, as far as that is stricter than this
// one's: servers that are to get nothing new, or have restarted. Against a discovery that tells one of the
// two late: to who drains a server both are one relay.
func (m *StateMachine) applySiblingEndpoints(n *EndpointUpdate) {
	if !m.hasChild && !m.hasParent {
		return
	}
	told := map[string]Endpoint{}
	for _, e := range n.Endpoints {
		told[e.Name] = e
	}
	was := m.siblingDrained
	m.siblingDrained = map[string]bool{}
	var changed []Endpoint
	for _, backend := range m.backendOrder {
		e, there := told[backend.Name]
		dismissed := !there || e.Status != "active"
		if dismissed {
			m.siblingDrained[backend.Name] = true
		}
		if dismissed || was[backend.Name] {
			e = backend.Endpoint
		}
		if e.StartedAt > backend.StartedAt || dismissed != was[backend.Name] {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		m.applyEndpoints(&EndpointUpdate{Index: m.endpointsIndex, Endpoints: changed})
	}
}

// siblingReserve is what another process needs for itself.
func (m *StateMachine) siblingReserve() int {
	return siblingDescriptors + m.reservedDescriptors - spareDescriptors
}

// shareLimits holds this process to its part of the descriptors and links while there is another: to what it has,
// or half of what there is where that is more; the younger to the rest. What is kept for dials and the like
// is there once for both.
func (m *StateMachine) shareLimits() {
	files, links := m.maxDescriptors, m.maxSessions
	half := (files - m.siblingReserve()) / 2
	switch {
	case m.hasChild:
		if files < math.MaxInt {
			files = min(max(half, len(m.conns)), files)
		}
		links = max(links/2, m.sessions)
	case m.hasParent && m.handoff != nil:
		if files < math.MaxInt {
			files -= min(m.handoff.Descriptors, files)
		}
		links -= min(m.handoff.Sessions, links)
	case m.hasParent:
		if files < math.MaxInt {
			files = half
		}
		links /= 2
	}
	if m.hasParent { // however little the elder leaves
		files, links = max(files, minAwaiting+descriptorsPerSession), max(links, 1)
	}
	m.ownDescriptors, m.ownSessions = files, links
	m.sessionDescriptors = m.ownDescriptors
	if m.ownDescriptors < math.MaxInt {
		m.sessionDescriptors -= m.maxAwaiting()
	}
}

// TransferredSession is a link that stands, on its way from one process of the relay to another. The two may be of
// different versions of the program, so that all is by name and the younger refuses what it doesn't know.
type TransferredSession struct {
	Version         int     `json:"Version"`
	ID              string  `json:"ID"`
	Class           string  `json:"Category"`
	Tenant          string  `json:"Party"`
	Key             uint64  `json:"Key"`
	Group           uint64  `json:"Group"`
	Backend         string  `json:"Backend"`
	Load            float64 `json:"Load"`
	LoadMeasured    bool    `json:"Measured"`
	PartialLine     []byte  `json:"Tail"`   // of a line whose end the backend has not sent yet
	AwaitsReply     bool    `json:"Waits"`  // a line of the client's waits for its answer
	LeavesInMillis  float64 `json:"Leaves"` // in so many milliseconds, as its backend goes; -1: it stays
	Descriptors     int     `json:"Files"`  // that the elder keeps to from now on
	Sessions        int     `json:"Links"`  // and links
	ConfirmsRelease bool    `json:"Frees"`  // the elder says when it has let go of its own descriptors
}

// requestTransfer has the sockets pass the link on when they can.
func (m *StateMachine) requestTransfer(session *session) {
	m.effects.add(&TransferSession{ClientConn: session.clientConn.id, BackendConn: session.backendConn.id})
}

func nameOf(names map[string]int, number int) string {
	for name, n := range names {
		if n == number {
			return name
		}
	}
	return ""
}

// detach gives a link up for as long as it is on its way: nothing that is told of it counts until given.
func (m *StateMachine) detach(connID uint64) {
	conn := m.conns[connID]
	if conn == nil || conn.session.state != established || conn.session.endAnnounced {
		return
	}
	session := conn.session
	m.enter(session, handingOff)
	p := &TransferredSession{Version: handoffVersion, ID: session.id, Class: nameOf(m.classes, session.Class),
		Tenant: nameOf(m.tenants, session.Tenant), Key: session.Key, Group: session.AffinityGroup, Backend: session.backendConn.backend.Name,
		PartialLine: session.backendConn.input.Pending(), AwaitsReply: session.stateTimer.position > 0, LeavesInMillis: -1,
		Descriptors: descriptorsPerSession*(m.sessions+m.awaitingCount-1) + m.pollConns + m.siblingReserve(), Sessions: m.sessions + m.awaitingCount - 1, ConfirmsRelease: true}
	p.Load, p.LoadMeasured = session.Entry.Session.Load()
	if session.backendConn.backend.condition != balancer.Ready && session.migrationTimer.position > 0 {
		p.LeavesInMillis = max(session.migrationTimer.at-m.now, 0)
	}
	m.effects.add(&SessionDetached{Conn: connID, Session: p})
}

// finishTransfer takes that the younger process has the link, or that it stays.
func (m *StateMachine) finishTransfer(connID uint64, gone bool) {
	conn := m.conns[connID]
	if conn == nil || conn.session.state != handingOff {
		return
	}
	session := conn.session
	m.enter(session, established)
	if gone {
		m.endSession(session, TransferredToChild, gracefully) // the sockets have none of it any more
	} else if session.brokeInTransfer {
		m.endSession(session, BackendClosed, byReset)
	}
}

// receiveSession takes a link that stands from the elder process, with its part of the limits. One that is not known
// to this process as it is to the elder is refused.
func (m *StateMachine) receiveSession(connID uint64, p *TransferredSession) {
	category, known := m.classes[p.Class]
	party, named := m.tenants[p.Tenant]
	backend := m.backends[p.Backend]
	strange := p.Version != handoffVersion || !known || backend == nil || (p.Tenant != "" && !named)
	wrong := !(p.Load >= 0 && p.Load < math.MaxFloat64) || p.ID == "" || m.sessionsByID[p.ID] != nil
	if strange || wrong || m.stopping {
		m.log("refused a link of the elder process", "version", p.Version, "category", p.Class,
			"backend", p.Backend)
		return
	}
	if left := m.handoff; left != nil {
		// Against what the elder held at first keeping clients of this process waiting at the door while the elder
		// waits for its last setup tries.
		files, links := left.Descriptors, left.Sessions
		left.Descriptors, left.Sessions = min(files, max(p.Descriptors, 0)), min(links, max(p.Sessions, 0))
		m.shareLimits()
		// And against links that leave no place at that door; they are moved.
		if descriptorsPerSession*(m.sessions+1)+m.pollConns > m.sessionDescriptors || m.sessions >= m.ownSessions {
			left.Descriptors, left.Sessions = files, links
			m.shareLimits()
			m.log("no room for a link of the elder process", "links", m.sessions)
			return
		}
	}
	session := &session{id: p.ID}
	session.Class, session.Tenant, session.Key, session.AffinityGroup = category, party, p.Key, p.Group
	if !named {
		session.Tenant = len(m.tenants)
	}
	m.SessionsReceived++
	session.clientConn = m.addConn(&connection{id: connID, session: session, acceptedAt: m.now})
	m.lastDialedID++
	session.backendConn = m.addConn(&connection{id: m.lastDialedID, backend: backend, session: session, isUp: true})
	session.backendConn.input.Restore(p.PartialLine)
	m.sessions++
	m.sessionsByID[session.id] = session
	m.dispatcher.Balancer.SessionReceived(m.now, &session.Entry.Session, backend.id, p.Load, p.LoadMeasured)
	m.addEstablished(session)
	if p.AwaitsReply {
		m.setTimer(&session.stateTimer, m.now+replyTimeout)
	}
	switch {
	case p.LeavesInMillis >= 0:
		m.setTimer(&session.migrationTimer, m.now+p.LeavesInMillis)
	case m.draining:
		m.setTimer(&session.migrationTimer, max(m.now, m.migrationTime(0, 1)))
	default:
		m.scheduleMigration(backend, session, len(backend.sessions)-1)
	}
	m.effects.add(&SessionAccepted{Conn: connID, BackendConn: session.backendConn.id})
}
