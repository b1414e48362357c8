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
	transferTime = 0.5  // milliseconds to transfer one session from a relay's process to its sibling
	siblingDelay = 50.0 // milliseconds until a process notices what its sibling did
	exitTime     = 1.0  // milliseconds from the state machine's Exit effect to the end of the process
)

// sortedKeys returns the keys of a map in a fixed order, so that a run does not depend on the order of iteration.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// StateMachine is the relay's state machine, or a wrapper around it that injects faults in tests of the auditor.
type StateMachine interface {
	Handle(now float64, e relay.Event) []relay.Effect
}

// relayProcess is one process of a relay. It performs the state machine's effects on the simulated network, as the
// relay's socket driver does on real connections.
type relayProcess struct {
	*node
	number       int // number of the relay and of its machine
	stateMachine StateMachine
	discovery    *model.Discovery
	impairments  map[[2]int]experiment.Impairment // impairments of network paths, shared by all processes
	observer     model.Observer
	onExit       func()
	clockOffset  float64    // milliseconds that the machine's clock was ahead of the true time when the process started
	fleetNode    *fleetNode // nil if the experiment has neither membership nor disks

	eventLoop
	connNumbers
	endpointWatch
	siblingState
}

// eventLoop is the state of a process's event loop, which handles one event at a time.
type eventLoop struct {
	isExited      bool
	isFrozen      bool          // the process is suspended and handles no events
	isHandling    bool          // the state machine is handling an event; further events are queued
	pendingEvents []relay.Event // events to be handled
	timerID       uint64        // ID of the timer that was set last; earlier timers do nothing
}

// connNumbers translates between a node's connection numbers, which stay the same when a session moves to another
// process, and those of the process's state machine.
type connNumbers struct {
	nodeConns      map[uint64]uint64 // the node's number by the state machine's number
	relayConns     map[uint64]uint64 // the state machine's number by the node's number
	lastClientConn uint64            // the state machine's number of the client connection accepted last
}

// endpointWatch is the process's watches of the endpoint list.
type endpointWatch struct {
	openWatches map[uint64]*watch // by their ID in the state machine
	notified    map[string]bool   // names of the backends that the relay was told about
}

// siblingState is the state that a process shares with its sibling, the other process on the same socket.
type siblingState struct {
	sibling         *relayProcess // nil if there is none
	acceptPaused    bool
	handoff         *relay.Handoff            // handoff for the new process
	detachedSession *relay.TransferredSession // session that is being transferred to the sibling
	incoming        *incomingSession          // session being received, until it is accepted; nil if there is none
	onReady         func()
}

// incomingSession is a session that the sibling sends, and the sibling's numbers of its connections.
type incomingSession struct {
	from    *relayProcess
	client  uint64
	backend uint64
}

func newRelayProcess(n *node, number int, stateMachine StateMachine, discovery *model.Discovery,
	impairments map[[2]int]experiment.Impairment, observer model.Observer, onExit func()) *relayProcess {
	return &relayProcess{
		node:          n,
		number:        number,
		stateMachine:  stateMachine,
		discovery:     discovery,
		impairments:   impairments,
		observer:      observer,
		onExit:        onExit,
		connNumbers:   connNumbers{nodeConns: map[uint64]uint64{}, relayConns: map[uint64]uint64{}},
		endpointWatch: endpointWatch{openWatches: map[uint64]*watch{}, notified: map[string]bool{}},
	}
}

// handle has the state machine handle an event and performs its effects. Events that these raise are queued.
func (p *relayProcess) handle(e relay.Event) {
	p.pendingEvents = append(p.pendingEvents, e)
	p.handlePending()
}

// freeze suspends or resumes the process. Connections and data that arrive meanwhile are queued, as the kernel does.
func (p *relayProcess) freeze(frozen bool) {
	p.isFrozen = frozen
	p.handlePending()
}

// clock returns the time in milliseconds by the process's clock.
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

// execute performs one effect of the state machine.
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
		p.closeWatchesBut(f.Keep)
		p.startWatch(f.Watch, f.After)
	case *relay.StopWatch:
		p.closeWatchesBut(f.Keep)
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
		client, backend := f.ClientConn, f.BackendConn
		p.network.after(transferTime, func() { p.transfer(client, backend) })
	case *relay.SessionDetached:
		p.detachedSession = f.Session
	case *relay.SessionAccepted:
		p.takeConnections(f)
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

// dialFor dials an address for a new connection of the state machine.
func (p *relayProcess) dialFor(relayConn uint64, address string) {
	p.lastConn++
	p.nodeConns[relayConn] = p.lastConn
	p.relayConns[p.lastConn] = relayConn
	p.dial(p.lastConn, address)
}

func (p *relayProcess) writeChunks(relayConn uint64, chunks [][]byte) {
	conn, isOpen := p.nodeConns[relayConn]
	if isOpen {
		p.write(conn, bytes.Join(chunks, nil))
	}
}

func (p *relayProcess) setTimer(at float64) {
	p.timerID++
	id := p.timerID
	p.network.after(at-p.clock(), func() {
		if p.timerID == id && !p.isExited {
			p.handle(relay.TimerFired{})
		}
	})
}

// startWatch opens a watch of the endpoint list.
func (p *relayProcess) startWatch(number, after uint64) {
	w := &watch{process: p, relayWatchID: number}
	p.openWatches[number] = w
	p.sendOverPath(p.number, experiment.Discovery, func() {
		if w.isOpen() {
			w.discoveryWatchID = p.discovery.Watch(after, w)
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

// closeConn closes a connection of the state machine, or resets it if broken is true.
func (p *relayProcess) closeConn(relayConn uint64, reset bool) {
	if conn, open := p.nodeConns[relayConn]; open {
		p.closeSide(conn, reset)
		delete(p.nodeConns, relayConn)
		delete(p.relayConns, conn)
	}
}

// listen makes this process the one that accepts on the node's socket.
func (p *relayProcess) listen() {
	p.node.actor = p
	p.node.isRefusing = false
	p.updateAccept()
}

// updateAccept accepts waiting clients, or pauses accepting, if this process is the one that accepts.
func (p *relayProcess) updateAccept() {
	if p.node.actor == p {
		p.node.isAcceptPaused = p.acceptPaused
		p.network.after(0, p.acceptWaiting)
	}
}

// transfer hands an established session to the sibling process, in the encoding that real processes use.
func (p *relayProcess) transfer(client, backend uint64) {
	if p.isExited || p.sibling == nil {
		return
	}
	p.detachedSession = nil
	p.handle(relay.DetachRequested{Conn: client})
	if p.detachedSession == nil {
		return
	}
	target := p.sibling
	accepted := !target.isExited && !target.isFrozen && target.receive(decodeSession(encodeSession(p.detachedSession)),
		&incomingSession{from: p, client: client, backend: backend})
	p.handle(relay.SessionTransferred{Conn: client, Accepted: accepted})
}

// receive takes over a session of the sibling process, and reports whether it was accepted.
func (p *relayProcess) receive(session *relay.TransferredSession, incoming *incomingSession) bool {
	p.lastClientConn++
	p.incoming = incoming
	p.handle(relay.SessionReceived{Conn: p.lastClientConn, Session: session})
	accepted := p.incoming == nil
	p.incoming = nil
	return accepted
}

// takeConnections moves the connections of an accepted session to this process, before it performs other effects on them.
func (p *relayProcess) takeConnections(accepted *relay.SessionAccepted) {
	incoming := p.incoming
	p.incoming = nil
	incoming.from.moveConnection(p, incoming.client, accepted.Conn)
	incoming.from.moveConnection(p, incoming.backend, accepted.BackendConn)
}

// moveConnection moves a connection to another process, whose state machine knows it as otherRelayConn.
func (p *relayProcess) moveConnection(to *relayProcess, relayConn, otherRelayConn uint64) {
	conn := p.nodeConns[relayConn]
	delete(p.nodeConns, relayConn)
	delete(p.relayConns, conn)
	to.nodeConns[otherRelayConn] = conn
	to.relayConns[conn] = otherRelayConn
}

func encodeSession(session *relay.TransferredSession) []byte {
	text, err := json.Marshal(session)
	if err != nil {
		panic(err) // can't fail: a session has only plain values
	}
	return text
}

func decodeSession(text []byte) *relay.TransferredSession {
	session := &relay.TransferredSession{}
	if err := json.Unmarshal(text, session); err != nil {
		panic(err) // can't fail: the text comes from encodeSession
	}
	return session
}

// closeWatchesBut closes all watches but those with the given IDs in the state machine.
func (p *relayProcess) closeWatchesBut(keep []uint64) {
	for _, number := range sortedKeys(p.openWatches) {
		if !slices.Contains(keep, number) {
			p.discovery.Unwatch(p.openWatches[number].discoveryWatchID)
			delete(p.openWatches, number)
		}
	}
}

// exitNow ends the process and closes its connections, as the kernel does; killed says that they are reset.
func (p *relayProcess) exitNow(killed bool) {
	p.isExited = true
	p.closeWatchesBut(nil)
	if p.node.actor == p {
		p.isRefusing = true
	}
	for _, conn := range sortedKeys(p.sides) {
		if p.relayConns[conn] != 0 || p.node.actor == p && (p.sibling == nil || p.sibling.relayConns[conn] == 0) {
			p.closeSide(conn, killed)
		}
	}
}

func (p *relayProcess) acceptWaiting() {
	for _, conn := range sortedKeys(p.sides) {
		if s := p.sides[conn]; s != nil && !s.isAccepted && s.peer != nil && p.ownerOf(conn).relayConns[conn] == 0 &&
			!p.isAcceptPaused && !p.isExited {
			s.accept()
		}
	}
}

// OnAccept is called when a client has connected.
func (p *relayProcess) OnAccept(conn uint64) {
	p.lastClientConn++
	p.nodeConns[p.lastClientConn] = conn
	p.relayConns[conn] = p.lastClientConn
	p.handle(relay.ConnAccepted{Conn: p.lastClientConn})
}

// ownerOf returns the process that has a connection of the node: this one or its sibling.
func (p *relayProcess) ownerOf(conn uint64) *relayProcess {
	if p.relayConns[conn] == 0 && p.sibling != nil && p.sibling.relayConns[conn] != 0 {
		return p.sibling
	}
	return p
}

// OnConnect is called when a dialed connection is established.
func (p *relayProcess) OnConnect(conn uint64) {
	p = p.ownerOf(conn)
	p.handle(relay.ConnEstablished{Conn: p.relayConns[conn]})
}

// OnData is called when data has arrived.
func (p *relayProcess) OnData(conn uint64, data []byte) {
	p = p.ownerOf(conn)
	p.handle(relay.DataReceived{Conn: p.relayConns[conn], Data: data})
}

// OnClose is called when the other side has closed or reset a connection.
func (p *relayProcess) OnClose(conn uint64, reset bool) {
	p = p.ownerOf(conn)
	relayConn := p.relayConns[conn]
	delete(p.relayConns, conn)
	delete(p.nodeConns, relayConn)
	p.handle(relay.ConnClosed{Conn: relayConn, Reset: reset})
}
