// Package relay is one relay: the balancer's decisions, carried out on sockets.
//
// StateMachine owns all state of the relay and makes every change of it: it is given one event at a time, and returns the
// effects that follow. It touches no socket, clock or log, starts no goroutine, and leaves to package balancer where
// sessions go. So the simulation and the tests run it without a network. The driver (driver.go), which Serve
// starts, runs one on real connections.
package relay

import (
	"fmt"

	"valeshift/internal/dispatch"
	"valeshift/internal/hotrestart"
	"valeshift/internal/settings"
)

// StateMachine is the state of one relay. Each part is written only by the file named beside it. It is not safe for
// concurrent use.
type StateMachine struct {
	Counters
	now float64 // Unix milliseconds, of the event that is being handled

	rules       sessionRules     // rules.go
	limits      descriptorLimits // limits.go
	timers      timerQueue       // timers.go
	conns       connTable        // conns.go
	intake      clientIntake     // intake.go
	queue       sessionQueue     // attempts.go
	endpoints   endpointSet      // endpoints.go
	watch       endpointWatch    // watch.go
	drain       lifecycle        // drain.go
	siblings    processHandoff   // handoff.go
	replication replicationState // replication.go

	illegalTransitions int // changes of a session's state that sessionTransitions doesn't list; session.go

	effects  *effectBuffer // of the event that is being handled
	returned *effectBuffer // as they were returned last
}

// New builds the relay's state from its configuration, at the time now, Unix milliseconds.
func New(now float64, config *Config) (*StateMachine, error) {
	balancer, err := settings.NewReader(config.Settings).BuildBalancer(config.Seed)
	if err != nil {
		return nil, err
	}
	return NewWithBalancer(now, config, balancer)
}

// NewWithBalancer builds the state on a balancer that exists already, as the testbed does.
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
		now:       now,
		rules:     rules,
		limits:    limits,
		timers:    newTimerQueue(),
		conns:     newConnTable(),
		queue:     sessionQueue{byID: map[string]*session{}, answers: make([]answerCounts, len(rules.hardLimits))},
		endpoints: newEndpointSet(rules.zones),
		watch:     newEndpointWatch(config.Discovery),
		siblings:  processHandoff{hasParent: config.HasParent, handoff: config.Handoff},
		effects:   &effectBuffer{},
		returned:  &effectBuffer{},
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

// startTimers sets what the parts wait for from the start.
func (m *StateMachine) startTimers() {
	m.watch.silenceTimer.fire = m.watchTimedOut
	m.watch.renewTimer.fire = m.Subscribe
	m.drain.readyTimer.fire = m.becomeReady
	m.intake.evictionTimer.fire = func() {} // limitIntake follows each event
	if m.siblings.hasParent {
		m.timers.set(&m.drain.readyTimer, m.now+childReadyTimeout)
	} else {
		m.timers.set(&m.drain.readyTimer, m.now+readyTimeout)
	}
}

// CheckConfig tells whether a relay could start with the configuration.
func CheckConfig(config *Config) error {
	if config.SocketFD > 0 {
		if err := hotrestart.CheckListener(config.SocketFD); err != nil {
			return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
		}
	}
	_, err := New(0, config)
	return err
}

// Handle takes one event at the time now, Unix milliseconds, and returns the effects that follow, in order. They may be
// read until the next call.
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

// dispatch hands the event to the part that it concerns.
func (m *StateMachine) dispatch(event Event) {
	switch e := event.(type) {
	case TimerFired:
		m.timers.woken()
	case ProcessSuspended: // resumeAfterSuspend has handled it
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

// dispatchRemote hands events of the other process of this relay, and of the fleet, to the part that they concern.
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

// checkReady says that the relay is ready once discovery has told the list; beside a parent, once the balancer knows
// enough as well.
func (m *StateMachine) checkReady() {
	if m.endpoints.received && !m.drain.ready && (!m.siblings.hasParent || m.balancer().IsReady(m.now)) {
		m.becomeReady()
	}
}

// scheduleWake has TimerFired come at that time, unless it comes sooner anyway.
func (m *StateMachine) scheduleWake(at float64) {
	if m.timers.wakeAt(at) {
		m.effects.setTimer(at)
	}
}

// takeEffects returns what was collected, and takes the buffer of the call before for what comes next.
func (m *StateMachine) takeEffects() []Effect {
	m.effects, m.returned = m.returned, m.effects
	m.effects.clear()
	return m.returned.list
}

// log writes a line to the log, with attributes as pairs of name and value.
func (m *StateMachine) log(message string, args ...any) {
	m.effects.add(&Log{Message: message, Args: args})
}
