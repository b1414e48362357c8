// Package chamber is one voter of the council as a whole: what relays see of zones comes in, what is judged
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
	book   *failover.Book
	judge  *failover.Judge
	wall   float64 // clock time less the time that comes in
	judged float64
	out    float64       // when something was proposed that is not decided yet; +Inf: nothing is
	outAt  uint64        // the length of the history then
	told   failover.Word // by the leader, where another leads
	toldAt float64
	ending map[string]float64
	said   []byte // the zones of the word said last, of that number
	saidOf uint64
}

// New starts a voter on what its disk has.
func New(now float64, me consensus.Member, voters []consensus.Member, zones []failover.Zone, disk []byte,
	chance *rand.Rand) (*Core, error) {
	c := &Core{book: &failover.Book{}, judge: failover.NewJudge(zones), judged: math.Inf(-1), out: math.Inf(1),
		toldAt: math.Inf(-1), ending: map[string]float64{}}
	var err error
	c.voter, err = consensus.New(now, me, voters, disk, c.book, chance)
	return c, err
}

// Tick goes on to that time; wall is the machine's clock, for the ends of orders and the history.
func (c *Core) Tick(now, wall float64) {
	c.wall = wall - now
	c.voter.Tick(now)
	if !c.voter.Leads(now) || now < c.judged+judgeEvery {
		return
	}
	c.judged = now
	if c.total() != c.outAt || now > c.out+proposeFor {
		c.out = math.Inf(1)
	}
	for _, id := range c.book.Ended(wall) {
		if now > c.ending[id]+proposeFor {
			c.ending[id] = now
			c.propose(now, failover.Command{Ends: id, Cause: "the order has ended"})
		}
	}
	if !math.IsInf(c.out, 1) {
		return
	}
	if command, changed := c.judge.Judge(now, c.book); changed && c.propose(now, command) == nil {
		c.out, c.outAt = now, c.total()
	}
}

// Over has those zones decided on from now on, once this voter leads.
func (c *Core) Over(zones []failover.Zone) { c.judge.Over(zones) }

// total counts what was decided so far.
func (c *Core) total() uint64 {
	if n := len(c.book.History); n > 0 {
		return c.book.History[n-1].Number
	}
	return 0
}

func (c *Core) propose(now float64, command failover.Command) error {
	command.At = now + c.wall
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return c.voter.Propose(now, data)
}

// Order has an operators' order decided: Answer tells what has become of it. Only who leads takes one.
func (c *Core) Order(now float64, o failover.Order) error {
	if _, there := c.book.Answer(o.ID); there { // given again: it has its answer
		return nil
	}
	return c.propose(now, failover.Command{Order: &o, Cause: fmt.Sprintf("%s %s by %s: %s", o.Do, o.Zone, o.Who,
		o.Reason)})
}

// Answer is what has become of the order of that ID.
func (c *Core) Answer(id string) (failover.Entry, bool) { return c.book.Answer(id) }

// Take takes another voter's frame.
func (c *Core) Take(now float64, data []byte) { c.voter.Take(now, data) }

// Next and Saved are the voter's: what is to be saved before what is to be sent, and that it is.
func (c *Core) Next() consensus.Out { return c.voter.Next() }

// Saved says so.
func (c *Core) Saved() { c.voter.Saved() }

// Hear takes a relay's evidence, or another voter's question where there is none, and gives the word that it
// is answered with.
func (c *Core) Hear(now float64, data []byte) ([]byte, error) {
	if len(data) > 0 {
		e, err := failover.ReadEvidence(data)
		if err != nil {
			return nil, err
		}
		c.judge.Hear(now, e)
	}
	return c.say(c.Word(now)), nil
}

// say writes a word; its zones are written once for each picture, as hundreds of relays ask for it.
func (c *Core) say(w failover.Word) []byte {
	if c.said == nil || w.Number != c.saidOf || len(w.Zones) == 0 {
		c.said, _ = json.Marshal(w.Zones) // of plain values
		c.saidOf = w.Number
	}
	return fmt.Appendf(nil, `{"Number":%d,"Age":%g,"Leads":%t,"Zones":%s}`, w.Number, w.Age, w.Leads, c.said)
}

// Told takes the leader's word, where another leads.
func (c *Core) Told(now float64, data []byte) {
	var w failover.Word
	if json.Unmarshal(data, &w) == nil && w.Age >= 0 && w.Number >= c.told.Number &&
		(w.Number > c.told.Number || now-w.Age > c.toldAt-c.told.Age) {
		c.told, c.toldAt = w, now
	}
}

// Asks is whom this voter asks for the word, as another leads; empty: nobody.
func (c *Core) Asks(now float64) string {
	if c.voter.Leads(now) {
		return ""
	}
	return c.voter.LeaderAt()
}

// Word is what holds, as far as this voter knows: its own while it leads, else the leader's as it was told.
func (c *Core) Word(now float64) failover.Word {
	if c.voter.Leads(now) {
		return failover.Word{Number: c.book.Number, Zones: c.book.Zones(), Age: now - c.voter.Renewed(),
			Leads: true}
	}
	w := c.told
	if w.Age += now - c.toldAt; !(w.Age < failover.Lives) {
		w = failover.Word{Age: -1}
	}
	w.Leads = false
	return w
}

// Status is what operators are told.
type Status struct {
	consensus.Status
	Leads  bool             `json:"Leads"`
	Number uint64           `json:"Number"`
	Zones  []failover.Zone  `json:"Zones"`
	Orders []failover.Order `json:"Orders"`
}

// Status is how things stand here.
func (c *Core) Status(now float64) Status {
	return Status{Status: c.voter.Status(), Leads: c.voter.Leads(now), Number: c.book.Number,
		Zones:  c.book.Zones(),
		Orders: c.book.Orders}
}

// History is what was decided of late.
func (c *Core) History() []failover.Entry { return c.book.History }
