package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// This file is a relay's side of the council: it tells voters what it sees of zones, takes their word on
// what was decided, and has the relay's links directed by it. Nobody waits for a voter: without words the
// relay decides alone.

const (
	showEvery = 500.0
	showFor   = 1200.0 // of what was seen, that evidence tells
	leadsFor  = 1200.0 // without a word of who leads, before all are asked
)

type council struct {
	relay, zone string
	key         []byte
	voters      []string
	follower    *failover.Follower
	showAt      float64
	leads       int // voter that said so last; -1: none
	leadsAt     float64
	seen        []sight // of late, the oldest first
	told        string  // how the relay is directed
	number      uint64
}

type sight struct {
	at    float64
	zones map[string]balancer.ZoneObservation
}

// FollowCoordinators has the relay follow the council whose voters are there.
func (c *Core) FollowCoordinators(relay, zone string, voters []string, key []byte, chance *rand.Rand) {
	c.coordinators = &council{relay: relay, zone: zone, key: key, voters: voters, leads: -1, told: "[]",
		follower: failover.NewFollower(chance)}
}

// IsObservationDue tells whether evidence is due.
func (c *Core) IsObservationDue(now float64) bool {
	return c.coordinators != nil && now >= c.coordinators.showAt
}

// SendObservations takes what the relay has seen of zones since its start, and what its links weigh, and gives what
// voters are told of the last seconds: who leads, or all while nobody is known to.
func (c *Core) SendObservations(now float64, zones map[string]balancer.ZoneObservation, demand float64) (acts []Action) {
	k := c.coordinators
	k.showAt = now + showEvery
	k.seen = append(k.seen, sight{now, zones})
	for len(k.seen) > 2 && k.seen[1].at <= now-showFor {
		k.seen = k.seen[1:]
	}
	e := failover.Observations{Relay: k.relay, Zone: k.zone, Demand: demand, ByZone: map[string]failover.Observation{}}
	first := k.seen[0].zones
	for name, l := range zones {
		was := first[name]
		e.ByZone[name] = failover.Observation{Attempts: l.Attempts - was.Attempts, FailedAttempts: l.FailedAttempts - was.FailedAttempts,
			HealthChecks: l.Polls - was.Polls, FailedHealthChecks: l.UnansweredPolls - was.UnansweredPolls, Load: max(l.Load, 0), Capacity: l.Capacity}
	}
	data := membership.Seal(k.key, append([]byte{failover.ObservationsDatagram}, e.Encode()...))
	for i, to := range k.voters {
		if i == k.leads && now < k.leadsAt+leadsFor || k.leads < 0 || now >= k.leadsAt+leadsFor {
			acts = append(acts, Action{Send: &membership.Datagram{To: to, Data: data}})
		}
	}
	return acts
}

// receiveAnnouncement takes a voter's word; false: it is none.
func (c *Core) receiveAnnouncement(now float64, from string, data []byte) ([]Action, bool) {
	k := c.coordinators
	i := -1
	if k != nil {
		i = slices.Index(k.voters, from)
	}
	if i < 0 {
		return nil, false
	}
	body, err := membership.Open(k.key, data)
	var w failover.Announcement
	if err != nil || len(body) == 0 || body[0] != failover.AnnouncementDatagram || json.Unmarshal(body[1:], &w) != nil {
		return nil, true
	}
	if w.FromLeader {
		k.leads, k.leadsAt = i, now
	}
	if c.hasDisk && !c.diskRead { // which number it went by before its start is not known yet
		return nil, true
	}
	keep := k.follower.Receive(now, w)
	if keep == nil {
		return nil, true
	}
	if !c.diskRead { // no disk, or none that can be used: the words of others are all there is
		k.follower.ConfirmPersisted(now, w.Number)
		return nil, true
	}
	return []Action{{Persist: &store.Record{Kind: store.KindDecision, Boot: c.boot, UnixMillis: now, Body: keep},
		ConfirmDecision: w.Number}}, true
}

// ConfirmDecisionPersisted says that the decision of that number is on the disk, or can't be.
func (c *Core) ConfirmDecisionPersisted(now float64, number uint64) {
	if c.coordinators != nil {
		c.coordinators.follower.ConfirmPersisted(now, number)
	}
}

// updateZoneWeights has the relay go by what is held now, where that is another than before.
func (c *Core) updateZoneWeights(now float64) []Action {
	k := c.coordinators
	if k == nil {
		return nil
	}
	zones, number := k.follower.Current(now)
	k.number = number
	all := towards(zones, k.zone)
	if text := fmt.Sprint(all); text != k.told {
		k.told = text
		return []Action{{Event: relay.ZoneWeightsChanged{Weights: all}},
			{Log: fmt.Sprintf("decision %d: %v", number, all)}}
	}
	return nil
}

// towards is where links that come to that zone are meant to go; none where nothing is decided of it.
func towards(zones []failover.Zone, own string) (all []relay.ZoneWeight) {
	at := slices.IndexFunc(zones, func(z failover.Zone) bool { return z.Name == own })
	if at < 0 {
		return nil
	}
	for i, z := range zones {
		// One that returns takes others' links only where those have no room: its servers' own limits hold.
		t := relay.ZoneWeight{Zone: z.Name, AcceptsOverflow: z.State == failover.Home || z.State == failover.Returning}
		if i == at {
			t.Share = z.Share
		}
		for _, p := range zones[at].Diversions {
			if p.Zone == z.Name {
				t.Share = p.Fraction
			}
		}
		all = append(all, t)
	}
	return all
}

// CoordinatorStatus is what operators are told of the decisions.
type CoordinatorStatus struct {
	Number           uint64             `json:"Number"`
	Followed         bool               `json:"Held"`
	RenewalDueMillis float64            `json:"Renewed"` // until it has to be renewed, ms; below 0: it has not been
	Leader           string             `json:"Leads"`   // voter that said so last
	ZoneWeights      []relay.ZoneWeight `json:"Zones"`
}

func (c *Core) coordinatorStatus(now float64) *CoordinatorStatus {
	k := c.coordinators
	if k == nil {
		return nil
	}
	zones, number := k.follower.Current(now)
	_, until := k.follower.Renewal(now)
	s := &CoordinatorStatus{Number: number, Followed: zones != nil, RenewalDueMillis: max(until-now, -1), ZoneWeights: towards(zones,
		k.zone)}
	if math.IsInf(until, 0) {
		s.RenewalDueMillis = -1
	}
	if k.leads >= 0 {
		s.Leader = k.voters[k.leads]
	}
	return s
}
