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

// Handoff is what the elder process leaves to the younger. Fields that are not known are passed over, so
// that one of the same version may gain some; a change of their meaning is another version.
type Handoff struct {
	Version      int               `json:"Version"`
	CreatedAt    float64           `json:"At"`
	Endpoints    *EndpointUpdate   `json:"List"`
	Balancer     balancer.Snapshot `json:"Module"`
	BackendNames []string          `json:"Names"` // of the module's servers, in its order
	Descriptors  int               `json:"Files"` // descriptors that the elder keeps to, what it needs besides connections included
	Sessions     int               `json:"Links"` // and links
}

// ParseHandoff reads what was left, and says why it can't be used.
func ParseHandoff(text []byte, now float64) (*Handoff, error) {
	h := &Handoff{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	switch {
	case h.Version != handoverVersion:
		return nil, fmt.Errorf("handover: version %d expected, got %d", handoverVersion, h.Version)
	case !(h.CreatedAt <= now+handoverAge && h.CreatedAt >= now-handoverAge):
		return nil, fmt.Errorf("handover: of %.0f ms ago, %v at the most", now-h.CreatedAt, handoverAge)
	case h.Endpoints == nil || len(h.BackendNames) != len(h.Balancer.Backends) || h.Descriptors < 0 || h.Sessions < 0:
		return nil, fmt.Errorf("handover: a field is missing or wrong")
	}
	h.Endpoints.Complete = true
	return h, nil
}

// handover is what this process knows now.
func (r *StateMachine) handover() *Handoff {
	h := &Handoff{Version: handoverVersion, CreatedAt: r.now, Endpoints: r.listNow(),
		Balancer: r.table.Balancer.Snapshot(r.now), Descriptors: r.most + r.besides(), Sessions: min(r.mostHeld, math.MaxInt32)}
	kept := h.Balancer.Backends[:0]
	for _, s := range h.Balancer.Backends {
		if b := r.byID[s.ID]; b != nil {
			kept, h.BackendNames = append(kept, s), append(h.BackendNames, b.Name)
		}
	}
	h.Balancer.Backends = kept
	return h
}

// begins takes the list told at the start, or the elder's where that is newer, and what the elder has learnt.
// Against two lists in a row: the second would be discovery's to the module, which then asks for none.
func (r *StateMachine) begins(known *EndpointUpdate) {
	if r.left != nil && r.left.Endpoints.Index >= known.Index {
		known = r.left.Endpoints
	}
	r.apply(known)
	if r.left == nil {
		return
	}
	if err := r.inherit(r.left); err != nil {
		r.note("what the elder process left is passed over", "why", err.Error())
	}
}

func (r *StateMachine) inherit(h *Handoff) error {
	record := h.Balancer
	record.Backends = nil
	for i, s := range h.Balancer.Backends {
		if b := r.backends[h.BackendNames[i]]; b != nil {
			s.ID = b.id
			record.Backends = append(record.Backends, s)
		}
	}
	if err := r.table.Balancer.Restore(r.now, &record); err != nil {
		return err
	}
	r.note("took over what the elder process knew", "age ms", math.Round(r.now-h.CreatedAt), "backends",
		len(record.Backends))
	return nil
}

// beside takes which other processes of this relay are alive.
func (r *StateMachine) beside(e Event) {
	if e.HasChild != r.younger {
		r.note("younger process", "there", e.HasChild)
		r.younger = e.HasChild
		r.table.Balancer.SetDraining(e.HasChild) // it has the budgets from here on
		if e.HasChild {
			r.Subscribe()
		}
	}
	if e.HasParent != r.elder {
		r.note("elder process", "there", e.HasParent)
		r.elder = e.HasParent
	}
	r.share()
	if !e.HasParent && !e.HasChild && len(r.dismissed) > 0 {
		r.watch() // what another process was told holds until discovery tells this one
	}
	if e.HasChild && e.WantsHandoff {
		r.do(Effect{Kind: SendHandoff, Handoff: r.handover()})
	}
}

// confided takes the list that another process of this relay was told, as far as that is stricter than this
// one's: servers that are to get nothing new, or have restarted. Against a discovery that tells one of the
// two late: to who drains a server both are one relay.
func (r *StateMachine) confided(n *EndpointUpdate) {
	if !r.younger && !r.elder {
		return
	}
	told := map[string]Endpoint{}
	for _, e := range n.Endpoints {
		told[e.Name] = e
	}
	was := r.dismissed
	r.dismissed = map[string]bool{}
	var changed []Endpoint
	for _, b := range r.order {
		e, there := told[b.Name]
		dismissed := !there || e.Status != "active"
		if dismissed {
			r.dismissed[b.Name] = true
		}
		if dismissed || was[b.Name] {
			e = b.Endpoint
		}
		if e.StartedAt > b.StartedAt || dismissed != was[b.Name] {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		r.apply(&EndpointUpdate{Index: r.index, Endpoints: changed})
	}
}

// besides is what another process needs for itself.
func (r *StateMachine) besides() int { return besideFiles + r.reserve - spareFiles }

// share holds this process to its part of the descriptors and links while there is another: to what it has,
// or half of what there is where that is more; the younger to the rest. What is kept for dials and the like
// is there once for both.
func (r *StateMachine) share() {
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
			files -= min(r.left.Descriptors, files)
		}
		links -= min(r.left.Sessions, links)
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

// TransferredSession is a link that stands, on its way from one process of the relay to another. The two may be of
// different versions of the program, so that all is by name and the younger refuses what it doesn't know.
type TransferredSession struct {
	Version         int     `json:"Version"`
	ID              string  `json:"ID"`
	Class           string  `json:"Category"`
	Tenant          string  `json:"Party"`
	Key             uint64  `json:"Key"`
	Group           uint64  `json:"Group"`
	Backend         string  `json:"Backend"`
	Load            float64 `json:"Load"`
	LoadMeasured    bool    `json:"Measured"`
	PartialLine     []byte  `json:"Tail"`   // of a line whose end the backend has not sent yet
	AwaitsReply     bool    `json:"Waits"`  // a line of the client's waits for its answer
	LeavesInMillis  float64 `json:"Leaves"` // in so many milliseconds, as its backend goes; -1: it stays
	Descriptors     int     `json:"Files"`  // that the elder keeps to from now on
	Sessions        int     `json:"Links"`  // and links
	ConfirmsRelease bool    `json:"Frees"`  // the elder says when it has let go of its own descriptors
}

// pass has the sockets pass the link on when they can.
func (r *StateMachine) pass(l *link) {
	r.do(Effect{Kind: TransferSession, Conn: l.client.conn, Peer: l.server.conn})
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
func (r *StateMachine) part(conn uint64) {
	c := r.ends[conn]
	if c == nil || c.link.stage != standing || c.link.ending {
		return
	}
	l := c.link
	l.stage = parting
	p := &TransferredSession{Version: handoverVersion, ID: l.id, Class: nameOf(r.categories, l.Class),
		Tenant: nameOf(r.parties, l.Tenant), Key: l.Key, Group: l.AffinityGroup, Backend: l.server.backend.Name,
		PartialLine: l.server.in.Pending(), AwaitsReply: l.quiet.place > 0, LeavesInMillis: -1,
		Descriptors: perLink*(r.links+r.heads-1) + r.others + r.besides(), Sessions: r.links + r.heads - 1, ConfirmsRelease: true}
	p.Load, p.LoadMeasured = l.Entry.Session.Load()
	if l.server.backend.condition != balancer.Ready && l.leave.place > 0 {
		p.LeavesInMillis = max(l.leave.at-r.now, 0)
	}
	r.do(Effect{Kind: SessionDetached, Conn: conn, Session: p})
}

// given takes that the younger process has the link, or that it stays.
func (r *StateMachine) given(conn uint64, gone bool) {
	c := r.ends[conn]
	if c == nil || c.link.stage != parting {
		return
	}
	l := c.link
	l.stage = standing
	if gone {
		r.finish(l, TransferredToChild, Close) // the sockets have none of it any more
	} else if l.broke {
		r.finish(l, BackendClosed, Reset)
	}
}

// adopt takes a link that stands from the elder process, with its part of the limits. One that is not known
// to this process as it is to the elder is refused.
func (r *StateMachine) adopt(conn uint64, p *TransferredSession) {
	category, known := r.categories[p.Class]
	party, named := r.parties[p.Tenant]
	b := r.backends[p.Backend]
	strange := p.Version != handoverVersion || !known || b == nil || (p.Tenant != "" && !named)
	wrong := !(p.Load >= 0 && p.Load < math.MaxFloat64) || p.ID == "" || r.ids[p.ID] != nil
	if strange || wrong || r.stopping {
		r.note("refused a link of the elder process", "version", p.Version, "category", p.Class,
			"backend", p.Backend)
		return
	}
	if left := r.left; left != nil {
		// Against what the elder held at first keeping clients of this process waiting at the door while the elder
		// waits for its last setup tries.
		files, links := left.Descriptors, left.Sessions
		left.Descriptors, left.Sessions = min(files, max(p.Descriptors, 0)), min(links, max(p.Sessions, 0))
		r.share()
		// And against links that leave no place at that door; they are moved.
		if perLink*(r.links+1)+r.others > r.room || r.links >= r.mostHeld {
			left.Descriptors, left.Sessions = files, links
			r.share()
			r.note("no room for a link of the elder process", "links", r.links)
			return
		}
	}
	l := &link{id: p.ID}
	l.Class, l.Tenant, l.Key, l.AffinityGroup = category, party, p.Key, p.Group
	if !named {
		l.Tenant = len(r.parties)
	}
	r.SessionsReceived++
	l.client = r.add(&end{conn: conn, link: l, since: r.now})
	r.dials++
	l.server = r.add(&end{conn: r.dials, backend: b, link: l, up: true})
	l.server.in.Restore(p.PartialLine)
	r.links++
	r.ids[l.id] = l
	r.table.Balancer.SessionReceived(r.now, &l.Entry.Session, b.id, p.Load, p.LoadMeasured)
	r.stands(l)
	if p.AwaitsReply {
		r.arm(&l.quiet, r.now+silence)
	}
	switch {
	case p.LeavesInMillis >= 0:
		r.arm(&l.leave, r.now+p.LeavesInMillis)
	case r.lame:
		r.arm(&l.leave, max(r.now, r.leaveAt(0, 1)))
	default:
		r.leaves(b, l, len(b.links)-1)
	}
	r.do(Effect{Kind: SessionAccepted, Conn: conn, Peer: l.server.conn})
}
