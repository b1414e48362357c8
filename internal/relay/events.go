package relay

// Event is something that happened on a connection, on the watch of the endpoint list, in the process or in the fleet.
// StateMachine.Handle handles events one at a time.
//
// Connections and watches have IDs that are never reused, so an event of one that has already ended is recognized by its
// ID and dropped. All times are in Unix milliseconds by this machine's clock, and all durations in milliseconds.
type Event interface{ isEvent() }

// Events of connections. Conn is the connection's ID.
type (
	// ConnAccepted reports that a client's connection was accepted.
	ConnAccepted struct{ Conn uint64 }

	// ConnEstablished reports that a dialed connection is established.
	ConnEstablished struct{ Conn uint64 }

	// DataReceived carries received bytes. Data must stay unchanged until the effects of the event have been carried
	// out; it is not used after that.
	DataReceived struct {
		Conn uint64
		Data []byte
		// Waited is for how many milliseconds a client's first data, counted from its last byte, waited in the listener's
		// backlog or unread; 0 for all later data and for data from backends.
		Waited float64
	}

	// ConnClosed reports that a connection has ended, or could not be established.
	ConnClosed struct {
		Conn       uint64
		Reset      bool // the connection was reset or could not be dialed; false: the peer closed it in order
		Unsent     bool // some data written to the connection had not been sent
		SlowReader bool // this side closed the connection because the peer read too slowly
	}

	// TimerFired reports that the time of the last SetTimer has come.
	TimerFired struct{}
)

// Events of the watch of the endpoint list. Watch is the watch's ID, from StartWatch.
type (
	// EndpointsUpdated carries the endpoint list or changes to it.
	EndpointsUpdated struct {
		Watch  uint64
		Update *EndpointUpdate
	}

	// WatchHeartbeat reports that discovery sent an empty line: nothing has changed.
	WatchHeartbeat struct{ Watch uint64 }

	// WatchFailed reports that the watch has ended.
	WatchFailed struct {
		Watch uint64
		Err   error
	}
)

// Events of this process.
type (
	// ProcessSuspended reports that the process was suspended for Millis milliseconds and runs again. It precedes the
	// events of whatever arrived in that time.
	ProcessSuspended struct{ Millis float64 }

	// ShutdownRequested asks for a graceful shutdown.
	ShutdownRequested struct {
		YieldToChild bool // a child process accepts all clients from now on
	}

	// DrainRequested asks for the relay to be drained without exiting (On), or to return to service.
	DrainRequested struct{ On bool }

	// ConfigReloaded reports that the configuration was read again.
	ConfigReloaded struct {
		DiscoveryAddress string
		Err              error // why the configuration is invalid, in which case nothing changes; nil if it is valid
	}

	// ProcessExiting reports that the process is about to end: every client without an answer gets one.
	ProcessExiting struct{}
)

// Events of the other process of this relay during a hot restart, in which the platform replaces the old process, the
// parent, by a new one, the child.
type (
	// SiblingProcessesChanged reports which other processes of this relay are alive.
	SiblingProcessesChanged struct {
		HasParent    bool
		HasChild     bool
		WantsHandoff bool // the child is to be sent a handoff
	}

	// SiblingEndpointsUpdated carries the endpoint list that the sibling received.
	SiblingEndpointsUpdated struct{ Update *EndpointUpdate }

	// DetachRequested reports that the established session of the client connection Conn can be sent to the child now.
	// SessionDetached follows if the session is given up.
	DetachRequested struct{ Conn uint64 }

	// SessionTransferred reports the outcome of a detached session's transfer.
	SessionTransferred struct {
		Conn     uint64
		Accepted bool // the child has accepted the session; false: it stays here
	}

	// SessionReceived carries an established session from the parent, whose client's connection becomes Conn.
	// SessionAccepted follows if the session is taken over.
	SessionReceived struct {
		Conn    uint64
		Session *TransferredSession
	}
)

// Events of the fleet, and of state from before the start.
type (
	// StateRestored carries state from before the start, read from this relay's disk or received from other relays.
	StateRestored struct{ Snapshot *Snapshot }

	// IncarnationChanged reports that another incarnation of this relay may have served until just now.
	IncarnationChanged struct{}

	// RecoveryChanged reports that the fleet is recovering from a full outage, or that it has recovered.
	RecoveryChanged struct {
		Recovering    bool
		CapacityShare float64 // share of the warming-up backends' capacity that this relay may use
	}

	// ClockSkewMeasured reports by how many milliseconds this relay's clock is ahead of the fleet's reference clock.
	ClockSkewMeasured struct{ AheadMillis float64 }

	// ZoneWeightsChanged carries the zone weights that the coordinators decided; without any, the relay determines the
	// zones of its sessions itself.
	ZoneWeightsChanged struct{ Weights []ZoneWeight }

	// RemoteLoadChanged reports the load of the sessions that the other relays have assigned and that the backends' reports
	// may not include yet.
	RemoteLoadChanged struct {
		Load float64 // sum over all other relays; below 0: unknown
	}

	// ReplicationEnabled reports that other relays hold records for this one from now on.
	ReplicationEnabled struct {
		MarkerRetentionMillis float64 // how long after its hard limit an attempt's marker is held; 0: no markers
		Affinity              bool    // affinity records, of where clients and groups are established, are held as well
	}

	// RecordReplicated reports the outcome of a Replicate request.
	RecordReplicated struct {
		Conn       uint64
		Replicated bool
	}

	// RecordFound carries the answer to a Lookup request: the record that other relays hold for a client.
	RecordFound struct {
		Record  RecordKind
		Conn    uint64
		Key     uint64
		Answer  LookupAnswer
		Backend string  // name of the backend, in an AttemptRecord or AffinityRecord
		At      float64 // ReservationRecord: when the client was told to retry; AttemptRecord: when the request was first sent
	}
)

func (ConnAccepted) isEvent()            {}
func (ConnEstablished) isEvent()         {}
func (DataReceived) isEvent()            {}
func (ConnClosed) isEvent()              {}
func (TimerFired) isEvent()              {}
func (EndpointsUpdated) isEvent()        {}
func (WatchHeartbeat) isEvent()          {}
func (WatchFailed) isEvent()             {}
func (ProcessSuspended) isEvent()        {}
func (ShutdownRequested) isEvent()       {}
func (DrainRequested) isEvent()          {}
func (ConfigReloaded) isEvent()          {}
func (ProcessExiting) isEvent()          {}
func (SiblingProcessesChanged) isEvent() {}
func (SiblingEndpointsUpdated) isEvent() {}
func (DetachRequested) isEvent()         {}
func (SessionTransferred) isEvent()      {}
func (SessionReceived) isEvent()         {}
func (StateRestored) isEvent()           {}
func (IncarnationChanged) isEvent()      {}
func (RecoveryChanged) isEvent()         {}
func (ClockSkewMeasured) isEvent()       {}
func (ZoneWeightsChanged) isEvent()      {}
func (RemoteLoadChanged) isEvent()       {}
func (ReplicationEnabled) isEvent()      {}
func (RecordReplicated) isEvent()        {}
func (RecordFound) isEvent()             {}
