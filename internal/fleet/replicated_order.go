package fleet

import (
	"encoding/json"
	"slices"

	"valeshift/internal/recovery"
	"valeshift/internal/replication"
)

// This file replicates the operators' latest order to this relay, so that it is still known if the disk is lost.

const (
	orderLifetimeMillis         = 3e6 // after which an order's replicas expire, unless it is replicated again
	orderReplicateTimeoutMillis = 800.0
	orderIntervalMillis         = 2000.0 // between two checks of the order's replicas
	orderLookupTimeoutMillis    = 1000.0
	maxOrderLookups             = 10 // lookups after a start; several, as relays that store the order may start later
	maxOrderDiscards            = 3  // times that the replicas of a superseded order are told to discard it
)

// OrderReplicated is the outcome of ReplicateOrder.
type OrderReplicated struct {
	Token uint64
	OK    bool // whether all replicas have stored the order
}

// orderReplication is the state of the order's replication.
type orderReplication struct {
	tokens       map[uint64]bool    // tokens of the replications and lookups in progress
	lookups      int                // number of lookups since the start
	nextAt       float64            // time of the next check of the order's replicas
	replicated   replication.Record // the record that was replicated last
	superseded   replication.Record // the record replicated before that, which its replicas are told to discard
	discardsLeft int                // times that the replicas of superseded are still to be told
}

func newOrderReplication() orderReplication {
	return orderReplication{tokens: map[uint64]bool{}}
}

// ReplicateOrder starts to replicate this relay's latest order. A later action has an OrderReplicated with the token.
func (c *Core) ReplicateOrder(now float64) (token uint64, actions []Action) {
	state := c.replication
	body, _ := json.Marshal(storedOrder{c.orderNumber, c.draining}) // can't fail with these types
	record := replication.Record{
		Kind:      replication.OperatorOrder,
		Key:       c.membership.LocalState().Name,
		Version:   c.orderNumber,
		ExpiresAt: c.fleetTime(now) + orderLifetimeMillis,
		Body:      body,
	}
	token, requested := state.replicator.Replicate(c.fleetTime(now), record, orderReplicateTimeoutMillis)
	state.order.tokens[token] = true
	state.order.nextAt = now + orderIntervalMillis
	return token, c.applyReplicationActions(now, requested)
}

// maintainOrder looks up this relay's orders at other relays, has superseded ones discarded, and replicates the latest
// again if that is needed. It does one of these per orderIntervalMillis.
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

// lookUpOrder asks other relays for an order that may have been lost with this relay's disk.
func (c *Core) lookUpOrder(now float64) []Action {
	state := c.replication
	state.order.lookups++
	token, actions := state.replicator.Lookup(c.fleetTime(now), replication.OperatorOrder,
		c.membership.LocalState().Name, orderLookupTimeoutMillis)
	state.order.tokens[token] = true
	return c.applyReplicationActions(now, actions)
}

// isOrderReplicated reports whether the latest order is replicated, at least half of its lifetime is left, and all its
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
	isReplication := outcome.Record.Owner != "" // the record of a failed lookup has no owner
	if !succeeded && isReplication {
		actions = append(actions, Action{Log: "replicating the operator order: " + outcome.Err.Error()})
	}
	if !succeeded || outcome.Record.Kind != replication.OperatorOrder {
		return actions
	}
	var order storedOrder
	if json.Unmarshal(outcome.Record.Body, &order) == nil { // may be later than this relay's, if its disk was lost
		actions = append(actions, c.adoptOrder(now, order.Number, order.Draining)...)
	}
	if outcome.Record.Owner == c.membership.LocalState().Name && outcome.Record.Version == c.orderNumber {
		c.replication.order.setReplicated(outcome.Record)
	}
	return actions
}

// setReplicated records what was replicated last. If that is a new record, the replicas of the one before it are told
// to discard it.
func (o *orderReplication) setReplicated(record replication.Record) {
	o.superseded = o.replicated
	o.discardsLeft = maxOrderDiscards
	if o.replicated.ID == record.ID {
		o.discardsLeft = 0
	}
	o.replicated = record
}
