package experiment

import (
	"fmt"
	"slices"
)

// Discovery is the machine number of the discovery service. Relays are numbered from 0.
const Discovery = -1

// The places that a fault may name, besides relay-N and zone-X.
const (
	placeRelays    = "relays"
	placeDiscovery = "discovery"
	placeHalf      = "half" // the relays with even numbers
	placeRest      = "rest" // the relays with odd numbers
)

// Impairment describes how the network between two machines is impaired in one direction. The zero value impairs
// nothing.
type Impairment struct {
	Cut            bool    // nothing passes: bytes of connections wait, datagrams are lost
	Delay          Millis  // delay of each piece of data
	Jitter         Millis  // greatest random delay that is added to Delay
	Loss           float64 // share of datagrams that are lost
	Duplicate      float64 // share of datagrams that arrive twice
	Reorder        float64 // share of datagrams that later ones overtake
	Reset          bool    // connections are reset as soon as any data would pass
	BytesPerSecond int     // limit on a connection's rate; 0: none
	MaxPiece       int     // limit on the bytes that a connection passes in one piece; 0: none
}

// impairments maps each kind of fault that impairs the network to the impairment that a factor stands for.
var impairments = map[FaultKind]func(factor float64) Impairment{
	FaultPathCut: func(float64) Impairment { return Impairment{Cut: true} },
	FaultPathDelay: func(seconds float64) Impairment {
		return Impairment{Delay: Millis(seconds * 1000), Jitter: Millis(seconds * 500)}
	},
	FaultPathLoss:        func(share float64) Impairment { return Impairment{Loss: share} },
	FaultPathDuplicate:   func(share float64) Impairment { return Impairment{Duplicate: share} },
	FaultPathReorder:     func(share float64) Impairment { return Impairment{Reorder: share} },
	FaultPathReset:       func(float64) Impairment { return Impairment{Reset: true} },
	FaultPathRateLimit:   func(rate float64) Impairment { return Impairment{BytesPerSecond: int(rate)} },
	FaultPathSmallPieces: func(bytes float64) Impairment { return Impairment{MaxPiece: int(bytes)} },
}

// Impairment returns the impairment of a fault, and whether the fault's kind impairs the network at all.
func (f *Fault) Impairment() (impairment Impairment, impairs bool) {
	impair := impairments[f.Kind]
	if impair == nil {
		return Impairment{}, false
	}
	return impair(f.Factor), true
}

// AffectsLink reports whether a fault that impairs the network affects the direction from one machine to another.
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

// isMachineAt reports whether a machine belongs to a place as a fault names it: relays, discovery, relay-3, zone-b (the
// relays of that zone), half or rest.
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

// checkPlaces returns an error for the first field of a network fault, from or to, that names no place.
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

// isPlace reports whether a name is a place of the experiment; relay-N and zone-X need a relay there.
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
