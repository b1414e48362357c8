package wire

// EventCode is the kind of an event, which is a record of a batch. The constants have the protocol's names.
type EventCode uint16

// The events.
const (
	Incoming        EventCode = 256 + iota // a new session has arrived
	Vanished                               // a session's client has disconnected
	Accepted                               // a backend has accepted an attempt: its session is established
	DirectoryUpdate                        // an update of the endpoint list, which refers to a page of entries
	Fired                                  // a timer that Schedule set has fired
	Resumed                                // a session that is established already was added
	Health                                 // the load poll that Test sent has ended
	About                                  // names the instance that the next events are for
	HintUpdate                             // the load of an established session has changed
	CrashNow                               // the instance has crashed
	NeighbourSays                          // a message from another instance
	Hello                                  // the instance starts, with its seed and settings
	SnapshotRows                           // a page of endpoint list entries, for all instances
	Completed                              // an attempt, or the session that it established, has ended
)

// ActionCode is the kind of an action, which is a record of a reply. The constants have the protocol's names.
type ActionCode uint16

// The actions.
const (
	Assign        ActionCode = 320 + iota // start an attempt of a session at a backend
	NotNow                                // reject a session, with a Retry-After
	RespondError                          // fail a session: answer it with an error
	Abandon                               // cancel an attempt
	Schedule                              // set a timer
	Test                                  // poll the load of a backend
	Disconnect                            // close idle connections
	BroadcastTo                           // send a message to other instances
	Emit                                  // write a line to the simulator's report
	InternalError                         // report a failure of the decision code, which ends the simulation
	Subscribe                             // open a watch on the endpoint list
	Lookup                                // request the endpoint list once
	Transfer                              // end a session gracefully
	OnBehalf                              // name the instance that takes the next actions
)

// Reason says how an attempt or a load poll ended.
type Reason uint8

// The reasons. After one that is not listed here the request may have been executed.
const (
	ReasonOK            Reason = 0
	ReasonCanceled      Reason = 1
	ReasonTimeout       Reason = 4
	ReasonFull          Reason = 8
	ReasonMoot          Reason = 9
	ReasonReset         Reason = 10
	ReasonError         Reason = 13
	ReasonConnectFailed Reason = 14
)

// UpdateKind says what a DirectoryUpdate contains.
type UpdateKind uint8

// The kinds of update.
const (
	UpdateDelta  UpdateKind = iota // the entries that changed
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list, as the instance last received it
	UpdateFailed                   // no entries: a lookup failed or a watch broke
	UpdateKinds                    // the number of kinds
)

// HintLoad is the kind of a HintUpdate whose amount is the session's load, in microseconds of work a second.
const HintLoad uint8 = 1

// OptionHintValid is the bit in the options of Incoming and Resumed that is set if the load hint is valid.
const OptionHintValid uint16 = 1

// PageCount is the number of pages of endpoint list entries, which are numbered from 0.
const PageCount = 16

// EndpointSize is the length of an entry of the endpoint list, in bytes.
const EndpointSize = 21
