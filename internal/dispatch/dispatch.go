// Package hand keeps the links that a driver has in hand for one relay: it puts them to the module, asks
// again about those held, and asks what is due until nothing is. Both drivers, the wire's and the sockets',
// stand on it, so that the same decisions come of the same news. It decides nothing and knows no wire.
package dispatch

import (
	"math"

	"valeshift/balancer"
)

// Link is the part of a driver's link that stands here; the driver embeds it.
type Link struct {
	balancer.Link
	Round int     // number of the setup try that is out, or was last
	again float64 // when to ask again, while it is held
}

// Hand is the link's own part.
func (l *Link) Hand() *Link { return l }

// Held is a driver's link.
type Held interface {
	comparable
	Hand() *Link
}

// Driver does what the module answers.
type Driver[L Held] interface {
	// Carry does an answer that isn't to hold; after any but a send the link is no longer in hand.
	Carry(l L, a balancer.Answer)
	Probe(id uint32)
	Subscribe()
}

// Module decides. In service it is the balancer package; the testbed compares others with it.
type Module interface {
	Place(now float64, l *balancer.Link) balancer.Answer
	After(now float64, l *balancer.Link, outcome balancer.Outcome, last bool) balancer.Answer
	Next(now float64) balancer.Due

	ListBegan(whole bool)
	Listed(id uint32, zone int, cond balancer.Condition, cell int, started, weight float64)
	ListEnded(now float64)
	ListFailed(now float64)
	Probed(now float64, id uint32, ok bool, report []float64)
	Unasked(id uint32)
	Reported(now float64, id uint32, report []float64)
	Accepted(now float64, l *balancer.Link)
	Weighed(l *balancer.Link, load float64)
	Resumed(now float64, l *balancer.Link, id uint32)
	Adopted(now float64, l *balancer.Link, id uint32, load float64, measured bool)
	Vanished(l *balancer.Link) bool

	Leave(nth, of int, within float64) float64
	Lost(id uint32, quiet float64) bool
	View(id uint32) (links int, heard float64, out bool)
	Knows(category int) bool
	Census() (listed, avoided int)
	Fit(now float64) bool
	Yield(on bool)
	Record(now float64) balancer.Record
	Learnt() balancer.Learnt
	Recall(l balancer.Learnt) bool
	Recover(on bool, part float64)
	Warmth(now float64) (cold, usable int)
	Restart(now float64)
	Suppose(now float64)
	// Shift takes that starts which were told are to be read later by that much.
	Shift(by float64)
	// Hush has links wait until then, those that have the time.
	Hush(until float64)
	// Late takes how old a server's report may be, ms.
	Late(most float64)
	// Placed and Others are the load that figures may not hold yet, of this relay and of the others together.
	Placed() float64
	Others(load float64)
	// Direct has links meant for zones by those parts; Zones gives what was seen of each zone, and this
	// relay's load.
	Direct(parts []balancer.Direction)
	Zones(now float64) (all []balancer.ZoneLook, demand float64)
	Told(now float64) map[uint64]float64
	Promised(now float64, told map[uint64]float64)
	Forgo(key uint64)
	// Ran takes, before the link is placed, that an earlier one of its client's may have run there and then.
	Ran(l *balancer.Link, id uint32, at float64)
	// Prefer takes, before the link is placed, where it or its group stood: a hint.
	Prefer(l *balancer.Link, id uint32)
	Inherit(now float64, r *balancer.Record) error
}

// Table is what one relay has in hand.
type Table[L Held] struct {
	Balancer Module
	driver   Driver[L]
	held     []L
	answered bool // a probe was, for which held links may wait
}

// NewTable joins the module and its driver.
func NewTable[L Held](b Module, driver Driver[L]) *Table[L] {
	return &Table[L]{Balancer: b, driver: driver}
}

// Place asks where the link goes.
func (t *Table[L]) Place(now float64, l L) {
	t.carry(now, l, t.Balancer.Place(now, &l.Hand().Link))
}

// After tells the outcome of a setup try, or of its link, and does what follows.
func (t *Table[L]) After(now float64, l L, outcome balancer.Outcome, last bool) {
	t.carry(now, l, t.Balancer.After(now, &l.Hand().Link, outcome, last))
}

// Probed tells the answer to a probe.
func (t *Table[L]) Probed(now float64, id uint32, ok bool, report []float64) {
	t.answered = true
	t.Balancer.Probed(now, id, ok, report)
}

// Drop has nothing asked about the link again.
func (t *Table[L]) Drop(l L) { l.Hand().again = math.Inf(1) }

func (t *Table[L]) carry(now float64, l L, a balancer.Answer) {
	h := l.Hand()
	h.again = math.Inf(1)
	switch a.Verdict {
	case balancer.Hold:
		h.again = now + a.Wait
		t.held = append(t.held, l)
		return
	case balancer.Send:
		h.Round = a.Round
	}
	t.driver.Carry(l, a)
}

// Drive asks again about held links, has sent what is due, and tells when to look again.
func (t *Table[L]) Drive(now float64) float64 {
	waiting := t.held
	t.held = t.held[len(t.held):]
	for _, l := range waiting {
		if again := l.Hand().again; again <= now || (t.answered && !math.IsInf(again, 1)) {
			t.Place(now, l)
		} else if !math.IsInf(again, 1) {
			t.held = append(t.held, l)
		}
	}
	t.answered = false
	due := t.Balancer.Next(now)
	for ; due.Probing || due.Subscribe; due = t.Balancer.Next(now) {
		if due.Probing {
			t.driver.Probe(due.Probe)
		} else {
			t.driver.Subscribe()
		}
	}
	wake := now + due.Wait
	for _, l := range t.held {
		wake = min(wake, l.Hand().again)
	}
	return wake
}
