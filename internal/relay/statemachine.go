// Package relay is the program's core: the decision module on sockets.
//
// This file owns all state of the relay and every change of it: Take is told one event with its time and
// returns the effects that follow. It must never touch a socket, a clock or a log, start anything that runs
// beside it, or decide what the module decides. What a link does until it stands is here; standing.go and
// backends.go hold the rest of the same reducer.
package relay

import (
	"container/heap"
	"fmt"
	"math"
	"strconv"

	"valeshift/balancer"
	"valeshift/internal/admin"
	"valeshift/internal/dispatch"
	"valeshift/internal/hotrestart"
	"valeshift/internal/protocol"
	"valeshift/internal/settings"
)

const (
	firstDialedID         = 1 << 63 // connections from this number on are the relay's own; below, clients'
	requestTimeout        = 1500.0  // for a client's head to begin, pings or none: against silent ones holding sockets
	slowRequestTimeout    = 2700.0  // from when it came, for one that has begun: clients may take two seconds to write it
	maxPings              = 16      // before it
	evictionGrace         = 30.0    // left to a client without a head, however many there are
	awaitingDivisor       = 8       // one in so many descriptors may be held by those, beyond which one is let go
	maxWaitFactor         = 10      // times its category's hard limit, above which a client's wait is nonsense
	errorLogInterval      = 1000.0  // between two notes of clients turned away: against a flood of them filling the log
	answerMargin          = 10.0    // taken off a client's wait, so that the answer is there before it gives up
	minWait               = 1.0     // of waits
	spareDescriptors      = 32      // descriptors kept for the listener, the polls, the watch and dials
	minAwaiting           = 4       // no fewer than so many may have no head yet
	descriptorsPerSession = 2
	reestablishTimeout    = 38000.0 // for a link that stood before the start; it is lost two seconds later
	reestablishInterval   = 500.0
	readyTimeout          = 1000.0 // after which the relay serves on the list it was started with
)

// timer fires once when its time has come.
type timer struct {
	at       float64
	position int // in the heap, from 1; 0: not armed
	fire     func()
}

type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i]; t[i].position, t[j].position = i+1, j+1 }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(*timer)); x.(*timer).position = len(*t) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last], *t = nil, (*t)[:last]
	x.position = 0
	return x
}

// connection is one open connection, or one being dialed.
type connection struct {
	id           uint64
	session      *session
	backend      *backend // that it goes to; nil: a client's
	isUp         bool     // a backend's
	awaitsMarker bool     // a backend's: it is up, and its head waits for others to hold that it goes out
	pings        int
	acceptedAt   float64 // a client's: when it came; a backend's: its start, as it was told at the choice
	lastDataAt   float64 // and when it last brought anything of its head
	input        protocol.LineSplitter
	deadline     timer
}

// StateMachine is the state of one relay.
type StateMachine struct {
	Counters
	answers    []answerCounts // by category
	dispatcher *dispatch.Dispatcher[*session]
	now        float64

	effects             effectBuffer // of the event that is being handled
	returned            effectBuffer // of the one before, good until the end of the next
	timers              timerHeap
	timerSetFor         float64
	conns               map[uint64]*connection
	sessions            int // from their heads to their ends
	pollConns           int // connections of no client and no link: probes
	maxDescriptors      int // sockets of this process, or of both where there are two
	reservedDescriptors int // descriptors of each beside those
	ownDescriptors      int // of files, for this process
	sessionDescriptors  int // of those, for links
	acceptPaused        bool
	awaiting            []*connection // clients without a head, in the order they came, and some that are over
	awaitingCount       int           // how many have none
	evictionTimer       timer         // until the oldest of them may be let go
	sessionsByID        map[string]*session
	nextErrorLogAt      float64 // from when clients turned away may be noted again
	lastDialedID        uint64

	classes, tenants, zones       map[string]int
	reportFields                  []string // of a load report
	reportsInAnswers              bool     // come with answers
	canCancel                     bool
	maxRetryAfter, connectTimeout float64 // the longest wait a client follows; for a backend to be up
	ownSessions                   int
	maxSessions                   int       // of both processes, where there are two
	hardLimits                    []float64 // hard limit, by category
	longestHardLimit              float64   // of them

	backends             map[string]*backend
	backendsByID         map[uint32]*backend
	backendOrder         []*backend // as they came, so that one seed gives one order of effects
	discoveryAddress     string     // address of discovery
	awaitsNewDiscovery   bool       // that is new, and has not told the list yet
	renewTimer           timer
	endpointsIndex       uint64
	watchedAfter         uint64 // the version that the watch was asked from
	watchID              uint64 // number of the watch, or 0
	lastWatchID          uint64
	watchTimer           timer
	watchAnswered        bool // the watch has brought something
	isReady              bool
	readyTimer           timer
	endpointsReceived    bool    // the list, by discovery
	endpointsConfirmed   bool    // or that the one it has holds still
	discoveryHeardAt     float64 // from it, last
	recovering           bool
	replicationEnabled   bool
	affinityReplicated   bool
	markerRetention      float64 // beyond a link's hard limit, that others hold a mark; 0: none
	nonIdempotent        []bool  // by category: what a setup try does may not simply be done again
	clockAhead           float64 // of the fleet's clock, ms
	discoveryClockOffset float64 // what discovery's clock was ahead of this relay's, as last told; NaN: never

	illegalTransitions int // changes of a session's state that sessionTransitions does not list

	stopping       bool
	siblingDrained map[string]bool // servers that another process was told are to get nothing new
	draining       bool            // emptied, but not to stop
	drainStartedAt float64         // when either began
	drainTimer     timer
	exiting        bool

	hasParent, hasChild bool     // another process of this relay, beside this one
	yieldedToChild      bool     // to the younger: no client is taken any more
	handoff             *Handoff // by the elder
}

// New builds the relay's state from what it is told.
func New(now float64, t *Config) (*StateMachine, error) {
	balancer, err := settings.NewReader(t.Settings).BuildBalancer(t.Seed)
	if err != nil {
		return nil, err
	}
	return NewWithBalancer(now, t, balancer)
}

// NewWithBalancer does so on a module that is made already.
func NewWithBalancer(now float64, t *Config, balancer dispatch.Balancer) (*StateMachine, error) {
	if t.MaxReportAgeMillis > 0 {
		balancer.SetMaxReportAge(t.MaxReportAgeMillis)
	}
	p := settings.NewReader(t.Settings)
	m := &StateMachine{now: now, discoveryClockOffset: math.NaN(), timerSetFor: math.Inf(1), conns: map[uint64]*connection{},
		sessionsByID: map[string]*session{}, lastDialedID: firstDialedID, classes: p.RecordIndexes("categories"), tenants: p.RecordIndexes("parties"),
		zones: p.ListIndexes("localities"), reportFields: p.ReportFields(), reportsInAnswers: p.Text("stats.how") == "answers",
		canCancel:     p.Text("limits.may-cancel") != "false",
		maxRetryAfter: p.MaxRetryAfter(), connectTimeout: p.Float("limits.connect-timeout-ms"),
		discoveryAddress: t.Discovery,
		maxDescriptors:   math.MaxInt, maxSessions: int(p.FloatOr("limits.most-held", math.MaxInt32)),
		hasParent: t.HasParent, handoff: t.Handoff,
		backends: map[string]*backend{}, backendsByID: map[uint32]*backend{}}
	for i := range p.Count("categories.count") {
		m.hardLimits = append(m.hardLimits, p.Float("categories."+strconv.Itoa(i)+".hard-limit-ms"))
		m.longestHardLimit = max(m.longestHardLimit, m.hardLimits[i])
		m.nonIdempotent = append(m.nonIdempotent, p.Text("categories."+strconv.Itoa(i)+".effect") != "idempotent")
	}
	m.answers = make([]answerCounts, len(m.hardLimits))
	if t.MaxSockets > 0 {
		m.reservedDescriptors = spareDescriptors
		m.reservedDescriptors += t.ReservedDescriptors
		if t.AdminAddress != "" {
			m.reservedDescriptors += admin.MaxDescriptors
		}
		if m.maxDescriptors = t.MaxSockets - m.reservedDescriptors; m.maxDescriptors-max(m.maxDescriptors/awaitingDivisor, minAwaiting) < descriptorsPerSession {
			return nil, fmt.Errorf("limits.sockets: %d or more expected, got %d",
				m.reservedDescriptors+minAwaiting+descriptorsPerSession, t.MaxSockets)
		}
	}
	m.shareLimits()
	if err := p.Err(); err != nil {
		return nil, err
	}
	m.dispatcher = dispatch.NewDispatcher(balancer, m)
	m.loadInitialEndpoints(t.InitialEndpoints)
	if p.Text("discovery") == "automatic" {
		m.startWatch()
	}
	m.watchTimer.fire = m.watchTimedOut
	m.renewTimer.fire = m.Subscribe
	m.readyTimer.fire = m.becomeReady
	m.evictionTimer.fire = func() {} // the gate looks anyway
	if m.hasParent {
		m.setTimer(&m.readyTimer, now+childReadyTimeout)
	} else {
		m.setTimer(&m.readyTimer, now+readyTimeout)
	}
	return m, nil
}

// CheckConfig tells whether a relay could start from what it is told.
func CheckConfig(t *Config) error {
	if t.SocketFD > 0 {
		if err := hotrestart.CheckListener(t.SocketFD); err != nil {
			return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
		}
	}
	_, err := New(0, t)
	return err
}

// Handle takes one event at the time now, Unix milliseconds, and returns the effects that follow, in order. They may be
// read until the next call.
func (m *StateMachine) Handle(now float64, event Event) []Effect {
	if len(m.timers) > 0 && now > m.timers[0].at+suspendThreshold {
		m.resumeAfterSuspend(now)
	}
	m.now = now
	m.dispatch(event)
	m.fireTimers()
	if m.endpointsReceived && !m.isReady && (!m.hasParent || m.dispatcher.Balancer.IsReady(now)) {
		m.becomeReady()
	}
	wake := m.dispatcher.Advance(now)
	m.limitIntake()
	if m.stopping && (m.yieldedToChild || now >= m.drainStartedAt+drainGrace) && m.isIdle() {
		m.exit()
	}
	m.scheduleWake(wake)
	return m.takeEffects()
}

// dispatch hands the event to the part that it concerns.
func (m *StateMachine) dispatch(event Event) {
	switch e := event.(type) {
	case TimerFired:
		m.timerSetFor = math.Inf(1)
	case ConnAccepted:
		m.acceptClient(e.Conn)
	case ConnEstablished:
		m.connEstablished(e)
	case DataReceived:
		m.dataReceived(e)
	case ConnClosed:
		m.connClosed(e)
	case EndpointsUpdated:
		m.endpointsUpdated(e)
	case WatchHeartbeat:
		m.watchHeartbeat(e)
	case WatchFailed:
		m.watchEnded(e)
	case ShutdownRequested:
		m.shutDown(e.YieldToChild)
	case DrainRequested:
		m.setDraining(e.On)
	case ConfigReloaded:
		m.reloadConfig(e)
	case ProcessExiting:
		m.finishDrain()
	case SiblingProcessesChanged:
		m.updateSiblings(e)
	case SiblingEndpointsUpdated:
		m.applySiblingEndpoints(e.Update)
	case DetachRequested:
		m.detach(e.Conn)
	case SessionTransferred:
		m.finishTransfer(e.Conn, e.Accepted)
	case SessionReceived:
		m.receiveSession(e.Conn, e.Session)
	case StateRestored:
		m.restore(e.Snapshot)
	case IncarnationChanged:
		m.dispatcher.Balancer.AssumeRetriesSpent(m.now)
	case RecoveryChanged:
		m.setRecovering(e.Recovering, e.CapacityShare)
	case ClockSkewMeasured:
		m.setClockAhead(e.AheadMillis)
	case ZoneWeightsChanged:
		m.setZoneWeights(e.Weights)
	case RemoteLoadChanged:
		m.dispatcher.Balancer.SetRemoteLoad(e.Load)
	case ReplicationEnabled:
		m.enableReplication(e)
	case RecordReplicated:
		m.recordReplicated(e.Conn, e.Replicated)
	case RecordFound:
		m.recordFound(e)
	}
}

// fireTimers calls what is due by now, in the order of its times.
func (m *StateMachine) fireTimers() {
	for len(m.timers) > 0 && m.timers[0].at <= m.now {
		heap.Pop(&m.timers).(*timer).fire()
	}
}

// scheduleWake has TimerFired come when the first timer is due, or at wake if that is sooner.
func (m *StateMachine) scheduleWake(wake float64) {
	if len(m.timers) > 0 {
		wake = min(wake, m.timers[0].at)
	}
	if wake < m.timerSetFor {
		m.timerSetFor = wake
		m.effects.setTimer(wake)
	}
}

// takeEffects hands out what was collected, and takes the buffer of the call before for what comes next.
func (m *StateMachine) takeEffects() []Effect {
	m.effects, m.returned = m.returned, m.effects
	m.effects.clear()
	return m.returned.list
}

// maxAwaiting is how many clients without a head may be there: what links can never take.
func (m *StateMachine) maxAwaiting() int { return max(m.ownDescriptors/awaitingDivisor, minAwaiting) }

// evictionCandidate is the client without a head that is let go first: those that have begun none before those that
// have, and of each whoever has brought nothing for longest. Against a crowd that connects and idles, or
// stops half way, pushing out one that writes its head slowly.
func (m *StateMachine) evictionCandidate() (pick *connection) {
	for _, conn := range m.awaiting {
		switch {
		case m.now < conn.acceptedAt+evictionGrace:
			return pick // so are all that came later
		case conn.session.state != awaitingRequest:
		case pick == nil || (pick.input.HasPending() && !conn.input.HasPending()) ||
			(pick.input.HasPending() == conn.input.HasPending() && conn.lastDataAt < pick.lastDataAt):
			pick = conn
		}
	}
	return pick
}

// limitIntake lets go of clients that have said nothing for longest where there are too many, and lets others wait
// to be accepted meanwhile. Against silent ones taking the descriptors that links need; and against breaking
// one whose head may be on its way: it is told to come again.
func (m *StateMachine) limitIntake() {
	crowded := func() bool { return m.awaitingCount > m.maxAwaiting() || len(m.conns) >= m.ownDescriptors }
	for crowded() {
		conn := m.evictionCandidate()
		if conn == nil {
			if len(m.awaiting) > 0 {
				m.setTimer(&m.evictionTimer, m.awaiting[0].acceptedAt+evictionGrace)
			}
			break
		}
		m.rejectClient(conn.session, Evicted, m.busyAnswer())
	}
	full := crowded() || m.yieldedToChild || (m.hasParent && !m.isReady)
	if full != m.acceptPaused {
		m.acceptPaused = full
		if full {
			m.AcceptPauses++
			m.effects.add(&PauseAccept{})
		} else {
			m.effects.add(&ResumeAccept{})
		}
	}
}

func (m *StateMachine) log(text string, args ...any) {
	m.effects.add(&Log{Message: text, Args: args})
}

func (m *StateMachine) write(conn *connection, data []byte) {
	m.effects.write(conn.id, data)
}

func (m *StateMachine) setTimer(t *timer, at float64) {
	t.at = at
	if t.position > 0 {
		heap.Fix(&m.timers, t.position-1)
	} else {
		heap.Push(&m.timers, t)
	}
}

func (m *StateMachine) stopTimer(t *timer) {
	if t.position > 0 {
		heap.Remove(&m.timers, t.position-1)
	}
}

func (m *StateMachine) addConn(conn *connection) *connection {
	m.conns[conn.id] = conn
	if conn.session == nil {
		m.pollConns++
	}
	m.OpenConns = len(m.conns)
	m.MaxOpenConns = max(m.MaxOpenConns, m.OpenConns)
	return conn
}

// closeMode is how a connection is ended.
type closeMode uint8

const (
	gracefully closeMode = iota // once all that was written is sent
	byReset                     // at once
)

// dropConn ends a connection. Whatever comes of it later is dropped.
func (m *StateMachine) dropConn(conn *connection, how closeMode) {
	if m.conns[conn.id] == nil {
		return
	}
	m.stopTimer(&conn.deadline)
	delete(m.conns, conn.id)
	if conn.session == nil {
		m.pollConns--
	}
	m.OpenConns = len(m.conns)
	if how == byReset {
		m.effects.reset(conn.id)
	} else {
		m.effects.close(conn.id)
	}
}

// dial starts a connection to the backend; session is nil for one that polls it.
func (m *StateMachine) dial(backend *backend, session *session) *connection {
	m.lastDialedID++
	conn := m.addConn(&connection{id: m.lastDialedID, backend: backend, session: session, acceptedAt: backend.StartedAt})
	forClient := uint64(0)
	if session != nil && session.clientConn != nil {
		forClient = session.clientConn.id
	}
	m.effects.dial(conn.id, forClient, backend.Address)
	return conn
}

func (m *StateMachine) acceptClient(connID uint64) {
	m.Accepted++
	session := &session{}
	m.enter(session, awaitingRequest)
	conn := m.addConn(&connection{id: connID, session: session, acceptedAt: m.now, lastDataAt: m.now})
	session.clientConn = conn
	m.awaitingCount++
	m.awaiting = append(m.awaiting, conn)
	conn.deadline.fire = func() {
		if conn.input.HasPending() && m.now < conn.acceptedAt+slowRequestTimeout {
			m.setTimer(&conn.deadline, conn.acceptedAt+slowRequestTimeout)
			return
		}
		m.rejectClient(session, RequestTimedOut, errorAnswer)
	}
	m.setTimer(&conn.deadline, m.now+requestTimeout)
}

// stopAwaiting takes that the client has a head now, or is over without one. The first of mute is without.
func (m *StateMachine) stopAwaiting(session *session, then sessionState) {
	m.enter(session, then)
	m.awaitingCount--
	for len(m.awaiting) > 0 && m.awaiting[0].session.state != awaitingRequest {
		m.awaiting = m.awaiting[1:]
	}
}

// connEstablished takes that a connection that was dialed is up.
func (m *StateMachine) connEstablished(e ConnEstablished) {
	conn := m.conns[e.Conn]
	if conn == nil {
		return
	}
	switch session := conn.session; {
	case session == nil:
		m.pollConnEstablished(conn)
	case session.state == handingOff:
	case session.state == established: // it has answered already: the connection is not what it was
		m.backendClosed(session, ConnClosed{})
	default:
		m.sendRequest(session)
	}
}

// dataReceived takes bytes of a connection.
func (m *StateMachine) dataReceived(e DataReceived) {
	conn := m.conns[e.Conn]
	if conn == nil {
		return
	}
	switch session := conn.session; {
	case session == nil:
		m.receivePollAnswer(conn, e.Data)
	case session.state == handingOff:
	case conn.backend == nil:
		m.receiveFromClient(session, e.Data)
	case session.state == established:
		m.forwardToClient(session, e.Data)
	default:
		m.receiveAnswer(session, e.Data)
	}
}

// connClosed takes the end of a connection.
func (m *StateMachine) connClosed(e ConnClosed) {
	conn := m.conns[e.Conn]
	if conn == nil {
		return
	}
	// The socket may still be open on this side, after the other has ended its sending.
	m.dropConn(conn, gracefully)
	switch session := conn.session; {
	case session == nil:
		m.failPoll(conn.backend)
	case session.state == handingOff:
		session.brokeInTransfer = true
	case conn.backend == nil:
		m.clientClosed(session, e)
	case session.state == established:
		m.backendClosed(session, e)
	case !conn.isUp || e.Unsent:
		m.finishAttempt(session, ConnectFailed)
	default:
		m.finishAttempt(session, ClosedBeforeAnswer)
	}
}

func (m *StateMachine) receiveFromClient(session *session, data []byte) {
	for session.state == awaitingRequest {
		line, rest, err := session.clientConn.input.Next(data)
		if err != nil {
			m.rejectClient(session, LineTooLong, errorAnswer)
			return
		}
		if line == nil {
			session.clientConn.lastDataAt = m.now
			return
		}
		data = rest
		switch {
		case string(protocol.TrimLineEnd(line)) == "PING":
			m.answerPing(session)
		case len(data) > 0: // a client waits after its head: this one is none, and no backend sees any of it
			m.rejectClient(session, UnexpectedData, errorAnswer)
		default:
			m.startSession(session, line)
		}
	}
	switch {
	case len(data) == 0 || session.state == finished:
	case session.state == established:
		m.forwardToBackend(session, data)
	default:
		m.RequestErrors[UnexpectedData]++
		m.answers[session.Class].failed++
		conn := session.clientConn
		m.write(conn, []byte(errorAnswer))
		m.clientClosed(session, ConnClosed{})
		m.dropConn(conn, gracefully)
	}
}

func (m *StateMachine) answerPing(session *session) {
	conn := session.clientConn
	if conn.pings++; conn.pings > maxPings {
		m.rejectClient(session, TooManyPings, errorAnswer)
		return
	}
	m.Pings++
	switch {
	case (m.stopping || m.draining) && !m.yieldedToChild:
		m.write(conn, []byte(errorAnswer))
	case m.isReady:
		m.write(conn, []byte("PONG\r\n"))
	}
}

// becomeReady answers those that asked before the relay could serve.
func (m *StateMachine) becomeReady() {
	if m.isReady {
		return
	}
	m.isReady = true
	m.stopTimer(&m.readyTimer)
	m.effects.add(&AnnounceReady{})
	for _, conn := range m.clientConns() {
		if conn.session.state == awaitingRequest {
			for range conn.pings {
				m.write(conn, []byte("PONG\r\n"))
			}
		}
	}
}

// rejectClient answers a client that has no link.
func (m *StateMachine) rejectClient(session *session, why RequestError, text string) {
	m.RequestErrors[why]++
	if m.now >= m.nextErrorLogAt {
		m.nextErrorLogAt = m.now + errorLogInterval
		m.log("client turned away", "why", why.String(), "so many", m.RequestErrors[why])
	}
	m.stopAwaiting(session, finished)
	m.write(session.clientConn, []byte(text))
	m.dropConn(session.clientConn, gracefully)
}

const errorAnswer = "ERR\r\n"

// busyAnswer has a client come again later, where it may be told when.
func (m *StateMachine) busyAnswer() string { return formatBusy(m.maxRetryAfter) }

func formatBusy(wait float64) string {
	if wait > 0 {
		return "BUSY " + strconv.FormatInt(int64(wait), 10) + "\r\n"
	}
	return "BUSY\r\n"
}

// startSession takes a link in, once its head has been judged whole: against work and wrong blame at a backend that
// closes on what it can't use. It is copied, as read buffers are used again, and read in that copy.
func (m *StateMachine) startSession(session *session, line []byte) {
	head, err := protocol.ParseRequest(append([]byte(nil), line...))
	if err != nil {
		m.rejectClient(session, MalformedRequest, errorAnswer)
		return
	}
	category, known := m.classes[string(head.Class)]
	party, named := m.tenants[string(head.Tenant)]
	switch {
	case !known || (!named && len(head.Tenant) > 0 && len(m.tenants) > 0):
		m.rejectClient(session, UnknownName, errorAnswer)
		return
	case len(head.StickyBackend) == 0 && head.Timeout > maxWaitFactor*m.hardLimits[category]:
		m.answers[category].failed++
		m.rejectClient(session, MalformedRequest, errorAnswer)
		return
	case m.sessionsByID[string(head.ID)] != nil:
		m.answers[category].failed++
		m.rejectClient(session, DuplicateID, errorAnswer)
		return
	}
	session.request = head
	session.Class, session.Key, session.AffinityGroup = category, head.Key, head.AffinityGroup
	session.LoadHint = head.LoadHint * 1000
	session.Deadline = m.now + max(min(head.Timeout, m.hardLimits[category])-answerMargin, minWait)
	if session.Tenant = party; !named {
		session.Tenant = len(m.tenants) // one without a share
	}
	m.Requests++
	m.sessions++
	session.id = string(head.ID)
	m.sessionsByID[session.id] = session
	m.stopTimer(&session.clientConn.deadline)
	m.stopAwaiting(session, queued)
	switch {
	case m.exiting:
		// Against a request that nobody is left to see through to its answer.
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.maxRetryAfter})
	case len(head.StickyBackend) > 0:
		m.reestablish(session)
	case m.isShortOfDescriptors() || m.sessions > m.ownSessions:
		// Against running out of descriptors in mid-flow: nothing was sent, so trying again is harmless. A link
		// that waits for a server counts with the connection that it will have: else those held take all there
		// are once they go on, and whoever comes then waits to be accepted until its time is up.
		m.Execute(session, balancer.Decision{Kind: balancer.Reject, Wait: m.maxRetryAfter})
	default:
		if m.lookUpReservation(session); !m.lookUpAttempts(session) {
			m.dispatcher.Assign(m.now, session)
		}
	}
}

// isShortOfDescriptors tells whether links and probes come to more descriptors than there are for them.
func (m *StateMachine) isShortOfDescriptors() bool {
	return descriptorsPerSession*m.sessions+m.pollConns > m.sessionDescriptors
}

// Execute does what the module answered.
func (m *StateMachine) Execute(session *session, a balancer.Decision) {
	switch a.Kind {
	case balancer.Assign:
		m.startAttempt(session, m.backendsByID[a.Backend], a.Timeout)
	case balancer.Reject:
		m.Rejected++
		m.answers[session.Class].refused++
		if !m.replicateRejection(session, a.Wait) {
			m.sendFinalAnswer(session, formatBusy(a.Wait))
		}
	case balancer.Fail:
		m.Failed++
		m.answers[session.Class].failed++
		m.sendFinalAnswer(session, errorAnswer)
	}
}

// sendFinalAnswer gives the final answer of a link that doesn't stand.
func (m *StateMachine) sendFinalAnswer(session *session, text string) {
	m.removeSession(session)
	if session.clientConn != nil {
		m.write(session.clientConn, []byte(text))
		m.dropConn(session.clientConn, gracefully)
	}
}

func (m *StateMachine) removeSession(session *session) {
	if session.state != finished && session.state != awaitingRequest {
		m.sessions--
		delete(m.sessionsByID, session.id)
	}
	m.enter(session, finished)
	m.dispatcher.Forget(session)
	m.stopTimer(&session.stateTimer)
	m.stopTimer(&session.migrationTimer)
}

func (m *StateMachine) startAttempt(session *session, backend *backend, timeout float64) {
	m.Attempts++
	m.enter(session, attempting)
	session.deadline = m.now + timeout
	m.dialForSession(session, backend, m.connectTimeout)
}

// dialForSession dials the backend for the link, which has to be up within that time.
func (m *StateMachine) dialForSession(session *session, backend *backend, within float64) {
	session.backendConn = m.dial(backend, session)
	session.backendConn.deadline.fire = func() { m.finishAttempt(session, ConnectFailed) }
	m.setTimer(&session.backendConn.deadline, min(m.now+within, session.deadline))
	m.replicateMarker(session)
}

func (m *StateMachine) sendRequest(session *session) {
	if m.awaitMarker(session) {
		return
	}
	conn := session.backendConn
	conn.isUp = true
	if session.state == attempting && (conn.backend.condition != balancer.Ready || conn.backend.StartedAt > conn.acceptedAt) {
		// Against a send to a backend that has begun to drain since it was chosen, or is cold by what was
		// told since: all that were chosen while it was held to be warm would come to it at once.
		m.finishAttempt(session, NotSent)
		return
	}
	wait := session.deadline - m.now
	if session.state == reestablishing {
		wait = session.request.Timeout
	}
	m.RequestsSent++
	m.effects.writeChunks(conn.id, session.request.EncodeWithTimeout(wait))
	conn.deadline.fire = func() { m.finishAttempt(session, AttemptTimedOut) }
	m.setTimer(&conn.deadline, session.deadline)
}

func (m *StateMachine) receiveAnswer(session *session, data []byte) {
	// Against what follows an answer in one piece being taken for the next try's.
	for conn := session.backendConn; session.backendConn == conn && session.state != established; {
		line, rest, err := conn.input.Next(data)
		if err != nil {
			m.finishAttempt(session, MalformedAnswer)
			return
		}
		if line == nil {
			return
		}
		data = rest
		verb, said := protocol.CutVerb(line)
		if m.reportsInAnswers && (string(verb) == "ERR" || string(verb) == "BUSY") {
			m.recordReport(conn.backend, said)
		}
		switch string(verb) {
		case "UP":
			m.establish(session, line)
		case "LOAD":
		case "BUSY":
			m.finishAttempt(session, BackendBusy)
		case "ERR":
			m.finishAttempt(session, BackendError)
		case "MOVE":
			m.finishAttempt(session, BackendMovedClient)
		default:
			m.finishAttempt(session, MalformedAnswer)
		}
	}
	if session.state == established && len(data) > 0 {
		m.forwardToClient(session, data)
	}
}

// finishAttempt ends the setup try that is out and asks what follows.
func (m *StateMachine) finishAttempt(session *session, how EndReason) {
	m.EndReasons[how]++
	conn := session.backendConn
	session.backendConn = nil
	if conn.isUp {
		m.dropConn(conn, gracefully)
	} else {
		m.dropConn(conn, byReset)
	}
	if session.state == reestablishing {
		m.retryReestablish(session)
		return
	}
	if !conn.isUp || how.outcome().IsUnprocessed() {
		m.releaseMarker(session)
	}
	m.enter(session, queued)
	gone := session.clientConn == nil
	if gone {
		m.removeSession(session)
	}
	m.dispatcher.AttemptFinished(m.now, session, how.outcome(), gone)
}

// clientClosed takes that the client has left.
func (m *StateMachine) clientClosed(session *session, e ConnClosed) {
	how, ending := gracefully, ClientClosed
	if e.SlowReader {
		how, ending = byReset, SlowReader
	} else if e.Reset {
		how, ending = byReset, ClientReset
	}
	conn := session.clientConn
	session.clientConn = nil
	switch session.state {
	case awaitingRequest:
		if conn.input.HasPending() {
			m.RequestErrors[IncompleteRequest]++
		}
		m.stopAwaiting(session, finished)
	case queued:
		m.Abandoned++
		m.dispatcher.Balancer.ClientDisconnected(&session.Entry.Session)
		m.removeSession(session)
	case replicating, lookingUp:
		m.Abandoned++
		m.removeSession(session)
	case reestablishing:
		m.Abandoned++
		if session.backendConn != nil {
			m.dropConn(session.backendConn, how)
		}
		m.removeSession(session)
	case attempting:
		m.Abandoned++
		m.dispatcher.Balancer.ClientDisconnected(&session.Entry.Session)
		if m.canCancel || !session.backendConn.isUp {
			m.finishAttempt(session, ClientReset)
		}
	case established:
		m.endSession(session, ending, how)
	}
}
