package balancer

// ActionKind is what an Action tells the caller to do.
type ActionKind uint8

const (
	// ActionWait: nothing is due until Wait has passed.
	ActionWait ActionKind = iota
	// ActionPoll: send a load poll to Backend.
	ActionPoll
	// ActionSubscribe: open a new watch of the endpoint list.
	ActionSubscribe
)

var actionNames = [...]string{"wait", "poll", "subscribe"}

// String returns the name for logs and tests.
func (k ActionKind) String() string { return enumName(actionNames[:], uint8(k)) }

// Action is what is due now, or how long to wait for it.
type Action struct {
	Kind    ActionKind
	Backend uint32  // for ActionPoll: ID of the backend
	Wait    float64 // for ActionWait: milliseconds until NextAction is to be called again
}
