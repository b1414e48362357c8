// Package coordinator is one voter of the council as a whole: what relays see of zones comes in, what is judged
// of it is agreed on with the other voters, and what was decided goes out to whoever asks. Core has all
// state and no I/O, so that it runs under virtual time; Run drives it on sockets and a disk. No relay's link
// ever waits for it.
package coordinator

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

const (
	judgeEvery = 100.0
	proposeFor = 1000.0 // for what was proposed to be decided, before it is judged anew
)

// Core is one voter.
type Core struct {
	voter  *consensus.Voter
	book   *failover.DecisionLog
	judge  *failover.Policy
	wall   float64 // clock time less the time that comes in
	judged float64
	out    float64               // when something was proposed that is not decided yet; +Inf: nothing is
	outAt  uint64                // the length of the history then
	told   failover.Announcement // by the leader, where another leads
	toldAt float64
	ending map[string]float64
	said   []byte // the zones of the word said last, of that number
	saidOf uint64
}

// New starts a voter on what its disk has.
func New(now float64, me consensus.Member, voters []consensus.Member, zones []failover.Zone, disk []byte,
	chance *rand.Rand) (*Core, error) {
	c := &Core{book: &failover.DecisionLog{}, judge: failover.NewPolicy(zones), judged: math.Inf(-1), out: math.Inf(1),
		toldAt: math.Inf(-1), ending: map[string]float64{}}
	var err error
	c.voter, err = consensus.New(now, me, voters, disk, c.book, chance)
	return c, err
}

// Tick goes on to that time; wall is the machine's clock, for the ends of orders and the history.
func (c *Core) Tick(now, wall float64) {
	c.wall = wall - now
	c.voter.Tick(now)
	if !c.voter.HasLease(now) || now < c.judged+judgeEvery {
		return
	}
	c.judged = now
	if c.total() != c.outAt || now > c.out+proposeFor {
		c.out = math.Inf(1)
	}
	for _, id := range c.book.ExpiredOrderIDs(wall) {
		if now > c.ending[id]+proposeFor {
			c.ending[id] = now
			c.propose(now, failover.Command{ExpiredOrderID: id, Cause: failover.CauseOrderExpired})
		}
	}
	if !math.IsInf(c.out, 1) {
		return
	}
	if command, changed := c.judge.Evaluate(now, c.book); changed && c.propose(now, command) == nil {
		c.out, c.outAt = now, c.total()
	}
}

// SetZones has those zones decided on from now on, once this voter leads.
func (c *Core) SetZones(zones []failover.Zone) { c.judge.SetZones(zones) }

// total counts what was decided so far.
func (c *Core) total() uint64 {
	if n := len(c.book.History); n > 0 {
		return c.book.History[n-1].Number
	}
	return 0
}

func (c *Core) propose(now float64, command failover.Command) error {
	command.ProposedAt = now + c.wall
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return c.voter.Propose(now, data)
}

// SubmitOrder has an operators' order decided: Answer tells what has become of it. Only who leads takes one.
func (c *Core) SubmitOrder(now float64, o failover.OperatorOrder) error {
	if _, there := c.book.DecisionOnOrder(o.ID); there { // given again: it has its answer
		return nil
	}
	return c.propose(now, failover.Command{Order: &o, Cause: failover.CauseOrdered(o)})
}

// DecisionOnOrder is what has become of the order of that ID.
func (c *Core) DecisionOnOrder(id string) (failover.Decision, bool) {
	return c.book.DecisionOnOrder(id)
}

// ReceiveMessage takes another voter's frame.
func (c *Core) ReceiveMessage(now float64, data []byte) { c.voter.Receive(now, data) }

// Ready and Saved are the voter's: what is to be saved before what is to be sent, and that it is.
func (c *Core) Ready() consensus.Ready { return c.voter.Ready() }

// Advance says so.
func (c *Core) Advance() { c.voter.Advance() }

// ReceiveObservations takes a relay's evidence, or another voter's question where there is none, and gives the word that it
// is answered with.
func (c *Core) ReceiveObservations(now float64, data []byte) ([]byte, error) {
	if len(data) > 0 {
		e, err := failover.DecodeObservations(data)
		if err != nil {
			return nil, err
		}
		c.judge.AddObservations(now, e)
	}
	return c.say(c.Announcement(now)), nil
}

// say writes a word; its zones are written once for each picture, as hundreds of relays ask for it.
func (c *Core) say(w failover.Announcement) []byte {
	if c.said == nil || w.Number != c.saidOf || len(w.Zones) == 0 {
		c.said, _ = json.Marshal(w.Zones) // of plain values
		c.saidOf = w.Number
	}
	return fmt.Appendf(nil, `{"Number":%d,"Age":%g,"Leads":%t,"Zones":%s}`, w.Number, w.AgeMillis, w.FromLeader, c.said)
}

// ReceiveAnnouncement takes the leader's word, where another leads.
func (c *Core) ReceiveAnnouncement(now float64, data []byte) {
	var w failover.Announcement
	if json.Unmarshal(data, &w) == nil && w.AgeMillis >= 0 && w.Number >= c.told.Number &&
		(w.Number > c.told.Number || now-w.AgeMillis > c.toldAt-c.told.AgeMillis) {
		c.told, c.toldAt = w, now
	}
}

// AnnouncementSource is whom this voter asks for the word, as another leads; empty: nobody.
func (c *Core) AnnouncementSource(now float64) string {
	if c.voter.HasLease(now) {
		return ""
	}
	return c.voter.LeaderAddress()
}

// Announcement is what holds, as far as this voter knows: its own while it leads, else the leader's as it was told.
func (c *Core) Announcement(now float64) failover.Announcement {
	if c.voter.HasLease(now) {
		return failover.Announcement{Number: c.book.Number, Zones: c.book.EffectiveZones(), AgeMillis: now - c.voter.LeaseRenewedAt(),
			FromLeader: true}
	}
	w := c.told
	if w.AgeMillis += now - c.toldAt; !(w.AgeMillis < failover.DecisionTTL) {
		w = failover.Announcement{AgeMillis: -1}
	}
	w.FromLeader = false
	return w
}

// Status is what operators are told.
type Status struct {
	consensus.Status
	HasLease       bool                     `json:"Leads"`
	DecisionNumber uint64                   `json:"Number"`
	Zones          []failover.Zone          `json:"Zones"`
	Orders         []failover.OperatorOrder `json:"Orders"`
}

// Status is how things stand here.
func (c *Core) Status(now float64) Status {
	return Status{Status: c.voter.Status(), HasLease: c.voter.HasLease(now), DecisionNumber: c.book.Number,
		Zones:  c.book.EffectiveZones(),
		Orders: c.book.Orders}
}

// History is what was decided of late.
func (c *Core) History() []failover.Decision { return c.book.History }
