package replication

import (
	"slices"
)

// This file is the replica side: it stores, looks up and discards records for other relays and for this one.

// localAddress is the address of this relay itself: its messages to itself are handled directly, without a datagram.
const localAddress = ""

// handleRequest handles a request from an address. A reply that depends on a write is sent once that write is durable.
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

// handleStore stores a record that has this incarnation of this relay among its replicas. A record that is already
// stored isn't changed, and is acknowledged again.
func (r *Replicator) handleStore(now float64, from string, request message) []Action {
	record := request.Records[0]
	if stored := r.records.byID[record.ID]; stored != nil {
		return r.acknowledge(now, from, request, record.Kind, stored)
	}
	if !r.hasCapacity(record) {
		r.counts[record.Kind].RejectedFull++
		return r.reply(now, from, r.replyTo(request, messageReject))
	}
	if !r.canBecomeReplica(now, record) {
		return r.reply(now, from, r.replyTo(request, messageReject))
	}
	stored := &storedRecord{Record: record}
	removals := r.removeSuperseded(record)
	r.records.insert(stored)
	r.counts[record.Kind].Stored++
	// The older version is removed only after the newer one is stored.
	return append(r.acknowledge(now, from, request, record.Kind, stored), removals...)
}

// acknowledge replies that a record is stored: at once for a best-effort kind, otherwise once the record is durable. A
// record that was stored before is written again, as its first write may not be durable yet.
func (r *Replicator) acknowledge(now float64, from string, request message, kind Kind, stored *storedRecord) []Action {
	reply := r.replyTo(request, messageStored)
	if kind.isBestEffort() {
		return r.reply(now, from, reply)
	}
	return r.replyWhenDurable(now, from, reply, r.newWrite(stored))
}

// hasCapacity reports whether the table can take one more record. A best-effort record whose key is already stored
// isn't subject to the best-effort limits.
func (r *Replicator) hasCapacity(record Record) bool {
	if r.records.isFull() {
		return false
	}
	return !record.Kind.isBestEffort() || r.records.hasKey(record.lookupKey()) ||
		!r.records.isBestEffortFull(record.Owner, len(r.members))
}

// canBecomeReplica reports whether this relay may store the record: it isn't draining, the record has not expired, and
// this incarnation is one of the record's replicas.
func (r *Replicator) canBecomeReplica(now float64, record Record) bool {
	return !r.members.isDraining(r.name) &&
		record.isCurrent(now) &&
		slices.Contains(record.Replicas, Replica{r.name, r.incarnation})
}

// removeSuperseded removes the stored records of a versioned kind that the new record replaces.
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

// handleLookup replies with the open records of a kind and key, followed by the markers that are known to be revoked.
// If there are none, it replies with the cached location of a record at other relays.
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

// revokedMarker returns the form in which a reply reports a revoked marker, as other replicas may not know that it was
// revoked. It has no replicas.
func revokedMarker(key string, id uint64) Record {
	return Record{Kind: AttemptMarker, Key: key, ID: id}
}

// isRevokedMarker reports whether a record in a reply was made by revokedMarker.
func (r *Record) isRevokedMarker() bool { return r.Kind == AttemptMarker && len(r.Replicas) == 0 }

// handleDiscard removes a record at its owner's request. Reservations and markers are sealed instead, and kept until
// their retention ends: otherwise a late store request would store the record again, and it could be acquired or found.
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

// isEarlyRevocation reports whether a discard message revokes a marker whose store request has not arrived yet. The
// marker is then stored as revoked: otherwise the late store request would leave a marker that nobody revokes again.
func (r *Replicator) isEarlyRevocation(now float64, from string, record Record) bool {
	return record.Kind == AttemptMarker && record.Owner == from && record.isCurrent(now) && !r.records.isFull()
}

// seal makes the record impossible to acquire or find at this replica. It is kept until its retention ends.
func (r *Replicator) seal(stored *storedRecord) []Action {
	stored.seal()
	return []Action{{Write: r.newWrite(stored)}}
}

// remove removes the record from memory and from the disk.
func (r *Replicator) remove(stored *storedRecord) []Action {
	r.records.remove(stored.ID)
	return deleteWrites(stored)
}

// deleteWrites returns the write that deletes a removed record from the disk, or none for a best-effort kind.
func deleteWrites(removed *storedRecord) []Action {
	if removed.Kind.isBestEffort() {
		return nil
	}
	return []Action{{Write: &Write{Name: recordName(removed.ID)}}}
}

// DiscardAll removes all stored records. It is for a relay that has started with an older disk: replies based on that
// disk might contradict replies that the relay sent before.
func (r *Replicator) DiscardAll() []Action {
	var actions []Action
	for id := range r.records.byID {
		actions = append(actions, Action{Write: &Write{Name: recordName(id)}})
	}
	r.records.clear()
	return actions
}

// newWrite returns the write that makes a record and its register durable.
func (r *Replicator) newWrite(stored *storedRecord) *Write {
	m := r.newMessage(messagePromise, 0, stored.Record)
	m.Ballot = stored.Promised
	m.AcceptedBallot = stored.Accepted
	m.Claimant = stored.Claimant
	return &Write{Name: recordName(stored.ID), Body: m.encode()}
}

// LoadRecord loads a record that the disk has under that name. It returns false if the record can't be decoded, is
// invalid, or its retention has ended.
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

// replyTo returns a reply to a request, without records.
func (r *Replicator) replyTo(request message, msgType messageType) message {
	reply := r.newMessage(msgType, request.Token)
	reply.Ballot = request.Ballot
	return reply
}

// reply sends a reply at once, or handles it directly if the request came from this relay itself.
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
