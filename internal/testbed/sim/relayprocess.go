package sim

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

const (
	transferTime = 0.5  // milliseconds for one session to go from one process to the other
	siblingDelay = 50.0 // milliseconds until one process sees what the other one did
	exitTime     = 1.0  // milliseconds
)

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Brain is what a relay runs on: its state machine, or one with a fault, for tests of the auditor.
type Brain interface {
	Handle(now float64, e relay.Event) []relay.Effect
}

// process is one process of a relay: it carries out the state machine's effects on the simulated network, as
// relay.Sockets does on real connections.
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

	fleetNode *fleetNode // nil: it keeps nothing and knows no other
	beside    *process   // another process on the same socket
	holds     bool
	left      *relay.Handoff
	given     uint64 // the backend's connection of what is being passed
	passed    *relay.TransferredSession
	ready     func()
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
			p.execute(f)
		}
	}
	p.taking = false
}

// execute carries out one effect of the state machine.
func (p *process) execute(effect relay.Effect) {
	if p.over {
		return
	}
	switch f := effect.(type) {
	case *relay.Dial:
		p.dialFor(f.Conn, f.Address)
	case *relay.Write:
		p.writeChunks(f.Conn, f.Chunks)
	case *relay.Close:
		p.endOwn(f.Conn, false)
	case *relay.Reset:
		p.endOwn(f.Conn, true)
	case *relay.SetTimer:
		p.setTimer(f.At)
	case *relay.StartWatch:
		p.startWatch(f.Watch, f.After)
	case *relay.StopWatch:
		p.unwatch()
	case *relay.PauseAccept:
		p.setAcceptPaused(true)
	case *relay.ResumeAccept:
		p.setAcceptPaused(false)
	case *relay.AnnounceReady:
		if p.ready != nil {
			p.ready()
		}
	case *relay.SendHandoff:
		p.left = f.Handoff
	case *relay.SendEndpoints:
		p.sendEndpoints(f.Update)
	case *relay.TransferSession:
		client, server := f.ClientConn, f.BackendConn
		p.net.after(transferTime, func() { p.transfer(client, server) })
	case *relay.SessionDetached:
		p.passed = f.Session
	case *relay.SessionAccepted:
		p.given = f.BackendConn
	case *relay.Log:
		if p.net.trace != nil {
			p.net.tell("%s note %s %v", p.address, f.Message, f.Args)
		}
	case *relay.ReplicationRequest:
		p.fleetNode.replicate(*f)
	case *relay.Exit:
		p.scheduleExit()
	}
}

// dialFor dials for a connection that the state machine numbered.
func (p *process) dialFor(own uint64, address string) {
	p.last++
	p.conns[own] = p.last
	p.back[p.last] = own
	p.dial(p.last, address)
}

func (p *process) writeChunks(own uint64, chunks [][]byte) {
	conn, isOpen := p.conns[own]
	if isOpen {
		p.write(conn, bytes.Join(chunks, nil))
	}
}

func (p *process) setTimer(at float64) {
	p.alarm++
	alarm := p.alarm
	p.net.after(at-p.clock(), func() {
		if p.alarm == alarm && !p.over {
			p.take(relay.TimerFired{})
		}
	})
}

// startWatch opens a watch of the endpoint list in place of any other.
func (p *process) startWatch(number, after uint64) {
	p.unwatch()
	w := &follower{p: p, number: number}
	p.follow = w
	p.pass(p.number, experiment.Discovery, func() {
		if p.follow == w {
			w.id = p.list.Watch(after, w)
		}
	})
}

func (p *process) setAcceptPaused(paused bool) {
	p.holds = paused
	p.updateAccept()
}

// sendEndpoints sends the endpoint list to the sibling process.
func (p *process) sendEndpoints(update *relay.EndpointUpdate) {
	p.net.after(siblingDelay, func() {
		if p.beside != nil && !p.beside.over {
			p.beside.take(relay.SiblingEndpointsUpdated{Update: update})
		}
	})
}

func (p *process) scheduleExit() {
	p.net.after(exitTime, func() {
		if !p.over {
			p.stop(false)
			p.exit()
		}
	})
}

// endOwn ends a connection of the relay's, by the relay's own number.
func (p *process) endOwn(own uint64, broken bool) {
	if conn, open := p.conns[own]; open {
		p.end(conn, broken)
		delete(p.conns, own)
		delete(p.back, conn)
	}
}

// listen has this process accept at the node's socket.
func (p *process) listen() {
	p.node.actor = p
	p.node.refuse = false
	p.updateAccept()
}

// updateAccept accepts waiting clients, or pauses, if this is the process that accepts.
func (p *process) updateAccept() {
	if p.node.actor == p {
		p.node.closed = p.holds
		p.net.after(0, p.acceptWaiting)
	}
}

// transfer hands an established session to the sibling process, in the form that it has between two real ones.
func (p *process) transfer(client, server uint64) {
	if p.over || p.beside == nil {
		return
	}
	p.passed = nil
	p.take(relay.DetachRequested{Conn: client})
	if p.passed == nil {
		return
	}
	next := p.beside
	accepted := !next.over && next.receive(decodeSession(encodeSession(p.passed)))
	if accepted {
		p.moveConnection(next, client, next.count)
		p.moveConnection(next, server, next.given)
	}
	p.take(relay.SessionTransferred{Conn: client, Accepted: accepted})
}

// receive takes in a session of the sibling process; false: it was not accepted.
func (p *process) receive(session *relay.TransferredSession) bool {
	p.count++
	p.given = 0
	p.take(relay.SessionReceived{Conn: p.count, Session: session})
	return p.given != 0
}

// moveConnection makes the connection that is own here the other process's, under that process's number.
func (p *process) moveConnection(to *process, own, number uint64) {
	conn := p.conns[own]
	delete(p.conns, own)
	delete(p.back, conn)
	to.conns[number] = conn
	to.back[conn] = number
}

func encodeSession(session *relay.TransferredSession) []byte {
	text, err := json.Marshal(session)
	if err != nil {
		panic(err) // of plain values
	}
	return text
}

func decodeSession(text []byte) *relay.TransferredSession {
	session := &relay.TransferredSession{}
	if err := json.Unmarshal(text, session); err != nil {
		panic(err) // it was encoded just now
	}
	return session
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
