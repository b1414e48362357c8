package replication

import (
	"cmp"
	"slices"
)

// RecordState is the state of a stored record in a snapshot.
type RecordState string

// The states of a stored record.
const (
	StateOpen RecordState = "open"
	StateUsed RecordState = "used" // this replica has accepted an operation's claim to the record
	StateOver RecordState = "over" // revoked, discarded or expired
)

// RecordSnapshot is a record as one of its replicas stores it. Times are Unix milliseconds of the fleet's clock.
type RecordSnapshot struct {
	Kind      string      `json:"Kind"`
	Key       string      `json:"Key"`
	ID        string      `json:"ID"`
	Owner     string      `json:"Owner"`
	Version   uint64      `json:"Version"`
	ValidFrom float64     `json:"At"`
	ExpiresAt float64     `json:"End"`
	Replicas  []Replica   `json:"Holders"`
	State     RecordState `json:"State"`
	Body      []byte      `json:"Body,omitempty"`
}

// Page holds one partition of the records that a relay stores.
type Page struct {
	Relay   string           `json:"Name"`
	Now     float64          `json:"Now"` // time of the snapshot in Unix milliseconds of the fleet's clock
	Records []RecordSnapshot `json:"Records"`
}

// Page returns one partition of the stored records, in the order of their IDs. The page is empty if there is no
// partition with that number.
func (r *Replicator) Page(now float64, partition int) *Page {
	page := &Page{Relay: r.name, Now: now, Records: []RecordSnapshot{}}
	if partition >= Partitions {
		return page
	}
	for _, stored := range r.records.partitions[partition] {
		page.Records = append(page.Records, stored.snapshot(now))
	}
	slices.SortFunc(page.Records, func(a, b RecordSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	return page
}

func (s *storedRecord) snapshot(now float64) RecordSnapshot {
	return RecordSnapshot{
		Kind:      s.Kind.String(),
		Key:       s.Key,
		ID:        recordName(s.ID),
		Owner:     s.Owner,
		Version:   s.Version,
		ValidFrom: s.ValidFrom,
		ExpiresAt: s.ExpiresAt,
		Replicas:  s.Replicas,
		State:     s.state(now),
		Body:      s.Body,
	}
}

func (s *storedRecord) state(now float64) RecordState {
	switch {
	case s.isUsed():
		return StateUsed
	case s.isSealed() || s.ExpiresAt <= now:
		return StateOver
	default:
		return StateOpen
	}
}
