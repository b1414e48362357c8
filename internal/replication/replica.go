package replication

import (
	"slices"
)

// This file is the replica's side: it stores, looks up and discards records for other relays and for this one.

// localAddress stands for this relay itself, whose requests and replies take no datagram.
const localAddress = ""

// handleRequest handles a request from an address. What it replies waits until what it depends on is durable.
func (r *Replicator) handleRequest(now float64, from string, request message) []Action {
	if r.suspended || len(request.Records) != 1 {
		return nil
	}
	switch request.Type {
	case messageStore:
		return r.handleStore(now, from, request)
	case messageLookup:
		return r.handleLookup(now, from, request)
	case messagePrepare, messageAccept:
		return r.handlePaxos(now, from, request)
	case messageDiscard:
		return r.handleDiscard(now, request)
	case messagePublish:
		r.locations.add(now, request.Records[0])
		return nil
	default:
		return nil
	}
}

// handleStore stores a record that has this relay, in this incarnation, among its replicas. One that is stored
// already isn't changed, and the reply is given again.
func (r *Replicator) handleStore(now float64, from string, request message) []Action {
	record := request.Records[0]
	if stored := r.records.byID[record.ID]; stored != nil {
		return r.acknowledge(now, from, request, record.Kind, stored)
	}
	if !r.hasCapacity(record) {
		r.counts[record.Kind].RejectedFull++
		return r.reply(now, from, r.replyTo(request, messageReject))
	}
	if !r.accepts(now, record) {
		return r.reply(now, from, r.replyTo(request, messageReject))
	}
	stored := &storedRecord{Record: record}
	removals := r.removeSuperseded(record)
	r.records.insert(stored)
	r.counts[record.Kind].Stored++
	// The older version goes once the newer one is there.
	return append(r.acknowledge(now, from, request, record.Kind, stored), removals...)
}

// acknowledge replies that a record is stored: at once for a best-effort kind, else once it is durable. It is
// written again where it was stored before, as the first write may not be durable yet.
func (r *Replicator) acknowledge(now float64, from string, request message, kind Kind, stored *storedRecord) []Action {
	reply := r.replyTo(request, messageStored)
	if kind.isBestEffort() {
		return r.reply(now, from, reply)
	}
	return r.replyWhenDurable(now, from, reply, r.newWrite(stored))
}

// hasCapacity reports whether one more record fits in. A best-effort one of a key that is there already does.
func (r *Replicator) hasCapacity(record Record) bool {
	if r.records.isFull() {
		return false
	}
	return !record.Kind.isBestEffort() || r.records.hasKey(record.lookupKey()) ||
		!r.records.isBestEffortFull(record.Owner, len(r.members))
}

// accepts reports whether this relay may become a replica of the record.
func (r *Replicator) accepts(now float64, record Record) bool {
	return !r.members.isDraining(r.name) &&
		record.isCurrent(now) &&
		slices.Contains(record.Replicas, Replica{r.name, r.incarnation})
}

// removeSuperseded removes the records of a versioned kind that the new one takes the place of.
func (r *Replicator) removeSuperseded(record Record) []Action {
	if !record.Kind.isVersioned() {
		return nil
	}
	var actions []Action
	for _, older := range r.records.withKey(record.lookupKey()) {
		if older.Version <= record.Version {
			actions = append(actions, r.remove(older)...)
		}
	}
	return actions
}

// handleLookup replies with the open records of a kind and key, then with the markers that were revoked. Where
// none is stored here it replies with one that other relays are known to store.
func (r *Replicator) handleLookup(now float64, from string, request message) []Action {
	reply := r.replyTo(request, messageFound)
	key := request.Records[0].lookupKey()
	stored := r.records.withKey(key)
	for _, record := range stored {
		if record.ExpiresAt > now && record.isOpen() && len(reply.Records) < maxMessageRecords {
			reply.Records = append(reply.Records, record.Record)
		}
	}
	for _, record := range stored {
		if key.kind == AttemptMarker && !record.isOpen() && len(reply.Records) < maxMessageRecords {
			reply.Records = append(reply.Records, revokedMarker(key.key, record.ID))
		}
	}
	if location, ok := r.locations.find(now, key); ok && len(reply.Records) == 0 {
		reply.Records = append(reply.Records, location)
	}
	return r.reply(now, from, reply)
}

// revokedMarker says in a reply that a marker was revoked, as another replica may not know that. It has no
// replicas.
func revokedMarker(key string, id uint64) Record {
	return Record{Kind: AttemptMarker, Key: key, ID: id}
}

// isRevokedMarker reports whether a record in a reply is a revokedMarker.
func (r *Record) isRevokedMarker() bool { return r.Kind == AttemptMarker && len(r.Replicas) == 0 }

// handleDiscard forgets a record, at its owner's request. Reservations and markers are sealed and kept until
// their retention ends: a copy that arrives late would otherwise be stored, and acquired or found, as if nothing had
// happened.
func (r *Replicator) handleDiscard(now float64, request message) []Action {
	record := request.Records[0]
	stored := r.records.byID[record.ID]
	if stored == nil && r.isEarlyRevocation(now, request.From, record) {
		stored = &storedRecord{Record: record}
		r.records.insert(stored)
	}
	if stored == nil || stored.Owner != request.From {
		return nil
	}
	if (stored.Kind.isSingleUse() || stored.Kind == AttemptMarker) && !r.faults.forgetRevoked {
		return r.seal(stored)
	}
	return r.remove(stored)
}

// isEarlyRevocation reports whether a marker was revoked before the request to store it arrived. It is stored for
// that: the later request would otherwise leave a marker that nobody revokes again.
func (r *Replicator) isEarlyRevocation(now float64, from string, record Record) bool {
	return record.Kind == AttemptMarker && record.Owner == from && record.isCurrent(now) && !r.records.isFull()
}

// seal makes sure that nobody acquires or finds the record. It stays until its retention ends.
func (r *Replicator) seal(stored *storedRecord) []Action {
	stored.seal()
	return []Action{{Write: r.newWrite(stored)}}
}

// remove forgets the record, on the disk as well.
func (r *Replicator) remove(stored *storedRecord) []Action {
	r.records.remove(stored.ID)
	return deleteWrites(stored)
}

// deleteWrites has a record that was removed deleted on the disk, where its kind lies there.
func deleteWrites(removed *storedRecord) []Action {
	if removed.Kind.isBestEffort() {
		return nil
	}
	return []Action{{Write: &Write{Name: recordName(removed.ID)}}}
}

// DiscardAll forgets all records that are stored here: the disk is an older one, and replies from it might
// contradict those that were given before.
func (r *Replicator) DiscardAll() []Action {
	var actions []Action
	for id := range r.records.byID {
		actions = append(actions, Action{Write: &Write{Name: recordName(id)}})
	}
	r.records.clear()
	return actions
}

// newWrite returns the write that makes a record durable, with its register.
func (r *Replicator) newWrite(stored *storedRecord) *Write {
	m := r.newMessage(messagePromise, 0, stored.Record)
	m.Ballot = stored.Promised
	m.AcceptedBallot = stored.Accepted
	m.Claimant = stored.Claimant
	return &Write{Name: recordName(stored.ID), Body: m.encode()}
}

// LoadRecord stores what the disk has under that name. It returns false where that can't be read, or its retention
// has ended.
func (r *Replicator) LoadRecord(now float64, name string, body []byte) bool {
	m, err := decodeMessage(body)
	if err != nil || m.Type != messagePromise || len(m.Records) != 1 {
		return false
	}
	stored := &storedRecord{
		Record:   m.Records[0],
		register: register{Promised: m.Ballot, Accepted: m.AcceptedBallot, Claimant: m.Claimant},
	}
	if recordName(stored.ID) != name || !stored.isValid(now) || stored.ExpiresAt+retentionMillis < now {
		return false
	}
	if r.records.byID[stored.ID] == nil {
		r.records.insert(stored)
	}
	return true
}

// replyTo returns an empty reply to a request.
func (r *Replicator) replyTo(request message, kind messageType) message {
	reply := r.newMessage(kind, request.Token)
	reply.Ballot = request.Ballot
	return reply
}

// reply sends a reply at once, or handles it where this relay made the request itself.
func (r *Replicator) reply(now float64, to string, reply message) []Action {
	if to == localAddress {
		return r.handleReply(now, reply)
	}
	return []Action{{To: to, Data: reply.encode()}}
}

// replyWhenDurable sends a reply once the write that it depends on is durable.
func (r *Replicator) replyWhenDurable(now float64, to string, reply message, write *Write) []Action {
	if r.faults.ackBeforeSync {
		return append([]Action{{Write: write}}, r.reply(now, to, reply)...)
	}
	if to == localAddress {
		write.localReplies = append(write.localReplies, reply)
	} else {
		write.replies = append(write.replies, Action{To: to, Data: reply.encode()})
	}
	return []Action{{Write: write}}
}
