package balancer

import "slices"

const (
	pollInterval         = 1000.0 // at which a backend is polled at the soonest
	maxPollInterval      = 4000.0 // the requirement's bound of five seconds, less the answer's way
	failedPollInterval   = 300.0  // at which a backend that did not answer is polled again
	pollSpread           = 0.2    // of the interval, over which backends' polls come to stand apart
	pollCostShare        = 0.012  // what polls may cost a session, as a share of its gain
	candidatesPerSession = 5      // that a session is assigned among, where not the whole fleet is polled
	pollWaitShare        = 0.1    // of its latency objective, that a session waits for their answers

	assumedSessionInterval  = 2000.0 // a backend is taken to be sent one session in it, until arrivals tell
	remoteZonePenaltyPerFee = 20.0   // by how much a candidate across zones is less likely to be drawn
	readyShare              = 0.75   // of the backends, whose reports make a relay ready to take over
)

// pollingPlan returns the share of the fleet that can be polled regularly for what polls may cost a session,
// and the interval.
func (b *Balancer) pollingPlan() (share, interval float64) {
	backends := max(float64(len(b.ids)), 1)
	rate := (b.attempts.established + 1) /
		(b.attempts.establishedSpan + assumedSessionInterval*b.quotas.relays/backends)
	interval = max(pollInterval, backends*b.poller.cost/(rate*pollCostShare))
	return min(max(2-interval/maxPollInterval, 0), 1), min(interval, maxPollInterval)
}

// awaitPolls has the backends polled that a session is to be assigned among, and reports whether that is
// done. Against hundreds of relays that each poll the whole fleet, at many times what a session may cost.
// Where all that it polled are full it ends: polling on, sessions of a fleet without room fill the last gaps,
// and all loads are too high.
func (b *Balancer) awaitPolls(now float64, session *Session) bool {
	b.activeShare, _ = b.pollingPlan()
	if !b.poller.enabled || b.activeShare >= 1 {
		return true
	}
	if session.pollsUntil == 0 {
		wait := pollWaitShare * b.attempts.classes[session.Class].LatencyObjective
		session.pollsUntil = min(now+wait, session.Deadline)
		b.requestCandidatePolls(now, session)
	}
	return now >= session.pollsUntil || !slices.ContainsFunc(session.candidates, b.poller.isAwaited)
}

// requestCandidatePolls draws the session's candidates and has them polled.
func (b *Balancer) requestCandidatePolls(now float64, session *Session) {
	b.drawCandidates(now, session)
	if session.warmingBackend >= 0 {
		session.candidates = append(session.candidates, session.warmingBackend)
	}
	for _, backend := range session.candidates {
		b.poller.requestPoll(backend, now)
	}
}

// drawCandidates draws as many warm backends as a session's polls may cost, by the least draws of its hash.
func (b *Balancer) drawCandidates(now float64, session *Session) {
	hash := b.affinityHash(session)
	zone := b.targetZone(session)
	count := int(max(min(candidatesPerSession, pollCostShare/max(b.poller.cost, 1e-9)), 1))
	session.candidates = session.candidates[:0]
	b.candidateDraws = b.candidateDraws[:0]
	for backend, id := range b.ids {
		if !b.isCandidate(backend, now, session, zone) {
			continue
		}
		draw := exponentialDraw(hash, id)
		if b.zones[backend] != b.localZone {
			draw *= 1 + remoteZonePenaltyPerFee*b.crossZoneFee
		}
		at, _ := slices.BinarySearch(b.candidateDraws, draw)
		if at >= count {
			continue
		}
		session.candidates = slices.Insert(session.candidates, at, backend)
		b.candidateDraws = slices.Insert(b.candidateDraws, at, draw)
		session.candidates = session.candidates[:min(len(session.candidates), count)]
		b.candidateDraws = b.candidateDraws[:min(len(b.candidateDraws), count)]
	}
}

// isCandidate reports whether the backend may be polled for the session.
func (b *Balancer) isCandidate(backend int, now float64, session *Session, zone int) bool {
	isWarm := b.slowStart.capacityShare(backend, now) >= 1
	if b.states[backend] != Ready || backend == session.backend || !isWarm {
		return false
	}
	if !b.isInDeduplicationScope(session, backend) || !b.zoneAllows(backend, zone) {
		return false
	}
	return b.outliers.consecutiveFailures[backend] == 0 || now >= b.poller.polledAt[backend]+maxPollInterval
}

// NextAction returns the poll or watch that is due, or how long to wait; ask again until it is ActionWait.
func (b *Balancer) NextAction(now float64) Action {
	untilWatch := b.watchAt - now
	if untilWatch <= 0 {
		// Against a watch that died without a word: its silence is counted.
		b.watchAt = now + b.watchSilence()
		return Action{Kind: ActionSubscribe}
	}
	if backend := b.poller.nextRequested(); backend >= 0 {
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

// scheduleFirstPolls spreads the first polls of backends that were never polled. Against all relays polling
// all backends at one moment, and against a young relay that is blind.
func (b *Balancer) scheduleFirstPolls(now, share, interval float64) {
	for i := 0; i < len(b.tracker.neverPolled); {
		backend := b.tracker.neverPolled[i]
		if b.poller.selectionDraws[backend] >= share {
			i++
			continue
		}
		b.poller.polledAt[backend] = now + b.rng.Float64()*failedPollInterval - interval
		b.updateTracking(backend) // takes it out of neverPolled
	}
}

// nextPollAt is when a backend that was polled is polled again.
func (b *Balancer) nextPollAt(backend int, interval float64) float64 {
	if b.outliers.consecutiveFailures[backend] > 0 {
		return b.poller.polledAt[backend] + failedPollInterval
	}
	return b.poller.polledAt[backend] + interval*(1-pollSpread/2+pollSpread*b.poller.selectionDraws[backend])
}

// startPoll takes that the backend is polled now.
func (b *Balancer) startPoll(now float64, backend int) Action {
	b.poller.polledAt[backend] = now
	b.poller.pollSentAt[backend] = now
	b.updateTracking(backend)
	return Action{Kind: ActionPoll, Backend: b.ids[backend]}
}

// IsReady reports whether what is known is enough to serve beside another process of the same relay, which
// serves until then: reports of most backends. Where candidates are polled for each session, or nothing can
// be polled, there is nothing to wait for.
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
		if now < b.poller.reportedAt[backend]+maxPollInterval {
			reported++
		}
	}
	return healthy > 0 && reported >= readyShare*healthy
}
