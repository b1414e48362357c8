package relay

// This file is the part of the reducer for words that other relays hold as well. A client that is told to
// come again while the whole fleet recovers finds its place at any relay, though the one that told it is
// lost. And a setup try that may run is marked before it goes out, so that its client's next try, at whatever
// relay, does not run it again. How that is held is none of its business.

// Word is what is held.
type Word uint8

// The words.
const (
	Place Word = iota // a client was told to come at At
	Ran               // a setup try of a client's may run at the backend Text: until At, or as it went out at At
)

const (
	entrustTime = 8.0  // ms, that an answer or a head waits for others to hold it, at the most
	askedTime   = 50.0 // that a client's further try waits for word of a former one, at the most
	askedPart   = 0.25 // of the time it has left
)

// entrusts has others hold what the link's client is about to be told; false: it is told at once.
func (r *Reducer) entrusts(l *link, wait float64) bool {
	if !r.holds || !r.recovering || l.Key == 0 || wait <= 0 || l.client == nil || r.now+2*entrustTime > l.Limit {
		return false
	}
	r.table.Drop(l)
	l.stage, l.giveUp = entrusting, r.now+wait // giveUp is when it is to come
	conn := l.client.conn
	l.quiet.fire = func() { r.entrusted(conn, false) }
	r.arm(&l.quiet, r.now+entrustTime)
	r.do(Effect{Do: Entrust, Conn: conn, Key: l.Key, At: l.giveUp})
	return true
}

// entrusted gives the answer that waited. Where others hold it, this relay goes by their word too: against a
// place that was used elsewhere being used here again. Or it lets the head go out that did.
func (r *Reducer) entrusted(conn uint64, held bool) {
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
		r.Entrusted++
		r.table.Balancer.Forgo(l.Key)
	} else {
		r.Alone++
	}
	r.answer(l, busyLine(max(l.giveUp-r.now, 1)))
}

// claims seeks what others hold for the link's client. Nothing waits for it: a link that finds no room at
// once asks for it again, and goes first by then.
func (r *Reducer) claims(l *link) {
	if r.holds && r.recovering && l.Key != 0 {
		r.do(Effect{Do: Claim, Key: l.Key})
	}
}

// claimed takes what was found.
func (r *Reducer) claimed(e Event) {
	if e.Word == Place {
		r.table.Balancer.Promised(r.now, map[uint64]float64{e.Key: e.At})
	} else if c := r.ends[e.Conn]; c != nil && c.link != nil && c.link.stage == asking {
		r.goesOn(c.link, e)
	}
}

// marking tells whether a setup try of the link is marked.
func (r *Reducer) marking(l *link) bool { return r.remember > 0 && l.Key != 0 && r.lasting[l.Category] }

// marks has others hold that the setup try that begins may run, while it connects. A link whose former try may
// have run already is marked.
func (r *Reducer) marks(l *link) {
	if l.stage != trying || l.mark != 0 || !r.marking(l) {
		return
	}
	c := l.server
	l.mark, l.heldBy = c.conn, min(r.now+entrustTime, l.giveUp)
	r.do(Effect{Do: Entrust, Word: Ran, Conn: c.conn, Key: l.Key, At: l.Limit + r.remember, Text: c.backend.Name})
}

// waits tells whether the head still waits for that. Meanwhile nothing has gone out.
func (r *Reducer) waits(l *link) bool {
	if l.heldBy == 0 {
		return false
	}
	if r.now >= l.heldBy {
		l.heldBy = 0
		r.Unmarked++
		return false
	}
	c := l.server
	c.waits = true
	c.wait.fire = func() { r.tryUp(l) }
	r.arm(&c.wait, l.heldBy)
	return true
}

// marked has the head go out that waited.
func (r *Reducer) marked(l *link, held bool) {
	if l.stage != trying || l.heldBy == 0 {
		return
	}
	if l.heldBy = 0; held {
		r.Marked++
	} else {
		r.Unmarked++
	}
	if l.server.waits {
		r.tryUp(l)
	}
}

// unmarks takes the mark back: its client has the answer, or nothing ran.
func (r *Reducer) unmarks(l *link) {
	if l.mark != 0 {
		r.do(Effect{Do: Release, Word: Ran, Conn: l.mark, Key: l.Key})
		l.mark, l.heldBy = 0, 0
	}
}

// asks seeks a mark of a former try, where the client says that there was one; false: nothing is waited for.
func (r *Reducer) asks(l *link) bool {
	if !l.head.Again || !r.marking(l) {
		return false
	}
	l.stage = asking
	conn := l.client.conn
	l.quiet.fire = func() { r.goesOn(l, Event{Off: true}) }
	until := r.now + min(askedTime, (l.Limit-r.now)*askedPart)
	r.arm(&l.quiet, until)
	r.do(Effect{Do: Claim, Word: Ran, Conn: conn, Key: l.Key, At: until})
	return true
}

// goesOn has the link placed, by what was said of its client's former try.
func (r *Reducer) goesOn(l *link, e Event) {
	r.disarm(&l.quiet)
	l.stage = placing
	if !e.Off {
		r.Repeats++
		id := uint32(0) // of no server that is known: then the scope of a referenced link isn't either
		if b := r.backends[e.Text]; b != nil {
			id = b.id
		}
		r.table.Balancer.Ran(&l.Link.Link, id, e.At)
	}
	r.table.Place(r.now, l)
}
