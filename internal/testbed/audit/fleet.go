package audit

import (
	"maps"
	"slices"
)

// relayState is what was seen of a relay.
type relayState struct {
	incarnation int                      // number of times that it has ended
	diedAt      float64                  // time of its last end
	isFrozen    bool                     // the machine has stopped its process
	endpoints   map[string]knownEndpoint // what it was told of endpoints in this incarnation, by name
}

// knownEndpoint is what a relay was last told of an endpoint.
type knownEndpoint struct {
	status     string  // status of the endpoint; empty: the relay was told nothing
	receivedAt float64 // time at which the relay was told
	startTime  float64 // start time of the backend, as the relay was told
}

// backendState is what was seen of a backend.
type backendState struct {
	isUnreachable      bool
	reachableAt        float64     // time at which it last became reachable again
	startedAt          float64     // time of its last start during the run; 0: none
	slowStartLoads     []timedLoad // loads sent to it in this slow start by relays that know of it
	overloadReportedAt float64     // time of the last violation reported for its overload
}

// timedLoad is a load in cores and the time at which it arrived.
type timedLoad struct{ at, load float64 }

// relay returns the state of a relay, which it creates on first use.
func (a *Auditor) relay(number int) *relayState {
	r := a.relays[number]
	if r == nil {
		r = &relayState{endpoints: map[string]knownEndpoint{}}
		a.relays[number] = r
	}
	return r
}

// backend returns the state of a backend, which it creates on first use.
func (a *Auditor) backend(name string) *backendState {
	b := a.backends[name]
	if b == nil {
		b = &backendState{}
		a.backends[name] = b
	}
	return b
}

// EndpointUpdated is called when the endpoint list has delivered an endpoint to a relay.
func (a *Auditor) EndpointUpdated(now float64, relay int, backend, status string, startTime float64) {
	endpoints := a.relay(relay).endpoints
	previous := endpoints[backend]
	if previous.status == status && previous.startTime == startTime {
		return
	}
	endpoints[backend] = knownEndpoint{status: status, receivedAt: now, startTime: startTime}
}

// RelayChanged is called when a relay has ended or serves again.
func (a *Auditor) RelayChanged(now float64, relay int, up bool) {
	if up {
		return
	}
	r := a.relay(relay)
	a.relays[relay] = &relayState{
		incarnation: r.incarnation + 1,
		diedAt:      now,
		endpoints:   map[string]knownEndpoint{},
	}
}

// RelayFrozen is called when the machine has stopped a relay's process or continues it. What the relay owes
// meanwhile is excused for good, and what it was told counts from the time when it can read it. What it does twice
// still is a violation.
func (a *Auditor) RelayFrozen(now float64, relay int, frozen bool) {
	r := a.relay(relay)
	r.isFrozen = frozen
	for _, s := range a.sessions {
		if s.relay == relay && s.incarnation == r.incarnation && !s.isOver {
			s.wasFrozen = true
		}
	}
	for name, known := range r.endpoints {
		known.receivedAt = max(known.receivedAt, now)
		r.endpoints[name] = known
	}
}

// RelayDrained is called when a relay that operators drain may hold no session any more.
func (a *Auditor) RelayDrained(now float64, relay int) {
	incarnation := a.relay(relay).incarnation
	for _, id := range slices.Sorted(maps.Keys(a.sessions)) {
		s := a.sessions[id]
		isHeld := s.answer == answerUp && !s.isOver && !s.isMoved && !s.isClosed
		if s.relay == relay && s.incarnation == incarnation && isHeld {
			a.report(LineDelivery, now, id, "still held by a relay that was to drain")
		}
	}
}

// BackendStarted is called when a backend has started again. Discovery gives this time as its start time.
func (a *Auditor) BackendStarted(now float64, backend string) {
	b := a.backend(backend)
	b.startedAt = now
	b.slowStartLoads = nil
}

// BackendUnreachable is called when nothing passes to or from a backend any more, or does again. The sessions that
// have attempts on it are marked for good.
func (a *Auditor) BackendUnreachable(now float64, backend string, unreachable bool) {
	b := a.backend(backend)
	b.isUnreachable = unreachable
	if !unreachable {
		b.reachableAt = now
	}
	for _, s := range a.sessions {
		for i := range s.attempts {
			t := &s.attempts[i]
			if t.backend == backend {
				s.wasUnreachable = true
				t.wasUnreachable = t.wasUnreachable || t.isInProgress()
			}
		}
	}
}
