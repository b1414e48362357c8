// Package fleet joins what one relay keeps on its disk, hears from others and decides at its start, and says
// it to the relay as events. Core has all state and no I/O, so that the lab's simulation runs it unchanged;
// Run drives it on sockets and a disk. Nothing of it lies on a link's path: the relay's lock is taken for one
// event at a time, and no disk or peer is waited for under it.
package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/replication"
	"valeshift/internal/store"
)

const (
	keepEvery = 1000.0 // between two writings of what is known
	rateOver  = 500.0  // over which clients turned away are counted
	smooth    = 0.3    // of the way, that their rate moves in it

	settled     = 5000.0 // in the normal phase, from which figures hold what was placed
	beyondEvery = 200.0  // between two tellings of what the others placed: news takes as long
	clockEvery  = 1000.0 // between two looks at everybody's clocks
	leastOff    = 1500.0 // that a clock is off, for anything to follow: more than ways take and dates are off

	mostVoice    = 3.0 // middle ones, that one relay's word on what it placed counts for
	leastLinks   = 5   // of this relay, that a measure of the fleet stands on
	leastFigures = 0.5 // and servers' worth of load
)

// Action is something that Core asks for, one field at a time.
type Action struct {
	Send            *membership.Datagram
	Query           *Query
	Persist         *store.Record
	ConfirmDecision uint64 // where not 0: Core's Kept is to be told of it once that is durable, or can't be
	// where not nil: Core's Durable is to be told of it once that is durable, and only then
	ReplicationWrite *replication.Write
	Event            relay.Event
	OrderReplicated  *OrderReplicated
	Log              string
}

// Query goes to one relay: Answered follows, whatever comes of it.
type Query struct{ Name, Address string }

// Core is one relay's side of the fleet.
type Core struct {
	membership       *membership.View // nil: none are named
	plan             *recovery.Plan
	phase            recovery.Phase
	boot             uint64 // as it was saved
	orderNumber      uint64
	draining         bool
	kept             *relay.Snapshot // the latest that is worth keeping
	diskWhy          string
	hasDisk          bool
	seen             relay.Status
	turned           int // at the beginning of the second that is counted
	turnedAt         float64
	waiting          float64
	measured         float64 // what a server bears; 0: not yet in this life
	keepAt           float64
	fleetClockOffset float64 // what the fleet's clock is ahead of the times that come in, as the relay was told
	clockAt          float64
	beyondAt         float64
	beyondSaid       float64 // what others have placed, as the relay was told
	diskRead         bool
	coordinators     *coordinatorClient // nil: no voters are named
	replication      *replicationState  // nil: nothing is held for others
}

// New starts the relay's side: with others, where an own word is given that says where it hears them, and
// with a disk, which is told of by Disk.
func New(now float64, own membership.MemberState, seeds []string, key []byte, disk bool, chance *rand.Rand) *Core {
	c := &Core{plan: recovery.New(now, disk, own.Address != ""), hasDisk: disk, turnedAt: now,
		keepAt: now + keepEvery, kept: &relay.Snapshot{}, beyondSaid: -1, diskWhy: "being read"}
	if !disk {
		c.diskWhy = "none is named"
	}
	if own.Address != "" {
		c.membership = membership.New(now, own, seeds, key, chance)
	}
	return c
}

// storedOrder is an operators' order as it is kept.
type storedOrder struct {
	Number uint64 `json:"Number"`
	Lame   bool   `json:"Lame"`
}

// Restore takes what the store had at the start, or why there is none. An order on it holds at once.
func (c *Core) Restore(now float64, s *store.Store, found store.Recovery, err error) (acts []Action) {
	d := recovery.DiskResult{}
	if err != nil {
		c.diskWhy, c.hasDisk, d.Fault = err.Error(), false, err.Error()
		return c.acts(c.plan.ReceiveDisk(now, d))
	}
	c.diskWhy, c.diskRead = "", true
	if found.Damaged > 0 || found.TornBytes > 0 {
		c.diskWhy = fmt.Sprintf("%d damaged pieces passed over, %d bytes cut off", found.Damaged, found.TornBytes)
		acts = append(acts, Action{Log: "disk: " + c.diskWhy})
	}
	c.boot = found.LastBoot + 1
	if c.membership != nil {
		c.membership.RestoreBoot(found.LastBoot)
		c.boot = c.membership.LocalState().Boot
	}
	acts = append(acts, c.saveBoot(now))
	if r, there := s.Get(store.KindOrder, ""); there {
		var o storedOrder
		if json.Unmarshal(r.Body, &o) == nil && o.Number >= c.orderNumber {
			acts = append(acts, c.applyOrder(o.Number, o.Lame)...)
		}
	}
	c.restoreReplicas(now, s, found.LastBoot)
	if r, there := s.Get(store.KindDecision, ""); there && c.coordinators != nil {
		c.coordinators.follower.Restore(r.Body)
	}
	if r, there := s.Get(store.KindSnapshot, ""); there {
		if d.Snapshot, err = relay.ParseSnapshot(r.Body); err != nil {
			d.Snapshot, d.Fault = nil, err.Error()
		} else if c.kept.Endpoints == nil && c.kept.Capacity == 0 {
			c.kept = d.Snapshot
		}
	}
	return append(acts, c.acts(c.plan.ReceiveDisk(now, d))...)
}

func (c *Core) saveBoot(now float64) Action {
	return Action{Persist: &store.Record{Kind: store.KindBoot, Boot: c.boot, UnixMillis: now, Body: []byte("x")}}
}

// applyOrder has the relay be as the order of that number says.
func (c *Core) applyOrder(number uint64, lame bool) (acts []Action) {
	changed := lame != c.draining
	c.orderNumber, c.draining = number, lame
	if c.membership != nil {
		w := c.membership.LocalState()
		w.OrderNumber, w.Draining = number, lame
		c.membership.SetLocalState(w)
	}
	if changed {
		acts = append(acts, Action{Event: relay.DrainRequested{On: lame}})
	}
	return acts
}

// SetDraining takes an operators' order, and gives its record; it is promised once that is durable.
func (c *Core) SetDraining(now float64, lame bool) (store.Record, []Action) {
	number := c.orderNumber + 1
	if c.membership != nil {
		number = max(number, c.membership.LocalState().OrderNumber+1)
	}
	acts := c.applyOrder(number, lame)
	body, _ := json.Marshal(storedOrder{number, lame}) // of plain values
	return store.Record{Kind: store.KindOrder, Boot: c.boot, UnixMillis: now, Body: body}, acts
}

// ReceiveDatagram takes a datagram.
func (c *Core) ReceiveDatagram(now float64, from string, data []byte) (acts []Action) {
	if acts, is := c.receiveAnnouncement(now, from, data); is {
		return acts
	}
	if acts, is := c.receiveReplicationDatagram(now, from, data); is {
		return acts
	}
	if c.membership == nil {
		return nil
	}
	for _, d := range c.membership.Receive(now, from, data) {
		acts = append(acts, Action{Send: &d})
	}
	return append(acts, c.own(now)...)
}

// own follows what others know of this relay: a boot above its own, an order later than its own.
func (c *Core) own(now float64) (acts []Action) {
	w := c.membership.LocalState()
	if w.Boot > c.boot && c.diskRead {
		if c.boot = w.Boot; c.replication != nil {
			c.replication.diskIsOlder = true
		}
		acts = append(acts, c.saveBoot(now))
	}
	return append(acts, c.adoptOrder(now, w.OrderNumber, w.Draining)...)
}

// adoptOrder takes an order to this relay that others know, where it is later than its own or the stricter.
func (c *Core) adoptOrder(now float64, number uint64, lame bool) []Action {
	if number < c.orderNumber || (number == c.orderNumber && (c.draining || !lame)) {
		return nil
	}
	acts := append([]Action{{Log: fmt.Sprintf("order %d, empty %t, as other relays remember it", number, lame)}},
		c.applyOrder(number, lame)...)
	body, _ := json.Marshal(storedOrder{number, lame}) // of plain values
	return append(acts, Action{Persist: &store.Record{Kind: store.KindOrder, Boot: c.boot, UnixMillis: now, Body: body}})
}

// aliveMembers are the relays that are alive now.
func (c *Core) aliveMembers(now float64) []membership.Member {
	if c.membership == nil {
		return nil
	}
	return slices.DeleteFunc(c.membership.Members(now), func(m membership.Member) bool { return m.Liveness != membership.Alive })
}

// others are those as the plan sees them.
func (c *Core) others(now float64) (all []recovery.Peer) {
	for _, m := range c.aliveMembers(now) {
		all = append(all, recovery.Peer{Name: m.Name, AgeMillis: m.AgeMillis, Phase: recovery.Phase(m.Phase),
			RejectedLastSecond: m.WaitingClients, Sessions: m.Sessions, Unreachable: c.membership.Address(m) == ""})
	}
	return all
}

// clock has the relay told what its time is ahead of the clock by which servers' starts are told:
// discovery's, where that says its own. Else it is the clock in the middle of this machine's and those of the
// relays that are heard: one that is wrong or lies moves it by a place; of two in the middle it is the
// earlier, by which servers are younger and so colder.
func (c *Core) clock(now, wall, dated float64) []Action {
	if now < c.clockAt {
		return nil
	}
	if c.plan.Phase() >= recovery.Admitting { // before that, at each look: cold servers wait for it
		c.clockAt = now + clockEvery
	}
	all := []float64{wall - now}
	if c.membership != nil {
		c.membership.ClockOffset = wall - now
	}
	for _, m := range c.aliveMembers(now) {
		if !math.IsNaN(m.ClockOffset) {
			all = append(all, m.ClockOffset)
		}
	}
	slices.Sort(all)
	off := all[(len(all)-1)/2]
	if !math.IsNaN(dated) {
		off = dated
	}
	if math.Abs(off-c.fleetClockOffset) < leastOff {
		return nil
	}
	c.fleetClockOffset = off
	return []Action{{Event: relay.ClockSkewMeasured{AheadMillis: -off}},
		{Log: fmt.Sprintf("this relay's time is ahead by %.0f ms, of %d relays and discovery %t", -off, len(all),
			!math.IsNaN(dated))}}
}

// shifted has the promised times of what is kept be by another clock: the disk's are by the fleet's.
func shifted(k *relay.Snapshot, by float64) *relay.Snapshot {
	if by == 0 || len(k.RetryAt) == 0 {
		return k
	}
	moved := *k
	moved.RetryAt = make(map[uint64]float64, len(k.RetryAt))
	for key, at := range k.RetryAt {
		moved.RetryAt[key] = at + by
	}
	return &moved
}

// Tick goes on, by what the relay itself sees and its machine's clock says.
func (c *Core) Tick(now, wall float64, seen relay.Status) (acts []Action) {
	if now >= c.turnedAt+rateOver {
		rate := float64(seen.Rejected-c.turned) * 1000 / (now - c.turnedAt)
		c.waiting += (rate - c.waiting) * smooth
		c.turned, c.turnedAt = seen.Rejected, now
	}
	seen.RejectedLastSecond = int(c.waiting)
	c.seen = seen
	var others []recovery.Peer
	if c.plan.Phase() != recovery.Normal { // nobody looks at them else
		others = c.others(now)
	}
	acts = append(c.clock(now, wall, seen.DiscoveryClockOffset), c.acts(c.plan.Advance(now, others, seen))...)
	acts = append(append(acts, c.updateZoneWeights(now)...), c.maintainReplication(now)...)
	if c.membership != nil {
		w := c.membership.LocalState()
		w.Phase, w.EndpointsVersion = uint8(c.plan.Phase()), seen.Index
		w.WaitingClients, w.Sessions = uint32(max(seen.RejectedLastSecond, 0)), uint32(max(seen.Sessions, 0))
		w.OrderNumber, w.Draining, w.PlacedLoad = c.orderNumber, c.draining, uint64(max(seen.UnreportedLoad, 0))
		c.membership.SetLocalState(w)
		acts = append(acts, c.beyond(now, max(seen.UnreportedLoad, 0))...)
		for _, d := range c.membership.Tick(now) {
			acts = append(acts, Action{Send: &d})
		}
	}
	return acts
}

// beyond tells what the others have placed that figures may not hold yet, by their own words. One voice
// counts for some times the middle one at the most: against one that is wrong having all servers look full.
func (c *Core) beyond(now, own float64) []Action {
	if now < c.beyondAt {
		return nil
	}
	c.beyondAt = now + beyondEvery
	others, all, sum := c.aliveMembers(now), []float64{own}, -1.0
	for _, m := range others {
		all = append(all, float64(m.PlacedLoad))
	}
	if len(others) > 0 {
		slices.Sort(all)
		sum = 0
		for _, m := range others {
			sum += min(float64(m.PlacedLoad), mostVoice*all[len(all)/2])
		}
	}
	if sum == c.beyondSaid {
		return nil
	}
	c.beyondSaid = sum
	return []Action{{Event: relay.RemoteLoadChanged{Load: sum}}}
}

// IsSnapshotDue tells whether what is known is to be written now.
func (c *Core) IsSnapshotDue(now float64) bool {
	if now < c.keepAt || c.plan.Phase() < recovery.Admitting {
		return false
	}
	c.keepAt = now + keepEvery
	return true
}

// RecordSnapshot takes what the relay knows now, and gives its record. What this life has not learnt yet is kept as it
// was: against a relay that dies young leaving less than it was left.
func (c *Core) RecordSnapshot(now float64, k *relay.Snapshot) store.Record {
	if k.Endpoints == nil || len(k.Endpoints.Endpoints) == 0 {
		k.Endpoints, k.ConfirmedAt = c.kept.Endpoints, c.kept.ConfirmedAt
	}
	c.learnt(now, k)
	c.kept = k
	text, _ := shifted(k, c.fleetClockOffset).Encode() // of plain values
	return store.Record{Kind: store.KindSnapshot, Boot: c.boot, UnixMillis: now, Body: text}
}

// learnt fills in what this life has not learnt yet.
func (c *Core) learnt(now float64, k *relay.Snapshot) {
	if k.Capacity == 0 {
		k.Capacity, k.MeanLoad, k.Classes = c.kept.Capacity, c.kept.MeanLoad, c.kept.Classes
	}
	k.Capacity = c.bears(now, k)
}

// bears is what a server bears, by what all relays together hold and what the servers say: this relay's own
// load times all links over its own. Against a relay's guess from its part alone, which it takes for an even
// one: with some relays gone it came to six times the truth. Alone, or with too little to go by, that is all
// there is.
func (c *Core) bears(now float64, k *relay.Snapshot) float64 {
	if c.membership == nil {
		return k.Capacity
	}
	links := float64(c.seen.Sessions)
	s := c.plan.Status(now)
	usual := c.plan.Phase() == recovery.Normal && s.PhaseMillis >= settled
	if usual && links >= leastLinks && k.EstimatedLoad > leastFigures {
		sum := links
		for _, m := range c.aliveMembers(now) {
			sum += float64(m.Sessions)
		}
		measured := k.OwnLoad * sum / links / k.EstimatedLoad
		if c.measured == 0 {
			c.measured = measured
		}
		c.measured += (measured - c.measured) * smooth / 3
	}
	if c.measured > 0 {
		return c.measured
	}
	return c.kept.Capacity // or nothing: the figures of the first seconds hold few of the links there are
}

// answer is what one relay says to another that asks.
type answer struct {
	Kept    *relay.Snapshot `json:"Kept"`
	ToldAgo float64         `json:"ToldAgo"`
}

// AnswerQuery is what this relay has kept, for another; k is what it knows now.
func (c *Core) AnswerQuery(now float64, k *relay.Snapshot) []byte {
	a := answer{Kept: k, ToldAgo: -1}
	if k.Endpoints != nil {
		a.ToldAgo = max(now-k.ConfirmedAt, 0)
	} else {
		k.Endpoints = c.kept.Endpoints
	}
	c.learnt(now, k)
	k.RetryAt = nil
	text, _ := json.Marshal(a)
	return text
}

// ReceiveAnswer takes what another relay said, or why nothing.
func (c *Core) ReceiveAnswer(from string, text []byte, err error) {
	var a struct {
		Kept    json.RawMessage `json:"Kept"`
		ToldAgo float64         `json:"ToldAgo"`
	}
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	var k *relay.Snapshot
	if err == nil {
		k, err = relay.ParseSnapshot(a.Kept)
	}
	if err != nil {
		c.plan.ReceiveAnswer(recovery.Source{Name: from}, err.Error())
		return
	}
	c.plan.ReceiveAnswer(recovery.Source{Name: from, Snapshot: k, ConfirmedAgoMillis: a.ToldAgo}, "")
}

// acts turns the plan's acts into those of the whole.
func (c *Core) acts(all []recovery.Action) (acts []Action) {
	for _, a := range all {
		switch {
		case a.Query != "":
			if m, there := c.member(a.Query); there {
				acts = append(acts, Action{Query: &Query{a.Query, c.membership.Address(m)}})
			}
		case a.Event != nil:
			event := a.Event
			if restored, ok := event.(relay.StateRestored); ok {
				event = relay.StateRestored{Snapshot: shifted(restored.Snapshot, -c.fleetClockOffset)}
			}
			acts = append(acts, Action{Event: event})
		case a.Log != "":
			acts = append(acts, Action{Log: a.Log})
		}
	}
	return acts
}

func (c *Core) member(name string) (membership.Member, bool) {
	members := c.membership.Members(c.seen.Now) // of some is asked only where there are others
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	if i < 0 {
		return membership.Member{}, false
	}
	return members[i], true
}

// Status is what operators are told: `valeshift fleet` shows it.
type Status struct {
	Recovery           recovery.Status    `json:"Recovery"`
	Boot               uint64             `json:"Boot"`
	Order              uint64             `json:"Order"`
	Draining           bool               `json:"Lame"`
	DiskFault          string             `json:"Disk"` // what is wrong with it; empty: nothing
	RejectedLastSecond int                `json:"Waiting"`
	Sessions           int                `json:"Links"`
	WarmingUp          int                `json:"Cold"` // servers, of those that can be used
	Usable             int                `json:"Usable"`
	AheadMillis        float64            `json:"Ahead"` // of the fleet's clock, ms
	HasDuplicate       bool               `json:"Twin"`  // another process serves under this relay's name
	Members            []MemberStatus     `json:"Members"`
	Datagrams          membership.Counts  `json:"Wire"`
	Coordinators       *CoordinatorStatus `json:"Council,omitempty"`

	Replication *ReplicationStatus `json:"Holdings,omitempty"`
}

// MemberStatus is another relay as this one sees it.
type MemberStatus struct {
	Name               string  `json:"Name"`
	Zone               string  `json:"Zone"`
	Region             string  `json:"Region"`
	State              string  `json:"State"`
	Phase              string  `json:"Phase"`
	Boot               uint64  `json:"Boot"`
	EndpointsVersion   uint64  `json:"List"`
	AgeMillis          float64 `json:"Age"`   // ms since its start
	SilentMillis       float64 `json:"Quiet"` // ms since news of it
	RejectedLastSecond uint32  `json:"Waiting"`
	Sessions           uint32  `json:"Links"`
	Draining           bool    `json:"Lame"`
}

const duplicateMillis = 10000.0

// Status is how things stand.
func (c *Core) Status(now float64) Status {
	s := Status{Recovery: c.plan.Status(now), Boot: c.boot, Order: c.orderNumber, Draining: c.draining, DiskFault: c.diskWhy,
		RejectedLastSecond: c.seen.RejectedLastSecond, Sessions: c.seen.Sessions, WarmingUp: c.seen.WarmingUp, Usable: c.seen.Usable,
		AheadMillis: -c.fleetClockOffset, Coordinators: c.coordinatorStatus(now), Replication: c.replicationStatus(now)}
	if c.membership == nil {
		return s
	}
	s.Boot, s.Datagrams = c.membership.LocalState().Boot, c.membership.Counts
	s.HasDuplicate = c.membership.DuplicateSeenAt > 0 && now < c.membership.DuplicateSeenAt+duplicateMillis
	for _, m := range c.membership.Members(now) {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, Zone: m.Zone, Region: m.Region,
			State: m.Liveness.String(), Phase: recovery.Phase(min(m.Phase, uint8(recovery.Normal))).String(),
			Boot: m.Boot, EndpointsVersion: m.EndpointsVersion, AgeMillis: m.AgeMillis, SilentMillis: now - m.HeardAt, RejectedLastSecond: m.WaitingClients, Sessions: m.Sessions,
			Draining: m.Draining})
	}
	return s
}
