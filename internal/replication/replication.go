// Package replication has what a relay holds for others lie at several of them. A record is promised once it is
// on the disks of all its holders, which were drawn for it when it was made and never change; so many of them
// may be lost then, with their disks, as are fewer than half. What may be used once is taken by agreement of
// over half of its holders (Paxos with one decree a record), so that nobody has to know who is gone, in a
// split either. It touches no disk, socket or clock: messages, times and members come in; what is to be
// saved, sent and told goes out, and what rests on a save waits for it. Times are milliseconds of the fleet's
// clock.
package replication

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
)

// Kind is what is held. Their numbers are on disks and ways: none is ever given another meaning.
type Kind uint8

// The kinds.
const (
	Reservation   Kind = iota + 1 // of a client that was told to come again; used once, by its key
	OperatorOrder                 // an operators' one, by the relay it was given; the highest version holds
	AttemptMarker                 // of a setup try that may run, by its client's key; until its owner knows better
	Affinity                      // where a group or a client stood, by its number; a hint: the highest version holds
	lastKind                      // none
)

// once tells whether a record of that kind is used up by whoever takes it.
func (k Kind) once() bool { return k == Reservation }

// latest tells whether the highest version of a key is all that counts of a kind.
func (k Kind) latest() bool { return k == OperatorOrder || k == Affinity }

// hint tells whether a kind is never promised: it lies in memory alone, and has a bounded part of that.
func (k Kind) hint() bool { return k == Affinity }

var kindNames = [lastKind]string{"", "places", "orders", "marks", "affinities"}

func (k Kind) String() string { return kindNames[k] }

// Replica is a relay in one of its lives. What was sent to it for another life is not taken in.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
}

// Record is one thing held.
type Record struct {
	Kind                 Kind
	Key                  string
	ID                   uint64 // drawn by its owner
	Version              uint64
	Owner                string
	ValidFrom, ExpiresAt float64 // what it is about, and until when it holds
	Body                 []byte
	Replicas             []Replica
}

// Member is a relay that can hold something, this one among them. One that leaves is given nothing new.
type Member struct {
	Name, Zone, Address string
	Incarnation         uint64
	Draining            bool
}

const (
	mostCopies  = 7
	moreAsked   = 3      // members beyond its holders that are asked for a record, as views of who lives differ
	againEvery  = 4.0    // ms, until what got no answer is sent again, at first
	mostAgain   = 200.0  // and at the most
	mostOut     = 4096   // things asked for here that are under way
	mostEnd     = 3.6e6  // ahead, that a record may end
	keptPast    = 5000.0 // its end, that a record is remembered as ended or used
	seekFor     = 1000.0 // that one seeks and takes
	early       = 300.0  // before the time that a place is for, at which it may be taken
	jumps       = 5000.0 // between two ticks: the clock was set, or the process stopped
	tellTimes   = 3      // that finders are told, once members have changed
	tellEvery   = 300.0
	tellMost    = 100   // records at once: a pace that gives way to all else
	releaseAt   = 150.0 // after the first time, that it is said again that a record is over
	lookEvery   = 50.0  // that one part is looked over, so that all are in 3.2 s
	few         = 4096  // records, up to which all are looked over at once
	ballotTries = 6
	hintPart    = 4 // one in so many records may be a hint
	ownerParts  = 4 // even parts of those, that one relay's may come to: against its flood taking all there is
	used        = "it is used"
	never       = "it was not promised"
)

// ballot orders those who would take a record. Each errand draws a token, so that no two ever have one
// ballot.
type ballot struct{ Round, Token uint64 }

func (b ballot) compare(o ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Token, o.Token))
}

// holding is a record as a holder has it, and what that has said of it.
type holding struct {
	Record
	Bound ballot // lower ones are refused
	Taken ballot // zero: nobody's
	By    uint64 // token of the errand whose it is then
	place int    // in its part
}

// open tells whether the record is there for who seeks it: neither taken by somebody nor shut.
func (h *holding) open() bool { return h.Taken == (ballot{}) && h.Bound.Round < math.MaxUint64 }

// Action is what is to be done, one field at a time.
type Action struct {
	To      string // address that Data is to be sent to
	Data    []byte
	Write   *Write
	Outcome *Outcome
}

// Write is to be durable before Saved is called with it: Body under Name; none: it is taken back.
type Write struct {
	Name  string
	Body  []byte
	sends []Action
	mine  []message // answers that this relay gives itself
}

// Outcome tells what has become of what was asked for.
type Outcome struct {
	Token  uint64
	OK     bool // all holders have it; or it is this relay's to use
	Record Record
	Reason string
}

// Counts are what operators are told of a kind.
type Counts struct {
	Stored        uint64 `json:"Held"`     // for others: taken in
	RejectedFull  uint64 `json:"Full"`     // for others: refused for want of room
	Replicated    uint64 `json:"Promised"` // of what this relay wanted held
	NotReplicated uint64 `json:"Refused"`
	Lookups       uint64 `json:"Sought"`
	Found         uint64 `json:"Took"`
	AlreadyUsed   uint64 `json:"Again"`  // found used
	Missed        uint64 `json:"Missed"` // found, and not got in time
	Accepted      uint64 `json:"Accepted"`
}

// Add adds others' counts.
func (c *Counts) Add(o Counts) {
	c.Stored, c.RejectedFull = c.Stored+o.Stored, c.RejectedFull+o.RejectedFull
	c.Replicated, c.NotReplicated = c.Replicated+o.Replicated, c.NotReplicated+o.NotReplicated
	c.Lookups, c.Found, c.AlreadyUsed = c.Lookups+o.Lookups, c.Found+o.Found, c.AlreadyUsed+o.AlreadyUsed
	c.Missed, c.Accepted = c.Missed+o.Missed, c.Accepted+o.Accepted
}

// Faults are wrong on purpose, for tests of the checks.
type Faults struct {
	Early   bool // says that it holds something before it is saved
	Doubled bool // counts one holder's word twice
	Forgets bool // drops a used record at once
	Drops   bool // and a mark that is over
}

// Replicator is one relay's part, as a holder and as one that has others hold.
type Replicator struct {
	name    string
	life    uint64
	copies  int
	most    int // records held here
	chance  *rand.Rand
	members []Member
	records map[uint64]*holding
	parts   [Partitions][]*holding // the same, so that a look over all can be taken in parts
	kinds   [lastKind]int          // how many there are
	looked  [Partitions][lastKind]KindStatus
	lookAt  float64
	look    int
	hinted  map[string]int // hints here, by owner
	hintSum int
	byKey   map[string][]uint64
	ends    map[int64][]uint64 // by second
	hints   map[string]Record  // of others that hold something, by its key
	walk    []uint64           // records whose finders are to be told of them, as members have changed
	walks   int                // and so many times more
	walkAt  float64
	swept   int64
	ticked  float64
	due     float64 // when Tick has something to send again or give up, at the soonest
	out     map[uint64]*errand
	mine    map[uint64]Record // marks of this relay's that it may take back, by token
	over    []release
	mute    bool
	counts  [lastKind]Counts
	faults  Faults
}

// release is said again, as nobody answers to it.
type release struct {
	at     float64
	record Record
}

// errand is something that others are asked for.
type errand struct {
	token  uint64
	step   what // put, seek, bind or accept
	record Record
	until  float64
	next   float64
	wait   float64
	asked  []Member
	said   map[string]message
	round  uint64
	by     uint64 // whose it is to be: another's, where that may have been decided
	tries  int
	others []uint64 // records of its key that it found used
}

// New starts with nothing held: the relay's name, this life's number, how many copies are made (1, 3, 5 or 7)
// and how many records are held here at the most.
func New(name string, life uint64, copies, most int, chance *rand.Rand) *Replicator {
	return &Replicator{name: name, life: life, copies: copies, most: most, chance: chance,
		records: map[uint64]*holding{}, hinted: map[string]int{},
		byKey: map[string][]uint64{}, ends: map[int64][]uint64{}, hints: map[string]Record{},
		out: map[uint64]*errand{}, mine: map[uint64]Record{},
		due: math.Inf(1)}
}

func keyOf(k Kind, key string) string { return string(rune(k)) + key }

// nameOf is what a record is kept under.
func nameOf(id uint64) string { return fmt.Sprintf("%016x", id) }

// LoadRecord takes what the disk has, under that name; false: it can't be read, or is over.
func (c *Replicator) LoadRecord(now float64, name string, body []byte) bool {
	m, err := readMessage(body)
	if err != nil || m.What != bound || len(m.Records) != 1 {
		return false
	}
	h := &holding{Record: m.Records[0], Bound: m.Ballot, Taken: m.Taken, By: m.By}
	if nameOf(h.ID) != name || !h.right(now) || h.ExpiresAt+keptPast < now {
		return false
	}
	if c.records[h.ID] == nil {
		c.add(h)
	}
	return true
}

// SetSuspended has this relay hold nothing new and say nothing of what it holds: its disk is not known to be the one
// that it has spoken by, or another process has its name.
func (c *Replicator) SetSuspended(on bool) { c.mute = on }

// DiscardAll drops all that is held: the disk is an older one. What it would say might contradict what it has
// said.
func (c *Replicator) DiscardAll() (acts []Action) {
	for id := range c.records {
		acts = append(acts, Action{Write: &Write{Name: nameOf(id)}})
	}
	c.records, c.byKey, c.ends = map[uint64]*holding{}, map[string][]uint64{}, map[int64][]uint64{}
	c.hinted, c.hintSum, c.parts, c.kinds = map[string]int{}, 0, [Partitions][]*holding{}, [lastKind]int{}
	return acts
}

func (r *Record) right(now float64) bool {
	return r.ID != 0 && r.Key != "" && len(r.Key) <= mostKey && len(r.Body) <= mostBody && len(r.Replicas) > 0 &&
		len(r.Replicas) <= mostCopies && r.ExpiresAt < now+mostEnd
}

func (c *Replicator) add(h *holding) {
	c.records[h.ID] = h
	p := &c.parts[h.ID%Partitions]
	h.place = len(*p)
	*p = append(*p, h)
	c.kinds[h.Kind]++
	key := keyOf(h.Kind, h.Key)
	c.byKey[key] = append(c.byKey[key], h.ID)
	second := int64((h.ExpiresAt + keptPast) / 1000)
	c.ends[second] = append(c.ends[second], h.ID)
	if h.Kind.hint() {
		c.hinted[h.Owner]++
		c.hintSum++
	}
}

func (c *Replicator) drop(id uint64) {
	h := c.records[id]
	if h == nil {
		return
	}
	delete(c.records, id)
	p := &c.parts[id%Partitions]
	last := (*p)[len(*p)-1]
	(*p)[h.place], last.place = last, h.place
	(*p)[len(*p)-1] = nil
	*p = (*p)[:len(*p)-1]
	c.kinds[h.Kind]--
	if h.Kind.hint() {
		c.hintSum--
		if c.hinted[h.Owner]--; c.hinted[h.Owner] == 0 {
			delete(c.hinted, h.Owner)
		}
	}
	key := keyOf(h.Kind, h.Key)
	c.byKey[key] = slices.DeleteFunc(c.byKey[key], func(other uint64) bool { return other == id })
	if len(c.byKey[key]) == 0 {
		delete(c.byKey, key)
	}
}

// UpdateMembers takes who can hold something now, this relay too. Where they are others than before, whoever seeks
// a record may ask others than those that hold it: those are told where it is.
func (c *Replicator) UpdateMembers(all []Member) {
	if slices.EqualFunc(all, c.members, func(a, b Member) bool { return a.Name == b.Name }) {
		c.members = all
		return
	}
	c.members, c.walks, c.walk = all, tellTimes, nil
}

// points tells some of those who will be asked for what is held here, and don't hold it themselves.
func (c *Replicator) points(now float64) (acts []Action) {
	if len(c.walk) == 0 {
		if c.walks == 0 || now < c.walkAt || c.mute {
			return nil
		}
		c.walks--
		c.walkAt = now + tellEvery
		for id, h := range c.records {
			if h.open() && !h.Kind.hint() {
				c.walk = append(c.walk, id)
			}
		}
		slices.Sort(c.walk)
	}
	n := min(tellMost, len(c.walk))
	for _, id := range c.walk[:n] {
		h := c.records[id]
		if h == nil || h.ExpiresAt <= now {
			continue
		}
		var text []byte
		for _, m := range c.rank(h.Key, c.copies, true) {
			if slices.ContainsFunc(h.Replicas, func(o Replica) bool { return o.Name == m.Name }) {
				continue
			}
			if text == nil {
				text = (&message{What: point, From: c.name, Life: c.life, Records: []Record{h.Record}}).text()
			}
			acts = append(acts, Action{To: m.Address, Data: text})
		}
	}
	c.walk = c.walk[n:]
	return acts
}

// leaves tells whether this relay is to be given nothing new.
func (c *Replicator) leaves() bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.Name == c.name && m.Draining })
}

// HasEnoughMembers tells whether there are members enough for a promise.
func (c *Replicator) HasEnoughMembers() bool { return len(c.rank("", c.copies, false)) >= c.copies }

// rank has members in the order in which they hold what has that key: by lot, the same at all relays, and
// such that no zone comes twice before all have come once. Against a zone lost with most copies.
func (c *Replicator) rank(key string, n int, leaving bool) (all []Member) {
	type drawn struct {
		Member
		lot uint64
	}
	byZone := map[string][]drawn{}
	for _, m := range c.members {
		if m.Draining && !leaving {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(m.Name))
		sum := h.Sum64()
		sum ^= sum >> 33 // names that differ in their end alone come out side by side
		sum *= 0xff51afd7ed558ccd
		byZone[m.Zone] = append(byZone[m.Zone], drawn{m, sum ^ sum>>33})
	}
	var zones [][]drawn
	for _, z := range byZone {
		slices.SortFunc(z, func(a, b drawn) int {
			return cmp.Or(cmp.Compare(a.lot, b.lot), cmp.Compare(a.Name, b.Name))
		})
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b []drawn) int {
		return cmp.Or(cmp.Compare(a[0].lot, b[0].lot), cmp.Compare(a[0].Name, b[0].Name))
	})
	for round := 0; len(all) < n; round++ {
		any := false
		for _, z := range zones {
			if round < len(z) && len(all) < n {
				all, any = append(all, z[round].Member), true
			}
		}
		if !any {
			break
		}
	}
	return all
}

// Replicate has a record held by as many as copies are made, and tells within that time whether it is.
func (c *Replicator) Replicate(now float64, r Record, within float64) (token uint64, acts []Action) {
	token = c.chance.Uint64() | 1
	r.ID, r.Owner, r.Replicas = c.chance.Uint64()|1, c.name, nil
	holders := c.rank(r.Key, c.copies, false)
	for _, m := range holders {
		r.Replicas = append(r.Replicas, Replica{m.Name, m.Incarnation})
	}
	why := ""
	switch {
	case len(holders) < c.copies:
		why = fmt.Sprintf("%d relays are there for %d copies", len(holders), c.copies)
	case !r.right(now) || r.ExpiresAt <= now:
		why = "it can't be held"
	case len(c.out) >= mostOut:
		why = "too much is under way"
	}
	if why != "" {
		c.counts[r.Kind].NotReplicated++
		return token, []Action{{Outcome: &Outcome{Token: token, Record: r, Reason: why}}}
	}
	if r.Kind == AttemptMarker || r.Kind.hint() {
		c.mine[token] = r
	}
	e := &errand{token: token, step: put, record: r, until: now + within, asked: holders}
	return token, c.begin(now, e)
}

// Revoke tells those who hold the mark or hint that was put by that token that it holds no more, twice, and
// gives up having it held where that is still under way.
func (c *Replicator) Revoke(now float64, token uint64) []Action {
	r, there := c.mine[token]
	if !there {
		return nil
	}
	if len(c.over) < mostOut {
		c.over = append(c.over, release{now + releaseAt, r})
		c.due = min(c.due, c.over[0].at)
	}
	delete(c.out, token)
	delete(c.mine, token)
	return c.Discard(now, r)
}

// Discard tells those who hold a record of this relay's to forget it, as it is over or held anew by others.
func (c *Replicator) Discard(now float64, r Record) (acts []Action) {
	m := message{What: dropped, From: c.name, Life: c.life, Records: []Record{r}}
	for _, to := range c.members {
		switch held := slices.ContainsFunc(r.Replicas, func(h Replica) bool { return h.Name == to.Name }); {
		case held && to.Name == c.name:
			acts = append(acts, c.asked(now, "", m)...)
		case held:
			acts = append(acts, Action{To: to.Address, Data: m.text()})
		}
	}
	return acts
}

// Acquire has this relay seek a record by its key, and use it, if nobody has.
func (c *Replicator) Acquire(now float64, kind Kind, key string) (token uint64, acts []Action) {
	return c.seek(now, kind, key, seekFor)
}

// Lookup seeks the latest version of a record that is not used up by it, for so long.
func (c *Replicator) Lookup(now float64, kind Kind, key string, within float64) (token uint64, acts []Action) {
	return c.seek(now, kind, key, within)
}

func (c *Replicator) seek(now float64, kind Kind, key string, within float64) (token uint64, acts []Action) {
	c.counts[kind].Lookups++
	token = c.chance.Uint64() | 1
	e := &errand{token: token, step: seek, record: Record{Kind: kind, Key: key}, until: now + within,
		asked: c.rank(key, c.copies+moreAsked, true)}
	if len(c.out) >= mostOut || len(e.asked) == 0 || key == "" || len(key) > mostKey {
		return token, []Action{{Outcome: &Outcome{Token: token, Record: e.record, Reason: "nobody can be asked"}}}
	}
	return token, c.begin(now, e)
}

func (c *Replicator) begin(now float64, e *errand) []Action {
	c.out[e.token] = e
	e.said, e.wait = map[string]message{}, againEvery
	return c.sends(now, e)
}

// sends asks those who have not answered.
func (c *Replicator) sends(now float64, e *errand) (acts []Action) {
	e.next = now + e.wait
	e.wait = min(2*e.wait, mostAgain)
	c.due = min(c.due, e.next, e.until)
	m := message{What: e.step, Token: e.token, From: c.name, Life: c.life, Records: []Record{e.record}}
	if e.step == bind || e.step == accept {
		m.Ballot, m.By = ballot{e.round, e.token}, e.by
	}
	var text []byte
	for _, to := range e.asked {
		if _, there := e.said[to.Name]; there {
			continue
		}
		if to.Name == c.name {
			acts = append(acts, c.asked(now, "", m)...)
			if c.out[e.token] != e || e.step != m.What {
				return acts // its own word was the last that was missing
			}
			continue
		}
		if text == nil {
			text = m.text()
		}
		acts = append(acts, Action{To: to.Address, Data: text})
	}
	return acts
}

// HandleMessage takes a message from an address.
func (c *Replicator) HandleMessage(now float64, from string, data []byte) ([]Action, error) {
	m, err := readMessage(data)
	if err != nil {
		return nil, err
	}
	switch m.What {
	case put, seek, bind, accept, dropped, point:
		return c.asked(now, from, m), nil
	}
	return c.said(now, m), nil
}

// asked is a holder's side. What it answers waits until what it rests on is durable.
func (c *Replicator) asked(now float64, from string, m message) []Action {
	if c.mute || len(m.Records) != 1 {
		return nil
	}
	r := m.Records[0]
	back := message{Token: m.Token, From: c.name, Life: c.life, Ballot: m.Ballot}
	switch m.What {
	case put:
		return c.hold(now, from, r, back)
	case seek:
		back.What = found
		for _, id := range c.byKey[keyOf(r.Kind, r.Key)] {
			h := c.records[id]
			if h.ExpiresAt > now && len(back.Records) < mostRecords && h.open() {
				back.Records = append(back.Records, h.Record)
			}
		}
		for _, id := range c.byKey[keyOf(r.Kind, r.Key)] {
			if h := c.records[id]; r.Kind == AttemptMarker && !h.open() && len(back.Records) < mostRecords {
				// Without holders it says that the mark is over: one who has not heard so may say that it stands.
				back.Records = append(back.Records, Record{Kind: AttemptMarker, Key: r.Key, ID: id})
			}
		}
		if hint, there := c.hints[keyOf(r.Kind, r.Key)]; there && hint.ExpiresAt > now && len(back.Records) == 0 {
			back.Records = append(back.Records, hint)
		}
		return c.answer(now, from, back, nil)
	case point:
		key := keyOf(r.Kind, r.Key)
		was, there := c.hints[key]
		if r.right(now) && r.ExpiresAt > now && (there || len(c.hints) < c.most) && r.Version >= was.Version {
			c.hints[key] = r
		}
		return nil
	case dropped:
		h := c.records[r.ID]
		if h == nil && r.Kind == AttemptMarker && r.Owner == m.From && r.right(now) && r.ExpiresAt > now &&
			len(c.records) < c.most {
			// Against what has it held coming later, and nobody saying again that it is over.
			h = &holding{Record: r}
			c.add(h)
		}
		if h != nil && h.Owner == m.From {
			if (h.Kind.once() || h.Kind == AttemptMarker) && !c.faults.Drops {
				return c.shut(h)
			}
			return c.dropped(h)
		}
		return nil
	}
	h := c.records[r.ID]
	if h == nil || !h.Kind.once() {
		return nil // it holds no such thing, and has no word on it
	}
	if back.Ballot = h.Bound; m.Ballot.compare(h.Bound) < 0 {
		back.What = refuse
		return c.answer(now, from, back, nil)
	}
	h.Bound, back.Ballot = m.Ballot, m.Ballot
	if m.What == bind {
		back.What, back.Taken, back.By = bound, h.Taken, h.By
	} else {
		h.Taken, h.By, back.What = m.Ballot, m.By, accepted
		c.counts[h.Kind].Accepted++
	}
	save := c.saves(h)
	if c.faults.Forgets && m.What == accept {
		h.Bound, h.Taken, h.By = ballot{}, ballot{}, 0
	}
	return c.answer(now, from, back, save)
}

// shut has nobody take a record that was not promised. It stays until its end, against a copy of it that
// comes late being held and taken as if nothing had been; and what was accepted stays accepted.
func (c *Replicator) shut(h *holding) []Action {
	h.Bound = ballot{math.MaxUint64, 0}
	return []Action{{Write: c.saves(h)}}
}

// dropped has it forgotten.
func (c *Replicator) dropped(h *holding) []Action {
	if c.drop(h.ID); h.Kind.hint() {
		return nil
	}
	return []Action{{Write: &Write{Name: nameOf(h.ID)}}}
}

// crowded tells whether there is no room for one more hint of that owner. Those that are there stay until
// they end: against a flood of new ones washing them out.
func (c *Replicator) crowded(owner string) bool {
	room := c.most / hintPart
	return c.hintSum >= room || c.hinted[owner] >= max(ownerParts*room/max(len(c.members), ownerParts), 1)
}

// hold takes a record in, where it is meant for this life. One that is there already is not changed: its
// answer is given again. Of a kind that holds by its version an older one makes room.
func (c *Replicator) hold(now float64, from string, r Record, back message) []Action {
	back.What = held
	if h := c.records[r.ID]; h != nil {
		if r.Kind.hint() {
			return c.answer(now, from, back, nil)
		}
		return c.answer(now, from, back, c.saves(h)) // the first may not be durable yet
	}
	if back.What = refuse; len(c.records) >= c.most || (r.Kind.hint() && c.crowded(r.Owner) &&
		len(c.byKey[keyOf(r.Kind, r.Key)]) == 0) {
		c.counts[r.Kind].RejectedFull++
		return c.answer(now, from, back, nil)
	}
	if c.leaves() || !r.right(now) || r.ExpiresAt <= now || !slices.Contains(r.Replicas, Replica{c.name, c.life}) {
		return c.answer(now, from, back, nil)
	}
	back.What = held
	h := &holding{Record: r}
	var acts []Action
	if r.Kind.latest() {
		for _, id := range slices.Clone(c.byKey[keyOf(r.Kind, r.Key)]) {
			if was := c.records[id]; was.Version <= r.Version {
				acts = append(acts, c.dropped(was)...)
			}
		}
	}
	c.add(h)
	c.counts[r.Kind].Stored++
	if r.Kind.hint() {
		return c.answer(now, from, back, nil)
	}
	return append(c.answer(now, from, back, c.saves(h)), acts...) // the older one goes once the newer is there
}

func (c *Replicator) saves(h *holding) *Write {
	m := message{What: bound, From: c.name, Life: c.life, Ballot: h.Bound, Taken: h.Taken, By: h.By,
		Records: []Record{h.Record}}
	return &Write{Name: nameOf(h.ID), Body: m.text()}
}

// answer sends what a holder says, once what it rests on is durable; to this relay itself as well.
func (c *Replicator) answer(now float64, from string, m message, save *Write) []Action {
	if save == nil || c.faults.Early {
		var acts []Action
		if save != nil {
			acts = append(acts, Action{Write: save})
		}
		if from == "" {
			return append(acts, c.said(now, m)...)
		}
		return append(acts, Action{To: from, Data: m.text()})
	}
	if from == "" {
		save.mine = append(save.mine, m)
	} else {
		save.sends = append(save.sends, Action{To: from, Data: m.text()})
	}
	return []Action{{Write: save}}
}

// CompleteWrite says that a save is durable; one that failed is never told of, and nothing that rests on it is said.
func (c *Replicator) CompleteWrite(now float64, s *Write) []Action {
	acts := s.sends
	for _, m := range s.mine {
		acts = append(acts, c.said(now, m)...)
	}
	return acts
}

// said takes an answer.
func (c *Replicator) said(now float64, m message) []Action {
	e := c.out[m.Token]
	if e == nil || !slices.ContainsFunc(e.asked, func(a Member) bool { return a.Name == m.From }) {
		return nil
	}
	fits := map[what][]what{put: {held, refuse}, seek: {found}, bind: {bound, refuse},
		accept: {accepted, refuse}}
	if !slices.Contains(fits[e.step], m.What) {
		return nil
	}
	mine := ballot{e.round, e.token}
	if (e.step == bind || e.step == accept) && m.What != refuse && m.Ballot != mine {
		return nil // of a former round
	}
	if e.step == put && !slices.Contains(e.record.Replicas, Replica{m.From, m.Life}) {
		return nil // another life, or another process under its name
	}
	if _, there := e.said[m.From]; there {
		if !c.faults.Doubled {
			return nil
		}
		m.From += "'"
	}
	e.said[m.From] = m
	return c.goOn(now, e)
}

// goOn looks whether an errand has all that it waits for.
func (c *Replicator) goOn(now float64, e *errand) []Action {
	count := func(w what) (n int) {
		for _, m := range e.said {
			if m.What == w {
				n++
			}
		}
		return n
	}
	n := len(e.record.Replicas)
	switch e.step {
	case put:
		if count(refuse) > 0 {
			return c.fails(e, "a holder refuses")
		}
		if count(held) >= n {
			return c.done(e, true, "")
		}
	case seek:
		return c.picks(now, e)
	case bind, accept:
		if count(refuse) > 0 {
			return c.outbid(now, e)
		}
		if e.step == bind && 2*count(bound) > n {
			return c.binds(now, e)
		}
		if 2*count(accepted) > n && e.by != e.token {
			return c.another(now, e)
		}
		if 2*count(accepted) > n {
			return c.done(e, true, "")
		}
	}
	return nil
}

// another seeks the next record of that key, as this one is somebody else's: against many clients of one key
// that come at one instant and all try for the same place.
func (c *Replicator) another(now float64, e *errand) []Action {
	e.others = append(e.others, e.record.ID)
	e.step, e.round, e.by, e.tries = seek, 0, 0, 0
	e.record = Record{Kind: e.record.Kind, Key: e.record.Key}
	e.asked = c.rank(e.record.Key, c.copies+moreAsked, true)
	return c.begin(now, e)
}

// drawn tells whether a record's holders are as many as there are copies, each another. Against one relay
// that tells of a record that it made up, and grants it alone.
func (r *Record) drawn(copies int) bool {
	for i, h := range r.Replicas {
		if slices.ContainsFunc(r.Replicas[:i], func(o Replica) bool { return o.Name == h.Name }) {
			return false
		}
	}
	return len(r.Replicas) == copies
}

// best is the highest version that was found, but for marks of which somebody knows that they are over; of
// places that are alike, one by chance.
func (c *Replicator) best(now float64, e *errand) (best *Record) {
	over := map[uint64]bool{}
	for _, m := range e.said {
		for _, r := range m.Records {
			if r.Kind == AttemptMarker && len(r.Replicas) == 0 {
				over[r.ID] = true
			}
		}
	}
	for _, m := range e.said {
		for i := range m.Records {
			r := &m.Records[i]
			if r.Kind != e.record.Kind || r.Key != e.record.Key || !r.right(now+mostEnd) || over[r.ID] ||
				slices.Contains(e.others, r.ID) || !r.drawn(c.copies) {
				continue
			}
			if best == nil || r.Version > best.Version || (r.Version == best.Version &&
				r.ID^e.token < best.ID^e.token) {
				best = r
			}
		}
	}
	return best
}

// picks goes on with what was found. A record that is used once is taken as soon as anybody holds it; one
// that holds by its version is read at a majority of those who may have it.
func (c *Replicator) picks(now float64, e *errand) []Action {
	best := c.best(now, e)
	all := len(e.said) == len(e.asked)
	switch {
	case best == nil && !all:
		return nil
	case best == nil && len(e.others) > 0:
		return c.done(e, false, used)
	case best == nil:
		return c.done(e, false, "nobody holds it")
	case !best.Kind.once():
		if !all && !best.Kind.hint() {
			return nil // a later one may be at those who have not answered: at the errand's end this is what there is
		}
		e.record = *best
		return c.done(e, true, "")
	}
	if now < best.ValidFrom-early {
		return c.done(e, false, "it comes too early") // and may have its place when it comes again
	}
	e.record, e.asked = *best, nil
	for _, h := range best.Replicas {
		for _, m := range c.members {
			if m.Name == h.Name {
				e.asked = append(e.asked, m)
			}
		}
	}
	e.step, e.round = bind, 1
	return c.begin(now, e)
}

// outbid goes on in a higher ballot, for a while.
func (c *Replicator) outbid(now float64, e *errand) []Action {
	if e.tries++; e.tries >= ballotTries {
		return c.done(e, false, "others take it")
	}
	for _, m := range e.said {
		if m.What == refuse && m.Ballot.Round == math.MaxUint64 {
			return c.done(e, false, never)
		}
		e.round = max(e.round, m.Ballot.Round)
	}
	e.round++
	e.step = bind
	// By chance after a while: against two that outbid each other for ever.
	e.said, e.wait = map[string]message{}, againEvery
	e.next = now + againEvery*(1+float64(e.tries)*c.chance.Float64())
	c.due = min(c.due, e.next)
	return nil
}

// binds goes on with what over half of the holders are bound to: where one of them has accepted somebody's
// claim, that may have been decided, and is seen through. Against two that each give way to the other.
func (c *Replicator) binds(now float64, e *errand) []Action {
	var taken ballot
	e.by = e.token
	for _, m := range e.said {
		if m.Taken.compare(taken) > 0 {
			taken, e.by = m.Taken, m.By
		}
	}
	e.step = accept
	return c.begin(now, e)
}

func (c *Replicator) done(e *errand, ok bool, why string) []Action {
	delete(c.out, e.token)
	switch counts := &c.counts[e.record.Kind]; {
	case e.step == put && ok:
		counts.Replicated++
	case e.step == put:
		counts.NotReplicated++
	case ok:
		counts.Found++
	case why == used:
		counts.AlreadyUsed++
	case e.step != seek && why != never:
		counts.Missed++
	}
	return []Action{{Outcome: &Outcome{Token: e.token, OK: ok, Record: e.record, Reason: why}}}
}

// NextDeadline is when Tick is, but for what may wait for a while; +Inf: never.
func (c *Replicator) NextDeadline() float64 { return c.due }

// Tick sends again what got no answer, gives up what is late, and forgets what is over.
func (c *Replicator) Tick(now float64) (acts []Action) {
	if by := now - c.ticked; c.ticked > 0 && math.Abs(by) > jumps {
		// The clock was set: what is under way has the time that it had.
		for _, e := range c.out {
			e.until, e.next = e.until+by, e.next+by
		}
		c.walkAt += by
		for i := range c.over {
			c.over[i].at += by
		}
	}
	c.ticked = now
	for len(c.over) > 0 && now >= c.over[0].at {
		acts = append(acts, c.Discard(now, c.over[0].record)...)
		c.over = c.over[1:]
	}
	tokens := make([]uint64, 0, len(c.out))
	for token := range c.out {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens) // in one order, so that a simulation repeats
	c.due = math.Inf(1)
	for _, token := range tokens {
		e := c.out[token]
		switch {
		case e == nil:
		case now >= e.until:
			acts = append(acts, c.late(now, e)...)
		case now >= e.next:
			acts = append(acts, c.sends(now, e)...)
		default:
			c.due = min(c.due, e.next, e.until)
		}
	}
	if len(c.over) > 0 {
		c.due = min(c.due, c.over[0].at)
	}
	second := int64(now / 1000)
	if c.swept == 0 || c.swept > second {
		c.swept = second - 1
	}
	for ; c.swept < second; c.swept++ {
		for _, id := range c.ends[c.swept] {
			if h := c.records[id]; h != nil {
				acts = append(acts, c.dropped(h)...)
			}
		}
		delete(c.ends, c.swept)
		for token, r := range c.mine {
			if r.ExpiresAt < now {
				delete(c.mine, token)
			}
		}
		for key, r := range c.hints {
			if r.ExpiresAt < now {
				delete(c.hints, key)
			}
		}
	}
	if now >= c.lookAt && len(c.records) > few { // up to which Status looks itself
		c.lookAt = now + lookEvery
		c.look = (c.look + 1) % Partitions
		c.looks(now, c.look, c.there())
	}
	return append(acts, c.points(now)...)
}

// fails gives a promise up. Its holders are told to forget it: nobody was told of it. A mark is true without
// a promise, and stays where it is; so does a hint.
func (c *Replicator) fails(e *errand, why string) (acts []Action) {
	if e.record.Kind == AttemptMarker || e.record.Kind.hint() {
		return c.done(e, false, why)
	}
	text := (&message{What: dropped, Token: e.token, From: c.name, Life: c.life,
		Records: []Record{e.record}}).text()
	for _, m := range e.asked {
		if m.Name != c.name {
			acts = append(acts, Action{To: m.Address, Data: text})
		}
	}
	if h := c.records[e.record.ID]; h != nil {
		acts = append(acts, c.shut(h)...)
	}
	return append(acts, c.done(e, false, why)...)
}

// late gives up.
func (c *Replicator) late(now float64, e *errand) (acts []Action) {
	if e.step == seek && !e.record.Kind.once() {
		if best := c.best(now, e); best != nil {
			e.record = *best
		}
		return c.done(e, e.record.ID != 0, "not all have answered")
	}
	if e.step == put {
		return c.fails(e, "not in time")
	}
	if e.step == seek && len(e.others) > 0 {
		return c.done(e, false, used)
	}
	return c.done(e, false, "not in time")
}

// KindStatus is how things are with what is held of a kind. Under and Short count what this relay is the first
// living holder of, so that all relays' sums count each record once.
type KindStatus struct {
	Stored          int `json:"Held"`  // here
	Open            int `json:"Open"`  // of those: to be used, or to be read, yet
	UnderReplicated int `json:"Under"` // some holder is not there
	BelowQuorum     int `json:"Short"` // no more than half are: it can't be used, or read for certain, until more are
}

// there are the members, by name.
func (c *Replicator) there() map[string]bool {
	there := make(map[string]bool, len(c.members))
	for _, m := range c.members {
		there[m.Name] = true
	}
	return there
}

// looks takes a look over one part of what is held.
func (c *Replicator) looks(now float64, part int, there map[string]bool) {
	c.looked[part] = [lastKind]KindStatus{}
	for _, h := range c.parts[part] {
		if !h.open() || h.ExpiresAt <= now {
			continue
		}
		s := &c.looked[part][h.Kind]
		s.Open++
		lives, first := 0, ""
		for _, o := range h.Replicas {
			if there[o.Name] {
				lives++
				first = cmp.Or(first, o.Name)
			}
		}
		if n := len(h.Replicas); first == c.name && lives < n {
			s.UnderReplicated++
			if 2*lives <= n {
				s.BelowQuorum++
			}
		}
	}
}

// Status tells how things stand, by kind, and what came of what was asked. Where very much is held, all but
// Held is as it was within the last seconds: against a look over all of it taking a hundred milliseconds.
func (c *Replicator) Status(now float64) (standing map[string]KindStatus, counts map[string]Counts) {
	standing, counts = map[string]KindStatus{}, map[string]Counts{}
	if len(c.records) <= few {
		there := c.there()
		for part := range Partitions {
			c.looks(now, part, there)
		}
	}
	for k := Reservation; k < lastKind; k++ {
		sum := KindStatus{Stored: c.kinds[k]}
		for _, looked := range c.looked {
			sum.Open, sum.UnderReplicated, sum.BelowQuorum = sum.Open+looked[k].Open, sum.UnderReplicated+looked[k].UnderReplicated,
				sum.BelowQuorum+looked[k].BelowQuorum
		}
		standing[k.String()], counts[k.String()] = sum, c.counts[k]
	}
	return standing, counts
}
