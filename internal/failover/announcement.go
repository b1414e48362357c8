package failover

// Kinds of datagrams between relays and coordinators: the first byte of the sealed content.
const (
	ConsensusDatagram    = 'v' // a consensus message, between coordinators
	ObservationsDatagram = 'e' // a relay's observations; without content: a coordinator that asks the leader
	AnnouncementDatagram = 'w' // the answer to that
)

// DecisionTTL is how long a relay follows a decision after its last renewal, in milliseconds.
const DecisionTTL = 5000.0

// Announcement is what a coordinator answers a relay: the decision that holds, and how old that knowledge is
// at most.
type Announcement struct {
	Number     uint64  `json:"Number"`
	Zones      []Zone  `json:"Zones"`
	AgeMillis  float64 `json:"Age"` // since the leader last knew that it leads; negative: this coordinator doesn't know
	FromLeader bool    `json:"Leads"`
}
