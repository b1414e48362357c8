package balancer

import (
	"cmp"
	"math"
)

const (
	loadLimit            = 0.80 // load at which a backend is full for a session of mean priority
	priorityLoadRange    = 0.08 // most by which the priority of a session raises or lowers loadLimit
	maxPriorityDoublings = 1.0  // doublings (or halvings) of the mean priority that move loadLimit that far
	unseenLoadMargin     = 0.15 // subtracted from loadLimit if sessions poll candidates: other relays assign unseen
	lightLoadLimit       = 0.45 // load below which no backend is skipped for being busier than the mean
	relativeLoadLimit    = 1.5  // multiple of the mean load that replaces all limits if loads are not absolute

	localZoneLoad       = 0.40 // load up to which local backends are preferred where crossing zones has a fee
	localZoneLoadPerFee = 4.0  // load added to localZoneLoad for each unit of the cross-zone fee

	queueRetryDelay = 50.0 // milliseconds after which a queued session is decided on again
	maxQueueShare   = 0.5  // share of the time from arrival to deadline that a session may be queued
)

// Assign decides whether the session is assigned to a backend, queued, rejected or failed. The caller calls
// it for a new session, and again for a queued one, after Decision.Wait or when a poll was answered.
//
// Retries are decided here too: AttemptFinished calls Assign for a session whose attempt failed. A session
// passes these checks, in this order, before it is assigned:
//   - the attempt policy (canRetry): attempts left; time left until the deadline; for a retry, the retry
//     budget; if an attempt may have been executed, that the request is idempotent, or idempotent by key and
//     still within the deduplication window;
//   - the pause, which is set while the endpoint list may be out of date;
//   - the limit of attempts in flight (allowAttempt), unless the session already waits for polls;
//   - the polls of its candidates, if only a part of the fleet is polled regularly;
//   - for each backend (selection): it is ready, within the deduplication scope, allowed by the zone weights,
//     either warm or the one drawn for the session in slow start, and has room. The backend of the last
//     attempt is tried only if no other has room.
//
// A session that fails the first check is rejected or failed. One that is stopped by a later check is queued.
// If it is stopped for lack of a backend or by the limit of attempts in flight, it is queued for at most
// maxQueueShare of its time, and not at all if all backends are full.
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

// admitSession initializes the state of a session that has just arrived.
func (b *Balancer) admitSession(now float64, session *Session) {
	session.state.known = true
	session.state.arrivedAt = now
	session.attempt.backend = noBackend
	session.hash = b.rng.Uint64()
	b.attempts.budget.recordSession(now)
	b.estimateSessionLoad(session)
	b.poller.polledShare, _ = b.pollingPlan()
	if b.poller.polledShare < 1 && b.fleet.capacity == 0 {
		// The slow-start budget follows from the capacity estimate. Without an estimate, a relay's first
		// session, often its only one, would find no budget.
		b.refreshWeights(now)
	}
	session.warming.backend = b.drawWarmingBackend(now, session)
}

// readmitSession repeats the draw of a backend in slow start for a session that is queued while the fleet
// recovers. All backends are in slow start then, so the session can only go to one of them.
func (b *Balancer) readmitSession(now float64, session *Session) {
	if session.LoadHint <= 0 { // the estimate may have been made before any load was known
		b.estimateSessionLoad(session)
	}
	session.warming.backend = b.drawWarmingBackend(now, session)
}

// returnSlowStartGrant gives back the slow-start budget that was granted to the session, because the backend
// drawn for it is full. The session gets a new hash, so that its next draw may yield another backend.
func (b *Balancer) returnSlowStartGrant(session *Session) {
	b.slowStart.requestedAt -= session.warming.usedBudget
	session.warming.backend = noBackend
	session.hash = b.rng.Uint64()
}

// selection holds what the choice of a backend for one session depends on.
type selection struct {
	balancer *Balancer
	session  *Session
	now      float64
	avoided  int // backend of the session's last attempt, or noBackend

	targetZone         int     // zone drawn for the session by the zone weights, or -1
	preferredZone      int     // zone whose backends are tried first
	preferredZoneLimit float64 // load up to which backends of preferredZone are tried first
	lightLimit         float64 // load up to which backends of any zone are tried before busier ones
	limit              float64 // load at which a backend is full for the session
	sessionShare       float64 // share of a warm backend's capacity that the session needs; 0: unknown
}

// newSelection computes the zone and the load limits that apply to the session.
func (b *Balancer) newSelection(session *Session, now float64) selection {
	s := selection{
		balancer:           b,
		session:            session,
		now:                now,
		avoided:            session.attempt.backend,
		targetZone:         b.targetZone(session),
		preferredZone:      b.settings.localZone,
		preferredZoneLimit: localZoneLoad + localZoneLoadPerFee*b.settings.crossZoneFee,
		lightLimit:         max(lightLoadLimit, b.fleet.meanLoad),
		sessionShare:       session.load / cmp.Or(b.fleet.capacity, math.Inf(1)),
	}
	priority := min(max(math.Log2(b.quotas.relativePriority(session)), -maxPriorityDoublings), maxPriorityDoublings)
	s.limit = loadLimit - unseenLoadMargin*(1-b.poller.polledShare) + priorityLoadRange*priority
	if s.targetZone >= 0 { // the zone weights, the same at all relays, already decide how full a zone gets
		s.preferredZone = s.targetZone
		s.preferredZoneLimit = s.limit
	}
	if !b.poller.reports.hasAbsoluteLoad {
		s.limit = b.relativeLimit()
		s.preferredZoneLimit = s.limit
		s.lightLimit = s.limit
	}
	return s
}

// relativeLimit returns the load at which a backend is full if loads are not shares of a capacity. There is no limit
// where no backend has reported a load and none will before it gets sessions: sessions are then placed in turn, with
// equal weights, and backends reject what they can't serve.
func (b *Balancer) relativeLimit() float64 {
	if !b.fleet.reportsLoad && !b.poller.learnsLoads() {
		return math.Inf(1)
	}
	return relativeLoadLimit * max(b.fleet.meanLoad, negligibleLoad)
}

// isEligible reports whether the session may be assigned to the backend if it has room, which is not checked here.
func (s *selection) isEligible(backend int) bool {
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

// hasRoomUnder reports whether the session may be assigned to the backend and leaves its load under the limit.
func (s *selection) hasRoomUnder(backend int, limit float64) bool {
	if !s.isEligible(backend) {
		return false
	}
	b := s.balancer
	added := s.sessionShare / b.slowStart.capacityShare(backend, s.now)
	return b.effectiveLoad(backend, s.now)+added < min(limit, s.limit)
}

// hasRoomAt reports whether a backend that was chosen without the round robin has buckets and room for the
// session. It is false for noBackend.
func (s *selection) hasRoomAt(backend int) bool {
	return backend >= 0 && s.balancer.roundRobin.bucketCounts[backend] > 0 && s.hasRoomUnder(backend, s.limit)
}

// chooseBackend returns the backend for the session's next attempt, or noBackend. With noBackend, full reports
// that queuing the session would not help: its possible backends have no room, or all zones are closed.
func (b *Balancer) chooseBackend(session *Session, now float64) (backend int, full bool) {
	s := b.newSelection(session, now)
	if s.hasRoomAt(session.warming.backend) {
		return session.warming.backend, false
	}
	// A returning session goes to the backend where it or its group was before, if that has room.
	preferred := session.preferred
	if preferred.isSet && session.attempt.number == 0 && s.hasRoomAt(preferred.index) {
		return preferred.index, false
	}
	if backend = b.pickRoundRobin(&s); backend >= 0 {
		return backend, false
	}
	full = b.zoneRouting.allClosed() || b.roundRobin.pick(s.isEligible) >= 0
	if session.warming.onlyIfFull {
		session.warming.onlyIfFull = false
		if s.hasRoomAt(session.warming.backend) {
			return session.warming.backend, false
		}
	}
	return noBackend, full
}

// pickRoundRobin searches the backends up to four times, and accepts more of them each time: those of the
// preferred zone, those with a light load, all that have room, and last the backend of the last attempt.
func (b *Balancer) pickRoundRobin(s *selection) int {
	// Without a fee for crossing zones and without a target zone, no zone is preferred.
	if b.settings.crossZoneFee > 0 || s.targetZone >= 0 {
		inPreferredZone := func(backend int) bool {
			return b.zones[backend] == s.preferredZone && s.hasRoomUnder(backend, s.preferredZoneLimit)
		}
		if backend := b.pickBackend(s.session, inPreferredZone); backend >= 0 {
			return backend
		}
	}
	isLightlyLoaded := func(backend int) bool { return s.hasRoomUnder(backend, s.lightLimit) }
	if backend := b.pickBackend(s.session, isLightlyLoaded); backend >= 0 {
		return backend
	}
	hasRoom := func(backend int) bool { return s.hasRoomUnder(backend, s.limit) }
	if backend := b.pickBackend(s.session, hasRoom); backend >= 0 {
		return backend
	}
	s.avoided = noBackend
	return b.pickBackend(s.session, hasRoom)
}

// pickBackend returns the backend of the next bucket that is accepted. If sessions are placed by affinity
// group or key, it draws by a hash instead, with chances in proportion to the bucket counts. Every relay gets
// the same result for the same group or key, so the work that a group shares is done at one backend, and a
// session that moves to another relay gets its backend again.
func (b *Balancer) pickBackend(session *Session, accepts func(backend int) bool) int {
	if !b.settings.usesAffinityGroups && !b.settings.sessionsOutliveRelay {
		return b.roundRobin.pick(accepts)
	}
	picked, minDraw := noBackend, math.Inf(1)
	hash := b.affinityHash(session)
	for backend, count := range b.roundRobin.bucketCounts {
		if count == 0 || !accepts(backend) {
			continue
		}
		if draw := exponentialDraw(hash, b.ids[backend]) / float64(count); draw < minDraw {
			picked = backend
			minDraw = draw
		}
	}
	return picked
}

// affinityHash returns the hash that the session's draws use: that of its affinity group or its key, if
// sessions are placed by those, else the random one of the session.
func (b *Balancer) affinityHash(session *Session) uint64 {
	if b.settings.usesAffinityGroups && session.AffinityGroup != 0 {
		return session.AffinityGroup
	}
	if b.settings.sessionsOutliveRelay && !b.settings.usesAffinityGroups && session.Key != 0 {
		return session.Key
	}
	return session.hash
}
