package balancer

import (
	"cmp"
	"math"
)

const (
	loadLimit         = 0.80 // load at which a backend is full for a session of mean priority
	priorityLoadRange = 0.08 // how far the priority of a session moves that limit at most
	maxPriorityLog    = 1.0  // doublings of the mean priority that move it that far
	blindLoadMargin   = 0.15 // lowers it where candidates are polled: others assign meanwhile unseen
	calmLoadLimit     = 0.45 // below this load no backend is skipped for being busier than the mean
	crowdedFactor     = 1.5  // multiple of the mean load that replaces the limits if loads are not absolute

	localZoneLoad       = 0.40 // backends of the local zone come first up to this load, if crossing zones costs
	localZoneLoadPerFee = 4.0  // and up to so much more, for a fee of one

	queueRetryDelay = 50.0 // until a queued session is decided on again
	maxQueueShare   = 0.5  // share of the time to its deadline that a session may be queued
)

// Assign decides where the session goes: to a backend, into the queue, or nowhere. The caller calls it for a
// new session, and again for one that is queued, after Decision.Wait or when a poll was answered.
//
// A retry is decided here too: AttemptFinished calls Assign for a session whose attempt failed. On the way to
// a backend these are checked, in this order:
//   - the attempt policy (canRetry): attempts left; time left until the deadline; for a retry, the retry
//     budget; if an attempt may have been executed, that the request is idempotent, or by its key and still
//     within the deduplication window;
//   - the pause, if the endpoint list may be out of date;
//   - concurrency (allowAttempt): the limit of attempts in flight, unless the session awaits polls;
//   - the polls of its candidates, where not the whole fleet is polled regularly;
//   - for each backend (selection): that it is ready, within the deduplication scope, allowed by the zone
//     weights, warm or drawn in slow start, and has room. The backend of the last attempt comes last.
//
// A session that fails the first check is given up: rejected or failed. One held up by a later check is
// queued; for lack of a backend or of concurrency only for a part of its time, and not at all if all backends
// are full.
func (b *Balancer) Assign(now float64, session *Session) Decision {
	if !session.state.known {
		b.admitSession(now, session)
	} else if session.warming.backend < 0 && session.attempt.number == 0 && b.admission.ShouldRedraw() {
		b.readmitSession(now, session)
	}
	if !b.attempts.canRetry(session, now) {
		return b.giveUp(session, now)
	}
	if wait := b.pausedUntil - now; wait > 0 && now+2*wait < session.Deadline {
		return queueFor(wait)
	}
	backend, full := noBackend, false
	if session.polls.awaitedUntil > 0 || b.allowAttempt() {
		if !b.awaitPolls(now, session) {
			return queueFor(session.polls.awaitedUntil - now)
		}
		session.polls.awaitedUntil = 0
		b.refreshWeights(now)
		backend, full = b.chooseBackend(session, now)
		if full && session.warming.backend >= 0 && session.attempt.number == 0 && b.admission.ShouldRedraw() {
			b.returnSlowStartGrant(session)
			full = false
		}
	}
	if backend >= 0 {
		return b.startAttempt(now, session, backend)
	}
	queuedUntil := session.state.arrivedAt + maxQueueShare*(session.Deadline-session.state.arrivedAt)
	if !full && now+queueRetryDelay < queuedUntil {
		return queueFor(queueRetryDelay)
	}
	return b.giveUp(session, now)
}

func queueFor(wait float64) Decision { return Decision{Kind: Queue, Wait: wait} }

// admitSession prepares a session that has just arrived.
func (b *Balancer) admitSession(now float64, session *Session) {
	session.state.known = true
	session.state.arrivedAt = now
	session.attempt.backend = noBackend
	session.hash = b.rng.Uint64()
	b.attempts.budget.recordSession(now)
	b.estimateSessionLoad(session)
	b.poller.activeShare, _ = b.pollingPlan()
	if b.poller.activeShare < 1 && b.fleet.capacity == 0 {
		// Otherwise a relay's first session, often its only one, finds no budget for slow starts.
		b.refreshWeights(now)
	}
	session.warming.backend = b.drawWarmingBackend(now, session)
}

// readmitSession draws again for a session that is queued while the fleet recovers: all backends are in slow
// start then, so it waits for one of them.
func (b *Balancer) readmitSession(now float64, session *Session) {
	if session.LoadHint <= 0 { // its estimate may be from before any load was known
		b.estimateSessionLoad(session)
	}
	session.warming.backend = b.drawWarmingBackend(now, session)
}

// returnSlowStartGrant returns the slow-start budget that the session can't use, as the backend drawn for it
// is full. The next draw uses another hash.
func (b *Balancer) returnSlowStartGrant(session *Session) {
	b.slowStart.requestedAt -= session.warming.usedBudget
	session.warming.backend = noBackend
	session.hash = b.rng.Uint64()
}

// selection is the choice of a backend for one session.
type selection struct {
	balancer *Balancer
	session  *Session
	now      float64
	avoided  int // backend of the session's last attempt, or noBackend

	targetZone   int     // zone drawn for the session by the zone weights, or -1
	firstZone    int     // zone whose backends come first
	firstLimit   float64 // load up to which they come first
	calmLimit    float64 // load up to which no backend is skipped, whatever its zone
	limit        float64 // load at which a backend is full for the session
	sessionShare float64 // share of a warm backend's capacity that the session needs; 0 while it is unknown
}

// newSelection computes the limits on backends' loads for the session.
func (b *Balancer) newSelection(session *Session, now float64) selection {
	s := selection{
		balancer:     b,
		session:      session,
		now:          now,
		avoided:      session.attempt.backend,
		targetZone:   b.targetZone(session),
		firstZone:    b.settings.localZone,
		firstLimit:   localZoneLoad + localZoneLoadPerFee*b.settings.crossZoneFee,
		calmLimit:    max(calmLoadLimit, b.fleet.meanLoad),
		sessionShare: session.load / cmp.Or(b.fleet.capacity, math.Inf(1)),
	}
	priority := min(max(math.Log2(b.quotas.relativePriority(session)), -maxPriorityLog), maxPriorityLog)
	s.limit = loadLimit - blindLoadMargin*(1-b.poller.activeShare) + priorityLoadRange*priority
	if s.targetZone >= 0 { // how full a zone gets is decided for all relays
		s.firstZone = s.targetZone
		s.firstLimit = s.limit
	}
	if !b.poller.reports.hasAbsoluteLoad {
		s.limit = crowdedFactor * max(b.fleet.meanLoad, negligibleLoad)
		s.firstLimit = s.limit
		s.calmLimit = s.limit
	}
	return s
}

// isOpen reports whether the backend may have the session, if it has room.
func (s *selection) isOpen(backend int) bool {
	b := s.balancer
	if b.states[backend] != Ready || backend == s.avoided {
		return false
	}
	if !b.isInDeduplicationScope(s.session, backend) || !b.zoneAllows(backend, s.targetZone) {
		return false
	}
	warming := &s.session.warming
	mayWarm := backend == warming.backend && s.session.attempt.number == 0 && !warming.onlyIfFull &&
		(!warming.onlyIfLoaded || b.hasReportedLoad(backend))
	return mayWarm || b.slowStart.capacityShare(backend, s.now) >= 1
}

// fits reports whether the backend may have the session and stays under the limit with it.
func (s *selection) fits(backend int, limit float64) bool {
	if !s.isOpen(backend) {
		return false
	}
	b := s.balancer
	added := s.sessionShare / b.slowStart.capacityShare(backend, s.now)
	return b.effectiveLoad(backend, s.now)+added < min(limit, s.limit)
}

// hasRoomAt reports whether a backend named beforehand, which may be noBackend, is in use and fits.
func (s *selection) hasRoomAt(backend int) bool {
	return backend >= 0 && s.balancer.roundRobin.bucketCounts[backend] > 0 && s.fits(backend, s.limit)
}

// chooseBackend returns the backend for the session's next attempt, or noBackend; full reports that there are
// backends but all are full, so that waiting does not help.
func (b *Balancer) chooseBackend(session *Session, now float64) (backend int, full bool) {
	s := b.newSelection(session, now)
	if s.hasRoomAt(session.warming.backend) {
		return session.warming.backend, false
	}
	// A returning session goes to its or its group's backend, if that has room, before round robin picks one.
	preferred := session.preferred
	if preferred.isSet && session.attempt.number == 0 && s.hasRoomAt(preferred.index) {
		return preferred.index, false
	}
	if backend = b.pickRoundRobin(&s); backend >= 0 {
		return backend, false
	}
	full = b.zoneRouting.allClosed() || b.roundRobin.pick(s.isOpen) >= 0
	if session.warming.onlyIfFull {
		session.warming.onlyIfFull = false
		if s.hasRoomAt(session.warming.backend) {
			return session.warming.backend, false
		}
	}
	return noBackend, full
}

// pickRoundRobin walks the table of buckets up to four times, accepting more backends each time.
func (b *Balancer) pickRoundRobin(s *selection) int {
	// Where nothing is paid for crossing zones and none is decided on, the local zone does not come first.
	if b.settings.crossZoneFee > 0 || s.targetZone >= 0 {
		inFirstZone := func(backend int) bool {
			return b.zones[backend] == s.firstZone && s.fits(backend, s.firstLimit)
		}
		if backend := b.pickBackend(s.session, inFirstZone); backend >= 0 {
			return backend
		}
	}
	isCalm := func(backend int) bool { return s.fits(backend, s.calmLimit) }
	if backend := b.pickBackend(s.session, isCalm); backend >= 0 {
		return backend
	}
	hasRoom := func(backend int) bool { return s.fits(backend, s.limit) }
	if backend := b.pickBackend(s.session, hasRoom); backend >= 0 {
		return backend
	}
	s.avoided = noBackend
	return b.pickBackend(s.session, hasRoom)
}

// pickBackend picks the next bucket whose backend is accepted. Where affinity groups or keys decide, it draws
// with the same chances from the hash instead: all relays draw alike, so the work that a group shares is done
// once, and a session that moves to another relay finds its backend.
func (b *Balancer) pickBackend(session *Session, accepts func(backend int) bool) int {
	if !b.settings.usesAffinityGroups && !b.settings.sessionsOutliveRelay {
		return b.roundRobin.pick(accepts)
	}
	picked, least := noBackend, math.Inf(1)
	hash := b.affinityHash(session)
	for backend, count := range b.roundRobin.bucketCounts {
		if count == 0 || !accepts(backend) {
			continue
		}
		if draw := exponentialDraw(hash, b.ids[backend]) / float64(count); draw < least {
			picked = backend
			least = draw
		}
	}
	return picked
}

// affinityHash returns what the session's draws depend on: its group or key where that decides, else its own
// hash.
func (b *Balancer) affinityHash(session *Session) uint64 {
	if b.settings.usesAffinityGroups && session.AffinityGroup != 0 {
		return session.AffinityGroup
	}
	if b.settings.sessionsOutliveRelay && !b.settings.usesAffinityGroups && session.Key != 0 {
		return session.Key
	}
	return session.hash
}
