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
	zones map[string]balancer.ZoneLook
}

// Follows has the relay follow the council whose voters are there.
func (c *Core) Follows(relay, zone string, voters []string, key []byte, chance *rand.Rand) {
	c.council = &council{relay: relay, zone: zone, key: key, voters: voters, leads: -1, told: "[]",
		follower: failover.NewFollower(chance)}
}

// Shows tells whether evidence is due.
func (c *Core) Shows(now float64) bool { return c.council != nil && now >= c.council.showAt }

// Show takes what the relay has seen of zones since its start, and what its links weigh, and gives what
// voters are told of the last seconds: who leads, or all while nobody is known to.
func (c *Core) Show(now float64, zones map[string]balancer.ZoneLook, demand float64) (acts []Act) {
	k := c.council
	k.showAt = now + showEvery
	k.seen = append(k.seen, sight{now, zones})
	for len(k.seen) > 2 && k.seen[1].at <= now-showFor {
		k.seen = k.seen[1:]
	}
	e := failover.Evidence{Relay: k.relay, Zone: k.zone, Demand: demand, Looks: map[string]failover.Look{}}
	first := k.seen[0].zones
	for name, l := range zones {
		was := first[name]
		e.Looks[name] = failover.Look{Tries: l.Tries - was.Tries, Failed: l.Failed - was.Failed,
			Probes: l.Probes - was.Probes, Silent: l.Silent - was.Silent, Load: max(l.Load, 0), Room: l.Room}
	}
	data := membership.Seal(k.key, append([]byte{failover.Shown}, e.Text()...))
	for i, to := range k.voters {
		if i == k.leads && now < k.leadsAt+leadsFor || k.leads < 0 || now >= k.leadsAt+leadsFor {
			acts = append(acts, Act{Send: &membership.Datagram{To: to, Data: data}})
		}
	}
	return acts
}

// said takes a voter's word; false: it is none.
func (c *Core) said(now float64, from string, data []byte) ([]Act, bool) {
	k := c.council
	i := -1
	if k != nil {
		i = slices.Index(k.voters, from)
	}
	if i < 0 {
		return nil, false
	}
	body, err := membership.Open(k.key, data)
	var w failover.Word
	if err != nil || len(body) == 0 || body[0] != failover.Says || json.Unmarshal(body[1:], &w) != nil {
		return nil, true
	}
	if w.Leads {
		k.leads, k.leadsAt = i, now
	}
	if c.hasDisk && !c.read { // which number it went by before its start is not known yet
		return nil, true
	}
	keep := k.follower.Take(now, w)
	if keep == nil {
		return nil, true
	}
	if !c.read { // no disk, or none that can be used: the words of others are all there is
		k.follower.Kept(now, w.Number)
		return nil, true
	}
	return []Act{{Save: &store.Record{Kind: store.Decision, Boot: c.boot, At: now, Body: keep},
		Kept: w.Number}}, true
}

// Kept says that the decision of that number is on the disk, or can't be.
func (c *Core) Kept(now float64, number uint64) {
	if c.council != nil {
		c.council.follower.Kept(now, number)
	}
}

// direct has the relay go by what is held now, where that is another than before.
func (c *Core) direct(now float64) []Act {
	k := c.council
	if k == nil {
		return nil
	}
	zones, number := k.follower.Held(now)
	k.number = number
	all := towards(zones, k.zone)
	if text := fmt.Sprint(all); text != k.told {
		k.told = text
		return []Act{{Tell: &relay.Event{Kind: relay.Directed, Toward: all}},
			{Note: fmt.Sprintf("decision %d: %v", number, all)}}
	}
	return nil
}

// towards is where links that come to that zone are meant to go; none where nothing is decided of it.
func towards(zones []failover.Zone, own string) (all []relay.Toward) {
	at := slices.IndexFunc(zones, func(z failover.Zone) bool { return z.Name == own })
	if at < 0 {
		return nil
	}
	for i, z := range zones {
		// One that returns takes others' links only where those have no room: its servers' own limits hold.
		t := relay.Toward{Zone: z.Name, Open: z.State == failover.Home || z.State == failover.Returning}
		if i == at {
			t.Part = z.Share
		}
		for _, p := range zones[at].To {
			if p.Zone == z.Name {
				t.Part = p.Part
			}
		}
		all = append(all, t)
	}
	return all
}

// CouncilStatus is what operators are told of the decisions.
type CouncilStatus struct {
	Number  uint64         `json:"Number"`
	Held    bool           `json:"Held"`
	Renewed float64        `json:"Renewed"` // until it has to be renewed, ms; below 0: it has not been
	Leads   string         `json:"Leads"`   // voter that said so last
	Zones   []relay.Toward `json:"Zones"`
}

func (c *Core) councilStatus(now float64) *CouncilStatus {
	k := c.council
	if k == nil {
		return nil
	}
	zones, number := k.follower.Held(now)
	_, until := k.follower.Renewed(now)
	s := &CouncilStatus{Number: number, Held: zones != nil, Renewed: max(until-now, -1), Zones: towards(zones,
		k.zone)}
	if math.IsInf(until, 0) {
		s.Renewed = -1
	}
	if k.leads >= 0 {
		s.Leads = k.voters[k.leads]
	}
	return s
}
