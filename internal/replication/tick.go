package replication

import (
	"math"
)

// clockJumpMillis is the time between two ticks beyond which the clock was set, or the process was stopped.
const clockJumpMillis = 5000.0

// Tick does what is due: it sends requests again, gives up late operations and forgets what has expired. It is
// called when NextDeadline says so, and some times a second besides.
func (r *Replicator) Tick(now float64) []Action {
	r.adjustToClockJump(now)
	actions := r.repeatDiscards(now)
	actions = append(actions, r.advanceOperations(now)...)
	actions = append(actions, r.expireRecords(now)...)
	r.scanNextPartition(now)
	return append(actions, r.publishLocations(now)...)
}

// adjustToClockJump moves the times of all that is under way where the clock was set, so that it has the time left
// that it had.
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
	for i := range r.repeats {
		r.repeats[i].at += jump
	}
}

// expireRecords forgets, once a second, the records whose retention has ended, and what is known of records that
// have expired.
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
