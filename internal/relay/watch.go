package relay

import (
	"math"
	"slices"
)

// Times are in milliseconds.
const (
	// heartbeatTimeout is the longest wait for the next line of a watch; discovery sends an empty line every 2 s. An
	// update that a silent watch misses counts as delivered 6 s after the silence began, so this leaves time for a new
	// call that is refused once or twice.
	heartbeatTimeout = 2800.0
	// firstLineTimeout is the wait for the first line, after which a second call is made. Together with renewInterval it
	// leaves time for that within the 4 s in which the relay must have an answer from a discovery service whose address a
	// reload has set.
	firstLineTimeout = 3300.0
	// maxFirstLineTimeout is after how long a call without a line is given up in any case.
	maxFirstLineTimeout = 35000.0
	// maxWaitingCalls is how many calls without a line are kept beside the latest one.
	maxWaitingCalls = 2
	renewInterval   = 250.0  // wait before a discovery service whose address a reload has set is asked again
	minClockSkew    = 1500.0 // smallest clock difference that is corrected; discovery dates its answers in whole seconds
)

// endpointWatch is the state of the watch of the endpoint list at discovery.
type endpointWatch struct {
	address      string
	addressIsNew bool  // a reload changed the address, and the discovery there has not sent the list yet
	renewTimer   timer // until discovery is asked again

	id           uint64 // ID of the open watch; 0: none
	lastID       uint64
	after        uint64 // version after which the open watch asked for changes; 0: the whole list
	answered     bool   // the open watch has brought at least one line
	silenceTimer timer  // until a watch without a new line counts as timed out

	waiting []waitingCall // earlier calls that keep their places in discovery's queue, the first one first

	lastLineAt  float64 // Unix milliseconds at which discovery last sent a line
	clockOffset float64 // milliseconds by which discovery's clock was last found ahead of this relay's; NaN: not known
}

// waitingCall is a call to discovery that has brought nothing for firstLineTimeout. Either its connection is lost, so that
// another call is made beside it, or discovery, which handles calls in turn, has not come to it: if it were given up, it
// would lose its turn, and with a slow discovery every call would.
type waitingCall struct {
	id       uint64 // ID of the watch
	after    uint64 // as endpointWatch.after
	giveUpAt float64
}

func newEndpointWatch(address string) endpointWatch {
	return endpointWatch{address: address, clockOffset: math.NaN()}
}

// Subscribe starts a watch of the endpoint list unless one is open, beside calls that still wait for their turns. The
// dispatcher calls it.
func (m *StateMachine) Subscribe() {
	if m.watch.id == 0 {
		m.openWatch()
	}
}

// startWatch starts a watch of the endpoint list in place of any other.
func (m *StateMachine) startWatch() {
	m.watch.waiting = nil
	m.openWatch()
}

// openWatch asks for changes since the known version, or for the whole list if there is a child process. The child gets the
// whole list by its first call, and this process must not learn of a drain later than the child: an operator who drains
// a backend sees both processes as one relay.
func (m *StateMachine) openWatch() {
	m.Watches++
	m.watch.lastID++
	m.watch.id = m.watch.lastID
	m.watch.answered = false
	m.watch.after = m.endpoints.index
	if m.siblings.hasChild || len(m.siblings.drained) > 0 {
		m.watch.after = 0
	}
	m.effects.add(&StartWatch{Watch: m.watch.id, After: m.watch.after, Address: m.watch.address,
		Keep: m.watch.waitingIDs()})
	m.timers.set(&m.watch.silenceTimer, m.now+firstLineTimeout)
}

// endpointsUpdated handles the list, or changes to it, from the watch.
func (m *StateMachine) endpointsUpdated(e EndpointsUpdated) {
	if !m.receiveLine(e.Watch) {
		return
	}
	if e.Update.DiscoveryTime > 0 {
		m.watch.clockOffset = e.Update.DiscoveryTime - m.now
		m.correctClockSkew()
	}
	m.endpoints.confirm()
	if e.Update.Index < m.endpoints.index && !e.Update.Complete {
		m.restartFromOlderVersion(e.Update.Index)
		return
	}
	m.watch.addressIsNew = false
	m.timers.stop(&m.watch.renewTimer)
	if e.Update.Complete && !m.siblings.hasSibling() {
		m.siblings.forgetDrained()
	}
	m.applyEndpoints(e.Update)
	m.endpoints.markReceived()
	if m.siblings.hasSibling() {
		m.effects.add(&SendEndpoints{Update: m.endpoints.current()})
	}
}

// correctClockSkew corrects backends' start times if this relay's clock differs from discovery's, by which start times
// are reported. Otherwise a relay whose clock is ahead would treat a backend in slow start as warm.
func (m *StateMachine) correctClockSkew() {
	ahead := -m.watch.clockOffset
	if math.Abs(ahead-m.endpoints.clockAhead) >= minClockSkew {
		m.setClockAhead(ahead)
	}
}

// restartFromOlderVersion asks for the whole list when discovery has sent changes up to an older version than the one held.
// It asks at once if this watch began at a known version: a discovery that has restarted its version count may have
// drained a backend just now. Otherwise the watch counts as failed, so that the relay doesn't ask again without end.
func (m *StateMachine) restartFromOlderVersion(index uint64) {
	m.endpoints.forgetVersion()
	if m.watch.after > 0 {
		m.log("version went back", "to", index)
		m.startWatch()
		return
	}
	m.effects.add(&StopWatch{})
	m.watchFailed("version went back")
}

// watchHeartbeat handles an empty line of the watch. If the watch asked for changes after a version, it confirms that
// the list of that version is current.
func (m *StateMachine) watchHeartbeat(e WatchHeartbeat) {
	if !m.receiveLine(e.Watch) {
		return
	}
	if m.watch.after > 0 {
		m.endpoints.confirm()
	}
}

// watchEnded handles the end of a watch.
func (m *StateMachine) watchEnded(e WatchFailed) {
	if e.Watch != 0 && e.Watch == m.watch.id {
		m.watchFailed(e.Err.Error())
		return
	}
	m.watch.waiting = slices.DeleteFunc(m.watch.waiting, func(call waitingCall) bool { return call.id == e.Watch })
}

// receiveLine records that a watch has brought a line, and restarts its timeout. It reports whether the line counts: a
// watch that was replaced may still bring some. Of several calls, the one that is answered first is kept.
func (m *StateMachine) receiveLine(id uint64) bool {
	if index := slices.IndexFunc(m.watch.waiting, func(call waitingCall) bool { return call.id == id }); index >= 0 {
		m.watch.id = id
		m.watch.after = m.watch.waiting[index].after
	}
	if id == 0 || id != m.watch.id {
		return false
	}
	if len(m.watch.waiting) > 0 {
		m.watch.waiting = nil
		m.effects.add(&StopWatch{Keep: []uint64{id}})
	}
	m.timers.set(&m.watch.silenceTimer, m.now+heartbeatTimeout)
	m.watch.lastLineAt = m.now
	m.watch.answered = true
	return true
}

// watchTimedOut handles a watch that has brought nothing for too long. A watch that was answered before is replaced at
// once, as only a new call shows what it has missed. Beside a call that was never answered another one is made after the
// usual wait.
func (m *StateMachine) watchTimedOut() {
	if m.watch.answered {
		m.log("watch fell silent")
		m.startWatch()
		return
	}
	m.keepWaiting()
	m.watchFailed("silent")
}

// keepWaiting keeps the latest call in its place in discovery's queue, although another one is to be made. It gives up
// calls that have waited for too long. If there are too many, it keeps the first, whose turn comes next, and the latest,
// in case that the first one's connection is lost.
func (m *StateMachine) keepWaiting() {
	waiting := slices.DeleteFunc(m.watch.waiting, func(call waitingCall) bool { return m.now >= call.giveUpAt })
	call := waitingCall{id: m.watch.id, after: m.watch.after, giveUpAt: m.now - firstLineTimeout + maxFirstLineTimeout}
	waiting = append(waiting, call)
	if len(waiting) > maxWaitingCalls {
		waiting = slices.Delete(waiting, 1, 2)
	}
	m.watch.waiting = waiting
}

// waitingIDs returns the IDs of the calls that wait.
func (w *endpointWatch) waitingIDs() []uint64 {
	var ids []uint64
	for _, call := range w.waiting {
		ids = append(ids, call.id)
	}
	return ids
}

// watchFailed closes the watch and has the balancer schedule the next one. The balancer's backoff can exceed the time
// in which the relay must have an answer from a discovery service whose address a reload has set, and the time in which
// the child process is notified of changes; in both cases the watch is restarted after renewInterval.
func (m *StateMachine) watchFailed(why string) {
	m.log("watch failed", "why", why)
	m.watch.id = 0
	m.timers.stop(&m.watch.silenceTimer)
	m.balancer().WatchFailed(m.now)
	if m.watch.addressIsNew || m.siblings.hasChild {
		m.timers.set(&m.watch.renewTimer, m.now+renewInterval)
	}
}

// reloadConfig handles a reload of the configuration. A discovery at another address is asked for the whole list, as
// its version numbers may be unrelated; the known list stays in use until that arrives.
func (m *StateMachine) reloadConfig(e ConfigReloaded) {
	if e.Err != nil {
		m.FailedReloads++
		m.log("reload refused, all stays as it was", "why", e.Err.Error())
		return
	}
	m.Reloads++
	changed := e.DiscoveryAddress != m.watch.address
	m.log("reloaded", "discovery", e.DiscoveryAddress, "changed", changed)
	if changed {
		m.watch.address = e.DiscoveryAddress
		m.watch.addressIsNew = true
		m.endpoints.forgetVersion()
		m.startWatch()
	}
}
