// Package fleet is one relay's part in a fleet of relays: what it stores on its disk, what it exchanges with
// the other relays, how it recovers after a start and which operator order it is under. The relay learns of
// all that by events.
//
// Core holds the state and does no I/O, so that the simulation runs it unchanged. Node drives a Core with
// sockets, a store and timers. Neither lies on a session's path: the relay's lock is taken for one event at a
// time, and neither a disk nor a peer is waited for under it.
//
// Times are milliseconds. A parameter called now is of this relay's own clock, which does not jump while the
// relay runs; times that are stored or sent are of the fleet's clock, which is ahead of it by
// Core.fleetClockOffset.
package fleet

import (
	"math/rand"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

// Core is the state of one relay's part in the fleet. Its methods take what has happened and return what is to
// be done, in that order. It is not safe for concurrent use.
type Core struct {
	plan        *recovery.Plan
	membership  *membership.View // nil: no other relay is named
	relayStatus relay.Status     // of the last tick

	diskState
	operatorOrder
	fleetClock
	snapshots  snapshotState
	capacity   capacityEstimate
	rejections rejectionRate
	remoteLoad remoteLoad

	coordinators *coordinatorClient // nil: no voters are named
	replication  *replicationState  // nil: nothing is replicated
}

// New starts a relay's part in the fleet. Without an address in own there are no other relays; without a disk,
// nothing is stored. With a disk, Restore has to be called once it has been read.
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

// Tick advances all that depends on time. The wall clock is the machine's, in Unix milliseconds; status is the
// relay's as of now.
func (c *Core) Tick(now, wallClock float64, status relay.Status) []Action {
	status.RejectedLastSecond = c.rejections.update(now, status.Rejected)
	c.relayStatus = status

	actions := c.updateClock(now, wallClock, status.DiscoveryClockOffset)
	actions = append(actions, c.advanceRecovery(now)...)
	actions = append(actions, c.updateZoneWeights(now)...)
	actions = append(actions, c.maintainReplication(now)...)
	return append(actions, c.gossip(now)...)
}

// ReceiveDatagram takes a datagram of a coordinator or of another relay.
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

// advanceRecovery has the recovery plan go on.
func (c *Core) advanceRecovery(now float64) []Action {
	var peers []recovery.Peer
	if c.plan.Phase() != recovery.Normal { // the plan looks at them in no other phase
		peers = c.recoveryPeers(now)
	}
	return c.planActions(c.plan.Advance(now, peers, c.relayStatus))
}

// planActions turns the recovery plan's actions into Core's.
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

// byOwnClock returns the event with its times by this relay's own clock: snapshots are stored by the fleet's.
func (c *Core) byOwnClock(event relay.Event) relay.Event {
	restored, isRestored := event.(relay.StateRestored)
	if !isRestored {
		return event
	}
	return relay.StateRestored{Snapshot: shiftRetryTimes(restored.Snapshot, -c.fleetClockOffset)}
}

const (
	rejectionInterval = 500.0 // over which rejected clients are counted
	smoothing         = 0.3   // the weight of a new sample in a moving average
)

// rejectionRate is a moving average of how many clients the relay rejects in a second.
type rejectionRate struct {
	perSecond float64
	counted   int // rejected up to countedAt
	countedAt float64
}

// update takes how many clients were rejected since the relay's start, and returns the rate.
func (r *rejectionRate) update(now float64, rejected int) int {
	if now >= r.countedAt+rejectionInterval {
		sample := float64(rejected-r.counted) * 1000 / (now - r.countedAt)
		r.perSecond += (sample - r.perSecond) * smoothing
		r.counted = rejected
		r.countedAt = now
	}
	return int(r.perSecond)
}
