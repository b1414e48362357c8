// Package failover decides which zones serve traffic. The relays of all zones report what they see of each zone
// (Observations), and a Policy at the leading coordinator turns the reports into proposals. The coordinators
// replicate the agreed proposals and the operators' orders as a sequence of numbered decisions (DecisionLog).
// Each relay follows the decisions that coordinators announce to it (Follower).
//
// The local traffic of a zone, called the work near it in the reasons shown to operators, is the sessions that
// arrive at the zone's own relays. Its load is the zone's demand. Load, demand and capacity are in capacities
// of one backend.
//
// The package accesses no disk, network, clock or log, so that its results depend on its inputs only. Times and
// durations without another unit are in milliseconds. Nothing in this package is safe for concurrent use;
// callers have to hold a lock of their own.
package failover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// State is the state that has been decided for a zone. Its values are stored and sent, so their spelling must
// not change.
type State string

const (
	Home      State = "home"      // serves all its local traffic, and takes diverted traffic of other zones
	Spilling  State = "spilling"  // serves a share of its local traffic, as it lacks capacity for the rest
	Emptied   State = "emptied"   // gets no new sessions
	Returning State = "returning" // was emptied and serves a share of its local traffic that grows in steps
)

// String returns the stored spelling.
func (s State) String() string { return string(s) }

// Zone is one zone as it has been configured and decided.
type Zone struct {
	Name   string  `json:"Name"`
	Region string  `json:"Region"`
	State  State   `json:"State"`
	Share  float64 `json:"Share"` // share of its local traffic that the zone serves itself, 0 to 1

	// Diversions says which zones get the rest of the local traffic.
	Diversions []TrafficShare `json:"To,omitempty"`
	// Unserved is the share of the local traffic that no zone has capacity for. Relays distribute it like the
	// rest, and clients whose sessions find no capacity are told to retry later.
	Unserved float64 `json:"Left,omitempty"`

	Reason Reason `json:"Why"`
}

// TrafficShare is the fraction of one zone's local traffic that is diverted to another zone.
type TrafficShare struct {
	Zone     string  `json:"Zone"` // zone that gets the traffic
	Fraction float64 `json:"Part"` // fraction of all local traffic of the other zone, 0 to 1
}

// maxZones is the highest number of zones that is accepted from other processes.
const maxZones = 64

var (
	errNoServingZone = errors.New("no zone would serve")
	errInvalidZones  = errors.New("invalid zones")
)

// withState returns the zone with another state and share.
func (z Zone) withState(state State, share float64) Zone {
	z.State = state
	z.Share = share
	return z
}

// undivertedShare returns the share of the local traffic that the zone doesn't serve itself and that isn't
// diverted to another zone.
func (z Zone) undivertedShare() float64 {
	rest := 1 - z.Share
	for _, diversion := range z.Diversions {
		rest -= diversion.Fraction
	}
	return rest
}

// serves reports whether the zone serves any of its local traffic.
func (z Zone) serves() bool { return z.Share > 0 }

// compareNames orders zones by name, so that their order is the same at all relays and coordinators.
func compareNames(a, b Zone) int { return cmp.Compare(a.Name, b.Name) }

// containsZone reports whether there is a zone with the given name.
func containsZone(zones []Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == name })
}

// validateProposal checks the zones that a policy proposes. Unlike an operator's order, a proposal must leave a
// zone that serves.
func validateProposal(zones []Zone) error {
	if err := validateZones(zones); err != nil {
		return err
	}
	if !slices.ContainsFunc(zones, Zone.serves) {
		return errNoServingZone
	}
	return nil
}

// validateZones checks zones received from another process.
func validateZones(zones []Zone) error {
	if len(zones) == 0 || len(zones) > maxZones {
		return fmt.Errorf("%w: 1 to %d expected, got %d", errInvalidZones, maxZones, len(zones))
	}
	for _, z := range zones {
		isValidShare := z.Share >= 0 && z.Share <= 1 // false for NaN
		if z.Name == "" || !isValidShare {
			return fmt.Errorf("%w: zone %q has share %v", errInvalidZones, z.Name, z.Share)
		}
	}
	return nil
}
