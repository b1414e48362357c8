package relay

// This file owns the ways in which a connection can end, each one value, and what each says to the module;
// and those in which a client without a link is turned away, of which the module hears nothing. It
// must never look at a connection or a link: whoever sees the end names it.

import "valeshift/balancer"

// Ending is how a connection of a link ended.
type Ending uint8

// The endings: first those of a setup try, then those of a link that stood, then those on the client's side.
const (
	NotSent      Ending = iota // the backend drains by now: nothing was written
	NeverUp                    // refused, never up in time, or broken before the head's last byte was written
	TurnedDown                 // the backend answered BUSY
	BackendError               // it answered ERR
	BadAnswer                  // it answered with a line of no meaning
	BrokeOff                   // it ended without an answer, after the head was written
	NoAnswer                   // nothing came in the time given
	ServedOut                  // BYE: served to its end
	SentAway                   // MOVE: a draining backend sends the client away
	BrokeUp                    // it ended or broke while the link stood
	FellSilent                 // it brought nothing back while the link stood
	SlowReader                 // a side took in too little of what was written
	MovedAway                  // this relay sent the client elsewhere
	ClientDone                 // the client ended it
	ClientBroke                // the client broke it
	HandedOver                 // the younger process has it
)

var endingNames = [...]string{"not sent", "never up", "turned down", "backend error", "bad answer",
	"broke off",
	"no answer", "served out", "sent away", "broke up", "fell silent", "slow reader", "moved away",
	"client done",
	"client broke", "handed over"}

func (e Ending) String() string { return endingNames[e] }

// outcome is the one place where an ending becomes what the module knows.
func (e Ending) outcome() balancer.Outcome {
	switch e {
	case NotSent:
		return balancer.Unsent
	case NeverUp:
		return balancer.Unreachable
	case TurnedDown:
		return balancer.TurnedAway
	case BackendError, BadAnswer:
		return balancer.Errored
	case NoAnswer:
		return balancer.TimedOut
	case ServedOut, ClientDone:
		return balancer.Satisfied
	case SentAway, MovedAway, ClientBroke, SlowReader, HandedOver:
		return balancer.CalledOff
	}
	return balancer.Broken
}

// Badness is why a client was turned away before it had a link.
type Badness uint8

// What clients do that have none.
const (
	NoHead      Badness = iota // none came in time
	HalfHead                   // it ended in the middle of one
	TooLong                    // a line over the bound
	BadHead                    // no head of the protocol, or a figure out of all bounds
	UnknownName                // a category or customer that the settings don't name
	IDInUse                    // the id of a link that is open
	SaidMore                   // it sent on without waiting for its answer
	ManyPings                  // it asks whether the relay is there without end
	PushedOut                  // it had said nothing for longest when descriptors were short
)

var badNames = [...]string{"no head", "half a head", "too long", "bad head", "unknown name", "id in use",
	"said more", "many pings", "pushed out"}

func (b Badness) String() string { return badNames[b] }
