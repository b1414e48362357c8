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
	word relay.RecordKind
	conn uint64
}

// ending is until when others hold it at the most, by this relay's time.
type ending struct {
	given
	end float64
}

type held struct {
	core    *replication.Replicator
	key     []byte
	life    uint64
	viewAt  float64
	sweepAt float64
	members []replication.Member
	entrust map[uint64]entrusted // by token
	took    [latest]float64      // ms, that the latest words took to be held, in turn
	words   int
	claims  map[uint64]relay.ReplicationRequest // by token
	given   map[given]uint64                    // tokens of what may be taken back
	ends    []ending                            // of those, as they came
	hints   map[uint64]relay.ReplicationRequest // on their way, by token
	again   []relay.ReplicationRequest          // hints that others did not hold, to be told anew
	againAt float64
	older   bool // this disk is not the one that the relay has spoken by

	orders  map[uint64]bool    // tokens of those that are being held, or read
	reads   int                // times that it was read so far
	nextAt  float64            // when it is read, or held anew, at the soonest
	ordered replication.Record // as it was promised last
	former  replication.Record // and before that: its holders are told so some times, as nobody answers to it
	tells   int
}

// EnableReplication has the relay's words held by so many machines, this one among them where the lot falls on it; marks
// of setup tries for so long beyond their links' hard limits, 0: none are kept; and where clients stand.
func (c *Core) EnableReplication(name string, life uint64, copies int, remember float64, stood bool, key []byte,
	chance *rand.Rand) []Action {
	c.replication = &held{core: replication.New(name, life, copies, mostHoldings, chance), key: key, life: life,
		entrust: map[uint64]entrusted{}, claims: map[uint64]relay.ReplicationRequest{}, given: map[given]uint64{},
		hints:  map[uint64]relay.ReplicationRequest{},
		orders: map[uint64]bool{}}
	c.replication.core.SetSuspended(true)
	return []Action{{Event: relay.ReplicationEnabled{MarkerRetentionMillis: remember, Affinity: stood}}}
}

// fleetTime is the time that all relays mean, of this relay's.
func (c *Core) fleetTime(now float64) float64 { return now + c.fleetClockOffset }

// OrderReplicated is what has become of an order that others were to hold.
type OrderReplicated struct {
	Token uint64
	OK    bool
}

// ReplicateOrder has others hold the order that this relay was given last; a Settled follows, under that token.
func (c *Core) ReplicateOrder(now float64) (token uint64, acts []Action) {
	body, _ := json.Marshal(storedOrder{c.orderNumber, c.draining}) // of plain values
	token, all := c.replication.core.Replicate(c.fleetTime(now), replication.Record{Kind: replication.OperatorOrder,
		Key:     c.membership.LocalState().Name,
		Version: c.orderNumber, ExpiresAt: c.fleetTime(now) + orderFor, Body: body}, orderWithin)
	c.replication.orders[token], c.replication.nextAt = true, now+orderEvery
	return token, c.holds(now, all)
}

// orders reads once what others hold of this relay's orders, and has its last one held anew where a holder
// has gone or leaves, or its time has half run out.
func (c *Core) orders(now float64, members []replication.Member) []Action {
	h := c.replication
	if now < h.nextAt || c.plan.Phase() < recovery.Admitting || !c.diskRead {
		return nil
	}
	h.nextAt = now + orderEvery
	if h.reads < orderReads && c.orderNumber == 0 && len(members) > 1 {
		h.reads++
		token, acts := h.core.Lookup(c.fleetTime(now), replication.OperatorOrder, c.membership.LocalState().Name, orderReadFor)
		h.orders[token] = true
		return c.holds(now, acts)
	}
	if h.former.ID != 0 && h.tells > 0 {
		h.tells--
		return c.holds(now, h.core.Discard(c.fleetTime(now), h.former))
	}
	there := func(o replication.Replica) bool {
		return slices.ContainsFunc(members, func(m replication.Member) bool { return m.Name == o.Name && !m.Draining })
	}
	missing := slices.ContainsFunc(h.ordered.Replicas, func(o replication.Replica) bool { return !there(o) })
	if c.orderNumber == 0 || (h.ordered.Version == c.orderNumber && !missing &&
		c.fleetTime(now) < h.ordered.ExpiresAt-orderFor/2) {
		return nil
	}
	_, acts := c.ReplicateOrder(now)
	return acts
}

func placeKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// HandleReplicationEffect does what the reducer asks for.
func (c *Core) HandleReplicationEffect(now float64, f relay.ReplicationRequest) []Action {
	if c.replication == nil {
		return nil
	}
	h, at, key := c.replication, c.fleetTime(now), placeKey(f.Key)
	mine := given{f.Record, f.Conn}
	var token uint64
	var acts []replication.Action
	switch {
	case f.Operation == relay.Release:
		token = h.given[mine]
		delete(h.given, mine)
		return c.holds(now, h.core.Revoke(at, token))
	case f.Operation == relay.Lookup && f.Record == relay.ReservationRecord:
		token, acts = h.core.Acquire(at, replication.Reservation, key)
	case f.Operation == relay.Lookup:
		token, acts = h.core.Lookup(at, kinds[f.Record], key, max(f.At-now-wordBack, 1))
	}
	if f.Operation == relay.Lookup {
		h.claims[token] = f
		return c.holds(now, acts)
	}
	r := replication.Record{Kind: kinds[f.Record], Key: key, Version: uint64(max(at, 0)), ValidFrom: at,
		Body: []byte(f.Backend)}
	switch f.Record {
	case relay.ReservationRecord:
		r.Version, r.ValidFrom, r.ExpiresAt = 0, f.At+c.fleetClockOffset, f.At+c.fleetClockOffset+placeLate
	case relay.AttemptRecord:
		r.ExpiresAt = f.At + c.fleetClockOffset
	case relay.AffinityRecord:
		r.ExpiresAt = at + stoodFor
	}
	token, acts = h.core.Replicate(at, r, holdWithin)
	if f.Record == relay.AffinityRecord { // nobody waits for a hint
		h.hints[token] = f
	} else {
		h.entrust[token] = entrusted{f.Conn, now}
	}
	if f.Record != relay.ReservationRecord {
		if _, again := h.given[mine]; !again { // a hint that is told anew ends no sooner for it
			h.ends = append(h.ends, ending{mine, r.ExpiresAt - c.fleetClockOffset})
		}
		h.given[mine] = token
	}
	return c.holds(now, acts)
}

// kinds are what words are held as.
var kinds = [...]replication.Kind{relay.ReservationRecord: replication.Reservation, relay.AttemptRecord: replication.AttemptMarker,
	relay.AffinityRecord: replication.Affinity}

// receiveReplicationDatagram takes a datagram of another's holdings; false: it is none.
func (c *Core) receiveReplicationDatagram(now float64, from string, data []byte) ([]Action, bool) {
	if c.replication == nil || len(data) == 0 || data[0] != holdingFrame {
		return nil, false
	}
	body, err := membership.Open(c.replication.key, data)
	if err != nil {
		return nil, true
	}
	acts, err := c.replication.core.HandleMessage(c.fleetTime(now), from, body[1:])
	if err != nil {
		return nil, true
	}
	return c.holds(now, acts), true
}

// CompleteReplicationWrite says that what holdings had saved is on the disk.
func (c *Core) CompleteReplicationWrite(now float64, s *replication.Write) []Action {
	return c.holds(now, c.replication.core.CompleteWrite(c.fleetTime(now), s))
}

// holds turns its acts into those of the whole.
func (c *Core) holds(now float64, all []replication.Action) (acts []Action) {
	for _, a := range all {
		switch {
		case a.Write != nil:
			acts = append(acts, Action{Persist: &store.Record{Kind: store.KindReplica, Key: a.Write.Name, Boot: c.boot, UnixMillis: now,
				Body: a.Write.Body}, ReplicationWrite: a.Write})
		case a.Data != nil:
			acts = append(acts, Action{Send: &membership.Datagram{To: a.To,
				Data: membership.Seal(c.replication.key, append([]byte{holdingFrame}, a.Data...))}})
		case a.Outcome != nil:
			acts = append(acts, c.outcome(now, a.Outcome)...)
		}
	}
	return acts
}

func (c *Core) outcome(now float64, o *replication.Outcome) []Action {
	h := c.replication
	if w, there := h.entrust[o.Token]; there {
		delete(h.entrust, o.Token)
		if o.OK {
			h.took[h.words%latest] = now - w.at
			h.words++
		}
		return []Action{{Event: relay.RecordReplicated{Conn: w.conn, Replicated: o.OK}}}
	}
	if f, there := h.hints[o.Token]; there {
		if delete(h.hints, o.Token); !o.OK && len(h.again) < maxPendingReplications {
			h.again = append(h.again, f)
		}
		return nil
	}
	if h.orders[o.Token] {
		delete(h.orders, o.Token)
		acts := []Action{{OrderReplicated: &OrderReplicated{o.Token, o.OK}}}
		if !o.OK && o.Record.Owner != "" {
			acts = append(acts, Action{Log: "an order is not held by others: " + o.Reason})
		}
		if o.OK && o.Record.Kind == replication.OperatorOrder {
			var kept storedOrder
			if json.Unmarshal(o.Record.Body, &kept) == nil { // one that its own disk has lost
				acts = append(acts, c.adoptOrder(now, kept.Number, kept.Lame)...)
			}
			if o.Record.Owner == c.membership.LocalState().Name && o.Record.Version == c.orderNumber {
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
	if !there || (!o.OK && f.Record == relay.ReservationRecord) {
		return nil
	}
	return []Action{{Event: relay.RecordFound{Record: f.Record, Conn: f.Conn, Key: f.Key, At: o.Record.ValidFrom - c.fleetClockOffset, Backend: string(o.Record.Body), Found: o.OK}}}
}

// maintainReplication goes on. Nothing is held or said of while it is not known that this disk is the latest that the
// relay has spoken by, or while another process has its name.
func (c *Core) maintainReplication(now float64) []Action {
	h := c.replication
	if h == nil {
		return nil
	}
	if now >= h.viewAt {
		h.viewAt = now + viewEvery
		own := c.membership.LocalState()
		all := []replication.Member{{Name: own.Name, Zone: own.Zone, Address: own.Address, Incarnation: h.life,
			Draining: c.draining}}
		for _, m := range c.aliveMembers(now) {
			if at := c.membership.Address(m); at != "" {
				all = append(all, replication.Member{Name: m.Name, Zone: m.Zone, Address: at, Incarnation: m.Incarnation,
					Draining: m.Draining})
			}
		}
		h.members = all
		h.core.UpdateMembers(all)
		twin := c.membership.DuplicateSeenAt > 0 && now < c.membership.DuplicateSeenAt+duplicateMillis
		h.core.SetSuspended(!c.diskRead || twin || c.plan.Phase() < recovery.Admitting)
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
			if _, there := h.given[given{f.Record, f.Conn}]; there { // it stands yet
				acts = append(acts, c.HandleReplicationEffect(now, f)...)
			}
		}
		h.again = append([]relay.ReplicationRequest(nil), h.again[n:]...)
	}
	if h.older {
		h.older = false
		acts = append(acts, Action{Log: "the disk is an older one: what it holds for others is put aside"})
		acts = append(acts, c.holds(now, h.core.DiscardAll())...)
	}
	return append(acts, c.holds(now, h.core.Tick(c.fleetTime(now)))...)
}

// ReplicationDelay is after how long HeldOn is due, ms; +Inf: never.
func (c *Core) ReplicationDelay(now float64) float64 {
	if c.replication == nil {
		return math.Inf(1)
	}
	return max(c.replication.core.NextDeadline()-c.fleetTime(now), 0)
}

// TickReplication goes on with what others were asked for, between two ticks of the whole.
func (c *Core) TickReplication(now float64) []Action {
	return c.holds(now, c.replication.core.Tick(c.fleetTime(now)))
}

// restoreReplicas takes what the disk holds for others, unless others know a later start of this relay than the
// disk does.
func (c *Core) restoreReplicas(now float64, s *store.Store, lastBoot uint64) {
	if c.replication == nil {
		return
	}
	for _, r := range s.Records(store.KindReplica) {
		c.replication.core.LoadRecord(c.fleetTime(now), r.Key, r.Body)
	}
	c.replication.older = c.boot > lastBoot+1
}

// ReplicationStatus is what operators are told.
type ReplicationStatus struct {
	Kinds            map[string]replication.KindStatus `json:"Kinds"`
	HasEnoughMembers bool                              `json:"Able"`   // there are relays enough for a promise
	Counts           map[string]replication.Counts     `json:"Counts"` // by kind
	// ms, that the latest words took until others held them; 0: there were none
	P50Millis float64 `json:"P50"`
	P99Millis float64 `json:"P99"`
}

// ReplicationPage shows one part of what this relay holds for others; nil where it holds nothing for any.
func (c *Core) ReplicationPage(now float64, part int) *replication.Page {
	if c.replication == nil {
		return nil
	}
	return c.replication.core.Page(c.fleetTime(now), part)
}

func (c *Core) replicationStatus(now float64) *ReplicationStatus {
	if c.replication == nil {
		return nil
	}
	s := &ReplicationStatus{HasEnoughMembers: c.replication.core.HasEnoughMembers()}
	s.Kinds, s.Counts = c.replication.core.Status(c.fleetTime(now))
	if n := min(c.replication.words, latest); n > 0 {
		took := slices.Sorted(slices.Values(c.replication.took[:n]))
		s.P50Millis, s.P99Millis = took[n/2], took[n*99/100]
	}
	return s
}
