package relay

// Effect is one thing that the relay is to do. StateMachine.Handle returns effects in the order in which they are to be
// carried out.
//
// Effects are pointers into buffers that are used again, so that data passes without an allocation: they may be read
// until the next call of Handle. Whoever keeps one longer copies it.
type Effect interface{ isEffect() }

// Effects on connections. Conn is the number of the connection.
type (
	// Dial connects to a backend: ConnEstablished or ConnClosed follows.
	Dial struct {
		Conn      uint64
		ForClient uint64 // the client's connection that it is dialed for; 0: none
		Address   string
	}

	// Write sends the chunks, one behind the other, after all that was written to the connection before.
	Write struct {
		Conn   uint64
		Chunks [][]byte
		single [1][]byte // backs Chunks where there is one
	}

	// Close ends the connection once all that was written to it is sent.
	Close struct{ Conn uint64 }

	// Reset resets the connection now, or stops it from being dialed.
	Reset struct{ Conn uint64 }

	// PauseAccept has no further client accepted until ResumeAccept.
	PauseAccept struct{}

	// ResumeAccept has clients accepted again.
	ResumeAccept struct{}
)

// Effects on the process.
type (
	// SetTimer has TimerFired come at that time, in place of any earlier setting. At is in Unix milliseconds.
	SetTimer struct{ At float64 }

	// Log writes a line to the log, with attributes as pairs of name and value.
	Log struct {
		Message string
		Args    []any
	}

	// AnnounceReady says that the relay is fit to serve from now on.
	AnnounceReady struct{}

	// Exit ends the process: all is done.
	Exit struct{}
)

// Effects on the watch of the endpoint list.
type (
	// StartWatch watches the list at the address under the number Watch, in place of any other watch.
	StartWatch struct {
		Watch   uint64
		After   uint64 // the version from which on changes are asked for; 0: the whole list
		Address string
	}

	// StopWatch ends the watch.
	StopWatch struct{}
)

// Effects towards the other process of this relay.
type (
	// SendHandoff leaves what this process knows to the child.
	SendHandoff struct{ Handoff *Handoff }

	// SendEndpoints tells the sibling the endpoint list.
	SendEndpoints struct{ Update *EndpointUpdate }

	// TransferSession asks for a session to be sent to the child: DetachRequested follows when that can be done.
	TransferSession struct {
		ClientConn  uint64
		BackendConn uint64
	}

	// SessionDetached answers DetachRequested: the session is given up until SessionTransferred.
	SessionDetached struct {
		Conn    uint64
		Session *TransferredSession
	}

	// SessionAccepted answers SessionReceived: the session is this process's.
	SessionAccepted struct {
		Conn        uint64
		BackendConn uint64 // the number of its backend's connection
	}
)

// ReplicationRequest asks other relays to hold, find or release a record.
type ReplicationRequest struct {
	Operation ReplicationOperation
	Record    RecordKind
	Conn      uint64 // that the record or the answer belongs to
	Key       uint64 // of the client or its group
	// At is a time: of a reservation, when the client is to come; of an attempt marker, until when it is held; of a
	// lookup, until when an answer is waited for.
	At      float64
	Backend string // AttemptRecord, AffinityRecord: its name
}

// ReplicationOperation is what a ReplicationRequest asks for.
type ReplicationOperation uint8

// The operations.
const (
	Replicate ReplicationOperation = iota // hold the record: RecordReplicated follows
	Lookup                                // find a record: RecordFound follows
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

// effectBuffer collects the effects of one event. Effects that come with passed data and with attempts are kept in
// pools and used again.
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

// clear empties the buffer and keeps its memory.
func (b *effectBuffer) clear() {
	b.list = b.list[:0]
	b.dials.clear()
	b.writes.clear()
	b.closes.clear()
	b.resets.clear()
	b.timers.clear()
	b.replications.clear()
}

// pool hands out values that stay where they are, and hands out the same ones again after clear.
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
