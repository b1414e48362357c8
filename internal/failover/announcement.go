package failover

// Kinds of datagrams between relays and coordinators, given by the first byte of the sealed content.
const (
	ConsensusDatagram    = 'v' // a consensus message between coordinators
	ObservationsDatagram = 'e' // a relay's observations, or if empty a coordinator's request to the leader
	AnnouncementDatagram = 'w' // the answer to an ObservationsDatagram
)

// DecisionTTL is how long a decision is valid after its last renewal, in milliseconds.
const DecisionTTL = 5000.0

// Announcement is a coordinator's answer to a relay or to another coordinator: the decision in force, and the
// greatest possible age of that information.
type Announcement struct {
	Number     uint64  `json:"Number"` // number of the decision
	Zones      []Zone  `json:"Zones"`  // all zones as decided
	AgeMillis  float64 `json:"Age"`    // ms since the leader last confirmed its lease; negative if no decision is known
	FromLeader bool    `json:"Leads"`  // true if the sender is the leader
}
