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

// StateMachine is what a relay runs on: its state machine, or one with a fault, for tests of the auditor.
type StateMachine interface {
	Handle(now float64, e relay.Event) []relay.Effect
}

// relayProcess is one process of a relay: it carries out the state machine's effects on the simulated network, as
// the relay's socket driver does on real connections.
type relayProcess struct {
	*node
	number       int
	stateMachine StateMachine
	discovery    *model.Discovery
	impairments  map[[2]int]experiment.Impairment // of the paths between machines, shared by the run
	observer     model.Observer
	onExit       func()
	clockOffset  float64 // of the machine's clock at the start, ahead of the true time

	isExited      bool
	isFrozen      bool
	isHandling    bool          // an event; those raised meanwhile are queued
	pendingEvents []relay.Event // queued
	timerID       uint64        // of the timer that is set; earlier ones do nothing

	nodeConns   map[uint64]uint64 // the node's numbers of connections by the state machine's
	relayConns  map[uint64]uint64 // and back
	clientCount uint64            // of clients accepted

	openWatch *watch          // nil: none
	notified  map[string]bool // the backends that the relay was notified of

	fleetNode *fleetNode // nil: the relay has no disk and knows no other

	sibling             *relayProcess // another process on the same socket
	acceptPaused        bool
	handoff             *relay.Handoff            // for the new process
	detachedSession     *relay.TransferredSession // that is being transferred
	acceptedBackendConn uint64                    // of a session that was received; 0: it was rejected
	onReady             func()
}

func newRelayProcess(n *node, number int, stateMachine StateMachine, discovery *model.Discovery,
	impairments map[[2]int]experiment.Impairment, observer model.Observer, onExit func()) *relayProcess {
	return &relayProcess{
		node:         n,
		number:       number,
		stateMachine: stateMachine,
		discovery:    discovery,
		impairments:  impairments,
		observer:     observer,
		onExit:       onExit,
		nodeConns:    map[uint64]uint64{},
		relayConns:   map[uint64]uint64{},
		notified:     map[string]bool{},
	}
}

// handle gives the state machine one event and carries out its effects; events raised meanwhile are queued.
func (p *relayProcess) handle(e relay.Event) {
	p.pendingEvents = append(p.pendingEvents, e)
	p.handlePending()
}

// freeze suspends the process, or has it go on; the kernel goes on accepting and receiving for it.
func (p *relayProcess) freeze(on bool) {
	p.isFrozen = on
	p.handlePending()
}

func (p *relayProcess) clock() float64 { return p.network.now + p.clockOffset }

func (p *relayProcess) handlePending() {
	if p.isHandling || p.isFrozen {
		return
	}
	p.isHandling = true
	for len(p.pendingEvents) > 0 && !p.isExited {
		e := p.pendingEvents[0]
		p.pendingEvents = p.pendingEvents[1:]
		for _, f := range p.stateMachine.Handle(p.clock(), e) {
			p.execute(f)
		}
	}
	p.isHandling = false
}

// execute carries out one effect of the state machine.
func (p *relayProcess) execute(effect relay.Effect) {
	if p.isExited {
		return
	}
	switch f := effect.(type) {
	case *relay.Dial:
		p.dialFor(f.Conn, f.Address)
	case *relay.Write:
		p.writeChunks(f.Conn, f.Chunks)
	case *relay.Close:
		p.closeConn(f.Conn, false)
	case *relay.Reset:
		p.closeConn(f.Conn, true)
	case *relay.SetTimer:
		p.setTimer(f.At)
	case *relay.StartWatch:
		p.startWatch(f.Watch, f.After)
	case *relay.StopWatch:
		p.closeWatch()
	case *relay.PauseAccept:
		p.setAcceptPaused(true)
	case *relay.ResumeAccept:
		p.setAcceptPaused(false)
	case *relay.AnnounceReady:
		if p.onReady != nil {
			p.onReady()
		}
	case *relay.SendHandoff:
		p.handoff = f.Handoff
	case *relay.SendEndpoints:
		p.sendEndpoints(f.Update)
	case *relay.TransferSession:
		client, server := f.ClientConn, f.BackendConn
		p.network.after(transferTime, func() { p.transfer(client, server) })
	case *relay.SessionDetached:
		p.detachedSession = f.Session
	case *relay.SessionAccepted:
		p.acceptedBackendConn = f.BackendConn
	case *relay.Log:
		if p.network.trace != nil {
			p.network.logf("%s note %s %v", p.address, f.Message, f.Args)
		}
	case *relay.ReplicationRequest:
		p.fleetNode.replicate(*f)
	case *relay.Exit:
		p.scheduleExit()
	}
}

// dialFor dials for a connection that the state machine numbered.
func (p *relayProcess) dialFor(own uint64, address string) {
	p.lastNumber++
	p.nodeConns[own] = p.lastNumber
	p.relayConns[p.lastNumber] = own
	p.dial(p.lastNumber, address)
}

func (p *relayProcess) writeChunks(own uint64, chunks [][]byte) {
	conn, isOpen := p.nodeConns[own]
	if isOpen {
		p.write(conn, bytes.Join(chunks, nil))
	}
}

func (p *relayProcess) setTimer(at float64) {
	p.timerID++
	alarm := p.timerID
	p.network.after(at-p.clock(), func() {
		if p.timerID == alarm && !p.isExited {
			p.handle(relay.TimerFired{})
		}
	})
}

// startWatch opens a watch of the endpoint list in place of any other.
func (p *relayProcess) startWatch(number, after uint64) {
	p.closeWatch()
	w := &watch{process: p, relayNumber: number}
	p.openWatch = w
	p.sendOverPath(p.number, experiment.Discovery, func() {
		if p.openWatch == w {
			w.discoveryID = p.discovery.Watch(after, w)
		}
	})
}

func (p *relayProcess) setAcceptPaused(paused bool) {
	p.acceptPaused = paused
	p.updateAccept()
}

// sendEndpoints sends the endpoint list to the sibling process.
func (p *relayProcess) sendEndpoints(update *relay.EndpointUpdate) {
	p.network.after(siblingDelay, func() {
		if p.sibling != nil && !p.sibling.isExited {
			p.sibling.handle(relay.SiblingEndpointsUpdated{Update: update})
		}
	})
}

func (p *relayProcess) scheduleExit() {
	p.network.after(exitTime, func() {
		if !p.isExited {
			p.exitNow(false)
			p.onExit()
		}
	})
}

// closeConn closes or resets a connection, by the state machine's number.
func (p *relayProcess) closeConn(own uint64, broken bool) {
	if conn, open := p.nodeConns[own]; open {
		p.closeSide(conn, broken)
		delete(p.nodeConns, own)
		delete(p.relayConns, conn)
	}
}

// listen has this process accept at the node's socket.
func (p *relayProcess) listen() {
	p.node.actor = p
	p.node.isRefusing = false
	p.updateAccept()
}

// updateAccept accepts waiting clients, or pauses, if this is the process that accepts.
func (p *relayProcess) updateAccept() {
	if p.node.actor == p {
		p.node.isAcceptPaused = p.acceptPaused
		p.network.after(0, p.acceptWaiting)
	}
}

// transfer hands an established session to the sibling process, in the form that it has between two real ones.
func (p *relayProcess) transfer(client, server uint64) {
	if p.isExited || p.sibling == nil {
		return
	}
	p.detachedSession = nil
	p.handle(relay.DetachRequested{Conn: client})
	if p.detachedSession == nil {
		return
	}
	next := p.sibling
	accepted := !next.isExited && next.receive(decodeSession(encodeSession(p.detachedSession)))
	if accepted {
		p.moveConnection(next, client, next.clientCount)
		p.moveConnection(next, server, next.acceptedBackendConn)
	}
	p.handle(relay.SessionTransferred{Conn: client, Accepted: accepted})
}

// receive takes in a session of the sibling process; false: it was not accepted.
func (p *relayProcess) receive(session *relay.TransferredSession) bool {
	p.clientCount++
	p.acceptedBackendConn = 0
	p.handle(relay.SessionReceived{Conn: p.clientCount, Session: session})
	return p.acceptedBackendConn != 0
}

// moveConnection makes the connection that is own here the other process's, under that process's number.
func (p *relayProcess) moveConnection(to *relayProcess, own, number uint64) {
	conn := p.nodeConns[own]
	delete(p.nodeConns, own)
	delete(p.relayConns, conn)
	to.nodeConns[number] = conn
	to.relayConns[conn] = number
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

func (p *relayProcess) closeWatch() {
	if p.openWatch != nil {
		p.discovery.Unwatch(p.openWatch.discoveryID)
		p.openWatch = nil
	}
}

// exitNow ends the process: the kernel closes its connections.
func (p *relayProcess) exitNow(killed bool) {
	p.isExited = true
	p.closeWatch()
	if p.node.actor == p {
		p.isRefusing = true
	}
	for _, conn := range sorted(p.sides) {
		if p.relayConns[conn] != 0 || p.node.actor == p && (p.sibling == nil || p.sibling.relayConns[conn] == 0) {
			p.closeSide(conn, killed)
		}
	}
}

func (p *relayProcess) acceptWaiting() {
	for _, conn := range sorted(p.sides) {
		if s := p.sides[conn]; s != nil && !s.isAccepted && s.peer != nil && p.ownerOf(conn).relayConns[conn] == 0 &&
			!p.isAcceptPaused && !p.isExited {
			s.accept()
		}
	}
}

// OnAccept is called for a client that connects.
func (p *relayProcess) OnAccept(conn uint64) {
	p.clientCount++
	p.nodeConns[p.clientCount] = conn
	p.relayConns[conn] = p.clientCount
	p.handle(relay.ConnAccepted{Conn: p.clientCount})
}

// ownerOf returns the process that has the connection: this one or its sibling.
func (p *relayProcess) ownerOf(conn uint64) *relayProcess {
	if p.relayConns[conn] == 0 && p.sibling != nil && p.sibling.relayConns[conn] != 0 {
		return p.sibling
	}
	return p
}

// OnConnect is called when a dial is up.
func (p *relayProcess) OnConnect(conn uint64) {
	p = p.ownerOf(conn)
	p.handle(relay.ConnEstablished{Conn: p.relayConns[conn]})
}

// OnData is called for data that has arrived.
func (p *relayProcess) OnData(conn uint64, data []byte) {
	p = p.ownerOf(conn)
	p.handle(relay.DataReceived{Conn: p.relayConns[conn], Data: data})
}

// OnClose is called when the other side has closed or reset a connection.
func (p *relayProcess) OnClose(conn uint64, broken bool) {
	p = p.ownerOf(conn)
	of := p.relayConns[conn]
	delete(p.relayConns, conn)
	delete(p.nodeConns, of)
	p.handle(relay.ConnClosed{Conn: of, Reset: broken})
}
