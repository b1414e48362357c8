package membership

import "container/list"

// MemberState is what a relay says of itself.
type MemberState struct {
	Name             string
	Zone             string
	Region           string
	Address          string  // where it receives datagrams
	Boot             uint64  // number of its start, from 1; never goes down
	Incarnation      uint64  // drawn at the start: tells apart two processes that count the same boot
	Heartbeat        uint64  // sequence number of its states in this incarnation
	AgeMillis        float64 // since its start
	Phase            uint8   // of its recovery
	EndpointsVersion uint64  // of the endpoint list that it has
	PlacedLoad       uint64  // that it assigned and load reports may not show yet; microseconds of work a second
	WaitingClients   uint32  // rejected in the last second and not served since
	Sessions         uint32  // that are established
	OrderNumber      uint64  // of the operators' last order to it
	Draining         bool    // whether that order has it drained
}

// Liveness is what a relay believes of another.
type Liveness uint8

// The levels of liveness, from the best.
const (
	Alive Liveness = iota
	Suspected
	Gone
)

// String returns the level in lower case.
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
	// HeardAt is when its state was last news here, by this relay's clock.
	HeardAt float64
	// ClockOffset is what its clock was ahead of this relay's, by the last datagram that it sent here itself.
	// NaN: none came.
	ClockOffset float64

	ageAt       float64       // when AgeMillis was right
	seedAddress string        // the seed from which it answered; goes before the address that it announces
	recency     *list.Element // its place in View.newestFirst
}

// supersedes tells whether state a is later than b of the same relay: by its boot, or by its heartbeat in one
// incarnation. Of two incarnations with one boot, which a copied disk makes, always the same one wins.
func supersedes(a, b MemberState) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// laterOrder returns the order with the higher number, and of equal ones the stricter. What a relay has
// forgotten of its own orders, the others still know.
func laterOrder(a, b MemberState) (number uint64, draining bool) {
	switch {
	case a.OrderNumber > b.OrderNumber:
		return a.OrderNumber, a.Draining
	case b.OrderNumber > a.OrderNumber:
		return b.OrderNumber, b.Draining
	}
	return a.OrderNumber, a.Draining || b.Draining
}
