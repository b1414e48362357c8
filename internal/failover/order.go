package failover

import (
	"errors"
	"fmt"
	"slices"
)

// OrderAction is what an operator orders for a zone. Its values are stored and sent.
type OrderAction string

const (
	ActionEmpty  OrderAction = "empty"  // the zone gets no new sessions
	ActionReturn OrderAction = "return" // the zone serves all its local traffic
	ActionHold   OrderAction = "hold"   // the zone keeps the state and share that it has when the order is applied
)

// String returns the stored spelling.
func (a OrderAction) String() string { return string(a) }

// OperatorOrder overrides the policy's decision about a zone until the order expires or another order for the
// same zone replaces it.
type OperatorOrder struct {
	ID        string      `json:"ID"` // ID chosen by the caller; an order sent again with the same ID is applied once
	Zone      string      `json:"Zone"`
	Action    OrderAction `json:"Do"`
	ExpiresAt float64     `json:"Until"`  // expiry time in Unix milliseconds; 0 if the order doesn't expire
	Reason    string      `json:"Reason"` // why the operator gives the order
	IssuedBy  string      `json:"Who"`    // name of the operator
	Force     bool        `json:"Force"`  // apply the order even if it leaves no zone that serves
}

var (
	errUnknownZone     = errors.New("no such zone")
	errUnknownOrder    = errors.New("no such order")
	errIncompleteOrder = fmt.Errorf("an order needs an ID; ID, reason and issuer have at most %d bytes each", maxTextBytes)
	errLastZone        = errors.New("no other zone serves: the order needs force")
	errUnknownAction   = errors.New("empty, return or hold expected")
)

// acceptOrder adds an order in place of an earlier one for the same zone. It checks the order against zones,
// the decision in force. The check is made here and not where the order is issued, so that of two conflicting
// orders the later one is checked against the effect of the earlier one.
func (l *DecisionLog) acceptOrder(order OperatorOrder, zones []Zone) error {
	if !containsZone(zones, order.Zone) {
		return errUnknownZone
	}
	if order.ID == "" || len(order.ID) > maxTextBytes || len(order.Reason) > maxTextBytes ||
		len(order.IssuedBy) > maxTextBytes {
		return errIncompleteOrder
	}
	if slices.ContainsFunc(l.Orders, func(o OperatorOrder) bool { return o.ID == order.ID }) {
		return nil // the order was sent again and is already in force
	}
	if err := order.checkAction(zones); err != nil {
		return err
	}
	l.dropOrders(func(o OperatorOrder) bool { return o.Zone == order.Zone })
	l.Orders = append(l.Orders, order)
	if order.Action == ActionHold {
		l.hold(order, zones)
	}
	return nil
}

// hold keeps the state that the order's zone has now for as long as the order is in force.
func (l *DecisionLog) hold(order OperatorOrder, zones []Zone) {
	index := slices.IndexFunc(zones, func(z Zone) bool { return z.Name == order.Zone })
	if l.Held == nil {
		l.Held = map[string]HeldZone{}
	}
	l.Held[order.ID] = HeldZone{State: zones[index].State, Share: zones[index].Share}
}

// dropOrders removes the orders for which isDropped is true, and what they hold.
func (l *DecisionLog) dropOrders(isDropped func(OperatorOrder) bool) {
	l.Orders = slices.DeleteFunc(l.Orders, func(order OperatorOrder) bool {
		if !isDropped(order) {
			return false
		}
		delete(l.Held, order.ID)
		return true
	})
}

// checkAction returns an error if the action is unknown, or would empty the last zone that serves without force.
func (o *OperatorOrder) checkAction(zones []Zone) error {
	switch o.Action {
	case ActionReturn, ActionHold:
		return nil
	case ActionEmpty:
		otherServes := slices.ContainsFunc(zones, func(z Zone) bool { return z.Name != o.Zone && z.serves() })
		if !otherServes && !o.Force {
			return errLastZone
		}
		return nil
	default:
		return fmt.Errorf("%w, got %q", errUnknownAction, string(o.Action))
	}
}

// removeOrder removes the order with the given ID.
func (l *DecisionLog) removeOrder(id string) error {
	before := len(l.Orders)
	l.dropOrders(func(o OperatorOrder) bool { return o.ID == id })
	if len(l.Orders) == before {
		return errUnknownOrder
	}
	return nil
}

// orderFor returns the order in force for a zone, or nil if there is none.
func (l *DecisionLog) orderFor(zone string) *OperatorOrder {
	for i := len(l.Orders) - 1; i >= 0; i-- { // the latest order is in force
		if l.Orders[i].Zone == zone {
			return &l.Orders[i]
		}
	}
	return nil
}

// applyOrders overrides the policy's decisions with the operators' orders.
func (l *DecisionLog) applyOrders(zones []Zone) {
	for i := range zones {
		if order := l.orderFor(zones[i].Name); order != nil {
			zones[i] = l.applyOrder(order, zones[i])
		}
	}
}

// applyOrder returns the zone with the state and share that the order demands.
func (l *DecisionLog) applyOrder(order *OperatorOrder, zone Zone) Zone {
	zone.Reason = reasonOrdered(order)
	switch order.Action {
	case ActionEmpty:
		return zone.withState(Emptied, 0)
	case ActionReturn:
		return zone.withState(Home, 1)
	case ActionHold:
		return zone.withState(l.heldState(order, zone))
	default:
		return zone
	}
}

// heldState returns the state and share that a zone had when the order to hold it was applied. For an order that an older
// version applied, it returns those in the decision on the order, or if the history no longer contains that decision,
// those that the policy decided last.
func (l *DecisionLog) heldState(order *OperatorOrder, zone Zone) (State, float64) {
	if held, isHeld := l.Held[order.ID]; isHeld {
		return held.State, held.Share
	}
	for _, decision := range slices.Backward(l.History) {
		if decision.OrderID != order.ID || decision.Rejection != "" {
			continue
		}
		for _, was := range decision.Zones {
			if was.Name == zone.Name {
				return was.State, was.Share
			}
		}
	}
	return zone.State, zone.Share
}

// keepOneServing makes all zones without an order home again if no zone would serve otherwise, unless an order
// is forced. A zone that fails often is better than none, and an order that was accepted while another zone
// served must not end all service once the policy empties that zone.
func (l *DecisionLog) keepOneServing(zones []Zone) {
	if slices.ContainsFunc(zones, Zone.serves) ||
		slices.ContainsFunc(l.Orders, func(o OperatorOrder) bool { return o.Force }) {
		return
	}
	for i, zone := range zones {
		if l.orderFor(zone.Name) == nil {
			zones[i] = zone.withState(Home, 1)
			zones[i].Reason = reasonLastResort(zone.Reason)
		}
	}
}

// ExpiredOrderIDs returns the IDs of the orders that have expired at the given time in Unix milliseconds.
func (l *DecisionLog) ExpiredOrderIDs(unixMillis float64) (ids []string) {
	for _, order := range l.Orders {
		if order.ExpiresAt > 0 && unixMillis >= order.ExpiresAt {
			ids = append(ids, order.ID)
		}
	}
	return ids
}

// DecisionOnOrder returns the earliest decision in the history on the order with the given ID, and false if there
// is none.
func (l *DecisionLog) DecisionOnOrder(id string) (Decision, bool) {
	for _, decision := range l.History {
		if decision.OrderID == id {
			return decision, true
		}
	}
	return Decision{}, false
}
