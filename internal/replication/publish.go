package replication

import (
	"slices"
)

// This file publishes the locations of records: after a change of members a record may be looked up at relays that
// don't store it, so its replicas tell those relays where it is stored.

const (
	publishRounds         = 3     // times that all records are published after a change, as messages may be lost
	publishIntervalMillis = 300.0 // minimum time between the starts of two rounds, in ms
	publishBatch          = 100   // records published in one tick, so that publishing doesn't delay other work
)

// publisher tracks the progress of publishing the stored records after a change of members.
type publisher struct {
	roundsLeft  int
	nextRoundAt float64
	queue       []uint64 // IDs of the records still to be published in this round
}

func (p *publisher) restart() {
	p.roundsLeft = publishRounds
	p.queue = nil
}

// startRound queues all open durable records for the next round.
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

// nextBatch removes up to publishBatch IDs from the queue and returns them.
func (p *publisher) nextBatch() []uint64 {
	n := min(publishBatch, len(p.queue))
	batch := p.queue[:n]
	p.queue = p.queue[n:]
	return batch
}

// publishLocations publishes the next batch of records, and starts a round if one is due. Each record goes to the
// members at which its key is looked up but which don't store it.
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
			request := r.newMessage(messagePublish, 0, record)
			data = request.encode()
		}
		actions = append(actions, Action{To: m.Address, Data: data})
	}
	return actions
}

// locationCache holds records that other relays store and have published, one per kind and key.
type locationCache struct {
	maxRecords int
	byKey      map[recordKey]Record
}

func newLocationCache(maxRecords int) locationCache {
	return locationCache{maxRecords: maxRecords, byKey: map[recordKey]Record{}}
}

// add caches a published record, unless it is invalid or has expired, a later version is cached, or the cache is full.
func (l *locationCache) add(now float64, record Record) {
	key := record.lookupKey()
	cached, ok := l.byKey[key]
	hasRoom := ok || len(l.byKey) < l.maxRecords
	if record.isCurrent(now) && hasRoom && record.Version >= cached.Version {
		l.byKey[key] = record
	}
}

// find returns the cached record of a key, if it has not expired.
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
