package balancer

import "math"

const (
	maxFailures          = 1       // in a row, of a backend that is still healthy
	outlierPenalty       = 0.8     // of what is left to 1, that a shed session or a timeout adds
	outlierForgiveness   = 0.5     // of the evidence, that a session which lasted takes back
	outlierDecay         = 20000.0 // over which evidence fades to 1/e
	outlierDecayInterval = 100.0
	shedWindow           = 5000.0 // a session that breaks within it was shed by a full backend
	unresponsiveAfter    = 1000.0 // of silence, for a backend that doesn't answer polls either
)

// OutlierDetector knows which backends answer, and how far sessions contradict what a backend reports. The
// zero value has no backends.
type OutlierDetector struct {
	consecutiveFailures []int
	sessionsLost        []bool // a session broke while the backend was silent: it may have restarted

	// Evidence, from 0 to 1, is how far attempts and sessions speak against a backend's own reports.
	awaitsReport []bool // sessions went badly there: its next report tells whether it says so itself
	evidence     []float64
	meanEvidence float64
	decayedAt    float64 // until when the evidence and its mean have faded
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

// reset forgets the backend, as its index stands for another from now on.
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

// score is the evidence against a backend beyond the fleet's mean: where attempts go badly everywhere, as
// with a slow shared store, they say nothing of one backend. It fades, so that a backend that gets no
// sessions by it is tried again with ever better chances.
func (d *OutlierDetector) score(backend int, now float64) float64 {
	if d.meanEvidence == 0 {
		return 0
	}
	return max(d.evidence[backend]-d.meanEvidence, 0) * math.Exp((d.decayedAt-now)/outlierDecay)
}

// decay applies to all evidence how it has faded; not at each call, as all fades alike.
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
	return outcome == OutcomeConnectionLost && now < s.attemptedAt+shedWindow
}

// collectEvidence takes what the end of an attempt or session says of its backend's reports: a bad end counts
// once the backend's next report claims that it has room, a session that lasted speaks for it at once.
func (b *Balancer) collectEvidence(now float64, session *Session, outcome AttemptOutcome) {
	if session.isShed(now, outcome) || outcome == OutcomeTimedOut {
		b.outliers.awaitsReport[session.backend] = true
		return
	}
	if session.established && outcome != OutcomeConnectionLost && now >= session.attemptedAt+shedWindow {
		b.outliers.addEvidence(session.backend, now, -outlierForgiveness)
	}
}

// judgeReport weighs a report that was awaited. Against blaming a backend for sessions that many relays sent
// it on reports just gone old: one that says itself that it is full tells the truth, late.
func (b *Balancer) judgeReport(backend int, now, load float64) {
	if !b.outliers.awaitsReport[backend] {
		return
	}
	b.outliers.awaitsReport[backend] = false
	if b.poller.hasAbsoluteLoad && load < loadLimit {
		b.outliers.addEvidence(backend, now, outlierPenalty)
	}
}

// recordFailure counts a poll or connection that the backend did not answer.
func (b *Balancer) recordFailure(backend int) {
	b.outliers.consecutiveFailures[backend]++
	b.roundRobin.invalidate()
	b.updateTracking(backend)
}

// recordAnswer takes that the backend answered a poll. After a silence in which sessions broke it has
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

// IsUnresponsive reports whether a backend whose sessions have brought nothing back for that many
// milliseconds is gone without a word. Against sessions that earn nothing there until it is back or leaves
// the endpoint list, many seconds on.
func (b *Balancer) IsUnresponsive(id uint32, quiet float64) bool {
	backend, known := b.indexByID[id]
	return known && quiet >= unresponsiveAfter && !b.outliers.isHealthy(backend)
}
