// Package sim runs an experiment in virtual time: the relays' real state machines, unchanged, on a simulated
// network, among the testbed's model. Nothing runs concurrently and nothing reads a clock, so one seed gives the
// same run, event by event. Every byte that clients, backends and relays exchange goes through the state machines.
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
	startMillis = 1e9     // the time at the beginning of a run, in milliseconds: late enough that 0 is long ago
	dialTimeout = 10000.0 // milliseconds after which the kernel would give up a dial
)

// event is something that happens at a time; those of one time happen in the order of their numbers.
type event struct {
	at  float64
	seq uint64
	do  func()
}

// queue is a heap of events, the next one first.
type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface: the earlier one comes first.
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

// network is the virtual time, all hosts and their connections.
type network struct {
	now              float64
	seq              uint64
	queue            queue
	rng              *rand.Rand
	delay, jitter    float64
	splitProbability float64
	nodes            map[string]*node
	nodeList         []*node
	isolatedZones    map[int]bool      // zones
	delayed          []delayedDelivery // what waits for its path to be open again
	trace            io.Writer
	bytes            int
	events           int
}

// node is a host on the network. Its actor is called for its connections.
type node struct {
	network        *network
	address        string
	zone           int
	actor          model.Actor
	sides          map[uint64]*side
	lastNumber     uint64 // connection
	isUnreachable  bool
	isRefusing     bool
	isAcceptPaused bool // accepts nobody for now; who connects waits
}

// side is one side of a connection, as its node sees it.
type side struct {
	node        *node
	number      uint64
	peer        *side
	isOpen      bool
	isAccepted  bool     // by an actor that accepted it, or whose dial is up
	lastArrival float64  // when the latest that was sent to it arrives
	waiting     []func() // what has arrived before it was taken
}

// delayedDelivery is a delivery that waits for its path.
type delayedDelivery struct {
	from, to *node
	do       func()
}

func newNetwork(chance *rand.Rand, delay, jitter, split float64) *network {
	return &network{
		now:              startMillis,
		rng:              chance,
		delay:            delay,
		jitter:           jitter,
		splitProbability: split,
		nodes:            map[string]*node{},
		isolatedZones:    map[int]bool{},
	}
}

// after has do called once wait milliseconds have passed.
func (n *network) after(wait float64, do func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + max(wait, 0), n.seq, do})
}

// run goes on until that time.
func (n *network) run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.events++
		e.do()
	}
	n.now = until
}

// logf writes a line of the trace.
func (n *network) logf(format string, args ...any) {
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%.4f ", n.now-startMillis)
		fmt.Fprintf(n.trace, format+"\n", args...)
	}
}

// addNode adds a node.
func (n *network) addNode(address string, zone int) *node {
	d := &node{network: n, address: address, zone: zone, sides: map[uint64]*side{}}
	n.nodes[address] = d
	n.nodeList = append(n.nodeList, d)
	return d
}

// drawTravelTime draws how many milliseconds a piece of data travels.
func (n *network) drawTravelTime() float64 { return n.delay + 2*n.jitter*n.rng.Float64() }

// isPathOpen reports whether the path between two nodes is open. Zones below 0 are never cut off.
func (n *network) isPathOpen(a, b *node) bool {
	if a.isUnreachable || b.isUnreachable {
		return false
	}
	isWithinZone := a.zone == b.zone || a.zone < 0 || b.zone < 0
	return isWithinZone || !(n.isolatedZones[a.zone] || n.isolatedZones[b.zone])
}

// whenPathOpen calls do once the path from one node to another is open.
func (n *network) whenPathOpen(from, to *node, do func()) {
	if !n.isPathOpen(from, to) {
		n.delayed = append(n.delayed, delayedDelivery{from, to, do})
		return
	}
	do()
}

// deliverDelayed delivers what was held where the path is open now.
func (n *network) deliverDelayed() {
	waiting := n.delayed
	n.delayed = nil
	for _, h := range waiting {
		if n.isPathOpen(h.from, h.to) {
			n.after(0, h.do)
		} else {
			n.delayed = append(n.delayed, h)
		}
	}
}

// deliver has do called at a side, behind all that was sent there before.
func (n *network) deliver(to *side, do func()) {
	to.lastArrival = max(n.now+n.drawTravelTime(), to.lastArrival)
	from := to.peer.node
	n.after(to.lastArrival-n.now, func() {
		n.whenPathOpen(from, to.node, func() {
			switch {
			case !to.isOpen:
			case !to.isAccepted:
				to.waiting = append(to.waiting, do)
			default:
				do()
			}
		})
	})
}

// dial connects to an address; the actor learns of the outcome by OnConnect or OnClose.
func (d *node) dial(conn uint64, address string) {
	n := d.network
	own := &side{node: d, number: conn, isOpen: true}
	d.sides[conn] = own
	n.after(dialTimeout, func() {
		if !own.isAccepted {
			own.dialFailed()
		}
	})
	n.after(n.drawTravelTime(), func() {
		to := n.nodes[address]
		if to == nil {
			n.after(n.drawTravelTime(), own.dialFailed)
			return
		}
		n.whenPathOpen(d, to, func() { own.reach(to) })
	})
}

// dialFailed tells the actor that its dial has failed, unless it was given up or is up.
func (s *side) dialFailed() {
	if !s.isOpen {
		return
	}
	s.isOpen = false
	delete(s.node.sides, s.number)
	s.node.network.logf("%s %d never up", s.node.address, s.number)
	s.node.actor.OnClose(s.number, true)
}

// reach has a dial arrive at the node that it goes to.
func (s *side) reach(to *node) {
	n := s.node.network
	if to.isRefusing {
		n.after(n.drawTravelTime(), func() { n.whenPathOpen(to, s.node, s.dialFailed) })
		return
	}
	to.lastNumber++
	peer := &side{node: to, number: to.lastNumber, peer: s, isOpen: true}
	s.peer = peer
	to.sides[peer.number] = peer
	if !to.isAcceptPaused {
		peer.accept()
	}
	s.lastArrival = n.now + n.drawTravelTime()
	n.after(s.lastArrival-n.now, func() { n.whenPathOpen(to, s.node, s.established) })
}

// established tells the actor that its dial is up, or the other side that it was given up meanwhile.
func (s *side) established() {
	n := s.node.network
	switch {
	case !s.isOpen:
		n.deliverClose(s.peer, false)
	case !s.isAccepted:
		s.isAccepted = true
		n.logf("%s %d up", s.node.address, s.number)
		s.node.actor.OnConnect(s.number)
		s.flush()
	}
}

// accept hands a connection to the actor that it was dialed to.
func (s *side) accept() {
	s.isAccepted = true
	s.node.network.logf("%s %d opened", s.node.address, s.number)
	s.node.actor.OnAccept(s.number)
	s.flush()
}

// flush delivers what has arrived before the side was taken.
func (s *side) flush() {
	for len(s.waiting) > 0 && s.isOpen {
		do := s.waiting[0]
		s.waiting = s.waiting[1:]
		do()
	}
	s.waiting = nil
}

// deliverClose has the close of a connection arrive at a side.
func (n *network) deliverClose(s *side, broken bool) {
	n.deliver(s, func() {
		s.isOpen = false
		delete(s.node.sides, s.number)
		n.logf("%s %d over %t", s.node.address, s.number, broken)
		s.node.actor.OnClose(s.number, broken)
	})
}

// write sends data, now and then in two pieces.
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
			n.logf("%s %d came %q", to.node.address, to.number, copied)
		}
		to.node.actor.OnData(to.number, copied)
	})
}

// closeSide closes or resets a connection from this side, at once.
func (d *node) closeSide(conn uint64, broken bool) {
	s := d.sides[conn]
	if s == nil || !s.isOpen {
		return
	}
	s.isOpen = false
	delete(d.sides, conn)
	if s.peer != nil {
		d.network.deliverClose(s.peer, broken)
	}
}

// nodeHost is a node as the model's actors see it; it implements model.Host.
type nodeHost struct{ *node }

// Now returns the time in milliseconds.
func (h nodeHost) Now() float64 { return h.network.now }

// After has do called once wait milliseconds have passed.
func (h nodeHost) After(wait float64, do func()) { h.network.after(wait, do) }

// Dial opens a connection and returns its number.
func (h nodeHost) Dial(address string) uint64 {
	h.lastNumber++
	h.dial(h.lastNumber, address)
	return h.lastNumber
}

// Write sends data on a connection.
func (h nodeHost) Write(conn uint64, data []byte) { h.write(conn, data) }

// Close closes a connection.
func (h nodeHost) Close(conn uint64) { h.closeSide(conn, false) }

// Reset resets a connection.
func (h nodeHost) Reset(conn uint64) { h.closeSide(conn, true) }
