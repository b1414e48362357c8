package fleet

import (
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/replication"
	"valeshift/internal/store"
)

// Action is one thing that Core asks its driver to do. Exactly one of Send, Query, Persist, OrderReplicated, Event
// and Log is set.
type Action struct {
	// Send is a datagram to send. Core copes with its loss.
	Send *membership.Datagram
	// Query is a query to send to another relay. Core.ReceiveAnswer takes the answer or the error.
	Query *Query
	// Persist is a record to write to the disk. If AwaitsPersistence is true, Core.FinishPersist takes the result.
	Persist *store.Record
	// ConfirmDecision is the number of the coordinators' decision that Persist stores; 0 if it stores none.
	ConfirmDecision uint64
	// ReplicationWrite is the replica that Persist stores; nil if it stores none.
	ReplicationWrite *replication.Write
	// Event is an event to deliver to the relay.
	Event relay.Event
	// OrderReplicated is the outcome of an earlier Core.ReplicateOrder.
	OrderReplicated *OrderReplicated
	// Log is a line to write to the log.
	Log string
}

// Query asks another relay for its snapshot.
type Query struct {
	Name    string
	Address string // host:port, for TCP
}

// AwaitsPersistence reports whether Core has to be told by FinishPersist how the write of a.Persist ended.
func (a Action) AwaitsPersistence() bool {
	return a.ConfirmDecision > 0 || a.ReplicationWrite != nil
}

// FinishPersist takes the result of writing an action's record: nil once the record is durable, else the error.
func (c *Core) FinishPersist(now float64, a Action, err error) []Action {
	switch {
	case a.ConfirmDecision > 0: // even after an error: a failed disk must not keep the relay from following the decision
		c.ConfirmDecisionPersisted(now, a.ConfirmDecision)
	case a.ReplicationWrite != nil && err == nil: // a replica is acknowledged only once it is durable
		return c.CompleteReplicationWrite(now, a.ReplicationWrite)
	}
	return nil
}

// logActions returns the action that logs a line.
func logActions(line string) []Action { return []Action{{Log: line}} }

// sendActions returns an action for each datagram, which sends it.
func sendActions(datagrams []membership.Datagram) []Action {
	var actions []Action
	for _, d := range datagrams {
		actions = append(actions, Action{Send: &d})
	}
	return actions
}
