package fleet

import (
	"encoding/json"
	"slices"

	"valeshift/internal/recovery"
	"valeshift/internal/replication"
)

// This file replicates the operator's latest order to this relay, so that it is still known if the disk is lost.

const (
	orderLifetimeMillis      = 3e6 // unless it is replicated anew
	orderTimeoutMillis       = 800.0
	orderIntervalMillis      = 2000.0 // between two looks at the order's replicas
	orderLookupTimeoutMillis = 1000.0
	maxOrderLookups          = 10 // at the start, as relays that store the order may start later
	orderDiscards            = 3  // discard messages to the replicas of a superseded order
)

// OrderReplicated is the outcome of ReplicateOrder.
type OrderReplicated struct {
	Token uint64
	OK    bool // all replicas have stored it
}

// orderReplication is the state of the order's replication.
type orderReplication struct {
	tokens       map[uint64]bool // of replications and lookups under way
	lookups      int             // so far
	nextAt       float64         // when the order is looked up or replicated again, at the soonest
	replicated   replication.Record
	superseded   replication.Record // what was replicated before: its replicas are to discard it
	discardsLeft int
}

func newOrderReplication() orderReplication {
	return orderReplication{tokens: map[uint64]bool{}}
}

// ReplicateOrder replicates the order that this relay was given last. An OrderReplicated with the token follows.
func (c *Core) ReplicateOrder(now float64) (token uint64, actions []Action) {
	state := c.replication
	body, _ := json.Marshal(storedOrder{c.orderNumber, c.draining}) // of plain values: it can't fail
	record := replication.Record{
		Kind:      replication.OperatorOrder,
		Key:       c.membership.LocalState().Name,
		Version:   c.orderNumber,
		ExpiresAt: c.fleetTime(now) + orderLifetimeMillis,
		Body:      body,
	}
	token, requested := state.replicator.Replicate(c.fleetTime(now), record, orderTimeoutMillis)
	state.order.tokens[token] = true
	state.order.nextAt = now + orderIntervalMillis
	return token, c.applyReplicationActions(now, requested)
}

// maintainOrder looks up what others store of this relay's orders, discards superseded ones, and replicates the
// latest anew where that is needed: one of them every few seconds.
func (c *Core) maintainOrder(now float64) []Action {
	state := c.replication
	order := &state.order
	if now < order.nextAt || c.plan.Phase() < recovery.Admitting || !c.diskRead {
		return nil
	}
	order.nextAt = now + orderIntervalMillis
	switch {
	case order.lookups < maxOrderLookups && c.orderNumber == 0 && len(state.members) > 1:
		return c.lookUpOrder(now)
	case order.superseded.ID != 0 && order.discardsLeft > 0:
		order.discardsLeft--
		return c.applyReplicationActions(now, state.replicator.Discard(c.fleetTime(now), order.superseded))
	case c.orderNumber != 0 && !c.isOrderReplicated(now):
		_, actions := c.ReplicateOrder(now)
		return actions
	default:
		return nil
	}
}

// lookUpOrder asks others for an order that this relay's disk has lost.
func (c *Core) lookUpOrder(now float64) []Action {
	state := c.replication
	state.order.lookups++
	token, actions := state.replicator.Lookup(c.fleetTime(now), replication.OperatorOrder,
		c.membership.LocalState().Name, orderLookupTimeoutMillis)
	state.order.tokens[token] = true
	return c.applyReplicationActions(now, actions)
}

// isOrderReplicated reports whether the latest order is replicated, has half of its lifetime left, and all its
// replicas are alive and not draining.
func (c *Core) isOrderReplicated(now float64) bool {
	replicated := &c.replication.order.replicated
	return replicated.Version == c.orderNumber &&
		!slices.ContainsFunc(replicated.Replicas, c.isReplicaLeaving) &&
		c.fleetTime(now) < replicated.ExpiresAt-orderLifetimeMillis/2
}

// isReplicaLeaving reports whether a replica is gone or draining.
func (c *Core) isReplicaLeaving(replica replication.Replica) bool {
	return !slices.ContainsFunc(c.replication.members, func(m replication.Member) bool {
		return m.Name == replica.Name && !m.Draining
	})
}

// handleOrderOutcome handles the end of a replication or lookup of an order.
func (c *Core) handleOrderOutcome(now float64, outcome *replication.Outcome) []Action {
	delete(c.replication.order.tokens, outcome.Token)
	succeeded := outcome.Err == nil
	actions := []Action{{OrderReplicated: &OrderReplicated{outcome.Token, succeeded}}}
	isReplication := outcome.Record.Owner != "" // a lookup that fails has no owner
	if !succeeded && isReplication {
		actions = append(actions, Action{Log: "replicating the operator order: " + outcome.Err.Error()})
	}
	if !succeeded || outcome.Record.Kind != replication.OperatorOrder {
		return actions
	}
	var order storedOrder
	if json.Unmarshal(outcome.Record.Body, &order) == nil { // later than this relay's, where its disk has lost one
		actions = append(actions, c.adoptOrder(now, order.Number, order.Draining)...)
	}
	if outcome.Record.Owner == c.membership.LocalState().Name && outcome.Record.Version == c.orderNumber {
		c.replication.order.setReplicated(outcome.Record)
	}
	return actions
}

// setReplicated remembers what was replicated last. Other replicas of what was before are to discard it.
func (o *orderReplication) setReplicated(record replication.Record) {
	o.superseded = o.replicated
	o.discardsLeft = orderDiscards
	if o.replicated.ID == record.ID {
		o.discardsLeft = 0
	}
	o.replicated = record
}
