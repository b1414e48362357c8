package balancer

import "math"

const (
	savedSlowStartSpans    = 1.0 // number of overload spans for which unused budget is saved
	observedBudgetFactor   = 3.0 // factor on the budget of a backend whose report includes what all relays assigned
	minRelativeSessionLoad = 0.1 // least load that a session counts with in the budget, as a share of the mean

	newRelaySessions = 4   // number of a relay's first sessions that can't show whether a wave has begun
	idleWarmingLoad  = 0.1 // reported load below which sessions sent to a backend in slow start may not show yet
)

// SlowStart limits how much load the relay sends to backends that have just started, and computes the share of
// their capacity that they have.
type SlowStart struct {
	SlowStartConfig
	relays float64

	startedAt   []float64 // time at which each backend's slow start began; -Inf: never
	requestedAt float64   // time at which a session last drew on the budget, less the time that it left unused
	draws       int       // number of sessions that have drawn on the budget
}

// SlowStartConfig holds the settings for backends that have just started.
type SlowStartConfig struct {
	InitialCapacity  float64 // share of its capacity that a backend starts with
	Duration         float64 // milliseconds from the start until a backend has its full capacity; 0: no slow start
	OverloadMultiple float64 // a backend fails if this multiple of its present capacity arrives within OverloadSpan
	OverloadSpan     float64 // milliseconds over which the arriving load is compared with OverloadMultiple
	Relays           int     // number of relays that share the budget
}

// NewSlowStart returns a SlowStart without backends.
func NewSlowStart(config SlowStartConfig) *SlowStart {
	return &SlowStart{SlowStartConfig: config, relays: float64(config.Relays)}
}

// grow adds a backend.
func (s *SlowStart) grow() { s.startedAt = append(s.startedAt, math.Inf(-1)) }

// capacityShare returns the share of its full capacity that the backend has now; 1 once it is warm.
func (s *SlowStart) capacityShare(backend int, now float64) float64 {
	if s.Duration <= 0 {
		return 1
	}
	elapsed := max(0, now-s.startedAt[backend])
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*elapsed/s.Duration)
}

// recordRestart begins a slow start of a backend that restarted under the same ID. Its earlier load reports and
// failures are dropped, as they say nothing of the restarted backend.
func (b *Balancer) recordRestart(backend int, startedAt float64) {
	b.forgetLoad(backend)
	b.startedAt[backend] = startedAt
	b.outliers.consecutiveFailures[backend] = 0
	b.startSlowStart(backend, startedAt)
}

// warmingDraw is the result of drawing one of the backends in slow start that may take a session.
type warmingDraw struct {
	backend       int     // index of the drawn backend, or noBackend
	count         float64 // number of backends that it was drawn from
	capacityShare float64 // sum of the capacity shares of those backends, widened where their load is observed
}

// drawWarmingBackend returns the backend in slow start that the session may go to, or noBackend.
//
// The slow-start budget is spent at random. Counting sessions at each relay would not limit them: each of
// hundreds of relays may have a session at the same moment. A session gets a backend with a probability equal to
// the number of sessions of its load that the budget allows (budgeted). That number grows with
//   - the time since the last session at this relay, of which little is saved up,
//   - this relay's share of the rate that fills these backends over their slow start (slowStartBudgetRate).
//
// It is lower for a session of more than the mean load, which uses more of the budget.
func (b *Balancer) drawWarmingBackend(now float64, session *Session) int {
	s := b.slowStart
	s.draws++
	drawn := b.drawAmongWarming(now, session)

	class := b.attempts.classes[session.Class]
	savedTime := b.admission.SavedTimeLimit(s.OverloadSpan, savedSlowStartSpans*s.OverloadSpan)
	elapsed := min(now-s.requestedAt, savedTime)
	offered := elapsed * b.admission.OfferedShare(class.PriorityWeight, session.Key, now)
	relativeLoad := max(session.load/b.quotas.meanSessionLoad, minRelativeSessionLoad)
	budgeted := drawn.capacityShare * b.slowStartBudgetRate(drawn.count) * offered / relativeLoad
	s.requestedAt = now - b.admission.UnusedTime(elapsed, offered, budgeted)

	random := b.rng.Float64()
	if b.attempts.draining || drawn.backend == noBackend || !(random < budgeted) {
		return noBackend
	}
	// Beyond an even share of the sessions, a backend in slow start is assigned one only if no warm backend has
	// room, and only while its reports include what all relays sent it. Without this exception, relays with few
	// sessions would leave such backends idle while they reject clients.
	withinEvenShare := random < drawn.count/float64(b.tracker.usable)
	if !withinEvenShare && !b.isLoadObserved(drawn.backend, now) {
		return noBackend
	}
	session.warming.onlyIfFull = !withinEvenShare
	// A relay that has just started can't tell whether its first sessions begin a wave. In a wave, all relays would
	// spend their saved budget before any report shows it. So where such a session needs more than the usual budget,
	// it may go to the backend only if that has reported load.
	withinUsualBudget := random*observedBudgetFactor < budgeted || !b.isLoadObserved(drawn.backend, now)
	session.warming.onlyIfLoaded = !withinUsualBudget && s.draws <= newRelaySessions
	session.warming.usedBudget = offered / budgeted
	return drawn.backend
}

// drawAmongWarming draws one of the backends in slow start, each with a probability proportional to the capacity
// that it has now.
func (b *Balancer) drawAmongWarming(now float64, session *Session) warmingDraw {
	drawn := warmingDraw{backend: noBackend}
	hash := b.affinityHash(session)
	zone := b.targetZone(session)
	least := math.Inf(1)
	for _, backend := range b.warmingBackends(now) {
		if b.states[backend] != Ready || !b.outliers.isHealthy(backend) || !b.zoneAllows(backend, zone) {
			continue
		}
		share := b.slowStart.capacityShare(backend, now)
		if b.isLoadObserved(backend, now) { // its reports limit what it is sent, so its budget may be wider
			share *= 1 + (observedBudgetFactor-1)*(1-b.poller.polledShare)
		}
		drawn.count++
		drawn.capacityShare += share
		if d := exponentialDraw(hash, b.ids[backend]) / share; d < least {
			drawn.backend = backend
			least = d
		}
	}
	return drawn
}

// hasReportedLoad reports whether the latest report of a backend in slow start shows more than a negligible load.
func (b *Balancer) hasReportedLoad(backend int) bool {
	return b.poller.reports.loads[backend] >= idleWarmingLoad // false where none is known
}

// slowStartBudgetRate returns this relay's budget for the full capacity of one backend while the given number of
// backends warm up. It is in sessions of the mean load per millisecond.
func (b *Balancer) slowStartBudgetRate(warming float64) float64 {
	s := b.slowStart
	sessions := max(b.fleet.capacity/b.quotas.meanSessionLoad, 1)
	usualRate := s.OverloadMultiple / 2 * sessions / s.Duration / s.relays
	return b.admission.SlowStartBudget(sessions, s.OverloadMultiple, s.InitialCapacity, s.OverloadSpan, usualRate,
		warming, float64(b.tracker.usable))
}

// isLoadObserved reports whether the report of a backend in slow start includes what all relays sent it. That
// takes candidates that are polled for each session, so that the report is new, and a backend that started
// longer ago than the overload span and the greatest age of a report.
func (b *Balancer) isLoadObserved(backend int, now float64) bool {
	s := b.slowStart
	return b.poller.polledShare < 1 && now >= s.startedAt[backend]+s.OverloadSpan+b.poller.reports.maxAge
}
