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

	load      float64 // what it is held to weigh on its server now
	server    int     // of its latest setup try
	tries     int
	sent      float64 // clock time of the latest setup try
	came      float64 // clock time of the first question about it
	ran       int     // the server of the first setup try that may have run, or -1
	earlier   int     // 1: a try of its client's before it may have run, as ran then tells
	ranAt     float64
	ranZone   int
	ranCell   int
	measured  bool // by a note
	known     bool // to Place
	open, out bool
	gone      bool

	lot     uint64  // its own mark, where no group or key draws it
	prefers int     // index of the server where it stood before, and one more; 0: not known
	cold    int     // the cold server that it may go to, or -1
	spare   bool    // only where no warm one has room
	grant   float64 // time of the budget of cold servers that its cold server took
	drafted []int   // servers asked for it
	patient float64 // clock time until which their answers are waited for, or 0
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
	at     float64
	server int
}

// RoundRobin is the table of buckets and the walk over it.
type RoundRobin struct {
	chance *rand.Rand
	counts []int
	table  []bucket
	at     int
	built  float64
	stale  bool

	bins   []int // for the sort, and what it sorts into
	sorted []bucket
}

// sort orders the table by place and server. Places are spread evenly over 0 to 1, so they are dealt into as
// many bins as there are buckets, and only neighbours are left to be compared.
func (t *RoundRobin) sort() {
	n := len(t.table)
	t.bins = slices.Grow(t.bins[:0], n+1)[:n+1]
	clear(t.bins)
	bin := func(x bucket) int { return min(int(x.at*float64(n)), n-1) }
	for _, x := range t.table {
		t.bins[bin(x)+1]++
	}
	for i := 1; i <= n; i++ {
		t.bins[i] += t.bins[i-1]
	}
	t.sorted = slices.Grow(t.sorted[:0], n)[:n]
	for _, x := range t.table {
		i := bin(x)
		t.sorted[t.bins[i]] = x
		t.bins[i]++
	}
	t.table, t.sorted = t.sorted, t.table
	for i := 1; i < n; i++ {
		x, j := t.table[i], i
		for ; j > 0 && (x.at < t.table[j-1].at || (x.at == t.table[j-1].at &&
			x.server < t.table[j-1].server)); j-- {
			t.table[j] = t.table[j-1]
		}
		t.table[j] = x
	}
}

// NewRoundRobin starts without a table.
func NewRoundRobin(chance *rand.Rand) *RoundRobin {
	return &RoundRobin{chance: chance, built: math.Inf(-1), stale: true}
}

// EndpointSet is what the list has said. Figures stand in parallel arrays under a small dense index.
type EndpointSet struct {
	asked     bool
	askWithin float64

	index     map[uint32]int
	ids       []uint32
	condition []EndpointState
	zones     []int
	cells     []int
	started   []float64
	mentioned []bool
	whole     bool
	heard     bool
	askAt     float64
	failures  int
}

// NewEndpointSet takes whether the list must be asked for, and within what time it counts as asked.
func NewEndpointSet(asked bool, askWithin float64) *EndpointSet {
	if !asked {
		askWithin = math.Inf(1)
	}
	return &EndpointSet{asked: asked, askWithin: askWithin, askAt: math.Inf(1), index: map[uint32]int{}}
}

// OutlierDetector tells which servers answer.
type OutlierDetector struct {
	failed []int  // failures in a row
	lost   []bool // one of our links on it broke while it was silent

	// How far what links went through there speaks against the server's word, from 0 to 1, the mean of all, and
	// until when both have faded.
	asked          []bool // links went badly there: its next report tells whether it says so
	against        []float64
	usual, fadedAt float64
}

// SlowStart is the budget of what a server just started is sent.
type SlowStart struct {
	from, length, multiple float64
	span, relays           float64

	since []float64 // when it started cold, or -Inf
	asked float64   // when a link last asked for a cold server
}

// NewSlowStart takes the part of its capacity a server starts at, when it is warm, the multiple of its present
// capacity at which it falls and in what span, and how many relays send.
func NewSlowStart(from, length, multiple, span float64, relays int) *SlowStart {
	return &SlowStart{from: from, length: length, multiple: multiple, span: span, relays: float64(relays)}
}

// LoadPoller asks servers for their load and keeps what they said.
type LoadPoller struct {
	allowed bool
	fee     float64
	field   int // of a report, that the load is read from
	// absolute loads are parts of a capacity, so that bounds on them mean something.
	absolute bool
	fresh    []float64
	lag      float64 // that a report may be old
	placed   float64 // the sum of fresh
	others   float64 // load that the other relays placed and figures may not hold yet; below 0: not known

	load    []float64 // NaN: no figure
	sentAt  []float64 // of the probe that is out, or NaN
	askedAt []float64
	heardAt []float64
	lots    []float64  // in use where the part of the fleet in use is above it
	wanted  []bool     // for a link
	queue   []int      // of those wanted
	since   [][]placed // links of this relay that the figure may not hold yet
}

// NewLoadPoller takes whether probes may be sent, the fee for one a link, and the names of the report's fields.
func NewLoadPoller(allowed bool, fee float64, fields []string) *LoadPoller {
	p := &LoadPoller{allowed: allowed, fee: fee, lag: reportLag, others: -1, field: math.MaxInt}
	for rank, name := range [...]string{"x0", "cpu", "active", "rps", "waiting", "x1", "avg_ms"} {
		if i := slices.Index(fields, name); i >= 0 {
			p.field, p.absolute = i, rank < 2
			break
		}
	}
	return p
}

// want has the server asked, unless that is done or its figure is new.
func (p *LoadPoller) want(s int, now float64) {
	if !p.wanted[s] && math.IsNaN(p.sentAt[s]) && now >= p.heardAt[s]+probeEvery {
		p.wanted[s], p.queue = true, append(p.queue, s)
	}
}

// pop takes the next that is wanted, or -1.
func (p *LoadPoller) pop() int {
	if len(p.queue) == 0 {
		return -1
	}
	s := p.queue[len(p.queue)-1]
	p.queue, p.wanted[s] = p.queue[:len(p.queue)-1], false
	return s
}

// ask notes that the server is asked now.
func (b *Balancer) ask(now float64, s int) Action {
	b.probing.askedAt[s], b.probing.sentAt[s] = now, now
	b.touch(s)
	return Action{Poll: true, Backend: b.ids[s]}
}

// draw is an exponential chance that depends on nothing but the mark and the server.
func draw(mark uint64, id uint32) float64 {
	x := mark ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}

type placed struct{ at, load float64 }

// AttemptPolicy keeps a link from running twice.
type AttemptPolicy struct {
	categories []Class
	mostTries  int
	maxBack    float64 // the longest wait a client follows; 0 where none may be told

	stood, over, asOf float64 // links that stood and the time of it, fading
	width, cutAt      float64 // how many set-ups may be out at once
	relays            float64
	out               int
	budget            *RetryBudget // nil: none
	yield             bool         // another process of this relay has that, and the budget of cold servers
}

// NewAttemptPolicy takes the categories, the most setup tries of a link, the longest retry-after (0: none), the
// number of relays and the budget of tries beyond a link's first (nil: none).
func NewAttemptPolicy(categories []Class, mostTries int, maxBack float64, relays int, budget *RetryBudget) *AttemptPolicy {
	return &AttemptPolicy{categories: categories, mostTries: mostTries, maxBack: maxBack, relays: float64(relays),
		width: max(widest/float64(relays), 1), budget: budget}
}

// Quotas values links: gain per load, less beyond a party's share.
type Quotas struct {
	categories []Class
	quotas     []float64 // links open in each party's share, for all relays together; 0: no share
	beyond     float64
	relays     float64
	quota      float64 // of all parties

	held     []float64 // links open, a party
	loads    []float64 // mean load of a category's links, as far as known
	weighed  []float64 // how many links that mean stands on
	loadMean float64
	known    float64 // and that of all
	ended    memory
}

// weigh takes the load of a link of that category into the means.
func (s *Quotas) weigh(c int, load float64) {
	s.weighed[c] = min(s.weighed[c]+1, 50)
	s.loads[c] += (load - s.loads[c]) / s.weighed[c]
	s.known = min(s.known+1, 200)
	s.loadMean += (load - s.loadMean) / s.known
}

// NewQuotas takes categories, the parties' quotas of open links, what gain beyond a share is worth, and the
// number of relays.
func NewQuotas(categories []Class, quotas []float64, beyond float64, relays int) *Quotas {
	n, quota := len(categories), 0.0
	for _, q := range quotas {
		quota += q
	}
	return &Quotas{categories: categories, quotas: quotas, quota: quota, beyond: beyond, relays: float64(relays),
		held: make([]float64, len(quotas)), loads: make([]float64, n), weighed: make([]float64, n),
		loadMean: 1}
}

// Balancer decides for one relay.
type Balancer struct {
	*EndpointSet
	turns   *RoundRobin
	health  OutlierDetector
	warmup  *SlowStart
	probing *LoadPoller
	effects *AttemptPolicy
	shares  *Quotas

	zone      int
	crossing  float64
	grouped   bool
	passing   bool
	linkLoads []float64 // load of this relay's links, by server
	links     []int
	weights   []float64
	mean      float64
	guessed   float64 // capacity of a server, by what this relay's own links weigh
	capacity  float64
	listed    float64 // servers ready when the shares were told
	part      float64 // of the fleet that is in use
	ranks     []float64
	track     track
	admission *admission.Controller // nil: nothing is known from before the start
	hushed    float64               // until which links wait, as news does
	supposed  map[int]bool          // servers of a list that was kept, whose start nobody has told

	directions []ZoneWeight // of a decision in common; none: there is none
	seenZones  []ZoneObservation
}

// New joins the parts. Zone is the relay's own; crossing is the fee for crossing zones; grouped,
// that links of a group share work; passing, that links outlive their relay.
func New(roster *EndpointSet, turns *RoundRobin, warmup *SlowStart, probing *LoadPoller, effects *AttemptPolicy, shares *Quotas,
	zone int, crossing float64, grouped, passing bool) *Balancer {
	return &Balancer{EndpointSet: roster, turns: turns, warmup: warmup, probing: probing, effects: effects,
		shares: shares, zone: zone, crossing: crossing, grouped: grouped, passing: passing}
}

// add finds an index: that of a server gone with nothing left on it, or a new one.
func (b *Balancer) add(id uint32) int {
	s := -1
	for i, c := range b.condition {
		if c == Gone && b.links[i] == 0 {
			s = i
			break
		}
	}
	nan, never := math.NaN(), math.Inf(-1)
	if s < 0 {
		s = len(b.ids)
		b.ids, b.condition, b.zones = append(b.ids, 0), append(b.condition, Gone), append(b.zones, 0)
		b.cells, b.started, b.mentioned = append(b.cells, 0), append(b.started, 0), append(b.mentioned, false)
		h, w, p := &b.health, b.warmup, b.probing
		h.failed, h.lost = append(h.failed, 0), append(h.lost, false)
		h.usual *= float64(s) / float64(s+1)
		h.against, h.asked = append(h.against, 0), append(h.asked, false)
		w.since = append(w.since, never)
		p.load, p.sentAt, p.askedAt = append(p.load, nan), append(p.sentAt, nan), append(p.askedAt, never)
		p.since, p.fresh = append(p.since, nil), append(p.fresh, 0)
		p.heardAt, p.wanted, p.lots = append(p.heardAt, never), append(p.wanted, false), append(p.lots, 0)
		b.linkLoads, b.links = append(b.linkLoads, 0), append(b.links, 0)
		b.weights, b.turns.counts = append(b.weights, 1), append(b.turns.counts, 0)
	}
	delete(b.index, b.ids[s])
	b.index[id], b.ids[s] = s, id
	b.health.usual -= b.health.against[s] / float64(len(b.ids))
	b.health.failed[s], b.health.lost[s], b.health.against[s] = 0, false, 0
	b.health.asked[s] = false
	b.warmup.since[s], b.started[s] = never, 0
	b.probing.sentAt[s], b.probing.askedAt[s], b.probing.lots[s] = nan, never, b.turns.chance.Float64()
	b.forget(s)
	b.track.grow(len(b.ids))
	b.touch(s)
	return s
}

// sweep takes out what whole news left out, and counts the first list.
func (b *Balancer) sweep(now float64) {
	if !b.heard {
		b.effects.asOf = now
	}
	for s := range b.mentioned {
		if b.whole && !b.mentioned[s] {
			b.condition[s] = Gone
			b.touch(s)
		}
		if !b.heard && b.condition[s] == Ready {
			b.listed++
		}
	}
}

// doubt counts a failure of the server.
func (b *Balancer) doubt(s int) { b.health.failed[s]++; b.turns.expire(); b.touch(s) }

// PollNotSent takes that a probe that was due was not sent: it says nothing of the server, and is due again
// later.
func (b *Balancer) PollNotSent(id uint32) {
	if s, known := b.index[id]; known {
		b.probing.sentAt[s] = math.NaN()
		b.touch(s)
	}
}

// fade takes off what time has taken off all that was said against servers; not at each call, as all fade
// alike.
func (h *OutlierDetector) fade(now float64) {
	if now < h.fadedAt+fadeEvery {
		return
	}
	f := math.Exp((h.fadedAt - now) / witnessFor)
	for s := range h.against {
		h.against[s] *= f
	}
	h.usual, h.fadedAt = h.usual*f, now
}

// forget drops the server's figures.
func (b *Balancer) forget(s int) {
	p := b.probing
	p.placed -= p.fresh[s]
	p.load[s], p.heardAt[s], p.since[s], p.fresh[s] = math.NaN(), math.Inf(-1), p.since[s][:0], 0
}

// learn takes a link's first measured load. Against a young relay that measures links by one figure and the
// servers by another, from before the first was known, and finds all servers full: both are told anew.
func (b *Balancer) learn(l *Session, load float64) {
	l.measured = true
	b.shares.weigh(l.Class, load)
	if b.shares.known <= quotaFaith {
		b.turns.expire()
	}
}

func (b *Balancer) book(l *Session) {
	b.links[l.server]++
	b.linkLoads[l.server] += l.load
	if l.Tenant < len(b.shares.held) {
		b.shares.held[l.Tenant]++
	}
}

// sent takes that a setup try of the link goes out.
func (b *Balancer) sent(now float64, l *Session, s int) {
	b.effects.out++
	if l.tries > 0 {
		b.effects.budget.spend(now)
	}
	l.tries, l.server, l.sent, l.out = l.tries+1, s, now, true
	b.book(l)
	b.probing.since[s] = append(b.probing.since[s], placed{now, l.load})
	b.probing.fresh[s] += l.load
	b.probing.placed += l.load
}

// outdate drops the links placed before then, which the latest figure holds.
func (p *LoadPoller) outdate(s int, then float64) {
	p.placed -= p.fresh[s]
	p.fresh[s] = 0
	p.since[s] = slices.DeleteFunc(p.since[s], func(x placed) bool { return x.at < then })
	for _, x := range p.since[s] {
		p.fresh[s] += x.load
	}
	p.placed += p.fresh[s]
}

// unbook also takes a link that is over out of what the next report may not hold yet.
func (b *Balancer) unbook(l *Session) {
	p, s := b.probing, l.server
	if i := slices.IndexFunc(p.since[s], func(x placed) bool { return x.at == l.sent }); i >= 0 {
		p.fresh[s] -= p.since[s][i].load
		p.placed -= p.since[s][i].load
		p.since[s] = slices.Delete(p.since[s], i, i+1)
	}
	b.links[s]--
	b.linkLoads[s] -= l.load
	if l.Tenant < len(b.shares.held) {
		b.shares.held[l.Tenant]--
	}
}

// memory keeps what a link that ended left behind, by key, as its client comes again. It has two halves, the
// older dropped whole, so that it stays bounded.
type memory struct {
	recent, older map[uint64]float64
	turned        float64
}

func (m *memory) keep(now, span float64, key uint64, load float64) {
	if m.recent == nil || now > m.turned+span {
		m.recent, m.older, m.turned = map[uint64]float64{}, m.recent, now
	}
	m.recent[key] = load
}

func (m *memory) find(key uint64) (float64, bool) {
	l, ok := m.recent[key]
	if !ok {
		l, ok = m.older[key]
	}
	return l, ok
}

// BackendStatus tells what the balancer believes of a server: links booked on it, when it last reported (-Inf: never),
// and whether it is left out.
func (b *Balancer) BackendStatus(id uint32) (links int, heard float64, out bool) {
	s, known := b.index[id]
	if !known {
		return 0, math.Inf(-1), true
	}
	return b.links[s], b.probing.heardAt[s], b.condition[s] != Ready || !b.health.good(s)
}

// Counts counts the servers that the list has, draining ones among them, and those of them that no new link
// is sent to now: they drain, or don't answer.
func (b *Balancer) Counts() (listed, avoided int) {
	return b.track.listed, b.track.listed - b.track.usable
}

// SetDraining has this process send nothing to cold servers, and nothing beyond a link's first try where there is a
// budget of those, while another of the same relay does: against two budgets.
func (b *Balancer) SetDraining(on bool) { b.effects.yield = on }

// HasClass tells whether the settings name the category.
func (b *Balancer) HasClass(category int) bool { return category < len(b.effects.categories) }

// ClientDisconnected takes that the client has left, and tells whether an outcome is still to come.
func (b *Balancer) ClientDisconnected(l *Session) bool {
	l.gone = true
	return l.out
}

// BeginEndpointUpdate starts news of the list; whole news lists every server there is.
func (b *Balancer) BeginEndpointUpdate(whole bool) {
	b.whole = whole
	for s := range b.mentioned {
		b.mentioned[s] = false
	}
}

// SessionResumed takes a link that stood before this relay knew of it.
func (b *Balancer) SessionResumed(now float64, l *Session, id uint32) {
	s, ok := b.index[id]
	if !ok {
		s = b.add(id)
	}
	b.guess(l)
	l.known, l.came, l.ran, l.server, l.tries, l.out, l.open = true, now, s, s, 1, true, true
	b.book(l)
}

// SessionReceived takes a link that stood at another process of this relay, with what it weighed there.
func (b *Balancer) SessionReceived(now float64, l *Session, id uint32, load float64, measured bool) {
	b.SessionResumed(now, l, id)
	b.linkLoads[l.server] += load - l.load
	l.load, l.measured = load, measured
}

// Load is what a link is held to weigh, and whether that was measured.
func (l *Session) Load() (load float64, measured bool) { return l.load, l.measured }

// expire has the table built anew at the next link.
func (t *RoundRobin) expire() { t.stale, t.built = true, math.Inf(-1) }

// next walks on to the first bucket whose server may take the link.
func (t *RoundRobin) next(may func(server int) bool) int {
	for range t.table {
		s := t.table[t.at].server
		t.at = (t.at + 1) % len(t.table)
		if may(s) {
			return s
		}
	}
	return -1
}
