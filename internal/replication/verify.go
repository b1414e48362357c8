package replication

import (
	"fmt"
	"slices"
)

const (
	// verifyMarginMillis is the remaining validity in ms below which a record isn't counted, as it could expire between
	// the responses of two relays.
	verifyMarginMillis = 1000.0
	maxInconsistencies = 20 // maximum number of inconsistencies listed per kind
)

// Report is the result of Verify for one kind of record.
type Report struct {
	Records         int      `json:"Records"` // open records that don't expire soon; of versioned kinds the latest
	FullyReplicated int      `json:"Whole"`   // records stored by all replicas
	UnderReplicated int      `json:"Under"`   // records missing at a minority of replicas, all of which have answered
	BelowQuorum     int      `json:"Short"`   // records stored by no majority: they can't be acquired or read reliably
	Unknown         int      `json:"Unknown"` // records missing at some replica, where not all replicas have answered
	Inconsistencies []string `json:"Wrong"`   // descriptions of contradictions, as plain text
}

// Verify compares the pages of several relays. For each kind of record it counts the records by how far they are
// replicated, and lists contradictions between the relays.
func Verify(pages []Page) map[string]*Report {
	v := newVerifier()
	for i := range pages {
		v.addPage(&pages[i])
	}
	v.removeSuperseded()
	v.countReplicas()
	return v.reports
}

// observedRecord combines what the pages show of one record.
type observedRecord struct {
	RecordSnapshot          // the record as the first page shows it
	storedBy       []string // names of the relays whose pages show it
	isClosed       bool     // some relay shows the record as used or over
	expiresSoon    bool     // some relay shows it within verifyMarginMillis of its expiry
}

// orderVersion identifies an operator order: orders with the same relay and version must be identical.
type orderVersion struct {
	relay   string
	version uint64
}

// versionedKey is the kind and key of a versioned record, as pages have them.
type versionedKey struct {
	kind string
	key  string
}

type verifier struct {
	relays  map[string]bool            // names of the relays whose pages were added
	records map[string]*observedRecord // records seen so far, by ID
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

// checkRecord checks a record on one page by itself and against the first page that has it.
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

// isSameRecord reports whether two snapshots with the same ID agree on the fields that never change.
func (s *RecordSnapshot) isSameRecord(other *RecordSnapshot) bool {
	return s.Kind == other.Kind &&
		s.Key == other.Key &&
		s.Owner == other.Owner &&
		s.Version == other.Version &&
		slices.Equal(s.Replicas, other.Replicas)
}

// checkOrder reports two orders with the same relay and version whose bodies differ.
func (v *verifier) checkOrder(order RecordSnapshot) {
	version := orderVersion{order.Key, order.Version}
	if other, ok := v.orders[version]; ok && string(other.Body) != string(order.Body) {
		v.report(order.Kind, "two different orders share version %d of %s: %s and %s", order.Version, order.Key, other.Body, order.Body)
	}
	v.orders[version] = order
}

// report adds an inconsistency to the kind's report, up to maxInconsistencies.
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

// removeSuperseded removes the earlier versions of versioned records, which some relays may still store for a while. Of
// equal versions, the one stored by the most relays is kept.
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

// countReplicas counts the open records by how far they are replicated.
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
