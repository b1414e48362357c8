// Package consensus has a few voters agree on one list of entries, each with a number that only grows. The
// agreement is Raft's (go.etcd.io/raft); here is what lies around it: who is a voter, by the disk it keeps
// its votes on; that nothing is spoken of before it is on that disk; and for how long a leader may hold that
// it leads. It touches no disk, socket or clock: frames and times come in, what is to be saved and sent goes
// out, and what is to be sent waits until the caller has told that it is durable. Times are milliseconds.
package consensus

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	tickMillis                  = 50.0
	heartbeatTicks              = 2  // ticks between two words of the leader
	electionTicks               = 12 // ticks without a word of it, after which another may be voted for
	leaseFraction               = 0.7
	leaseMillis                 = leaseFraction * electionTicks * tickMillis // from when a majority's answers were asked for
	renewIntervalMillis         = heartbeatTicks * tickMillis
	identityQueryIntervalMillis = 200.0
	answerFreshMillis           = 1000.0 // an answer that is older says nothing
	confirmDelayMillis          = electionTicks * tickMillis
	compactionThreshold         = 64    // entries kept, above which a snapshot stands for them
	maxMessageBytes             = 60000 // bytes, of a datagram
	maxStateMachineBytes        = 8 << 20
	maxEntryBytes               = 8000 // of an entry
	maxPendingEntries           = 64   // entries proposed here and not decided
	maxCatchUpTicks             = 2 * electionTicks
	durableVersion              = 1
)

// Member is one voter on one disk. With another disk it is another member.
type Member struct {
	Name    string `json:"Name"`
	Disk    string `json:"Disk"`
	Address string `json:"Address"`
}

// ID is the member's number to Raft.
func (m Member) ID() uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\x00%s", m.Name, m.Disk)
	return max(sum.Sum64(), 1)
}

// StateMachine is what the entries are applied to, in their order, at all voters alike.
type StateMachine interface {
	Apply(number uint64, data []byte)
	Snapshot() []byte
	Restore(data []byte) error
}

// identityClaim is how far a member has come: its starts on its disk, its term, and its log's end. Life is drawn at
// each start, against two of one copied disk that count alike.
type identityClaim struct {
	Boot        uint64 `json:"Boot"`
	Incarnation uint64 `json:"Life"`
	Term        uint64 `json:"Term"`
	Index       uint64 `json:"Index"`
}

// isBehind tells whether what a member says of itself is older than what it is known to have said: its disk
// has lost votes or entries that others went by.
func (c identityClaim) isBehind(known identityClaim) bool {
	return c.Boot <= known.Boot || c.Term < known.Term || (c.Term == known.Term && c.Index < known.Index)
}

// durableState is all that a voter keeps.
type durableState struct {
	Version     int                      `json:"Version"`
	Self        Member                   `json:"Me"`
	Boot        uint64                   `json:"Boot"`
	Founders    []Member                 `json:"Founders"` // empty: it belongs to no council yet
	HardState   []byte                   `json:"Hard"`
	Snapshot    []byte                   `json:"Snapshot"`
	Entries     [][]byte                 `json:"Entries"`
	KnownClaims map[uint64]identityClaim `json:"Known"`
}

// message is what goes between voters: a message of Raft's, a question about the sender, or the answer to one.
type message struct {
	From            Member                   `json:"From"`
	RaftMessage     []byte                   `json:"Raft,omitempty"`
	IsIdentityQuery bool                     `json:"Asks,omitempty"`
	Claim           identityClaim            `json:"Claim"`
	IsFounded       bool                     `json:"Formed"`
	Members         []Member                 `json:"Members,omitempty"` // founders, where Formed; else newcomers as it sees them
	KnownClaim      identityClaim            `json:"Known"`             // of who asked
	ClaimsByMember  map[uint64]identityClaim `json:"All,omitempty"`     // from who leads: what it knows of each
}

// OutgoingMessage is a frame for an address.
type OutgoingMessage struct {
	To   string
	Data []byte
}

// Ready is what is to be done: to save, and once that is durable, to send and to say Saved.
type Ready struct {
	DurableState []byte // nil: nothing
	Messages     []OutgoingMessage
}

// plantedFaults are wrong on purpose, for tests of the checks.
type plantedFaults struct {
	sendUnsaved     bool    // speaks of what is on no disk
	leaseFactor     float64 // so many times as long
	voteEarly       bool    // just after a start, as if nothing had been answered before it
	acceptStaleDisk bool    // goes on with an older disk
}

// Voter is one.
type Voter struct {
	configured   []Member // of all voters, by the operators' file: names and addresses
	self         Member
	boot         uint64
	incarnation  uint64
	stateMachine StateMachine
	rng          *rand.Rand
	faults       plantedFaults

	founders            []Member
	node                *raft.RawNode
	storage             *raft.MemoryStorage
	members             map[uint64]Member
	sponsor             Member // that lets this one in
	confState           raftpb.ConfState
	appliedIndex        uint64
	knownClaims         map[uint64]identityClaim
	answers             map[string]identityAnswer // by name
	diskConfirmed       bool
	startedAt           float64
	tickedAt            float64
	nextIdentityQueryAt float64
	nextRenewalAt       float64
	leaseRenewedAt      float64 // when that was asked for, which a majority answered
	renewalSequence     uint64
	renewalRequestedAt  map[uint64]float64
	unappliedRenewals   []raft.ReadState // answered, and not applied so far yet
	ready               *raft.Ready      // taken, and not saved yet
	saving              bool
	dirty               bool // something is to be saved
	outbox              []OutgoingMessage
	oversizedMessages   int                       // frames that were too long for a datagram
	diskDiscardedReason string                    // why it has put its former disk aside
	candidates          map[string]identityAnswer // questions of voters with a new disk, by name
}

type identityAnswer struct {
	receivedAt float64
	message
}

// New starts a voter: its name and address, those of all voters, and what its disk has (nil: nothing).
func New(now float64, me Member, names []Member, disk []byte, machine StateMachine,
	chance *rand.Rand) (*Voter, error) {
	v := &Voter{configured: names, self: me, stateMachine: machine, rng: chance, startedAt: now, tickedAt: now,
		leaseRenewedAt: math.Inf(-1), knownClaims: map[uint64]identityClaim{}, incarnation: chance.Uint64()}
	if !v.isConfigured(me.Name) {
		return nil, fmt.Errorf("council: %q is none of the voters", me.Name)
	}
	var kept durableState
	if len(disk) > 0 {
		if err := json.Unmarshal(disk, &kept); err != nil {
			return nil, fmt.Errorf("council: disk: %w", err)
		}
		if kept.Version != durableVersion {
			return nil, fmt.Errorf("council: disk: version %d expected, got %d", durableVersion, kept.Version)
		}
	}
	if kept.Self.Name != me.Name || kept.Self.Disk == "" { // none, or another's
		v.resetToNewDisk()
		return v, nil
	}
	v.self.Disk, v.boot, v.founders, v.dirty = kept.Self.Disk, kept.Boot+1, kept.Founders, true
	if kept.KnownClaims != nil {
		v.knownClaims = kept.KnownClaims
	}
	v.clearPeers()
	if err := v.loadDurable(&kept); err != nil {
		return nil, fmt.Errorf("council: disk: %w", err)
	}
	return v, nil
}

func (v *Voter) isConfigured(name string) bool {
	return slices.ContainsFunc(v.configured, func(m Member) bool { return m.Name == name })
}

// resetToNewDisk has the voter begin on a disk that is new, under a name of its own: no vote was ever given by it.
func (v *Voter) resetToNewDisk() {
	v.self.Disk, v.boot, v.founders = fmt.Sprintf("%016x", v.rng.Uint64()), 1, nil
	v.clearPeers()
	v.node, v.storage, v.appliedIndex, v.ready, v.diskConfirmed = nil, raft.NewMemoryStorage(), 0, nil, false
	v.confState, v.dirty = raftpb.ConfState{}, true // what is being saved now goes before it
	v.leaseRenewedAt, v.unappliedRenewals = math.Inf(-1), nil
}

func (v *Voter) clearPeers() {
	v.members, v.answers, v.renewalRequestedAt = map[uint64]Member{}, map[string]identityAnswer{}, map[uint64]float64{}
	v.candidates = map[string]identityAnswer{}
}

// snapshotData is what stands for entries that are not kept any more.
type snapshotData struct {
	Members         []Member `json:"Members"`
	CompressedState []byte   `json:"Machine"`
}

func (v *Voter) loadDurable(kept *durableState) error {
	v.storage = raft.NewMemoryStorage()
	var s raftpb.Snapshot
	if err := s.Unmarshal(kept.Snapshot); err != nil {
		return err
	}
	var hard raftpb.HardState
	if err := hard.Unmarshal(kept.HardState); err != nil {
		return err
	}
	var entries []raftpb.Entry
	for _, text := range kept.Entries {
		var e raftpb.Entry
		if err := e.Unmarshal(text); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	if raft.IsEmptySnap(s) && raft.IsEmptyHardState(hard) && len(entries) == 0 {
		return nil
	}
	if !raft.IsEmptySnap(s) {
		if err := v.storage.ApplySnapshot(s); err != nil {
			return err
		}
		if err := v.restoreSnapshot(s); err != nil {
			return err
		}
	}
	v.storage.SetHardState(hard)
	if err := v.storage.Append(entries); err != nil {
		return err
	}
	return v.startRaft()
}

func (v *Voter) startRaft() (err error) {
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.self.ID(), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: v.storage, Applied: v.appliedIndex, MaxSizePerMsg: maxEntryBytes, MaxInflightMsgs: 16,
		MaxUncommittedEntriesSize: maxPendingEntries * maxEntryBytes, CheckQuorum: true, PreVote: true, Logger: raftLogger{},
		DisableProposalForwarding: true})
	return err
}

func (v *Voter) restoreSnapshot(s raftpb.Snapshot) error {
	var kept snapshotData
	if err := json.Unmarshal(s.Data, &kept); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	v.members = map[uint64]Member{}
	for _, m := range kept.Members {
		v.members[m.ID()] = m
	}
	machine, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(kept.CompressedState)), maxStateMachineBytes))
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	v.appliedIndex, v.confState = s.Metadata.Index, s.Metadata.ConfState
	return v.stateMachine.Restore(machine)
}

// compressState is the machine as it goes into a snapshot: a datagram has to hold that.
func (v *Voter) compressState() []byte {
	var to bytes.Buffer
	w, _ := flate.NewWriter(&to, flate.BestCompression) // of a level that there is, into memory
	w.Write(v.stateMachine.Snapshot())
	w.Close()
	return to.Bytes()
}

// bootstrap begins a council of those members, all of them on disks that are new.
func (v *Voter) bootstrap(founders []Member) {
	conf := raftpb.ConfState{}
	for _, m := range founders {
		conf.Voters = append(conf.Voters, m.ID())
	}
	data, _ := json.Marshal(snapshotData{Members: founders, CompressedState: v.compressState()}) // of plain values
	s := raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{ConfState: conf, Index: 1, Term: 1}}
	v.storage = raft.NewMemoryStorage()
	err := v.storage.ApplySnapshot(s)
	if err == nil {
		v.storage.SetHardState(raftpb.HardState{Term: 1, Commit: 1})
		err = v.restoreSnapshot(s)
	}
	if err == nil {
		err = v.startRaft()
	}
	if err == nil {
		v.founders, v.diskConfirmed, v.dirty = founders, true, true
	}
}

// ownClaim is how far this voter has come.
func (v *Voter) ownClaim() identityClaim {
	c := identityClaim{Boot: v.boot, Incarnation: v.incarnation}
	if hard, _, err := v.storage.InitialState(); err == nil {
		c.Term = hard.Term
	}
	c.Index, _ = v.storage.LastIndex()
	return c
}

// Tick goes on to that time.
func (v *Voter) Tick(now float64) {
	if now >= v.nextIdentityQueryAt && (!v.diskConfirmed || len(v.founders) == 0) {
		v.nextIdentityQueryAt = now + identityQueryIntervalMillis
		for _, m := range v.configured { // for their word on this voter
			if m.Name != v.self.Name {
				v.send(m.Address, message{IsIdentityQuery: true})
			}
		}
		v.evaluateAnswers(now) // one voter has nobody to hear from
	}
	for n := 0; now >= v.tickedAt+tickMillis; n++ {
		if v.tickedAt += tickMillis; n > maxCatchUpTicks { // it was stopped: more of them say no more
			v.tickedAt = now
		}
		if v.node != nil && v.diskConfirmed {
			v.node.Tick()
		}
	}
	if v.node == nil || !v.isLeader() {
		return
	}
	if now >= v.nextRenewalAt {
		v.nextRenewalAt = now + renewIntervalMillis
		v.renewalSequence++
		v.renewalRequestedAt[v.renewalSequence] = now
		delete(v.renewalRequestedAt, v.renewalSequence-electionTicks)
		v.node.ReadIndex([]byte(fmt.Sprint(v.renewalSequence)))
	}
	v.replaceMembers(now)
}

func (v *Voter) send(to string, f message) {
	f.From, f.Claim, f.Members = v.self, v.ownClaim(), v.founders
	if f.IsFounded = len(v.founders) > 0; !f.IsFounded {
		f.Members = v.newcomers()
	}
	data, err := json.Marshal(f)
	if err != nil || len(data) > maxMessageBytes {
		v.oversizedMessages++
		return
	}
	v.outbox = append(v.outbox, OutgoingMessage{to, data})
}

// Receive takes a frame. One that can't be changes nothing.
func (v *Voter) Receive(now float64, data []byte) {
	var f message
	if len(data) > maxMessageBytes || json.Unmarshal(data, &f) != nil || f.From.Disk == "" ||
		f.From.Name == v.self.Name ||
		!v.isConfigured(f.From.Name) {
		return
	}
	switch {
	case f.RaftMessage != nil:
		v.stepRaft(now, f)
	case f.IsIdentityQuery:
		known := v.knownClaims[f.From.ID()]
		if f.Claim.Boot == known.Boot && f.Claim.Incarnation == known.Incarnation {
			known.Boot-- // it says so again, in one life
		}
		v.send(v.addressOf(f.From), message{KnownClaim: known})
		if !f.IsFounded && len(v.founders) > 0 {
			v.candidates[f.From.Name] = identityAnswer{now, f}
		}
	default:
		v.answers[f.From.Name] = identityAnswer{now, f}
		v.evaluateAnswers(now)
	}
}

// addressOf goes by the operators' file: a member may have moved since it was let in.
func (v *Voter) addressOf(m Member) string {
	for _, n := range v.configured {
		if n.Name == m.Name {
			return n.Address
		}
	}
	return m.Address
}

// newcomers are the voters on disks that are new, as they are seen from here, by name.
func (v *Voter) newcomers() []Member {
	all := []Member{v.self}
	for _, a := range v.answers {
		if !a.IsFounded {
			all = append(all, a.From)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// evaluateAnswers goes by what others say of this voter: whether its disk is the one they know, and whether all are
// new.
func (v *Voter) evaluateAnswers(now float64) {
	own, heard, fresh, all := v.ownClaim(), 0, 0, v.newcomers()
	var founders []Member
	for name, a := range v.answers {
		if now > a.receivedAt+answerFreshMillis {
			continue
		}
		if !v.diskConfirmed && own.isBehind(a.KnownClaim) && !v.faults.acceptStaleDisk {
			v.diskDiscardedReason = fmt.Sprintf("%s knows of start %d, term %d, entry %d; the disk has %d, %d, %d", name,
				a.KnownClaim.Boot, a.KnownClaim.Term, a.KnownClaim.Index, own.Boot, own.Term, own.Index)
			v.knownClaims = map[uint64]identityClaim{}
			v.resetToNewDisk()
			return
		}
		if heard++; !a.IsFounded && slices.Equal(a.Members, all) {
			fresh++
		} else if a.IsFounded && slices.Contains(a.Members, v.self) {
			founders = a.Members
		}
	}
	switch {
	case v.node != nil:
		// With itself a majority, and all had the time to object: who leads knows best, and tells the
		// others. And not before whoever leads by what this voter answered before its start can't hold that
		// any more.
		v.diskConfirmed = v.diskConfirmed || (2*(heard+1) > len(v.configured) && (now >= v.startedAt+confirmDelayMillis || v.faults.voteEarly))
	case founders != nil:
		v.bootstrap(founders)
	case len(all) == len(v.configured) && fresh == len(v.configured)-1: // and all see the same
		v.bootstrap(all)
	}
}

// stepRaft gives Raft a message.
func (v *Voter) stepRaft(now float64, f message) {
	var m raftpb.Message
	if m.Unmarshal(f.RaftMessage) != nil || m.To != v.self.ID() || m.From != f.From.ID() {
		return
	}
	known := v.knownClaims[m.From]
	if f.Claim.Boot < known.Boot || (f.Claim.Boot == known.Boot && f.Claim.Incarnation != known.Incarnation) {
		return // of a former life, or of a copy
	}
	if v.node == nil { // on a new disk, and let in by a leader
		if m.Type == raftpb.MsgVote || m.Type == raftpb.MsgPreVote || !f.IsFounded || v.startRaft() != nil {
			return
		}
		v.diskConfirmed = true
	}
	if len(v.founders) == 0 {
		v.sponsor = f.From
	}
	if !v.diskConfirmed {
		return
	}
	known.Boot, known.Incarnation = f.Claim.Boot, f.Claim.Incarnation
	if m.Type != raftpb.MsgPreVote && m.Type != raftpb.MsgPreVoteResp && m.Term > known.Term {
		known.Term, known.Index = m.Term, 0
	}
	if m.Type == raftpb.MsgAppResp && !m.Reject && m.Term == known.Term {
		known.Index = max(known.Index, m.Index)
	} else if m.Type == raftpb.MsgApp { // what a leader sends is on its disk
		known.Index = max(known.Index, m.Index+uint64(len(m.Entries)))
	}
	v.knownClaims[m.From] = known
	for id, c := range f.ClaimsByMember {
		if had := v.knownClaims[id]; id != v.self.ID() && id != m.From && (c.Boot > had.Boot || (c.Boot == had.Boot &&
			(c.Term > had.Term || (c.Term == had.Term && c.Index > had.Index)))) {
			v.knownClaims[id] = c
		}
	}
	v.node.Step(m)
}

// The errors of Propose.
var (
	ErrNotLeader = errors.New("council: this voter does not lead")
	ErrBusy      = errors.New("council: too much waits to be decided")
	ErrEntrySize = fmt.Errorf("council: an entry has 1 to %d bytes", maxEntryBytes)
)

// Propose has an entry decided, where this voter leads. That it was is told by its being applied.
func (v *Voter) Propose(now float64, data []byte) error {
	switch {
	case len(data) == 0 || len(data) > maxEntryBytes:
		return ErrEntrySize
	case !v.HasLease(now):
		return ErrNotLeader
	case v.node.Propose(data) != nil:
		return ErrBusy
	}
	return nil
}

func (v *Voter) isLeader() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// HasLease tells whether this voter leads, and nobody else can: a majority has answered it a short while ago.
func (v *Voter) HasLease(now float64) bool {
	return v.node != nil && v.isLeader() && now < v.leaseRenewedAt+leaseMillis*max(v.faults.leaseFactor, 1)
}

// LeaseRenewedAt is when those words went out that a majority answered: what another may have decided came later.
func (v *Voter) LeaseRenewedAt() float64 { return v.leaseRenewedAt }

// Leader is the member that leads as far as this voter knows; the zero one: none.
func (v *Voter) Leader() Member {
	if v.node == nil {
		return Member{}
	}
	return v.members[v.node.BasicStatus().Lead]
}

// LeaderAddress is where it is reached, by the operators' file.
func (v *Voter) LeaderAddress() string {
	if m := v.Leader(); m.Name != "" {
		return v.addressOf(m)
	}
	return ""
}

// replaceMembers has the leader let a voter in whose disk is new, one at a time: first to learn, then in place of
// its former disk, by one entry.
func (v *Voter) replaceMembers(now float64) {
	if len(v.candidates) == 0 || !v.HasLease(now) || len(v.confState.VotersOutgoing) > 0 {
		return
	}
	propose := func(m Member, changes ...raftpb.ConfChangeSingle) {
		text, _ := json.Marshal(m) // of plain values
		// What is refused, as another change is under way, is tried again.
		v.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: text})
	}
	for _, name := range slices.Sorted(maps.Keys(v.candidates)) {
		a := v.candidates[name]
		id := a.From.ID()
		if now > a.receivedAt+answerFreshMillis || slices.Contains(v.confState.Voters, id) {
			delete(v.candidates, name)
			continue
		}
		if !slices.Contains(v.confState.Learners, id) {
			if len(v.confState.Learners) > 0 { // one that did not get further
				propose(Member{}, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode,
					NodeID: v.confState.Learners[0]})
			} else {
				propose(a.From, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
			}
			return
		}
		status := v.node.Status()
		if status.Progress[id].Match+1 < status.Commit {
			return
		}
		changes := []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode, NodeID: id}}
		for _, old := range v.confState.Voters {
			if v.members[old].Name == name {
				changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
			}
		}
		propose(a.From, changes...)
		return
	}
}

// Ready gives what is to be done now. While something is being saved, nothing more comes.
func (v *Voter) Ready() (out Ready) {
	if v.saving {
		return out
	}
	if v.node != nil && v.node.HasReady() {
		rd := v.node.Ready()
		v.ready = &rd
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.storage.ApplySnapshot(rd.Snapshot)
			v.dirty = true
		}
		v.storage.Append(rd.Entries)
		if !raft.IsEmptyHardState(rd.HardState) {
			v.storage.SetHardState(rd.HardState)
		}
		v.dirty = v.dirty || rd.MustSync
		for _, m := range rd.Messages {
			to, there := v.members[m.To]
			if !there && m.To == v.sponsor.ID() { // it lets this one in, which knows nobody yet
				to, there = v.sponsor, true
			}
			if there {
				if text, err := m.Marshal(); err == nil {
					f := message{RaftMessage: text}
					if m.Type == raftpb.MsgApp || m.Type == raftpb.MsgHeartbeat {
						f.ClaimsByMember = v.knownClaims
					}
					v.send(v.addressOf(to), f)
				}
			}
		}
	}
	out.Messages, v.outbox = v.outbox, nil
	if v.dirty && !v.faults.sendUnsaved {
		out.DurableState, v.saving = v.encodeDurable(), true
	}
	if v.dirty = false; !v.saving {
		v.Advance()
	}
	return out
}

func (v *Voter) encodeDurable() []byte {
	d := durableState{Version: durableVersion, Self: v.self, Boot: v.boot, Founders: v.founders, KnownClaims: v.knownClaims}
	hard, _, _ := v.storage.InitialState() // none of these fails, as all is in memory
	d.HardState, _ = hard.Marshal()
	s, _ := v.storage.Snapshot()
	d.Snapshot, _ = s.Marshal()
	first, _ := v.storage.FirstIndex()
	last, _ := v.storage.LastIndex()
	if last >= first {
		entries, _ := v.storage.Entries(first, last+1, math.MaxUint64)
		for i := range entries {
			text, _ := entries[i].Marshal()
			d.Entries = append(d.Entries, text)
		}
	}
	text, _ := json.Marshal(d)
	return text
}

// Advance says that what Next gave last is durable: what was decided by it is applied.
func (v *Voter) Advance() {
	rd := v.ready
	if v.ready, v.saving = nil, false; rd == nil {
		return
	}
	if !raft.IsEmptySnap(rd.Snapshot) && v.restoreSnapshot(rd.Snapshot) == nil && len(v.founders) == 0 {
		for _, id := range v.confState.Voters {
			v.founders = append(v.founders, v.members[id])
		}
		v.dirty = true
	}
	for _, e := range rd.CommittedEntries {
		v.applyEntry(e)
	}
	v.unappliedRenewals = append(v.unappliedRenewals, rd.ReadStates...)
	v.unappliedRenewals = slices.DeleteFunc(v.unappliedRenewals, func(r raft.ReadState) bool {
		var n uint64
		if _, err := fmt.Sscan(string(r.RequestCtx), &n); err == nil && r.Index <= v.appliedIndex && v.renewalRequestedAt[n] > 0 {
			v.leaseRenewedAt = max(v.leaseRenewedAt, v.renewalRequestedAt[n])
			delete(v.renewalRequestedAt, n)
		}
		return r.Index <= v.appliedIndex
	})
	v.node.Advance(*rd)
	for _, m := range rd.Messages {
		if m.Type == raftpb.MsgSnap {
			// A datagram tells nobody that it was lost, and Raft sends nothing more until it is told how that
			// went. Held to have come: where it has not, the next entry is refused, and the snapshot goes again.
			v.node.ReportSnapshot(m.To, raft.SnapshotFinish)
		}
	}
	v.compactLog(compactionThreshold)
}

func (v *Voter) applyEntry(e raftpb.Entry) {
	v.appliedIndex = e.Index
	var change raftpb.ConfChangeV2
	switch {
	case len(e.Data) == 0 && e.Type == raftpb.EntryNormal: // a leader's first
		return
	case e.Type == raftpb.EntryNormal:
		v.stateMachine.Apply(e.Index, e.Data)
		return
	case e.Type == raftpb.EntryConfChange: // the simple form of one change
		var one raftpb.ConfChange
		if one.Unmarshal(e.Data) != nil {
			return
		}
		change = one.AsV2()
	case change.Unmarshal(e.Data) != nil:
		return
	}
	var m Member
	if len(change.Context) > 0 && json.Unmarshal(change.Context, &m) == nil && m.Disk != "" {
		v.members[m.ID()] = m
	}
	v.confState = *v.node.ApplyConfChange(change)
	defer v.compactLog(0) // one that begins to learn takes no snapshot that does not know of it
	maps.DeleteFunc(v.members, func(id uint64, _ Member) bool {
		return !slices.Contains(v.confState.Voters, id) && !slices.Contains(v.confState.Learners, id) &&
			!slices.Contains(v.confState.VotersOutgoing, id)
	})
}

// compactLog has a snapshot stand for the entries applied, so that neither memory nor disk grows.
func (v *Voter) compactLog(over uint64) {
	first, err := v.storage.FirstIndex()
	if err != nil || v.appliedIndex < first+over {
		return
	}
	kept := snapshotData{CompressedState: v.compressState()}
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		kept.Members = append(kept.Members, v.members[id])
	}
	data, _ := json.Marshal(kept) // of plain values
	if _, err := v.storage.CreateSnapshot(v.appliedIndex, &v.confState, data); err == nil {
		v.storage.Compact(v.appliedIndex)
		v.dirty = true
	}
}

// Status is what operators are told of a voter.
type Status struct {
	Self                Member   `json:"Me"`
	Boot                uint64   `json:"Boot"`
	Role                string   `json:"Role"`
	Leader              string   `json:"Leader"`
	Term                uint64   `json:"Term"`
	AppliedIndex        uint64   `json:"Applied"`
	Voters              []Member `json:"Voters"`
	Learners            []Member `json:"Learners"`
	DiskConfirmed       bool     `json:"Vouched"` // a majority holds its disk for the latest
	OversizedMessages   int      `json:"Unsaid"`  // frames that were too long: a new disk may not come in
	DiskDiscardedReason string   `json:"Aside"`   // why it put its former disk aside, in this life
}

// Status is how things stand.
func (v *Voter) Status() Status {
	s := Status{Self: v.self, Boot: v.boot, Role: "waiting to be let in", DiskConfirmed: v.diskConfirmed, DiskDiscardedReason: v.diskDiscardedReason,
		OversizedMessages: v.oversizedMessages,
		AppliedIndex:      v.appliedIndex, Leader: v.Leader().Name}
	if v.node != nil {
		basic := v.node.BasicStatus()
		s.Role, s.Term = basic.RaftState.String(), basic.Term
	}
	for _, id := range v.confState.Voters {
		s.Voters = append(s.Voters, v.members[id])
	}
	for _, id := range v.confState.Learners {
		s.Learners = append(s.Learners, v.members[id])
	}
	return s
}

// raftLogger is no log: the caller sees all by Status. What Raft holds to be impossible ends the process, as
// nothing that it says is worth anything then.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
