package replication

import (
	"slices"
)

// After the members have changed, a record may be looked up at a relay that doesn't store it. In this file its
// replicas publish its location to such relays.

const (
	publishRounds         = 3 // times that all records are announced after a change, as messages get lost
	publishIntervalMillis = 300.0
	publishBatch          = 100 // records a tick: a pace that gives way to all else
)

// publisher goes over the stored records after a change of members.
type publisher struct {
	roundsLeft  int
	nextRoundAt float64
	queue       []uint64 // IDs of the records left in this round
}

func (p *publisher) restart() {
	p.roundsLeft = publishRounds
	p.queue = nil
}

// startRound queues all records that can be looked up, where a round is due.
func (p *publisher) startRound(now float64, records *recordTable) {
	p.roundsLeft--
	p.nextRoundAt = now + publishIntervalMillis
	for id, record := range records.byID {
		if record.isOpen() && !record.Kind.isBestEffort() {
			p.queue = append(p.queue, id)
		}
	}
	slices.Sort(p.queue)
}

// nextBatch takes some IDs off the queue.
func (p *publisher) nextBatch() []uint64 {
	n := min(publishBatch, len(p.queue))
	batch := p.queue[:n]
	p.queue = p.queue[n:]
	return batch
}

// publishLocations sends each record's location to the members that its key is looked up at and that don't store it.
func (r *Replicator) publishLocations(now float64) []Action {
	if len(r.publisher.queue) == 0 {
		if r.publisher.roundsLeft == 0 || now < r.publisher.nextRoundAt || r.suspended {
			return nil
		}
		r.publisher.startRound(now, &r.records)
	}
	var actions []Action
	for _, id := range r.publisher.nextBatch() {
		if stored := r.records.byID[id]; stored != nil && stored.ExpiresAt > now {
			actions = append(actions, r.publishLocation(stored.Record)...)
		}
	}
	return actions
}

func (r *Replicator) publishLocation(record Record) []Action {
	var actions []Action
	var data []byte
	for _, m := range r.members.rank(record.Key, r.copies, true) {
		if record.isReplicaAt(m.Name) {
			continue
		}
		if data == nil {
			announcement := r.newMessage(messagePublish, 0, record)
			data = announcement.encode()
		}
		actions = append(actions, Action{To: m.Address, Data: data})
	}
	return actions
}

// locationCache holds records that other relays store, as they have announced them: one for each key.
type locationCache struct {
	maxRecords int
	byKey      map[recordKey]Record
}

func newLocationCache(maxRecords int) locationCache {
	return locationCache{maxRecords: maxRecords, byKey: map[recordKey]Record{}}
}

// add keeps an announced record, unless it is out of date or there are too many.
func (l *locationCache) add(now float64, record Record) {
	key := record.lookupKey()
	known, ok := l.byKey[key]
	hasRoom := ok || len(l.byKey) < l.maxRecords
	if record.isCurrent(now) && hasRoom && record.Version >= known.Version {
		l.byKey[key] = record
	}
}

// find returns the record of a key that has not expired.
func (l *locationCache) find(now float64, key recordKey) (record Record, ok bool) {
	record, ok = l.byKey[key]
	return record, ok && record.ExpiresAt > now
}

func (l *locationCache) removeExpired(now float64) {
	for key, record := range l.byKey {
		if record.ExpiresAt < now {
			delete(l.byKey, key)
		}
	}
}
