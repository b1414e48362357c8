package balancer

import "math"

const (
	savedSlowStartSpans  = 1.0 // overload spans for which unused budget is saved
	observedPaceFactor   = 3.0 // widens the budget of a backend whose report includes what all relays assigned
	minRelativeSlowStart = 0.1 // least load of a session in the budget, as a share of the mean session's

	youngRelaySessions = 4   // sessions of a relay until it can tell a wave of them from a trickle
	idleWarmingLoad    = 0.1 // a backend in slow start that reports less may have been sent sessions since
)

// SlowStart bounds what a backend that has just started is sent, and how much of its capacity it has.
type SlowStart struct {
	SlowStartConfig
	relays float64

	startedAt   []float64 // when the backend's slow start began; -Inf: never
	requestedAt float64   // when a session last drew on the budget
	draws       int       // of sessions, so far
}

// SlowStartConfig is what the settings say of backends that have just started.
type SlowStartConfig struct {
	InitialCapacity  float64 // share of its capacity that a backend starts with
	Duration         float64 // milliseconds until it has its full capacity; 0: there is no slow start
	OverloadMultiple float64 // multiple of its present capacity at which it fails ...
	OverloadSpan     float64 // ... if that much arrives within so many milliseconds
	Relays           int     // number of relays that share the budget
}

// NewSlowStart returns a SlowStart without backends.
func NewSlowStart(config SlowStartConfig) *SlowStart {
	return &SlowStart{SlowStartConfig: config, relays: float64(config.Relays)}
}

// grow adds a backend.
func (s *SlowStart) grow() { s.startedAt = append(s.startedAt, math.Inf(-1)) }

// capacityShare is the share of its capacity that the backend has; 1 once it is warm.
func (s *SlowStart) capacityShare(backend int, now float64) float64 {
	if s.Duration <= 0 {
		return 1
	}
	elapsed := max(0, now-s.startedAt[backend])
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*elapsed/s.Duration)
}

// recordRestart begins a slow start, as the backend restarted under the same ID. Earlier reports say nothing
// of it.
func (b *Balancer) recordRestart(backend int, startedAt float64) {
	b.forgetLoad(backend)
	b.startedAt[backend] = startedAt
	b.outliers.consecutiveFailures[backend] = 0
	b.startSlowStart(backend, startedAt)
}

// warmingDraw is a backend drawn among those in slow start that may have a session.
type warmingDraw struct {
	backend       int     // or noBackend
	count         float64 // of backends that it was drawn among
	capacityShare float64 // sum of theirs
}

// drawWarmingBackend returns the backend in slow start that the session may go to, or noBackend.
//
// The budget of slow starts is spent by chance. Counting sessions would not do: of hundreds of relays each
// may have a session at the same moment. The chance of a session, due, grows with
//   - the time since the last session here, of which little is saved up,
//   - this relay's share of what fills these backends over their slow start (slowStartPace).
//
// A session of more than the mean load has less of a chance, as it uses more of the budget.
func (b *Balancer) drawWarmingBackend(now float64, session *Session) int {
	s := b.slowStart
	s.draws++
	drawn := b.drawAmongWarming(now, session)

	class := b.attempts.classes[session.Class]
	savedTime := b.admission.SavedTimeLimit(s.OverloadSpan, savedSlowStartSpans*s.OverloadSpan)
	elapsed := min(now-s.requestedAt, savedTime)
	offered := elapsed * b.admission.OfferedShare(class.PriorityWeight, session.Key, now)
	relativeLoad := max(session.load/b.quotas.meanSessionLoad, minRelativeSlowStart)
	due := drawn.capacityShare * b.slowStartPace(drawn.count) * offered / relativeLoad
	s.requestedAt = now - b.admission.UnusedTime(elapsed, offered, due)

	chance := b.rng.Float64()
	if b.attempts.draining || drawn.backend == noBackend || !(chance < due) {
		return noBackend
	}
	// Beyond an even share of the sessions, a backend in slow start has one only if no warm backend has room,
	// and only while its reports show what all relays sent it. Without that, relays with few sessions would
	// leave such backends idle while they reject clients.
	withinEvenShare := chance < drawn.count/float64(b.tracker.usable)
	if !withinEvenShare && !b.isLoadObserved(drawn.backend, now) {
		return noBackend
	}
	session.warming.onlyIfFull = !withinEvenShare
	// A young relay does not know whether its sessions begin a wave, to which all relays would spend what they have
	// saved before any report shows it. Where its budget is wider than usual, it asks for a report of load.
	withinUsualBudget := chance*observedPaceFactor < due || !b.isLoadObserved(drawn.backend, now)
	session.warming.onlyIfLoaded = !withinUsualBudget && s.draws <= youngRelaySessions
	session.warming.usedBudget = offered / due
	return drawn.backend
}

// drawAmongWarming draws a backend in slow start, each with a chance by the capacity that it has now.
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
		if b.isLoadObserved(backend, now) { // its reports bound what it is sent, so its budget may be wider
			share *= 1 + (observedPaceFactor-1)*(1-b.poller.activeShare)
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

// slowStartPace is this relay's budget, in sessions of the mean load a millisecond, for the whole capacity of
// one backend, while that many backends warm up.
func (b *Balancer) slowStartPace(warming float64) float64 {
	s := b.slowStart
	sessions := max(b.fleet.capacity/b.quotas.meanSessionLoad, 1)
	usual := s.OverloadMultiple / 2 * sessions / s.Duration / s.relays
	return b.admission.SlowStartBudget(sessions, s.OverloadMultiple, s.InitialCapacity, s.OverloadSpan, usual,
		warming, float64(b.tracker.usable))
}

// isLoadObserved reports whether the report of a backend in slow start includes what all relays sent it, and
// is new as candidates are polled for each session.
func (b *Balancer) isLoadObserved(backend int, now float64) bool {
	s := b.slowStart
	return b.poller.activeShare < 1 && now >= s.startedAt[backend]+s.OverloadSpan+b.poller.reports.maxAge
}
