package relay

import "math"

// All in milliseconds.
const (
	// heartbeatTimeout is for the next line of a watch: an empty one comes every 2 s. What a silent watch misses counts
	// as told 6 s after it fell silent, which leaves time for a call that is refused once or twice.
	heartbeatTimeout = 2800.0
	// answerTimeout is for the first line. Discovery works through calls in turn, so that one given up early loses its
	// place there. With renewInterval it leaves time for a second call within the 4 s in which a discovery that a reload
	// names has to be heard.
	answerTimeout = 3300.0
	renewInterval = 250.0  // before a discovery that a reload names is asked again
	minClockSkew  = 1500.0 // that is acted on: discovery dates its answers to a second
)

// endpointWatch owns the watch of the endpoint list at discovery.
type endpointWatch struct {
	address      string
	addressIsNew bool  // by a reload: that discovery has not told the list yet
	renewTimer   timer // until it is asked again

	id           uint64 // of the watch that is open; 0: none
	lastID       uint64
	after        uint64 // the version from which on it was asked
	answered     bool   // it has brought something
	silenceTimer timer  // until it counts as failed

	heardAt     float64 // when discovery was heard last
	clockOffset float64 // milliseconds that discovery's clock was ahead of this relay's, as last told; NaN: never told
}

func newEndpointWatch(address string) endpointWatch {
	return endpointWatch{address: address, clockOffset: math.NaN()}
}

// Subscribe has the list watched; the dispatcher calls it. A watch that is open needs no other.
func (m *StateMachine) Subscribe() {
	if m.watch.id == 0 {
		m.startWatch()
	}
}

// startWatch asks for the changes since the known list, or for the whole list if there is a child process: the child
// gets the whole list by its first call, and this process must not be notified later, as an operator who drains a
// backend sees both processes as one relay.
func (m *StateMachine) startWatch() {
	m.Watches++
	m.watch.lastID++
	m.watch.id = m.watch.lastID
	m.watch.answered = false
	m.watch.after = m.endpoints.index
	if m.siblings.hasChild || len(m.siblings.drained) > 0 {
		m.watch.after = 0
	}
	m.effects.add(&StartWatch{Watch: m.watch.id, After: m.watch.after, Address: m.watch.address})
	m.timers.set(&m.watch.silenceTimer, m.now+answerTimeout)
}

// endpointsUpdated handles the list, or changes of it, from the watch.
func (m *StateMachine) endpointsUpdated(e EndpointsUpdated) {
	if e.Watch != m.watch.id {
		return
	}
	m.discoveryHeard()
	if e.Update.DiscoveryTime > 0 {
		m.watch.clockOffset = e.Update.DiscoveryTime - m.now
		m.followDiscoveryClock()
	}
	m.endpoints.confirm()
	if e.Update.Index < m.endpoints.index && (m.watch.after > 0 || !e.Update.Complete) {
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

// followDiscoveryClock corrects backends' start times where this relay's clock differs from discovery's, by which they are
// told. Else a relay whose clock is ahead takes a backend in slow start for a warm one.
func (m *StateMachine) followDiscoveryClock() {
	ahead := -m.watch.clockOffset
	if math.Abs(ahead-m.endpoints.clockAhead) >= minClockSkew {
		m.setClockAhead(ahead)
	}
}

// restartFromOlderVersion asks for the whole list where discovery has gone back to an older version than the one held.
// It does so at once where this watch began at a later version: a discovery that counts anew may have drained a backend
// just now.
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

// watchHeartbeat handles an empty line of the watch: the list from which on it was asked still holds.
func (m *StateMachine) watchHeartbeat(e WatchHeartbeat) {
	if e.Watch != m.watch.id {
		return
	}
	m.discoveryHeard()
	if m.watch.after > 0 {
		m.endpoints.confirm()
	}
}

// watchEnded handles the end of the watch.
func (m *StateMachine) watchEnded(e WatchFailed) {
	if e.Watch == m.watch.id {
		m.watchFailed(e.Err.Error())
	}
}

// discoveryHeard says that the watch has brought something.
func (m *StateMachine) discoveryHeard() {
	m.timers.set(&m.watch.silenceTimer, m.now+heartbeatTimeout)
	m.watch.heardAt = m.now
	m.watch.answered = true
}

// watchTimedOut handles that the watch has brought nothing for too long. One that has brought something is opened anew at
// once, as only that shows what it has missed since; a call that was never answered waits for its turn.
func (m *StateMachine) watchTimedOut() {
	if m.watch.answered {
		m.log("watch fell silent")
		m.startWatch()
		return
	}
	m.effects.add(&StopWatch{})
	m.watchFailed("silent")
}

// watchFailed has the balancer decide when the list is asked for again. Its waits grow beyond the time in which a new
// discovery counts as having told, and in which the other process of this relay has been told: then it is soon.
func (m *StateMachine) watchFailed(why string) {
	m.log("watch failed", "why", why)
	m.watch.id = 0
	m.timers.stop(&m.watch.silenceTimer)
	m.balancer().WatchFailed(m.now)
	if m.watch.addressIsNew || m.siblings.hasChild {
		m.timers.set(&m.watch.renewTimer, m.now+renewInterval)
	}
}

// reloadConfig handles that the configuration was read again. Another discovery is asked for the whole list, as it may
// count its versions afresh; until that comes, what was known stays.
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
