// Package recovery decides, after a relay's start, which stored state to accept, which other relays to query and
// when to return to normal operation. It does no I/O and reads no clock: callers pass in the time with what was read
// and received, and carry out the actions that they get back. Every phase has a time limit, so recovery always ends,
// whatever arrives or fails to.
//
// Times are milliseconds of the relay's own clock.
package recovery

import (
	"cmp"
	"fmt"
	"slices"

	"valeshift/internal/relay"
)

// Phase is the stage of recovery that a relay has reached since its start.
type Phase uint8

// The phases, in order. In every phase the relay serves sessions with the state that it has so far.
const (
	ReadingDisk   Phase = iota // the relay waits for its stored state
	QueryingPeers              // the relay asks other relays for their snapshots
	Admitting                  // the fleet is recovering from a full outage, and admission control is on
	Normal                     // recovery is over
)

// String returns the name of the phase in the status and the log.
func (p Phase) String() string { return [...]string{"reading", "asking", "admitting", "normal"}[p] }

const (
	// diskTimeout is for how many milliseconds from the start the querying waits for the disk. State that is read
	// only after the querying is still used, except its endpoints.
	diskTimeout      = 400.0
	firstPeerTimeout = 700.0   // milliseconds from the start within which a first other relay must be heard
	queryTimeout     = 1000.0  // milliseconds from the start after which no more answers are awaited
	maxQueriedPeers  = 4       // largest number of relays queried, not counting those that fail to answer
	minAdmittingTime = 2000.0  // least milliseconds in the admitting phase, even if the backends are warm before
	maxAdmittingTime = 60000.0 // milliseconds after which the fleet counts as recovered, in any case
	// evenShareWeight is the part of the capacity of backends in slow start that is split evenly among the relays.
	// The rest is split in proportion to the clients that each relay rejects.
	evenShareWeight = 0.75
)

// Source is a snapshot from this relay's disk or from another relay.
type Source struct {
	Name     string          // the other relay's name; empty for this relay's disk
	Snapshot *relay.Snapshot // nil if the disk has none
	// ConfirmedAgoMillis is the time since discovery confirmed the endpoints, in milliseconds. It is negative if
	// discovery didn't confirm them in the incarnation that made the snapshot.
	ConfirmedAgoMillis float64
}

// isDisk reports whether the source is this relay's disk.
func (s *Source) isDisk() bool { return s.Name == "" }

// String returns the source's name in status and log messages.
func (s *Source) String() string { return cmp.Or(s.Name, "the disk") }

// Peer is the state of another relay that is alive.
type Peer struct {
	Name               string
	AgeMillis          float64 // milliseconds since its start
	Phase              Phase
	RejectedLastSecond uint32 // number of clients that it rejected in the last second and has not served since
	Unreachable        bool   // whether its address isn't known yet, so that it can't be queried
}

// DiskResult is the result of reading the disk.
type DiskResult struct {
	Snapshot *relay.Snapshot // nil if there is none
	Fault    string          // why the disk or its snapshot can't be used; empty if it can
}

// Action is something for the caller to do. Exactly one field is set.
type Action struct {
	Query string      // name of the relay to query for its snapshot
	Event relay.Event // event to pass to this relay's state machine
	Log   string      // message to log
}

// Plan takes one relay from its start to the normal phase. It is not safe for concurrent use.
type Plan struct {
	startedAt  float64
	phase      Phase
	phaseSince float64 // when the phase began
	reason     string  // why the relay entered the phase

	disk       *DiskResult     // nil until the disk has been read
	hasNoPeers bool            // whether the configuration names no other relays
	pending    map[string]bool // names of relays that were queried and haven't answered
	answered   map[string]bool // names of relays that answered or failed to
	sources    []Source        // the snapshots that other relays answered with

	fullOutage bool
	accepted   []string // the restored state that was accepted, with its source
	discarded  []string // the restored state that was discarded, with the reason

	capacityShare      float64 // last share sent to the relay, of the capacity of backends in slow start
	endpointsConfirmed bool    // whether discovery has confirmed the endpoints since the start
}

// New returns a plan. If neither a disk nor other relays are configured, the first Advance ends the reading and the
// querying at once.
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

// ReceiveDisk handles the result of reading the disk.
func (p *Plan) ReceiveDisk(now float64, d DiskResult) []Action {
	p.disk = &d
	if d.Fault != "" {
		p.discarded = append(p.discarded, "disk: "+d.Fault)
	}
	isLate := p.phase > QueryingPeers
	if !isLate || d.Snapshot == nil {
		return nil
	}
	// Estimates and retry times are of use however late they are read. Endpoints are not.
	late := *d.Snapshot
	late.Endpoints = nil
	p.accepted = append(p.accepted, "estimates, from the disk, late")
	return []Action{{Event: relay.StateRestored{Snapshot: &late}}}
}

// ReceiveAnswer handles another relay's snapshot. If fault is not empty, it says why there is none.
func (p *Plan) ReceiveAnswer(s Source, fault string) {
	delete(p.pending, s.Name)
	p.answered[s.Name] = true
	if fault != "" {
		p.discarded = append(p.discarded, s.Name+": "+fault)
		return
	}
	p.sources = append(p.sources, s)
}

// Advance moves the recovery forward as far as possible, given the other relays that are alive and this relay's own
// status.
func (p *Plan) Advance(now float64, peers []Peer, status relay.Status) []Action {
	p.endpointsConfirmed = status.EndpointsConfirmed
	var actions []Action
	if p.phase == ReadingDisk {
		actions = append(actions, p.finishReading(now)...)
	}
	if p.phase == QueryingPeers {
		actions = append(actions, p.queryPeers(peers)...)
		if p.hasEnoughAnswers(now, peers) {
			actions = append(actions, p.finishQuerying(now, peers)...)
		}
	}
	if p.phase == Admitting {
		actions = append(actions, p.updateAdmission(now, peers, status)...)
	}
	return actions
}

func (p *Plan) enterPhase(now float64, phase Phase, reason string) Action {
	p.phase = phase
	p.phaseSince = now
	p.reason = reason
	return Action{Log: fmt.Sprintf("phase %s: %s", phase, reason)}
}

// finishReading ends the first phase once the disk has been read or has taken too long.
func (p *Plan) finishReading(now float64) []Action {
	switch {
	case p.disk != nil:
		return []Action{p.enterPhase(now, QueryingPeers, "the disk has been read")}
	case now >= p.startedAt+diskTimeout:
		return []Action{p.enterPhase(now, QueryingPeers, "the disk takes too long")}
	}
	return nil
}

// queryPeers queries the relays that have been running for longest, as they know most.
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

// hasEnoughAnswers reports whether the querying can end. Each wait for other relays has its time limit here.
func (p *Plan) hasEnoughAnswers(now float64, peers []Peer) bool {
	switch {
	case now >= p.startedAt+queryTimeout, p.hasNoPeers:
		return true
	case len(peers) == 0:
		return now >= p.startedAt+firstPeerTimeout
	}
	return len(p.pending) == 0 && len(p.answered) >= min(len(peers), maxQueriedPeers)
}

// finishQuerying ends the querying: it decides whether this was a full outage and which state to accept.
func (p *Plan) finishQuerying(now float64, peers []Peer) []Action {
	var reason string
	p.fullOutage, reason = DetectFullOutage(peers)
	disk := Source{ConfirmedAgoMillis: -1}
	if p.disk != nil {
		disk.Snapshot = p.disk.Snapshot
	}
	result := Reconcile(disk, p.sources)
	p.accepted = append(p.accepted, result.Accepted...)
	p.discarded = append(p.discarded, result.Discarded...)
	next := Normal
	if p.fullOutage {
		next = Admitting
	}
	actions := []Action{p.enterPhase(now, next, reason)}
	if result.Snapshot != nil {
		actions = append(actions, Action{Event: relay.StateRestored{Snapshot: result.Snapshot}})
	}
	return actions
}

// updateAdmission updates this relay's share of the capacity of backends in slow start. It ends the phase once at least
// half of the usable backends are warm, or at its time limit.
func (p *Plan) updateAdmission(now float64, peers []Peer, status relay.Status) []Action {
	isWarm := status.EndpointsConfirmed && status.Usable > 0 && 2*status.WarmingUp <= status.Usable
	switch {
	case isWarm && now >= p.phaseSince+minAdmittingTime:
		return p.endAdmitting(now, "the backends are warm")
	case now >= p.phaseSince+maxAdmittingTime:
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
	return []Action{p.enterPhase(now, Normal, reason), {Event: relay.RecoveryChanged{}}}
}

// capacityShare returns this relay's share of the capacity of backends in slow start: mostly an even share, the rest
// in proportion to the clients that each relay rejects. By rejected clients alone, the shares would follow each wave
// of clients, and these come back to another relay than the one that rejected them.
func capacityShare(peers []Peer, status relay.Status) float64 {
	own := float64(status.RejectedLastSecond) + 1
	total := own
	relays := 1.0
	for _, peer := range peers {
		if peer.Phase >= Admitting {
			total = total + float64(peer.RejectedLastSecond) + 1
			relays++
		}
	}
	return evenShareWeight/relays + (1-evenShareWeight)*own/total
}
