package fleet

import (
	"errors"
	"fmt"
	"slices"

	"valeshift/internal/relay"
	"valeshift/internal/replication"
)

// This file replicates the records that the relay's state machine keeps for its clients, and looks them up:
// reservations, attempt markers and affinities.

const (
	replicateTimeoutMillis = 200.0  // after which replication of a durable record fails and its replicas discard it
	replyMarginMillis      = 1.0    // by which a lookup ends before the session stops waiting, so that the outcome reaches it
	affinityLifetimeMillis = 3.0e6  // after which an affinity expires, unless it is revoked earlier
	reservationGraceMillis = 700.0  // a reservation stays valid this long after its time, as in package admission
	sweepIntervalMillis    = 5000.0 // between two removals of expired records
	retryIntervalMillis    = 2000.0 // between two batches of affinities whose replication failed and is retried
	retryBatchSize         = 500    // maximum number of affinities in a batch
)

// replicationKinds maps the relay's kinds of records to the replicator's.
var replicationKinds = [...]replication.Kind{
	relay.ReservationRecord: replication.Reservation,
	relay.AttemptRecord:     replication.AttemptMarker,
	relay.AffinityRecord:    replication.Affinity,
}

// pendingRecord is a replication whose outcome a connection awaits.
type pendingRecord struct {
	conn      uint64  // the relay's number of the connection
	startedAt float64 // time of the relay's clock
}

// revocableKey identifies a record that the relay may revoke.
type revocableKey struct {
	kind relay.RecordKind
	conn uint64
}

// revocableExpiry is the time, of this relay's clock, at which a revocable record expires.
type revocableExpiry struct {
	revocableKey
	expiresAt float64
}

// recordReplication is the state of the replications and lookups that the relay's state machine has requested.
type recordReplication struct {
	pending    map[uint64]pendingRecord            // replications whose outcome a connection awaits, by token
	affinities map[uint64]relay.ReplicationRequest // replications whose outcome no connection awaits, by token
	lookups    map[uint64]relay.ReplicationRequest // lookups in progress, by token

	retries     []relay.ReplicationRequest // affinities whose replication failed and is to be retried
	nextRetryAt float64

	revocable   map[revocableKey]uint64 // tokens of the replications of records that may be revoked
	expiries    []revocableExpiry       // expiry times of the revocable records, in the order in which they were added
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

// recordKey returns the replicator's key for the key of a client or an affinity group.
func recordKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// HandleReplicationRequest handles a request of the relay's state machine to replicate, look up or release a record.
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

// lookUpRecord acquires a reservation, or looks up a marker or an affinity. The lookup times out replyMarginMillis
// before the session stops waiting for it.
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

// newRecord returns the record that the relay asks to replicate. The request's time is the time of a reservation, or
// the expiry time of a marker.
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
		record.ValidFrom = c.fleetTime(request.ExecutedAt)
		record.ExpiresAt = c.fleetTime(request.At)
	case relay.AffinityRecord:
		record.ExpiresAt = fleetNow + affinityLifetimeMillis
	}
	return record
}

// addRevocable adds a record that may be revoked. If it is replicated again, it can be revoked by its new token, until
// the expiry time of its first replication.
func (r *recordReplication) addRevocable(key revocableKey, token uint64, expiresAt float64) {
	if _, known := r.revocable[key]; !known {
		r.expiries = append(r.expiries, revocableExpiry{key, expiresAt})
	}
	r.revocable[key] = token
}

// removeExpired removes, every sweepIntervalMillis, the revocable records that have expired, and the expiry times of
// those that were revoked.
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

// retryAffinities replicates again the affinities whose replication failed, unless they have expired or were revoked
// because their sessions ended.
func (c *Core) retryAffinities(now float64) []Action {
	records := &c.replication.records
	if now < records.nextRetryAt {
		return nil
	}
	records.nextRetryAt = now + retryIntervalMillis
	n := min(len(records.retries), retryBatchSize)
	var actions []Action
	for _, request := range records.retries[:n] {
		if _, known := records.revocable[revocableKey{request.Record, request.Conn}]; known {
			actions = append(actions, c.HandleReplicationRequest(now, request)...)
		}
	}
	records.retries = slices.Clone(records.retries[n:]) // includes those that have just failed again
	return actions
}

// handleRecordOutcome notifies the relay's state machine of the outcome of a replication or lookup. It is not notified
// if a reservation was not found, or of the outcome of replicating an affinity.
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
		Answer:  lookupAnswer(outcome.Err),
		At:      outcome.Record.ValidFrom - c.fleetClockOffset,
		Backend: string(outcome.Record.Body),
	}}}
}

// lookupAnswer returns what a lookup that ended with the error has told of the record.
func lookupAnswer(err error) relay.LookupAnswer {
	switch {
	case err == nil:
		return relay.RecordHeld
	case errors.Is(err, replication.ErrNotFound):
		return relay.RecordNotHeld
	case errors.Is(err, replication.ErrNobodyAsked):
		return relay.NobodyAsked
	default:
		return relay.LookupTooLate
	}
}
