package failover

import (
	"encoding/json"
	"math"
	"math/rand"
)

// Follower is a relay's side of the decisions. It never goes back to a lower number, not even over a restart
// of the relay: a decision is followed once its number is on the relay's disk. A decision that nobody renews
// is dropped at a random moment within another DecisionTTL, as else all relays would change at once.
type Follower struct {
	rng       *rand.Rand
	number    uint64
	zones     []Zone  // nil: the number is known from before a restart, the decision is not
	renewedTo float64 // until when the latest renewal counts
	dropAt    float64

	pending           *Announcement // of a higher number, which is not on disk yet
	pendingReceivedAt float64
}

// NewFollower follows no decision yet.
func NewFollower(rng *rand.Rand) *Follower {
	return &Follower{rng: rng, renewedTo: math.Inf(-1), dropAt: math.Inf(-1)}
}

// persistedDecision is what a relay keeps on disk.
type persistedDecision struct {
	Number uint64 `json:"Number"`
}

// Restore takes what an earlier process of this relay persisted: no lower number is followed. Data that can't
// be read is ignored.
func (f *Follower) Restore(data []byte) {
	var persisted persistedDecision
	if json.Unmarshal(data, &persisted) != nil || persisted.Number <= f.number {
		return
	}
	f.number = persisted.Number
	f.zones = nil
	f.renewedTo = math.Inf(-1)
	f.dropAt = math.Inf(-1)
}

// Receive takes an announcement. If it returns data, that is to be persisted before the decision is followed:
// ConfirmPersisted says that it was.
func (f *Follower) Receive(now float64, announcement Announcement) (persist []byte) {
	if !f.isAcceptable(announcement) {
		return nil
	}
	if announcement.Number == f.number {
		if f.zones == nil {
			f.zones = announcement.Zones
		}
		f.renew(now - announcement.AgeMillis + DecisionTTL)
		return nil
	}
	if f.pending != nil && f.pending.Number >= announcement.Number {
		if f.pending.Number == announcement.Number {
			f.pending.AgeMillis = announcement.AgeMillis
			f.pendingReceivedAt = now
		}
		return nil
	}
	f.pending = &announcement
	f.pendingReceivedAt = now
	persist, _ = json.Marshal(persistedDecision{Number: announcement.Number}) // can't fail
	return persist
}

func (f *Follower) isAcceptable(announcement Announcement) bool {
	isFresh := announcement.AgeMillis >= 0 && announcement.AgeMillis < DecisionTTL // false for NaN
	return isFresh && announcement.Number > 0 && announcement.Number >= f.number &&
		validateZones(announcement.Zones) == nil
}

func (f *Follower) renew(until float64) {
	if until > f.renewedTo {
		f.renewedTo = until
		f.dropAt = until + DecisionTTL*f.rng.Float64()
	}
}

// ConfirmPersisted says that the data which Receive returned for a number is on disk, or that there is no
// usable disk. It ignores a number that is no longer pending.
func (f *Follower) ConfirmPersisted(now float64, number uint64) {
	if f.pending == nil || f.pending.Number != number {
		return
	}
	f.number = number
	f.zones = f.pending.Zones
	f.renewedTo = math.Inf(-1)
	f.renew(f.pendingReceivedAt - f.pending.AgeMillis + DecisionTTL)
	f.pending = nil
}

// Current returns the decision to follow now and its number; nil zones: none, the relay decides alone. While
// the disk is slow a pending decision is not followed, as a restart could then go back to a lower number; the
// one before it runs out meanwhile.
func (f *Follower) Current(now float64) ([]Zone, uint64) {
	if now >= f.dropAt {
		return nil, f.number
	}
	return f.zones, f.number
}

// Renewal reports whether the latest renewal still counts, and until when it does.
func (f *Follower) Renewal(now float64) (isCurrent bool, until float64) {
	return now < f.renewedTo, f.renewedTo
}
