package fleet

import (
	"encoding/json"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// snapshotInterval is between two writings of the snapshot.
const snapshotInterval = 1000.0

// snapshotState is the snapshot that this relay stores and answers queries with.
type snapshotState struct {
	last  *relay.Snapshot // the latest that was worth storing
	dueAt float64         // the next writing
}

// isEmpty tells whether nothing is known yet.
func (s *snapshotState) isEmpty() bool { return s.last.Endpoints == nil && s.last.Capacity == 0 }

// IsSnapshotDue tells whether a snapshot is to be written now; if so, the next is due an interval later.
func (c *Core) IsSnapshotDue(now float64) bool {
	if now < c.snapshots.dueAt || c.plan.Phase() < recovery.Admitting {
		return false
	}
	c.snapshots.dueAt = now + snapshotInterval
	return true
}

// RecordSnapshot takes the relay's snapshot and returns the record to store. What this life hasn't learnt yet is
// filled in from the one before: a relay that dies young must not leave less than it found.
func (c *Core) RecordSnapshot(now float64, s *relay.Snapshot) store.Record {
	last := c.snapshots.last
	if s.Endpoints == nil || len(s.Endpoints.Endpoints) == 0 {
		s.Endpoints = last.Endpoints
		s.ConfirmedAt = last.ConfirmedAt
	}
	c.completeEstimates(now, s)
	c.snapshots.last = s
	body, _ := shiftRetryTimes(s, c.fleetClockOffset).Encode() // plain values: no error
	return store.Record{Kind: store.KindSnapshot, Boot: c.boot, UnixMillis: now, Body: body}
}

// completeEstimates fills in the estimates that this life hasn't made yet.
func (c *Core) completeEstimates(now float64, s *relay.Snapshot) {
	if s.Capacity == 0 {
		last := c.snapshots.last
		s.Capacity = last.Capacity
		s.MeanLoad = last.MeanLoad
		s.Classes = last.Classes
	}
	s.Capacity = c.estimateCapacity(now, s)
}

// neverConfirmed is a queryAnswer's ConfirmedAgoMillis where discovery hasn't confirmed the endpoints in this life.
const neverConfirmed = -1.0

// queryAnswer is what a relay answers another that queries it.
type queryAnswer struct {
	Snapshot           *relay.Snapshot `json:"Kept"`
	ConfirmedAgoMillis float64         `json:"ToldAgo"` // since discovery confirmed the endpoints
}

// AnswerQuery returns the answer to another relay's query, from the relay's snapshot as of now.
func (c *Core) AnswerQuery(now float64, s *relay.Snapshot) []byte {
	answer := queryAnswer{Snapshot: s, ConfirmedAgoMillis: neverConfirmed}
	if s.Endpoints != nil {
		answer.ConfirmedAgoMillis = max(now-s.ConfirmedAt, 0)
	} else {
		s.Endpoints = c.snapshots.last.Endpoints
	}
	c.completeEstimates(now, s)
	s.RetryAt = nil                 // only clients of this relay come back to it
	text, _ := json.Marshal(answer) // plain values: no error
	return text
}

// ReceiveAnswer takes what the relay of that name answered to a query, or why it did not.
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

// parseAnswer reads the answer of the relay of that name.
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
