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
	policyIntervalMillis  = 100.0
	proposalTimeoutMillis = 1000.0 // for what was proposed to be decided, before it is judged anew
)

// Core is one voter.
type Core struct {
	voter            *consensus.Voter
	decisions        *failover.DecisionLog
	policy           *failover.Policy
	clockOffset      float64 // clock time less the time that comes in
	evaluatedAt      float64
	proposedAt       float64               // when something was proposed that is not decided yet; +Inf: nothing is
	proposedAfter    uint64                // the length of the history then
	fromLeader       failover.Announcement // by the leader, where another leads
	fromLeaderAt     float64
	expiryProposedAt map[string]float64
	encodedZones     []byte // the zones of the word said last, of that number
	encodedNumber    uint64
}

// New starts a voter on what its disk has.
func New(now float64, me consensus.Member, voters []consensus.Member, zones []failover.Zone, disk []byte,
	chance *rand.Rand) (*Core, error) {
	c := &Core{decisions: &failover.DecisionLog{}, policy: failover.NewPolicy(zones), evaluatedAt: math.Inf(-1), proposedAt: math.Inf(1),
		fromLeaderAt: math.Inf(-1), expiryProposedAt: map[string]float64{}}
	var err error
	c.voter, err = consensus.New(now, me, voters, disk, c.decisions, chance)
	return c, err
}

// Tick goes on to that time; wall is the machine's clock, for the ends of orders and the history.
func (c *Core) Tick(now, wall float64) {
	c.clockOffset = wall - now
	c.voter.Tick(now)
	if !c.voter.HasLease(now) || now < c.evaluatedAt+policyIntervalMillis {
		return
	}
	c.evaluatedAt = now
	if c.lastDecisionNumber() != c.proposedAfter || now > c.proposedAt+proposalTimeoutMillis {
		c.proposedAt = math.Inf(1)
	}
	for _, id := range c.decisions.ExpiredOrderIDs(wall) {
		if now > c.expiryProposedAt[id]+proposalTimeoutMillis {
			c.expiryProposedAt[id] = now
			c.propose(now, failover.Command{ExpiredOrderID: id, Cause: "the order has ended"})
		}
	}
	if !math.IsInf(c.proposedAt, 1) {
		return
	}
	if command, changed := c.policy.Evaluate(now, c.decisions); changed && c.propose(now, command) == nil {
		c.proposedAt, c.proposedAfter = now, c.lastDecisionNumber()
	}
}

// SetZones has those zones decided on from now on, once this voter leads.
func (c *Core) SetZones(zones []failover.Zone) { c.policy.SetZones(zones) }

// lastDecisionNumber counts what was decided so far.
func (c *Core) lastDecisionNumber() uint64 {
	if n := len(c.decisions.History); n > 0 {
		return c.decisions.History[n-1].Number
	}
	return 0
}

func (c *Core) propose(now float64, command failover.Command) error {
	command.ProposedAt = now + c.clockOffset
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return c.voter.Propose(now, data)
}

// SubmitOrder has an operators' order decided: Answer tells what has become of it. Only who leads takes one.
func (c *Core) SubmitOrder(now float64, o failover.OperatorOrder) error {
	if _, there := c.decisions.DecisionOnOrder(o.ID); there { // given again: it has its answer
		return nil
	}
	return c.propose(now, failover.Command{Order: &o, Cause: fmt.Sprintf("%s %s by %s: %s", o.Action, o.Zone, o.IssuedBy,
		o.Reason)})
}

// DecisionOnOrder is what has become of the order of that ID.
func (c *Core) DecisionOnOrder(id string) (failover.Decision, bool) {
	return c.decisions.DecisionOnOrder(id)
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
		c.policy.AddObservations(now, e)
	}
	return c.encodeAnnouncement(c.Announcement(now)), nil
}

// encodeAnnouncement writes a word; its zones are written once for each picture, as hundreds of relays ask for it.
func (c *Core) encodeAnnouncement(w failover.Announcement) []byte {
	if c.encodedZones == nil || w.Number != c.encodedNumber || len(w.Zones) == 0 {
		c.encodedZones, _ = json.Marshal(w.Zones) // of plain values
		c.encodedNumber = w.Number
	}
	return fmt.Appendf(nil, `{"Number":%d,"Age":%g,"Leads":%t,"Zones":%s}`, w.Number, w.AgeMillis, w.FromLeader, c.encodedZones)
}

// ReceiveAnnouncement takes the leader's word, where another leads.
func (c *Core) ReceiveAnnouncement(now float64, data []byte) {
	var w failover.Announcement
	if json.Unmarshal(data, &w) == nil && w.AgeMillis >= 0 && w.Number >= c.fromLeader.Number &&
		(w.Number > c.fromLeader.Number || now-w.AgeMillis > c.fromLeaderAt-c.fromLeader.AgeMillis) {
		c.fromLeader, c.fromLeaderAt = w, now
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
		return failover.Announcement{Number: c.decisions.Number, Zones: c.decisions.EffectiveZones(), AgeMillis: now - c.voter.LeaseRenewedAt(),
			FromLeader: true}
	}
	w := c.fromLeader
	if w.AgeMillis += now - c.fromLeaderAt; !(w.AgeMillis < failover.DecisionTTL) {
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
	return Status{Status: c.voter.Status(), HasLease: c.voter.HasLease(now), DecisionNumber: c.decisions.Number,
		Zones:  c.decisions.EffectiveZones(),
		Orders: c.decisions.Orders}
}

// History is what was decided of late.
func (c *Core) History() []failover.Decision { return c.decisions.History }
