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
// replicated_records.go and replicated_order.go have the records that are replicated.

const (
	maxStoredRecords   = 1 << 18 // maximum number of records stored here, for this relay and others
	viewIntervalMillis = 200.0   // between two updates of the replicator's members
	replicationPrefix  = 'h'     // first byte of replication's datagrams; membership's never start with it
	latencyWindow      = 1024    // number of latest replications whose latencies are kept
)

// replicationState is the state by which a relay's records are replicated, and those of other relays are stored.
type replicationState struct {
	replicator  *replication.Replicator
	key         []byte // datagrams are sealed with it
	incarnation uint64
	members     []replication.Member // the members that the replicator was last updated with
	nextViewAt  float64              // time of the next update
	isDiskStale bool                 // this disk's content is older than what the relay has replied from before

	records   recordReplication
	order     orderReplication
	latencies replicationLatencies
}

// EnableReplication enables replication: each record of this relay is stored by the given number of relays, of which
// this one may be one, and this relay stores records of others. Attempt markers are kept for markerRetention ms past
// their sessions' hard limits; 0 disables them. affinity says whether affinities are replicated as well.
func (c *Core) EnableReplication(name string, incarnation uint64, copies int, markerRetention float64, affinity bool,
	key []byte, rng *rand.Rand) []Action {
	c.replication = &replicationState{
		replicator:  replication.New(name, incarnation, copies, maxStoredRecords, rng),
		key:         key,
		incarnation: incarnation,
		records:     newRecordReplication(),
		order:       newOrderReplication(),
	}
	c.replication.replicator.SetSuspended(true)
	return []Action{{Event: relay.ReplicationEnabled{MarkerRetentionMillis: markerRetention, Affinity: affinity}}}
}

// fleetTime converts a time of this relay's clock to the fleet's clock, both in Unix milliseconds.
func (c *Core) fleetTime(now float64) float64 { return now + c.fleetClockOffset }

// receiveReplicationDatagram handles a datagram of replication. It returns false if the datagram is of another kind.
// One that can't be authenticated or decoded is dropped.
func (c *Core) receiveReplicationDatagram(now float64, from string, data []byte) ([]Action, bool) {
	if c.replication == nil || len(data) == 0 || data[0] != replicationPrefix {
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

// applyReplicationActions converts the replicator's actions to Core's, and handles the outcomes among them.
func (c *Core) applyReplicationActions(now float64, requested []replication.Action) []Action {
	var actions []Action
	for _, action := range requested {
		switch {
		case action.Write != nil:
			actions = append(actions, c.persistReplica(now, action.Write))
		case action.Data != nil:
			content := append([]byte{replicationPrefix}, action.Data...)
			sealed := membership.Seal(c.replication.key, content)
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

// handleReplicationOutcome passes an operation's outcome to the part that started the operation.
func (c *Core) handleReplicationOutcome(now float64, outcome *replication.Outcome) []Action {
	if c.replication.order.tokens[outcome.Token] {
		return c.handleOrderOutcome(now, outcome)
	}
	return c.handleRecordOutcome(now, outcome)
}

// maintainReplication does the part of Tick that is about replication.
func (c *Core) maintainReplication(now float64) []Action {
	state := c.replication
	if state == nil {
		return nil
	}
	if now >= state.nextViewAt || state.replicator.IsSuspended() {
		state.nextViewAt = now + viewIntervalMillis
		c.updateReplicationView(now)
	}
	state.records.removeExpired(now)
	actions := c.maintainOrder(now)
	actions = append(actions, c.retryAffinities(now)...)
	if state.isDiskStale {
		state.isDiskStale = false
		actions = append(actions, Action{Log: "the disk is an older one: the replicas stored on it are discarded"})
		actions = append(actions, c.applyReplicationActions(now, state.replicator.DiscardAll())...)
	}
	return append(actions, c.TickReplication(now)...)
}

// updateReplicationView updates the replicator's members. It suspends the replicator until this disk is known to be
// the latest that the relay has replied from, and while another process uses the relay's name.
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

// ReplicationDelay returns the time in ms until TickReplication is due; +Inf if it is not.
func (c *Core) ReplicationDelay(now float64) float64 {
	if c.replication == nil {
		return math.Inf(1)
	}
	return max(c.replication.replicator.NextDeadline()-c.fleetTime(now), 0)
}

// TickReplication continues the replication operations in progress. It is due more often than Tick.
func (c *Core) TickReplication(now float64) []Action {
	return c.applyReplicationActions(now, c.replication.replicator.Tick(c.fleetTime(now)))
}

// restoreReplicas loads the stored records from the disk. They are discarded later if other relays know a higher boot
// number of this relay than the disk does.
func (c *Core) restoreReplicas(now float64, disk *store.Store, lastBoot uint64) {
	if c.replication == nil {
		return
	}
	for _, record := range disk.Records(store.KindReplica) {
		c.replication.replicator.LoadRecord(c.fleetTime(now), record.Key, record.Body)
	}
	c.replication.isDiskStale = c.boot > lastBoot+1
}

// ReplicationStatus is the part of Status about replication.
type ReplicationStatus struct {
	Kinds            map[string]replication.KindStatus `json:"Kinds"`  // stored records, by the name of their kind
	HasEnoughMembers bool                              `json:"Able"`   // there are enough relays for all copies of a record
	Counts           map[string]replication.Counts     `json:"Counts"` // events since the start, by the name of the kind
	P50Millis        float64                           `json:"P50"`    // median latency of the latest replications, ms; 0: there were none
	P99Millis        float64                           `json:"P99"`    // 99th percentile of the same latencies, ms; 0: there were none
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

// ReplicationPage returns one partition of the records that are stored here; nil if replication is disabled.
func (c *Core) ReplicationPage(now float64, partition int) *replication.Page {
	if c.replication == nil {
		return nil
	}
	return c.replication.replicator.Page(c.fleetTime(now), partition)
}

// replicationLatencies are the latencies of the latest successful replications whose outcome a connection awaited.
type replicationLatencies struct {
	millis [latencyWindow]float64 // ring buffer
	count  int                    // latencies added since the start
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
