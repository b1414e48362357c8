package replication

import (
	"fmt"
	"slices"
)

const (
	// verifyMarginMillis is how long a record must still be valid to be counted: it may otherwise expire between the
	// answers of two relays.
	verifyMarginMillis = 1000.0
	maxInconsistencies = 20 // listed of each kind
)

// Report is what the snapshots of several relays come to for one kind of record.
type Report struct {
	Records         int      `json:"Records"` // open, and valid for a while yet; of versioned kinds the latest
	FullyReplicated int      `json:"Whole"`   // stored by all replicas
	UnderReplicated int      `json:"Under"`   // missing at some replica, all of which have answered
	BelowQuorum     int      `json:"Short"`   // stored by no more than half: it can't be acquired, or read for certain
	Unknown         int      `json:"Unknown"` // missing at some replica that has not answered
	Inconsistencies []string `json:"Wrong"`   // in plain text
}

// Verify compares the pages of several relays. For each kind it counts how far the records are replicated, and
// lists what contradicts itself.
func Verify(pages []Page) map[string]*Report {
	v := newVerifier()
	for i := range pages {
		v.addPage(&pages[i])
	}
	v.removeSuperseded()
	v.countReplicas()
	return v.reports
}

// observedRecord is what the pages show of one record.
type observedRecord struct {
	RecordSnapshot          // as the first page has it
	storedBy       []string // names of relays
	isClosed       bool     // used or over somewhere
	expiresSoon    bool
}

// orderVersion is what no two different orders have in common.
type orderVersion struct {
	relay   string
	version uint64
}

// versionedKey is a kind and key as pages spell them.
type versionedKey struct {
	kind string
	key  string
}

type verifier struct {
	relays  map[string]bool            // whose pages there are
	records map[string]*observedRecord // by ID
	orders  map[orderVersion]RecordSnapshot
	reports map[string]*Report
}

func newVerifier() *verifier {
	v := &verifier{
		relays:  map[string]bool{},
		records: map[string]*observedRecord{},
		orders:  map[orderVersion]RecordSnapshot{},
		reports: map[string]*Report{},
	}
	for kind := Reservation; kind < kindLimit; kind++ {
		v.reports[kind.String()] = &Report{}
	}
	return v
}

func (v *verifier) addPage(page *Page) {
	v.relays[page.Relay] = true
	for _, record := range page.Records {
		observed := v.records[record.ID]
		if observed == nil {
			observed = &observedRecord{RecordSnapshot: record}
			v.records[record.ID] = observed
		}
		observed.storedBy = append(observed.storedBy, page.Relay)
		observed.isClosed = observed.isClosed || record.State != StateOpen
		observed.expiresSoon = observed.expiresSoon || record.ExpiresAt < page.Now+verifyMarginMillis
		v.checkRecord(page, record, observed)
		if record.Kind == OperatorOrder.String() {
			v.checkOrder(record)
		}
	}
}

// checkRecord lists what is wrong with a record on one page, and as compared with the first page that has it.
func (v *verifier) checkRecord(page *Page, record RecordSnapshot, first *observedRecord) {
	switch {
	case !record.isSameRecord(&first.RecordSnapshot):
		v.report(record.Kind, "%s of %s is another record at %s than at %s", record.ID, record.Owner, page.Relay,
			first.storedBy[0])
	case !slices.ContainsFunc(record.Replicas, func(o Replica) bool { return o.Name == page.Relay }):
		v.report(record.Kind, "%s of %s is stored at %s, which is not one of its replicas", record.ID, record.Owner, page.Relay)
	case record.ExpiresAt > page.Now+maxLifetimeMillis:
		v.report(record.Kind, "%s of %s at %s expires later than allowed", record.ID, record.Owner, page.Relay)
	}
}

// isSameRecord reports whether two snapshots with the same ID can be of the same record.
func (s *RecordSnapshot) isSameRecord(other *RecordSnapshot) bool {
	return s.Kind == other.Kind &&
		s.Key == other.Key &&
		s.Owner == other.Owner &&
		s.Version == other.Version &&
		slices.Equal(s.Replicas, other.Replicas)
}

// checkOrder lists orders with the same relay and version that say different things.
func (v *verifier) checkOrder(order RecordSnapshot) {
	version := orderVersion{order.Key, order.Version}
	if other, ok := v.orders[version]; ok && string(other.Body) != string(order.Body) {
		v.report(order.Kind, "two different orders share version %d of %s: %s and %s", order.Version, order.Key, other.Body, order.Body)
	}
	v.orders[version] = order
}

// report lists an inconsistency, unless there are many of its kind.
func (v *verifier) report(kind, format string, args ...any) {
	report := v.reports[kind]
	if report == nil {
		v.reports[kind] = &Report{Inconsistencies: []string{"a kind that this build does not know"}}
		return
	}
	if len(report.Inconsistencies) < maxInconsistencies {
		report.Inconsistencies = append(report.Inconsistencies, fmt.Sprintf(format, args...))
	}
}

// removeSuperseded removes the earlier versions of versioned records, which may be stored on for a while at some
// relays. Of equal versions the one at most relays counts.
func (v *verifier) removeSuperseded() {
	latest := map[versionedKey]*observedRecord{}
	for id, record := range v.records {
		if record.Kind != OperatorOrder.String() && record.Kind != Affinity.String() {
			continue
		}
		key := versionedKey{record.Kind, record.Key}
		known := latest[key]
		if known != nil && !record.supersedes(known) {
			delete(v.records, id)
			continue
		}
		latest[key] = record
		if known != nil {
			delete(v.records, known.ID)
		}
	}
}

func (o *observedRecord) supersedes(other *observedRecord) bool {
	if o.Version != other.Version {
		return o.Version > other.Version
	}
	return len(o.storedBy) > len(other.storedBy)
}

// countReplicas counts how far the open records are replicated.
func (v *verifier) countReplicas() {
	for _, record := range v.records {
		report := v.reports[record.Kind]
		if report == nil || record.isClosed || record.expiresSoon {
			continue
		}
		report.Records++
		allAnswered := !slices.ContainsFunc(record.Replicas, func(o Replica) bool { return !v.relays[o.Name] })
		switch stored := len(record.storedBy); {
		case stored >= len(record.Replicas):
			report.FullyReplicated++
		case !allAnswered:
			report.Unknown++
		case 2*stored <= len(record.Replicas):
			report.BelowQuorum++
		default:
			report.UnderReplicated++
		}
	}
}
