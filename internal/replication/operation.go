package replication

import (
	"errors"
	"math"
	"slices"
)

// This file is what all operations have in common: a request is sent to some members, and again with exponential
// backoff to those that haven't replied, until the operation ends or its deadline passes.

const (
	initialRetryMillis = 4.0   // ms before a request without a reply is sent again; doubled after each time
	maxRetryMillis     = 200.0 // upper bound of the doubled interval, in ms
	firstRetryDivisor  = 4.0   // the first interval is at most the time to the deadline divided by this
	maxOperations      = 4096  // operations that may be under way at once
)

// Errors with which operations end.
var (
	errTooManyOperations = errors.New("too many operations under way")
	errInvalidRecord     = errors.New("the record is invalid or has expired")
	errReplicaRejected   = errors.New("a replica rejected the record")
	errAlreadyUsed       = errors.New("the record has already been used")
	errTooEarly          = errors.New("the record is not valid yet")
	errContended         = errors.New("concurrent operations outbid every attempt to acquire the record")
	errSealed            = errors.New("the record was discarded by its owner")
	errTimeout           = errors.New("timed out")
)

// Errors with which lookups of records that aren't single-use end. Any other one says nothing about the record.
var (
	// ErrNotFound: so many members have replied that one of them would have the record.
	ErrNotFound = errors.New("no member has the record")
	// ErrNobodyAsked: no member, or too few of them, are known yet.
	ErrNobodyAsked = errors.New("too few members are known to ask")
	// ErrMissingReplies: a member that has not replied may have the record.
	ErrMissingReplies = errors.New("no record found before the deadline, and too few members replied")
)

// operation is a replication, acquisition or lookup that this relay has started.
type operation struct {
	token    uint64
	phase    messageType // type of the request whose replies it waits for
	record   Record      // the record to store, or the one found; until one is found, only its kind and key are set
	deadline float64
	targets  []Member           // members that the request is sent to
	replies  map[string]message // replies to the current request, by member name

	nextSendAt    float64
	retryInterval float64 // ms before the request is sent again; doubled each time

	round          uint64 // round of the current ballot
	ballotAttempts int    // ballots that were rejected for the current record
	// claimant is the token that the accept request proposes. It is another operation's token if that operation's
	// claim may already have been chosen.
	claimant uint64
	usedIDs  []uint64 // IDs of the key's records that went to other operations
}

func (op *operation) ballot() ballot { return ballot{Round: op.round, Token: op.token} }

// isPaxos reports whether the operation is in phase 1 or phase 2 of Paxos.
func (op *operation) isPaxos() bool { return op.phase == messagePrepare || op.phase == messageAccept }

func (op *operation) isTarget(name string) bool {
	return slices.ContainsFunc(op.targets, func(m Member) bool { return m.Name == name })
}

// replyCount returns how many members have replied with a message of that type.
func (op *operation) replyCount(msgType messageType) int {
	count := 0
	for _, reply := range op.replies {
		if reply.Type == msgType {
			count++
		}
	}
	return count
}

// hasMajority reports whether more than half of the record's replicas have replied with a message of that type.
func (op *operation) hasMajority(msgType messageType) bool {
	return 2*op.replyCount(msgType) > len(op.record.Replicas)
}

// expects reports whether a reply belongs to the operation's current request.
func (op *operation) expects(reply message) bool {
	if !op.isTarget(reply.From) || !reply.Type.isReplyTo(op.phase) {
		return false
	}
	if op.isPaxos() && reply.Type != messageReject && reply.Ballot != op.ballot() {
		return false // a reply to an earlier ballot
	}
	if op.phase == messageStore {
		// A reply from another incarnation, or from another process with the replica's name, doesn't count.
		return slices.Contains(op.record.Replicas, Replica{reply.From, reply.Incarnation})
	}
	return true
}

// newToken returns a random token for an operation, or ID for a record. It is never 0.
func (r *Replicator) newToken() uint64 { return max(r.rng.Uint64(), 1) }

// startPhase sends the request of the operation's current phase to all targets.
func (r *Replicator) startPhase(now float64, op *operation) []Action {
	r.operations[op.token] = op
	op.replies = map[string]message{}
	op.retryInterval = min(initialRetryMillis, (op.deadline-now)/firstRetryDivisor)
	return r.sendRequests(now, op)
}

// sendRequests sends the current request to the targets that have not replied. A request to this relay itself is
// handled directly.
func (r *Replicator) sendRequests(now float64, op *operation) []Action {
	op.nextSendAt = now + op.retryInterval
	op.retryInterval = min(2*op.retryInterval, maxRetryMillis)
	r.nextDeadline = min(r.nextDeadline, op.nextSendAt, op.deadline)
	request := r.newMessage(op.phase, op.token, op.record)
	if op.isPaxos() {
		request.Ballot = op.ballot()
		request.Claimant = op.claimant
	}
	var actions []Action
	var data []byte
	for _, target := range op.targets {
		if _, replied := op.replies[target.Name]; replied {
			continue
		}
		if target.Name == r.name {
			actions = append(actions, r.handleRequest(now, localAddress, request)...)
			if r.operations[op.token] != op || op.phase != request.Type {
				return actions // this relay's own reply completed the phase
			}
			continue
		}
		if data == nil {
			data = request.encode()
		}
		actions = append(actions, Action{To: target.Address, Data: data})
	}
	return actions
}

// handleReply handles a reply to one of this relay's requests. Late and duplicate replies are ignored.
func (r *Replicator) handleReply(now float64, reply message) []Action {
	op := r.operations[reply.Token]
	if op == nil || !op.expects(reply) {
		return nil
	}
	if _, replied := op.replies[reply.From]; replied {
		if !r.faults.countDuplicates {
			return nil
		}
		reply.From += "'"
	}
	op.replies[reply.From] = reply
	return r.advance(now, op)
}

// advance continues an operation after a reply, if it has enough replies for that.
func (r *Replicator) advance(now float64, op *operation) []Action {
	switch op.phase {
	case messageStore:
		return r.advanceStore(op)
	case messageLookup:
		return r.advanceLookup(now, op)
	case messagePrepare:
		return r.advancePrepare(now, op)
	case messageAccept:
		return r.advanceAccept(now, op)
	default:
		return nil
	}
}

// finish ends an operation and returns its Outcome.
func (r *Replicator) finish(op *operation, err error) []Action {
	delete(r.operations, op.token)
	r.countOutcome(op, err)
	return []Action{{Outcome: &Outcome{Token: op.token, Record: op.record, Err: err}}}
}

// NextDeadline returns the earliest time at which Tick has a message to send again or an operation to expire, or +Inf
// if there is none. Removing expired records and publishing locations can wait for the next regular Tick.
func (r *Replicator) NextDeadline() float64 { return r.nextDeadline }

// sortedTokens returns the tokens of the operations under way in a fixed order, so that simulations are reproducible.
func (r *Replicator) sortedTokens() []uint64 {
	tokens := make([]uint64, 0, len(r.operations))
	for token := range r.operations {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

// advanceOperations sends requests again that are due for it, and ends operations whose deadline has passed.
func (r *Replicator) advanceOperations(now float64) []Action {
	tokens := r.sortedTokens()
	r.nextDeadline = math.Inf(1)
	var actions []Action
	for _, token := range tokens {
		op := r.operations[token]
		switch {
		case op == nil: // finished by an earlier iteration
		case now >= op.deadline:
			actions = append(actions, r.expireOperation(now, op)...)
		case now >= op.nextSendAt:
			actions = append(actions, r.sendRequests(now, op)...)
		default:
			r.nextDeadline = min(r.nextDeadline, op.nextSendAt, op.deadline)
		}
	}
	if len(r.scheduledDiscards) > 0 {
		r.nextDeadline = min(r.nextDeadline, r.scheduledDiscards[0].sendAt)
	}
	return actions
}

// expireOperation ends an operation whose deadline has passed.
func (r *Replicator) expireOperation(now float64, op *operation) []Action {
	switch {
	case op.phase == messageStore:
		return r.abandonReplication(op, errTimeout)
	case op.phase == messageLookup:
		return r.expireLookup(now, op)
	default:
		return r.finish(op, errTimeout)
	}
}
