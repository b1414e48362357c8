package relay

import (
	"cmp"
	"slices"
)

// Status is what the fleet is told of how this relay fares.
type Status struct {
	Now                  float64 // Unix milliseconds
	EndpointsConfirmed   bool    // discovery has told the list in this incarnation
	Index                uint64  // the list's version
	Rejected             int     // clients rejected so far
	RejectedLastSecond   int     // of those; filled in by the fleet
	Sessions             int
	WarmingUp            int     // backends that are warming up
	Usable               int     // backends that get sessions
	UnreportedLoad       float64 // that load estimates may not show yet
	DiscoveryClockOffset float64 // milliseconds that discovery's clock is ahead, to half a second; NaN: not told
}

// Status is how the relay fares now. It is called between events.
func (m *StateMachine) Status(now float64) Status {
	warmingUp, usable := m.balancer().WarmingUp(now)
	return Status{
		Now:                  now,
		EndpointsConfirmed:   m.endpoints.confirmed,
		Index:                m.endpoints.index,
		Rejected:             int(m.Rejected),
		Sessions:             m.queue.sessions,
		WarmingUp:            warmingUp,
		Usable:               usable,
		UnreportedLoad:       m.balancer().UnreportedLoad(),
		DiscoveryClockOffset: m.watch.clockOffset,
	}
}

// BackendStatus is what is known of one backend: on the sockets, and by the balancer.
type BackendStatus struct {
	Name            string
	Established     int // sessions on sockets
	Attempts        int // on sockets
	Reserved        int // by the balancer: the same as both together
	ReportAgeMillis float64
	Ejected         bool
}

// BackendStatuses are those of all backends, by name. It is called between events.
func (m *StateMachine) BackendStatuses(now float64) []BackendStatus {
	attempts := map[*backend]int{}
	for _, conn := range m.conns.byID {
		if conn.backend != nil && conn.session != nil && conn.session.state == attempting {
			attempts[conn.backend]++
		}
	}
	var all []BackendStatus
	for _, backend := range m.endpoints.byName {
		known := m.balancer().BackendStatus(backend.id)
		all = append(all, BackendStatus{
			Name:            backend.Name,
			Established:     len(backend.sessions),
			Attempts:        attempts[backend],
			Reserved:        known.Sessions,
			ReportAgeMillis: now - known.ReportedAt,
			Ejected:         known.IsAvoided,
		})
	}
	slices.SortFunc(all, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
