package replication

import (
	"errors"
	"math"
	"slices"
)

// This file is what all operations have in common: a request goes to some members, again and again until they
// have replied or the deadline has passed.

const (
	initialRetryMillis = 4.0 // until a request without a reply is sent again; doubled each time
	maxRetryMillis     = 200.0
	firstRetryDivisor  = 4.0  // the first retry comes within one part in so many of the time that is left
	maxOperations      = 4096 // under way at once
)

// Why an operation failed.
var (
	errTooManyOperations = errors.New("too many operations under way")
	errInvalidRecord     = errors.New("the record is invalid or has expired")
	errNoTargets         = errors.New("no member to ask")
	errReplicaRejected   = errors.New("a replica rejected it")
	errAlreadyUsed       = errors.New("the record is used")
	errNotFound          = errors.New("no member has the record")
	errTooEarly          = errors.New("the record is not valid yet")
	errContended         = errors.New("other operations acquire the record")
	errSealed            = errors.New("the record was never replicated")
	errMissingReplies    = errors.New("not all members have replied")
	errTimeout           = errors.New("timed out")
)

// operation is something that this relay asks others for.
type operation struct {
	token    uint64
	phase    messageType // the request that it awaits replies to
	record   Record      // what is stored, or was found; before that its kind and key only
	deadline float64
	targets  []Member           // who is asked
	replies  map[string]message // by the name of the member

	nextSendAt    float64
	retryInterval float64 // ms

	round          uint64 // of the current ballot
	ballotAttempts int
	// claimant is the token that the accept request proposes: another operation's, where that may have been decided.
	claimant uint64
	usedIDs  []uint64 // records of the key that it found used
}

func (op *operation) ballot() ballot { return ballot{Round: op.round, Token: op.token} }

// isPaxos reports whether the operation is in one of the two phases of Paxos.
func (op *operation) isPaxos() bool { return op.phase == messagePrepare || op.phase == messageAccept }

func (op *operation) isTarget(name string) bool {
	return slices.ContainsFunc(op.targets, func(m Member) bool { return m.Name == name })
}

// replyCount returns how many members have replied with a message of that type.
func (op *operation) replyCount(kind messageType) int {
	count := 0
	for _, reply := range op.replies {
		if reply.Type == kind {
			count++
		}
	}
	return count
}

// hasMajority reports whether more than half of the record's replicas have replied with a message of that type.
func (op *operation) hasMajority(kind messageType) bool {
	return 2*op.replyCount(kind) > len(op.record.Replicas)
}

// expects reports whether a reply belongs to the operation's current request.
func (op *operation) expects(reply message) bool {
	if !op.isTarget(reply.From) || !reply.Type.isReplyTo(op.phase) {
		return false
	}
	if op.isPaxos() && reply.Type != messageReject && reply.Ballot != op.ballot() {
		return false // to an earlier ballot
	}
	if op.phase == messageStore {
		// Not from another incarnation, or another process under the replica's name.
		return slices.Contains(op.record.Replicas, Replica{reply.From, reply.Incarnation})
	}
	return true
}

// newToken draws an operation's token, which is never 0.
func (r *Replicator) newToken() uint64 { return r.rng.Uint64() | 1 }

// startPhase sends the current phase's request to all targets.
func (r *Replicator) startPhase(now float64, op *operation) []Action {
	r.operations[op.token] = op
	op.replies = map[string]message{}
	op.retryInterval = min(initialRetryMillis, (op.deadline-now)/firstRetryDivisor)
	return r.sendRequests(now, op)
}

// sendRequests sends the request to the targets that have not replied.
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
				return actions // this relay's own reply was the last that was missing
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

// handleReply handles a reply to a request of this relay.
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

// advance goes on with an operation once it has the replies that it needs.
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

// finish ends an operation.
func (r *Replicator) finish(op *operation, err error) []Action {
	delete(r.operations, op.token)
	r.countOutcome(op, err)
	return []Action{{Outcome: &Outcome{Token: op.token, Record: op.record, Err: err}}}
}

// NextDeadline returns the time when Tick has something to send again or give up, at the soonest; +Inf: never. Expiry
// and announcements may wait for a Tick that comes anyway.
func (r *Replicator) NextDeadline() float64 { return r.nextDeadline }

// sortedTokens returns the operations under way in a fixed order, so that a simulation repeats.
func (r *Replicator) sortedTokens() []uint64 {
	tokens := make([]uint64, 0, len(r.operations))
	for token := range r.operations {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

// advanceOperations sends requests without a reply again, and gives up operations past their deadline.
func (r *Replicator) advanceOperations(now float64) []Action {
	tokens := r.sortedTokens()
	r.nextDeadline = math.Inf(1)
	var actions []Action
	for _, token := range tokens {
		op := r.operations[token]
		switch {
		case op == nil: // finished meanwhile
		case now >= op.deadline:
			actions = append(actions, r.expireOperation(now, op)...)
		case now >= op.nextSendAt:
			actions = append(actions, r.sendRequests(now, op)...)
		default:
			r.nextDeadline = min(r.nextDeadline, op.nextSendAt, op.deadline)
		}
	}
	if len(r.repeats) > 0 {
		r.nextDeadline = min(r.nextDeadline, r.repeats[0].at)
	}
	return actions
}

// expireOperation gives up an operation whose deadline has passed.
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
