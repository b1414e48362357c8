package failover

import "math"

const (
	degradedAbove = 0.2  // mean failure rate above which a zone is degraded
	healthyBelow  = 0.08 // failure rate below which a zone is healthy
	lostAbove     = 0.7  // failure rate above which a zone is lost

	lostDelay        = 1100.0 // ms for which a zone must be lost before it is emptied
	degradedDelay    = 2000.0 // ms for which a zone must be degraded before it is emptied
	meanTimeConstant = 1000.0 // ms, time constant of the exponential moving average of the failure rate
	maxMeanSample    = 0.5    // limit of each sample of the mean, so that a brief outage makes no zone degraded

	firstReturnWait      = 4000.0   // ms for which an emptied zone must be healthy before it returns
	maxReturnWait        = 120000.0 // ms up to which the wait doubles each time the zone is emptied again
	returnWaitReset      = 60000.0  // ms between two times a zone is emptied, above which the wait starts over
	returnStepDelay      = 1500.0   // ms for which a returning zone must be healthy before its next share
	overloadedWaitFactor = 0.1      // multiplier of the waits of returning zones while the home zones are overloaded
)

// returnShares are the shares of its local traffic that a returning zone gets one after the other.
var returnShares = []float64{0.05, 0.2, 0.5, 1}

// condition tracks how long something has been true without interruption.
type condition struct {
	since float64 // time since when it is true; NaN while it is false
}

func newCondition() condition { return condition{since: math.NaN()} }

// update sets whether the condition is true now, and returns for how long it has been; 0 if it is false.
func (c *condition) update(now float64, holds bool) (millis float64) {
	if !holds {
		c.reset()
		return 0
	}
	if math.IsNaN(c.since) {
		c.since = now
	}
	return now - c.since
}

func (c *condition) reset() { c.since = math.NaN() }

// zoneHealth is the state of one zone that the policy keeps between evaluations.
type zoneHealth struct {
	lost          condition
	degraded      condition
	healthy       condition
	shareMismatch condition // the zone's share does not match its capacity

	meanFailureRate float64 // moving average, as the few sessions of one observation are a small sample
	meanUpdatedAt   float64 // time of the latest update of the mean

	emptiedAt  float64 // time at which the zone was last emptied; -Inf if it never was
	returnWait float64 // ms for which the zone must be healthy before it returns
	lastStepAt float64 // time at which the share of the returning zone last grew
}

func newZoneHealth() *zoneHealth {
	return &zoneHealth{
		lost:          newCondition(),
		degraded:      newCondition(),
		healthy:       newCondition(),
		shareMismatch: newCondition(),
		emptiedAt:     math.Inf(-1),
		returnWait:    firstReturnWait,
	}
}

// updateMean adds a sample to the mean failure rate; NaN leaves the mean as it is.
func (h *zoneHealth) updateMean(now, failureRate float64) {
	if !math.IsNaN(failureRate) {
		weight := 1 - math.Exp((h.meanUpdatedAt-now)/meanTimeConstant)
		h.meanFailureRate += (min(failureRate, maxMeanSample) - h.meanFailureRate) * weight
	}
	h.meanUpdatedAt = now
}

// nextState returns the zone with its next state and share, and the reason if either changes.
func (p *Policy) nextState(e *evaluation, index int, zone Zone) (Zone, Reason) {
	health := p.health[zone.Name]
	failureRate := e.failureRates[index]
	isFailing, healthyFor := health.updateConditions(e, failureRate)
	switch zone.State {
	case Home, Spilling, Returning:
		if isFailing && p.mayEmpty(e, zone) {
			health.startReturnWait(e.now)
			return zone.withState(Emptied, 0), reasonFailing(failureRate)
		}
		if zone.State == Returning {
			return health.continueReturn(e, zone, healthyFor)
		}
	case Emptied:
		if healthyFor > 0 && healthyFor >= e.waitFactor*health.returnWait {
			health.lastStepAt = e.now
			return zone.withState(Returning, returnShares[0]), reasonHealthy(healthyFor)
		}
	}
	return zone, ""
}

// updateConditions reports whether the zone has been lost or degraded for long enough to be emptied, and for
// how long it has been healthy. It is degraded only as long as its current failure rate is above healthyBelow
// too, and neither lost nor degraded while the failures have a common cause.
func (h *zoneHealth) updateConditions(e *evaluation, failureRate float64) (isFailing bool, healthyFor float64) {
	isLost := failureRate > lostAbove && !e.commonCause
	isDegraded := h.meanFailureRate > degradedAbove && failureRate > healthyBelow && !e.commonCause
	lostFor := h.lost.update(e.now, isLost)
	degradedFor := h.degraded.update(e.now, isDegraded)
	healthyFor = h.healthy.update(e.now, failureRate < healthyBelow)
	return lostFor >= lostDelay || degradedFor >= degradedDelay, healthyFor
}

// startReturnWait sets how long a zone that is emptied now must be healthy before it returns. If it was emptied
// within the last returnWaitReset, the wait doubles, so that a flapping zone changes its state less and less
// often.
func (h *zoneHealth) startReturnWait(now float64) {
	if now > h.emptiedAt+returnWaitReset {
		h.returnWait = firstReturnWait
	} else {
		h.returnWait = min(2*h.returnWait, maxReturnWait)
	}
	h.emptiedAt = now
}

// continueReturn raises a returning zone to its next share once it has been healthy for long enough at the
// present one. With the last share it is home.
func (h *zoneHealth) continueReturn(e *evaluation, zone Zone, healthyFor float64) (Zone, Reason) {
	delay := e.waitFactor * returnStepDelay
	if healthyFor < delay || e.now < h.lastStepAt+delay {
		return zone, ""
	}
	for _, share := range returnShares {
		if share <= zone.Share {
			continue
		}
		h.lastStepAt = e.now
		if share == 1 {
			return zone.withState(Home, 1), reasonReturned
		}
		return zone.withState(Returning, share), reasonReturnContinue
	}
	return zone, ""
}
