package relay

// This file is the state machine's side of a hot restart: what a parent process hands to its child, and what each of
// them does while both are running.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"valeshift/balancer"
)

// Times are in milliseconds.
const (
	handoffVersion    = 1
	maxHandoffAge     = 10000.0 // oldest handoff that is used, and the furthest ahead that its time may be
	childReadyTimeout = 2500.0  // time from its start after which a child serves in any case; the platform allows 6 s
)

// siblingProcesses holds what is known of the other process of this relay, its parent or its child, while the platform
// replaces the parent by the child. The platform decides which of them serves.
type siblingProcesses struct {
	hasParent bool
	hasChild  bool
	yielded   bool            // all new clients are left to the child; this process accepts none
	handoff   *Handoff        // handoff of the parent; nil if there is none
	drained   map[string]bool // backends that get no new sessions by the endpoint list of the sibling
}

// yield sets whether the child takes all new clients from now on.
func (h *siblingProcesses) yield(on bool) { h.yielded = on }

// forgetDrained drops the drains that only the sibling was told of. It is called once discovery has sent the whole list
// to this process.
func (h *siblingProcesses) forgetDrained() { h.drained = nil }

// hasSibling reports whether there is another process of this relay.
func (h *siblingProcesses) hasSibling() bool { return h.hasParent || h.hasChild }

// Handoff is the state that the parent process sends to the child. Unknown fields are ignored, so fields may be added
// within a version; a change of a field's meaning needs a new version.
type Handoff struct {
	Version      int               `json:"Version"`
	CreatedAt    float64           `json:"At"` // Unix milliseconds
	Endpoints    *EndpointUpdate   `json:"List"`
	Balancer     balancer.Snapshot `json:"Module"`
	BackendNames []string          `json:"Names"` // names of the backends in Balancer, in the same order
	Descriptors  int               `json:"Files"` // descriptors that the parent limits itself to, not only for connections
	Sessions     int               `json:"Links"` // sessions that the parent limits itself to
}

// ParseHandoff reads a handoff. The error says why it can't be used. now is in Unix milliseconds.
func ParseHandoff(text []byte, now float64) (*Handoff, error) {
	h := &Handoff{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("parse handoff: %w", err)
	}
	switch {
	case h.Version != handoffVersion:
		return nil, fmt.Errorf("parse handoff: version %d expected, got %d", handoffVersion, h.Version)
	case !(h.CreatedAt <= now+maxHandoffAge && h.CreatedAt >= now-maxHandoffAge):
		return nil, fmt.Errorf("parse handoff: created %.0f ms ago, more than %v ms off", now-h.CreatedAt, maxHandoffAge)
	case h.Endpoints == nil || len(h.BackendNames) != len(h.Balancer.Backends) || h.Descriptors < 0 || h.Sessions < 0:
		return nil, errors.New("parse handoff: a field is missing or wrong")
	}
	h.Endpoints.Complete = true
	return h, nil
}

// buildHandoff returns the handoff of this process's current state.
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

// loadInitialEndpoints applies the list of the configuration, or the parent's if that is at least as new, and the state
// in the parent's handoff. Only one list is applied: the balancer would take a second one for discovery's, and not ask
// for it.
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

// applyHandoff restores the state of the parent's balancer in this process's.
func (m *StateMachine) applyHandoff(h *Handoff) error {
	restored := h.Balancer
	restored.Backends = nil
	for i, state := range h.Balancer.Backends {
		if backend := m.endpoints.byName[h.BackendNames[i]]; backend != nil {
			state.ID = backend.id
			restored.Backends = append(restored.Backends, state)
		}
	}
	if err := m.balancer().Restore(m.now, &restored); err != nil {
		return err
	}
	m.log("restored the handoff of the parent process", "age ms", math.Round(m.now-h.CreatedAt), "backends",
		len(restored.Backends))
	return nil
}

// updateSiblings handles a change of which other processes of this relay are alive.
func (m *StateMachine) updateSiblings(e SiblingProcessesChanged) {
	if e.HasChild != m.siblings.hasChild {
		m.log("child process", "alive", e.HasChild)
		m.siblings.hasChild = e.HasChild
		m.balancer().SetDraining(e.HasChild) // the child uses the slow-start and retry budgets from here on
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
		m.startWatch() // the sibling's drains are kept until discovery sends the whole list to this process
	}
	if e.HasChild && e.WantsHandoff {
		m.effects.add(&SendHandoff{Handoff: m.buildHandoff()})
	}
}

// applySiblingEndpoints applies the sibling's endpoint list where it is stricter than this process's: backends that are
// to get no new sessions, or have restarted. Discovery may notify one of the two processes later, but an operator who
// drains a backend sees both as one relay.
func (m *StateMachine) applySiblingEndpoints(update *EndpointUpdate) {
	if !m.siblings.hasSibling() {
		return
	}
	siblingEndpoints := map[string]Endpoint{}
	for _, endpoint := range update.Endpoints {
		siblingEndpoints[endpoint.Name] = endpoint
	}
	wasDrained := m.siblings.drained
	m.siblings.drained = map[string]bool{}
	var changed []Endpoint
	for _, backend := range m.endpoints.inOrder {
		endpoint, isListed := siblingEndpoints[backend.Name]
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

// TransferredSession is an established session on its way from the parent process to the child. The two may run
// different versions of the program, so everything is referred to by name, and the child refuses names that it doesn't
// know.
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
	PartialLine     []byte  `json:"Tail"`   // start of a line whose end the backend has not sent yet
	AwaitsReply     bool    `json:"Waits"`  // a line of the client is waiting for its reply
	LeavesInMillis  float64 `json:"Leaves"` // milliseconds until it is migrated, as its backend drains; -1: it stays
	Descriptors     int     `json:"Files"`  // descriptors that the parent limits itself to from now on
	Sessions        int     `json:"Links"`  // sessions that the parent limits itself to from now on
	ConfirmsRelease bool    `json:"Frees"`  // the parent confirms when it has closed its own descriptors

	// Times in milliseconds; 0: the parent's version does not tell.
	ReplyInMillis        float64 `json:"ReplyIn,omitempty"`  // left for the reply, if AwaitsReply
	IdleInMillis         float64 `json:"IdleIn,omitempty"`   // left for the client's next data
	BackendDataAgoMillis float64 `json:"HeardAgo,omitempty"` // since the backend last sent data on any session
}

// minTransferredTime is the shortest time in milliseconds that is transferred, as 0 means that it is not told.
const minTransferredTime = 1.0

// requestTransfer asks the driver to send the session to the child when its sockets allow it.
func (m *StateMachine) requestTransfer(session *session) {
	m.effects.add(&TransferSession{ClientConn: session.clientConn.id, BackendConn: session.backendConn.id})
}

// detach hands an established session to the driver for its transfer. Until finishTransfer, nothing that happens to it
// is acted on.
func (m *StateMachine) detach(connID uint64) {
	conn := m.conns.byID[connID]
	if conn == nil || conn.session.state != established || conn.session.endAnnounced {
		return
	}
	m.enter(conn.session, handingOff)
	m.effects.add(&SessionDetached{Conn: connID, Session: m.describeSession(conn.session)})
}

// describeSession returns what the child needs to know of a session.
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
		Descriptors:     descriptorsPerSession*remaining + m.conns.pollConns + m.limits.siblingReserve(),
		Sessions:        remaining,
		ConfirmsRelease: true,
	}
	t.Load, t.LoadMeasured = session.Entry.Session.Load()
	m.describeTimers(session, t)
	return t
}

// describeTimers tells what is left of the session's times, so that the child does not start them anew.
func (m *StateMachine) describeTimers(session *session, t *TransferredSession) {
	backend := session.backendConn.backend
	if t.AwaitsReply {
		t.ReplyInMillis = max(session.stateTimer.at-m.now, minTransferredTime)
	}
	t.IdleInMillis = max(session.clientConn.deadline.at-m.now, minTransferredTime)
	if backend.lastDataAt > 0 {
		t.BackendDataAgoMillis = max(m.now-backend.lastDataAt, minTransferredTime)
	}
	if backend.condition != balancer.Ready && session.migrationTimer.isSet() {
		t.LeavesInMillis = max(session.migrationTimer.at-m.now, 0)
	}
}

// finishTransfer handles the result of a transfer: the child has the session, or it stays here.
func (m *StateMachine) finishTransfer(connID uint64, accepted bool) {
	conn := m.conns.byID[connID]
	if conn == nil || conn.session.state != handingOff {
		return
	}
	session := conn.session
	m.enter(session, established)
	if accepted {
		m.endSession(session, TransferredToChild, gracefully) // the driver no longer has its sockets
	} else if session.brokeInTransfer {
		m.endSession(session, BackendClosed, byReset)
	}
}

// receiveSession takes over an established session of the parent, together with its share of the limits. A session that
// refers to something not known here is refused; SessionAccepted does not follow then.
func (m *StateMachine) receiveSession(connID uint64, t *TransferredSession) {
	if m.lifecycle.stopping || !m.canReceive(t) {
		m.log("refused a session of the parent process", "version", t.Version, "class", t.Class,
			"backend", t.Backend)
		return
	}
	if !m.takeOverLimits(t) {
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
	session.backendConn = m.addConn(&connection{id: m.conns.nextDialedID(), backend: backend, session: session, isConnected: true})
	session.backendConn.input.Restore(t.PartialLine)
	m.addSession(session, t.ID)
	m.balancer().SessionReceived(m.now, &session.Entry.Session, backend.id, t.Load, t.LoadMeasured)
	m.addEstablished(session)
	m.resumeTimers(session, t)
	m.effects.add(&SessionAccepted{Conn: connID, BackendConn: session.backendConn.id})
}

// canReceive reports whether a session of the parent is valid, and everything that it refers to is known here.
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

// takeOverLimits lowers the parent's share of the limits to what the parent needs without the session, and reports
// whether the session fits into this process's share. If the parent kept its initial share, this process could not
// accept clients while the parent waits for its last attempts. A session that would leave no room for new clients is
// refused: it stays at the parent, which migrates it.
func (m *StateMachine) takeOverLimits(t *TransferredSession) bool {
	handoff := m.siblings.handoff
	if handoff == nil {
		return true
	}
	descriptors, sessions := handoff.Descriptors, handoff.Sessions
	handoff.Descriptors = min(descriptors, max(t.Descriptors, 0))
	handoff.Sessions = min(sessions, max(t.Sessions, 0))
	m.shareLimits()
	if !m.limits.isExceededBy(m.queue.sessions+1, m.conns.pollConns) && m.queue.sessions < m.limits.ownSessions {
		return true
	}
	handoff.Descriptors = descriptors
	handoff.Sessions = sessions
	m.shareLimits()
	return false
}

// resumeTimers sets the timers that a received session had at the parent. If the parent has not scheduled its migration,
// a drain of its backend does. A drain of this relay migrates it no later than the drain allows.
func (m *StateMachine) resumeTimers(session *session, t *TransferredSession) {
	if t.AwaitsReply {
		m.timers.set(&session.stateTimer, m.now+remainingTime(t.ReplyInMillis, replyTimeout))
	}
	m.timers.set(&session.clientConn.deadline, m.now+remainingTime(t.IdleInMillis, clientIdleTimeout))
	if t.LeavesInMillis >= 0 {
		m.timers.set(&session.migrationTimer, m.now+t.LeavesInMillis)
	}
	backend := session.backendConn.backend
	if t.BackendDataAgoMillis > 0 {
		backend.lastDataAt = max(backend.lastDataAt, m.now-t.BackendDataAgoMillis)
	}
	m.scheduleMigration(backend, session, len(backend.sessions)-1)
	if m.lifecycle.drainRequested {
		m.migrateBy(session, max(m.now, m.migrationTime(0, 1)))
	}
}

// remainingTime returns how many milliseconds are left of a timeout, of which the parent has told that many are left. The
// whole timeout is left if it has told nothing, or more than there can be.
func remainingTime(told, timeout float64) float64 {
	if told > 0 && told < timeout {
		return told
	}
	return timeout
}
