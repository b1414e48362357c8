// Package sim runs an experiment in virtual time. The relays' real state machines run unchanged on a simulated network,
// with the clients, backends and discovery service of package model. Nothing runs concurrently and no event depends on
// the real time, so the same seed gives the same run, event by event. Every byte between clients and backends goes
// through the relays' state machines.
package sim

import (
	"bytes"
	"container/heap"
	"fmt"
	"io"
	"math/rand"

	"valeshift/internal/testbed/model"
)

const (
	startMillis = 1e9     // virtual time in milliseconds at which a run starts; late, so that time 0 is long past
	dialTimeout = 10000.0 // milliseconds after which a dial times out, in place of the kernel's own timeout
)

// event is a call scheduled at a virtual time. Events of the same time run in the order of their sequence numbers.
type event struct {
	at  float64 // virtual time in milliseconds
	seq uint64
	do  func()
}

// queue is a heap of events, the earliest first.
type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface. It orders events by time, then by sequence number.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = event{} // so that its function can be collected
	*q = (*q)[:last]
	return x
}

// network holds the virtual time, the scheduled events and all nodes with their connections.
type network struct {
	now              float64 // virtual time in milliseconds
	seq              uint64  // sequence number of the event that was scheduled last
	queue            queue
	rng              *rand.Rand
	delay, jitter    float64           // milliseconds; each piece of data takes delay plus up to twice jitter
	splitProbability float64           // probability that a write arrives in two pieces
	nodes            map[string]*node  // nodes by address
	nodeList         []*node           // nodes in the order in which they were added
	isolatedZones    map[int]bool      // zones that are cut off from the other zones
	blocked          []blockedDelivery // deliveries that wait for their path to open
	trace            io.Writer         // trace of the run; nil if none is written
	bytes            int               // bytes written to connections so far
	events           int               // events run so far
}

// node is a host on the network. Its actor is called back about its connections.
type node struct {
	network        *network
	address        string
	zone           int
	actor          model.Actor
	sides          map[uint64]*side
	lastConn       uint64 // number of the node's newest connection
	isUnreachable  bool   // nothing passes to or from the node
	isRefusing     bool   // new connections are refused
	isAcceptPaused bool   // new connections wait until the node accepts again
}

// side is one of the two sides of a connection.
type side struct {
	node        *node
	connNumber  uint64 // number of the connection at its node
	peer        *side  // the other side; nil until the dial has arrived there
	isOpen      bool
	isAccepted  bool     // the node's actor knows the connection: it accepted it, or its dial was established
	lastArrival float64  // virtual time in milliseconds at which the latest delivery to this side arrives
	undelivered []func() // deliveries that arrived before isAccepted was set
}

// blockedDelivery is a delivery that waits for its path to open.
type blockedDelivery struct {
	from, to *node
	do       func()
}

func newNetwork(random *rand.Rand, delay, jitter, split float64) *network {
	return &network{
		now:              startMillis,
		rng:              random,
		delay:            delay,
		jitter:           jitter,
		splitProbability: split,
		nodes:            map[string]*node{},
		isolatedZones:    map[int]bool{},
	}
}

// after schedules a call of do in wait milliseconds.
func (n *network) after(wait float64, do func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + max(wait, 0), n.seq, do})
}

// run runs all events up to a virtual time.
func (n *network) run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.events++
		e.do()
	}
	n.now = until
}

// logf writes a line to the trace, if there is one.
func (n *network) logf(format string, args ...any) {
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%.4f ", n.now-startMillis)
		fmt.Fprintf(n.trace, format+"\n", args...)
	}
}

// addNode adds a node in a zone; a zone below 0 stands for none.
func (n *network) addNode(address string, zone int) *node {
	d := &node{network: n, address: address, zone: zone, sides: map[uint64]*side{}}
	n.nodes[address] = d
	n.nodeList = append(n.nodeList, d)
	return d
}

// drawDelay draws the network delay of a piece of data, in milliseconds.
func (n *network) drawDelay() float64 { return n.delay + 2*n.jitter*n.rng.Float64() }

// isPathOpen reports whether the path between two nodes is open. Zones below 0 are never cut off.
func (n *network) isPathOpen(a, b *node) bool {
	if a.isUnreachable || b.isUnreachable {
		return false
	}
	isWithinZone := a.zone == b.zone || a.zone < 0 || b.zone < 0
	return isWithinZone || !(n.isolatedZones[a.zone] || n.isolatedZones[b.zone])
}

// whenPathOpen calls do at once if the path between two nodes is open, else once it has opened.
func (n *network) whenPathOpen(from, to *node, do func()) {
	if !n.isPathOpen(from, to) {
		n.blocked = append(n.blocked, blockedDelivery{from, to, do})
		return
	}
	do()
}

// deliverUnblocked makes the blocked deliveries whose path is open now.
func (n *network) deliverUnblocked() {
	waiting := n.blocked
	n.blocked = nil
	for _, h := range waiting {
		if n.isPathOpen(h.from, h.to) {
			n.after(0, h.do)
		} else {
			n.blocked = append(n.blocked, h)
		}
	}
}

// deliver schedules a call of do when something sent now arrives at a side, after all that was sent there earlier. The
// call is dropped if the side is closed by then.
func (n *network) deliver(to *side, do func()) {
	to.lastArrival = max(n.now+n.drawDelay(), to.lastArrival)
	from := to.peer.node
	n.after(to.lastArrival-n.now, func() {
		n.whenPathOpen(from, to.node, func() {
			switch {
			case !to.isOpen:
			case !to.isAccepted:
				to.undelivered = append(to.undelivered, do)
			default:
				do()
			}
		})
	})
}

// dial connects to an address. The actor's OnConnect or OnClose is called with the outcome.
func (d *node) dial(conn uint64, address string) {
	n := d.network
	dialer := &side{node: d, connNumber: conn, isOpen: true}
	d.sides[conn] = dialer
	n.after(dialTimeout, func() {
		if !dialer.isAccepted {
			dialer.dialFailed()
		}
	})
	n.after(n.drawDelay(), func() {
		to := n.nodes[address]
		if to == nil {
			n.after(n.drawDelay(), dialer.dialFailed)
			return
		}
		n.whenPathOpen(d, to, func() { dialer.dialArrived(to) })
	})
}

// dialFailed tells the actor that its dial has failed, unless the connection has been closed already.
func (s *side) dialFailed() {
	if !s.isOpen {
		return
	}
	s.isOpen = false
	delete(s.node.sides, s.connNumber)
	s.node.network.logf("%s %d never up", s.node.address, s.connNumber)
	s.node.actor.OnClose(s.connNumber, true)
}

// dialArrived handles the arrival of a dial at the dialed node.
func (s *side) dialArrived(to *node) {
	n := s.node.network
	if to.isRefusing {
		n.after(n.drawDelay(), func() { n.whenPathOpen(to, s.node, s.dialFailed) })
		return
	}
	to.lastConn++
	peer := &side{node: to, connNumber: to.lastConn, peer: s, isOpen: true}
	s.peer = peer
	to.sides[peer.connNumber] = peer
	if !to.isAcceptPaused {
		peer.accept()
	}
	s.lastArrival = n.now + n.drawDelay()
	n.after(s.lastArrival-n.now, func() { n.whenPathOpen(to, s.node, s.established) })
}

// established tells the dialing actor that its connection is established. If that actor has closed the connection
// meanwhile, the other side is told of the close.
func (s *side) established() {
	n := s.node.network
	switch {
	case !s.isOpen:
		n.deliverClose(s.peer, false)
	case !s.isAccepted:
		s.isAccepted = true
		n.logf("%s %d up", s.node.address, s.connNumber)
		s.node.actor.OnConnect(s.connNumber)
		s.flush()
	}
}

// accept hands an incoming connection to the dialed node's actor.
func (s *side) accept() {
	s.isAccepted = true
	s.node.network.logf("%s %d opened", s.node.address, s.connNumber)
	s.node.actor.OnAccept(s.connNumber)
	s.flush()
}

// flush makes the deliveries that arrived before isAccepted was set.
func (s *side) flush() {
	for len(s.undelivered) > 0 && s.isOpen {
		do := s.undelivered[0]
		s.undelivered = s.undelivered[1:]
		do()
	}
	s.undelivered = nil
}

// deliverClose sends a side the close of its connection, or its reset if broken is true.
func (n *network) deliverClose(s *side, reset bool) {
	n.deliver(s, func() {
		s.isOpen = false
		delete(s.node.sides, s.connNumber)
		n.logf("%s %d over %t", s.node.address, s.connNumber, reset)
		s.node.actor.OnClose(s.connNumber, reset)
	})
}

// write sends data on a connection, in two pieces with the network's splitProbability.
func (d *node) write(conn uint64, data []byte) {
	s := d.sides[conn]
	if s == nil || !s.isOpen || s.peer == nil || len(data) == 0 {
		return
	}
	n := d.network
	n.bytes += len(data)
	if len(data) > 1 && n.splitProbability > 0 && n.rng.Float64() < n.splitProbability {
		at := 1 + n.rng.Intn(len(data)-1)
		d.sendPiece(s, data[:at])
		data = data[at:]
	}
	d.sendPiece(s, data)
}

// sendPiece sends one piece of data.
func (d *node) sendPiece(s *side, data []byte) {
	n := d.network
	to := s.peer
	copied := bytes.Clone(data)
	n.deliver(to, func() {
		if n.trace != nil {
			n.logf("%s %d came %q", to.node.address, to.connNumber, copied)
		}
		to.node.actor.OnData(to.connNumber, copied)
	})
}

// closeSide closes a connection at this node at once, or resets it if broken is true.
func (d *node) closeSide(conn uint64, reset bool) {
	s := d.sides[conn]
	if s == nil || !s.isOpen {
		return
	}
	s.isOpen = false
	delete(d.sides, conn)
	if s.peer != nil {
		d.network.deliverClose(s.peer, reset)
	}
}

// nodeHost implements model.Host on a node, for the model's actors.
type nodeHost struct{ *node }

// Now returns the virtual time in milliseconds.
func (h nodeHost) Now() float64 { return h.network.now }

// After schedules a call of do in wait milliseconds.
func (h nodeHost) After(wait float64, do func()) { h.network.after(wait, do) }

// Dial opens a connection and returns its number.
func (h nodeHost) Dial(address string) uint64 {
	h.lastConn++
	h.dial(h.lastConn, address)
	return h.lastConn
}

// Write sends data on a connection.
func (h nodeHost) Write(conn uint64, data []byte) { h.write(conn, data) }

// Close closes a connection.
func (h nodeHost) Close(conn uint64) { h.closeSide(conn, false) }

// Reset resets a connection.
func (h nodeHost) Reset(conn uint64) { h.closeSide(conn, true) }
