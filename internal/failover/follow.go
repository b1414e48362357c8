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
	chance *rand.Rand
	number uint64
	zones  []Zone
	until  float64
	lets   float64
	next   *Announcement // waits to be kept
	nextAt float64
}

// NewFollower follows nothing yet.
func NewFollower(chance *rand.Rand) *Follower {
	return &Follower{chance: chance, until: math.Inf(-1), lets: math.Inf(-1)}
}

type kept struct {
	Number uint64 `json:"Number"`
}

// Restore takes what the disk has: nothing below it is followed.
func (f *Follower) Restore(data []byte) {
	var k kept
	if json.Unmarshal(data, &k) == nil && k.Number > f.number {
		f.number, f.zones, f.until, f.lets = k.Number, nil, math.Inf(-1), math.Inf(-1)
	}
}

// Receive takes a word, and gives what is to be kept before it is followed: Kept says that it is.
func (f *Follower) Receive(now float64, w Announcement) []byte {
	if !(w.AgeMillis >= 0 && w.AgeMillis < DecisionTTL) || w.Number < f.number || w.Number == 0 || unreadable(w.Zones) != "" {
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
	if f.next != nil && f.next.Number >= w.Number {
		if f.next.Number == w.Number {
			f.next.AgeMillis, f.nextAt = w.AgeMillis, now
		}
		return nil
	}
	f.next, f.nextAt = &w, now
	text, _ := json.Marshal(kept{w.Number}) // of a plain value
	return text
}

func (f *Follower) renew(until float64) {
	if until > f.until {
		f.until = until
		f.lets = until + DecisionTTL*f.chance.Float64()
	}
}

// ConfirmPersisted says that the number is on the disk, or can't be. An answer that is late counts for nothing.
func (f *Follower) ConfirmPersisted(now float64, number uint64) {
	if w := f.next; w != nil && w.Number == number {
		f.number, f.zones, f.next = w.Number, w.Zones, nil
		f.until = math.Inf(-1)
		f.renew(f.nextAt - w.AgeMillis + DecisionTTL)
	}
}

// Current is the picture to go by now, and its number; nil: none. One that waits for a slow disk is not gone by,
// against going back in number over a start: the one before it runs out meanwhile, and the relay decides
// alone.
func (f *Follower) Current(now float64) ([]Zone, uint64) {
	if now >= f.lets {
		return nil, f.number
	}
	return f.zones, f.number
}

// Renewal tells whether what is held was renewed of late, and until when that counts.
func (f *Follower) Renewal(now float64) (bool, float64) { return now < f.until, f.until }
