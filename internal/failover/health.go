package failover

import "math"

const (
	degradedAbove = 0.2  // failure rate
	healthyBelow  = 0.08 // failure rate
	lostAbove     = 0.7  // failure rate

	lostDelay     = 1100.0 // ms for which a zone is seen as lost, before it is emptied
	degradedDelay = 2000.0 // ms for which its mean failure rate is too high, before it is emptied
	meanTime      = 1000.0 // ms, time constant of the mean
	maxMeanSample = 0.5    // so that one moment in which nothing passes does not make a zone degraded

	firstReturnWait      = 4000.0   // ms for which an emptied zone is healthy, before it returns
	maxReturnWait        = 120000.0 // ms, as the wait doubles each time the zone is emptied again
	returnWaitReset      = 60000.0  // ms after which a zone that is emptied again waits as the first time
	returnStepDelay      = 1500.0   // ms for which a zone is healthy at a share, before the next
	overloadedWaitFactor = 0.1      // of these waits, while the other zones are full
)

// returnShares are the steps by which a zone returns.
var returnShares = []float64{0.05, 0.2, 0.5, 1}

// condition remembers since when something has held.
type condition struct {
	since float64 // NaN: it does not hold
}

func newCondition() condition { return condition{since: math.NaN()} }

// update returns for how long the condition has held, 0 if it does not hold.
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

// zoneHealth is what the policy remembers of one zone between evaluations.
type zoneHealth struct {
	lost          condition
	degraded      condition
	healthy       condition
	shareMismatch condition // its share does not fit its capacity

	meanFailureRate float64 // over time: a few sessions say little at a time
	meanUpdatedAt   float64

	emptiedAt  float64 // last time
	returnWait float64 // ms
	stepAt     float64 // when its share last grew
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

// updateMean takes a failure rate into the mean; NaN leaves the mean as it is.
func (h *zoneHealth) updateMean(now, failureRate float64) {
	if !math.IsNaN(failureRate) {
		weight := 1 - math.Exp((h.meanUpdatedAt-now)/meanTime)
		h.meanFailureRate += (min(failureRate, maxMeanSample) - h.meanFailureRate) * weight
	}
	h.meanUpdatedAt = now
}

// nextState returns the zone as it is to be from now on, and the reason if its state or share changes.
func (p *Policy) nextState(e *evaluation, index int, zone Zone) (Zone, Reason) {
	health := p.health[zone.Name]
	failureRate := e.failureRates[index]
	isFailing, healthyFor := health.updateConditions(e, failureRate)
	switch zone.State {
	case Home, Spilling, Returning:
		if isFailing && p.mayEmpty(e, zone) {
			health.startReturnWait(e.now)
			return zone.with(Emptied, 0), reasonFailing(failureRate)
		}
		if zone.State == Returning {
			return health.continueReturn(e, zone, healthyFor)
		}
	case Emptied:
		if healthyFor > 0 && healthyFor >= e.waitFactor*health.returnWait {
			health.stepAt = e.now
			return zone.with(Returning, returnShares[0]), reasonHealthy(healthyFor)
		}
	}
	return zone, ""
}

// updateConditions reports whether the zone has failed for long enough to be emptied, and for how long it has
// been healthy.
func (h *zoneHealth) updateConditions(e *evaluation, failureRate float64) (isFailing bool, healthyFor float64) {
	isLost := failureRate > lostAbove && !e.commonCause
	isDegraded := h.meanFailureRate > degradedAbove && failureRate > healthyBelow && !e.commonCause
	lostFor := h.lost.update(e.now, isLost)
	degradedFor := h.degraded.update(e.now, isDegraded)
	healthyFor = h.healthy.update(e.now, failureRate < healthyBelow)
	return lostFor >= lostDelay || degradedFor >= degradedDelay, healthyFor
}

// startReturnWait sets how long a zone that is emptied now must be healthy before it returns: twice as long
// as the last time if that was not long ago, so that one that flaps changes less and less often.
func (h *zoneHealth) startReturnWait(now float64) {
	if now > h.emptiedAt+returnWaitReset {
		h.returnWait = firstReturnWait
	} else {
		h.returnWait = min(2*h.returnWait, maxReturnWait)
	}
	h.emptiedAt = now
}

// continueReturn gives a zone that returns its next share, once it has been healthy at this one.
func (h *zoneHealth) continueReturn(e *evaluation, zone Zone, healthyFor float64) (Zone, Reason) {
	delay := e.waitFactor * returnStepDelay
	if healthyFor < delay || e.now < h.stepAt+delay {
		return zone, ""
	}
	for _, share := range returnShares {
		if share <= zone.Share {
			continue
		}
		h.stepAt = e.now
		if share == 1 {
			return zone.with(Home, 1), reasonReturned
		}
		return zone.with(Returning, share), reasonReturnContinue
	}
	return zone, ""
}
