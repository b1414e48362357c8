package balancer

import "math"

const (
	maxFailures          = 1       // in a row, of a backend that counts as healthy
	outlierPenalty       = 0.8     // share of the rest to 1 that a shed session or a timeout adds
	outlierForgiveness   = 0.5     // share of the evidence that a session which lasted removes
	outlierDecay         = 20000.0 // time in which evidence fades to 1/e
	outlierDecayInterval = 100.0   // shortest time between two updates of the fading
	shedWindow           = 5000.0  // a session that breaks within it was shed by a full backend
	unresponsiveAfter    = 1000.0  // silence of the sessions of a backend that does not answer polls either
)

// OutlierDetector knows which backends answer, and how far sessions contradict what a backend reports. The
// zero value has no backends.
type OutlierDetector struct {
	consecutiveFailures []int
	sessionsLost        []bool // a session broke while the backend was silent: it may have restarted

	// Evidence, from 0 to 1, is how far attempts and sessions speak against a backend's own reports.
	awaitsReport []bool // sessions ended badly there: the next report tells whether it was full
	evidence     []float64
	meanEvidence float64
	decayedAt    float64 // when the evidence and its mean were last faded
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

// reset clears the backend's state, as its index is used for another.
func (d *OutlierDetector) reset(backend int) {
	d.meanEvidence -= d.evidence[backend] / float64(len(d.evidence))
	d.consecutiveFailures[backend] = 0
	d.sessionsLost[backend] = false
	d.awaitsReport[backend] = false
	d.evidence[backend] = 0
}

// isHealthy reports whether the backend answers. Two failures in a row eject it: one lost poll or one stall
// is not a death.
func (d *OutlierDetector) isHealthy(backend int) bool {
	return d.consecutiveFailures[backend] <= maxFailures
}

// addEvidence adds a share of what is left to 1 to the evidence against the backend; a negative share takes
// back that part of the evidence.
func (d *OutlierDetector) addEvidence(backend int, now, share float64) {
	d.decay(now)
	before := d.evidence[backend]
	d.evidence[backend] += max(share, 0)*(1-before) + min(share, 0)*before
	d.meanEvidence += (d.evidence[backend] - before) / float64(len(d.evidence))
}

// score is the evidence against a backend beyond the fleet's mean: where attempts fail everywhere, as with a
// slow shared store, they say nothing of one backend. It fades, so that a backend without sessions is tried
// again with growing chances.
func (d *OutlierDetector) score(backend int, now float64) float64 {
	if d.meanEvidence == 0 {
		return 0
	}
	return max(d.evidence[backend]-d.meanEvidence, 0) * math.Exp((d.decayedAt-now)/outlierDecay)
}

// decay fades all evidence. As all fades alike, it need not be done at each call.
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

// isShed reports whether the outcome is that of a session whose backend was too full for it.
func (s *Session) isShed(now float64, outcome AttemptOutcome) bool {
	return outcome == OutcomeConnectionLost && now < s.attempt.startedAt+shedWindow
}

// collectEvidence uses the end of an attempt or session as evidence on its backend's reports. A bad end
// counts only if the next report claims capacity; a session that lasted counts for the backend at once.
func (b *Balancer) collectEvidence(now float64, session *Session, outcome AttemptOutcome) {
	if session.isShed(now, outcome) || outcome == OutcomeTimedOut {
		b.outliers.awaitsReport[session.attempt.backend] = true
		return
	}
	lasted := now >= session.attempt.startedAt+shedWindow
	if session.state.established && outcome != OutcomeConnectionLost && lasted {
		b.outliers.addEvidence(session.attempt.backend, now, -outlierForgiveness)
	}
}

// judgeReport compares an awaited report with the bad end before it. A backend that reports that it is full
// was not at fault: many relays assigned sessions to it by outdated reports.
func (b *Balancer) judgeReport(backend int, now, load float64) {
	if !b.outliers.awaitsReport[backend] {
		return
	}
	b.outliers.awaitsReport[backend] = false
	if b.poller.reports.hasAbsoluteLoad && load < loadLimit {
		b.outliers.addEvidence(backend, now, outlierPenalty)
	}
}

// recordFailure counts a poll or connection that the backend did not answer.
func (b *Balancer) recordFailure(backend int) {
	b.outliers.consecutiveFailures[backend]++
	b.roundRobin.invalidate()
	b.updateTracking(backend)
}

// recordAnswer records that the backend answered a poll. After a silence in which sessions broke it has
// restarted.
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

// IsUnresponsive reports whether a backend that has sent nothing for so many milliseconds, on any session, is
// gone. Its sessions are better moved than kept until it is back or off the endpoint list.
func (b *Balancer) IsUnresponsive(id uint32, quiet float64) bool {
	backend, known := b.indexByID[id]
	return known && quiet >= unresponsiveAfter && !b.outliers.isHealthy(backend)
}
