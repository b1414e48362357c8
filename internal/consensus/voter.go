// Package consensus replicates one list of numbered entries over a few voters, and gives their leader a lease.
// The agreement itself is Raft's (go.etcd.io/raft). This package adds what Raft leaves to its caller: who is
// a voter, by the disk on which it stores its votes (identity.go, replacement.go); storage and snapshots
// (storage.go); the messages between voters (message.go); and for how long a leader may rely on leading
// (lease.go).
//
// The package has no I/O and no clock. Messages and times come in by method calls; Ready returns what is to
// be stored and sent. Messages go out only after the state returned with them is durable, which the caller
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

// Raft's clock. The election timeout itself is drawn by Raft, from electionTicks up to twice as many.
const (
	tickMillis       = 50.0
	heartbeatTicks   = 2  // between two heartbeats of the leader
	electionTicks    = 12 // without a heartbeat, after which another may be voted for
	maxCatchUpTicks  = 2 * electionTicks
	maxInflightSends = 16 // append messages to one follower that await its answer
)

// Errors of New.
var (
	ErrNotConfigured  = errors.New("not one of the configured voters")
	ErrUnreadableDisk = errors.New("unreadable state on disk")
)

// StateMachine is what the entries are applied to, in the same order at all voters.
type StateMachine interface {
	// Apply applies the entry of that number. Numbers grow, with gaps.
	Apply(number uint64, data []byte)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by an encoded one.
	Restore(data []byte) error
}

// Voter is one replica of the list. It isn't safe for concurrent use.
type Voter struct {
	self         Member
	configured   []Member // all voters of the configuration file: names and addresses, without disks
	boot         uint64   // starts on this disk, this one included
	incarnation  uint64   // drawn at each start
	founders     []Member // those that bootstrapped the cluster; empty: this voter belongs to none yet
	stateMachine StateMachine
	rng          *rand.Rand
	faults       plantedFaults

	log         replicatedLog
	tickedAt    float64 // up to when Raft's clock has gone on
	identity    identityCheck
	replacement replacement
	lease       leaderLease
	output      output
}

// replicatedLog is Raft's state at this voter, and how far it is applied.
type replicatedLog struct {
	node         *raft.RawNode // nil: this voter belongs to no cluster yet
	storage      *raft.MemoryStorage
	members      map[uint64]Member // voters and learners, by Raft's number
	confState    raftpb.ConfState
	appliedIndex uint64
}

// New starts a voter: its own name and address, those of all voters, and what its disk holds (nil: nothing).
// Its errors are ErrNotConfigured and ErrUnreadableDisk.
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
	if state.Self.Name != self.Name || state.Self.Disk == "" { // nothing, or another voter's
		v.resetToNewDisk()
		return v, nil
	}
	v.resetPeers()
	if err := v.restoreDurable(state); err != nil {
		return nil, fmt.Errorf("consensus: start voter %q: %w: %w", self.Name, ErrUnreadableDisk, err)
	}
	return v, nil
}

// resetToNewDisk gives this voter a new identity: a disk of a new name, from which no vote was ever cast. A
// save that is in progress completes before the new identity is written.
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

// resetPeers forgets what was learnt of other voters, apart from their claims.
func (v *Voter) resetPeers() {
	v.log.members = map[uint64]Member{}
	v.identity.answers = map[string]identityAnswer{}
	v.replacement.candidates = map[string]identityAnswer{}
	v.lease.reset()
}

// startRaft starts Raft on what the storage holds.
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

// Tick advances the voter to that time. It is to be called some times per tickMillis.
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

// tickRaft advances Raft's clock. A voter whose process was suspended makes up for maxCatchUpTicks only, as
// more of them mean nothing more.
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

// Receive processes another voter's message. One that is malformed, or of nobody who is configured, changes
// nothing.
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
		v.identity.answers[m.From.Name] = identityAnswer{receivedAt: now, message: m}
		v.evaluateAnswers(now)
	}
}

// isConfigured tells whether the configuration file names that voter.
func (v *Voter) isConfigured(name string) bool {
	return slices.ContainsFunc(v.configured, func(m Member) bool { return m.Name == name })
}

// addressOf returns a member's address by the configuration file: it may have moved since it was admitted.
func (v *Voter) addressOf(m Member) string {
	for _, configured := range v.configured {
		if configured.Name == m.Name {
			return configured.Address
		}
	}
	return m.Address
}

// isLeader tells whether Raft holds this voter for the leader. Another may have been elected meanwhile:
// HasLease rules that out.
func (v *Voter) isLeader() bool {
	return v.log.node != nil && v.log.node.BasicStatus().RaftState == raft.StateLeader
}

// leader returns the leader as far as this voter knows; the zero Member: none is known.
func (v *Voter) leader() Member {
	if v.log.node == nil {
		return Member{}
	}
	return v.log.members[v.log.node.BasicStatus().Lead]
}

// LeaderAddress returns the leader's address by the configuration file; empty: none is known.
func (v *Voter) LeaderAddress() string {
	leader := v.leader()
	if leader.Name == "" {
		return ""
	}
	return v.addressOf(leader)
}
