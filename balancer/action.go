package balancer

// ActionKind is what an Action asks of the caller.
type ActionKind uint8

const (
	// ActionWait: nothing is due before Wait.
	ActionWait ActionKind = iota
	// ActionPoll: send a load poll to Backend.
	ActionPoll
	// ActionSubscribe: watch the endpoint list anew.
	ActionSubscribe
)

var actionNames = [...]string{"wait", "poll", "subscribe"}

// String returns the name for logs and tests.
func (k ActionKind) String() string { return enumName(actionNames[:], uint8(k)) }

// Action is what is due now, or how long to wait for it.
type Action struct {
	Kind    ActionKind
	Backend uint32  // ID, for ActionPoll
	Wait    float64 // milliseconds, for ActionWait
}
