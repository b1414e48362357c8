package failover

import (
	"encoding/json"
	"math"
	"math/rand"
)

// What a datagram between relays and voters is, by its first byte under the seal.
const (
	ConsensusDatagram    = 'v' // between voters
	ObservationsDatagram = 'e' // evidence of a relay; or a voter that asks
	AnnouncementDatagram = 'w' // the word that answers it
)

// DecisionTTL is how long a decision holds from the renewal that its word tells of, ms.
const DecisionTTL = 5000.0

// Announcement is what a voter tells a relay: the picture that holds, and how old it is at the most.
type Announcement struct {
	Number     uint64  `json:"Number"`
	Zones      []Zone  `json:"Zones"`
	AgeMillis  float64 `json:"Age"`   // since its leader knew that it leads; below 0: this voter does not know that
	FromLeader bool    `json:"Leads"` // this voter leads itself
}

// Follower is a relay's side of the decisions: it never goes back in number, also over its own starts, and
// lets go of one that nobody renews at a moment of its own, as all relays would else change in one.
type Follower struct {
	rng *rand.Rand
	number uint64
	zones  []Zone
	renewedTo  float64
	dropAt   float64
	pending   *Announcement // waits to be kept
	pendingReceivedAt float64
}

// NewFollower follows nothing yet.
func NewFollower(chance *rand.Rand) *Follower {
	return &Follower{rng: chance, renewedTo: math.Inf(-1), dropAt: math.Inf(-1)}
}

type persistedDecision struct {
	Number uint64 `json:"Number"`
}

// Restore takes what the disk has: nothing below it is followed.
func (f *Follower) Restore(data []byte) {
	var k persistedDecision
	if json.Unmarshal(data, &k) == nil && k.Number > f.number {
		f.number, f.zones, f.renewedTo, f.dropAt = k.Number, nil, math.Inf(-1), math.Inf(-1)
	}
}

// Receive takes a word, and gives what is to be kept before it is followed: Kept says that it is.
func (f *Follower) Receive(now float64, w Announcement) []byte {
	if !(w.AgeMillis >= 0 && w.AgeMillis < DecisionTTL) || w.Number < f.number || w.Number == 0 || validateZones(w.Zones) != "" {
		return nil
	}
	until := now - w.AgeMillis + DecisionTTL
	if w.Number == f.number {
		if f.zones == nil { // known by number from before a start
			f.zones = w.Zones
		}
		f.renew(until)
		return nil
	}
	if f.pending != nil && f.pending.Number >= w.Number {
		if f.pending.Number == w.Number {
			f.pending.AgeMillis, f.pendingReceivedAt = w.AgeMillis, now
		}
		return nil
	}
	f.pending, f.pendingReceivedAt = &w, now
	text, _ := json.Marshal(persistedDecision{w.Number}) // of a plain value
	return text
}

func (f *Follower) renew(until float64) {
	if until > f.renewedTo {
		f.renewedTo = until
		f.dropAt = until + DecisionTTL*f.rng.Float64()
	}
}

// ConfirmPersisted says that the number is on the disk, or can't be. An answer that is late counts for nothing.
func (f *Follower) ConfirmPersisted(now float64, number uint64) {
	if w := f.pending; w != nil && w.Number == number {
		f.number, f.zones, f.pending = w.Number, w.Zones, nil
		f.renewedTo = math.Inf(-1)
		f.renew(f.pendingReceivedAt - w.AgeMillis + DecisionTTL)
	}
}

// Current is the picture to go by now, and its number; nil: none. One that waits for a slow disk is not gone by,
// against going back in number over a start: the one before it runs out meanwhile, and the relay decides
// alone.
func (f *Follower) Current(now float64) ([]Zone, uint64) {
	if now >= f.dropAt {
		return nil, f.number
	}
	return f.zones, f.number
}

// Renewal tells whether what is held was renewed of late, and until when that counts.
func (f *Follower) Renewal(now float64) (bool, float64) { return now < f.renewedTo, f.renewedTo }
