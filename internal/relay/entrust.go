package relay

// This file is the part of the reducer for words that other relays hold as well: a client that is told to
// come again while the whole fleet recovers finds its place at any relay, though the one that told it is
// lost. How that is held is none of its business.

const entrustTime = 8.0 // ms, that an answer waits for others to hold it, at the most

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
// place that was used elsewhere being used here again.
func (r *Reducer) entrusted(conn uint64, held bool) {
	e := r.ends[conn]
	if e == nil || e.link == nil || e.link.stage != entrusting {
		return
	}
	l := e.link
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
