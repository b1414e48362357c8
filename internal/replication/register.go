package replication

import (
	"cmp"
	"math"
)

// This file is the Paxos register that decides which operation a single-use record goes to. Each record is one
// decree. Its replicas are the acceptors, and an operation that found the record is a proposer with its own token
// as the value. Two majorities share a replica, which has made its reply durable before it sent it.

const (
	maxBallotAttempts = 6 // ballots that one operation tries
	sealedRound       = math.MaxUint64
)

// ballot orders proposals. Each operation has a token of its own, so that no two have the same ballot.
type ballot struct {
	Round uint64
	Token uint64
}

func (b ballot) compare(other ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Token, other.Token))
}

// register is an acceptor's state for one record.
type register struct {
	Promised ballot // lower ballots are rejected
	Accepted ballot // zero: no claim was accepted
	Claimant uint64 // token of the operation whose claim was accepted
}

// isOpen reports whether the record can still be found: no claim was accepted, and it isn't sealed.
func (g *register) isOpen() bool { return !g.isUsed() && !g.isSealed() }

// isUsed reports whether a claim was accepted here.
func (g *register) isUsed() bool { return g.Accepted != ballot{} }

// isSealed reports whether no ballot can be promised any more.
func (g *register) isSealed() bool { return g.Promised.Round == sealedRound }

// seal makes sure that no operation acquires the record. A claim that was accepted stays accepted.
func (g *register) seal() { g.Promised = ballot{Round: sealedRound} }

// handlePaxos is the acceptor: it replies to a prepare or accept request once its new state is durable. About a
// record that isn't stored here, or is not single-use, it replies nothing.
func (r *Replicator) handlePaxos(now float64, from string, request message) []Action {
	record := r.records.byID[request.Records[0].ID]
	if record == nil || !record.Kind.isSingleUse() {
		return nil
	}
	reply := r.newMessage(messageReject, request.Token)
	if request.Ballot.compare(record.Promised) < 0 {
		reply.Ballot = record.Promised
		return r.reply(now, from, reply)
	}
	record.Promised = request.Ballot
	reply.Ballot = request.Ballot
	if request.Type == messagePrepare {
		reply.Type = messagePromise
		reply.AcceptedBallot = record.Accepted
		reply.Claimant = record.Claimant
	} else {
		reply.Type = messageAccepted
		record.Accepted = request.Ballot
		record.Claimant = request.Claimant
		r.counts[record.Kind].Accepted++
	}
	write := r.newWrite(record)
	if r.faults.forgetUsed && request.Type == messageAccept {
		record.register = register{}
	}
	return r.replyWhenDurable(now, from, reply, write)
}

// startPrepare begins to acquire a record that was found, at its replicas that are members now.
func (r *Replicator) startPrepare(now float64, op *operation, record Record) []Action {
	op.record = record
	op.targets = nil
	for _, replica := range record.Replicas {
		for _, m := range r.members {
			if m.Name == replica.Name {
				op.targets = append(op.targets, m)
			}
		}
	}
	op.phase = messagePrepare
	op.round = 1
	return r.startPhase(now, op)
}

// startAccept goes on once a majority has promised the ballot. Where one of it has accepted a claim, that may
// have been decided and is proposed again in place of the operation's own: two operations that each gave way to
// the other would leave the record to nobody.
func (r *Replicator) startAccept(now float64, op *operation) []Action {
	var highest ballot
	op.claimant = op.token
	for _, promise := range op.replies {
		if promise.AcceptedBallot.compare(highest) > 0 {
			highest = promise.AcceptedBallot
			op.claimant = promise.Claimant
		}
	}
	op.phase = messageAccept
	return r.startPhase(now, op)
}

// retryWithHigherBallot begins again, after a random backoff, with a ballot above those of the replicas that
// rejected this one. Without the random part two operations could outbid each other for ever.
func (r *Replicator) retryWithHigherBallot(now float64, op *operation) []Action {
	op.ballotAttempts++
	if op.ballotAttempts >= maxBallotAttempts {
		return r.finish(op, errContended)
	}
	for _, reply := range op.replies {
		if reply.Type != messageReject {
			continue
		}
		if reply.Ballot.Round == sealedRound {
			return r.finish(op, errSealed)
		}
		op.round = max(op.round, reply.Ballot.Round)
	}
	op.round++
	op.phase = messagePrepare
	op.replies = map[string]message{}
	op.retryInterval = initialRetryMillis
	op.nextSendAt = now + initialRetryMillis*(1+float64(op.ballotAttempts)*r.rng.Float64())
	r.nextDeadline = min(r.nextDeadline, op.nextSendAt)
	return nil
}

// advancePrepare goes on once a majority has promised the ballot, or a replica has rejected it.
func (r *Replicator) advancePrepare(now float64, op *operation) []Action {
	if op.replyCount(messageReject) > 0 {
		return r.retryWithHigherBallot(now, op)
	}
	if !op.hasMajority(messagePromise) {
		return nil
	}
	return r.startAccept(now, op)
}

// advanceAccept ends the operation once a majority has accepted its claim. Where the claim was another's, the
// record is used, and the operation looks for the next one.
func (r *Replicator) advanceAccept(now float64, op *operation) []Action {
	if op.replyCount(messageReject) > 0 {
		return r.retryWithHigherBallot(now, op)
	}
	if !op.hasMajority(messageAccepted) {
		return nil
	}
	if op.claimant != op.token {
		return r.lookUpNext(now, op)
	}
	return r.finish(op, nil)
}
