package relay

// Effect is an action that the state machine requests. StateMachine.Handle returns effects in the order in which they are
// to be carried out.
//
// Effects are pointers into reused buffers, so that forwarding data does not allocate. They are valid until the next call
// of Handle, and have to be copied to be kept longer.
type Effect interface{ isEffect() }

// Effects on connections. Conn is the connection's ID.
type (
	// Dial connects to a backend. ConnEstablished or ConnClosed follows.
	Dial struct {
		Conn      uint64
		ForClient uint64 // ID of the client connection that the backend is dialed for; 0: none
		Address   string
	}

	// Write sends the chunks in order, after everything that was written to the connection before.
	Write struct {
		Conn   uint64
		Chunks [][]byte
		single [1][]byte // backing array of Chunks if there is only one chunk
	}

	// Close closes the connection once everything written to it has been sent.
	Close struct{ Conn uint64 }

	// Reset resets the connection immediately, or cancels its dial.
	Reset struct{ Conn uint64 }

	// PauseAccept stops accepting clients until ResumeAccept.
	PauseAccept struct{}

	// ResumeAccept resumes accepting clients.
	ResumeAccept struct{}
)

// Effects on the process.
type (
	// SetTimer requests a TimerFired event at the time At, in Unix milliseconds. It replaces any earlier setting.
	SetTimer struct{ At float64 }

	// Log writes a log line, with attributes as alternating names and values.
	Log struct {
		Message string
		Args    []any
	}

	// AnnounceReady announces that the relay is ready to serve.
	AnnounceReady struct{}

	// Exit ends the process: the shutdown is complete.
	Exit struct{}
)

// Effects on the watch of the endpoint list.
type (
	// StartWatch starts a watch, with the ID Watch, of the list at the address. It replaces any other watch but
	// those in Keep.
	StartWatch struct {
		Watch   uint64
		After   uint64 // version after which changes are requested; 0: the whole list
		Address string
		Keep    []uint64 // IDs of watches that stay open
	}

	// StopWatch stops all watches but those in Keep.
	StopWatch struct {
		Keep []uint64 // IDs of watches that stay open
	}
)

// Effects on the other process of this relay.
type (
	// SendHandoff sends this process's state to the child.
	SendHandoff struct{ Handoff *Handoff }

	// SendEndpoints sends the endpoint list to the sibling.
	SendEndpoints struct{ Update *EndpointUpdate }

	// TransferSession requests that a session be sent to the child. DetachRequested follows when that is possible.
	TransferSession struct {
		ClientConn  uint64
		BackendConn uint64
	}

	// SessionDetached answers DetachRequested: this process gives the session up until SessionTransferred.
	SessionDetached struct {
		Conn    uint64
		Session *TransferredSession
	}

	// SessionAccepted answers SessionReceived: this process has taken the session over.
	SessionAccepted struct {
		Conn        uint64
		BackendConn uint64 // ID of the connection to the session's backend
	}
)

// ReplicationRequest asks other relays to hold, find or release a record.
type ReplicationRequest struct {
	Operation ReplicationOperation
	Record    RecordKind
	Conn      uint64 // ID of the connection that the record or the answer belongs to
	Key       uint64 // key of the client or its group
	// At is a time in Unix milliseconds: for a reservation, when the client is to retry; for an attempt marker, until
	// when it is held; for a lookup, until when its answer is awaited.
	At      float64
	Backend string // name of the backend, in an AttemptRecord or AffinityRecord
	// ExecutedAt is, for an attempt marker, the earliest time at which the client's request may have been executed, in
	// Unix milliseconds: by this attempt, or by an earlier one.
	ExecutedAt float64
}

// ReplicationOperation is the operation of a ReplicationRequest.
type ReplicationOperation uint8

// The operations.
const (
	Replicate ReplicationOperation = iota // hold the record; RecordReplicated follows
	Lookup                                // find a record; RecordFound follows
	Release                               // the record is no longer needed
)

func (*Dial) isEffect()               {}
func (*Write) isEffect()              {}
func (*Close) isEffect()              {}
func (*Reset) isEffect()              {}
func (*PauseAccept) isEffect()        {}
func (*ResumeAccept) isEffect()       {}
func (*SetTimer) isEffect()           {}
func (*Log) isEffect()                {}
func (*AnnounceReady) isEffect()      {}
func (*Exit) isEffect()               {}
func (*StartWatch) isEffect()         {}
func (*StopWatch) isEffect()          {}
func (*SendHandoff) isEffect()        {}
func (*SendEndpoints) isEffect()      {}
func (*TransferSession) isEffect()    {}
func (*SessionDetached) isEffect()    {}
func (*SessionAccepted) isEffect()    {}
func (*ReplicationRequest) isEffect() {}

// effectBuffer collects the effects of one event. Frequent effects, those of forwarded data and of attempts, are allocated
// from pools that are reused.
type effectBuffer struct {
	list         []Effect
	dials        pool[Dial]
	writes       pool[Write]
	closes       pool[Close]
	resets       pool[Reset]
	timers       pool[SetTimer]
	replications pool[ReplicationRequest]
}

// add appends an effect that the caller has allocated.
func (b *effectBuffer) add(effect Effect) { b.list = append(b.list, effect) }

func (b *effectBuffer) dial(conn, forClient uint64, address string) {
	effect := b.dials.next()
	*effect = Dial{Conn: conn, ForClient: forClient, Address: address}
	b.add(effect)
}

func (b *effectBuffer) write(conn uint64, data []byte) {
	effect := b.writes.next()
	effect.Conn = conn
	effect.single[0] = data
	effect.Chunks = effect.single[:]
	b.add(effect)
}

func (b *effectBuffer) writeChunks(conn uint64, chunks [][]byte) {
	effect := b.writes.next()
	effect.Conn = conn
	effect.Chunks = chunks
	b.add(effect)
}

func (b *effectBuffer) close(conn uint64) {
	effect := b.closes.next()
	effect.Conn = conn
	b.add(effect)
}

func (b *effectBuffer) reset(conn uint64) {
	effect := b.resets.next()
	effect.Conn = conn
	b.add(effect)
}

func (b *effectBuffer) setTimer(at float64) {
	effect := b.timers.next()
	effect.At = at
	b.add(effect)
}

func (b *effectBuffer) replicate(request ReplicationRequest) {
	effect := b.replications.next()
	*effect = request
	b.add(effect)
}

// clear empties the buffer but keeps its memory.
func (b *effectBuffer) clear() {
	b.list = b.list[:0]
	b.dials.clear()
	b.writes.clear()
	b.closes.clear()
	b.resets.clear()
	b.timers.clear()
	b.replications.clear()
}

// pool allocates values whose addresses never change. After clear, it returns the same values again.
type pool[T any] struct {
	items []*T
	used  int
}

func (p *pool[T]) next() *T {
	if p.used == len(p.items) {
		p.items = append(p.items, new(T))
	}
	item := p.items[p.used]
	p.used++
	return item
}

func (p *pool[T]) clear() { p.used = 0 }
