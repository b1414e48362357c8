package balancer

import "math"

const (
	maxFailures          = 1       // highest number of consecutive failures of a healthy backend
	outlierPenalty       = 0.8     // share of the evidence missing to 1 that a shed session or a timeout adds
	outlierRecovery      = 0.5     // share of the evidence that a session which lasted removes
	outlierDecay         = 20000.0 // milliseconds in which evidence decays to 1/e
	outlierDecayInterval = 100.0   // shortest time between two updates of the decay, in milliseconds
	shedWindow           = 5000.0  // a session that breaks within so many milliseconds was shed by a full backend
	unresponsiveAfter    = 1000.0  // milliseconds of silence on all sessions after which an ejected backend is gone
)

// OutlierDetector tracks which backends answer, and how far the outcomes of sessions contradict a backend's load
// reports. The zero value has no backends.
type OutlierDetector struct {
	consecutiveFailures []int
	sessionsLost        []bool // whether a session broke while the backend was silent: it may have restarted

	// Evidence, from 0 to 1, is how far attempts and sessions contradict a backend's own reports.
	awaitsReport []bool // whether sessions ended badly at the backend; its next report tells whether it was full
	evidence     []float64
	meanEvidence float64
	decayedAt    float64 // time of the latest decay of the evidence and its mean
}

// grow adds a backend.
func (d *OutlierDetector) grow() {
	n := len(d.evidence)
	d.meanEvidence *= float64(n) / float64(n+1)
	d.consecutiveFailures = append(d.consecutiveFailures, 0)
	d.sessionsLost = append(d.sessionsLost, false)
	d.awaitsReport = append(d.awaitsReport, false)
	d.evidence = append(d.evidence, 0)
}

// reset clears the state kept under the index, which is reused for another backend.
func (d *OutlierDetector) reset(backend int) {
	d.meanEvidence -= d.evidence[backend] / float64(len(d.evidence))
	d.consecutiveFailures[backend] = 0
	d.sessionsLost[backend] = false
	d.awaitsReport[backend] = false
	d.evidence[backend] = 0
}

// isHealthy reports whether the backend answers. Two consecutive failures eject it; one lost poll or one stall
// does not mean that it is down.
func (d *OutlierDetector) isHealthy(backend int) bool {
	return d.consecutiveFailures[backend] <= maxFailures
}

// addEvidence raises the evidence against the backend by the given share of what is missing to 1. A negative
// share removes that share of the evidence.
func (d *OutlierDetector) addEvidence(backend int, now, share float64) {
	d.decay(now)
	before := d.evidence[backend]
	d.evidence[backend] += max(share, 0)*(1-before) + min(share, 0)*before
	d.meanEvidence += (d.evidence[backend] - before) / float64(len(d.evidence))
}

// score returns the evidence against a backend beyond the fleet's mean: where attempts fail everywhere, as with
// a slow shared store, they don't show that one backend is at fault. It decays, so that a backend without
// sessions is tried again with growing probability.
func (d *OutlierDetector) score(backend int, now float64) float64 {
	if d.meanEvidence == 0 {
		return 0
	}
	return max(d.evidence[backend]-d.meanEvidence, 0) * math.Exp((d.decayedAt-now)/outlierDecay)
}

// decay applies the decay to all evidence. All of it decays at the same rate, so it need not be updated at each
// call.
func (d *OutlierDetector) decay(now float64) {
	if now < d.decayedAt+outlierDecayInterval {
		return
	}
	factor := math.Exp((d.decayedAt - now) / outlierDecay)
	for backend := range d.evidence {
		d.evidence[backend] *= factor
	}
	d.meanEvidence *= factor
	d.decayedAt = now
}

// isShed reports whether the outcome shows that the backend shed the session because it was full.
func (s *Session) isShed(now float64, outcome AttemptOutcome) bool {
	return outcome == OutcomeConnectionLost && now < s.attempt.startedAt+shedWindow
}

// collectEvidence uses the outcome of an attempt or session as evidence on its backend's reports. A shed session
// or a timeout counts against the backend only if its next report says that it is not full. A session that
// lasted counts in its favour at once.
func (b *Balancer) collectEvidence(now float64, session *Session, outcome AttemptOutcome) {
	if session.isShed(now, outcome) || outcome == OutcomeTimedOut {
		b.outliers.awaitsReport[session.attempt.backend] = true
		return
	}
	lasted := now >= session.attempt.startedAt+shedWindow
	if session.state.established && outcome != OutcomeConnectionLost && lasted {
		b.outliers.addEvidence(session.attempt.backend, now, -outlierRecovery)
	}
}

// resolveAwaitedReport uses the first report after a shed session or a timeout as evidence. A backend that
// reports that it is full was not at fault: many relays assigned sessions to it by outdated reports.
func (b *Balancer) resolveAwaitedReport(backend int, now, load float64) {
	if !b.outliers.awaitsReport[backend] {
		return
	}
	b.outliers.awaitsReport[backend] = false
	if b.poller.reports.hasAbsoluteLoad && load < loadLimit {
		b.outliers.addEvidence(backend, now, outlierPenalty)
	}
}

// recordFailure counts a poll or a connection attempt that the backend did not answer.
func (b *Balancer) recordFailure(backend int) {
	b.outliers.consecutiveFailures[backend]++
	b.roundRobin.invalidate()
	b.updateTracking(backend)
}

// recordAnswer records that the backend answered a poll. If sessions broke while it was silent, it has restarted
// and begins a slow start.
func (b *Balancer) recordAnswer(backend int, now float64) {
	if b.outliers.sessionsLost[backend] {
		b.outliers.sessionsLost[backend] = false
		b.startSlowStart(backend, now)
	}
	if b.outliers.consecutiveFailures[backend] > 0 {
		b.outliers.consecutiveFailures[backend] = 0
		b.roundRobin.invalidate()
	}
	b.updateTracking(backend)
}

// IsUnresponsive reports whether a backend that has sent nothing on any session for the given number of
// milliseconds counts as gone. Its sessions are then better moved than kept until it is back or removed from the
// endpoint list.
func (b *Balancer) IsUnresponsive(id uint32, silence float64) bool {
	backend, known := b.indexByID[id]
	return known && silence >= unresponsiveAfter && !b.outliers.isHealthy(backend)
}
