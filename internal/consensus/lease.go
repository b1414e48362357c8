package consensus

import (
	"math"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3"
)

// A leader that a majority has answered within the election timeout can't have been replaced: no voter votes
// for another as long as it hears a leader. So a leader renews its lease by read requests (ReadIndex in Raft's
// terms), which a majority has to answer, and counts it from when it sent the request. The lease is shorter
// than the timeout, as clocks run at different rates.

const (
	leaseFraction       = 0.7 // of the shortest election timeout
	leaseMillis         = leaseFraction * electionTicks * tickMillis
	renewIntervalMillis = heartbeatTicks * tickMillis
	maxOpenRenewals     = electionTicks // requests without an answer that are remembered
)

// leaderLease is how long this voter may rely on leading.
type leaderLease struct {
	renewedAt     float64            // when the request was sent that a majority has answered; -Inf: none was
	nextRenewalAt float64            // when the next request is due
	sequence      uint64             // of the last request
	requestedAt   map[uint64]float64 // requests without an answer, by sequence
	unapplied     []raft.ReadState   // answers that wait until this voter has applied as much
}

// reset forgets all renewals.
func (l *leaderLease) reset() {
	l.renewedAt = math.Inf(-1)
	l.requestedAt = map[uint64]float64{}
	l.unapplied = nil
}

func (l *leaderLease) isRenewalDue(now float64) bool { return now >= l.nextRenewalAt }

// requestRenewal returns the context of a read request that renews the lease as of now.
func (l *leaderLease) requestRenewal(now float64) (readContext []byte) {
	l.nextRenewalAt = now + renewIntervalMillis
	l.sequence++
	l.requestedAt[l.sequence] = now
	delete(l.requestedAt, l.sequence-maxOpenRenewals)
	return strconv.AppendUint(nil, l.sequence, 10)
}

// confirm renews the lease by answered read requests, each once its index is applied: a leader may rely on
// what it reads only after it has applied what its predecessors decided.
func (l *leaderLease) confirm(answered []raft.ReadState, appliedIndex uint64) {
	l.unapplied = append(l.unapplied, answered...)
	l.unapplied = slices.DeleteFunc(l.unapplied, func(read raft.ReadState) bool {
		if read.Index > appliedIndex {
			return false
		}
		sequence, err := strconv.ParseUint(string(read.RequestCtx), 10, 64)
		if err == nil && l.requestedAt[sequence] > 0 {
			l.renewedAt = max(l.renewedAt, l.requestedAt[sequence])
			delete(l.requestedAt, sequence)
		}
		return true
	})
}

// HasLease tells whether this voter leads and no other can: a majority has answered it a short while ago.
func (v *Voter) HasLease(now float64) bool {
	return v.isLeader() && now < v.lease.renewedAt+leaseMillis*max(v.faults.leaseFactor, 1)
}

// LeaseRenewedAt returns when the request was sent that renewed the lease: what another leader may have
// decided came later.
func (v *Voter) LeaseRenewedAt() float64 { return v.lease.renewedAt }
