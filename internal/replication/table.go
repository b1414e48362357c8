package replication

import (
	"fmt"
	"slices"
)

// Partitions is the number of partitions in which the stored records are shown and counted, so that each one takes
// little time.
const Partitions = 64

const (
	retentionMillis = 5000.0 // ms for which a record is kept after it expires, as late messages may still refer to it

	// Best-effort records may take 1/bestEffortDivisor of the table's capacity. Divided evenly among the members, that
	// gives each owner one share; an owner may use up to ownerShares of them, so that a flood from one owner can't take
	// the whole capacity.
	bestEffortDivisor = 4
	ownerShares       = 4
)

// storedRecord is a record as a replica stores it, with its Paxos register.
type storedRecord struct {
	Record
	register
	partitionIndex int // index of the record in its partition's slice
}

// recordName returns the name under which a record is stored on disk.
func recordName(id uint64) string { return fmt.Sprintf("%016x", id) }

// recordTable holds the records that this relay stores.
type recordTable struct {
	maxRecords      int
	byID            map[uint64]*storedRecord
	idsByKey        map[recordKey][]uint64
	idsBySecond     map[int64][]uint64 // IDs by the Unix second in which retention ends, some already removed
	nextSweepSecond int64              // first second whose records have not been removed yet; 0 before the first sweep

	partitions  [Partitions][]*storedRecord // all records, by ID modulo Partitions
	countByKind [kindLimit]int

	bestEffortCount   int
	bestEffortByOwner map[string]int
}

func newRecordTable(maxRecords int) recordTable {
	return recordTable{
		maxRecords:        maxRecords,
		byID:              map[uint64]*storedRecord{},
		idsByKey:          map[recordKey][]uint64{},
		idsBySecond:       map[int64][]uint64{},
		bestEffortByOwner: map[string]int{},
	}
}

// clear removes all records.
func (t *recordTable) clear() {
	swept := t.nextSweepSecond
	*t = newRecordTable(t.maxRecords)
	t.nextSweepSecond = swept
}

func (t *recordTable) size() int { return len(t.byID) }

func (t *recordTable) isFull() bool { return len(t.byID) >= t.maxRecords }

// isBestEffortFull reports whether there is no capacity for another best-effort record of that owner, in a fleet with
// that number of members. Stored records stay until they expire, so that a flood of new ones can't evict them.
func (t *recordTable) isBestEffortFull(owner string, members int) bool {
	capacity := t.maxRecords / bestEffortDivisor
	ownerCapacity := max(ownerShares*capacity/max(members, ownerShares), 1)
	return t.bestEffortCount >= capacity || t.bestEffortByOwner[owner] >= ownerCapacity
}

// withKey returns the records of a kind and key in insertion order.
func (t *recordTable) withKey(key recordKey) []*storedRecord {
	var records []*storedRecord
	for _, id := range t.idsByKey[key] {
		records = append(records, t.byID[id])
	}
	return records
}

func (t *recordTable) hasKey(key recordKey) bool { return len(t.idsByKey[key]) > 0 }

func (t *recordTable) insert(record *storedRecord) {
	t.byID[record.ID] = record
	key := record.lookupKey()
	t.idsByKey[key] = append(t.idsByKey[key], record.ID)
	second := int64((record.ExpiresAt + retentionMillis) / 1000)
	t.idsBySecond[second] = append(t.idsBySecond[second], record.ID)

	partition := &t.partitions[record.ID%Partitions]
	record.partitionIndex = len(*partition)
	*partition = append(*partition, record)
	t.countByKind[record.Kind]++
	if record.Kind.isBestEffort() {
		t.bestEffortCount++
		t.bestEffortByOwner[record.Owner]++
	}
}

// remove removes a record if it is in the table.
func (t *recordTable) remove(id uint64) {
	record := t.byID[id]
	if record == nil {
		return
	}
	delete(t.byID, id)
	key := record.lookupKey()
	t.idsByKey[key] = slices.DeleteFunc(t.idsByKey[key], func(other uint64) bool { return other == id })
	if len(t.idsByKey[key]) == 0 {
		delete(t.idsByKey, key)
	}
	t.removeFromPartition(record)
	t.countByKind[record.Kind]--
	if record.Kind.isBestEffort() {
		t.bestEffortCount--
		t.bestEffortByOwner[record.Owner]--
		if t.bestEffortByOwner[record.Owner] == 0 {
			delete(t.bestEffortByOwner, record.Owner)
		}
	}
}

// removeFromPartition removes a record from its partition by moving the partition's last record into its place.
func (t *recordTable) removeFromPartition(record *storedRecord) {
	partition := t.partitions[record.ID%Partitions]
	end := len(partition) - 1
	moved := partition[end]
	partition[record.partitionIndex] = moved
	moved.partitionIndex = record.partitionIndex
	partition[end] = nil
	t.partitions[record.ID%Partitions] = partition[:end]
}

// removeExpired removes and returns the records whose retention has ended. It does so once a second; swept reports
// whether this call did.
func (t *recordTable) removeExpired(now float64) (removed []*storedRecord, swept bool) {
	second := int64(now / 1000)
	if t.nextSweepSecond == 0 || t.nextSweepSecond > second {
		t.nextSweepSecond = second - 1
	}
	for ; t.nextSweepSecond < second; t.nextSweepSecond++ {
		for _, id := range t.idsBySecond[t.nextSweepSecond] {
			if record := t.byID[id]; record != nil {
				t.remove(id)
				removed = append(removed, record)
			}
		}
		delete(t.idsBySecond, t.nextSweepSecond)
		swept = true
	}
	return removed, swept
}
