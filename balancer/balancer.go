// Package balancer decides for one relay where each new link goes, by weighted turns whose bucket counts follow
// probed load. A link that stands keeps its server for life. Callers use it like a client library, one
// Balancer a relay, never shared. Three calls answer: Place (where to send this link, or not yet, or never),
// After (what to do after this outcome) and Next (how long to wait, and the probe or subscription due; asked
// until it names none). Leave paces links that must go, Lost tells of a silent server. What is seen comes in
// by ListBegan, Listed, ListEnded, ListFailed, Probed, Reported, Accepted, Weighed, Resumed and Vanished.
// Plain types and their bookkeeping are in types.go. Times are milliseconds, on one clock.
package balancer

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

const ( // the design's, as its page gives them
	alpha       = 0.5
	base        = 10
	fewest      = 2
	most        = 3 * base
	nearZero    = 0.01   // a mean load under this says nothing of who is busier
	probeEvery  = 1000.0 // the design's start; five seconds is its bound for servers in use
	rebuildTime = 1000.0 // no more rebuilds than reports to rebuild from
)

const ( // what the design leaves open
	retryProbe = 300.0   // how soon a doubted server is asked again
	reportLag  = 1500.0  // a report may be this old where nobody says, so links placed since are added to it
	slowest    = 4000.0  // the design's bound of five seconds, less the answer's way
	probeShare = 0.012   // what probes may cost a link, in points of the whole
	drafted    = 5       // servers that a link is chosen among, where the whole fleet can't be kept in use
	patience   = 0.1     // of its promised time, that a link waits for their answers
	linkEvery  = 2000.0  // a server is held to be sent one link in this time, until arrivals tell
	savedSpans = 1.0     // spans of the rule on cold servers, for which a budget not used is kept
	seenPace   = 3.0     // times the pace at which a cold server is filled, once its figure tells of it
	nearLoad   = 0.40    // below this, a server of the own zone comes first where crossing is paid for
	nearFee    = 4.0     // and by how much more for a fee of one
	farFee     = 20.0    // how much later one across zones is drawn to be asked, for a fee of one
	othersPart = 0.5     // of what this relay placed, that another relay is held to have placed there too
	herd       = 64.0    // other relays, from which each further one counts for ever less
	crowded    = 1.5     // times the mean, above which a server has no room where loads are parts of nothing
	calmLoad   = 0.45    // below this, no server sits turns out for being busier than the mean
	room       = 0.80    // above this a link of the mean gain per load finds no room
	roomBlind  = 0.15    // less where links ask as they come: what others place between is not seen
	roomSpread = 0.08    // how far gain per load moves that bound
	quotaPart  = 0.8     // of what the fleet holds, that the parties' shares come to
	quotaFaith = 20.0    // links of its own, from which a relay trusts their load as much as the shares
	bearsLeast = 10.0    // links of the mean load that a server bears, where no shares tell
	keyMemory  = 60000.0 // for which the load of a link that broke is kept
	tryMemory  = 10000.0 // over which links that stand are counted
	easing     = 0.3     // of the way down that a load moves in the time of one report
	holdStep   = 50.0
	holdPart   = 0.5      // of its time, that a link may wait for a server or for a set-up before it to end
	widest     = 64.0     // set-ups out at once, of all relays
	shedSoon   = 5000.0   // a link that breaks within this was shed by a server too full for it
	shedPart   = 1.0 / 16 // of the set-ups out at once, then
	timely     = 0.5      // of the promised time, within which a set-up shows that no store is overrun
	silentFor  = 1000.0   // after which one that doesn't answer probes either is lost, with its links
	leaveOver  = 3000.0   // over which links are told that must go, as their server does
	stopOver   = 1500.0   // and as this relay stops
	askPart    = 0.8      // of the time after which silence counts as told
	askRelay   = 1000.0   // between two relays' asking of the list anew
	maxBackoff = 1000.0   // mean wait before a retry of a failed call for the list; half as much again at most
	askSpread  = 20.0     // between two relays' first asking
	against    = 0.8      // of the doubt left, that a link shed or a try without an answer adds
	inFavour   = 0.5      // of the doubt, that a link which stood its time takes back
	witnessFor = 20000.0  // over which doubt fades to a third
	fadeEvery  = 100.0
	fitPart    = 0.75 // of the servers, whose figures make a relay fit to take over
)

// buckets is the paper's formula. A load that is not known comes in as the mean.
func buckets(load, mean float64) int {
	if mean < nearZero {
		return base
	}
	n := math.Round(base * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(n, fewest), most))
}

// build spreads each server's buckets evenly, by the golden section against servers in clumps.
func (t *RoundRobin) build(now float64) {
	t.table = t.table[:0]
	for s, n := range t.counts {
		_, phase := math.Modf(float64(s+1) * 0.6180339887)
		for k := range n {
			t.table = append(t.table, bucket{(float64(k) + phase) / float64(n), s})
		}
	}
	t.sort()
	t.at = t.chance.Intn(max(len(t.table), 1))
	t.built, t.stale = now, false
}

// good wants two failures before a server is out: one lost probe or one stall is not a death.
func (h *OutlierDetector) good(s int) bool { return h.failed[s] < 2 }

// witness takes what a link went through at a server: a part of what was left to say against it, or of what
// was said is taken back (negative).
func (h *OutlierDetector) witness(s int, now, part float64) {
	h.fade(now)
	a := h.against[s]
	h.against[s] += max(part, 0)*(1-a) + min(part, 0)*a
	h.usual += (h.against[s] - a) / float64(len(h.against))
}

// doubtful is how far a server's word is to be doubted, beyond what is usual: where set-ups go badly
// everywhere, as with a slow store, they say nothing of one server. It fades, so that a server that gets no
// links by it is tried again by ever better chances.
func (h *OutlierDetector) doubtful(s int, now float64) float64 {
	if h.usual == 0 {
		return 0
	}
	return max(h.against[s]-h.usual, 0) * math.Exp((h.fadedAt-now)/witnessFor)
}

func (w *SlowStart) part(s int, now float64) float64 {
	if w.length <= 0 {
		return 1
	}
	return min(1, w.from+(1-w.from)*max(0, now-w.since[s])/w.length)
}

// allow draws the cold server that a link may go to, or -1. Against hundreds of relays that each spend a link
// at once: over the time since the last link, the chance comes to this relay's part of what fills cold
// servers over their warm-up. To an even share at most; beyond it the link may go there only where no warm
// one has room. Little is saved up, for the same reason. Once the span in which a server can fall is over,
// and a report's time, what all relays sent it shows in its figure; where that is asked for each link the
// budget is wider, against relays that seldom have a link leaving servers idle which they turn clients away
// from.
func (b *Balancer) allow(now float64, l *Session) int {
	w, mark := b.warmup, b.mark(l)
	sum, cold, all, pick, least := 0.0, 0.0, float64(b.track.usable), -1, math.Inf(1)
	aim := b.aim(l)
	for _, s := range b.coldOnes(now) {
		if b.condition[s] != Ready || !b.health.good(s) || !b.may(s, aim) {
			continue
		}
		part := w.part(s, now)
		if b.seen(s, now) {
			part *= 1 + (seenPace-1)*(1-b.part)
		}
		cold, sum = cold+1, sum+part
		if d := draw(mark, b.ids[s]) / part; d < least {
			pick, least = s, d
		}
	}
	since := min(now-w.asked, b.admission.SavedTimeLimit(w.span, savedSpans*w.span))
	offered := since * b.admission.OfferedShare(b.effects.categories[l.Class].PriorityWeight, l.Key, now)
	links := max(b.capacity/b.shares.loadMean, 1)
	pace := b.admission.SlowStartBudget(links, w.multiple, w.from, w.span, w.multiple/2*links/w.length/w.relays, cold, all)
	due := sum * pace * offered / max(l.load/b.shares.loadMean, 0.1)
	w.asked = now - b.admission.UnusedTime(since, offered, due)
	lot := b.turns.chance.Float64()
	if !b.effects.yield && pick >= 0 && lot < due && (lot < cold/all || b.seen(pick, now)) {
		l.spare, l.grant = lot >= cold/all, offered/due
		return pick
	}
	return -1
}

// seen tells whether a cold server's figure holds what all relays sent it, and is new as links ask as they
// come.
func (b *Balancer) seen(s int, now float64) bool {
	return b.part < 1 && now >= b.warmup.since[s]+b.warmup.span+b.probing.lag
}

// figure is a report's load: x0, or a stand-in. One that is no number, or negative, is none.
func (p *LoadPoller) figure(report []float64, weight float64) float64 {
	if p.field >= len(report) || !(report[p.field] >= 0) || math.IsInf(report[p.field], 1) {
		return math.NaN()
	} else if p.absolute || weight <= 0 {
		return report[p.field]
	}
	return report[p.field] / weight
}

func (e *AttemptPolicy) again(l *Session, now float64) bool {
	c := &e.categories[l.Class]
	if l.tries >= e.mostTries || now >= l.Deadline || (l.tries > 0 && !e.affords(now)) {
		return false
	}
	return l.ran < 0 || c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && now < l.ranAt+c.DeduplicationWindow)
}

// judge widens or halves how many set-ups may be out at once, by whether one stood in good time; one sent
// before the last cut says nothing. Against a wave on a shared store, which then works for links given up.
// All relays together start alike; under one it is a chance, as one set-up from each of hundreds is a wave.
func (e *AttemptPolicy) judge(l *Session, now float64, good bool) {
	if good {
		e.width = min(e.width+min(1/e.width, e.width), max(widest/e.relays, 1))
	} else if l.sent > e.cutAt {
		e.narrow(now, 0.5)
	}
}

func (e *AttemptPolicy) narrow(now, part float64) {
	e.width, e.cutAt = max(e.width*part, 1/e.relays), now
}

func (e *AttemptPolicy) let(chance *rand.Rand) bool {
	return e.out < int(e.width) || (e.out == 0 && chance.Float64() < e.width)
}

// affords tells whether the budget, where there is one and this process has it, has a try beyond a link's
// first.
func (e *AttemptPolicy) affords(now float64) bool {
	return e.budget.allows(now) && !(e.yield && e.budget != nil)
}

// end gives the link up. Against telling a client to repeat what may have run: then it is an error.
func (b *Balancer) end(l *Session, now float64) Decision {
	c := &b.effects.categories[l.Class]
	if l.ran < 0 || c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentByKey && c.Scope == ScopeAll && now+b.effects.maxBack < l.ranAt+c.DeduplicationWindow) {
		return Decision{Kind: Reject, Wait: b.back(l, now)}
	}
	return Decision{Kind: Fail}
}

// back is when a client is told to come again.
func (b *Balancer) back(l *Session, now float64) float64 {
	if b.admission == nil {
		return b.effects.maxBack
	}
	return b.admission.RetryAfter(b.effects.maxBack, l.Key, now, b.turns.chance.Float64())
}

// expected is the load of a link not yet measured: its category's, drawn to the mean while few are known.
func (s *Quotas) expected(c int) float64 {
	return (s.loads[c]*s.weighed[c] + s.loadMean*2) / (s.weighed[c] + 2)
}

func (s *Quotas) worth(l *Session) float64 {
	gain, load := 0.0, 0.0
	for i, n := range s.weighed {
		gain, load = gain+(n+1)*s.categories[i].PriorityWeight, load+(n+1)*s.expected(i)
	}
	own := s.categories[l.Class].PriorityWeight
	if l.Tenant < len(s.quotas) && s.quotas[l.Tenant] > 0 {
		n := s.held[l.Tenant] // less its chance: one link would stand for as many as there are relays
		if (n-math.Sqrt(n))*s.relays > s.quotas[l.Tenant] {
			own *= s.beyond
		}
	}
	return own / max(l.load, 1e-9) / (gain / load)
}

// UpdateEndpoint takes one entry.
func (b *Balancer) UpdateEndpoint(id uint32, zone int, cond EndpointState, cell int, started, weight float64) {
	s, known := b.index[id]
	if !known && cond == Gone {
		return
	} else if !known {
		s = b.add(id)
	}
	b.settle(s, started)
	if started > b.started[s] {
		// A restart under the same id is a cold server: figures from before say nothing of it.
		b.forget(s)
		b.started[s], b.health.failed[s] = started, 0
		b.chill(s, started)
	}
	b.condition[s], b.zones[s], b.cells[s], b.weights[s], b.mentioned[s] = cond, zone, cell, weight, true
	b.touch(s)
}

// EndEndpointUpdate closes the news.
func (b *Balancer) EndEndpointUpdate(now float64) {
	b.sweep(now)
	b.turns.expire()
	b.askAt, b.failures = now+b.silence(), 0
	if !b.heard && b.asked { // the cached list at the start is no answer
		b.askAt = now + b.turns.chance.Float64()*min(askSpread*(b.shares.relays-1), b.askWithin/2)
	}
	b.heard = true
}

// silence is when the list is asked anew. Against hundreds of relays drowning it: then it tells no drain.
func (b *Balancer) silence() float64 { return max(b.askWithin*askPart, b.shares.relays*askRelay) }

// WatchFailed takes a failed call or a broken subscription, and sets the time of the retry: exponential
// back-off with jitter, bounded, as a change counts as told a fixed time after discovery can be reached again.
func (b *Balancer) WatchFailed(now float64) {
	b.failures = min(b.failures+1, 6)
	wait := float64(int(100)<<b.failures) * (1 + b.shares.relays/32)
	b.askAt = now + min(wait, maxBackoff, 2.5*b.askWithin)*(0.5+b.turns.chance.Float64())
}

// spread is the part of the fleet that can be kept in use for what a link may cost in probes, and how often.
func (b *Balancer) spread() (part, every float64) {
	e, n := b.effects, max(float64(len(b.ids)), 1)
	rate := (e.stood + 1) / (e.over + linkEvery*b.shares.relays/n)
	every = max(probeEvery, n*b.probing.fee/(rate*probeShare))
	return min(max(2-every/slowest, 0), 1), min(every, slowest)
}

// refresh rebuilds the table from the figures, when there is news and not sooner than reports can tell any.
func (b *Balancer) refresh(now float64) {
	if !b.turns.stale || (now < b.turns.built+rebuildTime && b.part >= 1) {
		return
	}
	sum, known, own, fresh, links, ready := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for s, c := range b.condition {
		links += float64(b.links[s])
		if c == Ready && b.health.good(s) {
			// Against links on servers that leave, held against the others' loads: they make all look larger.
			ready, own, fresh = ready+1, own+b.linkLoads[s], fresh+b.probing.fresh[s]
			if !math.IsNaN(b.probing.load[s]) {
				sum, known = sum+b.figured(s, now), known+1
			}
		}
	}
	b.mean = sum / max(known, 1)
	bears := b.guessed
	if sum > nearZero*known {
		// A young relay holds too few, so the highest is kept; but not of links that no figure holds yet, which
		// make servers look larger. They count while they are new, as else they would find no room.
		scale := b.shares.relays / sum * known / ready
		b.guessed = max(0.99*b.guessed, max(own-fresh, 0)*scale)
		bears = max(b.guessed, own*scale)
	}
	// The parties' shares tell for all relays what one with a handful of links can't guess from them.
	faith := min(quotaFaith, b.shares.quota)
	told := b.shares.quota / quotaPart / max(b.listed, 1) * b.shares.loadMean
	b.capacity = b.admission.EstimateCapacity((links*bears+faith*told)/max(links+faith, 1), links+faith)
	if faith == 0 && b.capacity > 0 {
		// Against a relay just back that is told no shares: of the few links it holds each looks larger than a
		// server, so that it takes none, and never learns better.
		b.capacity = max(b.capacity, bearsLeast*b.shares.loadMean)
	}
	for s, c := range b.condition {
		b.turns.counts[s] = 0
		if c == Ready && b.health.good(s) && (b.part >= 1 || now < b.probing.heardAt[s]+slowest) {
			b.turns.counts[s] = buckets(b.load(s, now), b.mean)
		}
	}
	b.turns.build(now)
}

// gather has the servers asked that a link is to be chosen among, and tells whether that is done. Against
// hundreds of relays that each keep the whole fleet in use, at many times what a link may cost. Where all
// that it asked are full it ends: asking on, links of a fleet without room fill the last gaps, and all stand
// too high.
func (b *Balancer) gather(now float64, l *Session) bool {
	p := b.probing
	if b.part, _ = b.spread(); !p.allowed || b.part >= 1 {
		return true
	}
	if l.patient == 0 {
		l.patient = min(now+patience*b.effects.categories[l.Class].LatencyObjective, l.Deadline)
		b.draft(now, l)
	}
	return now >= l.patient || !slices.ContainsFunc(l.drafted, func(s int) bool {
		return p.wanted[s] || !math.IsNaN(p.sentAt[s])
	})
}

func (b *Balancer) draft(now float64, l *Session) {
	p, mark, aim := b.probing, b.mark(l), b.aim(l)
	want := int(max(min(drafted, probeShare/max(p.fee, 1e-9)), 1))
	l.drafted, b.ranks = l.drafted[:0], b.ranks[:0]
	for s, id := range b.ids {
		if b.condition[s] != Ready || s == l.server || b.warmup.part(s, now) < 1 || !b.sameScope(l, s) ||
			!b.may(s, aim) || (b.health.failed[s] > 0 && now < p.askedAt[s]+slowest) {
			continue
		}
		d := draw(mark, id)
		if b.zones[s] != b.zone {
			d *= 1 + farFee*b.crossing
		}
		if at, _ := slices.BinarySearch(b.ranks, d); at < want {
			l.drafted, b.ranks = slices.Insert(l.drafted, at, s), slices.Insert(b.ranks, at, d)
			l.drafted, b.ranks = l.drafted[:min(len(l.drafted), want)], b.ranks[:min(len(b.ranks), want)]
		}
	}
	if l.cold >= 0 {
		l.drafted = append(l.drafted, l.cold)
	}
	for _, s := range l.drafted {
		p.want(s, now)
	}
}

// load is what a server is held to bear: its figure, and what links went through there, up to a full load.
// Against reports of little from a server that sheds them or does not answer, whose turns would be the most.
// A report is believed as far as links bear it out.
func (b *Balancer) load(s int, now float64) float64 {
	return b.figured(s, now) + b.health.doubtful(s, now)
}

// figured is the server's figure with what was put there since: against a wave that all follows one late
// figure.
func (b *Balancer) figured(s int, now float64) float64 {
	l := b.probing.load[s]
	if math.IsNaN(l) {
		l = b.mean
	}
	others := b.shares.relays - 1
	fresh := b.probing.fresh[s]
	guess := othersPart * others / (1 + others/herd)
	if b.probing.others >= 0 && b.warmup.part(s, now) >= 1 {
		// They say themselves what they placed. Against a few links of this relay's that came to one server by
		// chance counting for everybody's there. Never beyond the guess for all together, as a young relay's
		// capacity is by its own links. Cold servers stay with the guess, which asks for more room.
		fresh += min(othersPart*b.probing.others, guess*b.probing.placed) / max(float64(b.track.usable), 1)
	} else {
		fresh *= 1 + guess
	}
	// A cold server's figure is of what it can do now, so a link weighs more there.
	return l + fresh/cmp.Or(b.capacity*b.warmup.part(s, now), math.Inf(1))
}

// Assign says where to send this link, or not yet, or never.
func (b *Balancer) Assign(now float64, l *Session) Decision {
	if !l.known {
		l.known, l.came, l.ran, l.server, l.lot = true, now, l.earlier-1, -1, b.turns.chance.Uint64()
		b.effects.budget.take(now)
		b.guess(l)
		if b.part, _ = b.spread(); b.part < 1 && b.capacity == 0 {
			b.refresh(now) // against a relay's first link, often its only one, finding no budget for cold servers
		}
		l.cold = b.allow(now, l)
	} else if l.cold < 0 && l.tries == 0 && b.admission.ShouldRedraw() {
		if l.LoadHint <= 0 { // against those that came before anything was known counting for nothing now
			b.guess(l)
		}
		l.cold = b.allow(now, l) // it waits for a cold server, as there are no others
	}
	if !b.effects.again(l, now) {
		return b.end(l, now)
	} else if wait := b.hushed - now; wait > 0 && now+2*wait < l.Deadline {
		return Decision{Kind: Queue, Wait: wait}
	}
	s, until := -1, l.came+holdPart*(l.Deadline-l.came)
	if l.patient > 0 || b.effects.let(b.turns.chance) {
		if !b.gather(now, l) {
			return Decision{Kind: Queue, Wait: l.patient - now}
		}
		b.refresh(now)
		full := false
		if s, full = b.choose(l, now); full && l.cold >= 0 && l.tries == 0 && b.admission.ShouldRedraw() {
			b.warmup.asked -= l.grant
			l.cold, l.lot = -1, b.turns.chance.Uint64()
		} else if full {
			until = now
		}
		l.patient = 0
	}
	if s < 0 && now+holdStep < until {
		return Decision{Kind: Queue, Wait: holdStep}
	} else if s < 0 {
		return b.end(l, now)
	}
	b.sent(now, l, s)
	// All the time that is left: a try cut short on a slow store leaves its work there, and asks for more.
	return Decision{Kind: Assign, Backend: b.ids[s], Timeout: l.Deadline - now, Attempt: l.tries - 1}
}

// guess is a link's load until a note tells: what its key weighed last, against a heavy link that one server
// sheds tipping the next; the client's hint; or its category's.
func (b *Balancer) guess(l *Session) {
	if past, ok := b.shares.ended.find(l.Key); ok {
		l.load = past
	} else if l.load = l.LoadHint; l.load > 0 {
		b.learn(l, l.load)
	} else {
		l.load = b.shares.expected(l.Class)
	}
}

// LoadMeasured takes what a link weighs now, in microseconds of work a second.
func (b *Balancer) LoadMeasured(l *Session, load float64) {
	if !(load >= 0) || math.IsInf(load, 1) || !l.out {
		return
	}
	if !l.measured {
		b.learn(l, load)
	}
	b.linkLoads[l.server] += load - l.load
	l.load = load
}

func (b *Balancer) choose(l *Session, now float64) (int, bool) {
	avoid, aim, near := l.server, b.aim(l), b.zone
	open := func(s int) bool {
		return b.condition[s] == Ready && s != avoid && b.sameScope(l, s) && b.may(s, aim) &&
			(s == l.cold && l.tries == 0 && !l.spare || b.warmup.part(s, now) >= 1)
	}
	bound := room - roomBlind*(1-b.part) + roomSpread*min(max(math.Log2(b.shares.worth(l)), -1), 1)
	bounds := [...]float64{nearLoad + nearFee*b.crossing, max(calmLoad, b.mean), bound, bound}
	if aim >= 0 { // how full a zone gets is decided in common
		near, bounds[0] = aim, bound
	}
	if !b.probing.absolute {
		bound = crowded * max(b.mean, nearZero)
		bounds = [...]float64{bound, bound, bound, bound}
	}
	weight := l.load / cmp.Or(b.capacity, math.Inf(1)) // nothing, while nothing is known
	fits := func(s int, limit float64) bool {
		return open(s) && b.load(s, now)+weight/b.warmup.part(s, now) < min(limit, bound)
	}
	chosen := func() bool { return l.cold >= 0 && b.turns.counts[l.cold] > 0 && fits(l.cold, bound) }
	if chosen() {
		return l.cold, false
	}
	// The one departure from turns for a link that returns: its server, or its group's, if that has room.
	if s := l.prefers - 1; s >= 0 && l.tries == 0 && b.turns.counts[s] > 0 && fits(s, bound) {
		return s, false
	}
	for i, limit := range bounds {
		if i == 0 && b.crossing <= 0 && aim < 0 {
			continue // nothing is paid for crossing, so the own zone goes not before: the table need not be walked
		} else if i == 3 {
			avoid = -1
		}
		if s := b.turn(l, func(s int) bool {
			return (i > 0 || ((b.crossing > 0 || aim >= 0) && b.zones[s] == near)) && fits(s, limit)
		}); s >= 0 {
			return s, false
		}
	}
	full := b.shut() || b.turns.next(open) >= 0 // nothing is worth waiting for then
	if l.spare {
		if l.spare = false; chosen() {
			return l.cold, false
		}
	}
	return -1, full
}

// turn takes the next bucket that may have the link, or the one that its group draws with the same chances:
// all relays draw alike, so shared work is paid once, and a link mid-flow finds its server.
func (b *Balancer) turn(l *Session, may func(int) bool) int {
	if !b.grouped && !b.passing {
		return b.turns.next(may)
	}
	best, least, mark := -1, math.Inf(1), b.mark(l)
	for s, n := range b.turns.counts {
		if n > 0 && may(s) {
			if d := draw(mark, b.ids[s]) / float64(n); d < least {
				best, least = s, d
			}
		}
	}
	return best
}

func (b *Balancer) mark(l *Session) uint64 {
	if b.grouped && l.AffinityGroup != 0 {
		return l.AffinityGroup
	} else if b.passing && !b.grouped && l.Key != 0 {
		return l.Key
	}
	return l.lot
}

// sameScope keeps a referenced link that may have run where its repeat is dropped.
func (b *Balancer) sameScope(l *Session, s int) bool {
	c := &b.effects.categories[l.Class]
	return l.ran < 0 || c.Idempotency == Idempotent || c.Scope == ScopeAll ||
		(c.Scope == ScopeZone && b.zones[s] == l.ranZone) || (c.Scope == ScopeCell && b.cells[s] == l.ranCell)
}

// AttemptFinished says what to do after the outcome of a setup try, or of its link; with last, all is over.
func (b *Balancer) AttemptFinished(now float64, l *Session, outcome AttemptOutcome, last bool) Decision {
	if !l.out {
		return Decision{}
	}
	s := l.server
	l.out = false
	b.unbook(l)
	if l.open && l.measured && l.Key != 0 && outcome != OutcomeSucceeded {
		b.shares.ended.keep(now, keyMemory, l.Key, l.load)
	}
	shed := outcome == OutcomeConnectionLost && now < l.sent+shedSoon
	if shed || outcome == OutcomeTimedOut {
		b.health.asked[s] = true
	} else if l.open && outcome != OutcomeConnectionLost && now >= l.sent+shedSoon {
		b.health.witness(s, now, -inFavour)
	}
	switch {
	case outcome == OutcomeConnectionLost && l.open && b.health.failed[s] > 0:
		b.health.lost[s] = true
	case shed && l.open:
		// Against links that go round: shed by one full server they all come to the next, at every relay.
		b.effects.narrow(now, shedPart)
	case outcome == OutcomeUnreachable:
		b.doubt(s)
	case outcome == OutcomeSucceeded && !l.open: // an answer that is no stream
		b.stood(now, l)
	case outcome == OutcomeTimedOut:
		b.probing.askedAt[s] = math.Inf(-1) // a slow shared store times out everywhere: only its probe tells
		b.touch(s)
	}
	// A server that is silent itself says nothing of the store: against a cut zone being taken for a storm.
	if !l.open && (outcome == OutcomeFailed || outcome == OutcomeTimedOut) && b.health.failed[s] == 0 {
		b.effects.judge(l, now, false)
	}
	if !l.open {
		b.effects.out--
		b.tried(s, outcome == OutcomeUnreachable || outcome == OutcomeTimedOut || outcome == OutcomeFailed || outcome == OutcomeConnectionLost)
	}
	if last || l.open || l.gone {
		return Decision{}
	}
	if !outcome.IsUnprocessed() && l.ran < 0 {
		l.ran, l.ranAt, l.ranZone, l.ranCell = s, l.sent, b.zones[s], b.cells[s]
	}
	return b.Assign(now, l)
}

func (b *Balancer) stood(now float64, l *Session) {
	e := b.effects
	fade := math.Exp((e.asOf - now) / tryMemory)
	e.stood, e.over, e.asOf = e.stood*fade+1, e.over*fade+now-e.asOf, now
	b.health.failed[l.server] = 0
	b.touch(l.server)
	e.judge(l, now, now-l.sent <= timely*e.categories[l.Class].LatencyObjective)
}

// SessionEstablished takes that a link stands.
func (b *Balancer) SessionEstablished(now float64, l *Session) {
	if !l.out || l.open {
		return // told twice, or too late
	}
	l.open = true
	b.effects.out--
	b.tried(l.server, false)
	b.stood(now, l)
}

// PollFinished takes the answer to a probe.
func (b *Balancer) PollFinished(now float64, id uint32, ok bool, report []float64) {
	s, known := b.index[id]
	if !known {
		return
	}
	b.probing.sentAt[s] = math.NaN()
	b.answered(s, ok)
	if !ok {
		b.doubt(s)
		return
	}
	if b.health.lost[s] {
		b.health.lost[s] = false
		b.chill(s, now)
	}
	if b.health.failed[s] > 0 {
		b.health.failed[s] = 0
		b.turns.expire()
	}
	b.touch(s)
	b.LoadReported(now, id, report)
}

// LoadReported takes a load report, late as it is.
func (b *Balancer) LoadReported(now float64, id uint32, report []float64) {
	s, known := b.index[id]
	if !known {
		return
	}
	p := b.probing
	if f := p.figure(report, b.weights[s]); !math.IsNaN(f) {
		// Against blaming a server for links that many relays sent it on figures just gone old: it says so now.
		if h := &b.health; h.asked[s] {
			if h.asked[s] = false; p.absolute && f < room {
				h.witness(s, now, against)
			}
		}
		// Up at once, down by parts: a link stays for life, so the busy moments of what comes and goes count.
		if f < p.load[s] {
			f += (p.load[s] - f) * math.Pow(1-easing, (now-p.heardAt[s])/probeEvery)
		}
		p.load[s], p.heardAt[s] = f, now
	}
	p.outdate(s, now-p.lag)
	b.turns.stale = true
}

// IsUnresponsive tells whether a server whose links have brought nothing back for that long is gone without a word.
// Against links that earn nothing there until it is back or the list has left it out, many seconds on.
func (b *Balancer) IsUnresponsive(id uint32, quiet float64) bool {
	s, known := b.index[id]
	return known && quiet >= silentFor && !b.health.good(s)
}

// DrainDelay says how long the nth of so many links that must go is left where it is: to the end of what a stop
// leaves, as a relay stopped before may not be back yet, or as a server goes (0). Paced against a fleet that
// is placed anew by one late report: they come again at once. By chance within its part of the time where
// there are other relays, against many with a link each: every one is its relay's first, and all go in one
// moment. As another process of this relay takes them at once, a stop has all its time.
func (b *Balancer) DrainDelay(nth, of int, within float64) float64 {
	over := leaveOver
	if within > 0 && b.effects.yield {
		over = min(within, leaveOver)
	} else if within > 0 && b.shares.relays < 2 {
		return within // nobody else takes them
	} else if within > 0 {
		over = min(within, stopOver)
	}
	lot := b.turns.chance.Float64() * (1 - 1/b.shares.relays)
	return max(within-over, 0) + over*(float64(nth)+lot)/float64(of)
}

// IsReady tells whether what is known is enough to serve beside another process of the same relay, which serves
// until then: figures of most servers. Where links ask as they come, or nothing can be asked, there is
// nothing to wait for.
func (b *Balancer) IsReady(now float64) bool {
	all, told := 0.0, 0.0
	for s, c := range b.condition {
		if c == Ready && b.health.good(s) {
			if all++; now < b.probing.heardAt[s]+slowest {
				told++
			}
		}
	}
	part, _ := b.spread()
	return !b.probing.allowed || part < 1 || (all > 0 && told >= fitPart*all)
}

// dueAt is when a server that was asked is asked again.
func (b *Balancer) dueAt(s int, every float64) float64 {
	if b.health.failed[s] > 0 {
		return b.probing.askedAt[s] + retryProbe
	}
	return b.probing.askedAt[s] + every*(0.9+0.2*b.probing.lots[s]) // so that probes come to stand apart
}

// NextAction says how long to wait, and which probe or subscription is due now; ask until none is.
func (b *Balancer) NextAction(now float64) Action {
	d := Action{Wait: b.askAt - now}
	if d.Wait <= 0 {
		// Against a subscription that died without a word: its silence is counted.
		b.askAt = now + b.silence()
		return Action{Subscribe: true}
	}
	p := b.probing
	if s := p.pop(); s >= 0 {
		return b.ask(now, s)
	}
	part, every := b.spread()
	if !p.allowed || part == 0 {
		return d
	}
	for i := 0; i < len(b.track.fresh); i++ {
		if s := b.track.fresh[i]; p.lots[s] < part {
			// Against all relays asking all servers at one moment, and against a young relay that is blind.
			p.askedAt[s] = now + b.turns.chance.Float64()*retryProbe - every
			b.touch(s)
			i--
		}
	}
	l := look{now: now, every: every, part: part, pick: -1, wait: d.Wait}
	b.find(&b.track.doubted, 0, 0, &l)
	b.find(&b.track.calm, 0, 0.9*(every-probeEvery), &l)
	if l.pick >= 0 {
		return b.ask(now, l.pick)
	}
	d.Wait = l.wait
	return d
}
