// Package recovery decides, after a relay's start, what of its stored state it believes, which other relays it
// queries and when it serves as usual again. It knows no disk, socket, clock or log: what was read and received
// comes in with its time, and what is to be done goes out. No phase waits for anybody beyond a bound: all end by
// themselves, whatever comes or doesn't.
//
// Times are milliseconds of the relay's own clock.
package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"valeshift/internal/relay"
)

// Phase is how far a relay is from its start.
type Phase uint8

// The phases, in their order. In each of them sessions are served by what is known so far.
const (
	ReadingDisk   Phase = iota
	QueryingPeers       // other relays are asked for their snapshots
	Admitting           // the fleet recovers from a full outage, so that admission control is on
	Normal
)

// String returns the phase as operators and programs read it.
func (p Phase) String() string { return [...]string{"reading", "asking", "admitting", "normal"}[p] }

const (
	diskTimeout      = 400.0 // what the disk has later still counts, but for its endpoints
	firstPeerTimeout = 700.0 // from the start, for the first other relay to be heard
	queryTimeout     = 1000.0
	maxQueriedPeers  = 4
	minAdmitting     = 2000.0
	maxAdmitting     = 60000.0 // after which the fleet is taken to have recovered, whatever is seen
	// evenShare is what of the capacity of backends that warm up goes to all relays alike; the rest goes by the
	// clients that each rejects.
	evenShare = 0.75
)

// Source is the snapshot of this relay's disk, or of another relay.
type Source struct {
	Name     string // of the other relay; empty: the disk
	Snapshot *relay.Snapshot
	// ConfirmedAgoMillis is the time since discovery confirmed the endpoints; below 0: it did not in the life
	// that the snapshot is of.
	ConfirmedAgoMillis float64
}

// isDisk tells whether the source is this relay's disk.
func (s *Source) isDisk() bool { return s.Name == "" }

// String names the source to operators.
func (s *Source) String() string { return cmp.Or(s.Name, "the disk") }

// Peer is another relay that is alive.
type Peer struct {
	Name               string
	AgeMillis          float64 // since its start
	Phase              Phase
	RejectedLastSecond uint32
	Unreachable        bool // it is known of, and can't be queried yet
}

// DiskResult is what was read of the disk.
type DiskResult struct {
	Snapshot *relay.Snapshot // nil: none
	Fault    string          // why the disk, or its snapshot, can't be used; empty: it can
}

// Action is something to do: one of its fields is set.
type Action struct {
	Query string      // the relay of that name is to be queried for its snapshot
	Event relay.Event // for the relay
	Log   string
}

// Plan is one relay's way from its start to the normal phase. It is not safe for concurrent use.
type Plan struct {
	startedAt  float64
	phase      Phase
	phaseSince float64
	reason     string // of the phase

	disk       *DiskResult // nil: not read yet
	hasNoPeers bool        // no other relay is named
	pending    map[string]bool
	answered   map[string]bool // or failed
	sources    []Source

	fullOutage bool
	accepted   []string // what was believed, and by which source
	discarded  []string // what was not, and why

	capacityShare      float64 // of backends that warm up, as the relay was told
	endpointsConfirmed bool    // by discovery, in this life
}

// New starts a plan. With neither a disk nor other relays named, it goes through its phases at the first Advance.
func New(now float64, hasDisk, hasPeers bool) *Plan {
	p := &Plan{
		startedAt:  now,
		phaseSince: now,
		reason:     "just started",
		hasNoPeers: !hasPeers,
		pending:    map[string]bool{},
		answered:   map[string]bool{},
	}
	if !hasDisk {
		p.disk = &DiskResult{Fault: "none is named"}
	}
	return p
}

// Phase returns the phase that the relay is in.
func (p *Plan) Phase() Phase { return p.phase }

// ReceiveDisk takes what the disk had.
func (p *Plan) ReceiveDisk(now float64, d DiskResult) []Action {
	p.disk = &d
	if d.Fault != "" {
		p.discarded = append(p.discarded, "disk: "+d.Fault)
	}
	isLate := p.phase > QueryingPeers
	if !isLate || d.Snapshot == nil {
		return nil
	}
	// Estimates and retry times count however late they come. Endpoints don't.
	late := *d.Snapshot
	late.Endpoints = nil
	p.accepted = append(p.accepted, "estimates, from the disk, late")
	return []Action{{Event: relay.StateRestored{Snapshot: &late}}}
}

// ReceiveAnswer takes another relay's snapshot; or, where fault is not empty, why it gave none.
func (p *Plan) ReceiveAnswer(s Source, fault string) {
	delete(p.pending, s.Name)
	p.answered[s.Name] = true
	if fault != "" {
		p.discarded = append(p.discarded, s.Name+": "+fault)
		return
	}
	p.sources = append(p.sources, s)
}

// Advance goes on, by the other relays that are alive and this one's own status.
func (p *Plan) Advance(now float64, peers []Peer, status relay.Status) []Action {
	p.endpointsConfirmed = status.EndpointsConfirmed
	var actions []Action
	if p.phase == ReadingDisk {
		actions = append(actions, p.finishReading(now)...)
	}
	if p.phase == QueryingPeers {
		actions = append(actions, p.queryPeers(peers)...)
		if p.hasEnoughAnswers(now, peers) {
			actions = append(actions, p.reconcile(now, peers)...)
		}
	}
	if p.phase == Admitting {
		actions = append(actions, p.admit(now, peers, status)...)
	}
	return actions
}

func (p *Plan) enter(now float64, phase Phase, reason string) Action {
	p.phase = phase
	p.phaseSince = now
	p.reason = reason
	return Action{Log: fmt.Sprintf("phase %s: %s", phase, reason)}
}

// finishReading ends the reading of the disk, once that is done or has taken too long.
func (p *Plan) finishReading(now float64) []Action {
	switch {
	case p.disk != nil:
		return []Action{p.enter(now, QueryingPeers, "the disk has been read")}
	case now >= p.startedAt+diskTimeout:
		return []Action{p.enter(now, QueryingPeers, "the disk takes too long")}
	}
	return nil
}

// queryPeers queries those that have run for longest, as they know most.
func (p *Plan) queryPeers(peers []Peer) []Action {
	oldestFirst := slices.Clone(peers)
	slices.SortFunc(oldestFirst, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.AgeMillis, a.AgeMillis), cmp.Compare(a.Name, b.Name))
	})
	var actions []Action
	for _, peer := range oldestFirst {
		wasQueried := p.pending[peer.Name] || p.answered[peer.Name]
		if peer.Unreachable || wasQueried || len(p.pending)+len(p.sources) >= maxQueriedPeers {
			continue
		}
		p.pending[peer.Name] = true
		actions = append(actions, Action{Query: peer.Name})
	}
	return actions
}

// hasEnoughAnswers tells whether nothing more is waited for: all waiting is bounded here.
func (p *Plan) hasEnoughAnswers(now float64, peers []Peer) bool {
	switch {
	case now >= p.startedAt+queryTimeout, p.hasNoPeers:
		return true
	case len(peers) == 0:
		return now >= p.startedAt+firstPeerTimeout
	}
	return len(p.pending) == 0 && len(p.answered) >= min(len(peers), maxQueriedPeers)
}

// reconcile ends the querying: it decides whether this was a full outage, and what to believe.
func (p *Plan) reconcile(now float64, peers []Peer) []Action {
	var reason string
	p.fullOutage, reason = DetectFullOutage(peers)
	disk := Source{ConfirmedAgoMillis: -1}
	if p.disk != nil {
		disk.Snapshot = p.disk.Snapshot
	}
	believed := Reconcile(disk, p.sources)
	p.accepted = append(p.accepted, believed.Accepted...)
	p.discarded = append(p.discarded, believed.Discarded...)
	next := Normal
	if p.fullOutage {
		next = Admitting
	}
	actions := []Action{p.enter(now, next, reason)}
	if believed.Snapshot != nil {
		actions = append(actions, Action{Event: relay.StateRestored{Snapshot: believed.Snapshot}})
	}
	return actions
}

// admit has this relay take its share of the capacity of backends that warm up, until they are warm.
func (p *Plan) admit(now float64, peers []Peer, status relay.Status) []Action {
	isWarm := status.EndpointsConfirmed && status.Usable > 0 && 2*status.WarmingUp <= status.Usable
	switch {
	case isWarm && now >= p.phaseSince+minAdmitting:
		return p.endAdmitting(now, "the backends are warm")
	case now >= p.phaseSince+maxAdmitting:
		return p.endAdmitting(now, "it has taken long enough")
	}
	share := capacityShare(peers, status)
	if share == p.capacityShare {
		return nil
	}
	p.capacityShare = share
	return []Action{{Event: relay.RecoveryChanged{Recovering: true, CapacityShare: share}}}
}

func (p *Plan) endAdmitting(now float64, reason string) []Action {
	p.capacityShare = 0
	return []Action{p.enter(now, Normal, reason), {Event: relay.RecoveryChanged{}}}
}

// capacityShare is this relay's share: for the most part an even one, for the rest by the clients that each relay
// rejects. By those alone the shares followed each wave of clients, who come back to another relay than they
// left.
func capacityShare(peers []Peer, status relay.Status) float64 {
	own := float64(status.RejectedLastSecond) + 1
	all := own
	relays := 1.0
	for _, peer := range peers {
		if peer.Phase >= Admitting {
			all = all + float64(peer.RejectedLastSecond) + 1
			relays++
		}
	}
	return evenShare/relays + (1-evenShare)*own/all
}
