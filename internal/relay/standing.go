package relay

// This file is the part of the reducer for links that stand: lines passed on both ways, silence, and sending
// clients elsewhere before their backend or this relay goes away. It must never move a link to even out load,
// hold a whole line back, or place a link.

import (
	"cmp"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

const (
	silence    = 4000.0  // of lines that bring nothing back; two more till the first comes, and the bound is 7 s
	idleClient = 20000.0 // ten of a client's lines missed
	endTime    = 500.0   // for the end of a connection after BYE or MOVE; the protocol's bound is a second
	lastComers = 500.0   // clients still come for this long after a stop begins
	stopWait   = 3000.0  // the longest of a hard limit that a stop waits for
	lastWord   = 400.0   // after that, for what came last; the kill may come 0.3 s later
	partGap    = 50.0    // before a link that may be another process's by then is looked at again
)

// resume asks the backend that has the link already.
func (r *StateMachine) resume(l *link) {
	l.stage = resuming
	l.giveUp = r.now + resumeTime
	r.resumeTry(l)
}

func (r *StateMachine) resumeTry(l *link) {
	b := r.backends[string(l.head.StickyBackend)]
	if b == nil || b.Address == "" {
		r.resumeLater(l)
		return
	}
	r.reach(l, b, 4*r.connectTime)
}

// resumeLater tries again, as a link that stood is lost if its backend isn't found; at the end it is an
// error.
func (r *StateMachine) resumeLater(l *link) {
	if r.now+resumeGap >= l.giveUp {
		r.Execute(l, balancer.Decision{Kind: balancer.Fail})
		return
	}
	l.quiet.fire = func() { r.resumeTry(l) }
	r.arm(&l.quiet, r.now+resumeGap)
}

// stand takes that the backend has the link.
func (r *StateMachine) stand(l *link, line []byte) {
	if l.client == nil { // gone, with a setup try that might not be called off
		r.tryOver(l, ClientReset)
		return
	}
	c := l.server
	r.disarm(&c.wait)
	if l.stage == resuming {
		r.Reestablished++
		r.table.Balancer.SessionResumed(r.now, &l.Entry.Session, c.backend.id)
	} else {
		r.Succeeded++
		r.table.Balancer.SessionEstablished(r.now, &l.Entry.Session)
		r.unmarks(l)
		r.stood(l)
	}
	r.answers[l.Class].served++
	r.write(l.client, line)
	l.head = protocol.Request{}
	r.stands(l)
	if r.yielded {
		r.pass(l)
		r.arm(&l.leave, max(r.now+lastComers, r.leaveAt(0, 1)))
	} else if r.stopping || r.lame {
		r.arm(&l.leave, max(r.now, r.leaveAt(0, 1)))
	} else if c.backend.condition != balancer.Ready {
		r.arm(&l.leave, r.now)
	}
}

// stands is what holds of every link from when it stands.
func (r *StateMachine) stands(l *link) {
	l.stage = standing
	r.Established++
	b := l.server.backend
	b.links = append(b.links, l)
	l.quiet.fire = func() { r.move(l, BackendSilent) }
	l.leave.fire = func() { r.move(l, RelayMovedClient) }
	l.client.wait.fire = func() { r.move(l, RelayMovedClient) }
	r.arm(&l.client.wait, r.now+idleClient)
}

func (r *StateMachine) toServer(l *link, data []byte) {
	r.ClientChunks++
	r.write(l.server, data)
	r.arm(&l.client.wait, r.now+idleClient)
	if l.quiet.place == 0 {
		r.arm(&l.quiet, r.now+silence)
	}
}

// fromServer passes whole lines on, so that a line of the relay's own always falls between two of them.
func (r *StateMachine) fromServer(l *link, data []byte) {
	l.server.backend.heard = r.now
	for len(data) > 0 && l.stage == standing && !l.ending {
		line, rest, err := l.server.in.Next(data)
		if err != nil {
			r.note("line too long from a backend", "backend", l.server.backend.Name)
			r.finish(l, MalformedAnswer, Reset)
			return
		}
		if line == nil {
			return
		}
		data = rest
		r.disarm(&l.quiet)
		r.BackendLines++
		r.write(l.client, line)
		switch verb, said := protocol.CutVerb(line); string(verb) {
		case "LOAD":
			if load, ok := protocol.ParseLoad(said); ok {
				r.table.Balancer.LoadMeasured(&l.Entry.Session, load)
			}
		case "BYE":
			if r.reports {
				r.reported(l.server.backend, said)
			}
			r.endsSoon(l, BackendFinished)
		case "MOVE":
			r.endsSoon(l, BackendMovedClient)
		}
	}
}

// endsSoon takes the backend's word that the link is over. What it sends after that is dropped.
func (r *StateMachine) endsSoon(l *link, how EndReason) {
	l.last, l.ending = how, true
	l.quiet.fire = func() { r.finish(l, how, Close) }
	r.arm(&l.quiet, r.now+endTime)
}

func (r *StateMachine) serverOver(l *link, e Event) {
	switch {
	case l.ending:
		r.finish(l, l.last, Close)
	case e.SlowReader:
		r.finish(l, SlowReader, Reset)
	case e.Reset:
		r.finish(l, BackendClosed, Reset)
	default:
		r.finish(l, BackendClosed, Close)
	}
}

// finish ends a link that stood, on whichever sides are still open.
func (r *StateMachine) finish(l *link, how EndReason, both EffectKind) {
	r.EndReasons[how]++
	r.Established--
	r.leavesFor(l, how)
	b := l.server.backend
	b.links = slices.DeleteFunc(b.links, func(other *link) bool { return other == l })
	r.leaveHand(l)
	if l.client != nil {
		r.forget(l.client, both)
	}
	r.forget(l.server, both)
	r.table.AttemptFinished(r.now, l, how.outcome(), true)
}

// silent has the clients of a backend that answers neither probes nor lines come again elsewhere, where the
// module holds it to be lost. A line that waits for its answer must show it: a backend may tire of probes.
func (r *StateMachine) silent(b *backend) {
	quiet := 0.0
	for _, l := range b.links {
		if l.quiet.place > 0 && !l.ending {
			quiet = max(quiet, r.now-l.quiet.at+silence)
		}
	}
	if !r.table.Balancer.IsUnresponsive(b.id, min(quiet, r.now-b.heard)) {
		return
	}
	r.note("backend fell silent", "backend", b.Name, "links", len(b.links))
	for _, l := range slices.Clone(b.links) {
		r.move(l, BackendSilent)
	}
}

// move has the client come again elsewhere. One that its backend has said the last word to is only ended.
func (r *StateMachine) move(l *link, why EndReason) {
	switch {
	case l.stage == parting: // its word may be another process's to say
		r.arm(&l.leave, r.now+partGap)
		return
	case l.ending:
		r.finish(l, l.last, Close)
		return
	}
	r.Migrated++
	r.write(l.client, []byte("MOVE\r\n"))
	r.finish(l, why, Close)
}

// stop begins the relay's planned stop: what comes is served, what stands is moved once clients are dealt
// elsewhere, and all is answered before the kill can come. To a younger process that is ready all clients are
// left at once: against some that this one takes last, to be moved as soon as they stand.
func (r *StateMachine) stop(yield bool) {
	if r.stopping {
		return
	}
	r.yielded = yield
	r.stopping, r.lame = true, false
	r.empty()
	look := timer{fire: func() {}}
	r.arm(&look, r.now+lastComers) // a look at whether all is done
}

// lameDuck empties the relay as a stop does, but for its end, or takes it back to work. A stop goes before
// it.
func (r *StateMachine) lameDuck(on bool) {
	if r.stopping || r.lame == on {
		return
	}
	r.lame = on
	r.note("lame duck", "on", on, "standing", r.Established)
	if on {
		r.empty()
		return
	}
	r.disarm(&r.final)
	for _, b := range r.order {
		for i, l := range b.links {
			r.disarm(&l.leave)
			r.leaves(b, l, i)
		}
	}
}

// leaves has a link go that stands on a backend which goes, if it is not told yet.
func (r *StateMachine) leaves(b *backend, l *link, nth int) {
	if b.condition != balancer.Ready && l.leave.place == 0 {
		r.arm(&l.leave, r.now+r.table.Balancer.DrainDelay(nth, len(b.links), 0))
	}
}

// empty has what stands moved over the time that the module gives, and whatever is left then answered.
func (r *StateMachine) empty() {
	r.stopAt = r.now
	var all []*link
	for _, c := range r.clients() {
		if c.link.stage == standing {
			all = append(all, c.link)
		}
	}
	for i, l := range all {
		at := r.leaveAt(i, len(all))
		if l.leave.place > 0 { // its backend goes: not later than that was to be
			at = min(at, l.leave.at)
		}
		r.arm(&l.leave, at)
		if r.yielded {
			r.pass(l)
		}
	}
	r.final.fire = r.emptyNow
	r.arm(&r.final, r.now+r.stopTime())
}

// stopTime is how long a stop takes at the most.
func (r *StateMachine) stopTime() float64 { return min(r.longest, stopWait) + lastWord }

// leaveAt is when the nth of so many standing links is moved at a stop.
func (r *StateMachine) leaveAt(nth, of int) float64 {
	return r.stopAt + lastComers + r.table.Balancer.DrainDelay(nth, of, r.stopTime()-lastComers)
}

// emptyNow answers and moves whatever is left.
func (r *StateMachine) emptyNow() {
	for _, c := range r.clients() {
		switch l := c.link; l.stage {
		case heading:
			r.refuse(l, RequestTimedOut, r.busy())
		case standing:
			r.move(l, RelayMovedClient)
		case resuming:
			if l.server != nil {
				r.forget(l.server, Close)
			}
			r.Execute(l, balancer.Decision{Kind: balancer.Fail})
		case trying:
			l.Deadline = r.now // so that the module gives it up
			r.tryOver(l, AttemptTimedOut)
		case entrusting:
			r.entrusted(c.conn, false)
		case asking:
			l.Deadline = r.now
			r.place(l)
		case placing:
			l.Deadline = r.now
			r.table.Assign(r.now, l)
		}
	}
	if r.stopping {
		r.leave()
	}
}

// idle tells whether nobody waits for anything: no link, and no client whose head may be on its way.
func (r *StateMachine) idle() bool {
	if r.links > 0 {
		return false
	}
	for _, c := range r.ends {
		if c.backend == nil && c.pings == 0 {
			return false
		}
	}
	return true
}

// leave has the program exit, once.
func (r *StateMachine) leave() {
	if !r.quit {
		r.quit = true
		r.do(Effect{Kind: Exit})
	}
}

// clients are the clients' connections in the order they came.
func (r *StateMachine) clients() []*end {
	var all []*end
	for _, c := range r.ends {
		if c.backend == nil {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *end) int { return cmp.Compare(a.conn, b.conn) })
	return all
}
