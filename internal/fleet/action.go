package fleet

import (
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/replication"
	"valeshift/internal/store"
)

// Action is one thing that Core asks its driver to do. One of Send, Query, Persist, OrderReplicated, Event and
// Log is set.
type Action struct {
	// Send is a datagram. It may be lost.
	Send *membership.Datagram
	// Query is to be put to another relay. Core.ReceiveAnswer takes what comes of it, an error too.
	Query *Query
	// Persist is to be written to the disk. Where AwaitsPersistence, Core.FinishPersist takes what came of it.
	Persist *store.Record
	// ConfirmDecision is the number of the coordinators' decision that Persist stores; 0: it stores none.
	ConfirmDecision uint64
	// ReplicationWrite is the replica that Persist stores; nil: it stores none.
	ReplicationWrite *replication.Write
	// Event is for the relay.
	Event relay.Event
	// OrderReplicated answers Core.ReplicateOrder.
	OrderReplicated *OrderReplicated
	// Log is a line for the log.
	Log string
}

// Query asks the relay of that name, at that TCP address, for its snapshot.
type Query struct {
	Name    string
	Address string
}

// AwaitsPersistence tells whether Core waits for what becomes of a.Persist.
func (a Action) AwaitsPersistence() bool {
	return a.ConfirmDecision > 0 || a.ReplicationWrite != nil
}

// FinishPersist takes that an action's record is durable, or why it can't be.
func (c *Core) FinishPersist(now float64, a Action, err error) []Action {
	switch {
	case a.ConfirmDecision > 0: // a disk that fails must not keep the relay from following it
		c.ConfirmDecisionPersisted(now, a.ConfirmDecision)
	case a.ReplicationWrite != nil && err == nil: // a replica that isn't durable is never acknowledged
		return c.CompleteReplicationWrite(now, a.ReplicationWrite)
	}
	return nil
}

// logActions is one log line.
func logActions(line string) []Action { return []Action{{Log: line}} }

// sendActions sends each datagram.
func sendActions(datagrams []membership.Datagram) []Action {
	var actions []Action
	for _, d := range datagrams {
		actions = append(actions, Action{Send: &d})
	}
	return actions
}
