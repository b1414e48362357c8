package balancer

import (
	"errors"
	"math"
)

// This file is what one process of a relay leaves to the next: what it has learnt, none of what it has in
// hand. Neither decides anything; a test holds that the next decides as this one would.

// Record is what a balancer has learnt. Times are clock times; -1 stands for none.
type Record struct {
	At       float64            `json:"At"`
	Servers  []ServerRecord     `json:"Servers"`
	Loads    []float64          `json:"Loads"`   // by category
	Weighed  []float64          `json:"Weighed"` // by category
	LoadMean float64            `json:"LoadMean"`
	Known    float64            `json:"Known"`
	Guessed  float64            `json:"Guessed"`
	Listed   float64            `json:"Listed"`
	Stood    float64            `json:"Stood"`
	Over     float64            `json:"Over"`
	AsOf     float64            `json:"AsOf"`
	Width    float64            `json:"Width"`
	CutAt    float64            `json:"CutAt"`
	Asked    float64            `json:"Asked"`
	Slot     float64            `json:"Slot"` // of the budget; -1: none
	Taken    []float64          `json:"Taken"`
	More     []float64          `json:"More"`
	Ended    map[uint64]float64 `json:"Ended"`
}

// ServerRecord is what it has learnt of one server.
type ServerRecord struct {
	ID       uint32         `json:"ID"`
	Started  float64        `json:"Started"`
	Load     float64        `json:"Load"`
	HeardAt  float64        `json:"HeardAt"`
	AskedAt  float64        `json:"AskedAt"`
	WarmFrom float64        `json:"WarmFrom"`
	Failed   int            `json:"Failed"`
	Lost     bool           `json:"Lost"`
	Against  float64        `json:"Against"`
	Placed   []PlacedRecord `json:"Placed"` // of late
}

// PlacedRecord is a link sent to a server that its figure may not hold yet.
type PlacedRecord struct {
	At   float64 `json:"At"`
	Load float64 `json:"Load"`
}

const mostEnded = 4096 // keys whose links' loads are left, against a record without bound

// none has a value that is not there go as -1, which JSON can say.
func none(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return -1
	}
	return x
}

func some(x, otherwise float64) float64 {
	if x == -1 {
		return otherwise
	}
	return x
}

// Record gives what was learnt until now.
func (b *Balancer) Record(now float64) Record {
	b.health.fade(now)
	e, s, p := b.effects, b.shares, b.probing
	r := Record{At: now, Loads: append([]float64{}, s.loads...), Weighed: append([]float64{}, s.weighed...),
		LoadMean: s.loadMean, Known: s.known, Guessed: b.guessed, Listed: b.listed, Stood: e.stood, Over: e.over,
		AsOf: e.asOf, Width: e.width, CutAt: e.cutAt, Asked: b.warmup.asked, Ended: map[uint64]float64{}}
	if budget := e.budget; budget != nil {
		r.Slot = none(budget.at)
		r.Taken, r.More = append(r.Taken, budget.taken[:]...), append(r.More, budget.more[:]...)
	}
	for i, id := range b.ids {
		if b.condition[i] == Gone {
			continue
		}
		one := ServerRecord{ID: id, Started: b.started[i], Load: none(p.load[i]), HeardAt: none(p.heardAt[i]),
			AskedAt: none(p.askedAt[i]), WarmFrom: none(b.warmup.since[i]), Failed: b.health.failed[i],
			Lost: b.health.lost[i], Against: b.health.against[i]}
		for _, x := range p.since[i] {
			one.Placed = append(one.Placed, PlacedRecord{x.at, x.load})
		}
		r.Servers = append(r.Servers, one)
	}
	for _, half := range []map[uint64]float64{s.ended.recent, s.ended.older} {
		for key, load := range half {
			if _, there := r.Ended[key]; !there && len(r.Ended) < mostEnded {
				r.Ended[key] = load
			}
		}
	}
	return r
}

// check says what of a record can't be.
func (r *Record) check(categories int) error {
	bad := func(all ...float64) bool {
		for _, x := range all {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				return true
			}
		}
		return false
	}
	switch {
	case len(r.Taken) != len(r.More) || (len(r.Taken) != 0 && len(r.Taken) != slots+1) || bad(r.Taken...) ||
		bad(r.More...) || bad(some(r.Slot, 0)):
		return errors.New("record: the budget's slots can't be")
	case len(r.Loads) != categories || len(r.Weighed) != categories:
		return errors.New("record: its categories are others")
	case bad(r.Loads...) || bad(r.Weighed...) || bad(r.LoadMean, r.Known, r.Guessed, r.Listed, r.Stood, r.Over,
		r.AsOf, r.Width, r.CutAt, r.Asked, r.At):
		return errors.New("record: a figure is no number or negative")
	}
	for _, s := range r.Servers {
		times := bad(s.Started, some(s.HeardAt, 0), some(s.AskedAt, 0), some(s.WarmFrom, 0))
		if times || bad(some(s.Load, 0), s.Against) || s.Against > 1 || s.Failed < 0 {
			return errors.New("record: a server's figure is no number or negative")
		}
		for _, x := range s.Placed {
			if bad(x.At, x.Load) {
				return errors.New("record: a placed link's figure is no number or negative")
			}
		}
	}
	for _, load := range r.Ended {
		if bad(load) {
			return errors.New("record: an ended link's load is no number or negative")
		}
	}
	return nil
}

// Inherit takes what another process of this relay has learnt, of those servers that are the same still; a
// record that can't be is refused whole.
func (b *Balancer) Inherit(now float64, r *Record) error {
	if err := r.check(len(b.effects.categories)); err != nil {
		return err
	}
	b.health.fade(now)
	e, s, p := b.effects, b.shares, b.probing
	copy(s.loads, r.Loads)
	copy(s.weighed, r.Weighed)
	s.loadMean, s.known, b.guessed, b.listed = r.LoadMean, r.Known, r.Guessed, r.Listed
	e.stood, e.over, e.asOf, e.width, e.cutAt = r.Stood, r.Over, min(r.AsOf, now), r.Width, r.CutAt
	if e.budget != nil && len(r.Taken) > 0 {
		e.budget.at = some(r.Slot, math.Inf(-1))
		copy(e.budget.taken[:], r.Taken)
		copy(e.budget.more[:], r.More)
	}
	// What the other has saved up for cold servers it has not handed out since, and neither is it given twice.
	b.warmup.asked = max(min(r.Asked, now), r.At)
	for key, load := range r.Ended {
		s.ended.keep(now, keyMemory, key, load)
	}
	for _, one := range r.Servers {
		i, known := b.index[one.ID]
		if !known || b.started[i] != one.Started {
			continue
		}
		p.load[i], p.heardAt[i] = some(one.Load, math.NaN()), some(one.HeardAt, math.Inf(-1))
		p.askedAt[i] = some(one.AskedAt, math.Inf(-1))
		b.health.failed[i], b.health.lost[i] = one.Failed, one.Lost
		b.health.usual += (one.Against - b.health.against[i]) / float64(len(b.ids))
		b.health.against[i] = one.Against
		if one.WarmFrom >= 0 {
			b.chill(i, one.WarmFrom)
		}
		p.since[i] = p.since[i][:0]
		for _, x := range one.Placed {
			p.since[i] = append(p.since[i], placed{x.At, x.Load})
		}
		p.outdate(i, p.heardAt[i]-p.lag)
		b.touch(i)
	}
	b.turns.expire()
	return nil
}
