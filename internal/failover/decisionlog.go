package failover

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	maxHistory   = 30  // decisions
	maxTextBytes = 200 // of a text that an operator wrote, or of a cause
)

var errUnreadableCommand = errors.New("unreadable")

// Command is one entry of the coordinators' replicated log: a proposal of the policy (Zones, Demand and
// Capacity), an operator's order, or the end of one.
type Command struct {
	Zones          []Zone             `json:"Zones,omitempty"`  // all zones
	Demand         map[string]float64 `json:"Demand,omitempty"` // near each zone, when the policy decided
	Capacity       map[string]float64 `json:"Room,omitempty"`   // of each zone, in the same unit
	Order          *OperatorOrder     `json:"Order,omitempty"`  // an order to apply
	ExpiredOrderID string             `json:"Ends,omitempty"`   // an order to remove
	Cause          Cause              `json:"Cause"`
	ProposedAt     float64            `json:"At"` // Unix milliseconds by the proposer's clock
}

// Decision is what became of one command.
type Decision struct {
	Number     uint64  `json:"Number"` // its index in the replicated log
	ProposedAt float64 `json:"At"`     // Unix milliseconds by the proposer's clock
	Cause      Cause   `json:"Cause"`
	OrderID    string  `json:"Who"`     // of the order that it applies or removes
	Rejection  string  `json:"Refused"` // why it changed nothing; empty: it was applied
	Zones      []Zone  `json:"Zones"`   // as they are after it; for an order to hold a zone, as they were before it
}

// DecisionLog is the state machine that the coordinators replicate: after the same commands it is the same
// at all of them. The zero value is ready for use.
type DecisionLog struct {
	Number      uint64             `json:"Number"` // of the latest command that was applied
	PolicyZones []Zone             `json:"Judged"` // as the policy decided, before orders
	Orders      []OperatorOrder    `json:"Orders"` // that hold
	Demand      map[string]float64 `json:"Demand"` // near each zone, when the policy decided
	Capacity    map[string]float64 `json:"Room"`   // of each zone, in the same unit
	History     []Decision         `json:"History"`
}

// EffectiveZones returns the decision that holds: the policy's, overridden by the operators' orders.
func (l *DecisionLog) EffectiveZones() []Zone {
	zones := slices.Clone(l.PolicyZones)
	if len(l.Orders) == 0 {
		return zones
	}
	l.applyOrders(zones)
	l.keepOneServing(zones)
	divert(zones, l.Demand, l.Capacity) // by the capacity that the policy knew
	return zones
}

// Apply applies the command with the given index of the replicated log and records the decision. A command
// that can't be applied is recorded with the reason.
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
			decision.Zones = before // the state to hold, which heldState reads
		}
	}
	l.record(decision)
}

// acceptProposal takes over what the policy proposes. Orders for zones that it no longer names end.
func (l *DecisionLog) acceptProposal(command Command) error {
	if err := validateProposal(command.Zones); err != nil {
		return err
	}
	l.PolicyZones = command.Zones
	l.Demand = command.Demand
	l.Capacity = command.Capacity
	l.Orders = slices.DeleteFunc(l.Orders, func(o OperatorOrder) bool {
		return !containsZone(command.Zones, o.Zone)
	})
	return nil
}

func (l *DecisionLog) record(decision Decision) {
	l.History = append(l.History, decision)
	if len(l.History) > maxHistory {
		l.History = l.History[len(l.History)-maxHistory:]
	}
}

// Snapshot encodes the whole log for Restore.
func (l *DecisionLog) Snapshot() []byte {
	data, _ := json.Marshal(l) // can't fail: plain values, and no figure is NaN or infinite
	return data
}

// Restore replaces the log by a snapshot. On an error the log stays as it is.
func (l *DecisionLog) Restore(data []byte) error {
	var restored DecisionLog
	if err := json.Unmarshal(data, &restored); err != nil {
		return fmt.Errorf("restore decision log: %w", err)
	}
	*l = restored
	return nil
}
