// Package failover decides which zones serve. The relays of all zones report what they see of each zone
// (Observations); a Policy at the leading coordinator turns the reports into proposals; what was agreed on,
// together with the operators' orders, is a list of numbered decisions (DecisionLog), which the coordinators
// replicate; and each relay follows the decisions that coordinators announce to it (Follower).
//
// Everything here is a function of its input: no disk, socket, clock or log. Times and durations are
// milliseconds. Nothing in this package is safe for concurrent use; its callers hold a lock of their own.
package failover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// State is what has been decided about a zone. Its values are stored and sent, so that they keep their
// spelling.
type State string

const (
	Home      State = "home"      // serves all the work near it, and takes other zones' work
	Spilling  State = "spilling"  // lacks capacity for all the work near it: the rest goes elsewhere
	Emptied   State = "emptied"   // gets no new work
	Returning State = "returning" // was emptied and gets a share that grows
)

// String returns the stored spelling.
func (s State) String() string { return string(s) }

// Zone is what has been decided about one zone.
type Zone struct {
	Name   string  `json:"Name"`
	Region string  `json:"Region"`
	State  State   `json:"State"`
	Share  float64 `json:"Share"` // of the work near the zone that it serves itself, 0 to 1

	// Diversions is where the rest of that work goes.
	Diversions []TrafficShare `json:"To,omitempty"`
	// Unserved is the share that no zone has capacity for: clients are told to retry later.
	Unserved float64 `json:"Left,omitempty"`

	Reason Reason `json:"Why"`
}

// TrafficShare is the fraction of the work near one zone that goes to another.
type TrafficShare struct {
	Zone     string  `json:"Zone"`
	Fraction float64 `json:"Part"`
}

// maxZones limits what is accepted from other processes.
const maxZones = 64

var (
	errNoServingZone = errors.New("no zone would serve")
	errInvalidZones  = errors.New("invalid zones")
)

// with returns the zone in another state.
func (z Zone) with(state State, share float64) Zone {
	z.State = state
	z.Share = share
	return z
}

// undivertedShare is the part of the work near the zone that it does not serve itself and that goes to no
// other zone yet.
func (z Zone) undivertedShare() float64 {
	rest := 1 - z.Share
	for _, diversion := range z.Diversions {
		rest -= diversion.Fraction
	}
	return rest
}

func (z Zone) serves() bool { return z.Share > 0 }

// compareNames gives zones one order at all relays and coordinators.
func compareNames(a, b Zone) int { return cmp.Compare(a.Name, b.Name) }

func containsZone(zones []Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == name })
}

// validateProposal checks what a policy proposes: only an operator's order may leave no zone that serves.
func validateProposal(zones []Zone) error {
	if err := validateZones(zones); err != nil {
		return err
	}
	if !slices.ContainsFunc(zones, Zone.serves) {
		return errNoServingZone
	}
	return nil
}

// validateZones checks zones that come from another process.
func validateZones(zones []Zone) error {
	if len(zones) == 0 || len(zones) > maxZones {
		return fmt.Errorf("%w: 1 to %d expected, got %d", errInvalidZones, maxZones, len(zones))
	}
	for _, z := range zones {
		isShare := z.Share >= 0 && z.Share <= 1 // false for NaN
		if z.Name == "" || !isShare {
			return fmt.Errorf("%w: zone %q has share %v", errInvalidZones, z.Name, z.Share)
		}
	}
	return nil
}
