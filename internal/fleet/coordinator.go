package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// This file is the relay's side of the exchange with the coordinators: it reports the relay's observations of zones
// to them, receives their decisions and applies those to the relay's sessions. Nothing waits for a coordinator:
// without announcements the relay decides alone.

const (
	reportInterval = 500.0  // ms between two reports of observations
	reportWindow   = 1200.0 // ms that a report covers
	leaderTimeout  = 1200.0 // ms without an announcement of the leader, after which reports go to all coordinators
)

// noLeader is the value of coordinatorClient.leader while no leader is known.
const noLeader = -1

// coordinatorClient reports a relay's observations to the coordinators and follows their decisions on zones.
type coordinatorClient struct {
	relay        string   // name of this relay
	zone         string   // name of this relay's zone
	key          []byte   // datagrams are sealed with it
	voters       []string // addresses of the coordinators
	follower     *failover.Follower
	nextReportAt float64
	leader       int                // index of the voter that last announced itself as leader, or noLeader
	leaderSeenAt float64            // time of the last announcement of that leader
	samples      []zoneSample       // samples that reports are computed from, the oldest first
	zoneWeights  []relay.ZoneWeight // weights that the relay was last notified of
}

// zoneSample is what the relay has observed of all zones from its start until the time at.
type zoneSample struct {
	at    float64
	zones map[string]balancer.ZoneObservation
}

// FollowCoordinators makes the relay follow the decisions of the coordinators at the given addresses. It must be
// called before any datagram is received.
func (c *Core) FollowCoordinators(relay, zone string, voters []string, key []byte, rng *rand.Rand) {
	c.coordinators = &coordinatorClient{
		relay:    relay,
		zone:     zone,
		key:      key,
		voters:   voters,
		leader:   noLeader,
		follower: failover.NewFollower(rng),
	}
}

// IsObservationDue reports whether SendObservations is due.
func (c *Core) IsObservationDue(now float64) bool {
	return c.coordinators != nil && now >= c.coordinators.nextReportAt
}

// SendObservations takes what the relay has observed of zones since its start, and the demand of its sessions. It
// returns datagrams that report the observations of the last reportWindow: one to the leader, or one to each
// coordinator while no leader is known.
func (c *Core) SendObservations(now float64, zones map[string]balancer.ZoneObservation,
	demand float64) (actions []Action) {
	client := c.coordinators
	client.nextReportAt = now + reportInterval
	client.addSample(now, zones)
	report := client.report(zones, demand)
	content := append([]byte{failover.ObservationsDatagram}, report.Encode()...)
	data := membership.Seal(client.key, content)
	isLeaderKnown := client.leader != noLeader && now < client.leaderSeenAt+leaderTimeout
	for i, address := range client.voters {
		if i == client.leader || !isLeaderKnown {
			actions = append(actions, Action{Send: &membership.Datagram{To: address, Data: data}})
		}
	}
	return actions
}

// addSample adds a sample, and drops those that no later report needs.
func (client *coordinatorClient) addSample(now float64, zones map[string]balancer.ZoneObservation) {
	client.samples = append(client.samples, zoneSample{at: now, zones: zones})
	for len(client.samples) > 2 && client.samples[1].at <= now-reportWindow {
		client.samples = client.samples[1:]
	}
}

// report returns the observations since the oldest sample.
func (client *coordinatorClient) report(zones map[string]balancer.ZoneObservation,
	demand float64) failover.Observations {
	report := failover.Observations{
		Relay:  client.relay,
		Zone:   client.zone,
		Demand: demand,
		ByZone: map[string]failover.Observation{},
	}
	oldest := client.samples[0].zones
	for name, seen := range zones {
		before := oldest[name]
		report.ByZone[name] = failover.Observation{
			Attempts:           seen.Attempts - before.Attempts,
			FailedAttempts:     seen.FailedAttempts - before.FailedAttempts,
			HealthChecks:       seen.Polls - before.Polls,
			FailedHealthChecks: seen.UnansweredPolls - before.UnansweredPolls,
			Load:               max(seen.Load, 0),
			Capacity:           seen.Capacity,
		}
	}
	return report
}

// receiveAnnouncement handles a datagram from a coordinator. It returns false if the sender is not a coordinator. A
// datagram that can't be authenticated or decoded is dropped.
func (c *Core) receiveAnnouncement(now float64, from string, data []byte) ([]Action, bool) {
	client := c.coordinators
	if client == nil {
		return nil, false
	}
	sender := slices.Index(client.voters, from)
	if sender < 0 {
		return nil, false
	}
	announcement, isReadable := client.openAnnouncement(data)
	if !isReadable {
		return nil, true
	}
	if announcement.FromLeader {
		client.leader = sender
		client.leaderSeenAt = now
	}
	if c.hasDisk && !c.diskRead { // the number of the decision followed before this start is not known yet
		return nil, true
	}
	persist := client.follower.Receive(now, announcement)
	if persist == nil {
		return nil, true
	}
	if !c.diskRead { // there is no usable disk to store the decision on, so it is followed at once
		client.follower.ConfirmPersisted(now, announcement.Number)
		return nil, true
	}
	return []Action{{
		Persist:         &store.Record{Kind: store.KindDecision, Boot: c.boot, UnixMillis: now, Body: persist},
		ConfirmDecision: announcement.Number,
	}}, true
}

func (client *coordinatorClient) openAnnouncement(data []byte) (announcement failover.Announcement, isReadable bool) {
	content, err := membership.Open(client.key, data)
	if err != nil || len(content) == 0 || content[0] != failover.AnnouncementDatagram {
		return announcement, false
	}
	err = json.Unmarshal(content[1:], &announcement)
	return announcement, err == nil
}

// ConfirmDecisionPersisted is called once the decision with the given number is durable, or can't be written.
func (c *Core) ConfirmDecisionPersisted(now float64, number uint64) {
	if c.coordinators != nil {
		c.coordinators.follower.ConfirmPersisted(now, number)
	}
}

// updateZoneWeights notifies the relay of the zone weights of the current decision, if they have changed.
func (c *Core) updateZoneWeights(now float64) []Action {
	client := c.coordinators
	if client == nil {
		return nil
	}
	zones, number := client.follower.Current(now)
	weights := zoneWeights(zones, client.zone)
	if slices.Equal(weights, client.zoneWeights) {
		return nil
	}
	client.zoneWeights = weights
	return []Action{
		{Event: relay.ZoneWeightsChanged{Weights: weights}},
		{Log: fmt.Sprintf("decision %d: %v", number, weights)},
	}
}

// zoneWeights returns the weights by which sessions that arrive in the relay's own zone are assigned to zones; nil
// if there is no decision about its zone.
func zoneWeights(zones []failover.Zone, own string) (weights []relay.ZoneWeight) {
	ownIndex := slices.IndexFunc(zones, func(z failover.Zone) bool { return z.Name == own })
	if ownIndex < 0 {
		return nil
	}
	for i, zone := range zones {
		weight := relay.ZoneWeight{
			Zone: zone.Name,
			// A returning zone accepts overflow of other zones too, as the limits of its backends still apply.
			AcceptsOverflow: zone.State == failover.Home || zone.State == failover.Returning,
		}
		if i == ownIndex {
			weight.Share = zone.Share
		}
		for _, diversion := range zones[ownIndex].Diversions {
			if diversion.Zone == zone.Name {
				weight.Share = diversion.Fraction
			}
		}
		weights = append(weights, weight)
	}
	return weights
}

// CoordinatorStatus is the part of Status about the coordinators' decisions.
type CoordinatorStatus struct {
	Number           uint64             `json:"Number"`  // number of the latest decision that this relay has followed
	Followed         bool               `json:"Held"`    // a decision is followed now; false: the relay decides alone
	RenewalDueMillis float64            `json:"Renewed"` // ms until the decision has to be renewed; negative: overdue
	Leader           string             `json:"Leads"`   // address of the coordinator that last announced that it leads
	ZoneWeights      []relay.ZoneWeight `json:"Zones"`
}

func (c *Core) coordinatorStatus(now float64) *CoordinatorStatus {
	client := c.coordinators
	if client == nil {
		return nil
	}
	zones, number := client.follower.Current(now)
	_, renewedUntil := client.follower.Renewal(now)
	status := &CoordinatorStatus{
		Number:           number,
		Followed:         zones != nil,
		RenewalDueMillis: max(renewedUntil-now, -1), // also -1 if there was never a renewal
		ZoneWeights:      zoneWeights(zones, client.zone),
	}
	if client.leader != noLeader {
		status.Leader = client.voters[client.leader]
	}
	return status
}
