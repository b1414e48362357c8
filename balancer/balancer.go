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
	alpha           = 0.5
	baseBuckets     = 10
	minBuckets      = 2
	maxBuckets      = 3 * baseBuckets
	negligibleLoad  = 0.01   // a mean load under this says nothing of who is busier
	pollInterval    = 1000.0 // the design's start; five seconds is its bound for servers in use
	rebuildInterval = 1000.0 // no more rebuilds than reports to rebuild from
)

const ( // what the design leaves open
	failedPollInterval      = 300.0   // how soon a doubted server is asked again
	defaultMaxReportAge     = 1500.0  // a report may be this old where nobody says, so links placed since are added to it
	maxPollInterval         = 4000.0  // the design's bound of five seconds, less the answer's way
	pollCostShare           = 0.012   // what probes may cost a link, in points of the whole
	candidatesPerSession    = 5       // servers that a link is chosen among, where the whole fleet can't be kept in use
	pollWaitShare           = 0.1     // of its promised time, that a link waits for their answers
	assumedSessionInterval  = 2000.0  // a server is held to be sent one link in this time, until arrivals tell
	savedSlowStartSpans     = 1.0     // spans of the rule on cold servers, for which a budget not used is kept
	observedPaceFactor      = 3.0     // times the pace at which a cold server is filled, once its figure tells of it
	localZoneLoad           = 0.40    // below this, a server of the own zone comes first where crossing is paid for
	localZoneLoadPerFee     = 4.0     // and by how much more for a fee of one
	remoteZonePenaltyPerFee = 20.0    // how much later one across zones is drawn to be asked, for a fee of one
	remoteAssignmentShare   = 0.5     // of what this relay placed, that another relay is held to have placed there too
	remoteRelayDamping      = 64.0    // other relays, from which each further one counts for ever less
	crowdedFactor           = 1.5     // times the mean, above which a server has no room where loads are parts of nothing
	calmLoadLimit           = 0.45    // below this, no server sits turns out for being busier than the mean
	loadLimit               = 0.80    // above this a link of the mean gain per load finds no room
	blindLoadMargin         = 0.15    // less where links ask as they come: what others place between is not seen
	priorityLoadSpread      = 0.08    // how far gain per load moves that bound
	quotaCapacityShare      = 0.8     // of what the fleet holds, that the parties' shares come to
	confidentSessions       = 20.0    // links of its own, from which a relay trusts their load as much as the shares
	minSessionsPerBackend   = 10.0    // links of the mean load that a server bears, where no shares tell
	endedLoadRetention      = 60000.0 // for which the load of a link that broke is kept
	establishedDecay        = 10000.0 // over which links that stand are counted
	loadDecay               = 0.3     // of the way down that a load moves in the time of one report
	queueRetryDelay         = 50.0
	maxQueueShare           = 0.5      // of its time, that a link may wait for a server or for a set-up before it to end
	maxConcurrentAttempts   = 64.0     // set-ups out at once, of all relays
	shedWindow              = 5000.0   // a link that breaks within this was shed by a server too full for it
	shedConcurrencyFactor   = 1.0 / 16 // of the set-ups out at once, then
	timelyShare             = 0.5      // of the promised time, within which a set-up shows that no store is overrun
	unresponsiveAfter       = 1000.0   // after which one that doesn't answer probes either is lost, with its links
	drainSpread             = 3000.0   // over which links are told that must go, as their server does
	shutdownDrainSpread     = 1500.0   // and as this relay stops
	watchSilenceShare       = 0.8      // of the time after which silence counts as told
	watchIntervalPerRelay   = 1000.0   // between two relays' asking of the list anew
	maxWatchBackoff         = 1000.0   // mean wait before a retry of a failed call for the list; half as much again at most
	firstWatchSpread        = 20.0     // between two relays' first asking
	outlierPenalty          = 0.8      // of the doubt left, that a link shed or a try without an answer adds
	outlierForgiveness      = 0.5      // of the doubt, that a link which stood its time takes back
	outlierDecay            = 20000.0  // over which doubt fades to a third
	outlierDecayInterval    = 100.0
	readyShare              = 0.75 // of the servers, whose figures make a relay fit to take over
)

// bucketCount is the paper's formula. A load that is not known comes in as the mean.
func bucketCount(load, mean float64) int {
	if mean < negligibleLoad {
		return baseBuckets
	}
	n := math.Round(baseBuckets * mean / ((1-alpha)*load + alpha*mean))
	return int(min(max(n, minBuckets), maxBuckets))
}

// rebuild spreads each server's buckets evenly, by the golden section against servers in clumps.
func (t *RoundRobin) rebuild(now float64) {
	t.table = t.table[:0]
	for s, n := range t.bucketCounts {
		_, phase := math.Modf(float64(s+1) * 0.6180339887)
		for k := range n {
			t.table = append(t.table, bucket{(float64(k) + phase) / float64(n), s})
		}
	}
	t.sortTable()
	t.position = t.rng.Intn(max(len(t.table), 1))
	t.builtAt, t.stale = now, false
}

// isHealthy wants two failures before a server is out: one lost probe or one stall is not a death.
func (h *OutlierDetector) isHealthy(s int) bool { return h.consecutiveFailures[s] < 2 }

// addEvidence takes what a link went through at a server: a part of what was left to say against it, or of what
// was said is taken back (negative).
func (h *OutlierDetector) addEvidence(s int, now, part float64) {
	h.decay(now)
	a := h.evidence[s]
	h.evidence[s] += max(part, 0)*(1-a) + min(part, 0)*a
	h.meanEvidence += (h.evidence[s] - a) / float64(len(h.evidence))
}

// score is how far a server's word is to be doubted, beyond what is usual: where set-ups go badly
// everywhere, as with a slow store, they say nothing of one server. It fades, so that a server that gets no
// links by it is tried again by ever better chances.
func (h *OutlierDetector) score(s int, now float64) float64 {
	if h.meanEvidence == 0 {
		return 0
	}
	return max(h.evidence[s]-h.meanEvidence, 0) * math.Exp((h.decayedAt-now)/outlierDecay)
}

func (w *SlowStart) capacityShare(s int, now float64) float64 {
	if w.duration <= 0 {
		return 1
	}
	return min(1, w.initialCapacity+(1-w.initialCapacity)*max(0, now-w.startedAt[s])/w.duration)
}

// drawWarmingBackend draws the cold server that a link may go to, or -1. Against hundreds of relays that each spend a link
// at once: over the time since the last link, the chance comes to this relay's part of what fills cold
// servers over their warm-up. To an even share at most; beyond it the link may go there only where no warm
// one has room. Little is saved up, for the same reason. Once the span in which a server can fall is over,
// and a report's time, what all relays sent it shows in its figure; where that is asked for each link the
// budget is wider, against relays that seldom have a link leaving servers idle which they turn clients away
// from.
func (b *Balancer) drawWarmingBackend(now float64, l *Session) int {
	w, mark := b.slowStart, b.affinityHash(l)
	sum, cold, all, pick, least := 0.0, 0.0, float64(b.tracker.usable), -1, math.Inf(1)
	aim := b.targetZone(l)
	for _, s := range b.warmingBackends(now) {
		if b.states[s] != Ready || !b.outliers.isHealthy(s) || !b.zoneAllows(s, aim) {
			continue
		}
		part := w.capacityShare(s, now)
		if b.isLoadObserved(s, now) {
			part *= 1 + (observedPaceFactor-1)*(1-b.activeShare)
		}
		cold, sum = cold+1, sum+part
		if d := exponentialDraw(mark, b.ids[s]) / part; d < least {
			pick, least = s, d
		}
	}
	since := min(now-w.requestedAt, b.admission.SavedTimeLimit(w.overloadSpan, savedSlowStartSpans*w.overloadSpan))
	offered := since * b.admission.OfferedShare(b.attempts.classes[l.Class].PriorityWeight, l.Key, now)
	links := max(b.capacity/b.quotas.meanSessionLoad, 1)
	pace := b.admission.SlowStartBudget(links, w.overloadMultiple, w.initialCapacity, w.overloadSpan, w.overloadMultiple/2*links/w.duration/w.relays, cold, all)
	due := sum * pace * offered / max(l.load/b.quotas.meanSessionLoad, 0.1)
	w.requestedAt = now - b.admission.UnusedTime(since, offered, due)
	lot := b.roundRobin.rng.Float64()
	if !b.attempts.draining && pick >= 0 && lot < due && (lot < cold/all || b.isLoadObserved(pick, now)) {
		l.onlyIfFull, l.slowStartGrant = lot >= cold/all, offered/due
		return pick
	}
	return -1
}

// isLoadObserved tells whether a cold server's figure holds what all relays sent it, and is new as links ask as they
// come.
func (b *Balancer) isLoadObserved(s int, now float64) bool {
	return b.activeShare < 1 && now >= b.slowStart.startedAt[s]+b.slowStart.overloadSpan+b.poller.maxReportAge
}

// loadFromReport is a report's load: x0, or a stand-in. One that is no number, or negative, is none.
func (p *LoadPoller) loadFromReport(report []float64, weight float64) float64 {
	if p.reportField >= len(report) || !(report[p.reportField] >= 0) || math.IsInf(report[p.reportField], 1) {
		return math.NaN()
	} else if p.hasAbsoluteLoad || weight <= 0 {
		return report[p.reportField]
	}
	return report[p.reportField] / weight
}

func (e *AttemptPolicy) canRetry(l *Session, now float64) bool {
	c := &e.classes[l.Class]
	if l.attempts >= e.maxAttempts || now >= l.Deadline || (l.attempts > 0 && !e.withinBudget(now)) {
		return false
	}
	return l.executedBackend < 0 || c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && now < l.executedAt+c.DeduplicationWindow)
}

// recordOutcome widens or halves how many set-ups may be out at once, by whether one stood in good time; one sent
// before the last cut says nothing. Against a wave on a shared store, which then works for links given up.
// All relays together start alike; under one it is a chance, as one set-up from each of hundreds is a wave.
func (e *AttemptPolicy) recordOutcome(l *Session, now float64, good bool) {
	if good {
		e.concurrencyLimit = min(e.concurrencyLimit+min(1/e.concurrencyLimit, e.concurrencyLimit), max(maxConcurrentAttempts/e.relays, 1))
	} else if l.attemptedAt > e.concurrencyReducedAt {
		e.reduceConcurrency(now, 0.5)
	}
}

func (e *AttemptPolicy) reduceConcurrency(now, part float64) {
	e.concurrencyLimit, e.concurrencyReducedAt = max(e.concurrencyLimit*part, 1/e.relays), now
}

func (e *AttemptPolicy) allowAttempt(chance *rand.Rand) bool {
	return e.inFlight < int(e.concurrencyLimit) || (e.inFlight == 0 && chance.Float64() < e.concurrencyLimit)
}

// withinBudget tells whether the budget, where there is one and this process has it, has a try beyond a link's
// first.
func (e *AttemptPolicy) withinBudget(now float64) bool {
	return e.budget.allowsRetry(now) && !(e.draining && e.budget != nil)
}

// giveUp gives the link up. Against telling a client to repeat what may have run: then it is an error.
func (b *Balancer) giveUp(l *Session, now float64) Decision {
	c := &b.attempts.classes[l.Class]
	if l.executedBackend < 0 || c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentByKey && c.Scope == ScopeAll && now+b.attempts.maxRetryAfter < l.executedAt+c.DeduplicationWindow) {
		return Decision{Kind: Reject, Wait: b.retryAfter(l, now)}
	}
	return Decision{Kind: Fail}
}

// retryAfter is when a client is told to come again.
func (b *Balancer) retryAfter(l *Session, now float64) float64 {
	if b.admission == nil {
		return b.attempts.maxRetryAfter
	}
	return b.admission.RetryAfter(b.attempts.maxRetryAfter, l.Key, now, b.roundRobin.rng.Float64())
}

// expectedLoad is the load of a link not yet measured: its category's, drawn to the mean while few are known.
func (s *Quotas) expectedLoad(c int) float64 {
	return (s.classLoads[c]*s.classSamples[c] + s.meanSessionLoad*2) / (s.classSamples[c] + 2)
}

func (s *Quotas) relativePriority(l *Session) float64 {
	gain, load := 0.0, 0.0
	for i, n := range s.classSamples {
		gain, load = gain+(n+1)*s.classes[i].PriorityWeight, load+(n+1)*s.expectedLoad(i)
	}
	own := s.classes[l.Class].PriorityWeight
	if l.Tenant < len(s.sessionQuotas) && s.sessionQuotas[l.Tenant] > 0 {
		n := s.openSessions[l.Tenant] // less its chance: one link would stand for as many as there are relays
		if (n-math.Sqrt(n))*s.relays > s.sessionQuotas[l.Tenant] {
			own *= s.beyondQuotaWeight
		}
	}
	return own / max(l.load, 1e-9) / (gain / load)
}

// UpdateEndpoint takes one entry.
func (b *Balancer) UpdateEndpoint(id uint32, zone int, cond EndpointState, cell int, started, weight float64) {
	s, known := b.indexByID[id]
	if !known && cond == Gone {
		return
	} else if !known {
		s = b.addBackend(id)
	}
	b.confirmStart(s, started)
	if started > b.startedAt[s] {
		// A restart under the same id is a cold server: figures from before say nothing of it.
		b.forgetLoad(s)
		b.startedAt[s], b.outliers.consecutiveFailures[s] = started, 0
		b.startSlowStart(s, started)
	}
	b.states[s], b.zones[s], b.cells[s], b.weights[s], b.inUpdate[s] = cond, zone, cell, weight, true
	b.updateTracking(s)
}

// EndEndpointUpdate closes the news.
func (b *Balancer) EndEndpointUpdate(now float64) {
	b.closeUpdate(now)
	b.roundRobin.invalidate()
	b.watchAt, b.watchFailures = now+b.watchSilence(), 0
	if !b.listReceived && b.mustSubscribe { // the cached list at the start is no answer
		b.watchAt = now + b.roundRobin.rng.Float64()*min(firstWatchSpread*(b.quotas.relays-1), b.watchTimeout/2)
	}
	b.listReceived = true
}

// watchSilence is when the list is asked anew. Against hundreds of relays drowning it: then it tells no drain.
func (b *Balancer) watchSilence() float64 {
	return max(b.watchTimeout*watchSilenceShare, b.quotas.relays*watchIntervalPerRelay)
}

// WatchFailed takes a failed call or a broken subscription, and sets the time of the retry: exponential
// back-off with jitter, bounded, as a change counts as told a fixed time after discovery can be reached again.
func (b *Balancer) WatchFailed(now float64) {
	b.watchFailures = min(b.watchFailures+1, 6)
	wait := float64(int(100)<<b.watchFailures) * (1 + b.quotas.relays/32)
	b.watchAt = now + min(wait, maxWatchBackoff, 2.5*b.watchTimeout)*(0.5+b.roundRobin.rng.Float64())
}

// pollingPlan is the part of the fleet that can be kept in use for what a link may cost in probes, and how often.
func (b *Balancer) pollingPlan() (part, every float64) {
	e, n := b.attempts, max(float64(len(b.ids)), 1)
	rate := (e.established + 1) / (e.establishedSpan + assumedSessionInterval*b.quotas.relays/n)
	every = max(pollInterval, n*b.poller.cost/(rate*pollCostShare))
	return min(max(2-every/maxPollInterval, 0), 1), min(every, maxPollInterval)
}

// refreshWeights rebuilds the table from the figures, when there is news and not sooner than reports can tell any.
func (b *Balancer) refreshWeights(now float64) {
	if !b.roundRobin.stale || (now < b.roundRobin.builtAt+rebuildInterval && b.activeShare >= 1) {
		return
	}
	sum, known, own, fresh, links, ready := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for s, c := range b.states {
		links += float64(b.sessionCounts[s])
		if c == Ready && b.outliers.isHealthy(s) {
			// Against links on servers that leave, held against the others' loads: they make all look larger.
			ready, own, fresh = ready+1, own+b.sessionLoads[s], fresh+b.poller.unreportedLoads[s]
			if !math.IsNaN(b.poller.loads[s]) {
				sum, known = sum+b.loadEstimate(s, now), known+1
			}
		}
	}
	b.meanLoad = sum / max(known, 1)
	bears := b.estimatedCapacity
	if sum > negligibleLoad*known {
		// A young relay holds too few, so the highest is kept; but not of links that no figure holds yet, which
		// make servers look larger. They count while they are new, as else they would find no room.
		scale := b.quotas.relays / sum * known / ready
		b.estimatedCapacity = max(0.99*b.estimatedCapacity, max(own-fresh, 0)*scale)
		bears = max(b.estimatedCapacity, own*scale)
	}
	// The parties' shares tell for all relays what one with a handful of links can't guess from them.
	faith := min(confidentSessions, b.quotas.totalQuota)
	told := b.quotas.totalQuota / quotaCapacityShare / max(b.initialBackends, 1) * b.quotas.meanSessionLoad
	b.capacity = b.admission.EstimateCapacity((links*bears+faith*told)/max(links+faith, 1), links+faith)
	if faith == 0 && b.capacity > 0 {
		// Against a relay just back that is told no shares: of the few links it holds each looks larger than a
		// server, so that it takes none, and never learns better.
		b.capacity = max(b.capacity, minSessionsPerBackend*b.quotas.meanSessionLoad)
	}
	for s, c := range b.states {
		b.roundRobin.bucketCounts[s] = 0
		if c == Ready && b.outliers.isHealthy(s) && (b.activeShare >= 1 || now < b.poller.reportedAt[s]+maxPollInterval) {
			b.roundRobin.bucketCounts[s] = bucketCount(b.effectiveLoad(s, now), b.meanLoad)
		}
	}
	b.roundRobin.rebuild(now)
}

// awaitPolls has the servers asked that a link is to be chosen among, and tells whether that is done. Against
// hundreds of relays that each keep the whole fleet in use, at many times what a link may cost. Where all
// that it asked are full it ends: asking on, links of a fleet without room fill the last gaps, and all stand
// too high.
func (b *Balancer) awaitPolls(now float64, l *Session) bool {
	p := b.poller
	if b.activeShare, _ = b.pollingPlan(); !p.enabled || b.activeShare >= 1 {
		return true
	}
	if l.pollsUntil == 0 {
		l.pollsUntil = min(now+pollWaitShare*b.attempts.classes[l.Class].LatencyObjective, l.Deadline)
		b.requestCandidatePolls(now, l)
	}
	return now >= l.pollsUntil || !slices.ContainsFunc(l.candidates, func(s int) bool {
		return p.requested[s] || !math.IsNaN(p.pollSentAt[s])
	})
}

func (b *Balancer) requestCandidatePolls(now float64, l *Session) {
	p, mark, aim := b.poller, b.affinityHash(l), b.targetZone(l)
	want := int(max(min(candidatesPerSession, pollCostShare/max(p.cost, 1e-9)), 1))
	l.candidates, b.candidateDraws = l.candidates[:0], b.candidateDraws[:0]
	for s, id := range b.ids {
		if b.states[s] != Ready || s == l.backend || b.slowStart.capacityShare(s, now) < 1 || !b.withinDeduplicationScope(l, s) ||
			!b.zoneAllows(s, aim) || (b.outliers.consecutiveFailures[s] > 0 && now < p.polledAt[s]+maxPollInterval) {
			continue
		}
		d := exponentialDraw(mark, id)
		if b.zones[s] != b.localZone {
			d *= 1 + remoteZonePenaltyPerFee*b.crossZoneFee
		}
		if at, _ := slices.BinarySearch(b.candidateDraws, d); at < want {
			l.candidates, b.candidateDraws = slices.Insert(l.candidates, at, s), slices.Insert(b.candidateDraws, at, d)
			l.candidates, b.candidateDraws = l.candidates[:min(len(l.candidates), want)], b.candidateDraws[:min(len(b.candidateDraws), want)]
		}
	}
	if l.warmingBackend >= 0 {
		l.candidates = append(l.candidates, l.warmingBackend)
	}
	for _, s := range l.candidates {
		p.requestPoll(s, now)
	}
}

// effectiveLoad is what a server is held to bear: its figure, and what links went through there, up to a full load.
// Against reports of little from a server that sheds them or does not answer, whose turns would be the most.
// A report is believed as far as links bear it out.
func (b *Balancer) effectiveLoad(s int, now float64) float64 {
	return b.loadEstimate(s, now) + b.outliers.score(s, now)
}

// loadEstimate is the server's figure with what was put there since: against a wave that all follows one late
// figure.
func (b *Balancer) loadEstimate(s int, now float64) float64 {
	l := b.poller.loads[s]
	if math.IsNaN(l) {
		l = b.meanLoad
	}
	others := b.quotas.relays - 1
	fresh := b.poller.unreportedLoads[s]
	guess := remoteAssignmentShare * others / (1 + others/remoteRelayDamping)
	if b.poller.remoteUnreported >= 0 && b.slowStart.capacityShare(s, now) >= 1 {
		// They say themselves what they placed. Against a few links of this relay's that came to one server by
		// chance counting for everybody's there. Never beyond the guess for all together, as a young relay's
		// capacity is by its own links. Cold servers stay with the guess, which asks for more room.
		fresh += min(remoteAssignmentShare*b.poller.remoteUnreported, guess*b.poller.unreportedTotal) / max(float64(b.tracker.usable), 1)
	} else {
		fresh *= 1 + guess
	}
	// A cold server's figure is of what it can do now, so a link weighs more there.
	return l + fresh/cmp.Or(b.capacity*b.slowStart.capacityShare(s, now), math.Inf(1))
}

// Assign says where to send this link, or not yet, or never.
func (b *Balancer) Assign(now float64, l *Session) Decision {
	if !l.known {
		l.known, l.arrivedAt, l.executedBackend, l.backend, l.hash = true, now, l.earlierAttempt-1, -1, b.roundRobin.rng.Uint64()
		b.attempts.budget.recordSession(now)
		b.estimateSessionLoad(l)
		if b.activeShare, _ = b.pollingPlan(); b.activeShare < 1 && b.capacity == 0 {
			b.refreshWeights(now) // against a relay's first link, often its only one, finding no budget for cold servers
		}
		l.warmingBackend = b.drawWarmingBackend(now, l)
	} else if l.warmingBackend < 0 && l.attempts == 0 && b.admission.ShouldRedraw() {
		if l.LoadHint <= 0 { // against those that came before anything was known counting for nothing now
			b.estimateSessionLoad(l)
		}
		l.warmingBackend = b.drawWarmingBackend(now, l) // it waits for a cold server, as there are no others
	}
	if !b.attempts.canRetry(l, now) {
		return b.giveUp(l, now)
	} else if wait := b.pausedUntil - now; wait > 0 && now+2*wait < l.Deadline {
		return Decision{Kind: Queue, Wait: wait}
	}
	s, until := -1, l.arrivedAt+maxQueueShare*(l.Deadline-l.arrivedAt)
	if l.pollsUntil > 0 || b.attempts.allowAttempt(b.roundRobin.rng) {
		if !b.awaitPolls(now, l) {
			return Decision{Kind: Queue, Wait: l.pollsUntil - now}
		}
		b.refreshWeights(now)
		full := false
		if s, full = b.chooseBackend(l, now); full && l.warmingBackend >= 0 && l.attempts == 0 && b.admission.ShouldRedraw() {
			b.slowStart.requestedAt -= l.slowStartGrant
			l.warmingBackend, l.hash = -1, b.roundRobin.rng.Uint64()
		} else if full {
			until = now
		}
		l.pollsUntil = 0
	}
	if s < 0 && now+queueRetryDelay < until {
		return Decision{Kind: Queue, Wait: queueRetryDelay}
	} else if s < 0 {
		return b.giveUp(l, now)
	}
	b.startAttempt(now, l, s)
	// All the time that is left: a try cut short on a slow store leaves its work there, and asks for more.
	return Decision{Kind: Assign, Backend: b.ids[s], Timeout: l.Deadline - now, Attempt: l.attempts - 1}
}

// estimateSessionLoad is a link's load until a note tells: what its key weighed last, against a heavy link that one server
// sheds tipping the next; the client's hint; or its category's.
func (b *Balancer) estimateSessionLoad(l *Session) {
	if past, ok := b.quotas.endedLoads.lookup(l.Key); ok {
		l.load = past
	} else if l.load = l.LoadHint; l.load > 0 {
		b.learnSessionLoad(l, l.load)
	} else {
		l.load = b.quotas.expectedLoad(l.Class)
	}
}

// LoadMeasured takes what a link weighs now, in microseconds of work a second.
func (b *Balancer) LoadMeasured(l *Session, load float64) {
	if !(load >= 0) || math.IsInf(load, 1) || !l.reserved {
		return
	}
	if !l.measured {
		b.learnSessionLoad(l, load)
	}
	b.sessionLoads[l.backend] += load - l.load
	l.load = load
}

func (b *Balancer) chooseBackend(l *Session, now float64) (int, bool) {
	avoid, aim, near := l.backend, b.targetZone(l), b.localZone
	open := func(s int) bool {
		return b.states[s] == Ready && s != avoid && b.withinDeduplicationScope(l, s) && b.zoneAllows(s, aim) &&
			(s == l.warmingBackend && l.attempts == 0 && !l.onlyIfFull || b.slowStart.capacityShare(s, now) >= 1)
	}
	bound := loadLimit - blindLoadMargin*(1-b.activeShare) + priorityLoadSpread*min(max(math.Log2(b.quotas.relativePriority(l)), -1), 1)
	bounds := [...]float64{localZoneLoad + localZoneLoadPerFee*b.crossZoneFee, max(calmLoadLimit, b.meanLoad), bound, bound}
	if aim >= 0 { // how full a zone gets is decided in common
		near, bounds[0] = aim, bound
	}
	if !b.poller.hasAbsoluteLoad {
		bound = crowdedFactor * max(b.meanLoad, negligibleLoad)
		bounds = [...]float64{bound, bound, bound, bound}
	}
	weight := l.load / cmp.Or(b.capacity, math.Inf(1)) // nothing, while nothing is known
	fits := func(s int, limit float64) bool {
		return open(s) && b.effectiveLoad(s, now)+weight/b.slowStart.capacityShare(s, now) < min(limit, bound)
	}
	chosen := func() bool {
		return l.warmingBackend >= 0 && b.roundRobin.bucketCounts[l.warmingBackend] > 0 && fits(l.warmingBackend, bound)
	}
	if chosen() {
		return l.warmingBackend, false
	}
	// The one departure from turns for a link that returns: its server, or its group's, if that has room.
	if s := l.preferred - 1; s >= 0 && l.attempts == 0 && b.roundRobin.bucketCounts[s] > 0 && fits(s, bound) {
		return s, false
	}
	for i, limit := range bounds {
		if i == 0 && b.crossZoneFee <= 0 && aim < 0 {
			continue // nothing is paid for crossing, so the own zone goes not before: the table need not be walked
		} else if i == 3 {
			avoid = -1
		}
		if s := b.pickBackend(l, func(s int) bool {
			return (i > 0 || ((b.crossZoneFee > 0 || aim >= 0) && b.zones[s] == near)) && fits(s, limit)
		}); s >= 0 {
			return s, false
		}
	}
	full := b.allZonesClosed() || b.roundRobin.pick(open) >= 0 // nothing is worth waiting for then
	if l.onlyIfFull {
		if l.onlyIfFull = false; chosen() {
			return l.warmingBackend, false
		}
	}
	return -1, full
}

// pickBackend takes the next bucket that may have the link, or the one that its group draws with the same chances:
// all relays draw alike, so shared work is paid once, and a link mid-flow finds its server.
func (b *Balancer) pickBackend(l *Session, may func(int) bool) int {
	if !b.usesAffinityGroups && !b.sessionsOutliveRelay {
		return b.roundRobin.pick(may)
	}
	best, least, mark := -1, math.Inf(1), b.affinityHash(l)
	for s, n := range b.roundRobin.bucketCounts {
		if n > 0 && may(s) {
			if d := exponentialDraw(mark, b.ids[s]) / float64(n); d < least {
				best, least = s, d
			}
		}
	}
	return best
}

func (b *Balancer) affinityHash(l *Session) uint64 {
	if b.usesAffinityGroups && l.AffinityGroup != 0 {
		return l.AffinityGroup
	} else if b.sessionsOutliveRelay && !b.usesAffinityGroups && l.Key != 0 {
		return l.Key
	}
	return l.hash
}

// withinDeduplicationScope keeps a referenced link that may have run where its repeat is dropped.
func (b *Balancer) withinDeduplicationScope(l *Session, s int) bool {
	c := &b.attempts.classes[l.Class]
	return l.executedBackend < 0 || c.Idempotency == Idempotent || c.Scope == ScopeAll ||
		(c.Scope == ScopeZone && b.zones[s] == l.executedZone) || (c.Scope == ScopeCell && b.cells[s] == l.executedCell)
}

// AttemptFinished says what to do after the outcome of a setup try, or of its link; with last, all is over.
func (b *Balancer) AttemptFinished(now float64, l *Session, outcome AttemptOutcome, last bool) Decision {
	if !l.reserved {
		return Decision{}
	}
	s := l.backend
	l.reserved = false
	b.release(l)
	if l.established && l.measured && l.Key != 0 && outcome != OutcomeSucceeded {
		b.quotas.endedLoads.store(now, endedLoadRetention, l.Key, l.load)
	}
	shed := outcome == OutcomeConnectionLost && now < l.attemptedAt+shedWindow
	if shed || outcome == OutcomeTimedOut {
		b.outliers.awaitsReport[s] = true
	} else if l.established && outcome != OutcomeConnectionLost && now >= l.attemptedAt+shedWindow {
		b.outliers.addEvidence(s, now, -outlierForgiveness)
	}
	switch {
	case outcome == OutcomeConnectionLost && l.established && b.outliers.consecutiveFailures[s] > 0:
		b.outliers.sessionsLost[s] = true
	case shed && l.established:
		// Against links that go round: shed by one full server they all come to the next, at every relay.
		b.attempts.reduceConcurrency(now, shedConcurrencyFactor)
	case outcome == OutcomeUnreachable:
		b.recordFailure(s)
	case outcome == OutcomeSucceeded && !l.established: // an answer that is no stream
		b.recordEstablished(now, l)
	case outcome == OutcomeTimedOut:
		b.poller.polledAt[s] = math.Inf(-1) // a slow shared store times out everywhere: only its probe tells
		b.updateTracking(s)
	}
	// A server that is silent itself says nothing of the store: against a cut zone being taken for a storm.
	if !l.established && (outcome == OutcomeFailed || outcome == OutcomeTimedOut) && b.outliers.consecutiveFailures[s] == 0 {
		b.attempts.recordOutcome(l, now, false)
	}
	if !l.established {
		b.attempts.inFlight--
		b.observeAttempt(s, outcome == OutcomeUnreachable || outcome == OutcomeTimedOut || outcome == OutcomeFailed || outcome == OutcomeConnectionLost)
	}
	if last || l.established || l.clientGone {
		return Decision{}
	}
	if !outcome.IsUnprocessed() && l.executedBackend < 0 {
		l.executedBackend, l.executedAt, l.executedZone, l.executedCell = s, l.attemptedAt, b.zones[s], b.cells[s]
	}
	return b.Assign(now, l)
}

func (b *Balancer) recordEstablished(now float64, l *Session) {
	e := b.attempts
	fade := math.Exp((e.establishedAsOf - now) / establishedDecay)
	e.established, e.establishedSpan, e.establishedAsOf = e.established*fade+1, e.establishedSpan*fade+now-e.establishedAsOf, now
	b.outliers.consecutiveFailures[l.backend] = 0
	b.updateTracking(l.backend)
	e.recordOutcome(l, now, now-l.attemptedAt <= timelyShare*e.classes[l.Class].LatencyObjective)
}

// SessionEstablished takes that a link stands.
func (b *Balancer) SessionEstablished(now float64, l *Session) {
	if !l.reserved || l.established {
		return // told twice, or too late
	}
	l.established = true
	b.attempts.inFlight--
	b.observeAttempt(l.backend, false)
	b.recordEstablished(now, l)
}

// PollFinished takes the answer to a probe.
func (b *Balancer) PollFinished(now float64, id uint32, ok bool, report []float64) {
	s, known := b.indexByID[id]
	if !known {
		return
	}
	b.poller.pollSentAt[s] = math.NaN()
	b.observePoll(s, ok)
	if !ok {
		b.recordFailure(s)
		return
	}
	if b.outliers.sessionsLost[s] {
		b.outliers.sessionsLost[s] = false
		b.startSlowStart(s, now)
	}
	if b.outliers.consecutiveFailures[s] > 0 {
		b.outliers.consecutiveFailures[s] = 0
		b.roundRobin.invalidate()
	}
	b.updateTracking(s)
	b.LoadReported(now, id, report)
}

// LoadReported takes a load report, late as it is.
func (b *Balancer) LoadReported(now float64, id uint32, report []float64) {
	s, known := b.indexByID[id]
	if !known {
		return
	}
	p := b.poller
	if f := p.loadFromReport(report, b.weights[s]); !math.IsNaN(f) {
		// Against blaming a server for links that many relays sent it on figures just gone old: it says so now.
		if h := &b.outliers; h.awaitsReport[s] {
			if h.awaitsReport[s] = false; p.hasAbsoluteLoad && f < loadLimit {
				h.addEvidence(s, now, outlierPenalty)
			}
		}
		// Up at once, down by parts: a link stays for life, so the busy moments of what comes and goes count.
		if f < p.loads[s] {
			f += (p.loads[s] - f) * math.Pow(1-loadDecay, (now-p.reportedAt[s])/pollInterval)
		}
		p.loads[s], p.reportedAt[s] = f, now
	}
	p.dropReported(s, now-p.maxReportAge)
	b.roundRobin.stale = true
}

// IsUnresponsive tells whether a server whose links have brought nothing back for that long is gone without a word.
// Against links that earn nothing there until it is back or the list has left it out, many seconds on.
func (b *Balancer) IsUnresponsive(id uint32, quiet float64) bool {
	s, known := b.indexByID[id]
	return known && quiet >= unresponsiveAfter && !b.outliers.isHealthy(s)
}

// DrainDelay says how long the nth of so many links that must go is left where it is: to the end of what a stop
// leaves, as a relay stopped before may not be back yet, or as a server goes (0). Paced against a fleet that
// is placed anew by one late report: they come again at once. By chance within its part of the time where
// there are other relays, against many with a link each: every one is its relay's first, and all go in one
// moment. As another process of this relay takes them at once, a stop has all its time.
func (b *Balancer) DrainDelay(nth, of int, within float64) float64 {
	over := drainSpread
	if within > 0 && b.attempts.draining {
		over = min(within, drainSpread)
	} else if within > 0 && b.quotas.relays < 2 {
		return within // nobody else takes them
	} else if within > 0 {
		over = min(within, shutdownDrainSpread)
	}
	lot := b.roundRobin.rng.Float64() * (1 - 1/b.quotas.relays)
	return max(within-over, 0) + over*(float64(nth)+lot)/float64(of)
}

// IsReady tells whether what is known is enough to serve beside another process of the same relay, which serves
// until then: figures of most servers. Where links ask as they come, or nothing can be asked, there is
// nothing to wait for.
func (b *Balancer) IsReady(now float64) bool {
	all, told := 0.0, 0.0
	for s, c := range b.states {
		if c == Ready && b.outliers.isHealthy(s) {
			if all++; now < b.poller.reportedAt[s]+maxPollInterval {
				told++
			}
		}
	}
	part, _ := b.pollingPlan()
	return !b.poller.enabled || part < 1 || (all > 0 && told >= readyShare*all)
}

// nextPollAt is when a server that was asked is asked again.
func (b *Balancer) nextPollAt(s int, every float64) float64 {
	if b.outliers.consecutiveFailures[s] > 0 {
		return b.poller.polledAt[s] + failedPollInterval
	}
	return b.poller.polledAt[s] + every*(0.9+0.2*b.poller.selectionDraws[s]) // so that probes come to stand apart
}

// NextAction says how long to wait, and which probe or subscription is due now; ask until none is.
func (b *Balancer) NextAction(now float64) Action {
	d := Action{Wait: b.watchAt - now}
	if d.Wait <= 0 {
		// Against a subscription that died without a word: its silence is counted.
		b.watchAt = now + b.watchSilence()
		return Action{Subscribe: true}
	}
	p := b.poller
	if s := p.nextRequested(); s >= 0 {
		return b.startPoll(now, s)
	}
	part, every := b.pollingPlan()
	if !p.enabled || part == 0 {
		return d
	}
	for i := 0; i < len(b.tracker.neverPolled); i++ {
		if s := b.tracker.neverPolled[i]; p.selectionDraws[s] < part {
			// Against all relays asking all servers at one moment, and against a young relay that is blind.
			p.polledAt[s] = now + b.roundRobin.rng.Float64()*failedPollInterval - every
			b.updateTracking(s)
			i--
		}
	}
	l := pollSearch{now: now, interval: every, share: part, backend: -1, wait: d.Wait}
	b.searchQueue(&b.tracker.failedQueue, 0, 0, &l)
	b.searchQueue(&b.tracker.healthyQueue, 0, 0.9*(every-pollInterval), &l)
	if l.backend >= 0 {
		return b.startPoll(now, l.backend)
	}
	d.Wait = l.wait
	return d
}
