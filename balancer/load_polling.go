package balancer

import "slices"

const (
	pollInterval         = 1000.0 // shortest time between two polls of a healthy backend, in milliseconds
	maxPollInterval      = 4000.0 // longest time between them, in milliseconds; at most five seconds with the answer's delay
	failedPollInterval   = 300.0  // time between two polls of a backend that did not answer, in milliseconds
	pollSpread           = 0.2    // share of the interval over which the polls of backends are spread
	pollCostShare        = 0.012  // highest cost of the polls for one session, as a share of the session's gain
	candidatesPerSession = 5      // highest number of backends that are polled for one session
	pollWaitShare        = 0.1    // share of its latency objective that a session waits for answers to its polls

	assumedSessionInterval  = 2000.0 // milliseconds between two sessions of a backend, assumed until sessions arrive
	remoteZonePenaltyPerFee = 20.0   // increase of the draw of a candidate in another zone, per unit of the cross-zone fee
	readyShare              = 0.75   // share of the healthy backends whose reports make a relay ready to take over
)

// pollingPlan returns the share of the fleet that can be polled regularly without the polls costing more than
// pollCostShare for each session, and the interval between two polls of a backend.
func (b *Balancer) pollingPlan() (share, interval float64) {
	backends := max(float64(len(b.ids)), 1)
	rate := (b.attempts.established + 1) /
		(b.attempts.establishedSpan + assumedSessionInterval*b.quotas.relays/backends)
	interval = max(pollInterval, backends*b.poller.cost/(rate*pollCostShare))
	return min(max(2-interval/maxPollInterval, 0), 1), min(interval, maxPollInterval)
}

// awaitPolls has the session's candidates polled and reports whether the wait for their answers is over. It is
// used where polling the whole fleet regularly would cost too much for each session. If all candidates are full,
// no others are polled: otherwise the sessions of a full fleet would use up its last free capacity, and the load
// of every backend would become too high.
func (b *Balancer) awaitPolls(now float64, session *Session) bool {
	b.poller.polledShare, _ = b.pollingPlan()
	if !b.poller.enabled || b.poller.polledShare >= 1 {
		return true
	}
	if session.polls.awaitedUntil == 0 {
		wait := pollWaitShare * b.attempts.classes[session.Class].LatencyObjective
		session.polls.awaitedUntil = min(now+wait, session.Deadline)
		b.requestCandidatePolls(now, session)
	}
	return now >= session.polls.awaitedUntil || !slices.ContainsFunc(session.polls.candidates, b.poller.isAwaited)
}

// requestCandidatePolls draws the session's candidates and has them polled.
func (b *Balancer) requestCandidatePolls(now float64, session *Session) {
	b.drawCandidates(now, session)
	if session.warming.backend >= 0 {
		session.polls.candidates = append(session.polls.candidates, session.warming.backend)
	}
	for _, backend := range session.polls.candidates {
		b.poller.requestPoll(backend, now)
	}
}

// drawCandidates draws the warm backends to be polled for a session: those with the lowest draws by its hash, as
// many as the cost of polls allows.
func (b *Balancer) drawCandidates(now float64, session *Session) {
	hash := b.affinityHash(session)
	zone := b.targetZone(session)
	count := int(max(min(candidatesPerSession, pollCostShare/max(b.poller.cost, 1e-9)), 1))
	session.polls.candidates = session.polls.candidates[:0]
	b.poller.candidateDraws = b.poller.candidateDraws[:0]
	for backend, id := range b.ids {
		if !b.isCandidate(backend, now, session, zone) {
			continue
		}
		draw := exponentialDraw(hash, id)
		if b.zones[backend] != b.settings.localZone {
			draw *= 1 + remoteZonePenaltyPerFee*b.settings.crossZoneFee
		}
		at, _ := slices.BinarySearch(b.poller.candidateDraws, draw)
		if at >= count {
			continue
		}
		session.polls.candidates = slices.Insert(session.polls.candidates, at, backend)
		b.poller.candidateDraws = slices.Insert(b.poller.candidateDraws, at, draw)
		session.polls.candidates = session.polls.candidates[:min(len(session.polls.candidates), count)]
		b.poller.candidateDraws = b.poller.candidateDraws[:min(len(b.poller.candidateDraws), count)]
	}
}

// isCandidate reports whether the backend may be polled for the session.
func (b *Balancer) isCandidate(backend int, now float64, session *Session, zone int) bool {
	isWarm := b.slowStart.capacityShare(backend, now) >= 1
	if b.states[backend] != Ready || backend == session.attempt.backend || !isWarm {
		return false
	}
	if !b.isInDeduplicationScope(session, backend) || !b.zoneAllows(backend, zone) {
		return false
	}
	return b.outliers.consecutiveFailures[backend] == 0 || now >= b.poller.polls.latestAt[backend]+maxPollInterval
}

// NextAction returns the poll or watch that is due, or how long to wait. The caller calls it until it returns
// ActionWait.
func (b *Balancer) NextAction(now float64) Action {
	untilWatch := b.watch.nextAt - now
	if untilWatch <= 0 {
		// A broken watch may go unnoticed, so one that has been silent for too long is renewed.
		b.watch.nextAt = now + b.watchRenewalInterval()
		return Action{Kind: ActionSubscribe}
	}
	if backend := b.poller.requests.next(); backend >= 0 {
		return b.startPoll(now, backend)
	}
	share, interval := b.pollingPlan()
	if !b.poller.enabled || share == 0 {
		return Action{Wait: untilWatch}
	}
	b.scheduleFirstPolls(now, share, interval)
	search := pollSearch{now: now, interval: interval, share: share, backend: noBackend, wait: untilWatch}
	b.searchQueue(&b.tracker.failedQueue, 0, 0, &search)
	b.searchQueue(&b.tracker.healthyQueue, 0, (1-pollSpread/2)*(interval-pollInterval), &search)
	if search.backend >= 0 {
		return b.startPoll(now, search.backend)
	}
	return Action{Wait: search.wait}
}

// scheduleFirstPolls schedules the first polls of new backends at random times, so that relays do not all poll
// all backends at the same moment. The times are soon, as a relay that has just started knows no loads.
func (b *Balancer) scheduleFirstPolls(now, share, interval float64) {
	for i := 0; i < len(b.tracker.neverPolled); {
		backend := b.tracker.neverPolled[i]
		if b.poller.polls.selectionDraws[backend] >= share {
			i++
			continue
		}
		b.poller.polls.latestAt[backend] = now + b.rng.Float64()*failedPollInterval - interval
		b.updateTracking(backend) // takes it out of neverPolled
	}
}

// nextPollAt returns the time at which a backend that was polled before is polled again.
func (b *Balancer) nextPollAt(backend int, interval float64) float64 {
	if b.outliers.consecutiveFailures[backend] > 0 {
		return b.poller.polls.latestAt[backend] + failedPollInterval
	}
	polls := &b.poller.polls
	return polls.latestAt[backend] + interval*(1-pollSpread/2+pollSpread*polls.selectionDraws[backend])
}

// startPoll records that the backend is polled now and returns the action to poll it.
func (b *Balancer) startPoll(now float64, backend int) Action {
	b.poller.polls.latestAt[backend] = now
	b.poller.polls.sentAt[backend] = now
	b.updateTracking(backend)
	return Action{Kind: ActionPoll, Backend: b.ids[backend]}
}

// IsReady reports whether this process knows enough to take over from another process of the same relay: most
// healthy backends have reported their load. Where candidates are polled for each session, or backends can't be
// polled, there is nothing to wait for.
func (b *Balancer) IsReady(now float64) bool {
	if share, _ := b.pollingPlan(); !b.poller.enabled || share < 1 {
		return true
	}
	healthy, reported := 0.0, 0.0
	for backend, state := range b.states {
		if state != Ready || !b.outliers.isHealthy(backend) {
			continue
		}
		healthy++
		if now < b.poller.reports.receivedAt[backend]+maxPollInterval {
			reported++
		}
	}
	return healthy > 0 && reported >= readyShare*healthy
}
