// Package audit holds what relays do against the rules, by what clients, servers and discovery saw: one final
// answer in time, nothing twice, drains kept, no cold server pushed over, no line lost, doubled or held. It
// sees no relay from the inside, so that a relay broken in any way can be caught.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"valeshift/internal/testbed/experiment"
)

// Rule is what can be broken.
type Rule uint8

// The rules.
const (
	FinalAnswer  Rule = iota // exactly one, before the hard limit
	AtMostOnce               // no effect twice, one setup try out at a time
	Drain                    // nothing new to a server that is said to leave or to be gone
	SlowStart                // no cold server pushed over
	LineDelivery             // passed on once, in order, at once; no link cut off without a word
	rules
)

var ruleNames = [...]string{"final answer", "twice", "drain", "cold", "lines"}

func (r Rule) String() string { return ruleNames[r] }

// Violation is one broken rule.
type Violation struct {
	Rule      Rule
	At        float64
	SessionID string
	Detail    string
}

func (b Violation) String() string {
	return fmt.Sprintf("%.1f %s: %s (link %s)", b.At, b.Rule, b.Detail, b.SessionID)
}

const (
	grace      = 50.0   // that each time limit is longer
	drainIn    = 500.0  // after news of a drain
	holdLimit  = 1000.0 // for a line
	mostKept   = 200    // breaks; all are counted
	forgetting = 30000.0
)

type link struct {
	relay, life int // and which life of it
	effect      experiment.Effect
	errand      *errand
	asked, due  float64
	answered    string
	over        bool // for the client
	moved       bool
	closed      bool // by its server
	onDark      bool // it was on a server that was dark
	onFrozen    bool // its relay was stopped by the machine
	took        int
	tries       []try
	got         [2]int
}

// errand is all that a client asks for until it is answered UP: one effect is meant.
type errand struct {
	took   int
	client *string // the server where its client stood last; empty: nowhere
	last   float64 // when it was asked for
}

type try struct {
	server  string
	at, end float64 // end: 0 while out
	dark    bool
}

type told struct {
	status string
	at     float64
	since  float64
}

type push struct{ at, load float64 }

// Auditor is a model.Witness. It is not safe for calls side by side.
type Auditor struct {
	slack float64
	// IsSameZone, where set, tells whether a relay and a server are of one zone; Nears counts such setup tries from
	// then on, of Ways.
	IsSameZone                     func(relay int, server string) bool
	LocalityFrom                   float64
	LocalAttempts, LocatedAttempts int

	multiple              float64
	window                float64
	links                 map[string]*link
	errands               map[string]*errand
	stood                 map[string]*string
	lives                 map[int]int
	died                  map[int]float64
	told                  map[int]map[string]told
	dark                  map[string]bool
	frozen                map[int]bool
	lit                   map[string]float64 // when it was dark last
	pushes                map[string][]push
	started               map[string]float64 // each server's last start
	pushedAt              map[string]float64
	swept                 float64
	Violations            []Violation
	Counts                [rules]int
	Requests              int
	Attempts              int
	Lines                 int
	RepeatedEffects       int // single-use effects begun again by a client's further try: no rule, but what marks are for
	Reconnects            int // clients whose link was over before they were, and that stand again
	AffineReconnects      int // of those, at the server where they stood
	ReplacementRejections int // clients that a relay did not let in while it was replaced
}

// New takes how much later than it was said a thing may be seen, and the multiple of its present capacity
// that a cold server may be sent within the window.
func New(slack, multiple, window float64) *Auditor {
	return &Auditor{slack: slack, multiple: multiple, window: window, links: map[string]*link{},
		errands: map[string]*errand{}, stood: map[string]*string{},
		lives: map[int]int{}, died: map[int]float64{}, told: map[int]map[string]told{}, dark: map[string]bool{},
		frozen: map[int]bool{}, lit: map[string]float64{},
		pushes: map[string][]push{}, started: map[string]float64{}, pushedAt: map[string]float64{}}
}

func (a *Auditor) breaks(rule Rule, now float64, id, format string, args ...any) {
	a.Counts[rule]++
	if len(a.Violations) < mostKept {
		a.Violations = append(a.Violations, Violation{rule, now, id, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount counts all breaks.
func (a *Auditor) ViolationCount() (n int) {
	for _, c := range a.Counts {
		n += c
	}
	return n
}

// excused tells whether the relay that the link was asked of has died since, or just before, when the client
// could not know.
func (a *Auditor) excused(l *link) bool {
	return l.onFrozen || a.lives[l.relay] != l.life || (l.life > 0 && l.asked < a.died[l.relay]+a.slack)
}

// RequestSent takes that a link was asked for.
func (a *Auditor) RequestSent(now float64, id, name string, relay int, effect experiment.Effect, wait float64) {
	a.sweep(now)
	a.Requests++
	if a.links[id] != nil {
		a.breaks(FinalAnswer, now, id, "a client used one id twice: the lab is at fault")
	}
	if a.errands[name] == nil {
		client, _, _ := strings.Cut(name, "/")
		if a.stood[client] == nil {
			a.stood[client] = new(string)
		}
		a.errands[name] = &errand{client: a.stood[client]}
	}
	a.errands[name].last = now
	a.links[id] = &link{relay: relay, life: a.lives[relay], effect: effect, errand: a.errands[name], asked: now,
		due: now + wait, onFrozen: a.frozen[relay]}
}

// ResponseReceived takes the first line that the client heard.
func (a *Auditor) ResponseReceived(now float64, id, verb string) {
	l := a.links[id]
	if l == nil {
		return
	}
	l.answered = verb
	switch {
	case verb != "UP" && verb != "BUSY" && verb != "ERR":
		a.breaks(FinalAnswer, now, id, "%q is no answer", verb)
	case now > l.due+grace+a.slack && !l.onFrozen:
		a.breaks(FinalAnswer, now, id, "%s came %.0f ms after the hard limit", verb, now-l.due)
	case verb == "UP" && l.took == 0:
		a.breaks(FinalAnswer, now, id, "UP that no server said")
	case verb == "BUSY" && l.effect == experiment.EffectSingleUse && l.took > 0:
		a.breaks(AtMostOnce, now, id, "told that trying again is harmless, and it was done already")
	}
}

// NoticeReceived takes a line that is none of the server's numbered ones.
func (a *Auditor) NoticeReceived(now float64, id, verb string) {
	l := a.links[id]
	if l == nil {
		return
	}
	if verb == "MOVE" && l.answered == "UP" {
		l.moved = true
		return
	}
	a.breaks(FinalAnswer, now, id, "%s after %s", verb, l.answered)
}

// ClosedByRelay takes that the relay's side ended the client's connection.
func (a *Auditor) ClosedByRelay(now float64, id string, broken bool) {
	l := a.links[id]
	if l == nil || l.over {
		return
	}
	l.over = true
	switch {
	case a.excused(l):
	case l.answered == "":
		a.breaks(FinalAnswer, now, id, "ended without an answer")
	case l.answered == "UP" && !l.moved && !l.closed && !l.onDark:
		a.breaks(LineDelivery, now, id, "cut off without MOVE while its server serves (broken %t)", broken)
	}
}

// ClosedByClient takes that the client ended its connection.
func (a *Auditor) ClosedByClient(now float64, id string) {
	l := a.links[id]
	if l == nil || l.over {
		return
	}
	l.over = true
	if l.answered == "" && now > l.due+grace && !a.excused(l) {
		a.breaks(FinalAnswer, now, id, "no answer %.0f ms after it was asked", now-l.asked)
	}
}

// AttemptReceived takes a setup try.
func (a *Auditor) AttemptReceived(now float64, id, server string, cold bool, capacity, load float64) {
	a.Attempts++
	l := a.links[id]
	if l == nil {
		a.breaks(AtMostOnce, now, id, "a try on %s of a link that nobody asked for", server)
		return
	}
	news := a.told[l.relay][server]
	delayed := now < a.lit[server]+a.slack // it was under way while nothing passed
	if news.status != "" && news.status != "active" && now > news.at+drainIn+a.slack && !delayed {
		a.breaks(Drain, now, id, "to %s, %s for %.0f ms by what its relay was told", server, news.status,
			now-news.at)
	}
	if a.IsSameZone != nil && now >= a.LocalityFrom {
		if a.LocatedAttempts++; a.IsSameZone(l.relay, server) {
			a.LocalAttempts++
		}
	}
	if cold && news.since > 0 && news.since >= a.started[server] { // told of this start, not of a former one
		a.push(now, id, server, capacity, load)
	}
	l.tries = append(l.tries, try{server: server, at: now, dark: a.dark[server]})
}

// push counts what a cold server is sent by relays that know that it is cold. A link is whole, so the
// heaviest one of a window is not too much by itself.
func (a *Auditor) push(now float64, id, server string, capacity, load float64) {
	kept, sum, heaviest := a.pushes[server][:0], load, load
	for _, p := range a.pushes[server] {
		if p.at > now-a.window {
			kept, sum, heaviest = append(kept, p), sum+p.load, max(heaviest, p.load)
		}
	}
	a.pushes[server] = append(kept, push{now, load})
	if sum-heaviest > a.multiple*capacity && now > a.pushedAt[server]+a.window {
		a.pushedAt[server] = now
		a.breaks(SlowStart, now, id, "%s was sent %.2f cores within %.0f ms, and has %.2f", server, sum, a.window,
			capacity)
	}
}

// BackendStarted takes that a server has begun another life, which discovery tells of by that time.
func (a *Auditor) BackendStarted(now float64, server string) {
	a.started[server] = now
	delete(a.pushes, server)
}

// AttemptFinished takes that a try is over for its server.
func (a *Auditor) AttemptFinished(now float64, id, server string) {
	l := a.links[id]
	if l == nil {
		return
	}
	for i := range l.tries {
		if t := &l.tries[i]; t.server == server && t.end == 0 {
			t.end = now
			a.overlap(id, l, i)
			return
		}
	}
}

// overlap looks at a try that has ended beside those that were out meanwhile. A dark server hears of no end.
func (a *Auditor) overlap(id string, l *link, i int) {
	t := l.tries[i]
	for j, other := range l.tries {
		if j == i || t.dark || other.dark {
			continue
		}
		end := t.end
		if other.end > 0 {
			end = min(end, other.end)
			if j > i { // counted when that one ended
				continue
			}
		}
		if both := end - max(t.at, other.at); both > a.slack {
			a.breaks(AtMostOnce, t.end, id, "tries on %s and %s out at once for %.1f ms", t.server, other.server, both)
		}
	}
}

// EffectApplied takes that a server has done what the link asks for.
func (a *Auditor) EffectApplied(now float64, id, server string) {
	l := a.links[id]
	if l == nil {
		return
	}
	if l.took++; l.took > 1 && l.effect == experiment.EffectSingleUse {
		a.breaks(AtMostOnce, now, id, "single-use, and done again on %s", server)
	}
	if at := l.errand.client; *at != "" && l.errand.took == 0 {
		if a.Reconnects++; *at == server {
			a.AffineReconnects++
		}
	}
	*l.errand.client = server
	if l.errand.took++; l.errand.took > 1 && l.took == 1 && l.effect == experiment.EffectSingleUse {
		a.RepeatedEffects++
	}
}

// ClosedByBackend takes that the server ended a link that stood.
func (a *Auditor) ClosedByBackend(_ float64, id, _ string) {
	if l := a.links[id]; l != nil {
		l.closed = true
	}
}

// LineSent takes nothing: what is got is held against its numbers.
func (a *Auditor) LineSent(float64, string, bool, int) {}

// LineReceived takes a numbered line.
func (a *Auditor) LineReceived(now float64, id string, down bool, n int, saidAt float64) {
	a.Lines++
	l := a.links[id]
	if l == nil {
		return
	}
	way := 0
	if down {
		way = 1
	}
	switch want := l.got[way] + 1; {
	case n > want:
		a.breaks(LineDelivery, now, id, "%d lines lost before number %d (down %t)", n-want, n, down)
	case n < want:
		a.breaks(LineDelivery, now, id, "line %d came again (down %t)", n, down)
	case now > saidAt+holdLimit+grace+a.slack && !l.onDark && !l.onFrozen:
		a.breaks(LineDelivery, now, id, "line %d held for %.0f ms (down %t)", n, now-saidAt, down)
	}
	l.got[way] = max(l.got[way], n)
}

// EndpointUpdated takes that news has reached a relay.
func (a *Auditor) EndpointUpdated(now float64, relay int, server, status string, since float64) {
	if a.told[relay] == nil {
		a.told[relay] = map[string]told{}
	}
	was := a.told[relay][server]
	if was.status == status && was.since == since {
		return
	}
	a.told[relay][server] = told{status, now, since}
}

// RelayChanged takes that one has ended, or serves.
func (a *Auditor) RelayChanged(now float64, relay int, up bool) {
	if !up {
		a.lives[relay]++
		a.died[relay] = now
		delete(a.told, relay)
		delete(a.frozen, relay)
	}
}

// RelayFrozen takes that the machine has stopped a relay, or has it go on: what it owed meanwhile is excused for
// good, and what it was told counts from when it can read it. Nothing else is: what it does twice counts.
func (a *Auditor) RelayFrozen(now float64, relay int, frozen bool) {
	a.frozen[relay] = frozen
	for _, l := range a.links {
		if l.relay == relay && l.life == a.lives[relay] && !l.over {
			l.onFrozen = true
		}
	}
	for server, t := range a.told[relay] {
		a.told[relay][server] = told{t.status, max(t.at, now), t.since}
	}
}

// RelayDrained takes that a relay that operators empty may hold nobody any more.
func (a *Auditor) RelayDrained(now float64, relay int) {
	for _, id := range slices.Sorted(maps.Keys(a.links)) {
		l := a.links[id]
		if l.relay == relay && l.life == a.lives[relay] && l.answered == "UP" && !l.over && !l.moved && !l.closed {
			a.breaks(LineDelivery, now, id, "still held by a relay that was to empty itself")
		}
	}
}

// ReplacementRejected takes that a relay that is being replaced has let a client down at the door.
func (a *Auditor) ReplacementRejected(now float64, relay int) {
	a.ReplacementRejections++
	a.breaks(FinalAnswer, now, "-", "relay %d, being replaced, did not let a client in", relay)
}

// BackendUnreachable takes that nothing passes to a server, or again. What stood on it is marked for good.
func (a *Auditor) BackendUnreachable(now float64, server string, dark bool) {
	a.dark[server] = dark
	if !dark {
		a.lit[server] = now
	}
	for _, l := range a.links {
		for i := range l.tries {
			if l.tries[i].server == server {
				l.onDark = true
				l.tries[i].dark = l.tries[i].dark || l.tries[i].end == 0
			}
		}
	}
}

// sweep forgets links that are long over.
func (a *Auditor) sweep(now float64) {
	if now < a.swept+forgetting {
		return
	}
	a.swept = now
	for id, l := range a.links {
		if l.over && now > l.due+forgetting && !slices.ContainsFunc(l.tries,
			func(t try) bool { return t.end == 0 }) {
			delete(a.links, id)
		}
	}
	for name, e := range a.errands {
		if now > e.last+2*forgetting {
			delete(a.errands, name)
		}
	}
}

// Finish looks at what is still out at the end of a run, in the order of the links' ids.
func (a *Auditor) Finish(now float64) {
	var ids []string
	for id := range a.links {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.links[x].asked, a.links[y].asked), cmp.Compare(x, y))
	})
	for _, id := range ids {
		l := a.links[id]
		if l.answered == "" && !l.over && now > l.due+grace+a.slack && !a.excused(l) {
			a.breaks(FinalAnswer, now, id, "no answer at the end of the run")
		}
		for i := range l.tries {
			if l.tries[i].end == 0 {
				l.tries[i].end = now
				a.overlap(id, l, i)
			}
		}
	}
}
