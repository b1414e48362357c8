package replication

import (
	"cmp"
	"math"
)

// This file is the Paxos register that decides which operation acquires a single-use record. Each record is a
// single-decree instance: its replicas are the acceptors, and an operation that has found the record is a proposer
// with its own token as the value. Such a proposal is called a claim, and the operation whose token it carries is the
// claimant. Only one claim can be chosen, because any two majorities have a replica in common, and a replica makes its
// state durable before it replies.

const (
	maxBallotAttempts = 6              // ballots that one operation tries for a record
	sealedRound       = math.MaxUint64 // promised round of a sealed register; operations never reach it
)

// ballot is a Paxos ballot number: a round, with the operation's token as tie-breaker, so that no two operations have
// the same ballot.
type ballot struct {
	Round uint64
	Token uint64
}

func (b ballot) compare(other ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Token, other.Token))
}

// register is the Paxos acceptor state of one record at one replica.
type register struct {
	Promised ballot // highest ballot promised; lower ballots are rejected
	Accepted ballot // ballot of the accepted claim; zero if no claim was accepted
	Claimant uint64 // token of the operation whose claim was accepted
}

// isOpen reports whether lookups still return the record: no claim was accepted, and it isn't sealed.
func (g *register) isOpen() bool { return !g.isUsed() && !g.isSealed() }

// isUsed reports whether this replica has accepted a claim.
func (g *register) isUsed() bool { return g.Accepted != ballot{} }

// isSealed reports whether the register was sealed, so that no further ballot can be promised.
func (g *register) isSealed() bool { return g.Promised.Round == sealedRound }

// seal makes this replica reject every further ballot. A claim that it has accepted stays accepted.
func (g *register) seal() { g.Promised = ballot{Round: sealedRound} }

// handlePaxos is the acceptor: it replies to a prepare or accept request once its new state is durable. It ignores
// requests for records that aren't stored here or aren't single-use.
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

// startPrepare starts phase 1 for a record that was found, at those of its replicas that are members now.
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

// startAccept starts phase 2 once a majority has promised the ballot. If any promise reports an accepted claim, that
// claim may already have been chosen, so it is proposed in place of the operation's own. Proposing it, rather than just
// giving up, avoids that two operations each give way to the other and neither acquires the record.
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

// retryWithHigherBallot restarts phase 1 after a random backoff, with a ballot above those that the rejecting replicas
// have promised. Without the randomness two operations could keep outbidding each other forever.
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

// advancePrepare starts phase 2 once a majority has promised the ballot, and retries once a replica has rejected it.
func (r *Replicator) advancePrepare(now float64, op *operation) []Action {
	if op.replyCount(messageReject) > 0 {
		return r.retryWithHigherBallot(now, op)
	}
	if !op.hasMajority(messagePromise) {
		return nil
	}
	return r.startAccept(now, op)
}

// advanceAccept ends the operation once a majority has accepted the claim. If it was another operation's claim, the
// record is used, and this operation looks for another record of the key.
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
