package wire

// EventCode says what kind of event a record of a batch is. The constants bear the protocol's names.
type EventCode uint16

// The events.
const (
	Incoming        EventCode = 256 + iota // a session has come
	Vanished                               // its client has gone
	Accepted                               // its attempt is established
	DirectoryUpdate                        // an update of the endpoint list, which refers to a page of rows
	Fired                                  // a timer that was set by Schedule
	Resumed                                // a session is established already
	Health                                 // the answer to a Test
	About                                  // the instance that the next events are for
	HintUpdate                             // what an established session weighs now
	CrashNow                               // the instance is killed
	NeighbourSays                          // another instance's message
	Hello                                  // the instance begins, with its seed and settings
	SnapshotRows                           // a page of endpoint list entries, for all instances
	Completed                              // an attempt, or the session that it established, has ended
)

// ActionCode says what kind of action a record of a reply is. The constants bear the protocol's names.
type ActionCode uint16

// The actions.
const (
	Assign        ActionCode = 320 + iota // begin an attempt
	NotNow                                // reject a session
	RespondError                          // fail a session
	Abandon                               // cancel an attempt
	Schedule                              // set a timer
	Test                                  // poll a backend
	Disconnect                            // close idle connections
	BroadcastTo                           // send a message to other instances
	Emit                                  // write a line to the simulator's report
	InternalError                         // the decision code has failed, which ends the simulation
	Subscribe                             // watch the endpoint list
	Lookup                                // ask for the endpoint list once
	Transfer                              // end a session in good order
	OnBehalf                              // the instance that the next actions are of
)

// Reason is how an attempt or a poll ended.
type Reason uint8

// The reasons. One that is not known here may have had the request executed.
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

// UpdateKind is what a DirectoryUpdate brings.
type UpdateKind uint8

// The kinds of update, and how many there are.
const (
	UpdateDelta  UpdateKind = iota // the entries that changed
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as the instance had it last
	UpdateFailed                   // none: a call failed or a watch broke
	UpdateKinds
)

// HintLoad is the kind of HintUpdate that tells a session's load, in microseconds of work a second.
const HintLoad uint8 = 1

// OptionHintValid is the bit of an arrival's options that says that its load hint is one.
const OptionHintValid uint16 = 1

// PageCount is how many pages of rows there are; their numbers are below it.
const PageCount = 16

// EndpointSize is the length of one entry of the endpoint list, in bytes.
const EndpointSize = 21
