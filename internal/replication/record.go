package replication

// Kind is the kind of a replicated record. The numbers are stored and sent, so they never change their meaning.
type Kind uint8

// The kinds of records.
const (
	// Reservation gives a client that was told to retry later priority over new clients when it comes back. It is
	// looked up by the client's key, and can be used only once in the whole fleet.
	Reservation Kind = iota + 1
	// OperatorOrder is the latest drain order that an operator gave to a relay. Its key is the relay's name.
	OperatorOrder
	// AttemptMarker is an idempotency record: an attempt for a client's key may have run at a backend. It is valid
	// until its owner revokes it or it expires.
	AttemptMarker
	// Affinity names the backend that a client or affinity group was assigned to. It is best effort.
	Affinity

	kindLimit // one past the last kind
)

var kindNames = [kindLimit]string{"", "places", "orders", "marks", "affinities"}

// String returns the kind's name in /_fleet, in /_holdings and on the command line.
func (k Kind) String() string { return kindNames[k] }

// isSingleUse reports whether only one operation can ever acquire a record of that kind.
func (k Kind) isSingleUse() bool { return k == Reservation }

// isVersioned reports whether only the record with the highest version of a key counts.
func (k Kind) isVersioned() bool { return k == OperatorOrder || k == Affinity }

// isBestEffort reports whether records of that kind are held in memory only, up to a share of the table's capacity,
// and are never durable.
func (k Kind) isBestEffort() bool { return k == Affinity }

// isRevocable reports whether the owner may revoke a record of that kind before it expires. Such a record is useful
// even if only one replica has stored it.
func (k Kind) isRevocable() bool { return k == AttemptMarker || k == Affinity }

// Limits of a record.
const (
	maxKeyBytes       = 64
	maxBodyBytes      = 256
	maxCopies         = 7
	maxLifetimeMillis = 3.6e6 // ms from now within which a record must expire (one hour)
)

// Record is a replicated record. Times are Unix milliseconds of the fleet's clock.
type Record struct {
	Kind      Kind
	Key       string
	ID        uint64 // random number chosen by the owner, never 0
	Version   uint64 // version among the records of the same kind and key; used by versioned kinds only
	Owner     string // name of the relay that replicates the record
	ValidFrom float64
	ExpiresAt float64
	Body      []byte    // data of the package's caller, opaque to this package
	Replicas  []Replica // relays that store the record, chosen when it is created and never changed
}

// Replica is one incarnation of a relay that stores a record. A later incarnation of that relay is not a replica, as
// it may have another disk.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
}

// recordKey is the kind and key by which a record is looked up.
type recordKey struct {
	kind Kind
	key  string
}

func (r *Record) lookupKey() recordKey { return recordKey{r.Kind, r.Key} }

// isValid reports whether the record is well-formed and within the limits. It may have expired.
func (r *Record) isValid(now float64) bool {
	return r.ID != 0 &&
		r.Key != "" &&
		len(r.Key) <= maxKeyBytes &&
		len(r.Body) <= maxBodyBytes &&
		len(r.Replicas) > 0 &&
		len(r.Replicas) <= maxCopies &&
		r.ExpiresAt < now+maxLifetimeMillis
}

// isCurrent reports whether the record is valid and has not expired.
func (r *Record) isCurrent(now float64) bool { return r.isValid(now) && r.ExpiresAt > now }

// isReplicaAt reports whether the relay with that name, in any incarnation, is one of the record's replicas.
func (r *Record) isReplicaAt(name string) bool {
	for i := range r.Replicas {
		if r.Replicas[i].Name == name {
			return true
		}
	}
	return false
}

// hasDistinctReplicas reports whether the record has exactly that many replicas, each at a different relay. Without
// this check a faulty relay could publish a forged record with itself as the only replica, and let it be acquired.
func (r *Record) hasDistinctReplicas(copies int) bool {
	names := make(map[string]bool, len(r.Replicas))
	for _, replica := range r.Replicas {
		names[replica.Name] = true
	}
	return len(r.Replicas) == copies && len(names) == copies
}
