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
	kindLimit                     // none
)

// isSingleUse tells whether a record of that kind is used up by whoever takes it.
func (k Kind) isSingleUse() bool { return k == Reservation }

// isVersioned tells whether the highest version of a key is all that counts of a kind.
func (k Kind) isVersioned() bool { return k == OperatorOrder || k == Affinity }

// isBestEffort tells whether a kind is never promised: it lies in memory alone, and has a bounded part of that.
func (k Kind) isBestEffort() bool { return k == Affinity }

var kindNames = [kindLimit]string{"", "places", "orders", "marks", "affinities"}

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
	maxCopies                = 7
	extraLookupTargets       = 3      // members beyond its holders that are asked for a record, as views of who lives differ
	initialRetryMillis       = 4.0    // ms, until what got no answer is sent again, at first
	maxRetryMillis           = 200.0  // and at the most
	maxOperations            = 4096   // things asked for here that are under way
	maxLifetimeMillis        = 3.6e6  // ahead, that a record may end
	retentionMillis          = 5000.0 // its end, that a record is remembered as ended or used
	acquireTimeoutMillis     = 1000.0 // that one seeks and takes
	earlyToleranceMillis     = 300.0  // before the time that a place is for, at which it may be taken
	clockJumpMillis          = 5000.0 // between two ticks: the clock was set, or the process stopped
	publishRounds            = 3      // that finders are told, once members have changed
	publishIntervalMillis    = 300.0
	publishBatch             = 100   // records at once: a pace that gives way to all else
	repeatDiscardAfterMillis = 150.0 // after the first time, that it is said again that a record is over
	scanIntervalMillis       = 50.0  // that one part is looked over, so that all are in 3.2 s
	fullScanLimit            = 4096  // records, up to which all are looked over at once
	maxBallotAttempts        = 6
	bestEffortDivisor        = 4 // one in so many records may be a hint
	ownerShares              = 4 // even parts of those, that one relay's may come to: against its flood taking all there is
	reasonUsed               = "it is used"
	reasonNeverReplicated    = "it was not promised"
)

// ballot orders those who would take a record. Each errand draws a token, so that no two ever have one
// ballot.
type ballot struct{ Round, Token uint64 }

func (b ballot) compare(o ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Token, o.Token))
}

// storedRecord is a record as a holder has it, and what that has said of it.
type storedRecord struct {
	Record
	Promised ballot // lower ones are refused
	Accepted ballot // zero: nobody's
	Claimant uint64 // token of the errand whose it is then
	slot     int    // in its part
}

// isOpen tells whether the record is there for who seeks it: neither taken by somebody nor shut.
func (h *storedRecord) isOpen() bool {
	return h.Accepted == (ballot{}) && h.Promised.Round < math.MaxUint64
}

// Action is what is to be done, one field at a time.
type Action struct {
	To      string // address that Data is to be sent to
	Data    []byte
	Write   *Write
	Outcome *Outcome
}

// Write is to be durable before Saved is called with it: Body under Name; none: it is taken back.
type Write struct {
	Name         string
	Body         []byte
	replies      []Action
	localReplies []message // answers that this relay gives itself
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

// injectedFaults are wrong on purpose, for tests of the checks.
type injectedFaults struct {
	ackBeforeSync   bool // says that it holds something before it is saved
	countDuplicates bool // counts one holder's word twice
	forgetUsed      bool // drops a used record at once
	forgetRevoked   bool // and a mark that is over
}

// Replicator is one relay's part, as a holder and as one that has others hold.
type Replicator struct {
	name              string
	incarnation       uint64
	copies            int
	maxRecords        int // records held here
	rng               *rand.Rand
	members           []Member
	records           map[uint64]*storedRecord
	partitions        [Partitions][]*storedRecord // the same, so that a look over all can be taken in parts
	countByKind       [kindLimit]int              // how many there are
	scanned           [Partitions][kindLimit]KindStatus
	nextScanAt        float64
	lastPartition     int
	bestEffortByOwner map[string]int // hints here, by owner
	bestEffortCount   int
	byKey             map[string][]uint64
	idsBySecond       map[int64][]uint64 // by second
	locations         map[string]Record  // of others that hold something, by its key
	publishQueue      []uint64           // records whose finders are to be told of them, as members have changed
	roundsLeft        int                // and so many times more
	nextRoundAt       float64
	sweptSecond       int64
	lastTickAt        float64
	nextDeadline      float64 // when Tick has something to send again or give up, at the soonest
	operations        map[uint64]*operation
	revocable         map[uint64]Record // marks of this relay's that it may take back, by token
	repeats           []scheduledDiscard
	suspended         bool
	counts            [kindLimit]Counts
	faults            injectedFaults
}

// scheduledDiscard is said again, as nobody answers to it.
type scheduledDiscard struct {
	at     float64
	record Record
}

// operation is something that others are asked for.
type operation struct {
	token          uint64
	phase          messageType // put, seek, bind or accept
	record         Record
	deadline       float64
	nextSendAt     float64
	retryInterval  float64
	targets        []Member
	replies        map[string]message
	round          uint64
	claimant       uint64 // whose it is to be: another's, where that may have been decided
	ballotAttempts int
	usedIDs        []uint64 // records of its key that it found used
}

// New starts with nothing held: the relay's name, this life's number, how many copies are made (1, 3, 5 or 7)
// and how many records are held here at the most.
func New(name string, life uint64, copies, most int, chance *rand.Rand) *Replicator {
	return &Replicator{name: name, incarnation: life, copies: copies, maxRecords: most, rng: chance,
		records: map[uint64]*storedRecord{}, bestEffortByOwner: map[string]int{},
		byKey: map[string][]uint64{}, idsBySecond: map[int64][]uint64{}, locations: map[string]Record{},
		operations: map[uint64]*operation{}, revocable: map[uint64]Record{},
		nextDeadline: math.Inf(1)}
}

func indexKey(k Kind, key string) string { return string(rune(k)) + key }

// recordName is what a record is kept under.
func recordName(id uint64) string { return fmt.Sprintf("%016x", id) }

// LoadRecord takes what the disk has, under that name; false: it can't be read, or is over.
func (c *Replicator) LoadRecord(now float64, name string, body []byte) bool {
	m, err := decodeMessage(body)
	if err != nil || m.Type != messagePromise || len(m.Records) != 1 {
		return false
	}
	h := &storedRecord{Record: m.Records[0], Promised: m.Ballot, Accepted: m.AcceptedBallot, Claimant: m.Claimant}
	if recordName(h.ID) != name || !h.isValid(now) || h.ExpiresAt+retentionMillis < now {
		return false
	}
	if c.records[h.ID] == nil {
		c.insert(h)
	}
	return true
}

// SetSuspended has this relay hold nothing new and say nothing of what it holds: its disk is not known to be the one
// that it has spoken by, or another process has its name.
func (c *Replicator) SetSuspended(on bool) { c.suspended = on }

// DiscardAll drops all that is held: the disk is an older one. What it would say might contradict what it has
// said.
func (c *Replicator) DiscardAll() (acts []Action) {
	for id := range c.records {
		acts = append(acts, Action{Write: &Write{Name: recordName(id)}})
	}
	c.records, c.byKey, c.idsBySecond = map[uint64]*storedRecord{}, map[string][]uint64{}, map[int64][]uint64{}
	c.bestEffortByOwner, c.bestEffortCount, c.partitions, c.countByKind = map[string]int{}, 0, [Partitions][]*storedRecord{}, [kindLimit]int{}
	return acts
}

func (r *Record) isValid(now float64) bool {
	return r.ID != 0 && r.Key != "" && len(r.Key) <= maxKeyBytes && len(r.Body) <= maxBodyBytes && len(r.Replicas) > 0 &&
		len(r.Replicas) <= maxCopies && r.ExpiresAt < now+maxLifetimeMillis
}

func (c *Replicator) insert(h *storedRecord) {
	c.records[h.ID] = h
	p := &c.partitions[h.ID%Partitions]
	h.slot = len(*p)
	*p = append(*p, h)
	c.countByKind[h.Kind]++
	key := indexKey(h.Kind, h.Key)
	c.byKey[key] = append(c.byKey[key], h.ID)
	second := int64((h.ExpiresAt + retentionMillis) / 1000)
	c.idsBySecond[second] = append(c.idsBySecond[second], h.ID)
	if h.Kind.isBestEffort() {
		c.bestEffortByOwner[h.Owner]++
		c.bestEffortCount++
	}
}

func (c *Replicator) remove(id uint64) {
	h := c.records[id]
	if h == nil {
		return
	}
	delete(c.records, id)
	p := &c.partitions[id%Partitions]
	last := (*p)[len(*p)-1]
	(*p)[h.slot], last.slot = last, h.slot
	(*p)[len(*p)-1] = nil
	*p = (*p)[:len(*p)-1]
	c.countByKind[h.Kind]--
	if h.Kind.isBestEffort() {
		c.bestEffortCount--
		if c.bestEffortByOwner[h.Owner]--; c.bestEffortByOwner[h.Owner] == 0 {
			delete(c.bestEffortByOwner, h.Owner)
		}
	}
	key := indexKey(h.Kind, h.Key)
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
	c.members, c.roundsLeft, c.publishQueue = all, publishRounds, nil
}

// publishLocations tells some of those who will be asked for what is held here, and don't hold it themselves.
func (c *Replicator) publishLocations(now float64) (acts []Action) {
	if len(c.publishQueue) == 0 {
		if c.roundsLeft == 0 || now < c.nextRoundAt || c.suspended {
			return nil
		}
		c.roundsLeft--
		c.nextRoundAt = now + publishIntervalMillis
		for id, h := range c.records {
			if h.isOpen() && !h.Kind.isBestEffort() {
				c.publishQueue = append(c.publishQueue, id)
			}
		}
		slices.Sort(c.publishQueue)
	}
	n := min(publishBatch, len(c.publishQueue))
	for _, id := range c.publishQueue[:n] {
		h := c.records[id]
		if h == nil || h.ExpiresAt <= now {
			continue
		}
		var text []byte
		for _, m := range c.rankMembers(h.Key, c.copies, true) {
			if slices.ContainsFunc(h.Replicas, func(o Replica) bool { return o.Name == m.Name }) {
				continue
			}
			if text == nil {
				text = (&message{Type: messagePublish, From: c.name, Incarnation: c.incarnation, Records: []Record{h.Record}}).encode()
			}
			acts = append(acts, Action{To: m.Address, Data: text})
		}
	}
	c.publishQueue = c.publishQueue[n:]
	return acts
}

// isDraining tells whether this relay is to be given nothing new.
func (c *Replicator) isDraining() bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.Name == c.name && m.Draining })
}

// HasEnoughMembers tells whether there are members enough for a promise.
func (c *Replicator) HasEnoughMembers() bool {
	return len(c.rankMembers("", c.copies, false)) >= c.copies
}

// rankMembers has members in the order in which they hold what has that key: by lot, the same at all relays, and
// such that no zone comes twice before all have come once. Against a zone lost with most copies.
func (c *Replicator) rankMembers(key string, n int, leaving bool) (all []Member) {
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
	token = c.rng.Uint64() | 1
	r.ID, r.Owner, r.Replicas = c.rng.Uint64()|1, c.name, nil
	holders := c.rankMembers(r.Key, c.copies, false)
	for _, m := range holders {
		r.Replicas = append(r.Replicas, Replica{m.Name, m.Incarnation})
	}
	why := ""
	switch {
	case len(holders) < c.copies:
		why = fmt.Sprintf("%d relays are there for %d copies", len(holders), c.copies)
	case !r.isValid(now) || r.ExpiresAt <= now:
		why = "it can't be held"
	case len(c.operations) >= maxOperations:
		why = "too much is under way"
	}
	if why != "" {
		c.counts[r.Kind].NotReplicated++
		return token, []Action{{Outcome: &Outcome{Token: token, Record: r, Reason: why}}}
	}
	if r.Kind == AttemptMarker || r.Kind.isBestEffort() {
		c.revocable[token] = r
	}
	e := &operation{token: token, phase: messageStore, record: r, deadline: now + within, targets: holders}
	return token, c.startPhase(now, e)
}

// Revoke tells those who hold the mark or hint that was put by that token that it holds no more, twice, and
// gives up having it held where that is still under way.
func (c *Replicator) Revoke(now float64, token uint64) []Action {
	r, there := c.revocable[token]
	if !there {
		return nil
	}
	if len(c.repeats) < maxOperations {
		c.repeats = append(c.repeats, scheduledDiscard{now + repeatDiscardAfterMillis, r})
		c.nextDeadline = min(c.nextDeadline, c.repeats[0].at)
	}
	delete(c.operations, token)
	delete(c.revocable, token)
	return c.Discard(now, r)
}

// Discard tells those who hold a record of this relay's to forget it, as it is over or held anew by others.
func (c *Replicator) Discard(now float64, r Record) (acts []Action) {
	m := message{Type: messageDiscard, From: c.name, Incarnation: c.incarnation, Records: []Record{r}}
	for _, to := range c.members {
		switch held := slices.ContainsFunc(r.Replicas, func(h Replica) bool { return h.Name == to.Name }); {
		case held && to.Name == c.name:
			acts = append(acts, c.handleRequest(now, "", m)...)
		case held:
			acts = append(acts, Action{To: to.Address, Data: m.encode()})
		}
	}
	return acts
}

// Acquire has this relay seek a record by its key, and use it, if nobody has.
func (c *Replicator) Acquire(now float64, kind Kind, key string) (token uint64, acts []Action) {
	return c.startLookup(now, kind, key, acquireTimeoutMillis)
}

// Lookup seeks the latest version of a record that is not used up by it, for so long.
func (c *Replicator) Lookup(now float64, kind Kind, key string, within float64) (token uint64, acts []Action) {
	return c.startLookup(now, kind, key, within)
}

func (c *Replicator) startLookup(now float64, kind Kind, key string, within float64) (token uint64, acts []Action) {
	c.counts[kind].Lookups++
	token = c.rng.Uint64() | 1
	e := &operation{token: token, phase: messageLookup, record: Record{Kind: kind, Key: key}, deadline: now + within,
		targets: c.rankMembers(key, c.copies+extraLookupTargets, true)}
	if len(c.operations) >= maxOperations || len(e.targets) == 0 || key == "" || len(key) > maxKeyBytes {
		return token, []Action{{Outcome: &Outcome{Token: token, Record: e.record, Reason: "nobody can be asked"}}}
	}
	return token, c.startPhase(now, e)
}

func (c *Replicator) startPhase(now float64, e *operation) []Action {
	c.operations[e.token] = e
	e.replies, e.retryInterval = map[string]message{}, initialRetryMillis
	return c.sendRequests(now, e)
}

// sendRequests asks those who have not answered.
func (c *Replicator) sendRequests(now float64, e *operation) (acts []Action) {
	e.nextSendAt = now + e.retryInterval
	e.retryInterval = min(2*e.retryInterval, maxRetryMillis)
	c.nextDeadline = min(c.nextDeadline, e.nextSendAt, e.deadline)
	m := message{Type: e.phase, Token: e.token, From: c.name, Incarnation: c.incarnation, Records: []Record{e.record}}
	if e.phase == messagePrepare || e.phase == messageAccept {
		m.Ballot, m.Claimant = ballot{e.round, e.token}, e.claimant
	}
	var text []byte
	for _, to := range e.targets {
		if _, there := e.replies[to.Name]; there {
			continue
		}
		if to.Name == c.name {
			acts = append(acts, c.handleRequest(now, "", m)...)
			if c.operations[e.token] != e || e.phase != m.Type {
				return acts // its own word was the last that was missing
			}
			continue
		}
		if text == nil {
			text = m.encode()
		}
		acts = append(acts, Action{To: to.Address, Data: text})
	}
	return acts
}

// HandleMessage takes a message from an address.
func (c *Replicator) HandleMessage(now float64, from string, data []byte) ([]Action, error) {
	m, err := decodeMessage(data)
	if err != nil {
		return nil, err
	}
	switch m.Type {
	case messageStore, messageLookup, messagePrepare, messageAccept, messageDiscard, messagePublish:
		return c.handleRequest(now, from, m), nil
	}
	return c.handleReply(now, m), nil
}

// handleRequest is a holder's side. What it answers waits until what it rests on is durable.
func (c *Replicator) handleRequest(now float64, from string, m message) []Action {
	if c.suspended || len(m.Records) != 1 {
		return nil
	}
	r := m.Records[0]
	back := message{Token: m.Token, From: c.name, Incarnation: c.incarnation, Ballot: m.Ballot}
	switch m.Type {
	case messageStore:
		return c.store(now, from, r, back)
	case messageLookup:
		back.Type = messageFound
		for _, id := range c.byKey[indexKey(r.Kind, r.Key)] {
			h := c.records[id]
			if h.ExpiresAt > now && len(back.Records) < maxMessageRecords && h.isOpen() {
				back.Records = append(back.Records, h.Record)
			}
		}
		for _, id := range c.byKey[indexKey(r.Kind, r.Key)] {
			if h := c.records[id]; r.Kind == AttemptMarker && !h.isOpen() && len(back.Records) < maxMessageRecords {
				// Without holders it says that the mark is over: one who has not heard so may say that it stands.
				back.Records = append(back.Records, Record{Kind: AttemptMarker, Key: r.Key, ID: id})
			}
		}
		if hint, there := c.locations[indexKey(r.Kind, r.Key)]; there && hint.ExpiresAt > now && len(back.Records) == 0 {
			back.Records = append(back.Records, hint)
		}
		return c.reply(now, from, back, nil)
	case messagePublish:
		key := indexKey(r.Kind, r.Key)
		was, there := c.locations[key]
		if r.isValid(now) && r.ExpiresAt > now && (there || len(c.locations) < c.maxRecords) && r.Version >= was.Version {
			c.locations[key] = r
		}
		return nil
	case messageDiscard:
		h := c.records[r.ID]
		if h == nil && r.Kind == AttemptMarker && r.Owner == m.From && r.isValid(now) && r.ExpiresAt > now &&
			len(c.records) < c.maxRecords {
			// Against what has it held coming later, and nobody saying again that it is over.
			h = &storedRecord{Record: r}
			c.insert(h)
		}
		if h != nil && h.Owner == m.From {
			if (h.Kind.isSingleUse() || h.Kind == AttemptMarker) && !c.faults.forgetRevoked {
				return c.seal(h)
			}
			return c.removeStored(h)
		}
		return nil
	}
	h := c.records[r.ID]
	if h == nil || !h.Kind.isSingleUse() {
		return nil // it holds no such thing, and has no word on it
	}
	if back.Ballot = h.Promised; m.Ballot.compare(h.Promised) < 0 {
		back.Type = messageReject
		return c.reply(now, from, back, nil)
	}
	h.Promised, back.Ballot = m.Ballot, m.Ballot
	if m.Type == messagePrepare {
		back.Type, back.AcceptedBallot, back.Claimant = messagePromise, h.Accepted, h.Claimant
	} else {
		h.Accepted, h.Claimant, back.Type = m.Ballot, m.Claimant, messageAccepted
		c.counts[h.Kind].Accepted++
	}
	save := c.writeOf(h)
	if c.faults.forgetUsed && m.Type == messageAccept {
		h.Promised, h.Accepted, h.Claimant = ballot{}, ballot{}, 0
	}
	return c.reply(now, from, back, save)
}

// seal has nobody take a record that was not promised. It stays until its end, against a copy of it that
// comes late being held and taken as if nothing had been; and what was accepted stays accepted.
func (c *Replicator) seal(h *storedRecord) []Action {
	h.Promised = ballot{math.MaxUint64, 0}
	return []Action{{Write: c.writeOf(h)}}
}

// removeStored has it forgotten.
func (c *Replicator) removeStored(h *storedRecord) []Action {
	if c.remove(h.ID); h.Kind.isBestEffort() {
		return nil
	}
	return []Action{{Write: &Write{Name: recordName(h.ID)}}}
}

// isBestEffortFull tells whether there is no room for one more hint of that owner. Those that are there stay until
// they end: against a flood of new ones washing them out.
func (c *Replicator) isBestEffortFull(owner string) bool {
	room := c.maxRecords / bestEffortDivisor
	return c.bestEffortCount >= room || c.bestEffortByOwner[owner] >= max(ownerShares*room/max(len(c.members), ownerShares), 1)
}

// store takes a record in, where it is meant for this life. One that is there already is not changed: its
// answer is given again. Of a kind that holds by its version an older one makes room.
func (c *Replicator) store(now float64, from string, r Record, back message) []Action {
	back.Type = messageStored
	if h := c.records[r.ID]; h != nil {
		if r.Kind.isBestEffort() {
			return c.reply(now, from, back, nil)
		}
		return c.reply(now, from, back, c.writeOf(h)) // the first may not be durable yet
	}
	if back.Type = messageReject; len(c.records) >= c.maxRecords || (r.Kind.isBestEffort() && c.isBestEffortFull(r.Owner) &&
		len(c.byKey[indexKey(r.Kind, r.Key)]) == 0) {
		c.counts[r.Kind].RejectedFull++
		return c.reply(now, from, back, nil)
	}
	if c.isDraining() || !r.isValid(now) || r.ExpiresAt <= now || !slices.Contains(r.Replicas, Replica{c.name, c.incarnation}) {
		return c.reply(now, from, back, nil)
	}
	back.Type = messageStored
	h := &storedRecord{Record: r}
	var acts []Action
	if r.Kind.isVersioned() {
		for _, id := range slices.Clone(c.byKey[indexKey(r.Kind, r.Key)]) {
			if was := c.records[id]; was.Version <= r.Version {
				acts = append(acts, c.removeStored(was)...)
			}
		}
	}
	c.insert(h)
	c.counts[r.Kind].Stored++
	if r.Kind.isBestEffort() {
		return c.reply(now, from, back, nil)
	}
	return append(c.reply(now, from, back, c.writeOf(h)), acts...) // the older one goes once the newer is there
}

func (c *Replicator) writeOf(h *storedRecord) *Write {
	m := message{Type: messagePromise, From: c.name, Incarnation: c.incarnation, Ballot: h.Promised, AcceptedBallot: h.Accepted, Claimant: h.Claimant,
		Records: []Record{h.Record}}
	return &Write{Name: recordName(h.ID), Body: m.encode()}
}

// reply sends what a holder says, once what it rests on is durable; to this relay itself as well.
func (c *Replicator) reply(now float64, from string, m message, save *Write) []Action {
	if save == nil || c.faults.ackBeforeSync {
		var acts []Action
		if save != nil {
			acts = append(acts, Action{Write: save})
		}
		if from == "" {
			return append(acts, c.handleReply(now, m)...)
		}
		return append(acts, Action{To: from, Data: m.encode()})
	}
	if from == "" {
		save.localReplies = append(save.localReplies, m)
	} else {
		save.replies = append(save.replies, Action{To: from, Data: m.encode()})
	}
	return []Action{{Write: save}}
}

// CompleteWrite says that a save is durable; one that failed is never told of, and nothing that rests on it is said.
func (c *Replicator) CompleteWrite(now float64, s *Write) []Action {
	acts := s.replies
	for _, m := range s.localReplies {
		acts = append(acts, c.handleReply(now, m)...)
	}
	return acts
}

// handleReply takes an answer.
func (c *Replicator) handleReply(now float64, m message) []Action {
	e := c.operations[m.Token]
	if e == nil || !slices.ContainsFunc(e.targets, func(a Member) bool { return a.Name == m.From }) {
		return nil
	}
	fits := map[messageType][]messageType{messageStore: {messageStored, messageReject}, messageLookup: {messageFound}, messagePrepare: {messagePromise, messageReject},
		messageAccept: {messageAccepted, messageReject}}
	if !slices.Contains(fits[e.phase], m.Type) {
		return nil
	}
	mine := ballot{e.round, e.token}
	if (e.phase == messagePrepare || e.phase == messageAccept) && m.Type != messageReject && m.Ballot != mine {
		return nil // of a former round
	}
	if e.phase == messageStore && !slices.Contains(e.record.Replicas, Replica{m.From, m.Incarnation}) {
		return nil // another life, or another process under its name
	}
	if _, there := e.replies[m.From]; there {
		if !c.faults.countDuplicates {
			return nil
		}
		m.From += "'"
	}
	e.replies[m.From] = m
	return c.advance(now, e)
}

// advance looks whether an errand has all that it waits for.
func (c *Replicator) advance(now float64, e *operation) []Action {
	count := func(w messageType) (n int) {
		for _, m := range e.replies {
			if m.Type == w {
				n++
			}
		}
		return n
	}
	n := len(e.record.Replicas)
	switch e.phase {
	case messageStore:
		if count(messageReject) > 0 {
			return c.abandonReplication(e, "a holder refuses")
		}
		if count(messageStored) >= n {
			return c.finish(e, true, "")
		}
	case messageLookup:
		return c.chooseCandidate(now, e)
	case messagePrepare, messageAccept:
		if count(messageReject) > 0 {
			return c.retryWithHigherBallot(now, e)
		}
		if e.phase == messagePrepare && 2*count(messagePromise) > n {
			return c.proposeClaimant(now, e)
		}
		if 2*count(messageAccepted) > n && e.claimant != e.token {
			return c.lookUpNext(now, e)
		}
		if 2*count(messageAccepted) > n {
			return c.finish(e, true, "")
		}
	}
	return nil
}

// lookUpNext seeks the next record of that key, as this one is somebody else's: against many clients of one key
// that come at one instant and all try for the same place.
func (c *Replicator) lookUpNext(now float64, e *operation) []Action {
	e.usedIDs = append(e.usedIDs, e.record.ID)
	e.phase, e.round, e.claimant, e.ballotAttempts = messageLookup, 0, 0, 0
	e.record = Record{Kind: e.record.Kind, Key: e.record.Key}
	e.targets = c.rankMembers(e.record.Key, c.copies+extraLookupTargets, true)
	return c.startPhase(now, e)
}

// hasDistinctReplicas tells whether a record's holders are as many as there are copies, each another. Against one relay
// that tells of a record that it made up, and grants it alone.
func (r *Record) hasDistinctReplicas(copies int) bool {
	for i, h := range r.Replicas {
		if slices.ContainsFunc(r.Replicas[:i], func(o Replica) bool { return o.Name == h.Name }) {
			return false
		}
	}
	return len(r.Replicas) == copies
}

// bestCandidate is the highest version that was found, but for marks of which somebody knows that they are over; of
// places that are alike, one by chance.
func (c *Replicator) bestCandidate(now float64, e *operation) (best *Record) {
	over := map[uint64]bool{}
	for _, m := range e.replies {
		for _, r := range m.Records {
			if r.Kind == AttemptMarker && len(r.Replicas) == 0 {
				over[r.ID] = true
			}
		}
	}
	for _, m := range e.replies {
		for i := range m.Records {
			r := &m.Records[i]
			if r.Kind != e.record.Kind || r.Key != e.record.Key || !r.isValid(now+maxLifetimeMillis) || over[r.ID] ||
				slices.Contains(e.usedIDs, r.ID) || !r.hasDistinctReplicas(c.copies) {
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

// chooseCandidate goes on with what was found. A record that is used once is taken as soon as anybody holds it; one
// that holds by its version is read at a majority of those who may have it.
func (c *Replicator) chooseCandidate(now float64, e *operation) []Action {
	best := c.bestCandidate(now, e)
	all := len(e.replies) == len(e.targets)
	switch {
	case best == nil && !all:
		return nil
	case best == nil && len(e.usedIDs) > 0:
		return c.finish(e, false, reasonUsed)
	case best == nil:
		return c.finish(e, false, "nobody holds it")
	case !best.Kind.isSingleUse():
		if !all && !best.Kind.isBestEffort() {
			return nil // a later one may be at those who have not answered: at the errand's end this is what there is
		}
		e.record = *best
		return c.finish(e, true, "")
	}
	if now < best.ValidFrom-earlyToleranceMillis {
		return c.finish(e, false, "it comes too early") // and may have its place when it comes again
	}
	e.record, e.targets = *best, nil
	for _, h := range best.Replicas {
		for _, m := range c.members {
			if m.Name == h.Name {
				e.targets = append(e.targets, m)
			}
		}
	}
	e.phase, e.round = messagePrepare, 1
	return c.startPhase(now, e)
}

// retryWithHigherBallot goes on in a higher ballot, for a while.
func (c *Replicator) retryWithHigherBallot(now float64, e *operation) []Action {
	if e.ballotAttempts++; e.ballotAttempts >= maxBallotAttempts {
		return c.finish(e, false, "others take it")
	}
	for _, m := range e.replies {
		if m.Type == messageReject && m.Ballot.Round == math.MaxUint64 {
			return c.finish(e, false, reasonNeverReplicated)
		}
		e.round = max(e.round, m.Ballot.Round)
	}
	e.round++
	e.phase = messagePrepare
	// By chance after a while: against two that outbid each other for ever.
	e.replies, e.retryInterval = map[string]message{}, initialRetryMillis
	e.nextSendAt = now + initialRetryMillis*(1+float64(e.ballotAttempts)*c.rng.Float64())
	c.nextDeadline = min(c.nextDeadline, e.nextSendAt)
	return nil
}

// proposeClaimant goes on with what over half of the holders are bound to: where one of them has accepted somebody's
// claim, that may have been decided, and is seen through. Against two that each give way to the other.
func (c *Replicator) proposeClaimant(now float64, e *operation) []Action {
	var taken ballot
	e.claimant = e.token
	for _, m := range e.replies {
		if m.AcceptedBallot.compare(taken) > 0 {
			taken, e.claimant = m.AcceptedBallot, m.Claimant
		}
	}
	e.phase = messageAccept
	return c.startPhase(now, e)
}

func (c *Replicator) finish(e *operation, ok bool, why string) []Action {
	delete(c.operations, e.token)
	switch counts := &c.counts[e.record.Kind]; {
	case e.phase == messageStore && ok:
		counts.Replicated++
	case e.phase == messageStore:
		counts.NotReplicated++
	case ok:
		counts.Found++
	case why == reasonUsed:
		counts.AlreadyUsed++
	case e.phase != messageLookup && why != reasonNeverReplicated:
		counts.Missed++
	}
	return []Action{{Outcome: &Outcome{Token: e.token, OK: ok, Record: e.record, Reason: why}}}
}

// NextDeadline is when Tick is, but for what may wait for a while; +Inf: never.
func (c *Replicator) NextDeadline() float64 { return c.nextDeadline }

// Tick sends again what got no answer, gives up what is late, and forgets what is over.
func (c *Replicator) Tick(now float64) (acts []Action) {
	if by := now - c.lastTickAt; c.lastTickAt > 0 && math.Abs(by) > clockJumpMillis {
		// The clock was set: what is under way has the time that it had.
		for _, e := range c.operations {
			e.deadline, e.nextSendAt = e.deadline+by, e.nextSendAt+by
		}
		c.nextRoundAt += by
		for i := range c.repeats {
			c.repeats[i].at += by
		}
	}
	c.lastTickAt = now
	for len(c.repeats) > 0 && now >= c.repeats[0].at {
		acts = append(acts, c.Discard(now, c.repeats[0].record)...)
		c.repeats = c.repeats[1:]
	}
	tokens := make([]uint64, 0, len(c.operations))
	for token := range c.operations {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens) // in one order, so that a simulation repeats
	c.nextDeadline = math.Inf(1)
	for _, token := range tokens {
		e := c.operations[token]
		switch {
		case e == nil:
		case now >= e.deadline:
			acts = append(acts, c.expireOperation(now, e)...)
		case now >= e.nextSendAt:
			acts = append(acts, c.sendRequests(now, e)...)
		default:
			c.nextDeadline = min(c.nextDeadline, e.nextSendAt, e.deadline)
		}
	}
	if len(c.repeats) > 0 {
		c.nextDeadline = min(c.nextDeadline, c.repeats[0].at)
	}
	second := int64(now / 1000)
	if c.sweptSecond == 0 || c.sweptSecond > second {
		c.sweptSecond = second - 1
	}
	for ; c.sweptSecond < second; c.sweptSecond++ {
		for _, id := range c.idsBySecond[c.sweptSecond] {
			if h := c.records[id]; h != nil {
				acts = append(acts, c.removeStored(h)...)
			}
		}
		delete(c.idsBySecond, c.sweptSecond)
		for token, r := range c.revocable {
			if r.ExpiresAt < now {
				delete(c.revocable, token)
			}
		}
		for key, r := range c.locations {
			if r.ExpiresAt < now {
				delete(c.locations, key)
			}
		}
	}
	if now >= c.nextScanAt && len(c.records) > fullScanLimit { // up to which Status looks itself
		c.nextScanAt = now + scanIntervalMillis
		c.lastPartition = (c.lastPartition + 1) % Partitions
		c.scan(now, c.lastPartition, c.memberNames())
	}
	return append(acts, c.publishLocations(now)...)
}

// abandonReplication gives a promise up. Its holders are told to forget it: nobody was told of it. A mark is true without
// a promise, and stays where it is; so does a hint.
func (c *Replicator) abandonReplication(e *operation, why string) (acts []Action) {
	if e.record.Kind == AttemptMarker || e.record.Kind.isBestEffort() {
		return c.finish(e, false, why)
	}
	text := (&message{Type: messageDiscard, Token: e.token, From: c.name, Incarnation: c.incarnation,
		Records: []Record{e.record}}).encode()
	for _, m := range e.targets {
		if m.Name != c.name {
			acts = append(acts, Action{To: m.Address, Data: text})
		}
	}
	if h := c.records[e.record.ID]; h != nil {
		acts = append(acts, c.seal(h)...)
	}
	return append(acts, c.finish(e, false, why)...)
}

// expireOperation gives up.
func (c *Replicator) expireOperation(now float64, e *operation) (acts []Action) {
	if e.phase == messageLookup && !e.record.Kind.isSingleUse() {
		if best := c.bestCandidate(now, e); best != nil {
			e.record = *best
		}
		return c.finish(e, e.record.ID != 0, "not all have answered")
	}
	if e.phase == messageStore {
		return c.abandonReplication(e, "not in time")
	}
	if e.phase == messageLookup && len(e.usedIDs) > 0 {
		return c.finish(e, false, reasonUsed)
	}
	return c.finish(e, false, "not in time")
}

// KindStatus is how things are with what is held of a kind. Under and Short count what this relay is the first
// living holder of, so that all relays' sums count each record once.
type KindStatus struct {
	Stored          int `json:"Held"`  // here
	Open            int `json:"Open"`  // of those: to be used, or to be read, yet
	UnderReplicated int `json:"Under"` // some holder is not there
	BelowQuorum     int `json:"Short"` // no more than half are: it can't be used, or read for certain, until more are
}

// memberNames are the members, by name.
func (c *Replicator) memberNames() map[string]bool {
	there := make(map[string]bool, len(c.members))
	for _, m := range c.members {
		there[m.Name] = true
	}
	return there
}

// scan takes a look over one part of what is held.
func (c *Replicator) scan(now float64, part int, there map[string]bool) {
	c.scanned[part] = [kindLimit]KindStatus{}
	for _, h := range c.partitions[part] {
		if !h.isOpen() || h.ExpiresAt <= now {
			continue
		}
		s := &c.scanned[part][h.Kind]
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
	if len(c.records) <= fullScanLimit {
		there := c.memberNames()
		for part := range Partitions {
			c.scan(now, part, there)
		}
	}
	for k := Reservation; k < kindLimit; k++ {
		sum := KindStatus{Stored: c.countByKind[k]}
		for _, looked := range c.scanned {
			sum.Open, sum.UnderReplicated, sum.BelowQuorum = sum.Open+looked[k].Open, sum.UnderReplicated+looked[k].UnderReplicated,
				sum.BelowQuorum+looked[k].BelowQuorum
		}
		standing[k.String()], counts[k.String()] = sum, c.counts[k]
	}
	return standing, counts
}
