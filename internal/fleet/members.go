package fleet

import (
	"slices"

	"valeshift/internal/membership"
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

// This file is what the relay tells other relays of itself, and what it makes of what they say.

const (
	remoteLoadInterval = 200.0 // between two notifications; news from another relay takes as long
	// maxMedianMultiple bounds what one relay's word on its load counts for, in multiples of the median.
	maxMedianMultiple = 3.0
	// noRemoteRelays is the remote load where no other relay is alive.
	noRemoteRelays = -1.0
	// duplicateMillis is how long a second process under this relay's name is reported after its last datagram.
	duplicateMillis = 10000.0
)

// gossip says what this relay is like now, and exchanges it with other relays.
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

// adoptRememberedState follows what other relays remember of this one: a boot above its own, as its disk was
// lost or is an older one, or an operator order later than its own.
func (c *Core) adoptRememberedState(now float64) []Action {
	var actions []Action
	state := c.membership.LocalState()
	if state.Boot > c.boot && c.diskRead {
		c.boot = state.Boot
		if c.replication != nil {
			c.replication.diskIsOlder = true
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

// recoveryPeers returns the other relays that are alive, as the recovery plan needs them.
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

// findMember finds another relay by its name. It is called only where there are others.
func (c *Core) findMember(name string) (membership.Member, bool) {
	members := c.membership.Members(c.relayStatus.Now)
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	if i < 0 {
		return membership.Member{}, false
	}
	return members[i], true
}

// hasDuplicate tells whether another process was heard under this relay's name of late.
func (c *Core) hasDuplicate(now float64) bool {
	seenAt := c.membership.DuplicateSeenAt
	return seenAt > 0 && now < seenAt+duplicateMillis
}

// remoteLoad is the load that other relays have assigned and that load reports may not show yet.
type remoteLoad struct {
	notified float64 // as the relay was last told
	dueAt    float64
}

// updateRemoteLoad tells the relay what load the others have assigned, by their own words, where that changed.
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

// sumRemoteLoad sums what the others say they have assigned. Each counts for a few times the median at the
// most: one relay that is wrong must not make all backends look full.
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
