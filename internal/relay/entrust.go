package relay

// This file is the part of the reducer for words that other relays hold as well. A client that is told to
// come again while the whole fleet recovers finds its place at any relay, though the one that told it is
// lost. And a setup try that may run is marked before it goes out, so that its client's next try, at whatever
// relay, does not run it again. How that is held is none of its business.

// RecordKind is what is held.
type RecordKind uint8

// The words.
const (
	ReservationRecord RecordKind = iota // a client was told to come at At
	AttemptRecord                       // a setup try of a client's may run at the backend Text: until At, or as it went out at At
	AffinityRecord                      // a client, or its group, stands at the backend Text: a hint
)

const (
	entrustTime = 8.0  // ms, that an answer or a head waits for others to hold it, at the most
	askedTime   = 50.0 // that a client's further try waits for word of a former one, at the most
	askedPart   = 0.25 // of the time it has left
)

// entrusts has others hold what the link's client is about to be told; false: it is told at once.
func (r *StateMachine) entrusts(l *link, wait float64) bool {
	if !r.holds || !r.recovering || l.Key == 0 || wait <= 0 || l.client == nil || r.now+2*entrustTime > l.Deadline {
		return false
	}
	r.table.Forget(l)
	l.stage, l.giveUp = entrusting, r.now+wait // giveUp is when it is to come
	conn := l.client.conn
	l.quiet.fire = func() { r.entrusted(conn, false) }
	r.arm(&l.quiet, r.now+entrustTime)
	r.do(Effect{Kind: Replicate, Conn: conn, Key: l.Key, At: l.giveUp})
	return true
}

// entrusted gives the answer that waited. Where others hold it, this relay goes by their word too: against a
// place that was used elsewhere being used here again. Or it lets the head go out that did.
func (r *StateMachine) entrusted(conn uint64, held bool) {
	e := r.ends[conn]
	if e == nil || e.link == nil {
		return
	}
	l := e.link
	if l.server == e {
		r.marked(l, held)
		return
	}
	if l.stage != entrusting {
		return
	}
	if held {
		r.RejectionsReplicated++
		r.table.Balancer.DropReservation(l.Key)
	} else {
		r.RejectionsUnreplicated++
	}
	r.answer(l, busyLine(max(l.giveUp-r.now, 1)))
}

// claims seeks what others hold for the link's client. Nothing waits for it: a link that finds no room at
// once asks for it again, and goes first by then.
func (r *StateMachine) claims(l *link) {
	if r.holds && r.recovering && l.Key != 0 {
		r.do(Effect{Kind: Lookup, Key: l.Key})
	}
}

// claimed takes what was found.
func (r *StateMachine) claimed(e Event) {
	if e.Record == ReservationRecord {
		r.table.Balancer.RestoreReservations(r.now, map[uint64]float64{e.Key: e.At})
	} else if c := r.ends[e.Conn]; c != nil && c.link != nil && c.link.stage == asking {
		r.goesOn(c.link, e)
	}
}

// marking tells whether a setup try of the link is marked.
func (r *StateMachine) marking(l *link) bool {
	return r.remember > 0 && l.Key != 0 && r.lasting[l.Class]
}

// marks has others hold that the setup try that begins may run, while it connects. A link whose former try
// may have run already is marked.
func (r *StateMachine) marks(l *link) {
	if l.stage != trying || l.mark != 0 || !r.marking(l) {
		return
	}
	c := l.server
	l.mark, l.heldBy = c.conn, min(r.now+entrustTime, l.giveUp)
	r.do(Effect{Kind: Replicate, Record: AttemptRecord, Conn: c.conn, Key: l.Key, At: l.Deadline + r.remember,
		Text: c.backend.Name})
}

// waits tells whether the head still waits for that. Meanwhile nothing has gone out.
func (r *StateMachine) waits(l *link) bool {
	if l.heldBy == 0 {
		return false
	}
	if r.now >= l.heldBy {
		l.heldBy = 0
		r.AttemptsUnmarked++
		return false
	}
	c := l.server
	c.waits = true
	c.wait.fire = func() { r.tryUp(l) }
	r.arm(&c.wait, l.heldBy)
	return true
}

// marked has the head go out that waited.
func (r *StateMachine) marked(l *link, held bool) {
	if l.stage != trying || l.heldBy == 0 {
		return
	}
	if l.heldBy = 0; held {
		r.AttemptsMarked++
	} else {
		r.AttemptsUnmarked++
	}
	if l.server.waits {
		r.tryUp(l)
	}
}

// unmarks takes the mark back: its client has the answer, or nothing ran.
func (r *StateMachine) unmarks(l *link) {
	if l.mark != 0 {
		r.do(Effect{Kind: Release, Record: AttemptRecord, Conn: l.mark, Key: l.Key})
		l.mark, l.heldBy = 0, 0
	}
}

// stood has others hold where the link stands, for when this relay is lost.
func (r *StateMachine) stood(l *link) {
	if r.standsHeld && (l.AffinityGroup != 0 || l.Key != 0) {
		l.stood = l.server.conn
		r.do(Effect{Kind: Replicate, Record: AffinityRecord, Conn: l.stood, Key: stoodKey(l), Text: l.server.backend.Name})
	}
}

// stoodKey is the group's number, or the client's, told apart.
func stoodKey(l *link) uint64 {
	if l.AffinityGroup != 0 {
		return l.AffinityGroup
	}
	return ^l.Key
}

// leavesFor takes that back where the client has ended the link itself: it is not to come again. A group may
// have others there.
func (r *StateMachine) leavesFor(l *link, how EndReason) {
	if l.stood != 0 && l.AffinityGroup == 0 && (how == ClientClosed || how == BackendFinished) {
		r.do(Effect{Kind: Release, Record: AffinityRecord, Conn: l.stood, Key: stoodKey(l)})
	}
}

// asks seeks a mark of a former try, where the client says that there was one, and where it or its group
// stood; false: nothing is waited for.
func (r *StateMachine) asks(l *link) bool {
	if !l.head.IsRetry || !r.holds {
		return false
	}
	conn, wait := l.client.conn, 0.0
	ask := func(word RecordKind, key uint64, longest float64) {
		wait = max(wait, min(longest, (l.Deadline-r.now)*askedPart))
		l.awaits++
		r.do(Effect{Kind: Lookup, Record: word, Conn: conn, Key: key, At: r.now + wait})
	}
	if r.standsHeld && (l.AffinityGroup != 0 || l.Key != 0) {
		ask(AffinityRecord, stoodKey(l), entrustTime)
	}
	if r.marking(l) {
		ask(AttemptRecord, l.Key, askedTime)
	}
	if l.awaits == 0 {
		return false
	}
	l.stage = asking
	l.quiet.fire = func() { r.place(l) }
	r.arm(&l.quiet, r.now+wait)
	return true
}

// goesOn takes what was said of the link's client, and has it placed once there is nothing more to wait for.
func (r *StateMachine) goesOn(l *link, e Event) {
	b := r.backends[e.Address]
	switch {
	case e.Off:
	case e.Record == AttemptRecord:
		r.RepeatsDetected++
		id := uint32(0) // of no server that is known: then the scope of a referenced link isn't either
		if b != nil {
			id = b.id
		}
		r.table.Balancer.RecordEarlierAttempt(&l.Entry.Session, id, e.At)
	case b != nil:
		r.AffinityHits++
		r.table.Balancer.PreferBackend(&l.Entry.Session, b.id)
	}
	if l.awaits--; l.awaits <= 0 {
		r.place(l)
	}
}

func (r *StateMachine) place(l *link) {
	r.disarm(&l.quiet)
	l.stage, l.awaits = placing, 0
	r.table.Assign(r.now, l)
}
