package relay

// This file is the part of the reducer for what outlives a relay: what it keeps of what it knows, and what it
// makes of that at its next start. What of it is believed is decided elsewhere; here it only comes as events.

import (
	"encoding/json"
	"fmt"
	"math"

	"valeshift/balancer"
)

const keptVersion = 1

// Kept is what a relay keeps, for its next life and for others that ask: the list as discovery told it, what
// links and servers weigh in general, and which clients it told to come again when. No load is among it, as
// none is worth anything a second later.
type Kept struct {
	Version    int                     `json:"Version"`
	List       *News                   `json:"List"`     // nil: discovery has told none in this life
	Told       float64                 `json:"Told"`     // clock time at which it last told that the list holds
	Capacity   float64                 `json:"Capacity"` // of a server, microseconds of work a second; 0: not known
	LoadMean   float64                 `json:"LoadMean"`
	Categories map[string]KeptCategory `json:"Categories"`
	Back       map[uint64]float64      `json:"Back"` // clock times, by key

	// Own and Figures are of warm servers: the load of this relay's links there, and the sum of their figures.
	// Of those and of how many links each relay has, what a server bears can be told for the whole fleet.
	Own     float64 `json:"-"`
	Figures float64 `json:"-"`

	// Supposed: nobody who has heard discovery in this life tells the list, so that its servers are held to have
	// just started.
	Supposed bool `json:"-"`
}

// Seen is what others are told of how this relay fares.
type Seen struct {
	Now          float64
	Told         bool // the list, by discovery
	Index        uint64
	Turned       int // clients turned away so far
	Waiting      int // of those, in the last second
	Links        int
	Cold, Usable int     // servers
	Placed       float64 // load that figures may not hold yet
	Dated        float64 // what discovery's clock is ahead of this relay's, to half a second; NaN: not told
}

// Seen is that.
func (r *Reducer) Seen(now float64) Seen {
	cold, usable := r.table.Balancer.Warmth(now)
	return Seen{Now: now, Told: r.confirmed, Index: r.index, Turned: int(r.Rejected), Links: r.links, Cold: cold,
		Usable: usable, Dated: r.dated, Placed: r.table.Balancer.Placed()}
}

// KeptCategory is what links of one category weigh, and how many that stands on.
type KeptCategory struct {
	Load    float64 `json:"Load"`
	Weighed float64 `json:"Weighed"`
}

// Text is what is kept as it is written.
func (k *Kept) Text() ([]byte, error) { return json.Marshal(k) }

// ReadKept reads it, and names what can't be.
func ReadKept(text []byte) (*Kept, error) {
	k := &Kept{}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, fmt.Errorf("kept: %w", err)
	}
	bad := func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }
	if k.Version != keptVersion {
		return nil, fmt.Errorf("kept: version %d expected, got %d", keptVersion, k.Version)
	}
	if bad(k.Capacity) || bad(k.LoadMean) || bad(k.Told) {
		return nil, fmt.Errorf("kept: a figure is no number or negative")
	}
	for name, c := range k.Categories {
		if bad(c.Load) || bad(c.Weighed) {
			return nil, fmt.Errorf("kept: category %q: a figure is no number or negative", name)
		}
	}
	if k.List != nil {
		for _, e := range k.List.Entries {
			if e.Name == "" || e.Address == "" || bad(e.Since) || bad(e.Weight) {
				return nil, fmt.Errorf("kept: list: an entry without name, address or a figure that can be")
			}
		}
	}
	return k, nil
}

// Kept is what this relay would keep now.
func (r *Reducer) Kept() *Kept {
	l := r.table.Balancer.Learnt()
	k := &Kept{Version: keptVersion, Capacity: l.Capacity, LoadMean: l.LoadMean, Own: l.Own,
		Figures: l.Figures, Categories: map[string]KeptCategory{}, Back: r.table.Balancer.Told(r.now)}
	for name, i := range r.categories {
		if i < len(l.Loads) {
			k.Categories[name] = KeptCategory{Load: l.Loads[i], Weighed: l.Weighed[i]}
		}
	}
	if r.confirmed {
		k.List, k.Told = r.listNow(), r.heardAt
	}
	return k
}

// listNow is the list as it is held.
func (r *Reducer) listNow() *News {
	n := &News{Index: r.index, Whole: true}
	for _, b := range r.order {
		if b.condition != balancer.Gone {
			n.Entries = append(n.Entries, b.Entry)
		}
	}
	return n
}

// recall takes what is believed of what was kept. A list counts only until discovery tells one, and its
// servers are held to have just started, as nobody knows better.
func (r *Reducer) recall(k *Kept) {
	l := balancer.Learnt{Capacity: k.Capacity, LoadMean: k.LoadMean, Loads: make([]float64, len(r.categories)),
		Weighed: make([]float64, len(r.categories))}
	for name, i := range r.categories {
		if c, known := k.Categories[name]; known {
			l.Loads[i], l.Weighed[i] = c.Load, c.Weighed
		}
	}
	m := r.table.Balancer
	learnt := m.Recall(l)
	m.Promised(r.now, k.Back)
	listed := 0
	if k.List != nil && !r.confirmed && len(k.List.Entries) > 0 {
		if k.List.Index > r.index { // than the platform's
			listed = len(k.List.Entries)
			index := r.index
			r.apply(&News{Whole: true, Entries: k.List.Entries})
			r.index = index // what discovery tells from there on is asked for
		}
		if k.Supposed {
			m.Suppose(r.now)
		}
		if len(r.order) > 0 {
			r.nowReady() // by hearsay at once, in place of by nothing a second after the start
		}
		if r.watching == 0 { // as the module has just been told a list, it would ask for one late
			r.watch()
		}
	}
	r.note("recalled", "backends", listed, "learnt", learnt, "capacity", math.Round(k.Capacity),
		"told to return",
		len(k.Back))
}

// recovers takes that the whole fleet lost power, or that it has recovered.
func (r *Reducer) recovers(on bool, part float64) {
	r.table.Balancer.Recover(on, part)
	if on != r.recovering {
		r.note("recovery of the fleet", "on", on)
	}
	r.recovering = on
}

// started is when a server started by this relay's own clock.
func (r *Reducer) started(e Entry) float64 {
	if e.Since <= 0 {
		return e.Since
	}
	return e.Since + r.ahead
}

// clocked takes how far this relay's clock is ahead of what the fleet takes for right.
func (r *Reducer) clocked(ahead float64) {
	r.table.Balancer.Shift(ahead - r.ahead)
	r.note("clock", "ahead of the fleet's, ms", math.Round(ahead))
	r.ahead = ahead
}

const (
	asleep   = 1000.0 // that a timer is late by: this process was stopped
	readTime = 150.0  // for what came meanwhile to be read
)

// woken takes that this process was stopped and goes on now. The watch gets the time to say what it has.
func (r *Reducer) woken(now float64) {
	r.note("stopped for a while", "ms", math.Round(now-r.timers[0].at))
	r.table.Balancer.Hush(now + readTime)
	if r.watched.place > 0 && r.watched.at < now+readTime {
		r.arm(&r.watched, now+readTime)
	}
}
