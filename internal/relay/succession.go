package relay

// This file is the part of the reducer for two processes of one relay on a socket that the platform holds:
// what the elder leaves to the younger, and how both keep to the limits of one. It must never decide which of
// them serves, as that is the platform's, or how fast links go, as that is the module's.

import (
	"encoding/json"
	"fmt"
	"math"

	"valeshift/balancer"
)

const (
	handoverVersion = 1
	handoverAge     = 10000.0 // above which what was left says nothing of now
	fitTime         = 2500.0  // for the younger to become fit; the platform gives six seconds from its start
	besideFiles     = 18      // descriptors of a process that has no connection: 13 idle, the watch, the way
)

// Handover is what the elder process leaves to the younger. Fields that are not known are passed over, so
// that one of the same version may gain some; a change of their meaning is another version.
type Handover struct {
	Version int             `json:"Version"`
	At      float64         `json:"At"`
	List    *News           `json:"List"`
	Module  balancer.Record `json:"Module"`
	Names   []string        `json:"Names"` // of the module's servers, in its order
	Files   int             `json:"Files"` // descriptors that the elder keeps to, what it needs besides connections included
	Links   int             `json:"Links"` // and links
}

// ReadHandover reads what was left, and says why it can't be used.
func ReadHandover(text []byte, now float64) (*Handover, error) {
	h := &Handover{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	switch {
	case h.Version != handoverVersion:
		return nil, fmt.Errorf("handover: version %d expected, got %d", handoverVersion, h.Version)
	case !(h.At <= now+handoverAge && h.At >= now-handoverAge):
		return nil, fmt.Errorf("handover: of %.0f ms ago, %v at the most", now-h.At, handoverAge)
	case h.List == nil || len(h.Names) != len(h.Module.Servers) || h.Files < 0 || h.Links < 0:
		return nil, fmt.Errorf("handover: a field is missing or wrong")
	}
	h.List.Whole = true
	return h, nil
}

// handover is what this process knows now.
func (r *Reducer) handover() *Handover {
	h := &Handover{Version: handoverVersion, At: r.now, List: r.listNow(),
		Module: r.table.Balancer.Record(r.now), Files: r.most + r.besides(), Links: min(r.mostHeld, math.MaxInt32)}
	kept := h.Module.Servers[:0]
	for _, s := range h.Module.Servers {
		if b := r.byID[s.ID]; b != nil {
			kept, h.Names = append(kept, s), append(h.Names, b.Name)
		}
	}
	h.Module.Servers = kept
	return h
}

// begins takes the list told at the start, or the elder's where that is newer, and what the elder has learnt.
// Against two lists in a row: the second would be discovery's to the module, which then asks for none.
func (r *Reducer) begins(known *News) {
	if r.left != nil && r.left.List.Index >= known.Index {
		known = r.left.List
	}
	r.apply(known)
	if r.left == nil {
		return
	}
	if err := r.inherit(r.left); err != nil {
		r.note("what the elder process left is passed over", "why", err.Error())
	}
}

func (r *Reducer) inherit(h *Handover) error {
	record := h.Module
	record.Servers = nil
	for i, s := range h.Module.Servers {
		if b := r.backends[h.Names[i]]; b != nil {
			s.ID = b.id
			record.Servers = append(record.Servers, s)
		}
	}
	if err := r.table.Balancer.Inherit(r.now, &record); err != nil {
		return err
	}
	r.note("took over what the elder process knew", "age ms", math.Round(r.now-h.At), "backends",
		len(record.Servers))
	return nil
}

// beside takes which other processes of this relay are alive.
func (r *Reducer) beside(e Event) {
	if e.Younger != r.younger {
		r.note("younger process", "there", e.Younger)
		r.younger = e.Younger
		r.table.Balancer.Yield(e.Younger) // it has the budgets from here on
		if e.Younger {
			r.Subscribe()
		}
	}
	if e.Elder != r.elder {
		r.note("elder process", "there", e.Elder)
		r.elder = e.Elder
	}
	r.share()
	if !e.Elder && !e.Younger && len(r.dismissed) > 0 {
		r.watch() // what another process was told holds until discovery tells this one
	}
	if e.Younger && e.Leave {
		r.do(Effect{Do: Bequeath, Left: r.handover()})
	}
}

// confided takes the list that another process of this relay was told, as far as that is stricter than this
// one's: servers that are to get nothing new, or have restarted. Against a discovery that tells one of the
// two late: to who drains a server both are one relay.
func (r *Reducer) confided(n *News) {
	if !r.younger && !r.elder {
		return
	}
	told := map[string]Entry{}
	for _, e := range n.Entries {
		told[e.Name] = e
	}
	was := r.dismissed
	r.dismissed = map[string]bool{}
	var changed []Entry
	for _, b := range r.order {
		e, there := told[b.Name]
		dismissed := !there || e.Status != "active"
		if dismissed {
			r.dismissed[b.Name] = true
		}
		if dismissed || was[b.Name] {
			e = b.Entry
		}
		if e.Since > b.Since || dismissed != was[b.Name] {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		r.apply(&News{Index: r.index, Entries: changed})
	}
}

// besides is what another process needs for itself.
func (r *Reducer) besides() int { return besideFiles + r.reserve - spareFiles }

// share holds this process to its part of the descriptors and links while there is another: to what it has,
// or half of what there is where that is more; the younger to the rest. What is kept for dials and the like
// is there once for both.
func (r *Reducer) share() {
	files, links := r.files, r.allHeld
	half := (files - r.besides()) / 2
	switch {
	case r.younger:
		if files < math.MaxInt {
			files = min(max(half, len(r.ends)), files)
		}
		links = max(links/2, r.links)
	case r.elder && r.left != nil:
		if files < math.MaxInt {
			files -= min(r.left.Files, files)
		}
		links -= min(r.left.Links, links)
	case r.elder:
		if files < math.MaxInt {
			files = half
		}
		links /= 2
	}
	if r.elder { // however little the elder leaves
		files, links = max(files, fewHeads+perLink), max(links, 1)
	}
	r.most, r.mostHeld = files, links
	r.room = r.most
	if r.most < math.MaxInt {
		r.room -= r.mostMute()
	}
}

// Passed is a link that stands, on its way from one process of the relay to another. The two may be of
// different versions of the program, so that all is by name and the younger refuses what it doesn't know.
type Passed struct {
	Version  int     `json:"Version"`
	ID       string  `json:"ID"`
	Category string  `json:"Category"`
	Party    string  `json:"Party"`
	Key      uint64  `json:"Key"`
	Group    uint64  `json:"Group"`
	Backend  string  `json:"Backend"`
	Load     float64 `json:"Load"`
	Measured bool    `json:"Measured"`
	Tail     []byte  `json:"Tail"`   // of a line whose end the backend has not sent yet
	Waits    bool    `json:"Waits"`  // a line of the client's waits for its answer
	Leaves   float64 `json:"Leaves"` // in so many milliseconds, as its backend goes; -1: it stays
	Files    int     `json:"Files"`  // that the elder keeps to from now on
	Links    int     `json:"Links"`  // and links
	Frees    bool    `json:"Frees"`  // the elder says when it has let go of its own descriptors
}

// pass has the sockets pass the link on when they can.
func (r *Reducer) pass(l *link) {
	r.do(Effect{Do: Pass, Conn: l.client.conn, Peer: l.server.conn})
}

func nameOf(names map[string]int, number int) string {
	for name, n := range names {
		if n == number {
			return name
		}
	}
	return ""
}

// part gives a link up for as long as it is on its way: nothing that is told of it counts until given.
func (r *Reducer) part(conn uint64) {
	c := r.ends[conn]
	if c == nil || c.link.stage != standing || c.link.ending {
		return
	}
	l := c.link
	l.stage = parting
	p := &Passed{Version: handoverVersion, ID: l.id, Category: nameOf(r.categories, l.Category),
		Party: nameOf(r.parties, l.Party), Key: l.Key, Group: l.Group, Backend: l.server.backend.Name,
		Tail: l.server.in.Tail(), Waits: l.quiet.place > 0, Leaves: -1,
		Files: perLink*(r.links+r.heads-1) + r.others + r.besides(), Links: r.links + r.heads - 1, Frees: true}
	p.Load, p.Measured = l.Link.Link.Load()
	if l.server.backend.condition != balancer.Ready && l.leave.place > 0 {
		p.Leaves = max(l.leave.at-r.now, 0)
	}
	r.do(Effect{Do: Parted, Conn: conn, Passed: p})
}

// given takes that the younger process has the link, or that it stays.
func (r *Reducer) given(conn uint64, gone bool) {
	c := r.ends[conn]
	if c == nil || c.link.stage != parting {
		return
	}
	l := c.link
	l.stage = standing
	if gone {
		r.finish(l, HandedOver, End) // the sockets have none of it any more
	} else if l.broke {
		r.finish(l, BrokeUp, Break)
	}
}

// adopt takes a link that stands from the elder process, with its part of the limits. One that is not known
// to this process as it is to the elder is refused.
func (r *Reducer) adopt(conn uint64, p *Passed) {
	category, known := r.categories[p.Category]
	party, named := r.parties[p.Party]
	b := r.backends[p.Backend]
	strange := p.Version != handoverVersion || !known || b == nil || (p.Party != "" && !named)
	wrong := !(p.Load >= 0 && p.Load < math.MaxFloat64) || p.ID == "" || r.ids[p.ID] != nil
	if strange || wrong || r.stopping {
		r.note("refused a link of the elder process", "version", p.Version, "category", p.Category,
			"backend", p.Backend)
		return
	}
	if left := r.left; left != nil {
		// Against what the elder held at first keeping clients of this process waiting at the door while the elder
		// waits for its last setup tries.
		files, links := left.Files, left.Links
		left.Files, left.Links = min(files, max(p.Files, 0)), min(links, max(p.Links, 0))
		r.share()
		// And against links that leave no place at that door; they are moved.
		if perLink*(r.links+1)+r.others > r.room || r.links >= r.mostHeld {
			left.Files, left.Links = files, links
			r.share()
			r.note("no room for a link of the elder process", "links", r.links)
			return
		}
	}
	l := &link{id: p.ID}
	l.Category, l.Party, l.Key, l.Group = category, party, p.Key, p.Group
	if !named {
		l.Party = len(r.parties)
	}
	r.Handed++
	l.client = r.add(&end{conn: conn, link: l, since: r.now})
	r.dials++
	l.server = r.add(&end{conn: r.dials, backend: b, link: l, up: true})
	l.server.in.Resume(p.Tail)
	r.links++
	r.ids[l.id] = l
	r.table.Balancer.Adopted(r.now, &l.Link.Link, b.id, p.Load, p.Measured)
	r.stands(l)
	if p.Waits {
		r.arm(&l.quiet, r.now+silence)
	}
	switch {
	case p.Leaves >= 0:
		r.arm(&l.leave, r.now+p.Leaves)
	case r.lame:
		r.arm(&l.leave, max(r.now, r.leaveAt(0, 1)))
	default:
		r.leaves(b, l, len(b.links)-1)
	}
	r.do(Effect{Do: Adopted, Conn: conn, Peer: l.server.conn})
}
