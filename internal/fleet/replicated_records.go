package fleet

import (
	"fmt"
	"slices"

	"valeshift/internal/relay"
	"valeshift/internal/replication"
)

// This file is the records that the relay's state machine has replicated for its clients: reservations, attempt
// markers and affinities. Lookups are about the same.

const (
	replicateTimeoutMillis = 200.0  // after which the replicas of a durable record discard it
	replyMarginMillis      = 1.0    // of the time that a session awaits a lookup, for the outcome to reach it
	affinityLifetimeMillis = 3.0e6  // unless it is revoked before
	reservationGraceMillis = 700.0  // a reservation is valid so long after its time, as admission counts it
	sweepIntervalMillis    = 5000.0 // between two sweeps of expired records
	retryIntervalMillis    = 2000.0 // between two attempts to replicate affinities that failed
	retryBatch             = 500    // affinities at a time
)

// replicationKinds are the replicator's kinds for the relay's.
var replicationKinds = [...]replication.Kind{
	relay.ReservationRecord: replication.Reservation,
	relay.AttemptRecord:     replication.AttemptMarker,
	relay.AffinityRecord:    replication.Affinity,
}

// pendingRecord is a replication whose outcome a connection awaits.
type pendingRecord struct {
	conn      uint64
	startedAt float64
}

// revocableKey is what the relay revokes a record by.
type revocableKey struct {
	kind relay.RecordKind
	conn uint64
}

// revocableExpiry says when a revocable record expires, by this relay's clock.
type revocableExpiry struct {
	revocableKey
	expiresAt float64
}

// recordReplication is the state of the relay's own records and lookups.
type recordReplication struct {
	pending    map[uint64]pendingRecord            // replications whose outcome is awaited, by token
	affinities map[uint64]relay.ReplicationRequest // replications whose outcome nobody awaits, by token
	lookups    map[uint64]relay.ReplicationRequest // by token

	retries     []relay.ReplicationRequest // affinities that were not replicated
	nextRetryAt float64

	revocable   map[revocableKey]uint64 // tokens
	expiries    []revocableExpiry       // of the revocable records, as they came
	nextSweepAt float64
}

func newRecordReplication() recordReplication {
	return recordReplication{
		pending:    map[uint64]pendingRecord{},
		affinities: map[uint64]relay.ReplicationRequest{},
		lookups:    map[uint64]relay.ReplicationRequest{},
		revocable:  map[revocableKey]uint64{},
	}
}

// recordKey is the replicator's key for a client's or group's.
func recordKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// HandleReplicationRequest does what the relay's state machine asks for: Replicate, Lookup or Release.
func (c *Core) HandleReplicationRequest(now float64, request relay.ReplicationRequest) []Action {
	if c.replication == nil {
		return nil
	}
	switch request.Operation {
	case relay.Release:
		return c.revokeRecord(now, request)
	case relay.Lookup:
		return c.lookUpRecord(now, request)
	default:
		return c.replicateRecord(now, request)
	}
}

func (c *Core) revokeRecord(now float64, request relay.ReplicationRequest) []Action {
	state := c.replication
	key := revocableKey{request.Record, request.Conn}
	token := state.records.revocable[key]
	delete(state.records.revocable, key)
	return c.applyReplicationActions(now, state.replicator.Revoke(c.fleetTime(now), token))
}

// lookUpRecord acquires a reservation, or looks up a marker or affinity until shortly before the time until which
// the session waits.
func (c *Core) lookUpRecord(now float64, request relay.ReplicationRequest) []Action {
	state := c.replication
	fleetNow := c.fleetTime(now)
	key := recordKey(request.Key)
	var token uint64
	var actions []replication.Action
	if request.Record == relay.ReservationRecord {
		token, actions = state.replicator.Acquire(fleetNow, replication.Reservation, key)
	} else {
		timeout := max(request.At-now-replyMarginMillis, 1)
		token, actions = state.replicator.Lookup(fleetNow, replicationKinds[request.Record], key, timeout)
	}
	state.records.lookups[token] = request
	return c.applyReplicationActions(now, actions)
}

func (c *Core) replicateRecord(now float64, request relay.ReplicationRequest) []Action {
	state := c.replication
	record := c.newRecord(now, request)
	token, actions := state.replicator.Replicate(c.fleetTime(now), record, replicateTimeoutMillis)
	if request.Record == relay.AffinityRecord {
		state.records.affinities[token] = request
	} else {
		state.records.pending[token] = pendingRecord{request.Conn, now}
	}
	if request.Record != relay.ReservationRecord {
		key := revocableKey{request.Record, request.Conn}
		state.records.addRevocable(key, token, record.ExpiresAt-c.fleetClockOffset)
	}
	return c.applyReplicationActions(now, actions)
}

// newRecord returns the record that a request of the relay asks to replicate. The request's time is that of a
// reservation, or the expiry of a marker.
func (c *Core) newRecord(now float64, request relay.ReplicationRequest) replication.Record {
	fleetNow := c.fleetTime(now)
	record := replication.Record{
		Kind:      replicationKinds[request.Record],
		Key:       recordKey(request.Key),
		Version:   uint64(max(fleetNow, 0)),
		ValidFrom: fleetNow,
		Body:      []byte(request.Backend),
	}
	switch request.Record {
	case relay.ReservationRecord:
		record.Version = 0
		record.ValidFrom = c.fleetTime(request.At)
		record.ExpiresAt = c.fleetTime(request.At) + reservationGraceMillis
	case relay.AttemptRecord:
		record.ExpiresAt = c.fleetTime(request.At)
	case relay.AffinityRecord:
		record.ExpiresAt = fleetNow + affinityLifetimeMillis
	}
	return record
}

// addRevocable remembers a record that may be revoked. One that is replicated again expires no sooner for it.
func (r *recordReplication) addRevocable(key revocableKey, token uint64, expiresAt float64) {
	if _, known := r.revocable[key]; !known {
		r.expiries = append(r.expiries, revocableExpiry{key, expiresAt})
	}
	r.revocable[key] = token
}

// removeExpired forgets, every few seconds, the records that can't be revoked any more.
func (r *recordReplication) removeExpired(now float64) {
	if now < r.nextSweepAt {
		return
	}
	r.nextSweepAt = now + sweepIntervalMillis
	r.expiries = slices.DeleteFunc(r.expiries, func(expiry revocableExpiry) bool {
		_, known := r.revocable[expiry.revocableKey]
		expired := expiry.expiresAt < now
		if known && expired {
			delete(r.revocable, expiry.revocableKey)
		}
		return !known || expired
	})
}

// retryAffinities replicates again the affinities that others didn't store, while their sessions are established.
func (c *Core) retryAffinities(now float64) []Action {
	records := &c.replication.records
	if now < records.nextRetryAt {
		return nil
	}
	records.nextRetryAt = now + retryIntervalMillis
	n := min(len(records.retries), retryBatch)
	var actions []Action
	for _, request := range records.retries[:n] {
		if _, known := records.revocable[revocableKey{request.Record, request.Conn}]; known {
			actions = append(actions, c.HandleReplicationRequest(now, request)...)
		}
	}
	records.retries = slices.Clone(records.retries[n:]) // those that failed again just now included
	return actions
}

// handleRecordOutcome notifies the relay's state machine of the end of a replication or lookup. It is not notified
// of a reservation that wasn't found.
func (c *Core) handleRecordOutcome(now float64, outcome *replication.Outcome) []Action {
	records := &c.replication.records
	succeeded := outcome.Err == nil
	if pending, ok := records.pending[outcome.Token]; ok {
		delete(records.pending, outcome.Token)
		if succeeded {
			c.replication.latencies.add(now - pending.startedAt)
		}
		return []Action{{Event: relay.RecordReplicated{Conn: pending.conn, Replicated: succeeded}}}
	}
	if request, ok := records.affinities[outcome.Token]; ok {
		delete(records.affinities, outcome.Token)
		if !succeeded && len(records.retries) < maxPendingReplications {
			records.retries = append(records.retries, request)
		}
		return nil
	}
	request, ok := records.lookups[outcome.Token]
	delete(records.lookups, outcome.Token)
	if !ok || (!succeeded && request.Record == relay.ReservationRecord) {
		return nil
	}
	return []Action{{Event: relay.RecordFound{
		Record:  request.Record,
		Conn:    request.Conn,
		Key:     request.Key,
		Found:   succeeded,
		At:      outcome.Record.ValidFrom - c.fleetClockOffset,
		Backend: string(outcome.Record.Body),
	}}}
}
