package audit

import "valeshift/internal/testbed/experiment"

// drainGrace is the time in ms after a relay has been told of a drain from which no new attempt may reach the
// backend.
const drainGrace = 500.0

const statusActive = "active"

// attempt is one attempt to establish a session on a backend.
type attempt struct {
	backend        string
	startedAt      float64
	finishedAt     float64 // time of its end; 0: it is in progress
	wasUnreachable bool    // its backend was unreachable meanwhile and may not have noticed its end
}

func (t attempt) isInProgress() bool { return t.finishedAt == 0 }

// AttemptReceived is called when a backend has received the request for a session.
func (a *Auditor) AttemptReceived(now float64, id, backend string, cold bool, capacity, load float64) {
	a.Attempts++
	s := a.sessions[id]
	if s == nil {
		a.report(AtMostOnce, now, id, "an attempt on %s of a session that nobody asked for", backend)
		return
	}
	a.countLocality(now, s.relay, backend)
	known := a.relay(s.relay).endpoints[backend]
	state := a.backend(backend)
	a.checkDrain(now, id, backend, known, state)
	knowsThisStart := known.startTime > 0 && known.startTime >= state.startedAt
	if cold && knowsThisStart {
		a.addSlowStartLoad(now, id, backend, capacity, load)
	}
	s.attempts = append(s.attempts, attempt{backend: backend, startedAt: now, wasUnreachable: state.isUnreachable})
}

func (a *Auditor) countLocality(now float64, relay int, backend string) {
	if a.IsSameZone == nil || now < a.LocalityFrom {
		return
	}
	a.LocatedAttempts++
	if a.IsSameZone(relay, backend) {
		a.LocalAttempts++
	}
}

// checkDrain reports an attempt on a backend that the relay has known for a while to be leaving or gone.
func (a *Auditor) checkDrain(now float64, id, backend string, known knownEndpoint, state *backendState) {
	if known.status == "" || known.status == statusActive || now <= known.receivedAt+drainGrace+a.slack {
		return
	}
	// The attempt may have been sent before the drain, while nothing passed to the backend.
	mayBeDelayed := now < state.reachableAt+a.slack
	if !mayBeDelayed {
		a.report(Drain, now, id, "to %s, %s for %.0f ms by what its relay was told", backend, known.status,
			now-known.receivedAt)
	}
}

// addSlowStartLoad records the load that a backend in slow start is sent by relays that know of the slow start, and
// reports an overload. A session can't be split, so the heaviest one of a window does not count against the limit.
func (a *Auditor) addSlowStartLoad(now float64, id, backend string, capacity, load float64) {
	state := a.backend(backend)
	recent := state.slowStartLoads[:0]
	sum, heaviest := load, load
	for _, l := range state.slowStartLoads {
		if l.at > now-a.overloadWindow {
			recent = append(recent, l)
			sum += l.load
			heaviest = max(heaviest, l.load)
		}
	}
	state.slowStartLoads = append(recent, timedLoad{now, load})
	if sum-heaviest > a.overloadMultiple*capacity && now > state.overloadReportedAt+a.overloadWindow {
		state.overloadReportedAt = now
		a.report(SlowStart, now, id, "%s was sent %.2f cores within %.0f ms, and has %.2f", backend, sum,
			a.overloadWindow, capacity)
	}
}

// AttemptFinished is called when an attempt is over for its backend.
func (a *Auditor) AttemptFinished(now float64, id, backend string) {
	s := a.sessions[id]
	if s == nil {
		return
	}
	for i := range s.attempts {
		if s.attempts[i].backend == backend && s.attempts[i].isInProgress() {
			s.attempts[i].finishedAt = now
			a.checkOverlap(id, s, i)
			return
		}
	}
}

// checkOverlap checks an attempt that has finished against those that are still in progress. So each pair is
// checked once, when the first of the two finishes. A backend that is unreachable does not notice the end of an
// attempt, so its attempts are not checked.
func (a *Auditor) checkOverlap(id string, s *session, finished int) {
	t := s.attempts[finished]
	for _, other := range s.attempts {
		if !other.isInProgress() || t.wasUnreachable || other.wasUnreachable {
			continue
		}
		if overlap := t.finishedAt - max(t.startedAt, other.startedAt); overlap > a.slack {
			a.report(AtMostOnce, t.finishedAt, id, "attempts on %s and %s out at once for %.1f ms", t.backend,
				other.backend, overlap)
		}
	}
}

// EffectApplied is called when a backend has executed a session's request.
func (a *Auditor) EffectApplied(now float64, id, backend string) {
	s := a.sessions[id]
	if s == nil {
		return
	}
	isSingleUse := s.effect == experiment.EffectSingleUse
	s.effects++
	if s.effects > 1 && isSingleUse {
		a.report(AtMostOnce, now, id, "single-use, and done again on %s", backend)
	}
	client := s.operation.client
	if client.backend != "" && s.operation.effects == 0 {
		a.Reconnects++
		if client.backend == backend {
			a.AffineReconnects++
		}
	}
	client.backend = backend
	s.operation.effects++
	if s.operation.effects > 1 && s.effects == 1 && isSingleUse {
		a.RepeatedEffects++
	}
}

// ClosedByBackend is called when a backend has ended an established session.
func (a *Auditor) ClosedByBackend(_ float64, id, _ string) {
	if s := a.sessions[id]; s != nil {
		s.isClosed = true
	}
}
