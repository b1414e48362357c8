package replication

import (
	"fmt"
	"math"
	"slices"
)

// This file is what operators are shown of what is held, and how what several relays show is held against
// each other. Nothing of it changes anything.

// Partitions is how many parts a relay shows its records in, so that each takes it little time.
const Partitions = 64

// RecordSnapshot is a record as one of its holders has it.
type RecordSnapshot struct {
	Kind      string    `json:"Kind"`
	Key       string    `json:"Key"`
	ID        string    `json:"ID"`
	Owner     string    `json:"Owner"`
	Version   uint64    `json:"Version"`
	ValidFrom float64   `json:"At"` // of the fleet's clock
	ExpiresAt float64   `json:"End"`
	Replicas  []Replica `json:"Holders"`
	State     string    `json:"State"` // open, used, over
	Body      []byte    `json:"Body,omitempty"`
}

// Page is a part of what one relay holds.
type Page struct {
	Relay   string           `json:"Name"`
	Now     float64          `json:"Now"`
	Records []RecordSnapshot `json:"Records"`
}

// Page shows one part of what is held.
func (c *Replicator) Page(now float64, part int) *Page {
	p := &Page{Relay: c.name, Now: now, Records: []RecordSnapshot{}}
	if part >= Partitions {
		return p
	}
	for _, h := range c.partitions[part] {
		s := RecordSnapshot{Kind: h.Kind.String(), Key: h.Key, ID: recordName(h.ID), Owner: h.Owner, Version: h.Version,
			ValidFrom: h.ValidFrom,
			ExpiresAt: h.ExpiresAt, Replicas: h.Replicas, State: "open", Body: h.Body}
		switch {
		case h.Accepted != (ballot{}):
			s.State = "used"
		case h.Promised.Round == math.MaxUint64 || h.ExpiresAt <= now:
			s.State = "over"
		}
		p.Records = append(p.Records, s)
	}
	slices.SortFunc(p.Records, func(a, b RecordSnapshot) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return p
}

// Report is what several relays' records of one kind come to.
type Report struct {
	Records         int      `json:"Records"` // that are open and last for a while yet; of what holds by its version, the latest
	FullyReplicated int      `json:"Whole"`   // held by all of their holders
	UnderReplicated int      `json:"Under"`   // by some fewer, as far as all were asked
	BelowQuorum     int      `json:"Short"`   // by no more than half: not to be used, or read, for certain
	Unknown         int      `json:"Unknown"` // some of their holders were not asked
	Inconsistencies []string `json:"Wrong"`
}

const (
	verifyMarginMillis = 1000.0 // ms, that a record is to last yet: against its end coming between two relays' answers
	maxInconsistencies = 20
)

// Verify holds what relays show against each other: for each kind, how far copies are whole, and what
// contradicts itself.
func Verify(pages []Page) map[string]*Report {
	type seen struct {
		RecordSnapshot
		by   []string
		over bool
		late bool
	}
	asked, all, found := map[string]bool{}, map[string]*seen{}, map[string]*Report{}
	for k := Reservation; k < kindLimit; k++ {
		found[k.String()] = &Report{}
	}
	wrong := func(kind, format string, args ...any) {
		if f := found[kind]; f == nil {
			found[kind] = &Report{Inconsistencies: []string{"a kind that this build does not know"}}
		} else if len(f.Inconsistencies) < maxInconsistencies {
			f.Inconsistencies = append(f.Inconsistencies, fmt.Sprintf(format, args...))
		}
	}
	versions := map[string]RecordSnapshot{}
	for _, p := range pages {
		asked[p.Relay] = true
		for _, r := range p.Records {
			x := all[r.ID]
			if x == nil {
				x = &seen{RecordSnapshot: r}
				all[r.ID] = x
			}
			x.by = append(x.by, p.Relay)
			x.over = x.over || r.State != "open"
			x.late = x.late || r.ExpiresAt < p.Now+verifyMarginMillis
			switch {
			case r.Kind != x.Kind || r.Key != x.Key || r.Owner != x.Owner || r.Version != x.Version ||
				!slices.Equal(r.Replicas, x.Replicas):
				wrong(r.Kind, "%s of %s is another record at %s than at %s", r.ID, r.Owner, p.Relay, x.by[0])
			case !slices.ContainsFunc(r.Replicas, func(h Replica) bool { return h.Name == p.Relay }):
				wrong(r.Kind, "%s of %s lies at %s, which is none of its holders", r.ID, r.Owner, p.Relay)
			case r.ExpiresAt > p.Now+maxLifetimeMillis:
				wrong(r.Kind, "%s of %s at %s ends beyond all bounds", r.ID, r.Owner, p.Relay)
			}
			if r.Kind == OperatorOrder.String() {
				key := fmt.Sprint(r.Key, " ", r.Version)
				if was, there := versions[key]; there && string(was.Body) != string(r.Body) {
					wrong(r.Kind, "order %d of %s is two: %s and %s", r.Version, r.Key, was.Body, r.Body)
				}
				versions[key] = r
			}
		}
	}
	// Of what holds by its version, the latest of a key counts, and of copies that are alike the best: a former
	// one may lie on for a while at some.
	latest := map[string]*seen{}
	for id, x := range all {
		if x.Kind != OperatorOrder.String() && x.Kind != Affinity.String() {
			continue
		}
		key := x.Kind + " " + x.Key
		was := latest[key]
		if was == nil || x.Version > was.Version || (x.Version == was.Version && len(x.by) > len(was.by)) {
			if latest[key] = x; was != nil {
				delete(all, was.ID)
			}
		} else {
			delete(all, id)
		}
	}
	for _, x := range all {
		f := found[x.Kind]
		if f == nil || x.over || x.late {
			continue
		}
		f.Records++
		unknown := slices.ContainsFunc(x.Replicas, func(h Replica) bool { return !asked[h.Name] })
		switch n := len(x.by); {
		case n >= len(x.Replicas):
			f.FullyReplicated++
		case unknown:
			f.Unknown++
		case 2*n <= len(x.Replicas):
			f.BelowQuorum++
		default:
			f.UnderReplicated++
		}
	}
	return found
}
