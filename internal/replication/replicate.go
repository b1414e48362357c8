package replication

import (
	"fmt"
)

// This file is the owner side: it replicates, revokes and discards this relay's own records.

// discardResendDelayMillis is the delay in ms after which a discard message is sent a second time.
const discardResendDelayMillis = 150.0

// scheduledDiscard is a discard message to be sent a second time: it has no reply, so a lost one goes unnoticed.
type scheduledDiscard struct {
	sendAt float64
	record Record
}

// Replicate stores a record at the number of relays that New was given as copies. It sets the record's ID, owner and
// replicas. An Outcome with the returned token follows after timeout ms at the latest, unless the record is revoked.
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

// advanceStore ends the operation once all replicas have stored the record or one has rejected it.
func (r *Replicator) advanceStore(op *operation) []Action {
	if op.replyCount(messageReject) > 0 {
		return r.abandonReplication(op, errReplicaRejected)
	}
	if op.replyCount(messageStored) >= len(op.record.Replicas) {
		return r.finish(op, nil)
	}
	return nil
}

// abandonReplication ends a failed replication and tells the replicas to discard the record, which no client was told
// about. A revocable record is useful even if not all replicas have stored it, so it isn't discarded.
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

// Revoke revokes the marker or best-effort record for which Replicate returned the token: its replicas are sent a
// discard message, and a second one after discardResendDelayMillis. A replication that is still under way is canceled
// without an Outcome.
func (r *Replicator) Revoke(now float64, token uint64) []Action {
	record, ok := r.revocable[token]
	if !ok {
		return nil
	}
	if len(r.scheduledDiscards) < maxOperations {
		r.scheduledDiscards = append(r.scheduledDiscards, scheduledDiscard{now + discardResendDelayMillis, record})
		r.nextDeadline = min(r.nextDeadline, r.scheduledDiscards[0].sendAt)
	}
	delete(r.operations, token)
	delete(r.revocable, token)
	return r.Discard(now, record)
}

// Discard tells the replicas of one of this relay's records to discard it, as it is no longer valid or was replicated
// again at other relays.
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

// resendDiscards sends the discard messages whose second sending is due.
func (r *Replicator) resendDiscards(now float64) []Action {
	var actions []Action
	for len(r.scheduledDiscards) > 0 && now >= r.scheduledDiscards[0].sendAt {
		actions = append(actions, r.Discard(now, r.scheduledDiscards[0].record)...)
		r.scheduledDiscards = r.scheduledDiscards[1:]
	}
	return actions
}
