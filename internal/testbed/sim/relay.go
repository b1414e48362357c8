package sim

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Brain is what a relay runs on: its reducer, or one with something wrong about it.
type Brain interface {
	Handle(now float64, e relay.Event) []relay.Effect
}

// process is one life of a relay: it carries the reducer's effects out on the simulated network, as Sockets
// does on real ones.
type process struct {
	*node
	number int
	brain  Brain
	list   *model.Discovery
	ways   map[[2]int]experiment.Impairment
	watch  model.Observer
	exit   func()
	conns  map[uint64]uint64 // the node's own numbers by the reducer's, and back
	back   map[uint64]uint64
	count  uint64 // of clients taken in
	alarm  uint64
	follow *follower
	told   map[string]bool
	over   bool
	frozen bool
	ahead  float64 // of the true time, by its machine's clock at its start
	taking bool
	due    []relay.Event

	mates  *mates   // nil: it keeps nothing and knows no other
	beside *process // another process on the same socket
	holds  bool
	left   *relay.Handoff
	given  uint64 // the backend's connection of what is being passed
	passed *relay.TransferredSession
	ready  func()
}

func newProcess(d *node, number int, brain Brain, list *model.Discovery,
	ways map[[2]int]experiment.Impairment, watch model.Observer, exit func()) *process {
	return &process{node: d, number: number, brain: brain, list: list, ways: ways, watch: watch, exit: exit,
		conns: map[uint64]uint64{}, back: map[uint64]uint64{}, told: map[string]bool{}}
}

// take gives the reducer one event and carries out what follows; what comes of that waits its turn.
func (p *process) take(e relay.Event) {
	p.due = append(p.due, e)
	p.work()
}

// freeze has the process do nothing for now; the kernel goes on taking in for it.
func (p *process) freeze(on bool) {
	p.frozen = on
	p.work()
}

func (p *process) clock() float64 { return p.net.now + p.ahead }

func (p *process) work() {
	if p.taking || p.frozen {
		return
	}
	p.taking = true
	for len(p.due) > 0 && !p.over {
		e := p.due[0]
		p.due = p.due[1:]
		for _, f := range p.brain.Handle(p.clock(), e) {
			p.carry(f)
		}
	}
	p.taking = false
}

func (p *process) carry(effect relay.Effect) {
	if p.over {
		return
	}
	switch f := effect.(type) {
	case *relay.Dial:
		p.last++
		p.conns[f.Conn], p.back[p.last] = p.last, f.Conn
		p.dial(p.last, f.Address)
	case *relay.Write:
		size := 0
		for _, part := range f.Chunks {
			size += len(part)
		}
		all := make([]byte, 0, size)
		for _, part := range f.Chunks {
			all = append(all, part...)
		}
		if conn, open := p.conns[f.Conn]; open {
			p.write(conn, all)
		}
	case *relay.Close:
		p.endOwn(f.Conn, false)
	case *relay.Reset:
		p.endOwn(f.Conn, true)
	case *relay.SetTimer:
		p.alarm++
		alarm := p.alarm
		p.net.after(f.At-p.clock(), func() {
			if p.alarm == alarm && !p.over {
				p.take(relay.TimerFired{})
			}
		})
	case *relay.StartWatch:
		p.unwatch()
		w := &follower{p: p, number: f.Watch}
		p.follow = w
		p.pass(p.number, experiment.Discovery, func() {
			if p.follow == w {
				w.id = p.list.Watch(f.After, w)
			}
		})
	case *relay.StopWatch:
		p.unwatch()
	case *relay.PauseAccept:
		p.holds = true
		p.door()
	case *relay.ResumeAccept:
		p.holds = false
		p.door()
	case *relay.AnnounceReady:
		if p.ready != nil {
			p.ready()
		}
	case *relay.SendHandoff:
		p.left = f.Handoff
	case *relay.SendEndpoints:
		told := f.Update
		p.net.after(seen, func() {
			if p.beside != nil && !p.beside.over {
				p.beside.take(relay.SiblingEndpointsUpdated{Update: told})
			}
		})
	case *relay.TransferSession:
		client, server := f.ClientConn, f.BackendConn
		p.net.after(passing, func() { p.handOver(client, server) })
	case *relay.SessionDetached:
		p.passed = f.Session
	case *relay.SessionAccepted:
		p.given = f.BackendConn
	case *relay.Log:
		if p.net.trace != nil {
			p.net.tell("%s note %s %v", p.address, f.Message, f.Args)
		}
	case *relay.ReplicationRequest:
		p.mates.trust(*f)
	case *relay.Exit:
		p.net.after(1, func() {
			if !p.over {
				p.stop(false)
				p.exit()
			}
		})
	}
}

// endOwn ends a connection of the relay's, by the relay's own number.
func (p *process) endOwn(own uint64, broken bool) {
	if conn, open := p.conns[own]; open {
		p.end(conn, broken)
		delete(p.conns, own)
		delete(p.back, conn)
	}
}

// listens has this process accept at the node's socket.
func (p *process) listens() {
	p.node.actor, p.node.refuse = p, false
	p.door()
}

// door has who waits at the door let in, if this is the process that does.
func (p *process) door() {
	if p.node.actor == p {
		p.node.closed = p.holds
		p.net.after(0, p.acceptWaiting)
	}
}

const passing = 0.5 // for one link to go from one process to the other

// handOver passes a standing link to the process beside, in the form that it has between two real ones.
func (p *process) handOver(client, server uint64) {
	if p.over || p.beside == nil {
		return
	}
	p.passed = nil
	p.take(relay.DetachRequested{Conn: client})
	if p.passed == nil {
		return
	}
	text, err := json.Marshal(p.passed)
	passed, next := &relay.TransferredSession{}, p.beside
	if err == nil {
		err = json.Unmarshal(text, passed)
	}
	if err != nil {
		panic(err) // of plain values
	}
	gone := !next.over
	if gone {
		next.count++
		next.given = 0
		next.take(relay.SessionReceived{Conn: next.count, Session: passed})
		gone = next.given != 0
	}
	if gone {
		for own, its := range map[uint64]uint64{client: next.count, server: next.given} {
			conn := p.conns[own]
			delete(p.conns, own)
			delete(p.back, conn)
			next.conns[its], next.back[conn] = conn, its
		}
	}
	p.take(relay.SessionTransferred{Conn: client, Accepted: gone})
}

func (p *process) unwatch() {
	if p.follow != nil {
		p.list.Unwatch(p.follow.id)
		p.follow = nil
	}
}

// stop ends the process: what it had is closed by the kernel.
func (p *process) stop(killed bool) {
	p.over = true
	p.unwatch()
	if p.node.actor == p {
		p.refuse = true
	}
	for _, conn := range sorted(p.ends) {
		if p.back[conn] != 0 || p.node.actor == p && (p.beside == nil || p.beside.back[conn] == 0) {
			p.end(conn, killed)
		}
	}
}

func (p *process) acceptWaiting() {
	for _, conn := range sorted(p.ends) {
		if s := p.ends[conn]; s != nil && !s.taken && s.other != nil && p.of(conn).back[conn] == 0 &&
			!p.closed && !p.over {
			s.accept()
		}
	}
}

// OnAccept, Up, Came and Over are what the network tells.
func (p *process) OnAccept(conn uint64) {
	p.count++
	p.conns[p.count], p.back[conn] = conn, p.count
	p.take(relay.ConnAccepted{Conn: p.count})
}

// of is the process that has the connection.
func (p *process) of(conn uint64) *process {
	if p.back[conn] == 0 && p.beside != nil && p.beside.back[conn] != 0 {
		return p.beside
	}
	return p
}

// OnConnect tells that a dial is up.
func (p *process) OnConnect(conn uint64) {
	p = p.of(conn)
	p.take(relay.ConnEstablished{Conn: p.back[conn]})
}

// OnData tells bytes.
func (p *process) OnData(conn uint64, data []byte) {
	p = p.of(conn)
	p.take(relay.DataReceived{Conn: p.back[conn], Data: data})
}

// OnClose tells an end from the other side.
func (p *process) OnClose(conn uint64, broken bool) {
	p = p.of(conn)
	of := p.back[conn]
	delete(p.back, conn)
	delete(p.conns, of)
	p.take(relay.ConnClosed{Conn: of, Reset: broken})
}

// follower is one watch: what it tells arrives in order.
type follower struct {
	p      *process
	number uint64
	id     uint64
	arrive float64
}

func (w *follower) tell(do func()) {
	w.arrive = max(w.arrive, w.p.net.now+w.p.net.way())
	w.p.net.after(w.arrive-w.p.net.now, func() {
		w.p.pass(experiment.Discovery, w.p.number, func() {
			if w.p.follow == w && !w.p.over {
				do()
			}
		})
	})
}

const reopens = 5.0 // between two looks at a way that is cut

// pass has bytes go from one machine to another, as the way between them is: held while it is cut.
func (p *process) pass(from, to int, do func()) {
	way := p.ways[[2]int{from, to}]
	switch {
	case way.Cut || p.ways[[2]int{to, from}].Cut: // no answer comes either, so nothing more is sent
		p.net.after(reopens, func() { p.pass(from, to, do) })
	case way.Reset:
		p.reset()
	case way.Delay > 0 || way.Jitter > 0:
		p.net.after(float64(way.Delay)+float64(way.Jitter)*p.net.chance.Float64(), do)
	case way.BytesPerSecond > 0: // a list is some kilobytes
		p.net.after(4096*1000/float64(way.BytesPerSecond), do)
	default:
		p.net.after(p.net.way(), do)
	}
}

// reset has the watch end, as its connection was reset.
func (p *process) reset() {
	if w := p.follow; w != nil {
		p.unwatch()
		p.take(relay.WatchFailed{Watch: w.number, Err: errReset})
	}
}

var errReset = errors.New("watch: connection reset")

// OnUpdate brings the list or its changes.
func (w *follower) OnUpdate(n *relay.EndpointUpdate) {
	w.tell(func() {
		p := w.p
		seen := map[string]bool{}
		for _, e := range n.Endpoints {
			p.told[e.Name], seen[e.Name] = true, true
			p.watch.EndpointUpdated(p.net.now, p.number, e.Name, e.Status, e.StartedAt)
		}
		if n.Complete {
			for _, name := range sorted(p.told) {
				if !seen[name] {
					p.watch.EndpointUpdated(p.net.now, p.number, name, "left", 0)
				}
			}
		}
		p.net.tell("%s news %d of %d", p.address, len(n.Endpoints), n.Index)
		dated := *n
		dated.DiscoveryTime = p.net.now
		p.take(relay.EndpointsUpdated{Watch: w.number, Update: &dated})
	})
}

// OnHeartbeat brings an empty line.
func (w *follower) OnHeartbeat() {
	w.tell(func() { w.p.take(relay.WatchHeartbeat{Watch: w.number}) })
}

// OnFailure brings the watch's end.
func (w *follower) OnFailure(err error) {
	w.tell(func() {
		w.p.follow = nil
		w.p.take(relay.WatchFailed{Watch: w.number, Err: err})
	})
}
