package failover

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	maxHistory   = 30  // decisions that the history keeps
	maxTextBytes = 200 // longest text of an operator's order, and longest cause, in bytes
)

var errUnreadableCommand = errors.New("unreadable")

// Command is one entry of the coordinators' replicated log: a proposal of the policy (Zones, Demand and
// Capacity), an operator's order, or the removal of an expired order.
type Command struct {
	Zones          []Zone             `json:"Zones,omitempty"`  // all zones, as the policy proposes them
	Demand         map[string]float64 `json:"Demand,omitempty"` // demand of each zone when the policy decided
	Capacity       map[string]float64 `json:"Room,omitempty"`   // capacity of each zone then, in the unit of demand
	Order          *OperatorOrder     `json:"Order,omitempty"`  // operator's order to apply
	ExpiredOrderID string             `json:"Ends,omitempty"`   // ID of an order to remove
	Cause          Cause              `json:"Cause"`
	ProposedAt     float64            `json:"At"` // proposer's clock, in Unix milliseconds
}

// Decision records the outcome of one command.
type Decision struct {
	Number     uint64  `json:"Number"` // index of the command in the replicated log
	ProposedAt float64 `json:"At"`     // proposer's clock, in Unix milliseconds
	Cause      Cause   `json:"Cause"`
	OrderID    string  `json:"Who"`     // ID of the order that the command applies or removes
	Rejection  string  `json:"Refused"` // why the command was rejected; empty if it was applied
	Zones      []Zone  `json:"Zones"`   // zones after the command, but before it for an order to hold a zone
}

// DecisionLog is the state machine that the coordinators replicate: all of them that have applied the same
// commands hold the same state. The zero value is ready for use.
type DecisionLog struct {
	Number      uint64             `json:"Number"` // index of the latest command that was applied and not rejected
	PolicyZones []Zone             `json:"Judged"` // zones as the policy decided, not overridden by orders
	Orders      []OperatorOrder    `json:"Orders"` // orders in force
	Demand      map[string]float64 `json:"Demand"` // demand of each zone when the policy decided
	Capacity    map[string]float64 `json:"Room"`   // capacity of each zone then, in the unit of demand
	History     []Decision         `json:"History"`

	// Held has, by the ID of an order to hold a zone, the state that the zone had when the order was applied.
	Held map[string]HeldZone `json:"Held,omitempty"`
}

// HeldZone is the state and share that an order holds a zone in.
type HeldZone struct {
	State State   `json:"State"`
	Share float64 `json:"Share"` // share of its local traffic that the zone serves itself, 0 to 1
}

// EffectiveZones returns the decision in force: the policy's, overridden by the operators' orders.
func (l *DecisionLog) EffectiveZones() []Zone {
	zones := slices.Clone(l.PolicyZones)
	if len(l.Orders) == 0 {
		return zones
	}
	l.applyOrders(zones)
	l.keepOneServing(zones)
	divert(zones, l.Demand, l.Capacity) // with the demand and capacity of the policy's latest proposal
	return zones
}

// Apply applies the command at the given index of the replicated log and records the decision. A command that
// can't be applied changes no zone and is recorded with the reason of its rejection.
func (l *DecisionLog) Apply(number uint64, data []byte) {
	before := l.EffectiveZones()
	var command Command
	decision := Decision{Number: number}
	var rejection error
	switch err := json.Unmarshal(data, &command); {
	case err != nil:
		rejection = errUnreadableCommand
	case command.Order != nil:
		decision.OrderID = command.Order.ID
		rejection = l.acceptOrder(*command.Order, before)
	case command.ExpiredOrderID != "":
		decision.OrderID = command.ExpiredOrderID
		rejection = l.removeOrder(command.ExpiredOrderID)
	default:
		rejection = l.acceptProposal(command)
	}
	decision.ProposedAt = command.ProposedAt
	decision.Cause = command.Cause[:min(len(command.Cause), maxTextBytes)]
	decision.Zones = l.EffectiveZones()
	if rejection != nil {
		decision.Rejection = rejection.Error()
	} else {
		l.Number = number
		if command.Order != nil && command.Order.Action == ActionHold {
			decision.Zones = before // heldState reads the state to hold from here
		}
	}
	l.record(decision)
}

// acceptProposal validates and stores a proposal of the policy. It removes orders for zones that the proposal
// no longer contains.
func (l *DecisionLog) acceptProposal(command Command) error {
	if err := validateProposal(command.Zones); err != nil {
		return err
	}
	l.PolicyZones = command.Zones
	l.Demand = command.Demand
	l.Capacity = command.Capacity
	l.dropOrders(func(o OperatorOrder) bool { return !containsZone(command.Zones, o.Zone) })
	return nil
}

// record appends a decision to the history, which keeps the latest maxHistory decisions.
func (l *DecisionLog) record(decision Decision) {
	l.History = append(l.History, decision)
	if len(l.History) > maxHistory {
		l.History = l.History[len(l.History)-maxHistory:]
	}
}

// Snapshot encodes the whole log for Restore.
func (l *DecisionLog) Snapshot() []byte {
	data, _ := json.Marshal(l) // can't fail: plain types, and no number is NaN or infinite
	return data
}

// Restore replaces the log's state by a snapshot. On an error the log stays unchanged.
func (l *DecisionLog) Restore(data []byte) error {
	var restored DecisionLog
	if err := json.Unmarshal(data, &restored); err != nil {
		return fmt.Errorf("restore decision log: %w", err)
	}
	*l = restored
	return nil
}
