// Package recovery decides what a relay that has just started believes, whom it asks, and when it serves as
// always again. It knows no disk, socket, clock or log: what was read and heard comes in with its time, and
// what is to be done goes out. Nothing here waits for anybody beyond a bound: from the start on, the phases
// end by themselves whatever comes or doesn't.
package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"valeshift/internal/relay"
)

// Phase is how far a relay is from its start.
type Phase uint8

// The phases, in their order. In every one of them links are served by what is known so far.
const (
	Reading   Phase = iota // its own disk
	Asking                 // others
	Admitting              // the fleet recovers from a loss of all
	Normal
)

func (p Phase) String() string { return [...]string{"reading", "asking", "admitting", "normal"}[p] }

const (
	readTime  = 400.0   // for the disk; what comes later still counts as a hint, and its orders as orders
	hearTime  = 700.0   // from the start, for the first other relay to be heard
	askTime   = 1000.0  // from the start, for answers
	mostAsked = 4       // relays
	youngAge  = 15000.0 // a relay whose life is shorter was started in the same trouble
	freshList = 15000.0 // a list that discovery told so lately, in the life that tells of it, is no hearsay
	// times the middle of what all say a server bears, beyond which one voice is not followed
	farOff = 2.0
	// of the budget of cold servers, that goes to all relays alike; the rest by who waits there
	byNumber   = 0.75
	leastAdmit = 2000.0
	mostAdmit  = 60000.0 // after which the fleet is held to have recovered, whatever is seen
)

// Voice is what one source has kept: this relay's disk, or another relay.
type Voice struct {
	From    string // "": the disk
	Kept    *relay.Kept
	ToldAgo float64 // ms since discovery told its list, in the life that tells it; below 0: in a former one
}

// Other is another relay as it is heard.
type Other struct {
	Name           string
	Age            float64 // since its start
	Phase          Phase
	Waiting, Links uint32
	Mute           bool // it can be heard, and not be asked yet
}

// Disk is what was read, or why nothing was.
type Disk struct {
	Kept *relay.Kept // nil: none
	Why  string      // it can't be used
}

// Act is something to do.
type Act struct {
	Ask  string // this relay for what it has kept
	Tell *relay.Event
	Note string
}

// Plan is one relay's way from its start to normal.
type Plan struct {
	began  float64
	phase  Phase
	since  float64
	disk   *Disk
	alone  bool            // no other relay is named
	asked  map[string]bool // and no answer yet
	tried  map[string]bool // and answered, or failed
	voices []Voice
	whole  bool
	why    string
	took   []string // what was believed, and from whom
	left   []string // what was not, and why
	part   float64
	told   bool
}

// New starts at that time; with no others named, and no disk, it is over at once.
func New(now float64, disk, others bool) *Plan {
	p := &Plan{began: now, since: now, alone: !others, asked: map[string]bool{}, tried: map[string]bool{},
		why: "just started"}
	if !disk {
		p.disk = &Disk{Why: "none is named"}
	}
	return p
}

// Phase is the one that the relay is in.
func (p *Plan) Phase() Phase { return p.phase }

func (p *Plan) enter(now float64, phase Phase, why string) Act {
	p.phase, p.since, p.why = phase, now, why
	return Act{Note: fmt.Sprintf("phase %s: %s", phase, why)}
}

// Read takes what the disk had.
func (p *Plan) Read(now float64, d Disk) []Act {
	late := p.phase > Asking
	p.disk = &d
	if d.Why != "" {
		p.left = append(p.left, "disk: "+d.Why)
	}
	if late && d.Kept != nil { // a hint is one however late it comes; its list is not
		k := *d.Kept
		k.List = nil
		p.took = append(p.took, "what was learnt, from the disk, late")
		return []Act{{Tell: &relay.Event{Kind: relay.Recalled, Kept: &k}}}
	}
	return nil
}

// Answered takes what another relay has kept, or why it does not say.
func (p *Plan) Answered(v Voice, why string) {
	delete(p.asked, v.From)
	p.tried[v.From] = true
	if why != "" {
		p.left = append(p.left, v.From+": "+why)
		return
	}
	p.voices = append(p.voices, v)
}

// Look goes on, by the relays that are heard now and what this one sees itself.
func (p *Plan) Look(now float64, others []Other, seen relay.Seen) (acts []Act) {
	p.told = seen.Told
	if p.phase == Reading && (p.disk != nil || now >= p.began+readTime) {
		why := "the disk has been read"
		if p.disk == nil {
			why = "the disk takes too long"
		}
		acts = append(acts, p.enter(now, Asking, why))
	}
	if p.phase == Asking {
		acts = append(acts, p.ask(now, others)...)
		if p.enough(now, others) {
			acts = append(acts, p.believe(now, others)...)
		}
	}
	if p.phase == Admitting {
		acts = append(acts, p.admit(now, others, seen)...)
	}
	return acts
}

// ask asks those that have run for longest, as they know most.
func (p *Plan) ask(now float64, others []Other) (acts []Act) {
	old := slices.Clone(others)
	slices.SortFunc(old, func(a, b Other) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Name, b.Name))
	})
	for _, o := range old {
		if !o.Mute && !p.asked[o.Name] && !p.tried[o.Name] && len(p.asked)+len(p.voices) < mostAsked {
			p.asked[o.Name] = true
			acts = append(acts, Act{Ask: o.Name})
		}
	}
	return acts
}

// enough tells whether nothing more is waited for: the bound of all waiting is here.
func (p *Plan) enough(now float64, others []Other) bool {
	switch {
	case now >= p.began+askTime, p.alone:
		return true
	case len(others) == 0:
		return now >= p.began+hearTime
	}
	return len(p.asked) == 0 && len(p.tried) >= min(len(others), mostAsked)
}

// believe decides what was a loss of all and what holds, and ends the asking.
func (p *Plan) believe(now float64, others []Other) []Act {
	p.whole, p.why = Whole(others)
	own := Voice{ToldAgo: -1}
	if p.disk != nil {
		own.Kept = p.disk.Kept
	}
	kept, took, left := Believe(own, p.voices, p.whole)
	p.took, p.left = append(p.took, took...), append(p.left, left...)
	next := Normal
	if p.whole {
		next = Admitting
	}
	acts := []Act{p.enter(now, next, p.why)}
	if kept != nil {
		acts = append(acts, Act{Tell: &relay.Event{Kind: relay.Recalled, Kept: kept}})
	}
	return acts
}

// Whole tells a loss of the whole fleet from this relay's own restart, by how long the others have run. With
// nobody to be heard it is held to be whole: what follows of that is the more careful.
func Whole(others []Other) (whole bool, why string) {
	young := 0
	for _, o := range others {
		if o.Age < youngAge || o.Phase != Normal {
			young++
		}
	}
	switch {
	case len(others) == 0:
		return true, "no other relay is heard"
	case 2*young > len(others):
		return true, fmt.Sprintf("%d of %d others have just started too", young, len(others))
	}
	return false, fmt.Sprintf("%d of %d others have run for long: only this one restarted", len(others)-young,
		len(others))
}

// Believe makes one of what the disk and the others have kept. Loads are not among it: none is worth
// anything.
func Believe(disk Voice, voices []Voice, whole bool) (kept *relay.Kept, took, left []string) {
	all := voices
	if disk.Kept != nil {
		all = append([]Voice{disk}, voices...)
	}
	if len(all) == 0 {
		return nil, nil, nil
	}
	kept = &relay.Kept{Categories: map[string]relay.KeptCategory{}}
	var from string
	if kept.List, kept.Supposed, from, left = list(all, whole); kept.List != nil {
		took = append(took, fmt.Sprintf("%d servers, from %s", len(kept.List.Entries), from))
	}
	if v, more := middle(all); v != nil {
		kept.Capacity, kept.LoadMean, kept.Categories = v.Kept.Capacity, v.Kept.LoadMean, v.Kept.Categories
		took, left = append(took, "what servers bear, from "+named(*v)), append(left, more...)
	}
	if disk.Kept != nil { // promises of this relay: nobody else's clients come to it by them
		kept.Back = disk.Kept.Back
	}
	return kept, took, left
}

func named(v Voice) string { return cmp.Or(v.From, "the disk") }

// list takes the list that discovery told latest. One told in the life of who tells it, just now, is as good
// as discovery's own; any other only says where servers were. Of what several say of a server the strictest
// holds: one that any of them has as leaving gets nothing new until discovery tells.
func list(all []Voice, whole bool) (n *relay.News, supposed bool, from string, left []string) {
	var best *Voice
	better := func(a, b *Voice) bool {
		af, bf := a.ToldAgo >= 0 && a.ToldAgo < freshList, b.ToldAgo >= 0 && b.ToldAgo < freshList
		switch {
		case af != bf:
			return af
		case af:
			return a.ToldAgo < b.ToldAgo
		}
		return a.Kept.List.Index > b.Kept.List.Index
	}
	for i := range all {
		if v := &all[i]; v.Kept.List != nil && len(v.Kept.List.Entries) > 0 && (best == nil || better(v, best)) {
			best = v
		}
	}
	if best == nil {
		return nil, false, "", nil
	}
	fresh := best.ToldAgo >= 0 && best.ToldAgo < freshList
	strict := map[string]bool{}
	for _, v := range all {
		if v.Kept.List == nil || fresh {
			continue
		}
		for _, e := range v.Kept.List.Entries {
			strict[e.Name] = strict[e.Name] || e.Status != "active"
		}
	}
	n = &relay.News{Index: best.Kept.List.Index, Whole: true}
	for _, e := range best.Kept.List.Entries {
		if strict[e.Name] && e.Status == "active" {
			e.Status = "leaving"
			left = append(left, e.Name+": another relay has it as leaving")
		}
		n.Entries = append(n.Entries, e)
	}
	return n, !fresh, named(*best), left
}

// middle is the voice in the middle by what it says a server bears; the disk's own where that is near it.
// Against one that lies, or has kept another fleet's: it moves the middle by a place.
func middle(all []Voice) (*Voice, []string) {
	var some []*Voice
	for i := range all {
		if all[i].Kept.Capacity > 0 && all[i].Kept.LoadMean > 0 {
			some = append(some, &all[i])
		}
	}
	if len(some) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(some, func(a, b *Voice) int { return cmp.Compare(a.Kept.Capacity, b.Kept.Capacity) })
	mid := some[(len(some)-1)/2] // of two the lower: it asks less of cold servers
	var left []string
	for _, v := range some {
		c := v.Kept.Capacity
		if c > farOff*mid.Kept.Capacity || c < mid.Kept.Capacity/farOff {
			left = append(left, fmt.Sprintf("%s: says that a server bears %.0f, the middle is %.0f", named(*v), c,
				mid.Kept.Capacity))
		} else if v.From == "" {
			mid = v
		}
	}
	return mid, left
}

// admit has this relay take its part of what cold servers bear, by how many clients wait at each, until the
// servers are warm.
func (p *Plan) admit(now float64, others []Other, seen relay.Seen) []Act {
	warm := seen.Told && seen.Usable > 0 && 2*seen.Cold <= seen.Usable
	if now >= p.since+mostAdmit || (warm && now >= p.since+leastAdmit) {
		why := "the servers are warm"
		if !warm {
			why = "it has taken long enough"
		}
		p.part = 0
		return []Act{p.enter(now, Normal, why), {Tell: &relay.Event{Kind: relay.Recovers, Off: true}}}
	}
	all, present := float64(seen.Waiting)+1, 1.0
	for _, o := range others {
		if o.Phase >= Admitting {
			all, present = all+float64(o.Waiting)+1, present+1
		}
	}
	// Against parts that follow each wave of clients, who come back to another relay than they left.
	part := byNumber/present + (1-byNumber)*(float64(seen.Waiting)+1)/all
	if part == p.part {
		return nil
	}
	p.part = part
	return []Act{{Tell: &relay.Event{Kind: relay.Recovers, Part: part}}}
}

// Status is what operators are told.
type Status struct {
	Phase    string   `json:"Phase"`
	Why      string   `json:"Why"`
	For      float64  `json:"For"`   // ms in this phase
	Whole    bool     `json:"Whole"` // the start is held to be one of the whole fleet
	Part     float64  `json:"Part"`  // of what cold servers bear, that this relay would take
	Took     []string `json:"Took"`
	Left     []string `json:"Left"`
	ListTold bool     `json:"ListTold"` // by discovery, in this life
	Waited   int      `json:"Waited"`   // answers that are out
	All      int      `json:"All"`      // and that came
}

// Status is how things stand.
func (p *Plan) Status(now float64) Status {
	return Status{Phase: p.phase.String(), Why: p.why, For: now - p.since, Whole: p.whole, Part: p.part,
		Took: p.took, Left: p.left, ListTold: p.told, Waited: len(p.asked), All: len(p.voices)}
}
