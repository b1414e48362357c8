package fleet

import (
	"encoding/json"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// snapshotInterval is the time between two snapshots that are written, in ms.
const snapshotInterval = 1000.0

// snapshotState is the snapshot that this relay last stored, from which later snapshots and answers to queries are
// completed.
type snapshotState struct {
	last  *relay.Snapshot // the latest snapshot that was stored or restored from the disk
	dueAt float64         // time of the next write
}

// isEmpty reports whether the snapshot has neither endpoints nor a capacity yet.
func (s *snapshotState) isEmpty() bool { return s.last.Endpoints == nil && s.last.Capacity == 0 }

// IsSnapshotDue reports whether a snapshot is due now. If so, it schedules the next one a snapshotInterval later.
func (c *Core) IsSnapshotDue(now float64) bool {
	if now < c.snapshots.dueAt || c.plan.Phase() < recovery.Admitting {
		return false
	}
	c.snapshots.dueAt = now + snapshotInterval
	return true
}

// RecordSnapshot returns the record that stores the relay's snapshot. Endpoints and estimates that the relay has not
// learned since its start are filled in from the last snapshot: a relay that stops soon after its start must not leave
// less on the disk than it found there.
func (c *Core) RecordSnapshot(now float64, s *relay.Snapshot) store.Record {
	last := c.snapshots.last
	if s.Endpoints == nil || len(s.Endpoints.Endpoints) == 0 {
		s.Endpoints = last.Endpoints
		s.ConfirmedAt = last.ConfirmedAt
	}
	c.completeEstimates(now, s)
	c.snapshots.last = s
	body, _ := shiftRetryTimes(s, c.fleetClockOffset).Encode() // can't fail with these types
	return store.Record{Kind: store.KindSnapshot, Boot: c.boot, UnixMillis: now, Body: body}
}

// completeEstimates fills in, from the last snapshot, the estimates that the relay has not made since its start, and
// sets the capacity to the fleet's estimate.
func (c *Core) completeEstimates(now float64, s *relay.Snapshot) {
	if s.Capacity == 0 {
		last := c.snapshots.last
		s.Capacity = last.Capacity
		s.MeanLoad = last.MeanLoad
		s.Classes = last.Classes
	}
	s.Capacity = c.estimateCapacity(now, s)
}

// neverConfirmed is a queryAnswer's ConfirmedAgoMillis if discovery has not confirmed the endpoints since the relay's
// start.
const neverConfirmed = -1.0

// queryAnswer is a relay's answer to a query of another relay.
type queryAnswer struct {
	Snapshot           *relay.Snapshot `json:"Kept"`
	ConfirmedAgoMillis float64         `json:"ToldAgo"` // ms since discovery confirmed the endpoints, or neverConfirmed
}

// AnswerQuery returns the answer to another relay's query, made from this relay's present snapshot. It changes the
// snapshot.
func (c *Core) AnswerQuery(now float64, s *relay.Snapshot) []byte {
	answer := queryAnswer{Snapshot: s, ConfirmedAgoMillis: neverConfirmed}
	if s.Endpoints != nil {
		answer.ConfirmedAgoMillis = max(now-s.ConfirmedAt, 0)
	} else {
		s.Endpoints = c.snapshots.last.Endpoints
	}
	c.completeEstimates(now, s)
	s.RetryAt = nil                 // of no use to others: these clients come back to this relay only
	text, _ := json.Marshal(answer) // can't fail with these types
	return text
}

// ReceiveAnswer takes the answer of the relay with the given name to a query, or the error if the query failed.
func (c *Core) ReceiveAnswer(name string, text []byte, err error) {
	source := recovery.Source{Name: name}
	if err == nil {
		source, err = parseAnswer(name, text)
	}
	if err != nil {
		c.plan.ReceiveAnswer(source, err.Error())
		return
	}
	c.plan.ReceiveAnswer(source, "")
}

// parseAnswer decodes an answer of the relay with the given name.
func parseAnswer(name string, text []byte) (recovery.Source, error) {
	source := recovery.Source{Name: name}
	var answer struct {
		Snapshot           json.RawMessage `json:"Kept"`
		ConfirmedAgoMillis float64         `json:"ToldAgo"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return source, err
	}
	snapshot, err := relay.ParseSnapshot(answer.Snapshot)
	if err != nil {
		return source, err
	}
	source.Snapshot = snapshot
	source.ConfirmedAgoMillis = answer.ConfirmedAgoMillis
	return source, nil
}
