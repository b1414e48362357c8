package balancer

import (
	"math"
	"math/rand"
	"slices"

	"valeshift/internal/admission"
)

// Idempotency says what a second run of a link would do.
type Idempotency uint8

// Idempotent may run again; referenced has a mark by which a repeat is known; single-use never runs twice.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// DeduplicationScope names the servers that drop repeats of a referenced link.
type DeduplicationScope uint8

// The scopes, widest first.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// EndpointState is what the list says of a server.
type EndpointState uint8

// The conditions of the list.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// AttemptOutcome is how a setup try, or the link that it set up, ended.
type AttemptOutcome uint8

// The outcomes.
const (
	OutcomeSucceeded AttemptOutcome = iota
	OutcomeFailed
	OutcomeRejected
	OutcomeTimedOut
	OutcomeUnreachable
	OutcomeConnectionLost
	OutcomeCanceled
	OutcomeNotSent
)

// IsUnprocessed tells whether the outcome proves that nothing ran.
func (o AttemptOutcome) IsUnprocessed() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotSent
}

// Class is what the settings say of one kind of link.
type Class struct {
	LatencyObjective, DeduplicationWindow, PriorityWeight float64
	Idempotency                                           Idempotency
	Scope                                                 DeduplicationScope
}

// Session is one client's connection, from its arrival until its end. The caller fills the first block.
type Session struct {
	Class, Tenant      int
	Key, AffinityGroup uint64
	Deadline           float64 // clock time by which its final answer is due
	LoadHint           float64 // load expected, microseconds of work a second; 0 where unknown

	load                  float64 // what it is held to weigh on its server now
	backend               int     // of its latest setup try
	attempts              int
	attemptedAt           float64 // clock time of the latest setup try
	arrivedAt             float64 // clock time of the first question about it
	executedBackend       int     // the server of the first setup try that may have run, or -1
	earlierAttempt        int     // 1: a try of its client's before it may have run, as ran then tells
	executedAt            float64
	executedZone          int
	executedCell          int
	measured              bool // by a note
	known                 bool // to Place
	established, reserved bool
	clientGone            bool

	hash           uint64  // its own mark, where no group or key draws it
	preferred      int     // index of the server where it stood before, and one more; 0: not known
	warmingBackend int     // the cold server that it may go to, or -1
	onlyIfFull     bool    // only where no warm one has room
	slowStartGrant float64 // time of the budget of cold servers that its cold server took
	candidates     []int   // servers asked for it
	pollsUntil     float64 // clock time until which their answers are waited for, or 0
}

// DecisionKind is the kind of an answer.
type DecisionKind uint8

// NoDecision needs nothing more; Send, Reject and Fail are said at once; Hold means ask again after Wait.
const (
	NoDecision DecisionKind = iota
	Assign
	Queue
	Reject
	Fail
)

// Decision says what to do with a link.
type Decision struct {
	Kind    DecisionKind
	Backend uint32  // for Send
	Timeout float64 // for Send: when this setup try is given up
	Attempt int     // for Send: which of the link's setup tries this is, from 0
	Wait    float64 // for Hold: when to ask again; for Reject: when the client should come back (0: unsaid)
}

// Action says how long to wait, and what is to be sent now.
type Action struct {
	Wait      float64
	Backend   uint32
	Poll      bool
	Subscribe bool
}

type bucket struct {
	position float64
	backend  int
}

// RoundRobin is the table of buckets and the walk over it.
type RoundRobin struct {
	rng          *rand.Rand
	bucketCounts []int
	table        []bucket
	position     int
	builtAt      float64
	stale        bool

	sortBins   []int // for the sort, and what it sorts into
	sortBuffer []bucket
}

// sortTable orders the table by place and server. Places are spread evenly over 0 to 1, so they are dealt into as
// many bins as there are buckets, and only neighbours are left to be compared.
func (t *RoundRobin) sortTable() {
	n := len(t.table)
	t.sortBins = slices.Grow(t.sortBins[:0], n+1)[:n+1]
	clear(t.sortBins)
	bin := func(x bucket) int { return min(int(x.position*float64(n)), n-1) }
	for _, x := range t.table {
		t.sortBins[bin(x)+1]++
	}
	for i := 1; i <= n; i++ {
		t.sortBins[i] += t.sortBins[i-1]
	}
	t.sortBuffer = slices.Grow(t.sortBuffer[:0], n)[:n]
	for _, x := range t.table {
		i := bin(x)
		t.sortBuffer[t.sortBins[i]] = x
		t.sortBins[i]++
	}
	t.table, t.sortBuffer = t.sortBuffer, t.table
	for i := 1; i < n; i++ {
		x, j := t.table[i], i
		for ; j > 0 && (x.position < t.table[j-1].position || (x.position == t.table[j-1].position &&
			x.backend < t.table[j-1].backend)); j-- {
			t.table[j] = t.table[j-1]
		}
		t.table[j] = x
	}
}

// NewRoundRobin starts without a table.
func NewRoundRobin(chance *rand.Rand) *RoundRobin {
	return &RoundRobin{rng: chance, builtAt: math.Inf(-1), stale: true}
}

// EndpointSet is what the list has said. Figures stand in parallel arrays under a small dense index.
type EndpointSet struct {
	mustSubscribe bool
	watchTimeout  float64

	indexByID     map[uint32]int
	ids           []uint32
	states        []EndpointState
	zones         []int
	cells         []int
	startedAt     []float64
	inUpdate      []bool
	fullUpdate    bool
	listReceived  bool
	watchAt       float64
	watchFailures int
}

// NewEndpointSet takes whether the list must be asked for, and within what time it counts as asked.
func NewEndpointSet(asked bool, askWithin float64) *EndpointSet {
	if !asked {
		askWithin = math.Inf(1)
	}
	return &EndpointSet{mustSubscribe: asked, watchTimeout: askWithin, watchAt: math.Inf(1), indexByID: map[uint32]int{}}
}

// OutlierDetector tells which servers answer.
type OutlierDetector struct {
	consecutiveFailures []int  // failures in a row
	sessionsLost        []bool // one of our links on it broke while it was silent

	// How far what links went through there speaks against the server's word, from 0 to 1, the mean of all, and
	// until when both have faded.
	awaitsReport            []bool // links went badly there: its next report tells whether it says so
	evidence                []float64
	meanEvidence, decayedAt float64
}

// SlowStart is the budget of what a server just started is sent.
type SlowStart struct {
	initialCapacity, duration, overloadMultiple float64
	overloadSpan, relays                        float64

	startedAt   []float64 // when it started cold, or -Inf
	requestedAt float64   // when a link last asked for a cold server
}

// NewSlowStart takes the part of its capacity a server starts at, when it is warm, the multiple of its present
// capacity at which it falls and in what span, and how many relays send.
func NewSlowStart(from, length, multiple, span float64, relays int) *SlowStart {
	return &SlowStart{initialCapacity: from, duration: length, overloadMultiple: multiple, overloadSpan: span, relays: float64(relays)}
}

// LoadPoller asks servers for their load and keeps what they said.
type LoadPoller struct {
	enabled     bool
	cost        float64
	reportField int // of a report, that the load is read from
	// hasAbsoluteLoad loads are parts of a capacity, so that bounds on them mean something.
	hasAbsoluteLoad  bool
	unreportedLoads  []float64
	maxReportAge     float64 // that a report may be old
	unreportedTotal  float64 // the sum of fresh
	remoteUnreported float64 // load that the other relays placed and figures may not hold yet; below 0: not known

	loads             []float64 // NaN: no figure
	pollSentAt        []float64 // of the probe that is out, or NaN
	polledAt          []float64
	reportedAt        []float64
	selectionDraws    []float64      // in use where the part of the fleet in use is above it
	requested         []bool         // for a link
	requestQueue      []int          // of those wanted
	recentAssignments [][]assignment // links of this relay that the figure may not hold yet
}

// NewLoadPoller takes whether probes may be sent, the fee for one a link, and the names of the report's fields.
func NewLoadPoller(allowed bool, fee float64, fields []string) *LoadPoller {
	p := &LoadPoller{enabled: allowed, cost: fee, maxReportAge: defaultMaxReportAge, remoteUnreported: -1, reportField: math.MaxInt}
	for rank, name := range [...]string{"x0", "cpu", "active", "rps", "waiting", "x1", "avg_ms"} {
		if i := slices.Index(fields, name); i >= 0 {
			p.reportField, p.hasAbsoluteLoad = i, rank < 2
			break
		}
	}
	return p
}

// requestPoll has the server asked, unless that is done or its figure is new.
func (p *LoadPoller) requestPoll(s int, now float64) {
	if !p.requested[s] && math.IsNaN(p.pollSentAt[s]) && now >= p.reportedAt[s]+pollInterval {
		p.requested[s], p.requestQueue = true, append(p.requestQueue, s)
	}
}

// nextRequested takes the next that is wanted, or -1.
func (p *LoadPoller) nextRequested() int {
	if len(p.requestQueue) == 0 {
		return -1
	}
	s := p.requestQueue[len(p.requestQueue)-1]
	p.requestQueue, p.requested[s] = p.requestQueue[:len(p.requestQueue)-1], false
	return s
}

// startPoll notes that the server is asked now.
func (b *Balancer) startPoll(now float64, s int) Action {
	b.poller.polledAt[s], b.poller.pollSentAt[s] = now, now
	b.updateTracking(s)
	return Action{Poll: true, Backend: b.ids[s]}
}

// exponentialDraw is an exponential chance that depends on nothing but the mark and the server.
func exponentialDraw(mark uint64, id uint32) float64 {
	x := mark ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}

type assignment struct{ at, load float64 }

// AttemptPolicy keeps a link from running twice.
type AttemptPolicy struct {
	classes       []Class
	maxAttempts   int
	maxRetryAfter float64 // the longest wait a client follows; 0 where none may be told

	established, establishedSpan, establishedAsOf float64 // links that stood and the time of it, fading
	concurrencyLimit, concurrencyReducedAt        float64 // how many set-ups may be out at once
	relays                                        float64
	inFlight                                      int
	budget                                        *RetryBudget // nil: none
	draining                                      bool         // another process of this relay has that, and the budget of cold servers
}

// NewAttemptPolicy takes the categories, the most setup tries of a link, the longest retry-after (0: none), the
// number of relays and the budget of tries beyond a link's first (nil: none).
func NewAttemptPolicy(categories []Class, mostTries int, maxBack float64, relays int, budget *RetryBudget) *AttemptPolicy {
	return &AttemptPolicy{classes: categories, maxAttempts: mostTries, maxRetryAfter: maxBack, relays: float64(relays),
		concurrencyLimit: max(maxConcurrentAttempts/float64(relays), 1), budget: budget}
}

// Quotas values links: gain per load, less beyond a party's share.
type Quotas struct {
	classes           []Class
	sessionQuotas     []float64 // links open in each party's share, for all relays together; 0: no share
	beyondQuotaWeight float64
	relays            float64
	totalQuota        float64 // of all parties

	openSessions    []float64 // links open, a party
	classLoads      []float64 // mean load of a category's links, as far as known
	classSamples    []float64 // how many links that mean stands on
	meanSessionLoad float64
	loadSamples     float64 // and that of all
	endedLoads      loadMemory
}

// recordLoad takes the load of a link of that category into the means.
func (s *Quotas) recordLoad(c int, load float64) {
	s.classSamples[c] = min(s.classSamples[c]+1, 50)
	s.classLoads[c] += (load - s.classLoads[c]) / s.classSamples[c]
	s.loadSamples = min(s.loadSamples+1, 200)
	s.meanSessionLoad += (load - s.meanSessionLoad) / s.loadSamples
}

// NewQuotas takes categories, the parties' quotas of open links, what gain beyond a share is worth, and the
// number of relays.
func NewQuotas(categories []Class, quotas []float64, beyond float64, relays int) *Quotas {
	n, quota := len(categories), 0.0
	for _, q := range quotas {
		quota += q
	}
	return &Quotas{classes: categories, sessionQuotas: quotas, totalQuota: quota, beyondQuotaWeight: beyond, relays: float64(relays),
		openSessions: make([]float64, len(quotas)), classLoads: make([]float64, n), classSamples: make([]float64, n),
		meanSessionLoad: 1}
}

// Balancer decides for one relay.
type Balancer struct {
	*EndpointSet
	roundRobin *RoundRobin
	outliers   OutlierDetector
	slowStart  *SlowStart
	poller     *LoadPoller
	attempts   *AttemptPolicy
	quotas     *Quotas

	localZone            int
	crossZoneFee         float64
	usesAffinityGroups   bool
	sessionsOutliveRelay bool
	sessionLoads         []float64 // load of this relay's links, by server
	sessionCounts        []int
	weights              []float64
	meanLoad             float64
	estimatedCapacity    float64 // capacity of a server, by what this relay's own links weigh
	capacity             float64
	initialBackends      float64 // servers ready when the shares were told
	activeShare          float64 // of the fleet that is in use
	candidateDraws       []float64
	tracker              backendTracker
	admission            *admission.Controller // nil: nothing is known from before the start
	pausedUntil          float64               // until which links wait, as news does
	assumedStarts        map[int]bool          // servers of a list that was kept, whose start nobody has told

	zoneWeights      []ZoneWeight // of a decision in common; none: there is none
	zoneObservations []ZoneObservation
}

// New joins the parts. Zone is the relay's own; crossing is the fee for crossing zones; grouped,
// that links of a group share work; passing, that links outlive their relay.
func New(roster *EndpointSet, turns *RoundRobin, warmup *SlowStart, probing *LoadPoller, effects *AttemptPolicy, shares *Quotas,
	zone int, crossing float64, grouped, passing bool) *Balancer {
	return &Balancer{EndpointSet: roster, roundRobin: turns, slowStart: warmup, poller: probing, attempts: effects,
		quotas: shares, localZone: zone, crossZoneFee: crossing, usesAffinityGroups: grouped, sessionsOutliveRelay: passing}
}

// addBackend finds an index: that of a server gone with nothing left on it, or a new one.
func (b *Balancer) addBackend(id uint32) int {
	s := -1
	for i, c := range b.states {
		if c == Gone && b.sessionCounts[i] == 0 {
			s = i
			break
		}
	}
	nan, never := math.NaN(), math.Inf(-1)
	if s < 0 {
		s = len(b.ids)
		b.ids, b.states, b.zones = append(b.ids, 0), append(b.states, Gone), append(b.zones, 0)
		b.cells, b.startedAt, b.inUpdate = append(b.cells, 0), append(b.startedAt, 0), append(b.inUpdate, false)
		h, w, p := &b.outliers, b.slowStart, b.poller
		h.consecutiveFailures, h.sessionsLost = append(h.consecutiveFailures, 0), append(h.sessionsLost, false)
		h.meanEvidence *= float64(s) / float64(s+1)
		h.evidence, h.awaitsReport = append(h.evidence, 0), append(h.awaitsReport, false)
		w.startedAt = append(w.startedAt, never)
		p.loads, p.pollSentAt, p.polledAt = append(p.loads, nan), append(p.pollSentAt, nan), append(p.polledAt, never)
		p.recentAssignments, p.unreportedLoads = append(p.recentAssignments, nil), append(p.unreportedLoads, 0)
		p.reportedAt, p.requested, p.selectionDraws = append(p.reportedAt, never), append(p.requested, false), append(p.selectionDraws, 0)
		b.sessionLoads, b.sessionCounts = append(b.sessionLoads, 0), append(b.sessionCounts, 0)
		b.weights, b.roundRobin.bucketCounts = append(b.weights, 1), append(b.roundRobin.bucketCounts, 0)
	}
	delete(b.indexByID, b.ids[s])
	b.indexByID[id], b.ids[s] = s, id
	b.outliers.meanEvidence -= b.outliers.evidence[s] / float64(len(b.ids))
	b.outliers.consecutiveFailures[s], b.outliers.sessionsLost[s], b.outliers.evidence[s] = 0, false, 0
	b.outliers.awaitsReport[s] = false
	b.slowStart.startedAt[s], b.startedAt[s] = never, 0
	b.poller.pollSentAt[s], b.poller.polledAt[s], b.poller.selectionDraws[s] = nan, never, b.roundRobin.rng.Float64()
	b.forgetLoad(s)
	b.tracker.grow(len(b.ids))
	b.updateTracking(s)
	return s
}

// closeUpdate takes out what whole news left out, and counts the first list.
func (b *Balancer) closeUpdate(now float64) {
	if !b.listReceived {
		b.attempts.establishedAsOf = now
	}
	for s := range b.inUpdate {
		if b.fullUpdate && !b.inUpdate[s] {
			b.states[s] = Gone
			b.updateTracking(s)
		}
		if !b.listReceived && b.states[s] == Ready {
			b.initialBackends++
		}
	}
}

// recordFailure counts a failure of the server.
func (b *Balancer) recordFailure(s int) {
	b.outliers.consecutiveFailures[s]++
	b.roundRobin.invalidate()
	b.updateTracking(s)
}

// PollNotSent takes that a probe that was due was not sent: it says nothing of the server, and is due again
// later.
func (b *Balancer) PollNotSent(id uint32) {
	if s, known := b.indexByID[id]; known {
		b.poller.pollSentAt[s] = math.NaN()
		b.updateTracking(s)
	}
}

// decay takes off what time has taken off all that was said against servers; not at each call, as all fade
// alike.
func (h *OutlierDetector) decay(now float64) {
	if now < h.decayedAt+outlierDecayInterval {
		return
	}
	f := math.Exp((h.decayedAt - now) / outlierDecay)
	for s := range h.evidence {
		h.evidence[s] *= f
	}
	h.meanEvidence, h.decayedAt = h.meanEvidence*f, now
}

// forgetLoad drops the server's figures.
func (b *Balancer) forgetLoad(s int) {
	p := b.poller
	p.unreportedTotal -= p.unreportedLoads[s]
	p.loads[s], p.reportedAt[s], p.recentAssignments[s], p.unreportedLoads[s] = math.NaN(), math.Inf(-1), p.recentAssignments[s][:0], 0
}

// learnSessionLoad takes a link's first measured load. Against a young relay that measures links by one figure and the
// servers by another, from before the first was known, and finds all servers full: both are told anew.
func (b *Balancer) learnSessionLoad(l *Session, load float64) {
	l.measured = true
	b.quotas.recordLoad(l.Class, load)
	if b.quotas.loadSamples <= confidentSessions {
		b.roundRobin.invalidate()
	}
}

func (b *Balancer) reserve(l *Session) {
	b.sessionCounts[l.backend]++
	b.sessionLoads[l.backend] += l.load
	if l.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[l.Tenant]++
	}
}

// startAttempt takes that a setup try of the link goes out.
func (b *Balancer) startAttempt(now float64, l *Session, s int) {
	b.attempts.inFlight++
	if l.attempts > 0 {
		b.attempts.budget.recordRetry(now)
	}
	l.attempts, l.backend, l.attemptedAt, l.reserved = l.attempts+1, s, now, true
	b.reserve(l)
	b.poller.recentAssignments[s] = append(b.poller.recentAssignments[s], assignment{now, l.load})
	b.poller.unreportedLoads[s] += l.load
	b.poller.unreportedTotal += l.load
}

// dropReported drops the links placed before then, which the latest figure holds.
func (p *LoadPoller) dropReported(s int, then float64) {
	p.unreportedTotal -= p.unreportedLoads[s]
	p.unreportedLoads[s] = 0
	p.recentAssignments[s] = slices.DeleteFunc(p.recentAssignments[s], func(x assignment) bool { return x.at < then })
	for _, x := range p.recentAssignments[s] {
		p.unreportedLoads[s] += x.load
	}
	p.unreportedTotal += p.unreportedLoads[s]
}

// release also takes a link that is over out of what the next report may not hold yet.
func (b *Balancer) release(l *Session) {
	p, s := b.poller, l.backend
	if i := slices.IndexFunc(p.recentAssignments[s], func(x assignment) bool { return x.at == l.attemptedAt }); i >= 0 {
		p.unreportedLoads[s] -= p.recentAssignments[s][i].load
		p.unreportedTotal -= p.recentAssignments[s][i].load
		p.recentAssignments[s] = slices.Delete(p.recentAssignments[s], i, i+1)
	}
	b.sessionCounts[s]--
	b.sessionLoads[s] -= l.load
	if l.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[l.Tenant]--
	}
}

// loadMemory keeps what a link that ended left behind, by key, as its client comes again. It has two halves, the
// older dropped whole, so that it stays bounded.
type loadMemory struct {
	recent, older map[uint64]float64
	rotatedAt     float64
}

func (m *loadMemory) store(now, span float64, key uint64, load float64) {
	if m.recent == nil || now > m.rotatedAt+span {
		m.recent, m.older, m.rotatedAt = map[uint64]float64{}, m.recent, now
	}
	m.recent[key] = load
}

func (m *loadMemory) lookup(key uint64) (float64, bool) {
	l, ok := m.recent[key]
	if !ok {
		l, ok = m.older[key]
	}
	return l, ok
}

// BackendStatus tells what the balancer believes of a server: links booked on it, when it last reported (-Inf: never),
// and whether it is left out.
func (b *Balancer) BackendStatus(id uint32) (links int, heard float64, out bool) {
	s, known := b.indexByID[id]
	if !known {
		return 0, math.Inf(-1), true
	}
	return b.sessionCounts[s], b.poller.reportedAt[s], b.states[s] != Ready || !b.outliers.isHealthy(s)
}

// Counts counts the servers that the list has, draining ones among them, and those of them that no new link
// is sent to now: they drain, or don't answer.
func (b *Balancer) Counts() (listed, avoided int) {
	return b.tracker.listed, b.tracker.listed - b.tracker.usable
}

// SetDraining has this process send nothing to cold servers, and nothing beyond a link's first try where there is a
// budget of those, while another of the same relay does: against two budgets.
func (b *Balancer) SetDraining(on bool) { b.attempts.draining = on }

// HasClass tells whether the settings name the category.
func (b *Balancer) HasClass(category int) bool { return category < len(b.attempts.classes) }

// ClientDisconnected takes that the client has left, and tells whether an outcome is still to come.
func (b *Balancer) ClientDisconnected(l *Session) bool {
	l.clientGone = true
	return l.reserved
}

// BeginEndpointUpdate starts news of the list; whole news lists every server there is.
func (b *Balancer) BeginEndpointUpdate(whole bool) {
	b.fullUpdate = whole
	for s := range b.inUpdate {
		b.inUpdate[s] = false
	}
}

// SessionResumed takes a link that stood before this relay knew of it.
func (b *Balancer) SessionResumed(now float64, l *Session, id uint32) {
	s, ok := b.indexByID[id]
	if !ok {
		s = b.addBackend(id)
	}
	b.estimateSessionLoad(l)
	l.known, l.arrivedAt, l.executedBackend, l.backend, l.attempts, l.reserved, l.established = true, now, s, s, 1, true, true
	b.reserve(l)
}

// SessionReceived takes a link that stood at another process of this relay, with what it weighed there.
func (b *Balancer) SessionReceived(now float64, l *Session, id uint32, load float64, measured bool) {
	b.SessionResumed(now, l, id)
	b.sessionLoads[l.backend] += load - l.load
	l.load, l.measured = load, measured
}

// Load is what a link is held to weigh, and whether that was measured.
func (l *Session) Load() (load float64, measured bool) { return l.load, l.measured }

// invalidate has the table built anew at the next link.
func (t *RoundRobin) invalidate() { t.stale, t.builtAt = true, math.Inf(-1) }

// pick walks on to the first bucket whose server may take the link.
func (t *RoundRobin) pick(may func(server int) bool) int {
	for range t.table {
		s := t.table[t.position].backend
		t.position = (t.position + 1) % len(t.table)
		if may(s) {
			return s
		}
	}
	return -1
}
