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

// This file is a relay's side of the coordinators: it reports to them what it sees of zones, receives what
// they decided, and has the relay's sessions go by it. Nothing waits for a coordinator: without announcements
// the relay decides alone.

const (
	reportInterval = 500.0  // ms between two reports of observations
	reportWindow   = 1200.0 // ms that a report covers
	leaderTimeout  = 1200.0 // ms without an announcement of the leader, before all coordinators are asked
)

// noLeader stands for a leader that is not known.
const noLeader = -1

// coordinatorClient is a relay's side of the decisions on zones.
type coordinatorClient struct {
	relay        string
	zone         string // the relay's own
	key          []byte
	voters       []string // addresses of the coordinators
	follower     *failover.Follower
	nextReportAt float64
	leader       int // index of the voter that said last that it leads; noLeader: none did
	leaderSeenAt float64
	samples      []zoneSample       // within reportWindow, the oldest first
	zoneWeights  []relay.ZoneWeight // that the relay goes by
}

// zoneSample is what the relay has seen of all zones from its start to a time.
type zoneSample struct {
	at    float64
	zones map[string]balancer.ZoneObservation
}

// FollowCoordinators has the relay follow what the coordinators at the given addresses decide. It is called
// before anything is received.
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

// SendObservations takes what the relay has seen of zones since its start, and the demand that its sessions
// make. It returns the report of the last moments, to the coordinator that leads, or to all of them while no
// leader is known.
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

// addSample adds a sample, and drops those that no report needs any more.
func (client *coordinatorClient) addSample(now float64, zones map[string]balancer.ZoneObservation) {
	client.samples = append(client.samples, zoneSample{at: now, zones: zones})
	for len(client.samples) > 2 && client.samples[1].at <= now-reportWindow {
		client.samples = client.samples[1:]
	}
}

// report is what has changed since the oldest sample.
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

// receiveAnnouncement takes a datagram that a coordinator sent; false if its sender is none. What can't be
// read is dropped.
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
	if c.hasDisk && !c.diskRead { // the number that it followed before its start is not known yet
		return nil, true
	}
	persist := client.follower.Receive(now, announcement)
	if persist == nil {
		return nil, true
	}
	if !c.diskRead { // there is no usable disk: other relays' snapshots are all there is
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

// ConfirmDecisionPersisted says that the decision with that number is on disk, or that it can't be written.
func (c *Core) ConfirmDecisionPersisted(now float64, number uint64) {
	if c.coordinators != nil {
		c.coordinators.follower.ConfirmPersisted(now, number)
	}
}

// updateZoneWeights has the relay go by the decision that holds now, if that gives other weights than before.
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

// zoneWeights tells where sessions that come to the own zone are to go; none if nothing is decided about it.
func zoneWeights(zones []failover.Zone, own string) (weights []relay.ZoneWeight) {
	ownIndex := slices.IndexFunc(zones, func(z failover.Zone) bool { return z.Name == own })
	if ownIndex < 0 {
		return nil
	}
	for i, zone := range zones {
		weight := relay.ZoneWeight{
			Zone: zone.Name,
			// A zone that returns takes what other zones have no capacity for: its backends' own limits hold.
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

// CoordinatorStatus is what a relay tells operators of the decisions.
type CoordinatorStatus struct {
	Number           uint64             `json:"Number"`  // the highest that it has followed
	Followed         bool               `json:"Held"`    // false: the relay decides alone
	RenewalDueMillis float64            `json:"Renewed"` // from now; negative: it was not renewed in time
	Leader           string             `json:"Leads"`   // address of the coordinator that said last that it leads
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
		RenewalDueMillis: max(renewedUntil-now, -1), // -1 too if it was never renewed
		ZoneWeights:      zoneWeights(zones, client.zone),
	}
	if client.leader != noLeader {
		status.Leader = client.voters[client.leader]
	}
	return status
}
