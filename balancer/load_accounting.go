package balancer

import "slices"

// assignment is a session that this relay assigned to a backend.
type assignment struct {
	at   float64
	load float64
}

// reserve counts the session on its backend and for its tenant.
func (b *Balancer) reserve(session *Session) {
	b.sessionCounts[session.backend]++
	b.sessionLoads[session.backend] += session.load
	if session.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[session.Tenant]++
	}
}

// release undoes reserve. The backend's next report does not include the session any more, either.
func (b *Balancer) release(session *Session) {
	b.poller.removeAssignment(session.backend, session.attemptedAt)
	b.sessionCounts[session.backend]--
	b.sessionLoads[session.backend] -= session.load
	if session.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[session.Tenant]--
	}
}

// changeLoad replaces the session's load on its backend.
func (b *Balancer) changeLoad(session *Session, load float64) {
	b.sessionLoads[session.backend] += load - session.load
	session.load = load
}

// UnreportedLoad returns the session load that this relay has assigned and that backends' reports may not
// include yet.
func (b *Balancer) UnreportedLoad() float64 { return b.poller.unreportedTotal }

// SetRemoteLoad sets the unreported load of all other relays together, as they announce it; below 0: unknown.
func (b *Balancer) SetRemoteLoad(load float64) { b.poller.remoteUnreported = load }

// addAssignment adds load that the backend's report does not include yet.
func (p *LoadPoller) addAssignment(backend int, added assignment) {
	p.recentAssignments[backend] = append(p.recentAssignments[backend], added)
	p.unreportedLoads[backend] += added.load
	p.unreportedTotal += added.load
}

// removeAssignment removes the assignment made at that time, if a report does not include it yet.
func (p *LoadPoller) removeAssignment(backend int, at float64) {
	i := slices.IndexFunc(p.recentAssignments[backend], func(a assignment) bool { return a.at == at })
	if i < 0 {
		return
	}
	load := p.recentAssignments[backend][i].load
	p.unreportedLoads[backend] -= load
	p.unreportedTotal -= load
	p.recentAssignments[backend] = slices.Delete(p.recentAssignments[backend], i, i+1)
}

// dropReported removes the assignments made before that time, which the latest report includes.
func (p *LoadPoller) dropReported(backend int, before float64) {
	p.unreportedTotal -= p.unreportedLoads[backend]
	p.unreportedLoads[backend] = 0
	p.recentAssignments[backend] = slices.DeleteFunc(p.recentAssignments[backend], func(a assignment) bool {
		return a.at < before
	})
	for _, a := range p.recentAssignments[backend] {
		p.unreportedLoads[backend] += a.load
	}
	p.unreportedTotal += p.unreportedLoads[backend]
}
