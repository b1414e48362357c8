package replication

import (
	"cmp"
	"errors"
)

const (
	scanIntervalMillis = 50.0 // ms between the scans of two partitions, so that all 64 are scanned in 3.2 s
	fullScanLimit      = 4096 // number of stored records up to which Status scans all of them at once
)

// KindStatus is the state of the stored records of a kind. UnderReplicated and BelowQuorum count only the records whose
// first alive replica is this relay, so that the sums over all relays count each record once. A record below quorum can
// be neither acquired nor read reliably until more of its replicas are alive.
type KindStatus struct {
	Stored          int `json:"Held"`  // records stored here
	Open            int `json:"Open"`  // records stored here that are neither used, revoked nor expired
	UnderReplicated int `json:"Under"` // open records with a replica that is not alive
	BelowQuorum     int `json:"Short"` // open records of which no majority of the replicas is alive
}

// Add adds another status to this one.
func (s *KindStatus) Add(other KindStatus) {
	s.Stored += other.Stored
	s.Open += other.Open
	s.UnderReplicated += other.UnderReplicated
	s.BelowQuorum += other.BelowQuorum
}

// Counts are event counts for a kind of record since the start of the relay.
type Counts struct {
	Stored        uint64 `json:"Held"`     // records stored here, for this relay and others
	RejectedFull  uint64 `json:"Full"`     // store requests that this relay rejected because it had no capacity
	Replicated    uint64 `json:"Promised"` // this relay's records that all their replicas have stored
	NotReplicated uint64 `json:"Refused"`  // this relay's records that not all replicas stored in time
	Lookups       uint64 `json:"Sought"`   // lookups and acquisitions started by this relay
	Found         uint64 `json:"Took"`     // lookups that found a record, and acquired it if the kind is single-use
	AlreadyUsed   uint64 `json:"Again"`    // acquisitions that found only used records
	Missed        uint64 `json:"Missed"`   // acquisitions that found a record but failed to acquire it
	Accepted      uint64 `json:"Accepted"` // claims that this relay has accepted as a replica
}

// Add adds other counts to these.
func (c *Counts) Add(other Counts) {
	c.Stored += other.Stored
	c.RejectedFull += other.RejectedFull
	c.Replicated += other.Replicated
	c.NotReplicated += other.NotReplicated
	c.Lookups += other.Lookups
	c.Found += other.Found
	c.AlreadyUsed += other.AlreadyUsed
	c.Missed += other.Missed
	c.Accepted += other.Accepted
}

// countOutcome counts the result of an operation.
func (r *Replicator) countOutcome(op *operation, err error) {
	counts := &r.counts[op.record.Kind]
	switch {
	case op.phase == messageStore && err == nil:
		counts.Replicated++
	case op.phase == messageStore:
		counts.NotReplicated++
	case err == nil:
		counts.Found++
	case errors.Is(err, errAlreadyUsed):
		counts.AlreadyUsed++
	case op.isPaxos() && !errors.Is(err, errSealed):
		counts.Missed++
	}
}

// statusScanner counts the stored records, one partition at a time if there are many.
type statusScanner struct {
	partitions    [Partitions][kindLimit]KindStatus
	lastPartition int // index of the partition that was scanned last
	nextScanAt    float64
}

// scan counts one partition's records, which the relay of that name stores.
func (s *statusScanner) scan(now float64, partition int, records []*storedRecord, name string, alive map[string]bool) {
	result := [kindLimit]KindStatus{}
	for _, record := range records {
		if record.isOpen() && record.ExpiresAt > now {
			result[record.Kind].count(record, name, alive)
		}
	}
	s.partitions[partition] = result
}

// sum returns a kind's status over all partitions, with Stored left at 0.
func (s *statusScanner) sum(kind Kind) KindStatus {
	var sum KindStatus
	for i := range s.partitions {
		sum.Add(s.partitions[i][kind])
	}
	return sum
}

// count counts an open record that the relay of that name stores.
func (s *KindStatus) count(record *storedRecord, name string, alive map[string]bool) {
	s.Open++
	aliveCount := 0
	firstAlive := ""
	for _, replica := range record.Replicas {
		if alive[replica.Name] {
			aliveCount++
			firstAlive = cmp.Or(firstAlive, replica.Name)
		}
	}
	if firstAlive != name || aliveCount == len(record.Replicas) {
		return
	}
	s.UnderReplicated++
	if 2*aliveCount <= len(record.Replicas) {
		s.BelowQuorum++
	}
}

func (r *Replicator) scanPartition(now float64, partition int, alive map[string]bool) {
	r.scanner.scan(now, partition, r.records.partitions[partition], r.name, alive)
}

// scanNextPartition scans the next partition if its scan is due and there are too many records for Status to scan them
// all.
func (r *Replicator) scanNextPartition(now float64) {
	if now < r.scanner.nextScanAt || r.records.size() <= fullScanLimit {
		return
	}
	r.scanner.nextScanAt = now + scanIntervalMillis
	r.scanner.lastPartition = (r.scanner.lastPartition + 1) % Partitions
	r.scanPartition(now, r.scanner.lastPartition, r.members.names())
}

// Status returns the state of the stored records and the event counts, by the kind's name. With more than fullScanLimit
// records stored, the state except Stored may be a few seconds old: with very many records, a scan of all of them would
// take a hundred milliseconds.
func (r *Replicator) Status(now float64) (map[string]KindStatus, map[string]Counts) {
	if r.records.size() <= fullScanLimit {
		alive := r.members.names()
		for partition := range Partitions {
			r.scanPartition(now, partition, alive)
		}
	}
	status := map[string]KindStatus{}
	counts := map[string]Counts{}
	for kind := Reservation; kind < kindLimit; kind++ {
		sum := r.scanner.sum(kind)
		sum.Stored = r.records.countByKind[kind]
		status[kind.String()] = sum
		counts[kind.String()] = r.counts[kind]
	}
	return status, counts
}
