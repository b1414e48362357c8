package fleet

import (
	"math"
	"math/rand"
	"slices"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/replication"
	"valeshift/internal/store"
)

// This file connects the replicator of package replication to the relay's disk, its datagrams and the membership.
// What is replicated is in replicated_records.go and replicated_order.go.

const (
	maxReplicas        = 1 << 18 // records stored here, for this relay and others
	viewIntervalMillis = 200.0   // between two updates of the replicator's members
	replicationFrame   = 'h'     // first byte of replication's datagrams, which membership's never have
	latencyWindow      = 1024    // replications, of which the latencies are kept
)

// replicationState is what a relay needs to have records replicated, and to store those of others.
type replicationState struct {
	replicator  *replication.Replicator
	key         []byte // datagrams are sealed with it
	incarnation uint64
	members     []replication.Member // of the last view
	nextViewAt  float64
	diskIsOlder bool // this disk is not the latest that the relay has replied from

	records   recordReplication
	order     orderReplication
	latencies replicationLatencies
}

// EnableReplication has records of this relay stored by as many relays as copies says, this one among them where it
// is drawn, and stores those of others. Attempt markers are kept for markerRetention ms past their sessions' hard
// limits; 0: there are none. affinity: affinities are replicated as well.
func (c *Core) EnableReplication(name string, incarnation uint64, copies int, markerRetention float64, affinity bool,
	key []byte, rng *rand.Rand) []Action {
	c.replication = &replicationState{
		replicator:  replication.New(name, incarnation, copies, maxReplicas, rng),
		key:         key,
		incarnation: incarnation,
		records:     newRecordReplication(),
		order:       newOrderReplication(),
	}
	c.replication.replicator.SetSuspended(true)
	return []Action{{Event: relay.ReplicationEnabled{MarkerRetentionMillis: markerRetention, Affinity: affinity}}}
}

// fleetTime returns the fleet's clock at this relay's time, both in Unix milliseconds.
func (c *Core) fleetTime(now float64) float64 { return now + c.fleetClockOffset }

// receiveReplicationDatagram handles a datagram of replication; false: it is none. One that can't be authenticated
// or decoded is dropped.
func (c *Core) receiveReplicationDatagram(now float64, from string, data []byte) ([]Action, bool) {
	if c.replication == nil || len(data) == 0 || data[0] != replicationFrame {
		return nil, false
	}
	body, err := membership.Open(c.replication.key, data)
	if err != nil {
		return nil, true
	}
	actions, err := c.replication.replicator.HandleMessage(c.fleetTime(now), from, body[1:])
	if err != nil {
		return nil, true
	}
	return c.applyReplicationActions(now, actions), true
}

// CompleteReplicationWrite is called once a ReplicationWrite is durable.
func (c *Core) CompleteReplicationWrite(now float64, write *replication.Write) []Action {
	return c.applyReplicationActions(now, c.replication.replicator.CompleteWrite(c.fleetTime(now), write))
}

// applyReplicationActions turns the replicator's actions into the core's.
func (c *Core) applyReplicationActions(now float64, requested []replication.Action) []Action {
	var actions []Action
	for _, action := range requested {
		switch {
		case action.Write != nil:
			actions = append(actions, c.persistReplica(now, action.Write))
		case action.Data != nil:
			frame := append([]byte{replicationFrame}, action.Data...)
			sealed := membership.Seal(c.replication.key, frame)
			actions = append(actions, Action{Send: &membership.Datagram{To: action.To, Data: sealed}})
		case action.Outcome != nil:
			actions = append(actions, c.handleReplicationOutcome(now, action.Outcome)...)
		}
	}
	return actions
}

func (c *Core) persistReplica(now float64, write *replication.Write) Action {
	record := &store.Record{
		Kind:       store.KindReplica,
		Key:        write.Name,
		Boot:       c.boot,
		UnixMillis: now,
		Body:       write.Body,
	}
	return Action{Persist: record, ReplicationWrite: write}
}

// handleReplicationOutcome passes an operation's outcome to the part that began it.
func (c *Core) handleReplicationOutcome(now float64, outcome *replication.Outcome) []Action {
	if c.replication.order.tokens[outcome.Token] {
		return c.handleOrderOutcome(now, outcome)
	}
	return c.handleRecordOutcome(now, outcome)
}

// maintainReplication does what is due in a tick of the core.
func (c *Core) maintainReplication(now float64) []Action {
	state := c.replication
	if state == nil {
		return nil
	}
	if now >= state.nextViewAt {
		state.nextViewAt = now + viewIntervalMillis
		c.updateReplicationView(now)
	}
	state.records.removeExpired(now)
	actions := c.maintainOrder(now)
	actions = append(actions, c.retryAffinities(now)...)
	if state.diskIsOlder {
		state.diskIsOlder = false
		actions = append(actions, Action{Log: "the disk is an older one: the replicas stored on it are discarded"})
		actions = append(actions, c.applyReplicationActions(now, state.replicator.DiscardAll())...)
	}
	return append(actions, c.TickReplication(now)...)
}

// updateReplicationView updates the replicator's view of the members. It is suspended while this disk is not known to
// be the latest that the relay has replied from, and while another process uses the relay's name.
func (c *Core) updateReplicationView(now float64) {
	state := c.replication
	local := c.membership.LocalState()
	members := []replication.Member{{
		Name:        local.Name,
		Zone:        local.Zone,
		Address:     local.Address,
		Incarnation: state.incarnation,
		Draining:    c.draining,
	}}
	for _, m := range c.aliveMembers(now) {
		address := c.membership.Address(m)
		if address == "" {
			continue
		}
		members = append(members, replication.Member{
			Name:        m.Name,
			Zone:        m.Zone,
			Address:     address,
			Incarnation: m.Incarnation,
			Draining:    m.Draining,
		})
	}
	state.members = members
	state.replicator.UpdateMembers(members)
	state.replicator.SetSuspended(!c.diskRead || c.hasDuplicate(now) || c.plan.Phase() < recovery.Admitting)
}

// ReplicationDelay returns the time in ms until TickReplication is due; +Inf: never.
func (c *Core) ReplicationDelay(now float64) float64 {
	if c.replication == nil {
		return math.Inf(1)
	}
	return max(c.replication.replicator.NextDeadline()-c.fleetTime(now), 0)
}

// TickReplication goes on with operations under way. It is due more often than the core's own tick.
func (c *Core) TickReplication(now float64) []Action {
	return c.applyReplicationActions(now, c.replication.replicator.Tick(c.fleetTime(now)))
}

// restoreReplicas loads the records that the disk has. They are discarded later where other relays know a later
// start of this relay than the disk does.
func (c *Core) restoreReplicas(now float64, disk *store.Store, lastBoot uint64) {
	if c.replication == nil {
		return
	}
	for _, record := range disk.Records(store.KindReplica) {
		c.replication.replicator.LoadRecord(c.fleetTime(now), record.Key, record.Body)
	}
	c.replication.diskIsOlder = c.boot > lastBoot+1
}

// ReplicationStatus is what operators are shown in /_fleet.
type ReplicationStatus struct {
	Kinds            map[string]replication.KindStatus `json:"Kinds"`  // by kind
	HasEnoughMembers bool                              `json:"Able"`   // there are relays enough for all copies
	Counts           map[string]replication.Counts     `json:"Counts"` // by kind
	P50Millis        float64                           `json:"P50"`    // of the latest replications; 0: there were none
	P99Millis        float64                           `json:"P99"`
}

func (c *Core) replicationStatus(now float64) *ReplicationStatus {
	if c.replication == nil {
		return nil
	}
	status := &ReplicationStatus{HasEnoughMembers: c.replication.replicator.HasEnoughMembers()}
	status.Kinds, status.Counts = c.replication.replicator.Status(c.fleetTime(now))
	status.P50Millis, status.P99Millis = c.replication.latencies.percentiles()
	return status
}

// ReplicationPage shows one partition of the records that are stored here; nil where replication is off.
func (c *Core) ReplicationPage(now float64, partition int) *replication.Page {
	if c.replication == nil {
		return nil
	}
	return c.replication.replicator.Page(c.fleetTime(now), partition)
}

// replicationLatencies are how long the latest replications that a client waited for took.
type replicationLatencies struct {
	millis [latencyWindow]float64 // a ring
	count  int                    // since the start
}

func (l *replicationLatencies) add(millis float64) {
	l.millis[l.count%latencyWindow] = millis
	l.count++
}

func (l *replicationLatencies) percentiles() (p50, p99 float64) {
	n := min(l.count, latencyWindow)
	if n == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(l.millis[:n]))
	return sorted[n/2], sorted[n*99/100]
}
