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

// Act is something that Core asks for, one field at a time.
type Act struct {
	Send *membership.Datagram
	Ask  *Question
	Save *store.Record
	Kept uint64 // where not 0: Core's Kept is to be told of it once that is durable, or can't be
	// where not nil: Core's Durable is to be told of it once that is durable, and only then
	Then    *replication.Save
	Tell    *relay.Event
	Settled *Settled
	Note    string
}

// Question goes to one relay: Answered follows, whatever comes of it.
type Question struct{ Name, Address string }

// Core is one relay's side of the fleet.
type Core struct {
	peers      *membership.Peers // nil: none are named
	plan       *recovery.Plan
	phase      recovery.Phase
	boot       uint64 // as it was saved
	order      uint64
	lame       bool
	kept       *relay.Kept // the latest that is worth keeping
	diskWhy    string
	hasDisk    bool
	seen       relay.Seen
	turned     int // at the beginning of the second that is counted
	turnedAt   float64
	waiting    float64
	measured   float64 // what a server bears; 0: not yet in this life
	keepAt     float64
	off        float64 // what the fleet's clock is ahead of the times that come in, as the relay was told
	clockAt    float64
	beyondAt   float64
	beyondSaid float64 // what others have placed, as the relay was told
	read       bool
	council    *council // nil: no voters are named
	held       *held    // nil: nothing is held for others
}

// New starts the relay's side: with others, where an own word is given that says where it hears them, and
// with a disk, which is told of by Disk.
func New(now float64, own membership.Word, seeds []string, key []byte, disk bool, chance *rand.Rand) *Core {
	c := &Core{plan: recovery.New(now, disk, own.Address != ""), hasDisk: disk, turnedAt: now,
		keepAt: now + keepEvery, kept: &relay.Kept{}, beyondSaid: -1, diskWhy: "being read"}
	if !disk {
		c.diskWhy = "none is named"
	}
	if own.Address != "" {
		c.peers = membership.New(now, own, seeds, key, chance)
	}
	return c
}

// orderBody is an operators' order as it is kept.
type orderBody struct {
	Number uint64 `json:"Number"`
	Lame   bool   `json:"Lame"`
}

// Disk takes what the store had at the start, or why there is none. An order on it holds at once.
func (c *Core) Disk(now float64, s *store.Store, found store.Found, err error) (acts []Act) {
	d := recovery.Disk{}
	if err != nil {
		c.diskWhy, c.hasDisk, d.Why = err.Error(), false, err.Error()
		return c.acts(c.plan.Read(now, d))
	}
	c.diskWhy, c.read = "", true
	if found.Damaged > 0 || found.Torn > 0 {
		c.diskWhy = fmt.Sprintf("%d damaged pieces passed over, %d bytes cut off", found.Damaged, found.Torn)
		acts = append(acts, Act{Note: "disk: " + c.diskWhy})
	}
	c.boot = found.LastBoot + 1
	if c.peers != nil {
		c.peers.Above(found.LastBoot)
		c.boot = c.peers.Own().Boot
	}
	acts = append(acts, c.saveBoot(now))
	if r, there := s.Get(store.Order, ""); there {
		var o orderBody
		if json.Unmarshal(r.Body, &o) == nil && o.Number >= c.order {
			acts = append(acts, c.follow(o.Number, o.Lame)...)
		}
	}
	c.holdsDisk(now, s, found.LastBoot)
	if r, there := s.Get(store.Decision, ""); there && c.council != nil {
		c.council.follower.Recall(r.Body)
	}
	if r, there := s.Get(store.Knowing, ""); there {
		if d.Kept, err = relay.ReadKept(r.Body); err != nil {
			d.Kept, d.Why = nil, err.Error()
		} else if c.kept.List == nil && c.kept.Capacity == 0 {
			c.kept = d.Kept
		}
	}
	return append(acts, c.acts(c.plan.Read(now, d))...)
}

func (c *Core) saveBoot(now float64) Act {
	return Act{Save: &store.Record{Kind: store.Boot, Boot: c.boot, At: now, Body: []byte("x")}}
}

// follow has the relay be as the order of that number says.
func (c *Core) follow(number uint64, lame bool) (acts []Act) {
	changed := lame != c.lame
	c.order, c.lame = number, lame
	if c.peers != nil {
		w := c.peers.Own()
		w.Order, w.Lame = number, lame
		c.peers.Say(w)
	}
	if changed {
		acts = append(acts, Act{Tell: &relay.Event{Kind: relay.LameDuck, Off: !lame}})
	}
	return acts
}

// Order takes an operators' order, and gives its record; it is promised once that is durable.
func (c *Core) Order(now float64, lame bool) (store.Record, []Act) {
	number := c.order + 1
	if c.peers != nil {
		number = max(number, c.peers.Own().Order+1)
	}
	acts := c.follow(number, lame)
	body, _ := json.Marshal(orderBody{number, lame}) // of plain values
	return store.Record{Kind: store.Order, Boot: c.boot, At: now, Body: body}, acts
}

// Heard takes a datagram.
func (c *Core) Heard(now float64, from string, data []byte) (acts []Act) {
	if acts, is := c.said(now, from, data); is {
		return acts
	}
	if acts, is := c.heldFrame(now, from, data); is {
		return acts
	}
	if c.peers == nil {
		return nil
	}
	for _, d := range c.peers.Take(now, from, data) {
		acts = append(acts, Act{Send: &d})
	}
	return append(acts, c.own(now)...)
}

// own follows what others know of this relay: a boot above its own, an order later than its own.
func (c *Core) own(now float64) (acts []Act) {
	w := c.peers.Own()
	if w.Boot > c.boot && c.read {
		if c.boot = w.Boot; c.held != nil {
			c.held.older = true
		}
		acts = append(acts, c.saveBoot(now))
	}
	return append(acts, c.reminded(now, w.Order, w.Lame)...)
}

// reminded takes an order to this relay that others know, where it is later than its own or the stricter.
func (c *Core) reminded(now float64, number uint64, lame bool) []Act {
	if number < c.order || (number == c.order && (c.lame || !lame)) {
		return nil
	}
	acts := append([]Act{{Note: fmt.Sprintf("order %d, empty %t, as other relays remember it", number, lame)}},
		c.follow(number, lame)...)
	body, _ := json.Marshal(orderBody{number, lame}) // of plain values
	return append(acts, Act{Save: &store.Record{Kind: store.Order, Boot: c.boot, At: now, Body: body}})
}

// heard are the relays that are alive now.
func (c *Core) heard(now float64) []membership.Member {
	if c.peers == nil {
		return nil
	}
	return slices.DeleteFunc(c.peers.Members(now), func(m membership.Member) bool { return m.State != membership.Alive })
}

// others are those as the plan sees them.
func (c *Core) others(now float64) (all []recovery.Other) {
	for _, m := range c.heard(now) {
		all = append(all, recovery.Other{Name: m.Name, Age: m.Age, Phase: recovery.Phase(m.Phase),
			Waiting: m.Waiting, Links: m.Links, Mute: c.peers.Reach(m) == ""})
	}
	return all
}

// clock has the relay told what its time is ahead of the clock by which servers' starts are told:
// discovery's, where that says its own. Else it is the clock in the middle of this machine's and those of the
// relays that are heard: one that is wrong or lies moves it by a place; of two in the middle it is the
// earlier, by which servers are younger and so colder.
func (c *Core) clock(now, wall, dated float64) []Act {
	if now < c.clockAt {
		return nil
	}
	if c.plan.Phase() >= recovery.Admitting { // before that, at each look: cold servers wait for it
		c.clockAt = now + clockEvery
	}
	all := []float64{wall - now}
	if c.peers != nil {
		c.peers.Off = wall - now
	}
	for _, m := range c.heard(now) {
		if !math.IsNaN(m.Off) {
			all = append(all, m.Off)
		}
	}
	slices.Sort(all)
	off := all[(len(all)-1)/2]
	if !math.IsNaN(dated) {
		off = dated
	}
	if math.Abs(off-c.off) < leastOff {
		return nil
	}
	c.off = off
	return []Act{{Tell: &relay.Event{Kind: relay.Clocked, Ahead: -off}},
		{Note: fmt.Sprintf("this relay's time is ahead by %.0f ms, of %d relays and discovery %t", -off, len(all),
			!math.IsNaN(dated))}}
}

// shifted has the promised times of what is kept be by another clock: the disk's are by the fleet's.
func shifted(k *relay.Kept, by float64) *relay.Kept {
	if by == 0 || len(k.Back) == 0 {
		return k
	}
	moved := *k
	moved.Back = make(map[uint64]float64, len(k.Back))
	for key, at := range k.Back {
		moved.Back[key] = at + by
	}
	return &moved
}

// Tick goes on, by what the relay itself sees and its machine's clock says.
func (c *Core) Tick(now, wall float64, seen relay.Seen) (acts []Act) {
	if now >= c.turnedAt+rateOver {
		rate := float64(seen.Turned-c.turned) * 1000 / (now - c.turnedAt)
		c.waiting += (rate - c.waiting) * smooth
		c.turned, c.turnedAt = seen.Turned, now
	}
	seen.Waiting = int(c.waiting)
	c.seen = seen
	var others []recovery.Other
	if c.plan.Phase() != recovery.Normal { // nobody looks at them else
		others = c.others(now)
	}
	acts = append(c.clock(now, wall, seen.Dated), c.acts(c.plan.Look(now, others, seen))...)
	acts = append(append(acts, c.direct(now)...), c.holdsOn(now)...)
	if c.peers != nil {
		w := c.peers.Own()
		w.Phase, w.List = uint8(c.plan.Phase()), seen.Index
		w.Waiting, w.Links = uint32(max(seen.Waiting, 0)), uint32(max(seen.Links, 0))
		w.Order, w.Lame, w.Placed = c.order, c.lame, uint64(max(seen.Placed, 0))
		c.peers.Say(w)
		acts = append(acts, c.beyond(now, max(seen.Placed, 0))...)
		for _, d := range c.peers.Tick(now) {
			acts = append(acts, Act{Send: &d})
		}
	}
	return acts
}

// beyond tells what the others have placed that figures may not hold yet, by their own words. One voice
// counts for some times the middle one at the most: against one that is wrong having all servers look full.
func (c *Core) beyond(now, own float64) []Act {
	if now < c.beyondAt {
		return nil
	}
	c.beyondAt = now + beyondEvery
	others, all, sum := c.heard(now), []float64{own}, -1.0
	for _, m := range others {
		all = append(all, float64(m.Placed))
	}
	if len(others) > 0 {
		slices.Sort(all)
		sum = 0
		for _, m := range others {
			sum += min(float64(m.Placed), mostVoice*all[len(all)/2])
		}
	}
	if sum == c.beyondSaid {
		return nil
	}
	c.beyondSaid = sum
	return []Act{{Tell: &relay.Event{Kind: relay.Beyond, Placed: sum}}}
}

// Keeps tells whether what is known is to be written now.
func (c *Core) Keeps(now float64) bool {
	if now < c.keepAt || c.plan.Phase() < recovery.Admitting {
		return false
	}
	c.keepAt = now + keepEvery
	return true
}

// Keep takes what the relay knows now, and gives its record. What this life has not learnt yet is kept as it
// was: against a relay that dies young leaving less than it was left.
func (c *Core) Keep(now float64, k *relay.Kept) store.Record {
	if k.List == nil || len(k.List.Entries) == 0 {
		k.List, k.Told = c.kept.List, c.kept.Told
	}
	c.learnt(now, k)
	c.kept = k
	text, _ := shifted(k, c.off).Text() // of plain values
	return store.Record{Kind: store.Knowing, Boot: c.boot, At: now, Body: text}
}

// learnt fills in what this life has not learnt yet.
func (c *Core) learnt(now float64, k *relay.Kept) {
	if k.Capacity == 0 {
		k.Capacity, k.LoadMean, k.Categories = c.kept.Capacity, c.kept.LoadMean, c.kept.Categories
	}
	k.Capacity = c.bears(now, k)
}

// bears is what a server bears, by what all relays together hold and what the servers say: this relay's own
// load times all links over its own. Against a relay's guess from its part alone, which it takes for an even
// one: with some relays gone it came to six times the truth. Alone, or with too little to go by, that is all
// there is.
func (c *Core) bears(now float64, k *relay.Kept) float64 {
	if c.peers == nil {
		return k.Capacity
	}
	links := float64(c.seen.Links)
	s := c.plan.Status(now)
	usual := c.plan.Phase() == recovery.Normal && s.For >= settled
	if usual && links >= leastLinks && k.Figures > leastFigures {
		sum := links
		for _, m := range c.heard(now) {
			sum += float64(m.Links)
		}
		measured := k.Own * sum / links / k.Figures
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
	Kept    *relay.Kept `json:"Kept"`
	ToldAgo float64     `json:"ToldAgo"`
}

// Answer is what this relay has kept, for another; k is what it knows now.
func (c *Core) Answer(now float64, k *relay.Kept) []byte {
	a := answer{Kept: k, ToldAgo: -1}
	if k.List != nil {
		a.ToldAgo = max(now-k.Told, 0)
	} else {
		k.List = c.kept.List
	}
	c.learnt(now, k)
	k.Back = nil
	text, _ := json.Marshal(a)
	return text
}

// Answered takes what another relay said, or why nothing.
func (c *Core) Answered(from string, text []byte, err error) {
	var a struct {
		Kept    json.RawMessage `json:"Kept"`
		ToldAgo float64         `json:"ToldAgo"`
	}
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	var k *relay.Kept
	if err == nil {
		k, err = relay.ReadKept(a.Kept)
	}
	if err != nil {
		c.plan.Answered(recovery.Voice{From: from}, err.Error())
		return
	}
	c.plan.Answered(recovery.Voice{From: from, Kept: k, ToldAgo: a.ToldAgo}, "")
}

// acts turns the plan's acts into those of the whole.
func (c *Core) acts(all []recovery.Act) (acts []Act) {
	for _, a := range all {
		switch {
		case a.Ask != "":
			if m, there := c.member(a.Ask); there {
				acts = append(acts, Act{Ask: &Question{a.Ask, c.peers.Reach(m)}})
			}
		case a.Tell != nil:
			if a.Tell.Kept != nil {
				a.Tell.Kept = shifted(a.Tell.Kept, -c.off)
			}
			acts = append(acts, Act{Tell: a.Tell})
		case a.Note != "":
			acts = append(acts, Act{Note: a.Note})
		}
	}
	return acts
}

func (c *Core) member(name string) (membership.Member, bool) {
	members := c.peers.Members(c.seen.Now) // of some is asked only where there are others
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	if i < 0 {
		return membership.Member{}, false
	}
	return members[i], true
}

// Status is what operators are told: `valeshift fleet` shows it.
type Status struct {
	Recovery recovery.Status   `json:"Recovery"`
	Boot     uint64            `json:"Boot"`
	Order    uint64            `json:"Order"`
	Lame     bool              `json:"Lame"`
	Disk     string            `json:"Disk"` // what is wrong with it; empty: nothing
	Waiting  int               `json:"Waiting"`
	Links    int               `json:"Links"`
	Cold     int               `json:"Cold"` // servers, of those that can be used
	Usable   int               `json:"Usable"`
	Ahead    float64           `json:"Ahead"` // of the fleet's clock, ms
	Twin     bool              `json:"Twin"`  // another process serves under this relay's name
	Members  []MemberStatus    `json:"Members"`
	Wire     membership.Counts `json:"Wire"`
	Council  *CouncilStatus    `json:"Council,omitempty"`

	Holdings *HoldingsStatus `json:"Holdings,omitempty"`
}

// MemberStatus is another relay as this one sees it.
type MemberStatus struct {
	Name    string  `json:"Name"`
	Zone    string  `json:"Zone"`
	Region  string  `json:"Region"`
	State   string  `json:"State"`
	Phase   string  `json:"Phase"`
	Boot    uint64  `json:"Boot"`
	List    uint64  `json:"List"`
	Age     float64 `json:"Age"`   // ms since its start
	Quiet   float64 `json:"Quiet"` // ms since news of it
	Waiting uint32  `json:"Waiting"`
	Links   uint32  `json:"Links"`
	Lame    bool    `json:"Lame"`
}

const twinFor = 10000.0

// Status is how things stand.
func (c *Core) Status(now float64) Status {
	s := Status{Recovery: c.plan.Status(now), Boot: c.boot, Order: c.order, Lame: c.lame, Disk: c.diskWhy,
		Waiting: c.seen.Waiting, Links: c.seen.Links, Cold: c.seen.Cold, Usable: c.seen.Usable,
		Ahead: -c.off, Council: c.councilStatus(now), Holdings: c.holdingsStatus(now)}
	if c.peers == nil {
		return s
	}
	s.Boot, s.Wire = c.peers.Own().Boot, c.peers.Counts
	s.Twin = c.peers.Twin > 0 && now < c.peers.Twin+twinFor
	for _, m := range c.peers.Members(now) {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, Zone: m.Zone, Region: m.Region,
			State: m.State.String(), Phase: recovery.Phase(min(m.Phase, uint8(recovery.Normal))).String(),
			Boot: m.Boot, List: m.List, Age: m.Age, Quiet: now - m.Heard, Waiting: m.Waiting, Links: m.Links,
			Lame: m.Lame})
	}
	return s
}
