package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// A voter may start on a disk that is older than the one it last used (a restored backup or a copy). Such a
// disk lacks votes and entries that other voters have relied on. So a voter asks the others what they know of
// it before it takes part. If they know more than its disk holds, it discards the contents of the disk and
// starts again under a new disk ID, which makes it a new member.

const (
	identityQueryIntervalMillis = 200.0                      // between two queries about this voter's own identity
	maxAnswerAgeMillis          = 1000.0                     // older answers and queries are ignored
	confirmDelayMillis          = electionTicks * tickMillis // shortest time from a start until the voter may take part
)

// identityClaim says how far a member's state has advanced, by its own account or as others know it.
type identityClaim struct {
	Boot        uint64 `json:"Boot"` // number of starts on its disk
	Incarnation uint64 `json:"Life"` // drawn at each start, as two voters on copies of one disk have the same Boot
	Term        uint64 `json:"Term"`
	Index       uint64 `json:"Index"` // index of the last entry in its log
}

// isBehind reports whether a starting member's own claim is behind what is known of it, so that its disk has
// lost votes or entries that others have relied on. Each start on a disk increments Boot, so an equal Boot
// means another start on the same contents.
func (c identityClaim) isBehind(known identityClaim) bool {
	return c.Boot <= known.Boot || c.Term < known.Term || (c.Term == known.Term && c.Index < known.Index)
}

// isNewerThan reports whether a claim, received from a third member, is ahead of what is known.
func (c identityClaim) isNewerThan(known identityClaim) bool {
	if c.Boot != known.Boot {
		return c.Boot > known.Boot
	}
	if c.Term != known.Term {
		return c.Term > known.Term
	}
	return c.Index > known.Index
}

// receivedMessage is another voter's identity query, or its answer to one, with the time at which it came.
type receivedMessage struct {
	receivedAt float64
	message    message
}

// identityCheck is what this voter knows of the members' identities, and whether its own is confirmed.
type identityCheck struct {
	startedAt   float64
	nextQueryAt float64
	known       map[uint64]identityClaim   // claims of the other members, by Raft ID
	answers     map[string]receivedMessage // answers to this voter's queries, by the name of the voter that answered

	// confirmed is set once a majority has answered and none of the answers knows more of this voter than its
	// disk holds, or once a voter on a new disk has founded or joined a cluster. Until then the voter neither
	// votes nor answers Raft messages.
	confirmed bool
	// discardedReason is why this process has discarded the disk that it started on; empty if it has not.
	discardedReason string
}

// ownClaim returns this voter's claim about itself.
func (v *Voter) ownClaim() identityClaim {
	c := identityClaim{Boot: v.boot, Incarnation: v.incarnation}
	if hardState, _, err := v.log.storage.InitialState(); err == nil {
		c.Term = hardState.Term
	}
	c.Index, _ = v.log.storage.LastIndex() // doesn't fail, as the storage is in memory
	return c
}

// queryIdentity asks the other voters what they know of this one, until it belongs to a cluster and its disk
// is confirmed.
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
	v.evaluateAnswers(now) // a single voter gets no answer that would lead here
}

// answerIdentityQuery tells a voter what is known of it. A voter that belongs to no cluster becomes a candidate
// for admission to this one.
func (v *Voter) answerIdentityQuery(now float64, query message) {
	known := v.identity.known[query.From.ID()]
	if query.Claim.Boot == known.Boot && query.Claim.Incarnation == known.Incarnation {
		// The voter asks again in the same start. It would take an equal Boot for a start on a copy of its disk, so
		// it is told one less.
		known.Boot--
	}
	v.send(v.addressOf(query.From), message{KnownClaim: known})
	if !query.HasCluster && len(v.founders) > 0 {
		v.replacement.candidates[query.From.Name] = receivedMessage{receivedAt: now, message: query}
	}
}

// votersWithoutCluster returns the voters that belong to no cluster as far as this voter knows, sorted by name.
// This voter is always among them.
func (v *Voter) votersWithoutCluster() []Member {
	all := []Member{v.self}
	for _, answer := range v.identity.answers {
		if !answer.message.HasCluster {
			all = append(all, answer.message.From)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// evaluateAnswers acts on the answers of the other voters. It discards this voter's disk if one of them knows
// more than the disk holds, confirms the disk once a majority has answered, or bootstraps the cluster if all
// voters are on new disks or another voter has already bootstrapped it with this one.
func (v *Voter) evaluateAnswers(now float64) {
	own := v.ownClaim()
	votersWithoutCluster := v.votersWithoutCluster()
	var founders []Member // founders of a cluster that another voter has bootstrapped with this one
	answered := 0
	agreeing := 0 // voters without a cluster that list the same voters without one as this voter
	for name, answer := range v.identity.answers {
		if now > answer.receivedAt+maxAnswerAgeMillis {
			continue
		}
		m := answer.message
		if !v.identity.confirmed && own.isBehind(m.KnownClaim) && !v.faults.acceptStaleDisk {
			v.discardDisk(name, m.KnownClaim, own)
			return
		}
		answered++
		switch {
		case !m.HasCluster && slices.Equal(m.Members, votersWithoutCluster):
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
	case len(votersWithoutCluster) == len(v.configured) && agreeing == len(v.configured)-1:
		v.bootstrap(votersWithoutCluster)
	}
}

// confirmDisk lets this voter take part once a majority, itself included, has answered and confirmDelayMillis
// have passed since the start. The delay gives all voters the time to object: the leader knows most, and passes
// it on to the others. It also lasts until no leader can still hold a lease that rests on an answer which this
// voter gave before its start.
func (v *Voter) confirmDisk(now float64, answered int) {
	hasMajority := 2*(answered+1) > len(v.configured)
	hasWaited := now >= v.identity.startedAt+confirmDelayMillis || v.faults.voteEarly
	if hasMajority && hasWaited {
		v.identity.confirmed = true
	}
}

// discardDisk makes this voter start again under a new disk ID, as another voter (the reporter) knows more of
// it than its disk holds.
func (v *Voter) discardDisk(reporter string, known, own identityClaim) {
	v.identity.discardedReason = fmt.Sprintf("%s knows of start %d, term %d, entry %d; the disk has %d, %d, %d",
		reporter, known.Boot, known.Term, known.Index, own.Boot, own.Term, own.Index)
	v.identity.known = map[uint64]identityClaim{}
	v.resetToNewDisk()
}

// bootstrap founds a cluster of these members, which are all on new disks. Each of them starts with the same
// snapshot, as if it had been committed. If that fails, the next answer triggers another attempt.
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
	v.log.storage.SetHardState(raftpb.HardState{Term: 1, Commit: 1}) // doesn't fail, as the storage is in memory
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

// receiveRaft passes another member's Raft message on to Raft, and records how far that member's state has
// advanced. It drops messages from an earlier start of the member or from a copy of its disk.
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
	v.log.node.Step(raftMessage) // a message that Raft refuses changes nothing
}

// joinLeader starts Raft on a voter with a new disk, once a leader has begun to send it the log; false: the
// message is not from such a leader, or Raft could not be started.
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

// recordClaim records what a member's Raft message tells of its disk, as a message is sent only after the state
// that it refers to is durable.
func (v *Voter) recordClaim(claim identityClaim, m raftpb.Message) {
	known := v.identity.known[m.From]
	known.Boot = claim.Boot
	known.Incarnation = claim.Incarnation
	// A pre-vote carries the term in which its sender would campaign, which is not on any disk.
	isPreVote := m.Type == raftpb.MsgPreVote || m.Type == raftpb.MsgPreVoteResp
	if !isPreVote && m.Term > known.Term {
		known.Term = m.Term
		known.Index = 0
	}
	switch {
	case m.Type == raftpb.MsgAppResp && !m.Reject && m.Term == known.Term:
		known.Index = max(known.Index, m.Index)
	case m.Type == raftpb.MsgApp: // the entries that a leader sends are on its disk
		known.Index = max(known.Index, m.Index+uint64(len(m.Entries)))
	}
	v.identity.known[m.From] = known
}

// mergeClaims adopts a leader's claims about third members, where they are newer.
func (v *Voter) mergeClaims(claims map[uint64]identityClaim, from uint64) {
	for id, claim := range claims {
		if id != v.self.ID() && id != from && claim.isNewerThan(v.identity.known[id]) {
			v.identity.known[id] = claim
		}
	}
}
