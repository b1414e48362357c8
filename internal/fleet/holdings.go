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

// This file is a relay's side of what is held for others: places of clients that were told to come again, and
// marks of setup tries that may run. The relay's reducer asks (Entrust, Claim, Release); who holds what is
// holdings' business.

const (
	mostHoldings = 1 << 18 // of other relays' records, on this disk
	holdWithin   = 200.0   // ms, after which a promise is given up by its holders as well
	viewEvery    = 200.0
	wordBack     = 1.0    // of the time that a link waits for a word, for that to come to it
	stoodFor     = 3.0e6  // that a word on where a client stands holds, unless it ends before
	sweepEvery   = 5000.0 // of what may be taken back
	hintsEvery   = 2000.0 // that hints are told anew that were not held
	mostHints    = 500    // of them at a time
	holdingFrame = 'h'    // first byte of such a datagram, which no peers' one has
	placeLate    = 700.0  // after the time told, as admission counts it

	orderFor     = 3e6 // that others hold an order, unless it is held anew
	orderWithin  = 800.0
	orderEvery   = 2000.0
	orderReadFor = 1000.0
	orderReads   = 10 // for those who hold it may start later
	orderTells   = 3
	latest       = 1024
)

// entrusted is a client's word on its way to others.
type entrusted struct {
	conn uint64
	at   float64
}

// given is what the relay may take back: a word on a connection.
type given struct {
	word relay.Word
	conn uint64
}

// ending is until when others hold it at the most, by this relay's time.
type ending struct {
	given
	end float64
}

type held struct {
	core    *replication.Core
	key     []byte
	life    uint64
	viewAt  float64
	sweepAt float64
	members []replication.Member
	entrust map[uint64]entrusted // by token
	took    [latest]float64      // ms, that the latest words took to be held, in turn
	words   int
	claims  map[uint64]relay.Effect // by token
	given   map[given]uint64        // tokens of what may be taken back
	ends    []ending                // of those, as they came
	hints   map[uint64]relay.Effect // on their way, by token
	again   []relay.Effect          // hints that others did not hold, to be told anew
	againAt float64
	older   bool // this disk is not the one that the relay has spoken by

	orders  map[uint64]bool    // tokens of those that are being held, or read
	reads   int                // times that it was read so far
	nextAt  float64            // when it is read, or held anew, at the soonest
	ordered replication.Record // as it was promised last
	former  replication.Record // and before that: its holders are told so some times, as nobody answers to it
	tells   int
}

// Holds has the relay's words held by so many machines, this one among them where the lot falls on it; marks
// of setup tries for so long beyond their links' hard limits, 0: none are kept; and where clients stand.
func (c *Core) Holds(name string, life uint64, copies int, remember float64, stood bool, key []byte,
	chance *rand.Rand) []Act {
	c.held = &held{core: replication.New(name, life, copies, mostHoldings, chance), key: key, life: life,
		entrust: map[uint64]entrusted{}, claims: map[uint64]relay.Effect{}, given: map[given]uint64{},
		hints:  map[uint64]relay.Effect{},
		orders: map[uint64]bool{}}
	c.held.core.Mute(true)
	return []Act{{Tell: &relay.Event{Kind: relay.Holds, At: remember, Stood: stood}}}
}

// fleetTime is the time that all relays mean, of this relay's.
func (c *Core) fleetTime(now float64) float64 { return now + c.off }

// Settled is what has become of an order that others were to hold.
type Settled struct {
	Token uint64
	OK    bool
}

// HoldOrder has others hold the order that this relay was given last; a Settled follows, under that token.
func (c *Core) HoldOrder(now float64) (token uint64, acts []Act) {
	body, _ := json.Marshal(orderBody{c.order, c.lame}) // of plain values
	token, all := c.held.core.Put(c.fleetTime(now), replication.Record{Kind: replication.Order,
		Key:     c.peers.Own().Name,
		Version: c.order, End: c.fleetTime(now) + orderFor, Body: body}, orderWithin)
	c.held.orders[token], c.held.nextAt = true, now+orderEvery
	return token, c.holds(now, all)
}

// orders reads once what others hold of this relay's orders, and has its last one held anew where a holder
// has gone or leaves, or its time has half run out.
func (c *Core) orders(now float64, members []replication.Member) []Act {
	h := c.held
	if now < h.nextAt || c.plan.Phase() < recovery.Admitting || !c.read {
		return nil
	}
	h.nextAt = now + orderEvery
	if h.reads < orderReads && c.order == 0 && len(members) > 1 {
		h.reads++
		token, acts := h.core.Read(c.fleetTime(now), replication.Order, c.peers.Own().Name, orderReadFor)
		h.orders[token] = true
		return c.holds(now, acts)
	}
	if h.former.ID != 0 && h.tells > 0 {
		h.tells--
		return c.holds(now, h.core.Release(c.fleetTime(now), h.former))
	}
	there := func(o replication.Holder) bool {
		return slices.ContainsFunc(members, func(m replication.Member) bool { return m.Name == o.Name && !m.Leaves })
	}
	missing := slices.ContainsFunc(h.ordered.Holders, func(o replication.Holder) bool { return !there(o) })
	if c.order == 0 || (h.ordered.Version == c.order && !missing &&
		c.fleetTime(now) < h.ordered.End-orderFor/2) {
		return nil
	}
	_, acts := c.HoldOrder(now)
	return acts
}

func placeKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// Trust does what the reducer asks for.
func (c *Core) Trust(now float64, f relay.Effect) []Act {
	if c.held == nil {
		return nil
	}
	h, at, key := c.held, c.fleetTime(now), placeKey(f.Key)
	mine := given{f.Word, f.Conn}
	var token uint64
	var acts []replication.Act
	switch {
	case f.Do == relay.Release:
		token = h.given[mine]
		delete(h.given, mine)
		return c.holds(now, h.core.Over(at, token))
	case f.Do == relay.Claim && f.Word == relay.Place:
		token, acts = h.core.Take(at, replication.Place, key)
	case f.Do == relay.Claim:
		token, acts = h.core.Read(at, kinds[f.Word], key, max(f.At-now-wordBack, 1))
	}
	if f.Do == relay.Claim {
		h.claims[token] = f
		return c.holds(now, acts)
	}
	r := replication.Record{Kind: kinds[f.Word], Key: key, Version: uint64(max(at, 0)), At: at,
		Body: []byte(f.Text)}
	switch f.Word {
	case relay.Place:
		r.Version, r.At, r.End = 0, f.At+c.off, f.At+c.off+placeLate
	case relay.Ran:
		r.End = f.At + c.off
	case relay.Stood:
		r.End = at + stoodFor
	}
	token, acts = h.core.Put(at, r, holdWithin)
	if f.Word == relay.Stood { // nobody waits for a hint
		h.hints[token] = f
	} else {
		h.entrust[token] = entrusted{f.Conn, now}
	}
	if f.Word != relay.Place {
		if _, again := h.given[mine]; !again { // a hint that is told anew ends no sooner for it
			h.ends = append(h.ends, ending{mine, r.End - c.off})
		}
		h.given[mine] = token
	}
	return c.holds(now, acts)
}

// kinds are what words are held as.
var kinds = [...]replication.Kind{relay.Place: replication.Place, relay.Ran: replication.Mark,
	relay.Stood: replication.Affinity}

// heldFrame takes a datagram of another's holdings; false: it is none.
func (c *Core) heldFrame(now float64, from string, data []byte) ([]Act, bool) {
	if c.held == nil || len(data) == 0 || data[0] != holdingFrame {
		return nil, false
	}
	body, err := membership.Open(c.held.key, data)
	if err != nil {
		return nil, true
	}
	acts, err := c.held.core.Heard(c.fleetTime(now), from, body[1:])
	if err != nil {
		return nil, true
	}
	return c.holds(now, acts), true
}

// Durable says that what holdings had saved is on the disk.
func (c *Core) Durable(now float64, s *replication.Save) []Act {
	return c.holds(now, c.held.core.Saved(c.fleetTime(now), s))
}

// holds turns its acts into those of the whole.
func (c *Core) holds(now float64, all []replication.Act) (acts []Act) {
	for _, a := range all {
		switch {
		case a.Save != nil:
			acts = append(acts, Act{Save: &store.Record{Kind: store.Holding, Key: a.Save.Name, Boot: c.boot, At: now,
				Body: a.Save.Body}, Then: a.Save})
		case a.Data != nil:
			acts = append(acts, Act{Send: &membership.Datagram{To: a.To,
				Data: membership.Seal(c.held.key, append([]byte{holdingFrame}, a.Data...))}})
		case a.Done != nil:
			acts = append(acts, c.outcome(now, a.Done)...)
		}
	}
	return acts
}

func (c *Core) outcome(now float64, o *replication.Outcome) []Act {
	h := c.held
	if w, there := h.entrust[o.Token]; there {
		delete(h.entrust, o.Token)
		if o.OK {
			h.took[h.words%latest] = now - w.at
			h.words++
		}
		return []Act{{Tell: &relay.Event{Kind: relay.Entrusted, Conn: w.conn, Off: !o.OK}}}
	}
	if f, there := h.hints[o.Token]; there {
		if delete(h.hints, o.Token); !o.OK && len(h.again) < mostWants {
			h.again = append(h.again, f)
		}
		return nil
	}
	if h.orders[o.Token] {
		delete(h.orders, o.Token)
		acts := []Act{{Settled: &Settled{o.Token, o.OK}}}
		if !o.OK && o.Record.Owner != "" {
			acts = append(acts, Act{Note: "an order is not held by others: " + o.Why})
		}
		if o.OK && o.Record.Kind == replication.Order {
			var kept orderBody
			if json.Unmarshal(o.Record.Body, &kept) == nil { // one that its own disk has lost
				acts = append(acts, c.reminded(now, kept.Number, kept.Lame)...)
			}
			if o.Record.Owner == c.peers.Own().Name && o.Record.Version == c.order {
				if h.former, h.tells = h.ordered, orderTells; h.ordered.ID == o.Record.ID {
					h.tells = 0
				}
				h.ordered = o.Record
			}
		}
		return acts
	}
	f, there := h.claims[o.Token]
	delete(h.claims, o.Token)
	if !there || (!o.OK && f.Word == relay.Place) {
		return nil
	}
	return []Act{{Tell: &relay.Event{Kind: relay.Claimed, Word: f.Word, Conn: f.Conn, Key: f.Key, Off: !o.OK,
		At: o.Record.At - c.off, Text: string(o.Record.Body)}}}
}

// holdsOn goes on. Nothing is held or said of while it is not known that this disk is the latest that the
// relay has spoken by, or while another process has its name.
func (c *Core) holdsOn(now float64) []Act {
	h := c.held
	if h == nil {
		return nil
	}
	if now >= h.viewAt {
		h.viewAt = now + viewEvery
		own := c.peers.Own()
		all := []replication.Member{{Name: own.Name, Zone: own.Zone, Address: own.Address, Life: h.life,
			Leaves: c.lame}}
		for _, m := range c.heard(now) {
			if at := c.peers.Reach(m); at != "" {
				all = append(all, replication.Member{Name: m.Name, Zone: m.Zone, Address: at, Life: m.Life,
					Leaves: m.Lame})
			}
		}
		h.members = all
		h.core.Members(all)
		twin := c.peers.Twin > 0 && now < c.peers.Twin+twinFor
		h.core.Mute(!c.read || twin || c.plan.Phase() < recovery.Admitting)
	}
	if now >= h.sweepAt {
		h.sweepAt = now + sweepEvery
		h.ends = slices.DeleteFunc(h.ends, func(e ending) bool {
			_, there := h.given[e.given]
			if there && e.end < now {
				delete(h.given, e.given)
			}
			return !there || e.end < now
		})
	}
	acts := c.orders(now, h.members)
	if now >= h.againAt {
		h.againAt = now + hintsEvery
		n := min(len(h.again), mostHints)
		for _, f := range h.again[:n] {
			if _, there := h.given[given{f.Word, f.Conn}]; there { // it stands yet
				acts = append(acts, c.Trust(now, f)...)
			}
		}
		h.again = append([]relay.Effect(nil), h.again[n:]...)
	}
	if h.older {
		h.older = false
		acts = append(acts, Act{Note: "the disk is an older one: what it holds for others is put aside"})
		acts = append(acts, c.holds(now, h.core.Forget())...)
	}
	return append(acts, c.holds(now, h.core.Tick(c.fleetTime(now)))...)
}

// HeldDue is after how long HeldOn is due, ms; +Inf: never.
func (c *Core) HeldDue(now float64) float64 {
	if c.held == nil {
		return math.Inf(1)
	}
	return max(c.held.core.Due()-c.fleetTime(now), 0)
}

// HeldOn goes on with what others were asked for, between two ticks of the whole.
func (c *Core) HeldOn(now float64) []Act { return c.holds(now, c.held.core.Tick(c.fleetTime(now))) }

// holdsDisk takes what the disk holds for others, unless others know a later start of this relay than the
// disk does.
func (c *Core) holdsDisk(now float64, s *store.Store, lastBoot uint64) {
	if c.held == nil {
		return
	}
	for _, r := range s.All(store.Holding) {
		c.held.core.Load(c.fleetTime(now), r.Key, r.Body)
	}
	c.held.older = c.boot > lastBoot+1
}

// HoldingsStatus is what operators are told.
type HoldingsStatus struct {
	Kinds  map[string]replication.Standing `json:"Kinds"`
	Able   bool                            `json:"Able"`   // there are relays enough for a promise
	Counts map[string]replication.Counts   `json:"Counts"` // by kind
	// ms, that the latest words took until others held them; 0: there were none
	P50 float64 `json:"P50"`
	P99 float64 `json:"P99"`
}

// Page shows one part of what this relay holds for others; nil where it holds nothing for any.
func (c *Core) Page(now float64, part int) *replication.Page {
	if c.held == nil {
		return nil
	}
	return c.held.core.Page(c.fleetTime(now), part)
}

func (c *Core) holdingsStatus(now float64) *HoldingsStatus {
	if c.held == nil {
		return nil
	}
	s := &HoldingsStatus{Able: c.held.core.Able()}
	s.Kinds, s.Counts = c.held.core.Status(c.fleetTime(now))
	if n := min(c.held.words, latest); n > 0 {
		took := slices.Sorted(slices.Values(c.held.took[:n]))
		s.P50, s.P99 = took[n/2], took[n*99/100]
	}
	return s
}
