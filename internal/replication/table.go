package replication

import (
	"fmt"
	"slices"
)

// Partitions is the number of parts that stored records are shown and counted in, so that each part takes little
// time.
const Partitions = 64

const (
	retentionMillis = 5000.0 // a used or revoked record is remembered for so long after it expires

	// One in bestEffortDivisor records may be a best-effort one. Of that, a single owner's may take up to
	// ownerShares even shares, so that one owner's flood can't take all there is.
	bestEffortDivisor = 4
	ownerShares       = 4
)

// storedRecord is a record as a replica stores it, with its Paxos register.
type storedRecord struct {
	Record
	register
	slot int // index in its partition
}

// recordName is the name that a record is stored under.
func recordName(id uint64) string { return fmt.Sprintf("%016x", id) }

// recordTable holds the records that this relay stores.
type recordTable struct {
	maxRecords  int
	byID        map[uint64]*storedRecord
	idsByKey    map[recordKey][]uint64
	idsBySecond map[int64][]uint64 // by the Unix second in which they may be forgotten; some may be gone already
	sweptSecond int64              // seconds before this one are swept; 0: none yet

	partitions  [Partitions][]*storedRecord // all records, by their ID
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
	swept := t.sweptSecond
	*t = newRecordTable(t.maxRecords)
	t.sweptSecond = swept
}

func (t *recordTable) size() int { return len(t.byID) }

func (t *recordTable) isFull() bool { return len(t.byID) >= t.maxRecords }

// isBestEffortFull reports whether there is no capacity for one more best-effort record of that owner in a fleet of
// so many members. Those that are stored stay until they expire: a flood of new ones can't evict them.
func (t *recordTable) isBestEffortFull(owner string, members int) bool {
	capacity := t.maxRecords / bestEffortDivisor
	ownerCapacity := max(ownerShares*capacity/max(members, ownerShares), 1)
	return t.bestEffortCount >= capacity || t.bestEffortByOwner[owner] >= ownerCapacity
}

// withKey returns the records of a kind and key, in the order in which they were inserted.
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
	record.slot = len(*partition)
	*partition = append(*partition, record)
	t.countByKind[record.Kind]++
	if record.Kind.isBestEffort() {
		t.bestEffortCount++
		t.bestEffortByOwner[record.Owner]++
	}
}

// remove removes a record, if it is there.
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

// removeFromPartition moves the partition's last record into the removed one's slot.
func (t *recordTable) removeFromPartition(record *storedRecord) {
	partition := t.partitions[record.ID%Partitions]
	end := len(partition) - 1
	moved := partition[end]
	partition[record.slot] = moved
	moved.slot = record.slot
	partition[end] = nil
	t.partitions[record.ID%Partitions] = partition[:end]
}

// removeExpired removes the records whose retention has ended, once a second. swept reports whether a second has
// passed.
func (t *recordTable) removeExpired(now float64) (removed []*storedRecord, swept bool) {
	second := int64(now / 1000)
	if t.sweptSecond == 0 || t.sweptSecond > second {
		t.sweptSecond = second - 1
	}
	for ; t.sweptSecond < second; t.sweptSecond++ {
		for _, id := range t.idsBySecond[t.sweptSecond] {
			if record := t.byID[id]; record != nil {
				t.remove(id)
				removed = append(removed, record)
			}
		}
		delete(t.idsBySecond, t.sweptSecond)
		swept = true
	}
	return removed, swept
}
