package replication

import (
	"math"
)

// clockJumpMillis is the time between two ticks, in ms, beyond which the clock was set or the process was stopped.
const clockJumpMillis = 5000.0

// Tick does all work that is due: it sends requests again, ends operations whose deadline has passed, removes expired
// records and publishes locations. It is called at NextDeadline, and several times a second in any case.
func (r *Replicator) Tick(now float64) []Action {
	r.adjustToClockJump(now)
	actions := r.resendDiscards(now)
	actions = append(actions, r.advanceOperations(now)...)
	actions = append(actions, r.expireRecords(now)...)
	r.scanNextPartition(now)
	return append(actions, r.publishLocations(now)...)
}

// adjustToClockJump moves all pending deadlines by a jump of the clock, so that operations keep the time that they had
// left.
func (r *Replicator) adjustToClockJump(now float64) {
	jump := now - r.lastTickAt
	isFirst := r.lastTickAt <= 0
	r.lastTickAt = now
	if isFirst || math.Abs(jump) <= clockJumpMillis {
		return
	}
	for _, op := range r.operations {
		op.deadline += jump
		op.nextSendAt += jump
	}
	r.publisher.nextRoundAt += jump
	for i := range r.scheduledDiscards {
		r.scheduledDiscards[i].sendAt += jump
	}
}

// expireRecords removes, once a second, the stored records whose retention has ended, and the expired entries of the
// revocable records and of the location cache.
func (r *Replicator) expireRecords(now float64) []Action {
	removed, swept := r.records.removeExpired(now)
	if !swept {
		return nil
	}
	var actions []Action
	for _, stored := range removed {
		actions = append(actions, deleteWrites(stored)...)
	}
	for token, record := range r.revocable {
		if record.ExpiresAt < now {
			delete(r.revocable, token)
		}
	}
	r.locations.removeExpired(now)
	return actions
}
