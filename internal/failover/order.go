package failover

import (
	"errors"
	"fmt"
	"slices"
)

// OrderAction is what an operator orders to be done with a zone. Its values are stored and sent.
type OrderAction string

const (
	ActionEmpty  OrderAction = "empty"  // the zone gets no new work
	ActionReturn OrderAction = "return" // the zone serves in full
	ActionHold   OrderAction = "hold"   // the zone stays in the state that it has when the order is applied
)

// String returns the stored spelling.
func (a OrderAction) String() string { return string(a) }

// OperatorOrder overrides what the policy decides about a zone, until the order expires or another one for
// the same zone replaces it.
type OperatorOrder struct {
	ID        string      `json:"ID"` // drawn by the caller: an order that is sent again under its ID is applied once
	Zone      string      `json:"Zone"`
	Action    OrderAction `json:"Do"`
	ExpiresAt float64     `json:"Until"` // Unix milliseconds; 0: it does not expire
	Reason    string      `json:"Reason"`
	IssuedBy  string      `json:"Who"`
	Force     bool        `json:"Force"` // apply it even if no zone is left that serves
}

var (
	errUnknownZone     = errors.New("no such zone")
	errUnknownOrder    = errors.New("no such order")
	errIncompleteOrder = fmt.Errorf("an order needs an ID; ID, reason and issuer have at most %d bytes each", maxTextBytes)
	errLastZone        = errors.New("no other zone serves: the order needs force")
	errUnknownAction   = errors.New("empty, return or hold expected")
)

// acceptOrder adds an order, in place of a former one for its zone. It checks the order against zones, the
// decision that holds, and not where the order is issued: of two orders that contradict each other the later
// one sees the earlier.
func (l *DecisionLog) acceptOrder(order OperatorOrder, zones []Zone) error {
	if !containsZone(zones, order.Zone) {
		return errUnknownZone
	}
	if order.ID == "" || len(order.ID) > maxTextBytes || len(order.Reason) > maxTextBytes ||
		len(order.IssuedBy) > maxTextBytes {
		return errIncompleteOrder
	}
	if slices.ContainsFunc(l.Orders, func(o OperatorOrder) bool { return o.ID == order.ID }) {
		return nil // sent again
	}
	if err := order.checkAction(zones); err != nil {
		return err
	}
	l.Orders = slices.DeleteFunc(l.Orders, func(o OperatorOrder) bool { return o.Zone == order.Zone })
	l.Orders = append(l.Orders, order)
	return nil
}

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

func (l *DecisionLog) removeOrder(id string) error {
	before := len(l.Orders)
	l.Orders = slices.DeleteFunc(l.Orders, func(o OperatorOrder) bool { return o.ID == id })
	if len(l.Orders) == before {
		return errUnknownOrder
	}
	return nil
}

// orderFor returns the order that holds for a zone, nil if there is none.
func (l *DecisionLog) orderFor(zone string) *OperatorOrder {
	for i := len(l.Orders) - 1; i >= 0; i-- { // the latest one holds
		if l.Orders[i].Zone == zone {
			return &l.Orders[i]
		}
	}
	return nil
}

// applyOrders overrides the policy's decisions by the operators' orders.
func (l *DecisionLog) applyOrders(zones []Zone) {
	for i := range zones {
		if order := l.orderFor(zones[i].Name); order != nil {
			zones[i] = l.applyOrder(order, zones[i])
		}
	}
}

func (l *DecisionLog) applyOrder(order *OperatorOrder, zone Zone) Zone {
	zone.Reason = reasonOrdered(order)
	switch order.Action {
	case ActionEmpty:
		return zone.with(Emptied, 0)
	case ActionReturn:
		return zone.with(Home, 1)
	case ActionHold:
		return zone.with(l.heldState(order, zone))
	default:
		return zone
	}
}

// heldState is the state of a zone when the order to hold it was applied.
func (l *DecisionLog) heldState(order *OperatorOrder, zone Zone) (State, float64) {
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

// keepOneServing has the zones that the policy emptied serve again if orders that nobody forced would leave
// no zone: a zone that fails often is better than none, and no order is to end service together with a
// later decision of the policy.
func (l *DecisionLog) keepOneServing(zones []Zone) {
	if slices.ContainsFunc(zones, Zone.serves) ||
		slices.ContainsFunc(l.Orders, func(o OperatorOrder) bool { return o.Force }) {
		return
	}
	for i, zone := range zones {
		if l.orderFor(zone.Name) == nil {
			zones[i] = zone.with(Home, 1)
			zones[i].Reason = reasonLastResort(zone.Reason)
		}
	}
}

// ExpiredOrderIDs returns the orders that have expired at a time in Unix milliseconds.
func (l *DecisionLog) ExpiredOrderIDs(unixMillis float64) (ids []string) {
	for _, order := range l.Orders {
		if order.ExpiresAt > 0 && unixMillis >= order.ExpiresAt {
			ids = append(ids, order.ID)
		}
	}
	return ids
}

// DecisionOnOrder returns what was decided on an order; false while nothing is.
func (l *DecisionLog) DecisionOnOrder(id string) (Decision, bool) {
	for _, decision := range l.History {
		if decision.OrderID == id {
			return decision, true
		}
	}
	return Decision{}, false
}
