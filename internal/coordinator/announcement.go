package coordinator

import (
	"encoding/json"
	"fmt"

	"valeshift/internal/failover"
)

// receivedAnnouncement is the leader's announcement as this coordinator received it.
type receivedAnnouncement struct {
	failover.Announcement
	receivedAt float64 // time of receipt; -Inf: no announcement was received
}

// isNewerThan reports whether an announcement is newer than another: it has a higher number or, with the same
// number, its leader renewed the lease later.
func (r receivedAnnouncement) isNewerThan(other receivedAnnouncement) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.receivedAt-r.AgeMillis > other.receivedAt-other.AgeMillis
}

// encodedZones holds the encoded zones of the last announcement. They are encoded once for each decision, as
// hundreds of relays ask for the announcement.
type encodedZones struct {
	data   []byte // zones in JSON; nil: none encoded yet
	number uint64 // number of the announcement that they belong to
}

// ReceiveObservations processes a relay's observations, or another coordinator's request for the announcement,
// which has no data. It returns the announcement to answer with. Malformed observations are an error.
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
		c.encoded.data, _ = json.Marshal(a.Zones) // doesn't fail for plain values
		c.encoded.number = a.Number
	}
	return fmt.Appendf(nil, `{"Number":%d,"Age":%g,"Leads":%t,"Zones":%s}`,
		a.Number, a.AgeMillis, a.FromLeader, c.encoded.data)
}

// ReceiveAnnouncement processes the announcement of another coordinator that leads. A malformed or older
// announcement changes nothing.
func (c *Core) ReceiveAnnouncement(now float64, data []byte) {
	received := receivedAnnouncement{receivedAt: now}
	if err := json.Unmarshal(data, &received.Announcement); err != nil || !(received.AgeMillis >= 0) {
		return
	}
	if received.isNewerThan(c.fromLeader) {
		c.fromLeader = received
	}
}

// AnnouncementSource returns the address of the leader that this coordinator has to ask for the announcement. It
// is empty if this coordinator leads itself or knows no leader.
func (c *Core) AnnouncementSource(now float64) string {
	if c.voter.HasLease(now) {
		return ""
	}
	return c.voter.LeaderAddress()
}

// Announcement returns the decision in force, as far as this coordinator knows: its own while it leads, and
// otherwise what the leader announced. The age is -1 if no decision is known to be in force.
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
