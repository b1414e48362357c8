package consensus

import (
	"math"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3"
)

// A leader that a majority has answered within the election timeout can't have been replaced, as no voter votes
// for another while it hears from a leader. So a leader renews its lease by Raft's read requests (ReadIndex),
// which a majority has to answer. The lease begins when the request is sent. It is shorter than the election
// timeout, as the voters' clocks may run at different rates.

const (
	leaseFraction       = 0.7 // duration of the lease, as a fraction of the shortest election timeout
	leaseMillis         = leaseFraction * electionTicks * tickMillis
	renewIntervalMillis = heartbeatTicks * tickMillis // between two renewal requests
	maxOpenRenewals     = electionTicks               // most unanswered renewal requests that are remembered
)

// leaderLease tracks for how long this voter may rely on being the leader.
type leaderLease struct {
	renewedAt     float64            // when the latest request answered by a majority was sent; -Inf: there is none
	nextRenewalAt float64            // when the next request is due
	sequence      uint64             // sequence number of the last request
	requestedAt   map[uint64]float64 // when each unanswered request was sent, by sequence number
	unapplied     []raft.ReadState   // answers whose index this voter has not applied yet
}

// reset ends the lease and forgets all renewal requests.
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

// confirm renews the lease by read requests that were answered, each once its index is applied: a leader may
// rely on its state only after it has applied what its predecessors committed.
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

// HasLease reports whether this voter is the leader and no other can be, because a majority has answered it
// within the duration of the lease.
func (v *Voter) HasLease(now float64) bool {
	return v.isLeader() && now < v.lease.renewedAt+leaseMillis*max(v.faults.leaseFactor, 1)
}

// LeaseRenewedAt returns when the request that renewed the lease was sent. Anything that a later leader may
// have decided was decided after that.
func (v *Voter) LeaseRenewedAt() float64 { return v.lease.renewedAt }
