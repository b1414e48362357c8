// Package logic decides for one relay where each new link goes, by weighted turns whose bucket counts follow
// probed load. A link that stands keeps its server for life.
//
// Callers use it like a client library, one Balancer a relay, never shared. Three calls answer: Place (where
// to send this link, or not yet, or never), After (what to do after this outcome) and Next (how long to wait,
// and the probe or subscription due; asked until it names none). What is seen comes in by ListBegan, Listed,
// ListEnded, ListFailed, Probed, Reported, Accepted, Weighed, Resumed and Vanished. Plain types and their
// bookkeeping are in types.go; the interface is the exported methods of Balancer. New takes each part with
// its own settings. Times are milliseconds on the caller's clock.
package logic

import (
	"cmp"
	"math"
	"slices"
)

// The design's constants, as its page gives them.
const (
	alpha       = 0.5
	base        = 10
	fewest      = 2
	most        = 3 * base
	nearZero    = 0.01   // a mean load under this says nothing of who is busier
	probeEvery  = 1000.0 // the design's start; five seconds is its bound for servers in use
	rebuildTime = 1000.0 // no more rebuilds than reports to rebuild from
)

// What the design leaves open.
const (
	retryProbe = 300.0   // how soon a doubted server is asked again
	reportLag  = 1500.0  // a report may be this old, so links placed since are added to it
	nearLoad   = 0.40    // below this, a server of the own zone comes first where crossing is paid for
	nearFee    = 4.0     // and by how much more for a fee of one
	othersPart = 0.5     // of what this relay placed, that each other relay is held to have placed there too
	calmLoad   = 0.45    // below this, no server sits turns out for being busier than the mean
	room       = 0.80    // above this a link of the mean gain per load finds no room
	roomSpread = 0.08    // how far gain per load moves that bound
	coldPace   = 1.0     // of what a cold server can do, against the fall multiple of the settings
	keyMemory  = 60000.0 // for which the load of a link that broke is kept, at least
	tryMemory  = 10000.0 // over which links that stand are counted
	easing     = 0.3     // of the way down that one report moves a load
	fading     = 0.995   // of the capacity held, at each rebuild
	holdStep   = 50.0
	holdPart   = 0.5    // of its time, that a link may wait for a server or for a set-up before it to end
	widest     = 64.0   // set-ups out at once
	timely     = 0.5    // of the promised time, within which a set-up shows that no store is overrun
	askPart    = 0.8    // of the time after which silence counts as told
	probeShare = 0.012  // what probes may cost a link, in points of the whole
	slowest    = 4000.0 // the design's bound of five seconds, less the answer's way
)

// buckets is the paper's formula. A load that is not known comes in as the mean.
func buckets(load, mean float64) int {
	if mean < nearZero {
		return base
	}
	n := math.Round(base * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(n, fewest), most))
}

// build spreads each server's buckets evenly. Phases differ by the golden section, since servers with like
// counts would otherwise come up in clumps, in the same order in every round.
func (t *Turns) build(now float64) {
	t.table = t.table[:0]
	for s, n := range t.counts {
		_, phase := math.Modf(float64(s+1) * 0.6180339887)
		for k := range n {
			t.table = append(t.table, bucket{(float64(k) + phase) / float64(n), s})
		}
	}
	slices.SortFunc(t.table, func(a, b bucket) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	if len(t.table) > 0 {
		t.at = t.chance.Intn(len(t.table))
	}
	t.built, t.stale = now, false
}

// next walks on to the first bucket whose server may take the link.
func (t *Turns) next(may func(server int) bool) int {
	for range t.table {
		s := t.table[t.at].server
		t.at = (t.at + 1) % len(t.table)
		if may(s) {
			return s
		}
	}
	return -1
}

// good wants two failures before a server is out: one lost probe or one stall is not a death.
func (h *Health) good(s int) bool { return h.failed[s] < 2 }

// part is the least that the server can do now, as a part of its capacity.
func (w *Warmup) part(s int, now float64) float64 {
	if w.length <= 0 {
		return 1
	}
	return min(1, w.from+(1-w.from)*max(0, now-w.since[s])/w.length)
}

func (w *Warmup) chill(s int, since, now float64) {
	w.since[s], w.asOf[s] = since, now
	// Against all relays spending their first link on it at the same moment.
	w.tokens[s] = w.chance.Float64() * 0.8
}

// ready keeps one relay's part of the budget, so that no agreement is needed: links, weighed against the mean
// one, come no faster than would fill what it can do now over its warm-up, split evenly over the relays.
func (w *Warmup) ready(s int, now, fill, weight float64) bool {
	part := w.part(s, now)
	if part >= 1 {
		return true
	}
	w.tokens[s] = min(1, w.tokens[s]+min(coldPace, w.multiple/2)*part*fill/w.length/w.relays*(now-w.asOf[s]))
	w.asOf[s] = now
	return w.tokens[s] >= min(1, weight)
}

// figure makes a load from a report: x0 is one already; the others are stand-ins, of which the busy part of
// the cores is nearest. Against a lie: a figure that is no number, or negative, is no figure.
func (p *Probing) figure(report []float64, weight float64) float64 {
	best, rank := math.NaN(), len(standIns)
	for i, name := range p.fields {
		at := slices.Index(standIns[:], name)
		if i >= len(report) || at < 0 || at >= rank {
			continue
		}
		if v := report[i]; v >= 0 && !math.IsInf(v, 1) {
			best, rank = v, at
			if name != "x0" && name != "cpu" && weight > 0 {
				best /= weight
			}
		}
	}
	return best
}

// standIns are the report fields a load can be read from, the best first.
var standIns = [...]string{"x0", "cpu", "active", "rps", "waiting", "x1", "avg_ms"}

// again tells whether another setup try is allowed at all now.
func (e *Effects) again(l *Link, now float64) bool {
	c := &e.categories[l.Category]
	if l.tries >= e.mostTries || now >= l.Limit {
		return false
	}
	return l.ran < 0 || c.Effect == Replayable || (c.Effect == Referenced && now < l.ranAt+c.RepeatWindow)
}

// judge widens or halves how many set-ups may be out at once, by whether one stood in good time; one
// sent before the last cut says nothing new. Against a wave on a shared store: set-ups queue there until they
// time out, and all its work is wasted on links that were given up.
func (e *Effects) judge(l *Link, now float64, good bool) {
	if good {
		e.width = min(e.width+1/e.width, widest)
	} else if l.sent > e.cutAt {
		e.width, e.cutAt = max(e.width/2, 1), now
	}
}

// end gives the link up, at once. Against telling a client to repeat what may have run: then it is an error.
func (e *Effects) end(l *Link, now float64) Answer {
	c := &e.categories[l.Category]
	harmless := l.ran < 0 || c.Effect == Replayable ||
		(c.Effect == Referenced && c.Scope == ScopeAll && now+e.maxBack < l.ranAt+c.RepeatWindow)
	if !harmless {
		return Answer{Verdict: Fail}
	}
	return Answer{Verdict: Reject, Wait: e.maxBack}
}

// weigh learns what links of a category weigh.
func (s *Shares) weigh(c int, load float64) {
	s.weighed[c] = min(s.weighed[c]+1, 50)
	s.loads[c] += (load - s.loads[c]) / s.weighed[c]
	sum, n := 0.0, 0.0
	for i, w := range s.weighed {
		sum, n = sum+s.loads[i]*w, n+w
	}
	s.loadMean = sum / n
}

// expected is the load of a link not yet measured: its category's, drawn to the mean while few are known.
func (s *Shares) expected(c int) float64 {
	return (s.loads[c]*s.weighed[c] + s.loadMean*2) / (s.weighed[c] + 2)
}

// worth is the link's gain per load over the mean's, as it arrives.
func (s *Shares) worth(l *Link) float64 {
	gain, load := 0.0, 0.0
	for i, n := range s.weighed {
		gain, load = gain+(n+1)*s.categories[i].Gain, load+(n+1)*s.expected(i)
	}
	own := s.categories[l.Category].Gain
	if l.Party < len(s.quotas) && s.quotas[l.Party] > 0 && s.held[l.Party]*s.relays > s.quotas[l.Party] {
		own *= s.beyond
	}
	return own / max(l.load, 1e-9) / (gain / load)
}

// Listed takes one entry.
func (b *Balancer) Listed(now float64, id uint32, zone int, cond Condition, cell int, started, weight float64,
) {
	s, known := b.index[id]
	if !known {
		if cond == Gone {
			return
		}
		s = b.add(id)
	}
	if started > b.started[s] {
		// A restart under the same id is a cold server: figures from before say nothing of it.
		b.started[s] = started
		b.warmup.chill(s, started, now)
		b.probing.load[s] = math.NaN()
		b.probing.since[s], b.probing.fresh[s] = b.probing.since[s][:0], 0
		b.health.failed[s] = 0
	}
	b.condition[s], b.zones[s], b.cells[s], b.weights[s], b.mentioned[s] = cond, zone, cell, weight, true
}

// ListEnded closes the news. What whole news left out is gone.
func (b *Balancer) ListEnded(now float64) {
	for s := range b.mentioned {
		if b.whole && !b.mentioned[s] {
			b.condition[s] = Gone
		}
	}
	b.turns.expire()
	if b.heard { // the cached list at the start is no answer
		b.askAt, b.failures = now+b.askWithin*askPart, 0
	}
	b.heard = true
}

// ListFailed takes a failed call or a broken subscription.
func (b *Balancer) ListFailed(now float64) {
	b.failures = min(b.failures+1, 4)
	b.askAt = now + float64(int(100)<<b.failures)*(0.5+b.turns.chance.Float64())
}

// refresh rebuilds the table from the figures, when there is news and not sooner than reports can tell any.
func (b *Balancer) refresh(now float64) {
	if !b.turns.stale || now < b.turns.built+rebuildTime {
		return
	}
	sum, known, own := 0.0, 0.0, 0.0
	b.ready = 0
	for s, c := range b.condition {
		own += b.linkLoads[s]
		if c == Ready && b.health.good(s) {
			b.ready++
			if !math.IsNaN(b.probing.load[s]) {
				sum, known = sum+b.load(s), known+1
			}
		}
	}
	b.mean = sum / max(known, 1)
	if sum > nearZero*known {
		// The most seen, fading: a relay just restarted holds less than its part of the links, but one late
		// report must not count for ever.
		b.capacity = max(fading*b.capacity, own*b.shares.relays/sum*known/b.ready)
	}
	for s, c := range b.condition {
		b.turns.counts[s] = 0
		if c == Ready && b.health.good(s) {
			l := b.load(s)
			if b.warmup.part(s, now) < 1 {
				l = max(l, b.mean) // a cold server is idle because it is cold: no more than an even share
			}
			b.turns.counts[s] = buckets(l, b.mean)
		}
	}
	b.turns.build(now)
}

// load is the server's figure with what this relay has put there since: against a wave of links inside one
// probe interval, all of which would follow the same figure.
func (b *Balancer) load(s int) float64 {
	l := b.probing.load[s]
	if math.IsNaN(l) {
		l = b.mean
	}
	if b.capacity > 0 {
		l += b.probing.fresh[s] * (1 + othersPart*(b.shares.relays-1)) / b.capacity
	}
	return l
}

// Place says where to send this link, or not yet, or never.
func (b *Balancer) Place(now float64, l *Link) Answer {
	if !l.known {
		l.known, l.came, l.ran, l.server = true, now, -1, -1
		b.guess(l)
	}
	if !b.effects.again(l, now) {
		return b.effects.end(l, now)
	}
	s, until := -1, l.came+holdPart*(l.Limit-l.came)
	if b.effects.out < int(b.effects.width) {
		b.refresh(now)
		var crowded bool
		if s, crowded = b.choose(l, now); crowded {
			until = now
		}
	}
	if s < 0 {
		if now+holdStep < until {
			return Answer{Verdict: Hold, Wait: holdStep}
		}
		return b.effects.end(l, now)
	}
	b.effects.out++
	l.tries, l.server, l.sent, l.out = l.tries+1, s, now, true
	b.book(l)
	b.probing.since[s] = append(b.probing.since[s], placed{now, l.load})
	b.probing.fresh[s] += l.load
	if b.warmup.part(s, now) < 1 {
		b.warmup.tokens[s] -= l.load / b.shares.loadMean
	}
	// All the time that is left: a try cut short on a slow store leaves its work there, and asks for more.
	return Answer{Verdict: Send, Backend: b.ids[s], Timeout: l.Limit - now, Round: l.tries - 1}
}

// guess is a link's load until a note tells: what its key weighed last, the client's hint, or its category's.
// The first is against a heavy link that one server shed being taken for a usual one by the next, and so on.
func (b *Balancer) guess(l *Link) {
	if past, ok := b.shares.ended.find(l.Key); ok {
		l.load = past.load
	} else if l.load = l.Hint; l.load > 0 {
		b.shares.weigh(l.Category, l.load)
		l.measured = true
	} else {
		l.load = b.shares.expected(l.Category)
	}
}

// choose walks the turns over the servers that count as ready for this link; crowded tells that some are
// there, but have no room for it.
func (b *Balancer) choose(l *Link, now float64) (int, bool) {
	avoid := l.server
	fill := b.capacity / b.shares.loadMean
	open := func(s int) bool {
		return b.condition[s] == Ready && s != avoid && b.sameScope(l, s) &&
			b.warmup.ready(s, now, fill, l.load/b.shares.loadMean)
	}
	// A link that flows goes on only where it was.
	past, ok := b.shares.ended.find(l.Key)
	if ok && l.MidFlow && l.tries == 0 && b.condition[past.server] == Ready {
		return past.server, false
	}
	bound := room + roomSpread*min(max(math.Log2(b.shares.worth(l)), -1), 1)
	weight := 0.0
	if b.capacity > 0 {
		weight = l.load / b.capacity
	}
	below := func(s int, bound float64) bool {
		if !b.probing.absolute {
			return open(s) && b.load(s) <= 1.5*max(b.mean, nearZero)
		}
		return open(s) && b.load(s)+weight < bound
	}
	near := func(s int) bool { return b.zones[s] == b.zone && below(s, min(nearLoad+nearFee*b.crossing, bound)) }
	calm := func(s int) bool { return below(s, min(max(calmLoad, b.mean), bound)) }
	fits := func(s int) bool { return below(s, bound) }
	for i, may := range [...]func(int) bool{near, calm, fits, fits} {
		if i == 0 && b.crossing <= 0 {
			continue
		}
		if i == 3 {
			avoid = -1
		}
		if s := b.turn(l, may); s >= 0 {
			return s, false
		}
	}
	return -1, b.turns.next(open) >= 0
}

// turn takes the next bucket that may have the link. A link of a group takes the bucket that its group draws:
// each server still has chances by its buckets, but all relays draw alike, so the shared work is paid once.
// So does a link that may reach another relay mid-flow, which then finds its server.
func (b *Balancer) turn(l *Link, may func(int) bool) int {
	mark := uint64(0)
	if b.grouped {
		mark = l.Group
	} else if b.passing {
		mark = l.Key
	}
	if mark == 0 {
		return b.turns.next(may)
	}
	best, least := -1, math.Inf(1)
	for s, n := range b.turns.counts {
		if n > 0 && may(s) {
			if d := draw(mark, b.ids[s]) / float64(n); d < least {
				best, least = s, d
			}
		}
	}
	return best
}

// draw is an exponential chance that depends on nothing but the mark and the server.
func draw(mark uint64, id uint32) float64 {
	x := mark ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}

// sameScope keeps a referenced link that may have run where its repeat is dropped.
func (b *Balancer) sameScope(l *Link, s int) bool {
	c := &b.effects.categories[l.Category]
	if l.ran < 0 || c.Effect == Replayable || c.Scope == ScopeAll {
		return true
	}
	if c.Scope == ScopeZone {
		return b.zones[s] == l.ranZone
	}
	return b.cells[s] == l.ranCell
}

// After says what to do after the outcome of a setup try, or of the link that it set up. Last tells that the
// link is over with it.
func (b *Balancer) After(now float64, l *Link, outcome Outcome, last bool) Answer {
	if !l.out {
		return Answer{}
	}
	s := l.server
	l.out = false
	if !l.open {
		b.effects.out--
	}
	b.unbook(l)
	if l.open && l.measured && l.Key != 0 && outcome != Satisfied {
		b.shares.ended.keep(now, keyMemory, l.Key, left{l.load, s})
	}
	switch {
	case outcome == Broken && l.open && b.health.failed[s] > 0:
		b.health.lost[s] = true
	case outcome == Unreachable:
		b.doubt(s)
	case outcome == Satisfied && !l.open: // an answer that is no stream
		b.stood(now, l)
	case outcome == TimedOut && !l.open:
		// Against a slow shared store, which times out set-ups everywhere: only the server's own probe tells.
		b.probing.askedAt[s] = min(b.probing.askedAt[s], now-b.interval())
	}
	// A server that is silent itself says nothing of the store: against a cut zone being taken for a storm.
	if !l.open && (outcome == Errored || outcome == TimedOut) && b.health.failed[s] == 0 {
		b.effects.judge(l, now, false)
	}
	if last || l.open || l.gone {
		return Answer{}
	}
	if !outcome.neverRan() && l.ran < 0 {
		l.ran, l.ranAt, l.ranZone, l.ranCell = s, l.sent, b.zones[s], b.cells[s]
	}
	return b.Place(now, l)
}

// doubt counts a failure, which also brings the next probe soon.
func (b *Balancer) doubt(s int) {
	b.health.failed[s]++
	b.turns.expire()
}

func (b *Balancer) stood(now float64, l *Link) {
	e := b.effects
	if e.asOf == 0 {
		e.asOf = now - probeEvery
	}
	fade := math.Exp((e.asOf - now) / tryMemory)
	e.stood, e.over, e.asOf = e.stood*fade+1, e.over*fade+now-e.asOf, now
	b.health.failed[l.server] = 0
	e.judge(l, now, now-l.sent <= timely*e.categories[l.Category].PromisedTime)
}

// Accepted takes that a link stands.
func (b *Balancer) Accepted(now float64, l *Link) {
	if !l.out || l.open {
		return // told twice, or too late
	}
	l.open = true
	b.effects.out--
	b.stood(now, l)
}

// Probed takes the answer to a probe.
func (b *Balancer) Probed(now float64, id uint32, ok bool, report []float64) {
	s, known := b.index[id]
	if !known {
		return
	}
	b.probing.sentAt[s] = math.NaN()
	if !ok {
		b.doubt(s)
		return
	}
	if b.health.lost[s] {
		b.health.lost[s] = false
		b.warmup.chill(s, now, now)
	}
	if !b.health.good(s) {
		b.turns.expire()
	}
	b.health.failed[s] = 0
	b.Reported(now, id, report)
}

// Reported takes a load report, late as it is.
func (b *Balancer) Reported(now float64, id uint32, report []float64) {
	s, known := b.index[id]
	if !known {
		return
	}
	p := b.probing
	if f := p.figure(report, b.weights[s]); !math.IsNaN(f) {
		// Up at once, down by parts: a link is placed for life, so against a neighbour program that
		// comes and goes, or loads that swing, the busy moments count.
		if f < p.load[s] {
			f = p.load[s] + easing*(f-p.load[s])
		}
		p.load[s] = f
	}
	p.fresh[s] = 0
	p.since[s] = slices.DeleteFunc(p.since[s], func(x placed) bool { return x.at < now-reportLag })
	for _, x := range p.since[s] {
		p.fresh[s] += x.load
	}
	b.turns.stale = true
}

// interval weighs what probes cost, a link, against how old figures may get.
func (b *Balancer) interval() float64 {
	n := float64(len(b.ids))
	if b.effects.stood == 0 {
		return probeEvery
	}
	return min(max(probeEvery, n*b.probing.fee*b.effects.over/(b.effects.stood*probeShare)), slowest)
}

// Next says how long to wait, and which probe or subscription is due now; ask until none is.
func (b *Balancer) Next(now float64) Due {
	d := Due{Wait: math.Inf(1)}
	if b.asked {
		d.Wait = b.askAt - now
	}
	if d.Wait <= 0 {
		// Against a subscription that died without a word: its silence is counted, well inside the time after
		// which this relay counts as told of all that it missed.
		b.askAt = now + b.askWithin*askPart
		return Due{Subscribe: true}
	}
	if !b.probing.allowed {
		return d
	}
	every := b.interval()
	for s, c := range b.condition {
		if c != Ready || !math.IsNaN(b.probing.sentAt[s]) {
			continue
		}
		if math.IsInf(b.probing.askedAt[s], -1) {
			// Against all relays asking all servers at the same moment, and against a young relay that is blind.
			b.probing.askedAt[s] = now + b.turns.chance.Float64()*retryProbe - every
		}
		wait := b.probing.askedAt[s] + every - now
		if b.health.failed[s] > 0 {
			wait -= every - retryProbe
		}
		if wait <= 0 {
			b.probing.askedAt[s], b.probing.sentAt[s] = now, now
			if math.IsNaN(b.probing.load[s]) {
				b.probing.askedAt[s] -= b.turns.chance.Float64() * every // so that later probes stand apart
			}
			return Due{Probing: true, Probe: b.ids[s]}
		}
		d.Wait = min(d.Wait, wait)
	}
	return d
}
