package failover

import (
	"encoding/json"
	"math"
	"math/rand"
)

// Follower determines which decision a relay follows. It never goes back to a lower decision number, not even
// over a restart of the relay: it follows a decision only once the number is on the relay's disk. A decision
// that is no longer renewed expires after DecisionTTL and is dropped at a random time within another
// DecisionTTL, as otherwise all relays would change their routing at once.
type Follower struct {
	rng          *rand.Rand
	number       uint64  // highest number followed so far; 0 if none was
	zones        []Zone  // nil while no decision, or after a restart only its number, is known
	renewedUntil float64 // time at which the latest renewal expires
	dropAt       float64 // time from which on the decision is no longer followed

	pending           *Announcement // decision with a higher number that is not on disk yet
	pendingReceivedAt float64       // time at which the pending decision was last announced
}

// NewFollower returns a follower that follows no decision yet.
func NewFollower(rng *rand.Rand) *Follower {
	return &Follower{rng: rng, renewedUntil: math.Inf(-1), dropAt: math.Inf(-1)}
}

// persistedDecision is what a relay keeps on disk of the decision that it follows.
type persistedDecision struct {
	Number uint64 `json:"Number"`
}

// Restore reads the number that an earlier process of this relay persisted, so that no lower number is followed.
// Data that can't be decoded is ignored.
func (f *Follower) Restore(data []byte) {
	var persisted persistedDecision
	if json.Unmarshal(data, &persisted) != nil || persisted.Number <= f.number {
		return
	}
	f.number = persisted.Number
	f.zones = nil
	f.renewedUntil = math.Inf(-1)
	f.dropAt = math.Inf(-1)
}

// Receive processes an announcement. If it returns data, the caller has to persist the data and then call
// ConfirmPersisted; until then the announced decision is not followed.
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

// isAcceptable reports whether an announcement is recent, not older than the followed decision, and valid.
func (f *Follower) isAcceptable(announcement Announcement) bool {
	isFresh := announcement.AgeMillis >= 0 && announcement.AgeMillis < DecisionTTL // false for NaN
	return isFresh && announcement.Number > 0 && announcement.Number >= f.number &&
		validateZones(announcement.Zones) == nil
}

// renew extends the followed decision until the given time, unless it is already renewed for longer.
func (f *Follower) renew(until float64) {
	if until > f.renewedUntil {
		f.renewedUntil = until
		f.dropAt = until + DecisionTTL*f.rng.Float64()
	}
}

// ConfirmPersisted is called when the data that Receive returned for a number is on disk, or if there is no
// usable disk. The decision is followed from then on. A number that is no longer pending is ignored.
func (f *Follower) ConfirmPersisted(now float64, number uint64) {
	if f.pending == nil || f.pending.Number != number {
		return
	}
	f.number = number
	f.zones = f.pending.Zones
	f.renewedUntil = math.Inf(-1)
	f.renew(f.pendingReceivedAt - f.pending.AgeMillis + DecisionTTL)
	f.pending = nil
}

// Current returns the zones of the decision to follow now, and its number. The zones are nil if there is no
// decision to follow and the relay decides by itself. While the disk is slow a pending decision is not followed,
// as a restart could then go back to a lower number, and the previous decision expires in the meantime.
func (f *Follower) Current(now float64) ([]Zone, uint64) {
	if now >= f.dropAt {
		return nil, f.number
	}
	return f.zones, f.number
}

// Renewal reports whether the latest renewal is still valid, and the time at which it expires.
func (f *Follower) Renewal(now float64) (isCurrent bool, until float64) {
	return now < f.renewedUntil, f.renewedUntil
}
