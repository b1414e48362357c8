// Package relay implements one relay: it carries out the balancer's decisions on network connections.
//
// StateMachine owns all state of the relay, and nothing else changes it. It handles one event at a time and returns the
// effects that follow. It uses no socket, clock or log and starts no goroutine, so that the simulation and the tests can
// run it without a network. Package balancer decides where sessions go. The driver (driver.go), started by Serve, runs a
// StateMachine on real connections.
package relay

import (
	"fmt"

	"valeshift/internal/dispatch"
	"valeshift/internal/hotrestart"
	"valeshift/internal/settings"
)

// StateMachine is the state of one relay. Each component is modified only by the file named in its comment. A
// StateMachine is not safe for concurrent use.
type StateMachine struct {
	Counters
	now float64 // time of the event being handled, in Unix milliseconds

	rules       sessionRules     // rules.go
	limits      descriptorLimits // limits.go
	timers      timerQueue       // timers.go
	conns       connTable        // conns.go
	intake      clientIntake     // intake.go
	queue       sessionQueue     // attempts.go
	endpoints   endpointSet      // endpoints.go
	watch       endpointWatch    // watch.go
	lifecycle   lifecycleState   // drain.go
	siblings    siblingProcesses // handoff.go
	replication replicationState // replication.go

	illegalTransitions int // session state changes not listed in sessionTransitions; session.go

	effects     *effectBuffer // effects of the event being handled
	lastEffects *effectBuffer // buffer that the previous call of Handle returned; every call swaps the two
}

// New creates a state machine from the configuration. now is the current time in Unix milliseconds.
func New(now float64, config *Config) (*StateMachine, error) {
	balancer, err := settings.NewReader(config.Settings).BuildBalancer(config.Seed)
	if err != nil {
		return nil, err
	}
	return NewWithBalancer(now, config, balancer)
}

// NewWithBalancer creates a state machine that uses the given balancer. The testbed passes its own.
func NewWithBalancer(now float64, config *Config, balancer dispatch.Balancer) (*StateMachine, error) {
	if config.MaxReportAgeMillis > 0 {
		balancer.SetMaxReportAge(config.MaxReportAgeMillis)
	}
	reader := settings.NewReader(config.Settings)
	rules := newSessionRules(reader)
	limits, err := newDescriptorLimits(config, rules.maxSessions)
	if err != nil {
		return nil, err
	}
	m := &StateMachine{
		now:         now,
		rules:       rules,
		limits:      limits,
		timers:      newTimerQueue(),
		conns:       newConnTable(),
		queue:       sessionQueue{byID: map[string]*session{}, answers: make([]answerCounts, len(rules.hardLimits))},
		endpoints:   newEndpointSet(rules.zones),
		watch:       newEndpointWatch(config.Discovery),
		siblings:    siblingProcesses{hasParent: config.HasParent, handoff: config.Handoff},
		effects:     &effectBuffer{},
		lastEffects: &effectBuffer{},
	}
	m.shareLimits()
	if err := reader.Err(); err != nil {
		return nil, err
	}
	m.queue.dispatcher = dispatch.NewDispatcher(balancer, m)
	m.loadInitialEndpoints(config.InitialEndpoints)
	if reader.Text("discovery") == "automatic" {
		m.startWatch()
	}
	m.startTimers()
	return m, nil
}

// startTimers sets the timers' callbacks, and starts the timer that limits how long the relay waits to become ready.
func (m *StateMachine) startTimers() {
	m.watch.silenceTimer.fire = m.watchTimedOut
	m.watch.renewTimer.fire = m.Subscribe
	m.lifecycle.readyTimer.fire = m.becomeReady
	m.intake.evictionTimer.fire = func() {} // firing it is enough: limitIntake runs after every event
	if m.siblings.hasParent {
		m.timers.set(&m.lifecycle.readyTimer, m.now+childReadyTimeout)
	} else {
		m.timers.set(&m.lifecycle.readyTimer, m.now+readyTimeout)
	}
}

// CheckConfig returns an error if a relay could not start with the configuration.
func CheckConfig(config *Config) error {
	if config.SocketFD > 0 {
		if err := hotrestart.CheckListener(config.SocketFD); err != nil {
			return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
		}
	}
	_, err := New(0, config)
	return err
}

// Handle handles one event that happened at the time now, in Unix milliseconds, and returns the resulting effects in
// order. The effects are valid until the next call.
func (m *StateMachine) Handle(now float64, event Event) []Effect {
	if suspended := m.suspendedFor(now, event); suspended > 0 {
		m.resumeAfterSuspend(now, suspended)
	}
	m.now = now
	m.dispatch(event)
	m.timers.fireDue(now)
	m.checkReady()
	wake := m.queue.dispatcher.Advance(now)
	m.limitIntake()
	m.exitWhenDone()
	m.scheduleWake(min(wake, m.timers.next()))
	return m.takeEffects()
}

// dispatch calls the handler for the type of the event.
func (m *StateMachine) dispatch(event Event) {
	switch e := event.(type) {
	case TimerFired:
		m.timers.wakeFired()
	case ProcessSuspended: // already handled by resumeAfterSuspend
	case ConnAccepted:
		m.acceptClient(e.Conn)
	case ConnEstablished:
		m.connEstablished(e)
	case DataReceived:
		m.dataReceived(e)
	case ConnClosed:
		m.connClosed(e)
	case EndpointsUpdated:
		m.endpointsUpdated(e)
	case WatchHeartbeat:
		m.watchHeartbeat(e)
	case WatchFailed:
		m.watchEnded(e)
	case ShutdownRequested:
		m.shutDown(e.YieldToChild)
	case DrainRequested:
		m.setDraining(e.On)
	case ConfigReloaded:
		m.reloadConfig(e)
	case ProcessExiting:
		m.finishDrain()
	default:
		m.dispatchRemote(event)
	}
}

// dispatchRemote calls the handler for an event from the other process of this relay or from the fleet.
func (m *StateMachine) dispatchRemote(event Event) {
	switch e := event.(type) {
	case SiblingProcessesChanged:
		m.updateSiblings(e)
	case SiblingEndpointsUpdated:
		m.applySiblingEndpoints(e.Update)
	case DetachRequested:
		m.detach(e.Conn)
	case SessionTransferred:
		m.finishTransfer(e.Conn, e.Accepted)
	case SessionReceived:
		m.receiveSession(e.Conn, e.Session)
	case StateRestored:
		m.restore(e.Snapshot)
	case IncarnationChanged:
		m.balancer().AssumeRetriesSpent(m.now)
	case RecoveryChanged:
		m.setRecovering(e.Recovering, e.CapacityShare)
	case ClockSkewMeasured:
		m.setClockAhead(e.AheadMillis)
	case ZoneWeightsChanged:
		m.setZoneWeights(e.Weights)
	case RemoteLoadChanged:
		m.balancer().SetRemoteLoad(e.Load)
	case ReplicationEnabled:
		m.enableReplication(e)
	case RecordReplicated:
		m.recordReplicated(e.Conn, e.Replicated)
	case RecordFound:
		m.recordFound(e)
	}
}

// checkReady marks the relay as ready once discovery has sent the endpoint list. While there is a parent process, the
// balancer must be ready as well.
func (m *StateMachine) checkReady() {
	if m.endpoints.received && !m.lifecycle.ready && (!m.siblings.hasParent || m.balancer().IsReady(m.now)) {
		m.becomeReady()
	}
}

// scheduleWake requests a TimerFired event at the given time, in Unix milliseconds, unless an earlier one is already due.
func (m *StateMachine) scheduleWake(at float64) {
	if m.timers.needsWake(at) {
		m.effects.setTimer(at)
	}
}

// takeEffects returns the collected effects, and reuses the buffer of the previous call for the next event.
func (m *StateMachine) takeEffects() []Effect {
	m.effects, m.lastEffects = m.lastEffects, m.effects
	m.effects.clear()
	return m.lastEffects.list
}

// log adds an effect that writes a log line, with attributes as alternating names and values.
func (m *StateMachine) log(message string, args ...any) {
	m.effects.add(&Log{Message: message, Args: args})
}
