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
	maxReplicas            = 1 << 18 // of other relays' records, on this disk
	replicateTimeoutMillis = 200.0   // ms, after which a promise is given up by its holders as well
	viewIntervalMillis     = 200.0
	replyMarginMillis      = 1.0    // of the time that a link waits for a word, for that to come to it
	affinityLifetimeMillis = 3.0e6  // that a word on where a client stands holds, unless it ends before
	sweepIntervalMillis    = 5000.0 // of what may be taken back
	retryIntervalMillis    = 2000.0 // that hints are told anew that were not held
	retryBatch             = 500    // of them at a time
	replicationFrame       = 'h'    // first byte of such a datagram, which no peers' one has
	reservationGraceMillis = 700.0  // after the time told, as admission counts it

	orderLifetimeMillis      = 3e6 // that others hold an order, unless it is held anew
	orderTimeoutMillis       = 800.0
	orderIntervalMillis      = 2000.0
	orderLookupTimeoutMillis = 1000.0
	maxOrderLookups          = 10 // for those who hold it may start later
	orderDiscards            = 3
	latencyWindow            = 1024
)

// pendingRecord is a client's word on its way to others.
type pendingRecord struct {
	conn      uint64
	startedAt float64
}

// revocableKey is what the relay may take back: a word on a connection.
type revocableKey struct {
	kind relay.RecordKind
	conn uint64
}

// revocableExpiry is until when others hold it at the most, by this relay's time.
type revocableExpiry struct {
	revocableKey
	expiresAt float64
}

type replicationState struct {
	replicator   *replication.Replicator
	key          []byte
	incarnation  uint64
	nextViewAt   float64
	nextSweepAt  float64
	members      []replication.Member
	awaited      map[uint64]pendingRecord // by token
	latencies    [latencyWindow]float64   // ms, that the latest words took to be held, in turn
	latencyCount int
	lookups      map[uint64]relay.Effect // by token
	revocable    map[revocableKey]uint64 // tokens of what may be taken back
	expiries     []revocableExpiry       // of those, as they came
	bestEffort   map[uint64]relay.Effect // on their way, by token
	retries      []relay.Effect          // hints that others did not hold, to be told anew
	nextRetryAt  float64
	diskIsOlder  bool // this disk is not the one that the relay has spoken by

	orderTokens     map[uint64]bool    // tokens of those that are being held, or read
	orderLookups    int                // times that it was read so far
	nextOrderAt     float64            // when it is read, or held anew, at the soonest
	replicatedOrder replication.Record // as it was promised last
	supersededOrder replication.Record // and before that: its holders are told so some times, as nobody answers to it
	discardsLeft    int
}

// EnableReplication has the relay's words held by so many machines, this one among them where the lot falls on it; marks
// of setup tries for so long beyond their links' hard limits, 0: none are kept; and where clients stand.
func (c *Core) EnableReplication(name string, life uint64, copies int, remember float64, stood bool, key []byte,
	chance *rand.Rand) []Action {
	c.replication = &replicationState{replicator: replication.New(name, life, copies, maxReplicas, chance), key: key, incarnation: life,
		awaited: map[uint64]pendingRecord{}, lookups: map[uint64]relay.Effect{}, revocable: map[revocableKey]uint64{},
		bestEffort:  map[uint64]relay.Effect{},
		orderTokens: map[uint64]bool{}}
	c.replication.replicator.SetSuspended(true)
	return []Action{{Event: &relay.Event{Kind: relay.ReplicationEnabled, At: remember, Affinity: stood}}}
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
	token, all := c.replication.replicator.Replicate(c.fleetTime(now), replication.Record{Kind: replication.OperatorOrder,
		Key:     c.membership.LocalState().Name,
		Version: c.orderNumber, ExpiresAt: c.fleetTime(now) + orderLifetimeMillis, Body: body}, orderTimeoutMillis)
	c.replication.orderTokens[token], c.replication.nextOrderAt = true, now+orderIntervalMillis
	return token, c.apply(now, all)
}

// maintainOrder reads once what others hold of this relay's orders, and has its last one held anew where a holder
// has gone or leaves, or its time has half run out.
func (c *Core) maintainOrder(now float64, members []replication.Member) []Action {
	h := c.replication
	if now < h.nextOrderAt || c.plan.Phase() < recovery.Admitting || !c.diskRead {
		return nil
	}
	h.nextOrderAt = now + orderIntervalMillis
	if h.orderLookups < maxOrderLookups && c.orderNumber == 0 && len(members) > 1 {
		h.orderLookups++
		token, acts := h.replicator.Lookup(c.fleetTime(now), replication.OperatorOrder, c.membership.LocalState().Name, orderLookupTimeoutMillis)
		h.orderTokens[token] = true
		return c.apply(now, acts)
	}
	if h.supersededOrder.ID != 0 && h.discardsLeft > 0 {
		h.discardsLeft--
		return c.apply(now, h.replicator.Discard(c.fleetTime(now), h.supersededOrder))
	}
	there := func(o replication.Replica) bool {
		return slices.ContainsFunc(members, func(m replication.Member) bool { return m.Name == o.Name && !m.Draining })
	}
	missing := slices.ContainsFunc(h.replicatedOrder.Replicas, func(o replication.Replica) bool { return !there(o) })
	if c.orderNumber == 0 || (h.replicatedOrder.Version == c.orderNumber && !missing &&
		c.fleetTime(now) < h.replicatedOrder.ExpiresAt-orderLifetimeMillis/2) {
		return nil
	}
	_, acts := c.ReplicateOrder(now)
	return acts
}

func recordKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// HandleReplicationEffect does what the reducer asks for.
func (c *Core) HandleReplicationEffect(now float64, f relay.Effect) []Action {
	if c.replication == nil {
		return nil
	}
	h, at, key := c.replication, c.fleetTime(now), recordKey(f.Key)
	mine := revocableKey{f.Record, f.Conn}
	var token uint64
	var acts []replication.Action
	switch {
	case f.Kind == relay.Release:
		token = h.revocable[mine]
		delete(h.revocable, mine)
		return c.apply(now, h.replicator.Revoke(at, token))
	case f.Kind == relay.Lookup && f.Record == relay.ReservationRecord:
		token, acts = h.replicator.Acquire(at, replication.Reservation, key)
	case f.Kind == relay.Lookup:
		token, acts = h.replicator.Lookup(at, replicationKinds[f.Record], key, max(f.At-now-replyMarginMillis, 1))
	}
	if f.Kind == relay.Lookup {
		h.lookups[token] = f
		return c.apply(now, acts)
	}
	r := replication.Record{Kind: replicationKinds[f.Record], Key: key, Version: uint64(max(at, 0)), ValidFrom: at,
		Body: []byte(f.Text)}
	switch f.Record {
	case relay.ReservationRecord:
		r.Version, r.ValidFrom, r.ExpiresAt = 0, f.At+c.fleetClockOffset, f.At+c.fleetClockOffset+reservationGraceMillis
	case relay.AttemptRecord:
		r.ExpiresAt = f.At + c.fleetClockOffset
	case relay.AffinityRecord:
		r.ExpiresAt = at + affinityLifetimeMillis
	}
	token, acts = h.replicator.Replicate(at, r, replicateTimeoutMillis)
	if f.Record == relay.AffinityRecord { // nobody waits for a hint
		h.bestEffort[token] = f
	} else {
		h.awaited[token] = pendingRecord{f.Conn, now}
	}
	if f.Record != relay.ReservationRecord {
		if _, again := h.revocable[mine]; !again { // a hint that is told anew ends no sooner for it
			h.expiries = append(h.expiries, revocableExpiry{mine, r.ExpiresAt - c.fleetClockOffset})
		}
		h.revocable[mine] = token
	}
	return c.apply(now, acts)
}

// replicationKinds are what words are held as.
var replicationKinds = [...]replication.Kind{relay.ReservationRecord: replication.Reservation, relay.AttemptRecord: replication.AttemptMarker,
	relay.AffinityRecord: replication.Affinity}

// receiveReplicationDatagram takes a datagram of another's holdings; false: it is none.
func (c *Core) receiveReplicationDatagram(now float64, from string, data []byte) ([]Action, bool) {
	if c.replication == nil || len(data) == 0 || data[0] != replicationFrame {
		return nil, false
	}
	body, err := membership.Open(c.replication.key, data)
	if err != nil {
		return nil, true
	}
	acts, err := c.replication.replicator.HandleMessage(c.fleetTime(now), from, body[1:])
	if err != nil {
		return nil, true
	}
	return c.apply(now, acts), true
}

// CompleteReplicationWrite says that what holdings had saved is on the disk.
func (c *Core) CompleteReplicationWrite(now float64, s *replication.Write) []Action {
	return c.apply(now, c.replication.replicator.CompleteWrite(c.fleetTime(now), s))
}

// apply turns its acts into those of the whole.
func (c *Core) apply(now float64, all []replication.Action) (acts []Action) {
	for _, a := range all {
		switch {
		case a.Write != nil:
			acts = append(acts, Action{Persist: &store.Record{Kind: store.KindReplica, Key: a.Write.Name, Boot: c.boot, UnixMillis: now,
				Body: a.Write.Body}, ReplicationWrite: a.Write})
		case a.Data != nil:
			acts = append(acts, Action{Send: &membership.Datagram{To: a.To,
				Data: membership.Seal(c.replication.key, append([]byte{replicationFrame}, a.Data...))}})
		case a.Outcome != nil:
			acts = append(acts, c.handleOutcome(now, a.Outcome)...)
		}
	}
	return acts
}

func (c *Core) handleOutcome(now float64, o *replication.Outcome) []Action {
	h := c.replication
	if w, there := h.awaited[o.Token]; there {
		delete(h.awaited, o.Token)
		if o.OK {
			h.latencies[h.latencyCount%latencyWindow] = now - w.startedAt
			h.latencyCount++
		}
		return []Action{{Event: &relay.Event{Kind: relay.RecordReplicated, Conn: w.conn, Off: !o.OK}}}
	}
	if f, there := h.bestEffort[o.Token]; there {
		if delete(h.bestEffort, o.Token); !o.OK && len(h.retries) < maxPendingReplications {
			h.retries = append(h.retries, f)
		}
		return nil
	}
	if h.orderTokens[o.Token] {
		delete(h.orderTokens, o.Token)
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
				if h.supersededOrder, h.discardsLeft = h.replicatedOrder, orderDiscards; h.replicatedOrder.ID == o.Record.ID {
					h.discardsLeft = 0
				}
				h.replicatedOrder = o.Record
			}
		}
		return acts
	}
	f, there := h.lookups[o.Token]
	delete(h.lookups, o.Token)
	if !there || (!o.OK && f.Record == relay.ReservationRecord) {
		return nil
	}
	return []Action{{Event: &relay.Event{Kind: relay.RecordFound, Record: f.Record, Conn: f.Conn, Key: f.Key, Off: !o.OK,
		At: o.Record.ValidFrom - c.fleetClockOffset, Address: string(o.Record.Body)}}}
}

// maintainReplication goes on. Nothing is held or said of while it is not known that this disk is the latest that the
// relay has spoken by, or while another process has its name.
func (c *Core) maintainReplication(now float64) []Action {
	h := c.replication
	if h == nil {
		return nil
	}
	if now >= h.nextViewAt {
		h.nextViewAt = now + viewIntervalMillis
		own := c.membership.LocalState()
		all := []replication.Member{{Name: own.Name, Zone: own.Zone, Address: own.Address, Incarnation: h.incarnation,
			Draining: c.draining}}
		for _, m := range c.aliveMembers(now) {
			if at := c.membership.Address(m); at != "" {
				all = append(all, replication.Member{Name: m.Name, Zone: m.Zone, Address: at, Incarnation: m.Incarnation,
					Draining: m.Draining})
			}
		}
		h.members = all
		h.replicator.UpdateMembers(all)
		twin := c.membership.DuplicateSeenAt > 0 && now < c.membership.DuplicateSeenAt+duplicateMillis
		h.replicator.SetSuspended(!c.diskRead || twin || c.plan.Phase() < recovery.Admitting)
	}
	if now >= h.nextSweepAt {
		h.nextSweepAt = now + sweepIntervalMillis
		h.expiries = slices.DeleteFunc(h.expiries, func(e revocableExpiry) bool {
			_, there := h.revocable[e.revocableKey]
			if there && e.expiresAt < now {
				delete(h.revocable, e.revocableKey)
			}
			return !there || e.expiresAt < now
		})
	}
	acts := c.maintainOrder(now, h.members)
	if now >= h.nextRetryAt {
		h.nextRetryAt = now + retryIntervalMillis
		n := min(len(h.retries), retryBatch)
		for _, f := range h.retries[:n] {
			if _, there := h.revocable[revocableKey{f.Record, f.Conn}]; there { // it stands yet
				acts = append(acts, c.HandleReplicationEffect(now, f)...)
			}
		}
		h.retries = append([]relay.Effect(nil), h.retries[n:]...)
	}
	if h.diskIsOlder {
		h.diskIsOlder = false
		acts = append(acts, Action{Log: "the disk is an older one: what it holds for others is put aside"})
		acts = append(acts, c.apply(now, h.replicator.DiscardAll())...)
	}
	return append(acts, c.apply(now, h.replicator.Tick(c.fleetTime(now)))...)
}

// ReplicationDelay is after how long HeldOn is due, ms; +Inf: never.
func (c *Core) ReplicationDelay(now float64) float64 {
	if c.replication == nil {
		return math.Inf(1)
	}
	return max(c.replication.replicator.NextDeadline()-c.fleetTime(now), 0)
}

// TickReplication goes on with what others were asked for, between two ticks of the whole.
func (c *Core) TickReplication(now float64) []Action {
	return c.apply(now, c.replication.replicator.Tick(c.fleetTime(now)))
}

// restoreReplicas takes what the disk holds for others, unless others know a later start of this relay than the
// disk does.
func (c *Core) restoreReplicas(now float64, s *store.Store, lastBoot uint64) {
	if c.replication == nil {
		return
	}
	for _, r := range s.Records(store.KindReplica) {
		c.replication.replicator.LoadRecord(c.fleetTime(now), r.Key, r.Body)
	}
	c.replication.diskIsOlder = c.boot > lastBoot+1
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
	return c.replication.replicator.Page(c.fleetTime(now), part)
}

func (c *Core) replicationStatus(now float64) *ReplicationStatus {
	if c.replication == nil {
		return nil
	}
	s := &ReplicationStatus{HasEnoughMembers: c.replication.replicator.HasEnoughMembers()}
	s.Kinds, s.Counts = c.replication.replicator.Status(c.fleetTime(now))
	if n := min(c.replication.latencyCount, latencyWindow); n > 0 {
		took := slices.Sorted(slices.Values(c.replication.latencies[:n]))
		s.P50Millis, s.P99Millis = took[n/2], took[n*99/100]
	}
	return s
}
