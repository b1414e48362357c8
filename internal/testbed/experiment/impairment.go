package experiment

import (
	"fmt"
	"slices"
)

// Discovery is the number of the discovery service where machines are numbered. Relays are numbered from 0.
const Discovery = -1

// The places that a fault may name beside relay-N and zone-X.
const (
	placeRelays    = "relays"
	placeDiscovery = "discovery"
	placeHalf      = "half" // the relays of even numbers
	placeRest      = "rest" // and of odd ones
)

// Impairment is what one direction between two machines does to what passes. The zero value passes all at once.
type Impairment struct {
	Cut            bool    // nothing passes: bytes wait, datagrams are lost
	Delay          Millis  // of each piece
	Jitter         Millis  // up to which comes on top, at random
	Loss           float64 // of datagrams, the part that is lost
	Duplicate      float64 // the part that arrives twice
	Reorder        float64 // the part that is overtaken
	Reset          bool    // connections are reset as soon as anything would pass
	BytesPerSecond int     // of a connection; 0: any
	MaxPiece       int     // bytes that a connection passes at once; 0: any
}

// impairments are the kinds of fault that impair the network, by what a factor makes of them.
var impairments = map[FaultKind]func(factor float64) Impairment{
	FaultWayCut: func(float64) Impairment { return Impairment{Cut: true} },
	FaultWayDelay: func(seconds float64) Impairment {
		return Impairment{Delay: Millis(seconds * 1000), Jitter: Millis(seconds * 500)}
	},
	FaultWayLoss:    func(share float64) Impairment { return Impairment{Loss: share} },
	FaultWayDouble:  func(share float64) Impairment { return Impairment{Duplicate: share} },
	FaultWayReorder: func(share float64) Impairment { return Impairment{Reorder: share} },
	FaultWayReset:   func(float64) Impairment { return Impairment{Reset: true} },
	FaultWayTrickle: func(rate float64) Impairment { return Impairment{BytesPerSecond: int(rate)} },
	FaultWayPieces:  func(bytes float64) Impairment { return Impairment{MaxPiece: int(bytes)} },
}

// Impairment returns what a fault does to the network between machines; false where it does nothing to it.
func (f *Fault) Impairment() (impairment Impairment, impairs bool) {
	impair := impairments[f.Kind]
	if impair == nil {
		return Impairment{}, false
	}
	return impair(f.Factor), true
}

// AffectsLink tells whether a fault that impairs the network does so from one machine to another.
func (x *Experiment) AffectsLink(f *Fault, from, to int) bool {
	isAt := func(place string, machine int) bool { return isMachineAt(place, machine, x.Fleet.Zones) }
	switch {
	case from == to:
		return false
	case isAt(f.From, from) && isAt(f.To, to):
		return true
	}
	return f.Bidirectional && isAt(f.From, to) && isAt(f.To, from)
}

// isMachineAt tells whether a machine belongs to a place that a fault names, such as relays, discovery,
// relay-3, zone-b (the relays there), half or rest.
func isMachineAt(place string, machine, zones int) bool {
	if machine == Discovery {
		return place == placeDiscovery
	}
	isEven := machine%2 == 0
	switch place {
	case placeRelays:
		return true
	case placeHalf:
		return isEven
	case placeRest:
		return !isEven
	}
	return place == fmt.Sprintf("relay-%d", machine) || place == "zone-"+Zone(machine%zones)
}

// checkPlaces names the first end of a fault that impairs the network which is no place.
func (f *Fault) checkPlaces(field string, x *Experiment) error {
	if _, impairs := f.Impairment(); !impairs {
		return nil
	}
	for _, end := range []struct{ field, place string }{{"from", f.From}, {"to", f.To}} {
		if !x.isPlace(end.place) {
			return fmt.Errorf("%s%s: relays, discovery, relay-N, zone-X, half or rest expected, got %q", field,
				end.field, end.place)
		}
	}
	return nil
}

func (x *Experiment) isPlace(name string) bool {
	if slices.Contains([]string{placeDiscovery, placeHalf, placeRest}, name) {
		return true
	}
	for relay := range x.Relays.Count {
		if isMachineAt(name, relay, x.Fleet.Zones) {
			return true
		}
	}
	return false
}
