package audit

import (
	"maps"
	"slices"
)

// relayState is what was seen of a relay.
type relayState struct {
	incarnation int // number of its ends
	diedAt      float64
	isFrozen    bool
	endpoints   map[string]endpointNews // that it was told of in this incarnation, by name
}

// endpointNews is what a relay was last told of an endpoint.
type endpointNews struct {
	status string // empty: nothing
	at     float64
	since  float64 // start of the backend
}

// backendState is what was seen of a backend.
type backendState struct {
	isUnreachable      bool
	reachableAt        float64 // when it was unreachable last
	startedAt          float64
	coldLoads          []timedLoad // in this start, by relays that know that it is cold
	overloadReportedAt float64
}

// timedLoad is a load in cores that came at a time.
type timedLoad struct{ at, load float64 }

// relay returns the state of a relay, which is made at its first use.
func (a *Auditor) relay(number int) *relayState {
	r := a.relays[number]
	if r == nil {
		r = &relayState{endpoints: map[string]endpointNews{}}
		a.relays[number] = r
	}
	return r
}

// backend returns the state of a backend, which is made at its first use.
func (a *Auditor) backend(name string) *backendState {
	b := a.backends[name]
	if b == nil {
		b = &backendState{}
		a.backends[name] = b
	}
	return b
}

// EndpointUpdated is called when the endpoint list has told a relay of an endpoint.
func (a *Auditor) EndpointUpdated(now float64, relay int, backend, status string, since float64) {
	endpoints := a.relay(relay).endpoints
	was := endpoints[backend]
	if was.status == status && was.since == since {
		return
	}
	endpoints[backend] = endpointNews{status: status, at: now, since: since}
}

// RelayChanged is called when a relay has ended, or serves.
func (a *Auditor) RelayChanged(now float64, relay int, up bool) {
	if up {
		return
	}
	r := a.relay(relay)
	a.relays[relay] = &relayState{
		incarnation: r.incarnation + 1,
		diedAt:      now,
		endpoints:   map[string]endpointNews{},
	}
}

// RelayFrozen is called when the machine has stopped a relay, or has it go on. What the relay owes meanwhile is
// excused for good, and what it was told counts from when it can read it. What it does twice still counts.
func (a *Auditor) RelayFrozen(now float64, relay int, frozen bool) {
	r := a.relay(relay)
	r.isFrozen = frozen
	for _, s := range a.sessions {
		if s.relay == relay && s.incarnation == r.incarnation && !s.isOver {
			s.wasFrozen = true
		}
	}
	for name, news := range r.endpoints {
		news.at = max(news.at, now)
		r.endpoints[name] = news
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

// BackendStarted is called when a backend has started anew, which discovery tells of by that time.
func (a *Auditor) BackendStarted(now float64, backend string) {
	b := a.backend(backend)
	b.startedAt = now
	b.coldLoads = nil
}

// BackendUnreachable is called when nothing passes to a backend, or does again. The sessions on it are marked
// for good.
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
				s.wasDark = true
				t.wasDark = t.wasDark || t.isOut()
			}
		}
	}
}
