package relay

import "math"

// This file handles that the process did not run for a while (SIGSTOP, a paused machine) and goes on: what came meanwhile
// waits in its sockets, and most of its deadlines are over.

// All in milliseconds.
const (
	suspendThreshold = 1000.0 // that a timer is late by where this process was suspended
	resumeReadTime   = 150.0  // for what came meanwhile to be read

	livenessInterval = 150.0 // between two looks whether the process was suspended
	// livenessGap is between two of them where it was: a drain that came meanwhile has to be applied within 500 ms, of
	// which a relay may be held up for 150.
	livenessGap = 300.0
)

// suspensionDetector finds that the process was suspended by the time that passes between two observations. The driver
// makes one with each event, and at least every livenessInterval.
type suspensionDetector struct {
	isOn       bool
	observedAt float64 // Unix milliseconds
}

// start begins to observe.
func (s *suspensionDetector) start(now float64) {
	s.isOn = true
	s.observedAt = now
}

// stop ends that: nobody observes regularly any more.
func (s *suspensionDetector) stop() { s.isOn = false }

// observe returns for how many milliseconds the process was suspended until now; 0: it was not.
func (s *suspensionDetector) observe(now float64) float64 {
	gap := now - s.observedAt
	s.observedAt = now
	if !s.isOn || gap < livenessGap {
		return 0
	}
	return gap
}

// suspendedFor returns for how long the process was suspended until the event, as the driver has found or as a timer is
// late; 0: it was not.
func (m *StateMachine) suspendedFor(now float64, event Event) float64 {
	if e, isSuspended := event.(ProcessSuspended); isSuspended {
		return e.Millis
	}
	if late := now - m.timers.next(); late > suspendThreshold {
		return late
	}
	return 0
}

// resumeAfterSuspend has what came meanwhile read first: sessions wait for what the watch has, and no peer counts as silent
// before its bytes have been read. Final answers are not put off.
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

// postponeSession puts off what ends the session or its attempt because a peer is silent.
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
