package replication

// Kind is the kind of a replicated record. The numbers are stored and sent: none ever gets another meaning.
type Kind uint8

// The kinds of records.
const (
	// Reservation lets a client that was told to retry later go before newcomers. It is found by the client's
	// key, and used once over the whole fleet.
	Reservation Kind = iota + 1
	// OperatorOrder is the latest drain order that an operator gave a relay. Its key is the relay's name.
	OperatorOrder
	// AttemptMarker says that an attempt for a client's key may have run at a backend (an idempotency record).
	// It holds until its owner revokes it.
	AttemptMarker
	// Affinity says which backend a client or group was at. It is best effort.
	Affinity

	kindLimit // one past the last kind
)

var kindNames = [kindLimit]string{"", "places", "orders", "marks", "affinities"}

// String is the kind's name in /_fleet, in /_holdings and on the command line.
func (k Kind) String() string { return kindNames[k] }

// isSingleUse reports whether a record of that kind is used up by whoever acquires it.
func (k Kind) isSingleUse() bool { return k == Reservation }

// isVersioned reports whether only the highest version of a key counts.
func (k Kind) isVersioned() bool { return k == OperatorOrder || k == Affinity }

// isBestEffort reports whether a kind is held in memory only, in a bounded share of it, and never durable.
func (k Kind) isBestEffort() bool { return k == Affinity }

// isRevocable reports whether the owner may revoke a record of that kind before it expires. Such a record is
// useful at a single replica already.
func (k Kind) isRevocable() bool { return k == AttemptMarker || k == Affinity }

// Limits of a record.
const (
	maxKeyBytes       = 64
	maxBodyBytes      = 256
	maxCopies         = 7
	maxLifetimeMillis = 3.6e6 // a record expires no later than this from now
)

// Record is one replicated record. Times are Unix milliseconds of the fleet's clock.
type Record struct {
	Kind      Kind
	Key       string
	ID        uint64 // drawn at random by the owner, never 0
	Version   uint64 // of records with the same kind and key; used by versioned kinds only
	Owner     string // name of the relay that had it replicated
	ValidFrom float64
	ExpiresAt float64
	Body      []byte    // meant for the owner's caller; opaque here
	Replicas  []Replica // the relays that store it, drawn when it was made; they never change
}

// Replica is a relay, in one incarnation, that stores a record. A later incarnation is no replica: its disk may
// be another one.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
}

// recordKey is what a record is looked up by.
type recordKey struct {
	kind Kind
	key  string
}

func (r *Record) lookupKey() recordKey { return recordKey{r.Kind, r.Key} }

// isValid reports whether the record is within the limits. It may have expired.
func (r *Record) isValid(now float64) bool {
	return r.ID != 0 &&
		r.Key != "" &&
		len(r.Key) <= maxKeyBytes &&
		len(r.Body) <= maxBodyBytes &&
		len(r.Replicas) > 0 &&
		len(r.Replicas) <= maxCopies &&
		r.ExpiresAt < now+maxLifetimeMillis
}

// isCurrent reports whether the record is within the limits and has not expired.
func (r *Record) isCurrent(now float64) bool { return r.isValid(now) && r.ExpiresAt > now }

// isReplicaAt reports whether the relay of that name, in any incarnation, is one of the record's replicas.
func (r *Record) isReplicaAt(name string) bool {
	for i := range r.Replicas {
		if r.Replicas[i].Name == name {
			return true
		}
	}
	return false
}

// hasDistinctReplicas reports whether the record has as many replicas as copies are made, each at another relay.
// A faulty relay that announces a record of its own making could otherwise grant it alone.
func (r *Record) hasDistinctReplicas(copies int) bool {
	names := make(map[string]bool, len(r.Replicas))
	for _, replica := range r.Replicas {
		names[replica.Name] = true
	}
	return len(r.Replicas) == copies && len(names) == copies
}
