package coordinator

import (
	"encoding/json"
	"fmt"

	"valeshift/internal/failover"
)

// receivedAnnouncement is what the leader has announced to this coordinator.
type receivedAnnouncement struct {
	failover.Announcement
	receivedAt float64 // -Inf: never
}

// isNewerThan tells whether an announcement received now goes beyond another: by its number or, with the same
// number, by when its leader knew that it leads.
func (r receivedAnnouncement) isNewerThan(other receivedAnnouncement) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.receivedAt-r.AgeMillis > other.receivedAt-other.AgeMillis
}

// encodedZones are the zones of the last announcement, encoded once for each decision, as hundreds of relays
// ask for it.
type encodedZones struct {
	data   []byte // nil: none yet
	number uint64 // of the announcement
}

// ReceiveObservations processes what a relay observed, or another coordinator's question where there is no
// data, and returns the announcement that answers it. Malformed observations are an error.
func (c *Core) ReceiveObservations(now float64, data []byte) (announcement []byte, err error) {
	if len(data) > 0 {
		observations, err := failover.DecodeObservations(data)
		if err != nil {
			return nil, fmt.Errorf("receive observations: %w", err)
		}
		c.policy.AddObservations(now, observations)
	}
	return c.encodeAnnouncement(c.Announcement(now)), nil
}

// encodeAnnouncement encodes an announcement as JSON.
func (c *Core) encodeAnnouncement(a failover.Announcement) []byte {
	if c.encoded.data == nil || a.Number != c.encoded.number || len(a.Zones) == 0 {
		c.encoded.data, _ = json.Marshal(a.Zones) // of plain values
		c.encoded.number = a.Number
	}
	return fmt.Appendf(nil, `{"Number":%d,"Age":%g,"Leads":%t,"Zones":%s}`,
		a.Number, a.AgeMillis, a.FromLeader, c.encoded.data)
}

// ReceiveAnnouncement processes the leader's announcement, where another leads. A malformed or older one
// changes nothing.
func (c *Core) ReceiveAnnouncement(now float64, data []byte) {
	received := receivedAnnouncement{receivedAt: now}
	if err := json.Unmarshal(data, &received.Announcement); err != nil || !(received.AgeMillis >= 0) {
		return
	}
	if received.isNewerThan(c.fromLeader) {
		c.fromLeader = received
	}
}

// AnnouncementSource returns the address of the leader that this coordinator has to ask for the announcement;
// empty: it leads itself, or knows no leader.
func (c *Core) AnnouncementSource(now float64) string {
	if c.voter.HasLease(now) {
		return ""
	}
	return c.voter.LeaderAddress()
}

// Announcement returns the decision that holds, as far as this coordinator knows: its own while it leads, else
// what the leader announced. Its age is -1 where no decision is known to hold.
func (c *Core) Announcement(now float64) failover.Announcement {
	if c.voter.HasLease(now) {
		return failover.Announcement{
			Number:     c.decisions.Number,
			Zones:      c.decisions.EffectiveZones(),
			AgeMillis:  now - c.voter.LeaseRenewedAt(),
			FromLeader: true,
		}
	}
	announcement := c.fromLeader.Announcement
	announcement.AgeMillis += now - c.fromLeader.receivedAt
	announcement.FromLeader = false
	if !(announcement.AgeMillis < failover.DecisionTTL) {
		return failover.Announcement{AgeMillis: -1}
	}
	return announcement
}
