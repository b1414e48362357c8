package dispatch

import "valeshift/balancer"

// Balancer decides where sessions go. In service it is a balancer.Balancer, whose methods say more; the
// testbed compares others with it. All calls come from one goroutine at a time.
type Balancer interface {
	Decider
	SessionObserver
	EndpointObserver
	ZoneBalancer
	Drainer
	StateKeeper
}

// Decider makes the decisions on sessions and the balancer's own actions.
type Decider interface {
	// Assign decides where a session goes; it is asked again about one that is queued.
	Assign(now float64, session *balancer.Session) balancer.Decision
	// AttemptFinished records an outcome and decides what follows.
	AttemptFinished(now float64, session *balancer.Session, outcome balancer.AttemptOutcome,
		last bool) balancer.Decision
	// NextAction returns what is due now, and is asked until it is to wait.
	NextAction(now float64) balancer.Action
	// HasClass reports whether the settings name the class.
	HasClass(class int) bool
	// Pause queues sessions until the given time, those whose deadline leaves room for it.
	Pause(until float64)
}

// SessionObserver is notified of what happens to sessions.
type SessionObserver interface {
	SessionEstablished(now float64, session *balancer.Session)
	// LoadMeasured records the load of an established session, in microseconds of work a second.
	LoadMeasured(session *balancer.Session, load float64)
	// SessionResumed adds an established session that the balancer did not know of.
	SessionResumed(now float64, session *balancer.Session, id uint32)
	// SessionReceived adds a session from another process of this relay.
	SessionReceived(now float64, session *balancer.Session, id uint32, load float64, measured bool)
	// ClientDisconnected reports whether an outcome is still to come.
	ClientDisconnected(session *balancer.Session) bool
	// RecordEarlierAttempt records, before the first Assign, that an attempt at another relay may have been
	// executed.
	RecordEarlierAttempt(session *balancer.Session, id uint32, at float64)
	// PreferBackend sets, before the first Assign, where the session or its group was established: a hint.
	PreferBackend(session *balancer.Session, id uint32)
}

// EndpointObserver is notified of what the endpoint list says and what backends report.
type EndpointObserver interface {
	// BeginEndpointUpdate, UpdateEndpoint and EndEndpointUpdate apply an update of the list; a full one
	// leaves out what is gone.
	BeginEndpointUpdate(full bool)
	UpdateEndpoint(endpoint balancer.Endpoint)
	EndEndpointUpdate(now float64)
	WatchFailed(now float64)
	// AssumeEndpoints marks the latest update as read from a cached list.
	AssumeEndpoints(now float64)
	// ShiftStartTimes adds that many milliseconds to the start times that discovery told.
	ShiftStartTimes(by float64)

	PollFinished(now float64, id uint32, ok bool, report []float64)
	PollNotSent(id uint32)
	LoadReported(now float64, id uint32, report []float64)
	// SetMaxReportAge sets how many milliseconds old a report may be.
	SetMaxReportAge(age float64)
	// UnreportedLoad and SetRemoteLoad are the load that reports may not include yet, of this relay and of
	// all others.
	UnreportedLoad() float64
	SetRemoteLoad(load float64)

	BackendStatus(id uint32) balancer.BackendStatus
	// IsUnresponsive reports whether a backend that has sent nothing for so many milliseconds is gone.
	IsUnresponsive(id uint32, quiet float64) bool
	// Counts returns how many backends are listed, and how many of them get no new sessions.
	Counts() (listed, avoided int)
	// WarmingUp returns how many usable backends there are, and how many of them are in slow start.
	WarmingUp(now float64) (warming, usable int)
}

// ZoneBalancer takes part in decisions on zones.
type ZoneBalancer interface {
	// SetZoneWeights has sessions meant for zones by those weights; none: wherever there is room.
	SetZoneWeights(weights []balancer.ZoneWeight)
	// ZoneObservations returns what was seen of each zone, and the load of this relay's sessions.
	ZoneObservations(now float64) (zones []balancer.ZoneObservation, demand float64)
}

// Drainer paces sessions that must leave, and shares a relay's budgets with its other process.
type Drainer interface {
	// BackendDrainDelay returns after how many milliseconds the nth of so many sessions leaves a draining backend.
	BackendDrainDelay(nth, of int) float64
	// ShutdownDrainDelay returns after how many milliseconds the nth of so many sessions leaves this relay, which
	// shuts down within so many milliseconds.
	ShutdownDrainDelay(nth, of int, within float64) float64
	// SetDraining sets whether another process of this relay has taken over.
	SetDraining(draining bool)
	// IsReady reports whether enough is known to take over from another process.
	IsReady(now float64) bool
}

// StateKeeper moves what is known between processes, incarnations and relays.
type StateKeeper interface {
	Snapshot(now float64) balancer.Snapshot
	Restore(now float64, snapshot *balancer.Snapshot) error
	Estimates() balancer.Estimates
	// RestoreEstimates reports whether they were used.
	RestoreEstimates(estimates balancer.Estimates) bool
	// SetRecovering sets whether the fleet recovers from a full outage, and this relay's share.
	SetRecovering(recovering bool, share float64)
	// AssumeRetriesSpent counts the free retries as spent before the start.
	AssumeRetriesSpent(now float64)
	// Reservations, RestoreReservations and DropReservation are of clients told when to come again, by key.
	Reservations(now float64) map[uint64]float64
	RestoreReservations(now float64, reservations map[uint64]float64)
	DropReservation(key uint64)
}
