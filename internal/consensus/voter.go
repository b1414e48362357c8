// Package consensus replicates a log of numbered entries among a few voters, and gives their leader a lease.
// The consensus algorithm is Raft (go.etcd.io/raft). This package adds what Raft leaves to its caller: the
// identity of a voter, which depends on the disk that stores its votes (identity.go, replacement.go); storage
// and snapshots (storage.go); the messages between voters (message.go); and the time for which a leader may
// rely on being the leader (lease.go).
//
// The package has no I/O and no clock. Messages and times are passed to its methods; Ready returns what is to
// be stored and sent. Messages may be sent only after the state returned with them is durable, which the caller
// confirms by Advance. Times are milliseconds on any clock that never goes back.
package consensus

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Raft's clock and its flow control. Raft draws each election timeout between electionTicks and twice as many.
const (
	tickMillis       = 50.0
	heartbeatTicks   = 2                 // ticks between two heartbeats of the leader
	electionTicks    = 12                // ticks without a heartbeat after which a voter may vote for another leader
	maxCatchUpTicks  = 2 * electionTicks // most ticks made up for after a suspension of the process
	maxInflightSends = 16                // most unanswered append messages to one follower
)

// Errors of New.
var (
	ErrNotConfigured  = errors.New("not one of the configured voters")
	ErrUnreadableDisk = errors.New("unreadable state on disk")
)

// StateMachine is what committed entries are applied to, in the same order on all voters.
type StateMachine interface {
	// Apply applies the entry with the given number. Numbers increase, with gaps.
	Apply(number uint64, data []byte)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by one that Snapshot encoded.
	Restore(data []byte) error
}

// Voter is one replica of the log. It isn't safe for concurrent use.
type Voter struct {
	self        Member
	configured  []Member // all voters in the configuration file, with names and addresses but without disks
	boot        uint64   // number of starts on this disk, including this one
	incarnation uint64   // random number, drawn at each start
	// founders are the members that bootstrapped the cluster or, at a voter that joined later, its voters at that
	// time; empty if this voter belongs to no cluster yet.
	founders     []Member
	stateMachine StateMachine
	rng          *rand.Rand
	faults       plantedFaults

	log         replicatedLog
	tickedAt    float64 // time up to which Raft's clock has advanced
	identity    identityCheck
	replacement replacement
	lease       leaderLease
	output      output
}

// replicatedLog is Raft's state on this voter, and how far the log is applied.
type replicatedLog struct {
	node         *raft.RawNode // nil if this voter belongs to no cluster yet
	storage      *raft.MemoryStorage
	members      map[uint64]Member // voters and learners, by Raft ID
	confState    raftpb.ConfState
	appliedIndex uint64
}

// New starts a voter, given its own name and address, those of all voters, and the contents of its disk (nil:
// empty). Its errors are ErrNotConfigured and ErrUnreadableDisk.
func New(now float64, self Member, configured []Member, disk []byte, stateMachine StateMachine,
	rng *rand.Rand) (*Voter, error) {
	v := &Voter{
		self:         self,
		configured:   configured,
		incarnation:  rng.Uint64(),
		stateMachine: stateMachine,
		rng:          rng,
		tickedAt:     now,
		identity:     identityCheck{startedAt: now, known: map[uint64]identityClaim{}},
	}
	if !v.isConfigured(self.Name) {
		return nil, fmt.Errorf("consensus: start voter %q: %w", self.Name, ErrNotConfigured)
	}
	state, err := decodeDurable(disk)
	if err != nil {
		return nil, fmt.Errorf("consensus: start voter %q: %w: %w", self.Name, ErrUnreadableDisk, err)
	}
	if state.Self.Name != self.Name || state.Self.Disk == "" { // an empty disk, or another voter's
		v.resetToNewDisk()
		return v, nil
	}
	v.resetPeers()
	if err := v.restoreDurable(state); err != nil {
		return nil, fmt.Errorf("consensus: start voter %q: %w: %w", self.Name, ErrUnreadableDisk, err)
	}
	return v, nil
}

// resetToNewDisk gives this voter a new identity: a new disk ID, under which no vote was ever cast. A save that
// is in progress completes before the new identity is written.
func (v *Voter) resetToNewDisk() {
	v.self.Disk = fmt.Sprintf("%016x", v.rng.Uint64())
	v.boot = 1
	v.founders = nil
	v.log = replicatedLog{storage: raft.NewMemoryStorage()}
	v.resetPeers()
	v.identity.confirmed = false
	v.output.raftReady = nil
	v.output.dirty = true
}

// resetPeers forgets what was learnt of other voters, except for their claims.
func (v *Voter) resetPeers() {
	v.log.members = map[uint64]Member{}
	v.identity.answers = map[string]receivedMessage{}
	v.replacement.candidates = map[string]receivedMessage{}
	v.lease.reset()
}

// startRaft starts Raft on the contents of the storage.
func (v *Voter) startRaft() error {
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        v.self.ID(),
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   v.log.storage,
		Applied:                   v.log.appliedIndex,
		MaxSizePerMsg:             maxEntryBytes,
		MaxInflightMsgs:           maxInflightSends,
		MaxUncommittedEntriesSize: maxPendingEntries * maxEntryBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    raftLogger{},
		DisableProposalForwarding: true,
	})
	if err != nil {
		return fmt.Errorf("start raft: %w", err)
	}
	v.log.node = node
	return nil
}

// Tick advances the voter to the given time. It should be called several times per tickMillis.
func (v *Voter) Tick(now float64) {
	v.queryIdentity(now)
	v.tickRaft(now)
	if !v.isLeader() {
		return
	}
	if v.lease.isRenewalDue(now) {
		v.log.node.ReadIndex(v.lease.requestRenewal(now))
	}
	v.replaceMembers(now)
}

// tickRaft advances Raft's clock. After a suspension of its process, a voter makes up for about maxCatchUpTicks
// ticks only, as more of them would change nothing further.
func (v *Voter) tickRaft(now float64) {
	for ticks := 0; now >= v.tickedAt+tickMillis; ticks++ {
		v.tickedAt += tickMillis
		if ticks > maxCatchUpTicks {
			v.tickedAt = now
		}
		if v.log.node != nil && v.identity.confirmed {
			v.log.node.Tick()
		}
	}
}

// Receive processes another voter's message. A message that is malformed, or from a sender that is not
// configured, changes nothing.
func (v *Voter) Receive(now float64, data []byte) {
	m, err := decodeMessage(data)
	if err != nil || m.From.Name == v.self.Name || !v.isConfigured(m.From.Name) {
		return
	}
	switch {
	case m.RaftMessage != nil:
		v.receiveRaft(m)
	case m.IsIdentityQuery:
		v.answerIdentityQuery(now, m)
	default:
		v.identity.answers[m.From.Name] = receivedMessage{receivedAt: now, message: m}
		v.evaluateAnswers(now)
	}
}

// isConfigured reports whether the configuration file contains a voter of that name.
func (v *Voter) isConfigured(name string) bool {
	return slices.ContainsFunc(v.configured, func(m Member) bool { return m.Name == name })
}

// addressOf returns a member's address from the configuration file, as it may have changed since the member
// was admitted.
func (v *Voter) addressOf(m Member) string {
	for _, configured := range v.configured {
		if configured.Name == m.Name {
			return configured.Address
		}
	}
	return m.Address
}

// isLeader reports whether Raft considers this voter the leader. Another may have been elected meanwhile;
// HasLease rules that out.
func (v *Voter) isLeader() bool {
	return v.log.node != nil && v.log.node.BasicStatus().RaftState == raft.StateLeader
}

// leader returns the leader as far as this voter knows, or the zero Member if none is known.
func (v *Voter) leader() Member {
	if v.log.node == nil {
		return Member{}
	}
	return v.log.members[v.log.node.BasicStatus().Lead]
}

// LeaderAddress returns the leader's address from the configuration file, or "" if no leader is known.
func (v *Voter) LeaderAddress() string {
	leader := v.leader()
	if leader.Name == "" {
		return ""
	}
	return v.addressOf(leader)
}
