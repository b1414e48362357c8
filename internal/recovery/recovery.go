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
	ReadingDisk   Phase = iota // its own disk
	QueryingPeers              // others
	Admitting                  // the fleet recovers from a loss of all
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

// Source is what one source has kept: this relay's disk, or another relay.
type Source struct {
	Name               string // "": the disk
	Snapshot           *relay.Snapshot
	ConfirmedAgoMillis float64 // ms since discovery told its list, in the life that tells it; below 0: in a former one
}

// Peer is another relay as it is heard.
type Peer struct {
	Name                         string
	AgeMillis                    float64 // since its start
	Phase                        Phase
	RejectedLastSecond, Sessions uint32
	Unreachable                  bool // it can be heard, and not be asked yet
}

// DiskResult is what was read, or why nothing was.
type DiskResult struct {
	Snapshot *relay.Snapshot // nil: none
	Fault    string          // it can't be used
}

// Action is something to do.
type Action struct {
	Query string // this relay for what it has kept
	Event relay.Event
	Log   string
}

// Plan is one relay's way from its start to normal.
type Plan struct {
	began  float64
	phase  Phase
	since  float64
	disk   *DiskResult
	alone  bool            // no other relay is named
	asked  map[string]bool // and no answer yet
	tried  map[string]bool // and answered, or failed
	voices []Source
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
		p.disk = &DiskResult{Fault: "none is named"}
	}
	return p
}

// Phase is the one that the relay is in.
func (p *Plan) Phase() Phase { return p.phase }

func (p *Plan) enter(now float64, phase Phase, why string) Action {
	p.phase, p.since, p.why = phase, now, why
	return Action{Log: fmt.Sprintf("phase %s: %s", phase, why)}
}

// ReceiveDisk takes what the disk had.
func (p *Plan) ReceiveDisk(now float64, d DiskResult) []Action {
	late := p.phase > QueryingPeers
	p.disk = &d
	if d.Fault != "" {
		p.left = append(p.left, "disk: "+d.Fault)
	}
	if late && d.Snapshot != nil { // a hint is one however late it comes; its list is not
		k := *d.Snapshot
		k.Endpoints = nil
		p.took = append(p.took, "what was learnt, from the disk, late")
		return []Action{{Event: relay.StateRestored{Snapshot: &k}}}
	}
	return nil
}

// ReceiveAnswer takes what another relay has kept, or why it does not say.
func (p *Plan) ReceiveAnswer(v Source, why string) {
	delete(p.asked, v.Name)
	p.tried[v.Name] = true
	if why != "" {
		p.left = append(p.left, v.Name+": "+why)
		return
	}
	p.voices = append(p.voices, v)
}

// Advance goes on, by the relays that are heard now and what this one sees itself.
func (p *Plan) Advance(now float64, others []Peer, seen relay.Status) (acts []Action) {
	p.told = seen.EndpointsConfirmed
	if p.phase == ReadingDisk && (p.disk != nil || now >= p.began+readTime) {
		why := "the disk has been read"
		if p.disk == nil {
			why = "the disk takes too long"
		}
		acts = append(acts, p.enter(now, QueryingPeers, why))
	}
	if p.phase == QueryingPeers {
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
func (p *Plan) ask(now float64, others []Peer) (acts []Action) {
	old := slices.Clone(others)
	slices.SortFunc(old, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.AgeMillis, a.AgeMillis), cmp.Compare(a.Name, b.Name))
	})
	for _, o := range old {
		if !o.Unreachable && !p.asked[o.Name] && !p.tried[o.Name] && len(p.asked)+len(p.voices) < mostAsked {
			p.asked[o.Name] = true
			acts = append(acts, Action{Query: o.Name})
		}
	}
	return acts
}

// enough tells whether nothing more is waited for: the bound of all waiting is here.
func (p *Plan) enough(now float64, others []Peer) bool {
	switch {
	case now >= p.began+askTime, p.alone:
		return true
	case len(others) == 0:
		return now >= p.began+hearTime
	}
	return len(p.asked) == 0 && len(p.tried) >= min(len(others), mostAsked)
}

// believe decides what was a loss of all and what holds, and ends the asking.
func (p *Plan) believe(now float64, others []Peer) []Action {
	p.whole, p.why = DetectFullOutage(others)
	own := Source{ConfirmedAgoMillis: -1}
	if p.disk != nil {
		own.Snapshot = p.disk.Snapshot
	}
	kept, took, left := Reconcile(own, p.voices, p.whole)
	p.took, p.left = append(p.took, took...), append(p.left, left...)
	next := Normal
	if p.whole {
		next = Admitting
	}
	acts := []Action{p.enter(now, next, p.why)}
	if kept != nil {
		acts = append(acts, Action{Event: relay.StateRestored{Snapshot: kept}})
	}
	return acts
}

// DetectFullOutage tells a loss of the whole fleet from this relay's own restart, by how long the others have run. With
// nobody to be heard it is held to be whole: what follows of that is the more careful.
func DetectFullOutage(others []Peer) (whole bool, why string) {
	young := 0
	for _, o := range others {
		if o.AgeMillis < youngAge || o.Phase != Normal {
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

// Reconcile makes one of what the disk and the others have kept. Loads are not among it: none is worth
// anything.
func Reconcile(disk Source, voices []Source, whole bool) (kept *relay.Snapshot, took, left []string) {
	all := voices
	if disk.Snapshot != nil {
		all = append([]Source{disk}, voices...)
	}
	if len(all) == 0 {
		return nil, nil, nil
	}
	kept = &relay.Snapshot{Classes: map[string]relay.ClassLoad{}}
	var from string
	if kept.Endpoints, kept.EndpointsAssumed, from, left = list(all, whole); kept.Endpoints != nil {
		took = append(took, fmt.Sprintf("%d servers, from %s", len(kept.Endpoints.Endpoints), from))
	}
	if v, more := middle(all); v != nil {
		kept.Capacity, kept.MeanLoad, kept.Classes = v.Snapshot.Capacity, v.Snapshot.MeanLoad, v.Snapshot.Classes
		took, left = append(took, "what servers bear, from "+named(*v)), append(left, more...)
	}
	if disk.Snapshot != nil { // promises of this relay: nobody else's clients come to it by them
		kept.RetryAt = disk.Snapshot.RetryAt
	}
	return kept, took, left
}

func named(v Source) string { return cmp.Or(v.Name, "the disk") }

// list takes the list that discovery told latest. One told in the life of who tells it, just now, is as good
// as discovery's own; any other only says where servers were. Of what several say of a server the strictest
// holds: one that any of them has as leaving gets nothing new until discovery tells.
func list(all []Source, whole bool) (n *relay.EndpointUpdate, supposed bool, from string, left []string) {
	var best *Source
	better := func(a, b *Source) bool {
		af, bf := a.ConfirmedAgoMillis >= 0 && a.ConfirmedAgoMillis < freshList, b.ConfirmedAgoMillis >= 0 && b.ConfirmedAgoMillis < freshList
		switch {
		case af != bf:
			return af
		case af:
			return a.ConfirmedAgoMillis < b.ConfirmedAgoMillis
		}
		return a.Snapshot.Endpoints.Index > b.Snapshot.Endpoints.Index
	}
	for i := range all {
		if v := &all[i]; v.Snapshot.Endpoints != nil && len(v.Snapshot.Endpoints.Endpoints) > 0 && (best == nil || better(v, best)) {
			best = v
		}
	}
	if best == nil {
		return nil, false, "", nil
	}
	fresh := best.ConfirmedAgoMillis >= 0 && best.ConfirmedAgoMillis < freshList
	strict := map[string]bool{}
	for _, v := range all {
		if v.Snapshot.Endpoints == nil || fresh {
			continue
		}
		for _, e := range v.Snapshot.Endpoints.Endpoints {
			strict[e.Name] = strict[e.Name] || e.Status != "active"
		}
	}
	n = &relay.EndpointUpdate{Index: best.Snapshot.Endpoints.Index, Complete: true}
	for _, e := range best.Snapshot.Endpoints.Endpoints {
		if strict[e.Name] && e.Status == "active" {
			e.Status = "leaving"
			left = append(left, e.Name+": another relay has it as leaving")
		}
		n.Endpoints = append(n.Endpoints, e)
	}
	return n, !fresh, named(*best), left
}

// middle is the voice in the middle by what it says a server bears; the disk's own where that is near it.
// Against one that lies, or has kept another fleet's: it moves the middle by a place.
func middle(all []Source) (*Source, []string) {
	var some []*Source
	for i := range all {
		if all[i].Snapshot.Capacity > 0 && all[i].Snapshot.MeanLoad > 0 {
			some = append(some, &all[i])
		}
	}
	if len(some) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(some, func(a, b *Source) int { return cmp.Compare(a.Snapshot.Capacity, b.Snapshot.Capacity) })
	mid := some[(len(some)-1)/2] // of two the lower: it asks less of cold servers
	var left []string
	for _, v := range some {
		c := v.Snapshot.Capacity
		if c > farOff*mid.Snapshot.Capacity || c < mid.Snapshot.Capacity/farOff {
			left = append(left, fmt.Sprintf("%s: says that a server bears %.0f, the middle is %.0f", named(*v), c,
				mid.Snapshot.Capacity))
		} else if v.Name == "" {
			mid = v
		}
	}
	return mid, left
}

// admit has this relay take its part of what cold servers bear, by how many clients wait at each, until the
// servers are warm.
func (p *Plan) admit(now float64, others []Peer, seen relay.Status) []Action {
	warm := seen.EndpointsConfirmed && seen.Usable > 0 && 2*seen.WarmingUp <= seen.Usable
	if now >= p.since+mostAdmit || (warm && now >= p.since+leastAdmit) {
		why := "the servers are warm"
		if !warm {
			why = "it has taken long enough"
		}
		p.part = 0
		return []Action{p.enter(now, Normal, why), {Event: relay.RecoveryChanged{}}}
	}
	all, present := float64(seen.RejectedLastSecond)+1, 1.0
	for _, o := range others {
		if o.Phase >= Admitting {
			all, present = all+float64(o.RejectedLastSecond)+1, present+1
		}
	}
	// Against parts that follow each wave of clients, who come back to another relay than they left.
	part := byNumber/present + (1-byNumber)*(float64(seen.RejectedLastSecond)+1)/all
	if part == p.part {
		return nil
	}
	p.part = part
	return []Action{{Event: relay.RecoveryChanged{CapacityShare: part, Recovering: true}}}
}

// Status is what operators are told.
type Status struct {
	Phase              string   `json:"Phase"`
	Reason             string   `json:"Why"`
	PhaseMillis        float64  `json:"For"`   // ms in this phase
	FullOutage         bool     `json:"Whole"` // the start is held to be one of the whole fleet
	CapacityShare      float64  `json:"Part"`  // of what cold servers bear, that this relay would take
	Accepted           []string `json:"Took"`
	Discarded          []string `json:"Left"`
	EndpointsConfirmed bool     `json:"ListTold"` // by discovery, in this life
	PendingAnswers     int      `json:"Waited"`   // answers that are out
	Answers            int      `json:"All"`      // and that came
}

// Status is how things stand.
func (p *Plan) Status(now float64) Status {
	return Status{Phase: p.phase.String(), Reason: p.why, PhaseMillis: now - p.since, FullOutage: p.whole, CapacityShare: p.part,
		Accepted: p.took, Discarded: p.left, EndpointsConfirmed: p.told, PendingAnswers: len(p.asked), Answers: len(p.voices)}
}
