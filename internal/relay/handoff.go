package relay

// This file is the state machine's side of a hot restart: what a parent process leaves to its child, and what each does
// while both are there.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"valeshift/balancer"
)

// Times are milliseconds.
const (
	handoffVersion    = 1
	maxHandoffAge     = 10000.0 // above which a handoff says nothing of now
	childReadyTimeout = 2500.0  // for the child to become ready; the platform gives six seconds from its start
)

// processHandoff owns what is known of the other process of this relay, while the platform replaces the one by the
// other. Which of them serves is the platform's to decide.
type processHandoff struct {
	hasParent bool
	hasChild  bool
	yielded   bool            // to the child: no client is accepted any more
	handoff   *Handoff        // from the parent; nil: none
	drained   map[string]bool // backends that the sibling was told are to get nothing new
}

// yield says whether the child takes all clients from now on.
func (h *processHandoff) yield(on bool) { h.yielded = on }

// forgetDrained says that discovery has told this process all there is: what the sibling was told counts no more.
func (h *processHandoff) forgetDrained() { h.drained = nil }

// hasSibling tells whether there is another process of this relay.
func (h *processHandoff) hasSibling() bool { return h.hasParent || h.hasChild }

// Handoff is what the parent process sends to the child. Unknown fields are ignored, so that the same version may gain
// some; a change of their meaning is another version.
type Handoff struct {
	Version      int               `json:"Version"`
	CreatedAt    float64           `json:"At"` // Unix milliseconds
	Endpoints    *EndpointUpdate   `json:"List"`
	Balancer     balancer.Snapshot `json:"Module"`
	BackendNames []string          `json:"Names"` // of the balancer's backends, in its order
	Descriptors  int               `json:"Files"` // that the parent keeps to, what it needs besides connections included
	Sessions     int               `json:"Links"` // that the parent keeps to
}

// ParseHandoff reads a handoff; an error says why it can't be used. now is in Unix milliseconds.
func ParseHandoff(text []byte, now float64) (*Handoff, error) {
	h := &Handoff{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("parse handoff: %w", err)
	}
	switch {
	case h.Version != handoffVersion:
		return nil, fmt.Errorf("parse handoff: version %d expected, got %d", handoffVersion, h.Version)
	case !(h.CreatedAt <= now+maxHandoffAge && h.CreatedAt >= now-maxHandoffAge):
		return nil, fmt.Errorf("parse handoff: of %.0f ms ago, %v at the most", now-h.CreatedAt, maxHandoffAge)
	case h.Endpoints == nil || len(h.BackendNames) != len(h.Balancer.Backends) || h.Descriptors < 0 || h.Sessions < 0:
		return nil, errors.New("parse handoff: a field is missing or wrong")
	}
	h.Endpoints.Complete = true
	return h, nil
}

// buildHandoff is what this process knows now.
func (m *StateMachine) buildHandoff() *Handoff {
	h := &Handoff{
		Version:     handoffVersion,
		CreatedAt:   m.now,
		Endpoints:   m.endpoints.current(),
		Balancer:    m.balancer().Snapshot(m.now),
		Descriptors: m.limits.ownDescriptors + m.limits.siblingReserve(),
		Sessions:    min(m.limits.ownSessions, math.MaxInt32),
	}
	known := h.Balancer.Backends[:0]
	for _, state := range h.Balancer.Backends {
		if backend := m.endpoints.byID[state.ID]; backend != nil {
			known = append(known, state)
			h.BackendNames = append(h.BackendNames, backend.Name)
		}
	}
	h.Balancer.Backends = known
	return h
}

// loadInitialEndpoints goes by the list of the configuration, or the parent's where that is newer, and by what the parent
// has learned. It is one list only: a second would be discovery's to the balancer, which then asks for none.
func (m *StateMachine) loadInitialEndpoints(configured *EndpointUpdate) {
	handoff := m.siblings.handoff
	if handoff != nil && handoff.Endpoints.Index >= configured.Index {
		configured = handoff.Endpoints
	}
	m.applyEndpoints(configured)
	if handoff == nil {
		return
	}
	if err := m.applyHandoff(handoff); err != nil {
		m.log("handoff of the parent process ignored", "why", err.Error())
	}
}

// applyHandoff has the balancer go on from what the parent's has learned.
func (m *StateMachine) applyHandoff(h *Handoff) error {
	learned := h.Balancer
	learned.Backends = nil
	for i, state := range h.Balancer.Backends {
		if backend := m.endpoints.byName[h.BackendNames[i]]; backend != nil {
			state.ID = backend.id
			learned.Backends = append(learned.Backends, state)
		}
	}
	if err := m.balancer().Restore(m.now, &learned); err != nil {
		return err
	}
	m.log("restored the handoff of the parent process", "age ms", math.Round(m.now-h.CreatedAt), "backends",
		len(learned.Backends))
	return nil
}

// updateSiblings handles which other processes of this relay are alive.
func (m *StateMachine) updateSiblings(e SiblingProcessesChanged) {
	if e.HasChild != m.siblings.hasChild {
		m.log("child process", "alive", e.HasChild)
		m.siblings.hasChild = e.HasChild
		m.balancer().SetDraining(e.HasChild) // the child has the budgets from here on
		if e.HasChild {
			m.Subscribe()
		}
	}
	if e.HasParent != m.siblings.hasParent {
		m.log("parent process", "alive", e.HasParent)
		m.siblings.hasParent = e.HasParent
	}
	m.shareLimits()
	if !e.HasParent && !e.HasChild && len(m.siblings.drained) > 0 {
		m.startWatch() // what the sibling was told holds until discovery tells this process
	}
	if e.HasChild && e.WantsHandoff {
		m.effects.add(&SendHandoff{Handoff: m.buildHandoff()})
	}
}

// applySiblingEndpoints goes by the list that the sibling was told, as far as it is stricter than this process's: backends
// that are to get nothing new, or have restarted. Discovery may notify one of the two later, and an operator who drains
// a backend sees both processes as one relay.
func (m *StateMachine) applySiblingEndpoints(update *EndpointUpdate) {
	if !m.siblings.hasSibling() {
		return
	}
	told := map[string]Endpoint{}
	for _, endpoint := range update.Endpoints {
		told[endpoint.Name] = endpoint
	}
	wasDrained := m.siblings.drained
	m.siblings.drained = map[string]bool{}
	var changed []Endpoint
	for _, backend := range m.endpoints.inOrder {
		endpoint, isListed := told[backend.Name]
		isDrained := !isListed || endpoint.Status != EndpointActive
		if isDrained {
			m.siblings.drained[backend.Name] = true
		}
		if isDrained || wasDrained[backend.Name] {
			endpoint = backend.Endpoint
		}
		if endpoint.StartedAt > backend.StartedAt || isDrained != wasDrained[backend.Name] {
			changed = append(changed, endpoint)
		}
	}
	if len(changed) > 0 {
		m.applyEndpoints(&EndpointUpdate{Index: m.endpoints.index, Endpoints: changed})
	}
}

// TransferredSession is an established session on its way from the parent process to the child. The two may be of
// different versions of the program, so that all is by name, and the child refuses what it doesn't know.
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
	AwaitsReply     bool    `json:"Waits"`  // a line of the client's waits for its reply
	LeavesInMillis  float64 `json:"Leaves"` // until it is migrated, as its backend drains; -1: it stays
	Descriptors     int     `json:"Files"`  // that the parent keeps to from now on
	Sessions        int     `json:"Links"`  // that the parent keeps to from now on
	ConfirmsRelease bool    `json:"Frees"`  // the parent says when it has let go of its own descriptors
}

// requestTransfer has the sockets send the session to the child when they can.
func (m *StateMachine) requestTransfer(session *session) {
	m.effects.add(&TransferSession{ClientConn: session.clientConn.id, BackendConn: session.backendConn.id})
}

// detach gives a session up while it is on its way: nothing that happens to it counts until finishTransfer.
func (m *StateMachine) detach(connID uint64) {
	conn := m.conns.byID[connID]
	if conn == nil || conn.session.state != established || conn.session.endAnnounced {
		return
	}
	m.enter(conn.session, handingOff)
	m.effects.add(&SessionDetached{Conn: connID, Session: m.describeSession(conn.session)})
}

// describeSession is what the child is to know of a session.
func (m *StateMachine) describeSession(session *session) *TransferredSession {
	backend := session.backendConn.backend
	remaining := m.queue.sessions + m.intake.awaitingCount - 1
	t := &TransferredSession{
		Version:         handoffVersion,
		ID:              session.id,
		Class:           nameOf(m.rules.classes, session.Class),
		Tenant:          nameOf(m.rules.tenants, session.Tenant),
		Key:             session.Key,
		Group:           session.AffinityGroup,
		Backend:         backend.Name,
		PartialLine:     session.backendConn.input.Pending(),
		AwaitsReply:     session.stateTimer.isSet(),
		LeavesInMillis:  -1,
		Descriptors:     descriptorsPerSession*remaining + m.conns.polling + m.limits.siblingReserve(),
		Sessions:        remaining,
		ConfirmsRelease: true,
	}
	t.Load, t.LoadMeasured = session.Entry.Session.Load()
	if backend.condition != balancer.Ready && session.migrationTimer.isSet() {
		t.LeavesInMillis = max(session.migrationTimer.at-m.now, 0)
	}
	return t
}

// finishTransfer handles that the child has the session, or that it stays here.
func (m *StateMachine) finishTransfer(connID uint64, accepted bool) {
	conn := m.conns.byID[connID]
	if conn == nil || conn.session.state != handingOff {
		return
	}
	session := conn.session
	m.enter(session, established)
	if accepted {
		m.endSession(session, TransferredToChild, gracefully) // the sockets have none of it any more
	} else if session.brokeInTransfer {
		m.endSession(session, BackendClosed, byReset)
	}
}

// receiveSession takes over an established session of the parent, with its part of the limits. One that is not known here
// as it is to the parent is refused: SessionAccepted does not follow then.
func (m *StateMachine) receiveSession(connID uint64, t *TransferredSession) {
	if m.drain.stopping || !m.canReceive(t) {
		m.log("refused a session of the parent process", "version", t.Version, "class", t.Class,
			"backend", t.Backend)
		return
	}
	if !m.takeLimitsOver(t) {
		m.log("no capacity for a session of the parent process", "sessions", m.queue.sessions)
		return
	}
	backend := m.endpoints.byName[t.Backend]
	session := &session{}
	session.Class = m.rules.classes[t.Class]
	session.Tenant, _ = m.rules.tenant(t.Tenant)
	session.Key = t.Key
	session.AffinityGroup = t.Group
	m.SessionsReceived++
	session.clientConn = m.addConn(&connection{id: connID, session: session, acceptedAt: m.now})
	session.backendConn = m.addConn(&connection{id: m.conns.nextDialedID(), backend: backend, session: session, isUp: true})
	session.backendConn.input.Restore(t.PartialLine)
	m.addSession(session, t.ID)
	m.balancer().SessionReceived(m.now, &session.Entry.Session, backend.id, t.Load, t.LoadMeasured)
	m.addEstablished(session)
	m.resumeTimers(session, t)
	m.effects.add(&SessionAccepted{Conn: connID, BackendConn: session.backendConn.id})
}

// canReceive tells whether what a session of the parent refers to is known here.
func (m *StateMachine) canReceive(t *TransferredSession) bool {
	_, knownClass := m.rules.classes[t.Class]
	_, knownTenant := m.rules.tenant(t.Tenant)
	return t.Version == handoffVersion &&
		knownClass &&
		(knownTenant || t.Tenant == "") &&
		m.endpoints.byName[t.Backend] != nil &&
		t.Load >= 0 && t.Load < math.MaxFloat64 &&
		t.ID != "" && m.queue.byID[t.ID] == nil
}

// takeLimitsOver goes by what the parent needs from now on, and tells whether the session has room here. What the parent
// had at first would keep clients of this process from being accepted while the parent waits for its last attempts. A
// session that would leave no room for clients stays, and is migrated by the parent.
func (m *StateMachine) takeLimitsOver(t *TransferredSession) bool {
	handoff := m.siblings.handoff
	if handoff == nil {
		return true
	}
	descriptors, sessions := handoff.Descriptors, handoff.Sessions
	handoff.Descriptors = min(descriptors, max(t.Descriptors, 0))
	handoff.Sessions = min(sessions, max(t.Sessions, 0))
	m.shareLimits()
	if !m.limits.isExceededBy(m.queue.sessions+1, m.conns.polling) && m.queue.sessions < m.limits.ownSessions {
		return true
	}
	handoff.Descriptors = descriptors
	handoff.Sessions = sessions
	m.shareLimits()
	return false
}

// resumeTimers goes on with what a received session waited for.
func (m *StateMachine) resumeTimers(session *session, t *TransferredSession) {
	if t.AwaitsReply {
		m.timers.set(&session.stateTimer, m.now+replyTimeout)
	}
	switch backend := session.backendConn.backend; {
	case t.LeavesInMillis >= 0:
		m.timers.set(&session.migrationTimer, m.now+t.LeavesInMillis)
	case m.drain.draining:
		m.timers.set(&session.migrationTimer, max(m.now, m.migrationTime(0, 1)))
	default:
		m.scheduleMigration(backend, session, len(backend.sessions)-1)
	}
}
