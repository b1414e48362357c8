package balancer

import "slices"

// assignment is a session that this relay assigned to a backend, as counted in unreportedLoads.
type assignment struct {
	at   float64
	load float64
}

// backendUsage holds the number and load of this relay's sessions on each backend.
type backendUsage struct {
	loads  []float64 // sum of the sessions' loads, by backend
	counts []int     // number of sessions, by backend
}

// grow adds a backend.
func (u *backendUsage) grow() {
	u.loads = append(u.loads, 0)
	u.counts = append(u.counts, 0)
}

// reserve counts the session on its backend and for its tenant.
func (b *Balancer) reserve(session *Session) {
	b.usage.counts[session.attempt.backend]++
	b.usage.loads[session.attempt.backend] += session.load
	if session.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[session.Tenant]++
	}
}

// release undoes reserve. If no report includes the session yet, none will, so it leaves the unreported load too.
func (b *Balancer) release(session *Session) {
	b.poller.unreported.remove(session.attempt.backend, session.assignment())
	b.usage.counts[session.attempt.backend]--
	b.usage.loads[session.attempt.backend] -= session.load
	if session.Tenant < len(b.quotas.openSessions) {
		b.quotas.openSessions[session.Tenant]--
	}
}

// changeLoad replaces the session's load on its backend, and in the unreported load if no report includes the
// session yet. Otherwise the difference would count as reported load, and the backend's capacity would be
// estimated too high.
func (b *Balancer) changeLoad(session *Session, load float64) {
	b.poller.unreported.change(session.attempt.backend, session.assignment(), load)
	b.usage.loads[session.attempt.backend] += load - session.load
	session.load = load
}

// UnreportedLoad returns the load of the sessions that this relay has assigned and that the backends' reports
// may not include yet.
func (b *Balancer) UnreportedLoad() float64 { return b.poller.unreported.total }

// SetRemoteLoad sets the total unreported load that the other relays announce; below 0: unknown.
func (b *Balancer) SetRemoteLoad(load float64) { b.poller.unreported.remote = load }

// unknownRemoteLoad is the value of unreportedLoads.remote until the other relays have announced theirs.
const unknownRemoteLoad = -1

// unreportedLoads holds the loads of assigned sessions that the backends' reports may not include yet.
type unreportedLoads struct {
	assignments [][]assignment // this relay's assignments, by backend
	byBackend   []float64      // sum of the loads of this relay's assignments, by backend
	total       float64        // sum of byBackend
	remote      float64        // unreported load of all other relays together; below 0: unknown
}

// grow adds a backend.
func (u *unreportedLoads) grow() {
	u.assignments = append(u.assignments, nil)
	u.byBackend = append(u.byBackend, 0)
}

// clear forgets all assignments to the backend.
func (u *unreportedLoads) clear(backend int) {
	u.total -= u.byBackend[backend]
	u.byBackend[backend] = 0
	u.assignments[backend] = u.assignments[backend][:0]
}

// add adds an assignment that the backend's report does not include yet.
func (u *unreportedLoads) add(backend int, added assignment) {
	u.assignments[backend] = append(u.assignments[backend], added)
	u.byBackend[backend] += added.load
	u.total += added.load
}

// remove removes the assignment if no report includes it yet.
func (u *unreportedLoads) remove(backend int, removed assignment) {
	i := slices.Index(u.assignments[backend], removed)
	if i < 0 {
		return
	}
	u.byBackend[backend] -= removed.load
	u.total -= removed.load
	u.assignments[backend] = slices.Delete(u.assignments[backend], i, i+1)
}

// change replaces the load of the assignment if no report includes it yet.
func (u *unreportedLoads) change(backend int, changed assignment, load float64) {
	i := slices.Index(u.assignments[backend], changed)
	if i < 0 {
		return
	}
	u.assignments[backend][i].load = load
	u.byBackend[backend] += load - changed.load
	u.total += load - changed.load
}

// dropReported removes the backend's assignments from before the given time, as its latest report includes them.
func (u *unreportedLoads) dropReported(backend int, before float64) {
	u.total -= u.byBackend[backend]
	u.byBackend[backend] = 0
	u.assignments[backend] = slices.DeleteFunc(u.assignments[backend], func(a assignment) bool {
		return a.at < before
	})
	for _, a := range u.assignments[backend] {
		u.byBackend[backend] += a.load
	}
	u.total += u.byBackend[backend]
}
