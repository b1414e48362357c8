package relay

import "math"

// This file handles suspensions: the process did not run for a while (SIGSTOP, a paused machine) and resumes. Data that
// arrived meanwhile is waiting in its sockets, and most of its deadlines have passed.

// Times are in milliseconds.
const (
	minTimerLateness = 1000.0 // lateness of a timer from which the process counts as suspended
	resumeReadTime   = 150.0  // time after a suspension in which the data that arrived meanwhile is read

	livenessInterval = 150.0 // longest time between two observations
	// minSuspensionGap is the gap between two observations from which the process counts as suspended. A drain that
	// arrived meanwhile has to be applied within 500 ms, of which a relay may be held up for 150 ms.
	minSuspensionGap = 300.0
)

// suspensionDetector detects a suspension of the process by the time between two observations. The driver makes an
// observation with each event, and at least every livenessInterval.
type suspensionDetector struct {
	isOn       bool
	observedAt float64 // Unix milliseconds
}

// start begins the observation.
func (s *suspensionDetector) start(now float64) {
	s.isOn = true
	s.observedAt = now
}

// stop ends the observation, as the driver no longer makes it at regular intervals.
func (s *suspensionDetector) stop() { s.isOn = false }

// observe returns for how many milliseconds the process was suspended until now; 0 if it was not.
func (s *suspensionDetector) observe(now float64) float64 {
	gap := now - s.observedAt
	s.observedAt = now
	if !s.isOn || gap < minSuspensionGap {
		return 0
	}
	return gap
}

// suspendedFor returns for how many milliseconds the process was suspended until the event, as found by the driver or
// by the lateness of a timer; 0 if it was not.
func (m *StateMachine) suspendedFor(now float64, event Event) float64 {
	if e, isSuspended := event.(ProcessSuspended); isSuspended {
		return e.Millis
	}
	if late := now - m.timers.next(); late > minTimerLateness {
		return late
	}
	return 0
}

// resumeAfterSuspend lets the data that arrived during a suspension be read first: sessions wait for pending endpoint
// updates, and no peer counts as silent before its data has been read. Final answers are not postponed.
func (m *StateMachine) resumeAfterSuspend(now, suspended float64) {
	m.log("process was suspended", "ms", math.Round(suspended))
	until := now + resumeReadTime
	m.balancer().Pause(until)
	m.timers.postpone(&m.watch.silenceTimer, until)
	for _, backend := range m.endpoints.inOrder {
		if backend.pollConn != nil {
			m.timers.postpone(&backend.pollConn.deadline, until)
		}
	}
	for _, conn := range m.conns.clients() {
		m.postponeSession(conn.session, until)
	}
}

// postponeSession postpones the timers that end the session or its attempt because a peer is silent.
func (m *StateMachine) postponeSession(session *session, until float64) {
	switch session.state {
	case awaitingRequest:
		m.timers.postpone(&session.clientConn.deadline, until)
	case attempting:
		m.timers.postpone(&session.backendConn.deadline, min(until, session.deadline))
	case established:
		m.timers.postpone(&session.clientConn.deadline, until)
		m.timers.postpone(&session.stateTimer, until)
	}
}
