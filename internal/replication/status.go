package replication

import (
	"cmp"
	"errors"
)

const (
	scanIntervalMillis = 50.0 // one partition is scanned at a time, so that all are in 3.2 s
	fullScanLimit      = 4096 // records, up to which Status scans all of them itself
)

// KindStatus is the state of the stored records of a kind. UnderReplicated and BelowQuorum count the
// records that this relay is the first living replica of, so that the sums over all relays count each record
// once.
type KindStatus struct {
	Stored          int `json:"Held"`  // here
	Open            int `json:"Open"`  // of those: neither used, revoked nor expired
	UnderReplicated int `json:"Under"` // some replica is not alive
	BelowQuorum     int `json:"Short"` // no more than half are: it can't be acquired, or read for certain, until more are
}

// Add adds another relay's status.
func (s *KindStatus) Add(other KindStatus) {
	s.Stored += other.Stored
	s.Open += other.Open
	s.UnderReplicated += other.UnderReplicated
	s.BelowQuorum += other.BelowQuorum
}

// Counts are the events of a kind of record since the start.
type Counts struct {
	Stored        uint64 `json:"Held"`     // stored here, for this relay and others
	RejectedFull  uint64 `json:"Full"`     // rejected here for want of capacity
	Replicated    uint64 `json:"Promised"` // records of this relay that all their replicas have stored
	NotReplicated uint64 `json:"Refused"`  // records of this relay that they have not, or not in time
	Lookups       uint64 `json:"Sought"`   // begun by this relay
	Found         uint64 `json:"Took"`     // found by this relay, and acquired where the kind is single-use
	AlreadyUsed   uint64 `json:"Again"`    // found used
	Missed        uint64 `json:"Missed"`   // found, and not acquired in time
	Accepted      uint64 `json:"Accepted"` // claims that were accepted here
}

// Add adds another relay's counts.
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

// statusScanner counts the stored records, one partition at a time where there are many.
type statusScanner struct {
	partitions [Partitions][kindLimit]KindStatus
	last       int // the partition that was scanned last
	nextAt     float64
}

// scan counts one partition's records as seen by the relay of that name.
func (s *statusScanner) scan(now float64, partition int, records []*storedRecord, name string, alive map[string]bool) {
	result := [kindLimit]KindStatus{}
	for _, record := range records {
		if record.isOpen() && record.ExpiresAt > now {
			result[record.Kind].count(record, name, alive)
		}
	}
	s.partitions[partition] = result
}

// sum returns a kind's status over all partitions. Stored is left at 0.
func (s *statusScanner) sum(kind Kind) KindStatus {
	var sum KindStatus
	for i := range s.partitions {
		sum.Add(s.partitions[i][kind])
	}
	return sum
}

// count counts an open record as seen by the relay of that name.
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

// scanNextPartition scans the next partition where it is due and Status doesn't scan all of them itself.
func (r *Replicator) scanNextPartition(now float64) {
	if now < r.scanner.nextAt || r.records.size() <= fullScanLimit {
		return
	}
	r.scanner.nextAt = now + scanIntervalMillis
	r.scanner.last = (r.scanner.last + 1) % Partitions
	r.scanPartition(now, r.scanner.last, r.members.names())
}

// Status returns the state of the stored records and the counts, by the kind's name. Where very many records are
// stored, all but Stored is as it was within the last seconds: a scan of all of them would take a hundred
// milliseconds.
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
