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
	tick        = 50.0
	beat        = 2  // ticks between two words of the leader
	election    = 12 // ticks without a word of it, after which another may be voted for
	leasePart   = 0.7
	lease       = leasePart * election * tick // from when a majority's answers were asked for
	renewEvery  = beat * tick
	helloEvery  = 200.0
	helloFresh  = 1000.0 // an answer that is older says nothing
	vouchTime   = election * tick
	compactOver = 64    // entries kept, above which a snapshot stands for them
	mostFrame   = 60000 // bytes, of a datagram
	mostMachine = 8 << 20
	mostData    = 8000 // of an entry
	mostWaiting = 64   // entries proposed here and not decided
	mostTicks   = 2 * election
	formVersion = 1
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

// claim is how far a member has come: its starts on its disk, its term, and its log's end. Life is drawn at
// each start, against two of one copied disk that count alike.
type claim struct {
	Boot  uint64 `json:"Boot"`
	Life  uint64 `json:"Life"`
	Term  uint64 `json:"Term"`
	Index uint64 `json:"Index"`
}

// before tells whether what a member says of itself is older than what it is known to have said: its disk
// has lost votes or entries that others went by.
func (c claim) before(known claim) bool {
	return c.Boot <= known.Boot || c.Term < known.Term || (c.Term == known.Term && c.Index < known.Index)
}

// durable is all that a voter keeps.
type durable struct {
	Version  int              `json:"Version"`
	Me       Member           `json:"Me"`
	Boot     uint64           `json:"Boot"`
	Founders []Member         `json:"Founders"` // empty: it belongs to no council yet
	Hard     []byte           `json:"Hard"`
	Snapshot []byte           `json:"Snapshot"`
	Entries  [][]byte         `json:"Entries"`
	Known    map[uint64]claim `json:"Known"`
}

// frame is what goes between voters: a message of Raft's, a question about the sender, or the answer to one.
type frame struct {
	From    Member           `json:"From"`
	Raft    []byte           `json:"Raft,omitempty"`
	Asks    bool             `json:"Asks,omitempty"`
	Claim   claim            `json:"Claim"`
	Formed  bool             `json:"Formed"`
	Members []Member         `json:"Members,omitempty"` // founders, where Formed; else newcomers as it sees them
	Known   claim            `json:"Known"`             // of who asked
	All     map[uint64]claim `json:"All,omitempty"`     // from who leads: what it knows of each
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

// Faults are wrong on purpose, for tests of the checks.
type Faults struct {
	Unsaved    bool    // speaks of what is on no disk
	LongLease  float64 // so many times as long
	VotesEarly bool    // just after a start, as if nothing had been answered before it
	KeepsOld   bool    // goes on with an older disk
}

// Voter is one.
type Voter struct {
	names   []Member // of all voters, by the operators' file: names and addresses
	me      Member
	boot    uint64
	life    uint64
	machine StateMachine
	chance  *rand.Rand
	faults  Faults

	formed   []Member
	node     *raft.RawNode
	storage  *raft.MemoryStorage
	members  map[uint64]Member
	host     Member // that lets this one in
	conf     raftpb.ConfState
	applied  uint64
	known    map[uint64]claim
	answers  map[string]answer // by name
	vouched  bool
	began    float64
	ticked   float64
	helloAt  float64
	renewAt  float64
	renewed  float64 // when that was asked for, which a majority answered
	renewal  uint64
	asked    map[uint64]float64
	renewals []raft.ReadState // answered, and not applied so far yet
	ready    *raft.Ready      // taken, and not saved yet
	saving   bool
	pending  bool // something is to be saved
	words    []OutgoingMessage
	unsaid   int               // frames that were too long for a datagram
	aside    string            // why it has put its former disk aside
	fresh    map[string]answer // questions of voters with a new disk, by name
}

type answer struct {
	at float64
	frame
}

// New starts a voter: its name and address, those of all voters, and what its disk has (nil: nothing).
func New(now float64, me Member, names []Member, disk []byte, machine StateMachine,
	chance *rand.Rand) (*Voter, error) {
	v := &Voter{names: names, me: me, machine: machine, chance: chance, began: now, ticked: now,
		renewed: math.Inf(-1), known: map[uint64]claim{}, life: chance.Uint64()}
	if !v.named(me.Name) {
		return nil, fmt.Errorf("council: %q is none of the voters", me.Name)
	}
	var kept durable
	if len(disk) > 0 {
		if err := json.Unmarshal(disk, &kept); err != nil {
			return nil, fmt.Errorf("council: disk: %w", err)
		}
		if kept.Version != formVersion {
			return nil, fmt.Errorf("council: disk: version %d expected, got %d", formVersion, kept.Version)
		}
	}
	if kept.Me.Name != me.Name || kept.Me.Disk == "" { // none, or another's
		v.blank()
		return v, nil
	}
	v.me.Disk, v.boot, v.formed, v.pending = kept.Me.Disk, kept.Boot+1, kept.Founders, true
	if kept.Known != nil {
		v.known = kept.Known
	}
	v.clear()
	if err := v.load(&kept); err != nil {
		return nil, fmt.Errorf("council: disk: %w", err)
	}
	return v, nil
}

func (v *Voter) named(name string) bool {
	return slices.ContainsFunc(v.names, func(m Member) bool { return m.Name == name })
}

// blank has the voter begin on a disk that is new, under a name of its own: no vote was ever given by it.
func (v *Voter) blank() {
	v.me.Disk, v.boot, v.formed = fmt.Sprintf("%016x", v.chance.Uint64()), 1, nil
	v.clear()
	v.node, v.storage, v.applied, v.ready, v.vouched = nil, raft.NewMemoryStorage(), 0, nil, false
	v.conf, v.pending = raftpb.ConfState{}, true // what is being saved now goes before it
	v.renewed, v.renewals = math.Inf(-1), nil
}

func (v *Voter) clear() {
	v.members, v.answers, v.asked = map[uint64]Member{}, map[string]answer{}, map[uint64]float64{}
	v.fresh = map[string]answer{}
}

// snapshot is what stands for entries that are not kept any more.
type snapshot struct {
	Members []Member `json:"Members"`
	Machine []byte   `json:"Machine"`
}

func (v *Voter) load(kept *durable) error {
	v.storage = raft.NewMemoryStorage()
	var s raftpb.Snapshot
	if err := s.Unmarshal(kept.Snapshot); err != nil {
		return err
	}
	var hard raftpb.HardState
	if err := hard.Unmarshal(kept.Hard); err != nil {
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
		if err := v.restore(s); err != nil {
			return err
		}
	}
	v.storage.SetHardState(hard)
	if err := v.storage.Append(entries); err != nil {
		return err
	}
	return v.begin()
}

func (v *Voter) begin() (err error) {
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.me.ID(), ElectionTick: election, HeartbeatTick: beat,
		Storage: v.storage, Applied: v.applied, MaxSizePerMsg: mostData, MaxInflightMsgs: 16,
		MaxUncommittedEntriesSize: mostWaiting * mostData, CheckQuorum: true, PreVote: true, Logger: silent{},
		DisableProposalForwarding: true})
	return err
}

func (v *Voter) restore(s raftpb.Snapshot) error {
	var kept snapshot
	if err := json.Unmarshal(s.Data, &kept); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	v.members = map[uint64]Member{}
	for _, m := range kept.Members {
		v.members[m.ID()] = m
	}
	machine, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(kept.Machine)), mostMachine))
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	v.applied, v.conf = s.Metadata.Index, s.Metadata.ConfState
	return v.machine.Restore(machine)
}

// packed is the machine as it goes into a snapshot: a datagram has to hold that.
func (v *Voter) packed() []byte {
	var to bytes.Buffer
	w, _ := flate.NewWriter(&to, flate.BestCompression) // of a level that there is, into memory
	w.Write(v.machine.Snapshot())
	w.Close()
	return to.Bytes()
}

// found begins a council of those members, all of them on disks that are new.
func (v *Voter) found(founders []Member) {
	conf := raftpb.ConfState{}
	for _, m := range founders {
		conf.Voters = append(conf.Voters, m.ID())
	}
	data, _ := json.Marshal(snapshot{Members: founders, Machine: v.packed()}) // of plain values
	s := raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{ConfState: conf, Index: 1, Term: 1}}
	v.storage = raft.NewMemoryStorage()
	err := v.storage.ApplySnapshot(s)
	if err == nil {
		v.storage.SetHardState(raftpb.HardState{Term: 1, Commit: 1})
		err = v.restore(s)
	}
	if err == nil {
		err = v.begin()
	}
	if err == nil {
		v.formed, v.vouched, v.pending = founders, true, true
	}
}

// claim is how far this voter has come.
func (v *Voter) claim() claim {
	c := claim{Boot: v.boot, Life: v.life}
	if hard, _, err := v.storage.InitialState(); err == nil {
		c.Term = hard.Term
	}
	c.Index, _ = v.storage.LastIndex()
	return c
}

// Tick goes on to that time.
func (v *Voter) Tick(now float64) {
	if now >= v.helloAt && (!v.vouched || len(v.formed) == 0) {
		v.helloAt = now + helloEvery
		for _, m := range v.names { // for their word on this voter
			if m.Name != v.me.Name {
				v.say(m.Address, frame{Asks: true})
			}
		}
		v.judge(now) // one voter has nobody to hear from
	}
	for n := 0; now >= v.ticked+tick; n++ {
		if v.ticked += tick; n > mostTicks { // it was stopped: more of them say no more
			v.ticked = now
		}
		if v.node != nil && v.vouched {
			v.node.Tick()
		}
	}
	if v.node == nil || !v.leads() {
		return
	}
	if now >= v.renewAt {
		v.renewAt = now + renewEvery
		v.renewal++
		v.asked[v.renewal] = now
		delete(v.asked, v.renewal-election)
		v.node.ReadIndex([]byte(fmt.Sprint(v.renewal)))
	}
	v.replaces(now)
}

func (v *Voter) say(to string, f frame) {
	f.From, f.Claim, f.Members = v.me, v.claim(), v.formed
	if f.Formed = len(v.formed) > 0; !f.Formed {
		f.Members = v.newcomers()
	}
	data, err := json.Marshal(f)
	if err != nil || len(data) > mostFrame {
		v.unsaid++
		return
	}
	v.words = append(v.words, OutgoingMessage{to, data})
}

// Receive takes a frame. One that can't be changes nothing.
func (v *Voter) Receive(now float64, data []byte) {
	var f frame
	if len(data) > mostFrame || json.Unmarshal(data, &f) != nil || f.From.Disk == "" ||
		f.From.Name == v.me.Name ||
		!v.named(f.From.Name) {
		return
	}
	switch {
	case f.Raft != nil:
		v.step(now, f)
	case f.Asks:
		known := v.known[f.From.ID()]
		if f.Claim.Boot == known.Boot && f.Claim.Life == known.Life {
			known.Boot-- // it says so again, in one life
		}
		v.say(v.addressOf(f.From), frame{Known: known})
		if !f.Formed && len(v.formed) > 0 {
			v.fresh[f.From.Name] = answer{now, f}
		}
	default:
		v.answers[f.From.Name] = answer{now, f}
		v.judge(now)
	}
}

// addressOf goes by the operators' file: a member may have moved since it was let in.
func (v *Voter) addressOf(m Member) string {
	for _, n := range v.names {
		if n.Name == m.Name {
			return n.Address
		}
	}
	return m.Address
}

// newcomers are the voters on disks that are new, as they are seen from here, by name.
func (v *Voter) newcomers() []Member {
	all := []Member{v.me}
	for _, a := range v.answers {
		if !a.Formed {
			all = append(all, a.From)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// judge goes by what others say of this voter: whether its disk is the one they know, and whether all are
// new.
func (v *Voter) judge(now float64) {
	own, heard, fresh, all := v.claim(), 0, 0, v.newcomers()
	var founders []Member
	for name, a := range v.answers {
		if now > a.at+helloFresh {
			continue
		}
		if !v.vouched && own.before(a.Known) && !v.faults.KeepsOld {
			v.aside = fmt.Sprintf("%s knows of start %d, term %d, entry %d; the disk has %d, %d, %d", name,
				a.Known.Boot, a.Known.Term, a.Known.Index, own.Boot, own.Term, own.Index)
			v.known = map[uint64]claim{}
			v.blank()
			return
		}
		if heard++; !a.Formed && slices.Equal(a.Members, all) {
			fresh++
		} else if a.Formed && slices.Contains(a.Members, v.me) {
			founders = a.Members
		}
	}
	switch {
	case v.node != nil:
		// With itself a majority, and all had the time to object: who leads knows best, and tells the
		// others. And not before whoever leads by what this voter answered before its start can't hold that
		// any more.
		v.vouched = v.vouched || (2*(heard+1) > len(v.names) && (now >= v.began+vouchTime || v.faults.VotesEarly))
	case founders != nil:
		v.found(founders)
	case len(all) == len(v.names) && fresh == len(v.names)-1: // and all see the same
		v.found(all)
	}
}

// step gives Raft a message.
func (v *Voter) step(now float64, f frame) {
	var m raftpb.Message
	if m.Unmarshal(f.Raft) != nil || m.To != v.me.ID() || m.From != f.From.ID() {
		return
	}
	known := v.known[m.From]
	if f.Claim.Boot < known.Boot || (f.Claim.Boot == known.Boot && f.Claim.Life != known.Life) {
		return // of a former life, or of a copy
	}
	if v.node == nil { // on a new disk, and let in by a leader
		if m.Type == raftpb.MsgVote || m.Type == raftpb.MsgPreVote || !f.Formed || v.begin() != nil {
			return
		}
		v.vouched = true
	}
	if len(v.formed) == 0 {
		v.host = f.From
	}
	if !v.vouched {
		return
	}
	known.Boot, known.Life = f.Claim.Boot, f.Claim.Life
	if m.Type != raftpb.MsgPreVote && m.Type != raftpb.MsgPreVoteResp && m.Term > known.Term {
		known.Term, known.Index = m.Term, 0
	}
	if m.Type == raftpb.MsgAppResp && !m.Reject && m.Term == known.Term {
		known.Index = max(known.Index, m.Index)
	} else if m.Type == raftpb.MsgApp { // what a leader sends is on its disk
		known.Index = max(known.Index, m.Index+uint64(len(m.Entries)))
	}
	v.known[m.From] = known
	for id, c := range f.All {
		if had := v.known[id]; id != v.me.ID() && id != m.From && (c.Boot > had.Boot || (c.Boot == had.Boot &&
			(c.Term > had.Term || (c.Term == had.Term && c.Index > had.Index)))) {
			v.known[id] = c
		}
	}
	v.node.Step(m)
}

// The errors of Propose.
var (
	ErrNotLeader = errors.New("council: this voter does not lead")
	ErrBusy      = errors.New("council: too much waits to be decided")
	ErrEntrySize = fmt.Errorf("council: an entry has 1 to %d bytes", mostData)
)

// Propose has an entry decided, where this voter leads. That it was is told by its being applied.
func (v *Voter) Propose(now float64, data []byte) error {
	switch {
	case len(data) == 0 || len(data) > mostData:
		return ErrEntrySize
	case !v.HasLease(now):
		return ErrNotLeader
	case v.node.Propose(data) != nil:
		return ErrBusy
	}
	return nil
}

func (v *Voter) leads() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// HasLease tells whether this voter leads, and nobody else can: a majority has answered it a short while ago.
func (v *Voter) HasLease(now float64) bool {
	return v.node != nil && v.leads() && now < v.renewed+lease*max(v.faults.LongLease, 1)
}

// LeaseRenewedAt is when those words went out that a majority answered: what another may have decided came later.
func (v *Voter) LeaseRenewedAt() float64 { return v.renewed }

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

// replaces has the leader let a voter in whose disk is new, one at a time: first to learn, then in place of
// its former disk, by one entry.
func (v *Voter) replaces(now float64) {
	if len(v.fresh) == 0 || !v.HasLease(now) || len(v.conf.VotersOutgoing) > 0 {
		return
	}
	propose := func(m Member, changes ...raftpb.ConfChangeSingle) {
		text, _ := json.Marshal(m) // of plain values
		// What is refused, as another change is under way, is tried again.
		v.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: text})
	}
	for _, name := range slices.Sorted(maps.Keys(v.fresh)) {
		a := v.fresh[name]
		id := a.From.ID()
		if now > a.at+helloFresh || slices.Contains(v.conf.Voters, id) {
			delete(v.fresh, name)
			continue
		}
		if !slices.Contains(v.conf.Learners, id) {
			if len(v.conf.Learners) > 0 { // one that did not get further
				propose(Member{}, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode,
					NodeID: v.conf.Learners[0]})
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
		for _, old := range v.conf.Voters {
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
			v.pending = true
		}
		v.storage.Append(rd.Entries)
		if !raft.IsEmptyHardState(rd.HardState) {
			v.storage.SetHardState(rd.HardState)
		}
		v.pending = v.pending || rd.MustSync
		for _, m := range rd.Messages {
			to, there := v.members[m.To]
			if !there && m.To == v.host.ID() { // it lets this one in, which knows nobody yet
				to, there = v.host, true
			}
			if there {
				if text, err := m.Marshal(); err == nil {
					f := frame{Raft: text}
					if m.Type == raftpb.MsgApp || m.Type == raftpb.MsgHeartbeat {
						f.All = v.known
					}
					v.say(v.addressOf(to), f)
				}
			}
		}
	}
	out.Messages, v.words = v.words, nil
	if v.pending && !v.faults.Unsaved {
		out.DurableState, v.saving = v.kept(), true
	}
	if v.pending = false; !v.saving {
		v.Advance()
	}
	return out
}

func (v *Voter) kept() []byte {
	d := durable{Version: formVersion, Me: v.me, Boot: v.boot, Founders: v.formed, Known: v.known}
	hard, _, _ := v.storage.InitialState() // none of these fails, as all is in memory
	d.Hard, _ = hard.Marshal()
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
	if !raft.IsEmptySnap(rd.Snapshot) && v.restore(rd.Snapshot) == nil && len(v.formed) == 0 {
		for _, id := range v.conf.Voters {
			v.formed = append(v.formed, v.members[id])
		}
		v.pending = true
	}
	for _, e := range rd.CommittedEntries {
		v.apply(e)
	}
	v.renewals = append(v.renewals, rd.ReadStates...)
	v.renewals = slices.DeleteFunc(v.renewals, func(r raft.ReadState) bool {
		var n uint64
		if _, err := fmt.Sscan(string(r.RequestCtx), &n); err == nil && r.Index <= v.applied && v.asked[n] > 0 {
			v.renewed = max(v.renewed, v.asked[n])
			delete(v.asked, n)
		}
		return r.Index <= v.applied
	})
	v.node.Advance(*rd)
	for _, m := range rd.Messages {
		if m.Type == raftpb.MsgSnap {
			// A datagram tells nobody that it was lost, and Raft sends nothing more until it is told how that
			// went. Held to have come: where it has not, the next entry is refused, and the snapshot goes again.
			v.node.ReportSnapshot(m.To, raft.SnapshotFinish)
		}
	}
	v.compact(compactOver)
}

func (v *Voter) apply(e raftpb.Entry) {
	v.applied = e.Index
	var change raftpb.ConfChangeV2
	switch {
	case len(e.Data) == 0 && e.Type == raftpb.EntryNormal: // a leader's first
		return
	case e.Type == raftpb.EntryNormal:
		v.machine.Apply(e.Index, e.Data)
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
	v.conf = *v.node.ApplyConfChange(change)
	defer v.compact(0) // one that begins to learn takes no snapshot that does not know of it
	maps.DeleteFunc(v.members, func(id uint64, _ Member) bool {
		return !slices.Contains(v.conf.Voters, id) && !slices.Contains(v.conf.Learners, id) &&
			!slices.Contains(v.conf.VotersOutgoing, id)
	})
}

// compact has a snapshot stand for the entries applied, so that neither memory nor disk grows.
func (v *Voter) compact(over uint64) {
	first, err := v.storage.FirstIndex()
	if err != nil || v.applied < first+over {
		return
	}
	kept := snapshot{Machine: v.packed()}
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		kept.Members = append(kept.Members, v.members[id])
	}
	data, _ := json.Marshal(kept) // of plain values
	if _, err := v.storage.CreateSnapshot(v.applied, &v.conf, data); err == nil {
		v.storage.Compact(v.applied)
		v.pending = true
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
	s := Status{Self: v.me, Boot: v.boot, Role: "waiting to be let in", DiskConfirmed: v.vouched, DiskDiscardedReason: v.aside,
		OversizedMessages: v.unsaid,
		AppliedIndex:      v.applied, Leader: v.Leader().Name}
	if v.node != nil {
		basic := v.node.BasicStatus()
		s.Role, s.Term = basic.RaftState.String(), basic.Term
	}
	for _, id := range v.conf.Voters {
		s.Voters = append(s.Voters, v.members[id])
	}
	for _, id := range v.conf.Learners {
		s.Learners = append(s.Learners, v.members[id])
	}
	return s
}

// silent is no log: the caller sees all by Status. What Raft holds to be impossible ends the process, as
// nothing that it says is worth anything then.
type silent struct{}

func (silent) Debug(...any)              {}
func (silent) Debugf(string, ...any)     {}
func (silent) Error(...any)              {}
func (silent) Errorf(string, ...any)     {}
func (silent) Info(...any)               {}
func (silent) Infof(string, ...any)      {}
func (silent) Warning(...any)            {}
func (silent) Warningf(string, ...any)   {}
func (silent) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
