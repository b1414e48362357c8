package replication

import (
	"slices"
)

// This file looks up records by their key, for this relay, and starts to acquire single-use ones.

const (
	extraLookupTargets   = 3 // members asked beyond the number of copies, as relays' views of the membership differ
	acquireTimeoutMillis = 1000.0
	earlyToleranceMillis = 300.0 // how many ms before ValidFrom a record may already be acquired
)

// Acquire looks up a single-use record and acquires it for this relay, unless another operation has already acquired
// it. An Outcome with the returned token follows within a second.
func (r *Replicator) Acquire(now float64, kind Kind, key string) (token uint64, actions []Action) {
	return r.startLookup(now, kind, key, acquireTimeoutMillis)
}

// Lookup looks up the latest version of a record that isn't single-use. An Outcome with the returned token follows
// after timeout ms at the latest.
func (r *Replicator) Lookup(now float64, kind Kind, key string, timeout float64) (token uint64, actions []Action) {
	return r.startLookup(now, kind, key, timeout)
}

func (r *Replicator) startLookup(now float64, kind Kind, key string, timeout float64) (uint64, []Action) {
	r.counts[kind].Lookups++
	op := &operation{
		token:    r.newToken(),
		phase:    messageLookup,
		record:   Record{Kind: kind, Key: key},
		deadline: now + timeout,
		targets:  r.lookupTargets(key),
	}
	if err := r.checkLookup(op); err != nil {
		return op.token, []Action{{Outcome: &Outcome{Token: op.token, Record: op.record, Err: err}}}
	}
	return op.token, r.startPhase(now, op)
}

func (r *Replicator) checkLookup(op *operation) error {
	switch {
	case len(r.operations) >= maxOperations:
		return errTooManyOperations
	case len(op.targets) == 0:
		return ErrNobodyAsked
	case op.record.Key == "" || len(op.record.Key) > maxKeyBytes:
		return errInvalidRecord
	default:
		return nil
	}
}

func (r *Replicator) lookupTargets(key string) []Member {
	return r.members.rank(key, r.copies+extraLookupTargets, true)
}

// advanceLookup continues a lookup after a reply. A single-use record is acquired as soon as one member has returned
// it, and a best-effort record is taken from the first reply that has it. An order or marker is found once all members
// have replied, as any of them may have the latest version, or know that the marker was revoked; at the deadline the
// best record returned so far is taken.
func (r *Replicator) advanceLookup(now float64, op *operation) []Action {
	candidate := r.bestCandidate(now, op)
	allReplied := len(op.replies) == len(op.targets)
	switch {
	case candidate == nil && !allReplied:
		return nil
	case candidate == nil && len(op.usedIDs) > 0:
		return r.finish(op, errAlreadyUsed)
	case candidate == nil:
		return r.finish(op, r.absence(op))
	case candidate.Kind.isSingleUse():
		return r.acquireCandidate(now, op, *candidate)
	case !allReplied && !candidate.Kind.isBestEffort():
		return nil
	default:
		op.record = *candidate
		return r.finish(op, nil)
	}
}

// absence returns what a lookup that has found no record tells. The record counts as not found only if one of its
// replicas must be among the members that replied, even if as many of the replicas have lost it as replication is to
// survive. A suspended relay may not know all members that are to be asked.
func (r *Replicator) absence(op *operation) error {
	survivedLosses := (r.copies - 1) / 2
	switch {
	case r.suspended || len(op.targets)+survivedLosses < r.copies:
		return ErrNobodyAsked
	case len(op.replies)+survivedLosses < max(len(op.targets), r.copies):
		return ErrMissingReplies
	default:
		return ErrNotFound
	}
}

// acquireCandidate starts to acquire a record. If it is too early for that, the operation fails without using the
// record, and the client can try again later.
func (r *Replicator) acquireCandidate(now float64, op *operation, candidate Record) []Action {
	if now < candidate.ValidFrom-earlyToleranceMillis {
		return r.finish(op, errTooEarly)
	}
	return r.startPrepare(now, op, candidate)
}

// bestCandidate returns the record with the highest version among the replies, or nil if there is none. Among equal
// versions the choice depends on the operation's random token, so that concurrent operations on one key spread over
// its records.
func (r *Replicator) bestCandidate(now float64, op *operation) *Record {
	revoked := op.revokedIDs()
	var best *Record
	for _, reply := range op.replies {
		for i := range reply.Records {
			candidate := &reply.Records[i]
			if revoked[candidate.ID] || !r.isCandidate(now, op, candidate) {
				continue
			}
			if best == nil || op.prefers(candidate, best) {
				best = candidate
			}
		}
	}
	return best
}

// revokedIDs returns the IDs of the markers that at least one reply reports as revoked.
func (op *operation) revokedIDs() map[uint64]bool {
	revoked := map[uint64]bool{}
	for _, reply := range op.replies {
		for i := range reply.Records {
			if reply.Records[i].isRevokedMarker() {
				revoked[reply.Records[i].ID] = true
			}
		}
	}
	return revoked
}

func (r *Replicator) isCandidate(now float64, op *operation, candidate *Record) bool {
	return candidate.lookupKey() == op.record.lookupKey() &&
		candidate.isValid(now+maxLifetimeMillis) &&
		candidate.hasDistinctReplicas(r.copies) &&
		!slices.Contains(op.usedIDs, candidate.ID)
}

func (op *operation) prefers(candidate, best *Record) bool {
	if candidate.Version != best.Version {
		return candidate.Version > best.Version
	}
	return candidate.ID^op.token < best.ID^op.token
}

// lookUpNext looks up another record of the same key after this one went to another operation: many clients with the
// same key may arrive at once and compete for the same record.
func (r *Replicator) lookUpNext(now float64, op *operation) []Action {
	op.usedIDs = append(op.usedIDs, op.record.ID)
	op.phase = messageLookup
	op.round = 0
	op.claimant = 0
	op.ballotAttempts = 0
	op.record = Record{Kind: op.record.Kind, Key: op.record.Key}
	op.targets = r.lookupTargets(op.record.Key)
	return r.startPhase(now, op)
}

// expireLookup ends a lookup at its deadline. For kinds that aren't single-use, the best record found so far is the
// result.
func (r *Replicator) expireLookup(now float64, op *operation) []Action {
	if !op.record.Kind.isSingleUse() {
		candidate := r.bestCandidate(now, op)
		if candidate == nil {
			return r.finish(op, r.absence(op))
		}
		op.record = *candidate
		return r.finish(op, nil)
	}
	if len(op.usedIDs) > 0 {
		return r.finish(op, errAlreadyUsed)
	}
	return r.finish(op, errTimeout)
}
