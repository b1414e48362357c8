package replication

import (
	"fmt"
)

// This file is the owner's side of a record: replicate it, revoke it, discard it.

// repeatDiscardAfterMillis is the delay after which a discard message is sent a second time.
const repeatDiscardAfterMillis = 150.0

// scheduledDiscard is a discard message that is sent again, as nobody replies to it.
type scheduledDiscard struct {
	at     float64
	record Record
}

// Replicate has a record stored by as many relays as copies are made. The record's ID, owner and replicas are set
// here. An Outcome with the token follows after timeout ms at the latest.
func (r *Replicator) Replicate(now float64, record Record, timeout float64) (token uint64, actions []Action) {
	token = r.newToken()
	record.ID = r.newToken()
	record.Owner = r.name
	record.Replicas = nil
	targets := r.members.rank(record.Key, r.copies, false)
	for _, m := range targets {
		record.Replicas = append(record.Replicas, Replica{m.Name, m.Incarnation})
	}
	if err := r.checkReplicable(now, record); err != nil {
		r.counts[record.Kind].NotReplicated++
		return token, []Action{{Outcome: &Outcome{Token: token, Record: record, Err: err}}}
	}
	if record.Kind.isRevocable() {
		r.revocable[token] = record
	}
	op := &operation{
		token:    token,
		phase:    messageStore,
		record:   record,
		deadline: now + timeout,
		targets:  targets,
	}
	return token, r.startPhase(now, op)
}

func (r *Replicator) checkReplicable(now float64, record Record) error {
	switch {
	case len(record.Replicas) < r.copies:
		return fmt.Errorf("%d members for %d copies", len(record.Replicas), r.copies)
	case !record.isCurrent(now):
		return errInvalidRecord
	case len(r.operations) >= maxOperations:
		return errTooManyOperations
	default:
		return nil
	}
}

// advanceStore ends the operation once all replicas have stored the record, or one has rejected it.
func (r *Replicator) advanceStore(op *operation) []Action {
	if op.replyCount(messageReject) > 0 {
		return r.abandonReplication(op, errReplicaRejected)
	}
	if op.replyCount(messageStored) >= len(op.record.Replicas) {
		return r.finish(op, nil)
	}
	return nil
}

// abandonReplication returns up, and has the replicas discard the record: no client was notified of it. A revocable
// record is useful without being stored everywhere, and stays where it is.
func (r *Replicator) abandonReplication(op *operation, err error) []Action {
	if op.record.Kind.isRevocable() {
		return r.finish(op, err)
	}
	request := r.newMessage(messageDiscard, op.token, op.record)
	data := request.encode()
	var actions []Action
	for _, target := range op.targets {
		if target.Name != r.name {
			actions = append(actions, Action{To: target.Address, Data: data})
		}
	}
	if stored := r.records.byID[op.record.ID]; stored != nil {
		actions = append(actions, r.seal(stored)...)
	}
	return append(actions, r.finish(op, err)...)
}

// Revoke revokes the marker or best-effort record that Replicate returned the token for: its replicas are sent a
// discard message, and again a moment later. A replication that is still under way is cancelled without an Outcome.
func (r *Replicator) Revoke(now float64, token uint64) []Action {
	record, ok := r.revocable[token]
	if !ok {
		return nil
	}
	if len(r.repeats) < maxOperations {
		r.repeats = append(r.repeats, scheduledDiscard{now + repeatDiscardAfterMillis, record})
		r.nextDeadline = min(r.nextDeadline, r.repeats[0].at)
	}
	delete(r.operations, token)
	delete(r.revocable, token)
	return r.Discard(now, record)
}

// Discard has the replicas of a record of this relay discard it, as it is over or was replicated anew elsewhere.
func (r *Replicator) Discard(now float64, record Record) []Action {
	request := r.newMessage(messageDiscard, 0, record)
	var actions []Action
	for _, m := range r.members {
		switch {
		case !record.isReplicaAt(m.Name):
		case m.Name == r.name:
			actions = append(actions, r.handleRequest(now, localAddress, request)...)
		default:
			actions = append(actions, Action{To: m.Address, Data: request.encode()})
		}
	}
	return actions
}

// repeatDiscards sends the discard messages that are due again.
func (r *Replicator) repeatDiscards(now float64) []Action {
	var actions []Action
	for len(r.repeats) > 0 && now >= r.repeats[0].at {
		actions = append(actions, r.Discard(now, r.repeats[0].record)...)
		r.repeats = r.repeats[1:]
	}
	return actions
}
