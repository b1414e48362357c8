package relay

// Event is one thing that happened to the relay: on a connection, on the watch of the endpoint list, in the process or
// in the fleet. StateMachine.Handle takes events one at a time.
//
// An event of a connection or a watch that is over already is dropped by its number, as no number is given twice.
// All times are Unix milliseconds by this machine's clock, all durations milliseconds.
type Event interface{ isEvent() }

// Events of connections. Conn is the number of the connection.
type (
	// ConnAccepted says that a client's connection was accepted.
	ConnAccepted struct{ Conn uint64 }

	// ConnEstablished says that a connection that was dialed is up.
	ConnEstablished struct{ Conn uint64 }

	// DataReceived brings bytes. Data is read until the effects of the event have been carried out, not later.
	DataReceived struct {
		Conn   uint64
		Data   []byte
		Waited float64 // since the last of a client's first bytes came: in the listener's backlog, or for the reader
	}

	// ConnClosed says that a connection has ended or never came up.
	ConnClosed struct {
		Conn       uint64
		Reset      bool // it was reset, or could not be dialed; else the peer ended it in order
		Unsent     bool // something written to it had not been sent
		SlowReader bool // it was cut off, as the peer took in too little of what was written
	}

	// TimerFired says that the time of the last SetTimer has come.
	TimerFired struct{}
)

// Events of the watch of the endpoint list. Watch is the number that StartWatch gave it.
type (
	// EndpointsUpdated brings the list or changes of it.
	EndpointsUpdated struct {
		Watch  uint64
		Update *EndpointUpdate
	}

	// WatchHeartbeat says that discovery sent an empty line: nothing has changed.
	WatchHeartbeat struct{ Watch uint64 }

	// WatchFailed says that the watch has ended.
	WatchFailed struct {
		Watch uint64
		Err   error
	}
)

// Events of this process.
type (
	// ProcessSuspended says that the process did not run for that long, and goes on now. It comes before whatever
	// arrived meanwhile.
	ProcessSuspended struct{ Millis float64 }

	// ShutdownRequested asks for a graceful shutdown.
	ShutdownRequested struct {
		YieldToChild bool // a child process takes all clients from now on
	}

	// DrainRequested asks for the relay to be drained without an exit, or to go back to work.
	DrainRequested struct{ On bool }

	// ConfigReloaded says that the configuration was read again.
	ConfigReloaded struct {
		DiscoveryAddress string
		Err              error // why the configuration can't be used; nothing changes then
	}

	// ProcessExiting says that the process ends now: every client without an answer gets one.
	ProcessExiting struct{}
)

// Events of the other process of this relay, while the platform replaces the one by the other: the parent is the old
// process, the child the new one.
type (
	// SiblingProcessesChanged says which other processes of this relay are alive.
	SiblingProcessesChanged struct {
		HasParent    bool
		HasChild     bool
		WantsHandoff bool // the child is to be sent what this process knows
	}

	// SiblingEndpointsUpdated brings the endpoint list as the sibling was told it.
	SiblingEndpointsUpdated struct{ Update *EndpointUpdate }

	// DetachRequested says that the established session of the client Conn can be sent to the child now.
	// SessionDetached answers it where the session is given up.
	DetachRequested struct{ Conn uint64 }

	// SessionTransferred says what has become of a detached session.
	SessionTransferred struct {
		Conn     uint64
		Accepted bool // by the child; else the session stays here
	}

	// SessionReceived brings an established session from the parent, whose client is to be Conn.
	// SessionAccepted answers it where the session is taken over.
	SessionReceived struct {
		Conn    uint64
		Session *TransferredSession
	}
)

// Events of the fleet, and of what is known from before the start.
type (
	// StateRestored brings what is known from before the start, from this relay's disk or from other relays.
	StateRestored struct{ Snapshot *Snapshot }

	// IncarnationChanged says that another incarnation of this relay may have served until just now.
	IncarnationChanged struct{}

	// RecoveryChanged says that the whole fleet lost power and recovers, or that it has recovered.
	RecoveryChanged struct {
		Recovering    bool
		CapacityShare float64 // of the capacity of backends that are warming up, which this relay may use
	}

	// ClockSkewMeasured says how far this relay's clock is ahead of the one that the fleet goes by.
	ClockSkewMeasured struct{ AheadMillis float64 }

	// ZoneWeightsChanged says for which zones the coordinators mean sessions; none: the relay finds that itself.
	ZoneWeightsChanged struct{ Weights []ZoneWeight }

	// RemoteLoadChanged says how much load the other relays have placed that load estimates may not show yet.
	RemoteLoadChanged struct {
		Load float64 // below 0: not known
	}

	// ReplicationEnabled says that other relays hold records for this one from now on.
	ReplicationEnabled struct {
		MarkerRetentionMillis float64 // beyond an attempt's hard limit that its marker is held; 0: no markers
		Affinity              bool    // where clients and groups are established is held as well
	}

	// RecordReplicated says what has become of a Replicate request.
	RecordReplicated struct {
		Conn       uint64
		Replicated bool
	}

	// RecordFound says what other relays hold on a client: the answer to a Lookup request.
	RecordFound struct {
		Record  RecordKind
		Conn    uint64
		Key     uint64
		Found   bool
		Backend string  // AttemptRecord, AffinityRecord: its name
		At      float64 // ReservationRecord: when the client was told to come; AttemptRecord: when the request was sent
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
