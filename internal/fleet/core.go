// Package fleet implements one relay's part in a fleet of relays: what it stores on its disk, what it exchanges
// with the other relays and the coordinators, how it recovers after a start and which operator order is in effect.
// The relay's state machine is notified of all that by events.
//
// Core holds the state and does no I/O, so that the simulation runs it unchanged. Node drives a Core with
// sockets, a store and timers. Sessions never wait for either: the relay's lock is taken for one event at a time,
// and is never held while a disk or a peer is waited for.
//
// Times are in milliseconds. A parameter called now is a time of this relay's own clock, which does not jump while
// the relay runs; times that are stored or sent are of the fleet's clock, which is ahead of it by
// Core.fleetClockOffset.
package fleet

import (
	"math/rand"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

// Core is the state of one relay's part in the fleet. Its methods take what has happened and return the actions that
// the caller has to execute, in that order. It is not safe for concurrent use.
type Core struct {
	plan        *recovery.Plan
	membership  *membership.View // nil if there are no other relays
	relayStatus relay.Status     // the relay's status as of the last tick

	diskState
	operatorOrder
	fleetClock
	snapshots  snapshotState
	capacity   capacityEstimate
	rejections rejectionRate
	remoteLoad remoteLoad

	coordinators *coordinatorClient // nil if no voters are configured
	replication  *replicationState  // nil if replication is disabled
}

// New returns the Core of a relay that starts now. Without an address in own there are no other relays; without a
// disk, nothing is stored. With a disk, Restore has to be called once the disk has been read.
func New(now float64, own membership.MemberState, seeds []string, key []byte, hasDisk bool,
	rng *rand.Rand) *Core {
	hasPeers := own.Address != ""
	c := &Core{
		plan:       recovery.New(now, hasDisk, hasPeers),
		diskState:  newDiskState(hasDisk),
		snapshots:  snapshotState{last: &relay.Snapshot{}, dueAt: now + snapshotInterval},
		rejections: rejectionRate{countedAt: now},
		remoteLoad: remoteLoad{notified: noRemoteRelays},
	}
	if hasPeers {
		c.membership = membership.New(now, own, seeds, key, rng)
	}
	return c
}

// Tick does all work that depends on time. wallClock is the machine's clock, in Unix milliseconds; status is the
// relay's status as of now.
func (c *Core) Tick(now, wallClock float64, status relay.Status) []Action {
	status.RejectedLastSecond = c.rejections.update(now, status.Rejected)
	c.relayStatus = status

	actions := c.updateClock(now, wallClock, status.DiscoveryClockOffset)
	actions = append(actions, c.advanceRecovery(now)...)
	actions = append(actions, c.updateZoneWeights(now)...)
	actions = append(actions, c.maintainReplication(now)...)
	return append(actions, c.gossip(now)...)
}

// ReceiveDatagram handles a datagram from a coordinator or another relay, whose address is from.
func (c *Core) ReceiveDatagram(now float64, from string, data []byte) []Action {
	if actions, isAnnouncement := c.receiveAnnouncement(now, from, data); isAnnouncement {
		return actions
	}
	if actions, isReplication := c.receiveReplicationDatagram(now, from, data); isReplication {
		return actions
	}
	if c.membership == nil {
		return nil
	}
	actions := sendActions(c.membership.Receive(now, from, data))
	return append(actions, c.adoptRememberedState(now)...)
}

// advanceRecovery advances the recovery plan.
func (c *Core) advanceRecovery(now float64) []Action {
	var peers []recovery.Peer
	if c.plan.Phase() != recovery.Normal { // the plan does not use peers in the normal phase
		peers = c.recoveryPeers(now)
	}
	return c.planActions(c.plan.Advance(now, peers, c.relayStatus))
}

// planActions converts the recovery plan's actions to Core's. A query to a relay that is no longer a member is
// dropped.
func (c *Core) planActions(planned []recovery.Action) []Action {
	var actions []Action
	for _, a := range planned {
		switch {
		case a.Query != "":
			if m, isMember := c.findMember(a.Query); isMember {
				query := &Query{Name: a.Query, Address: c.membership.Address(m)}
				actions = append(actions, Action{Query: query})
			}
		case a.Event != nil:
			actions = append(actions, Action{Event: c.byOwnClock(a.Event)})
		case a.Log != "":
			actions = append(actions, Action{Log: a.Log})
		}
	}
	return actions
}

// byOwnClock returns the event with the retry times of a restored snapshot converted from the fleet's clock, which
// snapshots are stored with, to this relay's own clock.
func (c *Core) byOwnClock(event relay.Event) relay.Event {
	restored, isRestored := event.(relay.StateRestored)
	if !isRestored {
		return event
	}
	return relay.StateRestored{Snapshot: shiftRetryTimes(restored.Snapshot, -c.fleetClockOffset)}
}

const (
	rejectionInterval = 500.0 // ms over which rejected clients are counted for one sample
	smoothing         = 0.3   // weight of a new sample in a moving average
)

// rejectionRate is a moving average of the number of clients that the relay rejects per second.
type rejectionRate struct {
	perSecond float64
	counted   int     // clients rejected from the relay's start until countedAt
	countedAt float64 // time of the last sample
}

// update takes the number of clients rejected since the relay's start, and returns the rate per second.
func (r *rejectionRate) update(now float64, rejected int) int {
	if now >= r.countedAt+rejectionInterval {
		sample := float64(rejected-r.counted) * 1000 / (now - r.countedAt)
		r.perSecond += (sample - r.perSecond) * smoothing
		r.counted = rejected
		r.countedAt = now
	}
	return int(r.perSecond)
}
