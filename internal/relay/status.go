package relay

import (
	"cmp"
	"slices"
)

// Status is what this relay tells the fleet about its own condition.
type Status struct {
	Now                  float64 // time of the status, in Unix milliseconds
	EndpointsConfirmed   bool    // discovery has confirmed the endpoint list in this incarnation
	Index                uint64  // version of the endpoint list
	Rejected             int     // clients rejected since the start
	RejectedLastSecond   int     // clients rejected in the last second; filled in by the fleet
	Sessions             int     // sessions, from request to end
	WarmingUp            int     // backends that are warming up
	Usable               int     // backends that can be assigned sessions
	UnreportedLoad       float64 // load of assigned sessions that the backends' reports may not include yet
	DiscoveryClockOffset float64 // milliseconds that discovery's clock is ahead, to half a second; NaN: unknown
}

// Status returns the relay's current condition. It must not be called while an event is handled.
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

// BackendStatus describes one backend, as the relay's connections show it and as the balancer knows it.
type BackendStatus struct {
	Name            string
	Established     int     // established sessions on the relay's connections
	Attempts        int     // attempts on the relay's connections
	Reserved        int     // sessions and attempts that the balancer counts; equals Established plus Attempts
	ReportAgeMillis float64 // time since the last load report
	Excluded        bool    // the balancer assigns it no new sessions
}

// BackendStatuses returns the status of every backend, sorted by name. It must not be called while an event is handled.
func (m *StateMachine) BackendStatuses(now float64) []BackendStatus {
	attempts := map[*backend]int{}
	for _, conn := range m.conns.byID {
		if conn.backend != nil && conn.session != nil && conn.session.state == attempting {
			attempts[conn.backend]++
		}
	}
	var statuses []BackendStatus
	for _, backend := range m.endpoints.byName {
		status := m.balancer().BackendStatus(backend.id)
		statuses = append(statuses, BackendStatus{
			Name:            backend.Name,
			Established:     len(backend.sessions),
			Attempts:        attempts[backend],
			Reserved:        status.Sessions,
			ReportAgeMillis: now - status.ReportedAt,
			Excluded:        status.IsExcluded,
		})
	}
	slices.SortFunc(statuses, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
