package membership

import "container/list"

// MemberState is the state that a relay announces to the others.
type MemberState struct {
	Name             string
	Zone             string
	Region           string
	Address          string  // address at which it receives datagrams
	Boot             uint64  // number of its start, from 1; never decreases
	Incarnation      uint64  // random number drawn at its start, which distinguishes two processes with the same boot
	Heartbeat        uint64  // sequence number of its states within this incarnation
	AgeMillis        float64 // milliseconds since its start
	Phase            uint8   // phase of its recovery
	EndpointsVersion uint64  // version of its endpoint list
	PlacedLoad       uint64  // load it assigned that reports may not show yet, in microseconds of work per second
	WaitingClients   uint32  // number of clients that it rejected in the last second and has not served since
	Sessions         uint32  // number of established sessions
	OrderNumber      uint64  // number of the last operator order to it
	Draining         bool    // whether that order drains it
}

// Liveness is whether a relay considers another to be running.
type Liveness uint8

// The levels of liveness, from best to worst.
const (
	Alive Liveness = iota
	Suspected
	Gone
)

// String returns the name of the level.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	default:
		return "gone"
	}
}

// Member is another relay as this one sees it.
type Member struct {
	MemberState
	Liveness Liveness
	// HeardAt is when this relay last received a newer state of the member, by this relay's clock.
	HeardAt float64
	// ClockOffset is by how many milliseconds the member's clock was ahead of this relay's time, according to the
	// last datagram from the member itself. It is NaN if there was none.
	ClockOffset float64

	ageAt       float64       // when AgeMillis was correct
	seedAddress string        // seed address from which it answered; used instead of the address that it announces
	listElement *list.Element // its element in View.newestFirst
}

// supersedes reports whether state a of a relay is later than state b, by its boot or, within one incarnation, by its
// heartbeat. Two incarnations can have the same boot if a disk was copied; then all relays prefer the same one.
func supersedes(a, b MemberState) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// laterOrder returns the operator order with the higher number. Of two with the same number it returns the one that
// drains. A relay that has lost its own order learns it again from the other relays in this way.
func laterOrder(a, b MemberState) (number uint64, draining bool) {
	switch {
	case a.OrderNumber > b.OrderNumber:
		return a.OrderNumber, a.Draining
	case b.OrderNumber > a.OrderNumber:
		return b.OrderNumber, b.Draining
	}
	return a.OrderNumber, a.Draining || b.Draining
}
