package dispatch

import "valeshift/balancer"

// Balancer decides where sessions go. A relay uses a balancer.Balancer, whose methods are documented in more
// detail; the testbed compares it with other implementations. Only one goroutine calls it at a time.
type Balancer interface {
	Decider
	SessionObserver
	EndpointObserver
	ZoneBalancer
	Drainer
	StateKeeper
}

// Decider decides about sessions, and when backends are polled and the endpoint list is requested.
type Decider interface {
	// Assign decides where a session goes. It is called again for a queued session.
	Assign(now float64, session *balancer.Session) balancer.Decision
	// AttemptFinished records the outcome of an attempt and decides what follows. If last is set, the session is
	// over whatever the outcome.
	AttemptFinished(now float64, session *balancer.Session, outcome balancer.AttemptOutcome,
		last bool) balancer.Decision
	// MayExecute reports whether the request of the attempt in flight may be sent now, although an earlier attempt may
	// have been executed.
	MayExecute(now float64, session *balancer.Session) bool
	// NextAction returns an action that is due now. It is called until the action is to wait.
	NextAction(now float64) balancer.Action
	// HasClass reports whether the class is in the settings.
	HasClass(class int) bool
	// Pause queues sessions until the given time, except those whose deadline is too close.
	Pause(until float64)
}

// SessionObserver is notified of what happens to sessions.
type SessionObserver interface {
	SessionEstablished(now float64, session *balancer.Session)
	// LoadMeasured records the load of an established session, in microseconds of work a second.
	LoadMeasured(session *balancer.Session, load float64)
	// SessionResumed adds an established session that the balancer did not assign.
	SessionResumed(now float64, session *balancer.Session, id uint32)
	// SessionReceived adds an established session that another process of this relay has transferred.
	SessionReceived(now float64, session *balancer.Session, id uint32, load float64, measured bool)
	// ClientDisconnected records that the client has left, and reports whether an attempt's outcome is still to
	// come.
	ClientDisconnected(session *balancer.Session) bool
	// RecordEarlierAttempt records, before the first Assign, that an attempt of the client at another relay may have
	// been executed at that backend and time.
	RecordEarlierAttempt(session *balancer.Session, id uint32, at float64)
	// PreferBackend sets, before the first Assign, the backend at which the session or its affinity group was
	// established. It is only a hint.
	PreferBackend(session *balancer.Session, id uint32)
}

// EndpointObserver is notified of changes of the endpoint list and of the backends' load reports.
type EndpointObserver interface {
	// BeginEndpointUpdate, UpdateEndpoint and EndEndpointUpdate apply an update of the list. A complete update
	// removes all endpoints that it does not contain.
	BeginEndpointUpdate(complete bool)
	UpdateEndpoint(endpoint balancer.Endpoint)
	EndEndpointUpdate(now float64)
	WatchFailed(now float64)
	// AssumeEndpoints marks the latest update as read from a cached list.
	AssumeEndpoints(now float64)
	// ShiftStartTimes adds that many milliseconds to all start times that came from discovery.
	ShiftStartTimes(by float64)

	PollFinished(now float64, id uint32, ok bool, report []float64)
	PollNotSent(id uint32)
	LoadReported(now float64, id uint32, report []float64)
	// SetMaxReportAge sets how old a load report may be when it arrives, in milliseconds.
	SetMaxReportAge(age float64)
	// UnreportedLoad returns how much load this relay has placed that reports may not include yet, and
	// SetRemoteLoad sets the same for all other relays.
	UnreportedLoad() float64
	SetRemoteLoad(load float64)

	BackendStatus(id uint32) balancer.BackendStatus
	// IsUnresponsive reports whether a backend that has been silent for that many milliseconds counts as gone.
	IsUnresponsive(id uint32, silence float64) bool
	// Counts returns how many backends are on the endpoint list, and how many of those get no new sessions.
	Counts() (listed, excluded int)
	// WarmingUp returns how many of the usable backends are in slow start, and the number of usable backends.
	WarmingUp(now float64) (warming, usable int)
}

// ZoneBalancer applies the coordinators' zone weights and returns the observations that they are decided on.
type ZoneBalancer interface {
	// SetZoneWeights sets the share of sessions meant for each zone. With no weights sessions go wherever there is
	// room.
	SetZoneWeights(weights []balancer.ZoneWeight)
	// ZoneObservations returns this relay's observation of each zone, and as demand the load of its own sessions, in
	// units of one warm backend's capacity.
	ZoneObservations(now float64) (zones []balancer.ZoneObservation, demand float64)
}

// Drainer paces the sessions that a drain moves away, and splits the relay's budgets between its processes.
type Drainer interface {
	// BackendDrainDelay returns after how many milliseconds the session with that index, from 0, out of count
	// sessions leaves a draining backend.
	BackendDrainDelay(index, count int) float64
	// ShutdownDrainDelay returns after how many milliseconds the session with that index, from 0, out of count
	// sessions leaves this relay, which shuts down within timeLeft milliseconds.
	ShutdownDrainDelay(index, count int, timeLeft float64) float64
	// SetDraining sets whether a child process of this relay has taken over.
	SetDraining(draining bool)
	// IsReady reports whether the balancer knows enough to take over from a parent process.
	IsReady(now float64) bool
}

// StateKeeper saves and restores the balancer's state, for other processes, incarnations and relays.
type StateKeeper interface {
	Snapshot(now float64) balancer.Snapshot
	Restore(now float64, snapshot *balancer.Snapshot) error
	Estimates() balancer.Estimates
	// RestoreEstimates restores load and capacity estimates, and reports whether they were used.
	RestoreEstimates(estimates balancer.Estimates) bool
	// SetRecovering sets whether the fleet is recovering from a full outage, and this relay's share of the
	// capacity of backends in slow start.
	SetRecovering(recovering bool, share float64)
	// AssumeRetriesSpent counts the free retries as spent: the relay's previous incarnation may have spent them.
	AssumeRetriesSpent(now float64)
	// Reservations, RestoreReservations and DropReservation manage when rejected clients were told to retry, by
	// key.
	Reservations(now float64) map[uint64]float64
	RestoreReservations(now float64, reservations map[uint64]float64)
	DropReservation(key uint64)
}
