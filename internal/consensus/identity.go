package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// A voter that starts may have an older disk than it had (a restored backup, a copy), and then lacks votes
// and entries that others went by. So it asks the others what they know of it before it takes part, and
// begins anew on a disk of a new name where they know more than the disk holds.

const (
	identityQueryIntervalMillis = 200.0
	answerFreshMillis           = 1000.0                     // an older answer counts for nothing
	confirmDelayMillis          = electionTicks * tickMillis // before a started voter takes part
)

// identityClaim is how far a member has come.
type identityClaim struct {
	Boot        uint64 `json:"Boot"` // starts on its disk
	Incarnation uint64 `json:"Life"` // drawn at each start, as two voters on copies of one disk count alike
	Term        uint64 `json:"Term"`
	Index       uint64 `json:"Index"` // of its log's last entry
}

// isBehind tells whether what a starting member says of itself is behind what it is known to have said: its
// disk has lost votes or entries that others went by.
func (c identityClaim) isBehind(known identityClaim) bool {
	return c.Boot <= known.Boot || c.Term < known.Term || (c.Term == known.Term && c.Index < known.Index)
}

// isNewerThan tells whether a claim, heard from a third member, goes beyond what is known.
func (c identityClaim) isNewerThan(known identityClaim) bool {
	if c.Boot != known.Boot {
		return c.Boot > known.Boot
	}
	if c.Term != known.Term {
		return c.Term > known.Term
	}
	return c.Index > known.Index
}

// identityAnswer is another voter's message about this voter, or about itself.
type identityAnswer struct {
	receivedAt float64
	message    message
}

// identityCheck is what this voter knows of the members' identities, its own above all.
type identityCheck struct {
	startedAt   float64
	nextQueryAt float64
	known       map[uint64]identityClaim  // of the other members, by Raft's number
	answers     map[string]identityAnswer // to this voter's queries, by the name of who answered

	// confirmed: no majority knows more of this voter than its disk holds, or the disk is new. Before that
	// the voter neither votes nor answers Raft.
	confirmed bool
	// discardedReason is why this process has discarded the disk that it found; empty: it has not.
	discardedReason string
}

// ownClaim returns how far this voter has come.
func (v *Voter) ownClaim() identityClaim {
	c := identityClaim{Boot: v.boot, Incarnation: v.incarnation}
	if hardState, _, err := v.log.storage.InitialState(); err == nil {
		c.Term = hardState.Term
	}
	c.Index, _ = v.log.storage.LastIndex() // in memory: it doesn't fail
	return c
}

// queryIdentity asks the others what they know of this voter, until it belongs to a cluster and its disk is
// confirmed.
func (v *Voter) queryIdentity(now float64) {
	if now < v.identity.nextQueryAt || (v.identity.confirmed && len(v.founders) > 0) {
		return
	}
	v.identity.nextQueryAt = now + identityQueryIntervalMillis
	for _, m := range v.configured {
		if m.Name != v.self.Name {
			v.send(m.Address, message{IsIdentityQuery: true})
		}
	}
	v.evaluateAnswers(now) // a single voter has nobody who answers
}

// answerIdentityQuery tells a voter what is known of it.
func (v *Voter) answerIdentityQuery(now float64, query message) {
	known := v.identity.known[query.From.ID()]
	if query.Claim.Boot == known.Boot && query.Claim.Incarnation == known.Incarnation {
		// The voter asks again in the same start. It takes an equal number for a start from a copied disk, so it is
		// told one less.
		known.Boot--
	}
	v.send(v.addressOf(query.From), message{KnownClaim: known})
	if !query.HasCluster && len(v.founders) > 0 {
		v.replacement.candidates[query.From.Name] = identityAnswer{receivedAt: now, message: query}
	}
}

// newcomers returns the voters on new disks as this voter sees them, itself included, by name.
func (v *Voter) newcomers() []Member {
	all := []Member{v.self}
	for _, answer := range v.identity.answers {
		if !answer.message.HasCluster {
			all = append(all, answer.message.From)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// evaluateAnswers goes by what the others answer: it discards this voter's disk where one of them knows more
// than it holds, confirms it after a majority's answers, or bootstraps the cluster where all are new.
func (v *Voter) evaluateAnswers(now float64) {
	own := v.ownClaim()
	newcomers := v.newcomers()
	var founders []Member // of a cluster that was bootstrapped with this voter
	answered := 0
	agreeing := 0 // newcomers that see the same newcomers as this voter
	for name, answer := range v.identity.answers {
		if now > answer.receivedAt+answerFreshMillis {
			continue
		}
		m := answer.message
		if !v.identity.confirmed && own.isBehind(m.KnownClaim) && !v.faults.acceptStaleDisk {
			v.discardDisk(name, m.KnownClaim, own)
			return
		}
		answered++
		switch {
		case !m.HasCluster && slices.Equal(m.Members, newcomers):
			agreeing++
		case m.HasCluster && slices.Contains(m.Members, v.self):
			founders = m.Members
		}
	}
	switch {
	case v.log.node != nil:
		v.confirmDisk(now, answered)
	case founders != nil:
		v.bootstrap(founders)
	case len(newcomers) == len(v.configured) && agreeing == len(v.configured)-1:
		v.bootstrap(newcomers)
	}
}

// confirmDisk lets this voter take part once a majority, itself included, has answered and all had the time to
// object: the leader knows best, and tells the others. It waits until no leader can still hold a lease by
// what this voter answered before its start.
func (v *Voter) confirmDisk(now float64, answered int) {
	hasMajority := 2*(answered+1) > len(v.configured)
	hasWaited := now >= v.identity.startedAt+confirmDelayMillis || v.faults.voteEarly
	if hasMajority && hasWaited {
		v.identity.confirmed = true
	}
}

// discardDisk has this voter begin anew, as another voter knows more of it than its disk holds.
func (v *Voter) discardDisk(informant string, known, own identityClaim) {
	v.identity.discardedReason = fmt.Sprintf("%s knows of start %d, term %d, entry %d; the disk has %d, %d, %d",
		informant, known.Boot, known.Term, known.Index, own.Boot, own.Term, own.Index)
	v.identity.known = map[uint64]identityClaim{}
	v.resetToNewDisk()
}

// bootstrap founds a cluster of these members, all of them on new disks. All of them begin with the same
// snapshot, as if it had been decided. Where that fails, the next answer leads here again.
func (v *Voter) bootstrap(founders []Member) {
	confState := raftpb.ConfState{}
	for _, m := range founders {
		confState.Voters = append(confState.Voters, m.ID())
	}
	first := raftpb.Snapshot{
		Data:     v.encodeSnapshot(founders),
		Metadata: raftpb.SnapshotMetadata{ConfState: confState, Index: 1, Term: 1},
	}
	v.log.storage = raft.NewMemoryStorage()
	if err := v.log.storage.ApplySnapshot(first); err != nil {
		return
	}
	v.log.storage.SetHardState(raftpb.HardState{Term: 1, Commit: 1}) // in memory: it doesn't fail
	if err := v.restoreSnapshot(first); err != nil {
		return
	}
	if err := v.startRaft(); err != nil {
		return
	}
	v.founders = founders
	v.identity.confirmed = true
	v.output.dirty = true
}

// receiveRaft passes another member's Raft message on to Raft, unless it is of a former start, and records how
// far that member has come.
func (v *Voter) receiveRaft(m message) {
	raftMessage, err := m.decodeRaft()
	if err != nil || raftMessage.To != v.self.ID() {
		return
	}
	known := v.identity.known[raftMessage.From]
	isFormerStart := m.Claim.Boot < known.Boot
	isCopy := m.Claim.Boot == known.Boot && m.Claim.Incarnation != known.Incarnation
	if isFormerStart || isCopy {
		return
	}
	if v.log.node == nil && !v.joinLeader(m, raftMessage) {
		return
	}
	if len(v.founders) == 0 {
		v.replacement.sponsor = m.From
	}
	if !v.identity.confirmed {
		return
	}
	v.recordClaim(m.Claim, raftMessage)
	v.mergeClaims(m.ClaimsByMember, raftMessage.From)
	v.log.node.Step(raftMessage) // what Raft refuses changes nothing
}

// joinLeader starts Raft at a voter on a new disk, as a leader has begun to send it the log.
func (v *Voter) joinLeader(m message, raftMessage raftpb.Message) bool {
	isVoteRequest := raftMessage.Type == raftpb.MsgVote || raftMessage.Type == raftpb.MsgPreVote
	if isVoteRequest || !m.HasCluster {
		return false
	}
	if err := v.startRaft(); err != nil {
		return false
	}
	v.identity.confirmed = true
	return true
}

// recordClaim records what a member's Raft message tells of its disk: a message goes out only after what it
// speaks of is durable.
func (v *Voter) recordClaim(claim identityClaim, m raftpb.Message) {
	known := v.identity.known[m.From]
	known.Boot = claim.Boot
	known.Incarnation = claim.Incarnation
	// The term of a pre-vote is the one that its sender would campaign for, and on no disk.
	isPreVote := m.Type == raftpb.MsgPreVote || m.Type == raftpb.MsgPreVoteResp
	if !isPreVote && m.Term > known.Term {
		known.Term = m.Term
		known.Index = 0
	}
	switch {
	case m.Type == raftpb.MsgAppResp && !m.Reject && m.Term == known.Term:
		known.Index = max(known.Index, m.Index)
	case m.Type == raftpb.MsgApp: // what a leader sends is on its disk
		known.Index = max(known.Index, m.Index+uint64(len(m.Entries)))
	}
	v.identity.known[m.From] = known
}

// mergeClaims takes over what a leader knows of third members.
func (v *Voter) mergeClaims(claims map[uint64]identityClaim, from uint64) {
	for id, claim := range claims {
		if id != v.self.ID() && id != from && claim.isNewerThan(v.identity.known[id]) {
			v.identity.known[id] = claim
		}
	}
}
