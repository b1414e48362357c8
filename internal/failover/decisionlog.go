// Package failover decides which zones serve: what the relays of all zones see of each is folded into one
// picture (Judge), and what was decided is kept as a list of numbered decisions and operators' orders
// (Book), which the council agrees on. Everything here is a function of what comes in: no disk, socket,
// clock or log. Times are milliseconds; a share is the part of the work near a zone that it is to serve,
// from 0 to 1.
package failover

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// State is what is decided of a zone.
type State string

// The states. All but home send some of the work elsewhere.
const (
	Home      State = "home"
	Spilling  State = "spilling"  // a share goes elsewhere, as it has no room for it
	Emptied   State = "emptied"   // nothing new goes there
	Returning State = "returning" // a share that grows
)

// Zone is one zone as it is decided.
type Zone struct {
	Name       string         `json:"Name"`
	Region     string         `json:"Region"`
	State      State          `json:"State"`
	Share      float64        `json:"Share"`
	Diversions []TrafficShare `json:"To,omitempty"`   // where the rest goes
	Unserved   float64        `json:"Left,omitempty"` // what is left, as nobody has room for it: told to come again
	Reason     string         `json:"Why"`
}

// TrafficShare is how much of the work near a zone goes to another.
type TrafficShare struct {
	Zone     string  `json:"Zone"`
	Fraction float64 `json:"Part"`
}

// OperatorOrder is an operator's: it goes before what is decided automatically, until its end.
type OperatorOrder struct {
	ID        string  `json:"ID"` // the caller's, for the answer
	Zone      string  `json:"Zone"`
	Action    string  `json:"Do"` // empty, return or hold
	ExpiresAt float64 `json:"Until"`
	Reason    string  `json:"Reason"`
	IssuedBy  string  `json:"Who"`
	Force     bool    `json:"Force"` // also where nothing is left to serve
}

// Command is one entry of the council's list.
type Command struct {
	Zones          []Zone             `json:"Zones,omitempty"` // the whole picture, as it was judged, and by what
	Demand         map[string]float64 `json:"Demand,omitempty"`
	Capacity       map[string]float64 `json:"Room,omitempty"`
	Order          *OperatorOrder     `json:"Order,omitempty"`
	ExpiredOrderID string             `json:"Ends,omitempty"` // an order's ID: it is over
	Cause          string             `json:"Cause"`
	ProposedAt     float64            `json:"At"` // clock time at who proposed it, for the history
}

// Decision is one decision as it is remembered.
type Decision struct {
	Number     uint64  `json:"Number"`
	ProposedAt float64 `json:"At"`
	Cause      string  `json:"Cause"`
	OrderID    string  `json:"Who"`
	Rejection  string  `json:"Refused"` // why it has changed nothing
	Zones      []Zone  `json:"Zones"`
}

const (
	maxHistory = 30
	maxZones   = 64
	maxTextBytes    = 200
)

// DecisionLog is what has been decided. It is the council's machine: the same at all voters after the same entries.
type DecisionLog struct {
	Number      uint64             `json:"Number"`
	PolicyZones []Zone             `json:"Judged"` // as judged, before orders
	Orders      []OperatorOrder    `json:"Orders"`
	Demand      map[string]float64 `json:"Demand"` // near each zone, and what each bears, as the picture was judged
	Capacity    map[string]float64 `json:"Room"`
	History     []Decision         `json:"History"`
}

// EffectiveZones is the picture that holds: what was judged, with the orders on top.
func (b *DecisionLog) EffectiveZones() []Zone {
	all := slices.Clone(b.PolicyZones)
	for i := range all {
		z := &all[i]
		if o := b.orderFor(z.Name); o != nil {
			z.Reason = "order: " + o.Reason
			switch o.Action {
			case "empty":
				z.State, z.Share = Emptied, 0
			case "return":
				z.State, z.Share = Home, 1
			case "hold":
				z.State, z.Share = b.heldState(z)
			}
		}
	}
	if len(b.Orders) > 0 { // what an order moves goes by what was judged of the others' room
		b.keepOneServing(all)
		divert(all, b.Demand, b.Capacity)
	}
	return all
}

// keepOneServing has the zones that were judged to be empty serve where orders that nobody forced leave no other: a
// zone that does badly is better than none, and no order is to end service by slip together with what is
// judged later.
func (b *DecisionLog) keepOneServing(all []Zone) {
	if slices.ContainsFunc(all, func(z Zone) bool { return z.Share > 0 }) ||
		slices.ContainsFunc(b.Orders, func(o OperatorOrder) bool { return o.Force }) {
		return
	}
	for i := range all {
		if z := &all[i]; b.orderFor(z.Name) == nil {
			z.State, z.Share, z.Reason = Home, 1, "no other serves, by the orders; "+z.Reason
		}
	}
}

// heldState is a zone as it was when the order to hold it came.
func (b *DecisionLog) heldState(z *Zone) (State, float64) {
	o := b.orderFor(z.Name)
	for i := len(b.History) - 1; i >= 0; i-- {
		for _, was := range b.History[i].Zones {
			if b.History[i].Rejection == "" && was.Name == z.Name && b.History[i].OrderID == o.ID {
				return was.State, was.Share
			}
		}
	}
	return z.State, z.Share
}

func (b *DecisionLog) orderFor(zone string) *OperatorOrder {
	for i := len(b.Orders) - 1; i >= 0; i-- { // the later number
		if b.Orders[i].Zone == zone {
			return &b.Orders[i]
		}
	}
	return nil
}

// Apply takes the entry of that number, and remembers it.
func (b *DecisionLog) Apply(number uint64, data []byte) {
	var c Command
	e := Decision{Number: number}
	before := b.EffectiveZones()
	switch err := json.Unmarshal(data, &c); {
	case err != nil:
		e.Rejection = "unreadable"
	case c.Order != nil:
		e.OrderID, e.Rejection = c.Order.ID, b.acceptOrder(*c.Order, before)
	case c.ExpiredOrderID != "":
		e.OrderID = c.ExpiredOrderID
		n := len(b.Orders)
		if b.Orders = slices.DeleteFunc(b.Orders,
			func(o OperatorOrder) bool { return o.ID == c.ExpiredOrderID }); len(b.Orders) == n {
			e.Rejection = "no such order"
		}
	default:
		if e.Rejection = validateProposal(c.Zones); e.Rejection == "" {
			b.PolicyZones, b.Demand, b.Capacity = c.Zones, c.Demand, c.Capacity
			b.Orders = slices.DeleteFunc(b.Orders, func(o OperatorOrder) bool { return !containsZone(c.Zones, o.Zone) })
		}
	}
	e.ProposedAt, e.Cause = c.ProposedAt, short(c.Cause)
	if e.Zones = b.EffectiveZones(); e.Rejection == "" {
		b.Number = number
	}
	if c.Order != nil && c.Order.Action == "hold" && e.Rejection == "" {
		e.Zones = before // as it is then is what is held
	}
	b.History = append(b.History, e)
	if len(b.History) > maxHistory {
		b.History = b.History[len(b.History)-maxHistory:]
	}
}

func short(text string) string { return text[:min(len(text), maxTextBytes)] }

func containsZone(zones []Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == name })
}

// validateProposal tells why a picture can't be decided by itself: only an operators' order may leave no zone.
func validateProposal(zones []Zone) string {
	why := validateZones(zones)
	if why == "" && !slices.ContainsFunc(zones, func(z Zone) bool { return z.Share > 0 }) {
		return "no zone would serve"
	}
	return why
}

func validateZones(zones []Zone) string {
	if len(zones) == 0 || len(zones) > maxZones {
		return fmt.Sprintf("%d zones", len(zones))
	}
	for _, z := range zones {
		if z.Name == "" || !(z.Share >= 0 && z.Share <= 1) {
			return fmt.Sprintf("zone %q: share %v", z.Name, z.Share)
		}
	}
	return ""
}

// acceptOrder takes an order, or says why not. Judged here and not where it is given: of two that contradict each
// other the later sees the earlier.
func (b *DecisionLog) acceptOrder(o OperatorOrder, zones []Zone) string {
	if !containsZone(zones, o.Zone) {
		return "no such zone"
	}
	if o.ID == "" || len(o.ID) > maxTextBytes || len(o.Reason) > maxTextBytes || len(o.IssuedBy) > maxTextBytes {
		return "an order has an id, a reason and who gave it, each short"
	}
	if slices.ContainsFunc(b.Orders, func(had OperatorOrder) bool { return had.ID == o.ID }) {
		return "" // given twice
	}
	switch o.Action {
	case "return", "hold":
	case "empty":
		left := slices.ContainsFunc(zones, func(z Zone) bool { return z.Name != o.Zone && z.Share > 0 })
		if !left && !o.Force {
			return "no other zone serves; it is to be forced by name"
		}
	default:
		return fmt.Sprintf("empty, return or hold expected, got %q", o.Action)
	}
	b.Orders = slices.DeleteFunc(b.Orders, func(had OperatorOrder) bool { return had.Zone == o.Zone })
	b.Orders = append(b.Orders, o)
	return ""
}

// ExpiredOrderIDs are the orders whose end has come by that clock.
func (b *DecisionLog) ExpiredOrderIDs(clock float64) (ids []string) {
	for _, o := range b.Orders {
		if o.ExpiresAt > 0 && clock >= o.ExpiresAt {
			ids = append(ids, o.ID)
		}
	}
	return ids
}

// DecisionOnOrder is what has become of the order of that ID; false: nothing yet.
func (b *DecisionLog) DecisionOnOrder(id string) (Decision, bool) {
	for _, e := range b.History {
		if e.OrderID == id {
			return e, true
		}
	}
	return Decision{}, false
}

// Snapshot and Restore are the book as a whole.
func (b *DecisionLog) Snapshot() []byte {
	text, _ := json.Marshal(b) // of plain values
	return text
}

// Restore takes it.
func (b *DecisionLog) Restore(data []byte) error {
	var had DecisionLog
	if err := json.Unmarshal(data, &had); err != nil {
		return err
	}
	*b = had
	return nil
}

// compareNames has zones in one order at all relays and voters.
func compareNames(a, b Zone) int { return cmp.Compare(a.Name, b.Name) }
