package fleet

import (
	"slices"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

// This file connects the membership to the rest of Core: the state that this relay announces to other relays, and
// what it derives from theirs.

const (
	// remoteLoadInterval is the time between two notifications in ms, about as long as another relay's state takes to
	// arrive here.
	remoteLoadInterval = 200.0
	// maxMedianMultiple limits the load that is counted for one other relay, in multiples of the median.
	maxMedianMultiple = 3.0
	// noRemoteRelays is the value of the remote load while no other relay is alive.
	noRemoteRelays = -1.0
	// duplicateReportMillis is how long after its last datagram a second process with this relay's name is reported.
	duplicateReportMillis = 10000.0
)

// gossip updates the state that this relay announces, and exchanges member states with other relays.
func (c *Core) gossip(now float64) []Action {
	if c.membership == nil {
		return nil
	}
	status := c.relayStatus
	unreportedLoad := max(status.UnreportedLoad, 0)
	state := c.membership.LocalState()
	state.Phase = uint8(c.plan.Phase())
	state.EndpointsVersion = status.Index
	state.WaitingClients = uint32(max(status.RejectedLastSecond, 0))
	state.Sessions = uint32(max(status.Sessions, 0))
	state.OrderNumber = c.orderNumber
	state.Draining = c.draining
	state.PlacedLoad = uint64(unreportedLoad)
	c.membership.SetLocalState(state)

	actions := c.updateRemoteLoad(now, unreportedLoad)
	return append(actions, sendActions(c.membership.Tick(now))...)
}

// adoptRememberedState adopts what other relays remember of this one: a higher boot number, if this relay's disk was
// lost or replaced by an older copy, or a later operator order.
func (c *Core) adoptRememberedState(now float64) []Action {
	var actions []Action
	state := c.membership.LocalState()
	if state.Boot > c.boot && c.diskRead {
		c.boot = state.Boot
		if c.replication != nil {
			c.replication.isDiskStale = true
		}
		actions = append(actions, c.persistBoot(now))
	}
	return append(actions, c.adoptOrder(now, state.OrderNumber, state.Draining)...)
}

// aliveMembers returns the other relays that are alive.
func (c *Core) aliveMembers(now float64) []membership.Member {
	if c.membership == nil {
		return nil
	}
	return slices.DeleteFunc(c.membership.Members(now), func(m membership.Member) bool {
		return m.Liveness != membership.Alive
	})
}

// recoveryPeers returns the other relays that are alive, in the form that the recovery plan takes.
func (c *Core) recoveryPeers(now float64) []recovery.Peer {
	var peers []recovery.Peer
	for _, m := range c.aliveMembers(now) {
		peers = append(peers, recovery.Peer{
			Name:               m.Name,
			AgeMillis:          m.AgeMillis,
			Phase:              recovery.Phase(m.Phase),
			RejectedLastSecond: m.WaitingClients,
			Unreachable:        c.membership.Address(m) == "",
		})
	}
	return peers
}

// findMember finds another relay by its name. It must not be called without a membership.
func (c *Core) findMember(name string) (membership.Member, bool) {
	members := c.membership.Members(c.relayStatus.Now)
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	if i < 0 {
		return membership.Member{}, false
	}
	return members[i], true
}

// hasDuplicate reports whether a datagram of another process with this relay's name arrived within the last
// duplicateReportMillis.
func (c *Core) hasDuplicate(now float64) bool {
	seenAt := c.membership.DuplicateSeenAt
	return seenAt > 0 && now < seenAt+duplicateReportMillis
}

// remoteLoad is the load that other relays have assigned and that load reports may not show yet.
type remoteLoad struct {
	notified float64 // load that the relay was last notified of, or noRemoteRelays
	dueAt    float64 // time of the next update
}

// updateRemoteLoad notifies the relay of the load that the other relays say they have assigned, if it has changed.
func (c *Core) updateRemoteLoad(now, ownLoad float64) []Action {
	if now < c.remoteLoad.dueAt {
		return nil
	}
	c.remoteLoad.dueAt = now + remoteLoadInterval
	load := sumRemoteLoad(ownLoad, c.aliveMembers(now))
	if load == c.remoteLoad.notified {
		return nil
	}
	c.remoteLoad.notified = load
	return []Action{{Event: relay.RemoteLoadChanged{Load: load}}}
}

// sumRemoteLoad returns the sum of the loads that the other relays say they have assigned. Each of them is counted
// up to maxMedianMultiple times the median, so that one relay with a wrong load can't make all backends look full.
func sumRemoteLoad(ownLoad float64, others []membership.Member) float64 {
	if len(others) == 0 {
		return noRemoteRelays
	}
	loads := []float64{ownLoad}
	for _, m := range others {
		loads = append(loads, float64(m.PlacedLoad))
	}
	slices.Sort(loads)
	median := loads[len(loads)/2]
	sum := 0.0
	for _, m := range others {
		sum += min(float64(m.PlacedLoad), maxMedianMultiple*median)
	}
	return sum
}
