package relay

// This file is the part of the reducer for backends: the list as discovery tells it, the watch on it, and
// probes. It must never decide which backend is used or when one is asked: that is the module's.

import (
	"cmp"
	"hash/fnv"
	"slices"

	"valeshift/balancer"
	"valeshift/internal/protocol"
)

const (
	// heartbeatTimeout is for the next line of a watch: an empty one comes every 2 s. What a silent watch misses
	// counts as told 6 s after it fell silent, which leaves time for a call that is refused once or twice.
	heartbeatTimeout = 2800.0
	// answerTimeout is for the first line. Discovery works through calls in turn, so that one given up early
	// loses its place there. With renewGap it leaves time for a second call within the 4 s in which a discovery
	// that a reload names has to be heard.
	answerTimeout = 3300.0
	renewGap      = 250.0 // before a discovery that a reload names is asked again
	probeWaits    = 2     // times the time for a connect, for a probe's answer
)

// backend is a server as this relay knows it.
type backend struct {
	Endpoint
	id        uint32
	condition balancer.EndpointState
	links     []*link // that stand
	heard     float64 // when one of them last brought anything
	probe     *end
	asking    bool // a probe is out
}

// BackendStatus is what is held of one backend: what passes on the sockets, and what the module goes by.
type BackendStatus struct {
	Name                  string
	Established, Attempts int // links on sockets
	Reserved              int // by the module; the same as both together
	ReportAgeMillis       float64
	Ejected               bool
}

// BackendStatuses are those of all backends, by name. Against a module that goes by what is no longer so: they can be
// asked for while the relay serves.
func (r *StateMachine) BackendStatuses(now float64) []BackendStatus {
	tries := map[*backend]int{}
	for _, c := range r.ends {
		if c.backend != nil && c.link != nil && c.link.stage == trying {
			tries[c.backend]++
		}
	}
	var all []BackendStatus
	for _, b := range r.backends {
		known := r.table.Balancer.BackendStatus(b.id)
		all = append(all, BackendStatus{Name: b.Name, Established: len(b.links), Attempts: tries[b], Reserved: known.Sessions,
			ReportAgeMillis: now - known.ReportedAt, Ejected: known.IsAvoided})
	}
	slices.SortFunc(all, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// named finds the backend, or takes in a new one. Its number comes of its name, so that all relays draw
// alike.
func (r *StateMachine) named(name string) *backend {
	b := r.backends[name]
	if b == nil {
		b = &backend{Endpoint: Endpoint{Name: name}, id: BackendID(name)}
		for r.byID[b.id] != nil {
			b.id++
		}
		r.backends[name], r.byID[b.id] = b, b
		r.order = append(r.order, b)
	}
	return b
}

// BackendID is what the module knows a backend of that name by, unless another has the number already; then it
// is the next that is free.
func BackendID(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

func (r *StateMachine) zone(name string) int {
	z, known := r.zones[name]
	if !known {
		z = len(r.zones)
		r.zones[name] = z
	}
	return z
}

// apply takes news of the list.
func (r *StateMachine) apply(news *EndpointUpdate) {
	r.index = news.Index
	r.table.Balancer.BeginEndpointUpdate(news.Complete)
	named := map[*backend]bool{}
	for _, e := range news.Endpoints {
		if e.Invalid != "" {
			r.note("bad entry in the list", "backend", e.Name, "why", e.Invalid)
			if r.backends[e.Name] == nil {
				continue
			}
			e = r.backends[e.Name].Endpoint
		}
		b := r.named(e.Name)
		moved := b.Address != e.Address || e.StartedAt > b.StartedAt
		b.Endpoint = e
		named[b] = true
		switch e.Status {
		case "active":
			if b.condition = balancer.Ready; r.dismissed[e.Name] {
				b.condition = balancer.Draining
			}
		case "leaving":
			b.condition = balancer.Draining
		default:
			b.condition = balancer.Gone
		}
		r.table.Balancer.UpdateEndpoint(balancer.Endpoint{ID: b.id, Zone: r.zone(e.Zone), State: b.condition,
			Cell: e.Group, StartedAt: r.started(e), Weight: e.Weight})
		if b.probe != nil && moved {
			r.probeOver(b)
		}
	}
	r.overtaken(named)
	r.table.Balancer.EndEndpointUpdate(r.now)
	for _, b := range r.order {
		if news.Complete && !named[b] {
			b.condition = balancer.Gone
		}
		for i, l := range b.links {
			r.leaves(b, l, i)
		}
		if b.condition == balancer.Gone && b.probe != nil {
			r.probeOver(b)
		}
		if b.condition == balancer.Gone && r.table.Balancer.BackendStatus(b.id).Sessions == 0 {
			// Against a fleet whose names never come again filling the memory. One with a try out stays: under
			// the same name it may come again, and its links would be on a backend that nothing tells of.
			delete(r.backends, b.Name)
			delete(r.byID, b.id)
		}
	}
	if len(r.order) > len(r.backends) {
		r.order = slices.DeleteFunc(r.order, func(b *backend) bool { return r.backends[b.Name] != b })
	}
}

// overtaken takes those for gone whose address is another's by the news. Against a discovery that lost its
// versions and so never told their end: the address would be sent links under a name that nothing is told of.
func (r *StateMachine) overtaken(named map[*backend]bool) {
	at := map[string]*backend{}
	for _, b := range r.order {
		if named[b] && b.condition != balancer.Gone {
			at[b.Address] = b
		}
	}
	for _, b := range r.order {
		if by := at[b.Address]; by != nil && !named[b] && b.condition != balancer.Gone {
			r.note("backend's address is another's now", "backend", b.Name, "by", by.Name)
			b.condition = balancer.Gone
			r.table.Balancer.UpdateEndpoint(balancer.Endpoint{ID: b.id, Zone: r.zone(b.Zone), State: balancer.Gone,
				Cell: b.Group, StartedAt: r.started(b.Endpoint), Weight: b.Weight})
		}
	}
}

// list takes what the watch brought.
func (r *StateMachine) list(e Event) {
	if e.Kind == WatchFailed {
		r.listFailed(e.Err.Error())
		return
	}
	r.arm(&r.watched, r.now+heartbeatTimeout)
	r.heardAt, r.answered = r.now, true
	if e.Endpoints != nil && e.Endpoints.DiscoveryTime > 0 {
		r.dated = e.Endpoints.DiscoveryTime - r.now
	}
	r.confirmed = r.confirmed || e.Kind == EndpointsUpdated || r.asked > 0
	if e.Kind == WatchHeartbeat {
		return
	}
	if e.Endpoints.Index < r.index && (r.asked > 0 || !e.Endpoints.Complete) {
		// Against a list older than the one held: all of it is asked for. At once, where this one began elsewhere:
		// a discovery that counts anew may have told a drain just now.
		r.index = 0
		if r.asked > 0 {
			r.note("version went back", "to", e.Endpoints.Index)
			r.watch()
			return
		}
		r.do(Effect{Kind: StopWatch})
		r.listFailed("version went back")
		return
	}
	r.untold = false
	r.disarm(&r.renewing)
	if e.Endpoints.Complete && !r.elder && !r.younger {
		r.dismissed = nil
	}
	r.apply(e.Endpoints)
	r.told = true
	if r.elder || r.younger {
		r.do(Effect{Kind: SendEndpoints, Endpoints: r.listNow()})
	}
}

func (r *StateMachine) listFailed(why string) {
	r.note("watch failed", "why", why)
	r.watching = 0
	r.disarm(&r.watched)
	r.table.Balancer.WatchFailed(r.now)
	// The module's waits grow beyond the time in which a new discovery counts as having told, and in which
	// another process of this relay has been told.
	if r.untold || r.younger {
		r.arm(&r.renewing, r.now+renewGap)
	}
}

// reload takes that the file was read again. Against a discovery that counts its versions afresh, the whole
// list is asked for; until it comes, what was known stays.
func (r *StateMachine) reload(e Event) {
	if e.Err != nil {
		r.FailedReloads++
		r.note("reload refused, all stays as it was", "why", e.Err.Error())
		return
	}
	r.Reloads++
	r.note("reloaded", "discovery", e.Address, "changed", e.Address != r.source)
	if e.Address != r.source {
		r.source, r.untold, r.index = e.Address, true, 0
		r.watch()
	}
}

// watchQuiet takes that the watch has brought nothing for too long. One that has brought something is opened anew
// at once, as only that shows what it has missed since; a call that was never answered waits for its turn.
func (r *StateMachine) watchQuiet() {
	if r.answered {
		r.note("watch fell silent")
		r.watch()
		return
	}
	r.do(Effect{Kind: StopWatch})
	r.listFailed("silent")
}

// watch asks for what is new; for the whole list where a younger process of this relay is there. That one is
// told all there is by its first call, and both are one relay to who drains a server: against changes told
// late.
func (r *StateMachine) watch() {
	r.Watches++
	r.watches++
	r.watching, r.asked, r.answered = r.watches, r.index, false
	if r.younger || len(r.dismissed) > 0 {
		r.asked = 0
	}
	r.do(Effect{Kind: StartWatch, Conn: r.watching, AfterIndex: r.asked, Text: r.source})
	r.arm(&r.watched, r.now+answerTimeout)
}

// Subscribe has the list watched. A watch that still brings its empty lines needs no other.
func (r *StateMachine) Subscribe() {
	if r.watching == 0 {
		r.watch()
	}
}

// Poll asks the backend for its load, over one connection that stays open, as each new one is work for it.
func (r *StateMachine) Poll(id uint32) {
	r.Polls++
	b := r.byID[id]
	if b == nil { // gone since the module wanted it asked
		r.table.Balancer.PollFinished(r.now, id, false, nil)
		return
	}
	if b.probe == nil && len(r.ends)+r.mostMute() >= r.most {
		// Against probes taking what clients come in by: while the elder process has most descriptors, and as many
		// servers join beside links that stand.
		r.table.Balancer.PollNotSent(id)
		return
	}
	b.asking = true
	if b.probe == nil {
		b.probe = r.dial(b, nil)
		b.probe.wait.fire = func() { r.probeOver(b) }
	} else if b.probe.up {
		r.ask(b)
	}
	r.arm(&b.probe.wait, r.now+probeWaits*r.connectTime)
}

func (r *StateMachine) ask(b *backend) {
	if len(r.fields) > 0 {
		r.write(b.probe, []byte("STATS\r\n"))
	} else {
		r.write(b.probe, []byte("PING\r\n"))
	}
}

func (r *StateMachine) probeEvent(c *end, e Event) {
	b := c.backend
	switch e.Kind {
	case ConnEstablished:
		c.up = true
		if b.asking {
			r.ask(b)
		}
	case ConnClosed:
		r.probeOver(b)
	case DataReceived:
		for data := e.Data; b.probe == c; {
			line, rest, err := c.in.Next(data)
			if err != nil {
				r.probeOver(b)
				return
			}
			if line == nil {
				return
			}
			data = rest
			verb, said := protocol.CutVerb(line)
			r.probed(b, string(verb) == "PONG", protocol.ParseReport(said, r.fields))
		}
	}
}

func (r *StateMachine) probed(b *backend, ok bool, report []float64) {
	if !b.asking {
		return
	}
	b.asking = false
	r.disarm(&b.probe.wait)
	if c := b.probe; r.short() { // against probes of a fleet that grows holding what clients come by
		b.probe = nil
		r.forget(c, Close)
	}
	r.table.PollFinished(r.now, b.id, ok, report)
}

// probeOver ends the connection for probes; a probe that was out has failed.
func (r *StateMachine) probeOver(b *backend) {
	c := b.probe
	out := b.asking
	b.probe, b.asking = nil, false
	r.forget(c, Reset)
	if out {
		r.table.PollFinished(r.now, b.id, false, nil)
		r.silent(b)
	}
}

func (r *StateMachine) reported(b *backend, said []byte) {
	if report := protocol.ParseReport(said, r.fields); report != nil {
		r.table.Balancer.LoadReported(r.now, b.id, report)
	}
}
