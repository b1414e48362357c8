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
	start       = 1e9     // the time at the beginning of a run, in milliseconds: late enough that 0 is long ago
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

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = event{} // so that its function can be collected
	*q = (*q)[:last]
	return x
}

// network is the virtual time, all hosts and their connections.
type network struct {
	now           float64
	seq           uint64
	queue         queue
	chance        *rand.Rand
	delay, jitter float64
	split         float64
	nodes         map[string]*node
	order         []*node
	cut           map[int]bool // zones
	held          []held       // what waits for its path to be open again
	trace         io.Writer
	bytes         int
	events        int
}

// node is a host on the network. Its actor is called for its connections.
type node struct {
	net     *network
	address string
	zone    int
	actor   model.Actor
	ends    map[uint64]*side
	last    uint64 // connection
	dark    bool
	refuse  bool
	closed  bool // accepts nobody for now; who connects waits
}

// side is one side of a connection, as its node sees it.
type side struct {
	node   *node
	conn   uint64
	other  *side
	open   bool
	taken  bool     // by an actor that accepted it, or whose dial is up
	arrive float64  // when the latest that was sent to it arrives
	wait   []func() // what has arrived before it was taken
}

// held is a delivery that waits for its path.
type held struct {
	from, to *node
	do       func()
}

func newNetwork(chance *rand.Rand, delay, jitter, split float64) *network {
	return &network{
		now:    start,
		chance: chance,
		delay:  delay,
		jitter: jitter,
		split:  split,
		nodes:  map[string]*node{},
		cut:    map[int]bool{},
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

// tell writes a line of the trace.
func (n *network) tell(format string, args ...any) {
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%.4f ", n.now-start)
		fmt.Fprintf(n.trace, format+"\n", args...)
	}
}

// node adds a node.
func (n *network) node(address string, zone int) *node {
	d := &node{net: n, address: address, zone: zone, ends: map[uint64]*side{}}
	n.nodes[address] = d
	n.order = append(n.order, d)
	return d
}

// way draws how many milliseconds a piece of data travels.
func (n *network) way() float64 { return n.delay + 2*n.jitter*n.chance.Float64() }

// passes reports whether the path between two nodes is open. Zones below 0 are never cut off.
func (n *network) passes(a, b *node) bool {
	if a.dark || b.dark {
		return false
	}
	isWithinZone := a.zone == b.zone || a.zone < 0 || b.zone < 0
	return isWithinZone || !(n.cut[a.zone] || n.cut[b.zone])
}

// carry calls do once the path from one node to another is open.
func (n *network) carry(from, to *node, do func()) {
	if !n.passes(from, to) {
		n.held = append(n.held, held{from, to, do})
		return
	}
	do()
}

// reopened delivers what was held where the path is open now.
func (n *network) reopened() {
	waiting := n.held
	n.held = nil
	for _, h := range waiting {
		if n.passes(h.from, h.to) {
			n.after(0, h.do)
		} else {
			n.held = append(n.held, h)
		}
	}
}

// deliver has do called at a side, behind all that was sent there before.
func (n *network) deliver(to *side, do func()) {
	to.arrive = max(n.now+n.way(), to.arrive)
	from := to.other.node
	n.after(to.arrive-n.now, func() {
		n.carry(from, to.node, func() {
			switch {
			case !to.open:
			case !to.taken:
				to.wait = append(to.wait, do)
			default:
				do()
			}
		})
	})
}

// dial connects to an address; the actor learns of the outcome by OnConnect or OnClose.
func (d *node) dial(conn uint64, address string) {
	n := d.net
	own := &side{node: d, conn: conn, open: true}
	d.ends[conn] = own
	n.after(dialTimeout, func() {
		if !own.taken {
			own.dialFailed()
		}
	})
	n.after(n.way(), func() {
		to := n.nodes[address]
		if to == nil {
			n.after(n.way(), own.dialFailed)
			return
		}
		n.carry(d, to, func() { own.reach(to) })
	})
}

// dialFailed tells the actor that its dial has failed, unless it was given up or is up.
func (s *side) dialFailed() {
	if !s.open {
		return
	}
	s.open = false
	delete(s.node.ends, s.conn)
	s.node.net.tell("%s %d never up", s.node.address, s.conn)
	s.node.actor.OnClose(s.conn, true)
}

// reach has a dial arrive at the node that it goes to.
func (s *side) reach(to *node) {
	n := s.node.net
	if to.refuse {
		n.after(n.way(), func() { n.carry(to, s.node, s.dialFailed) })
		return
	}
	to.last++
	peer := &side{node: to, conn: to.last, other: s, open: true}
	s.other = peer
	to.ends[peer.conn] = peer
	if !to.closed {
		peer.accept()
	}
	s.arrive = n.now + n.way()
	n.after(s.arrive-n.now, func() { n.carry(to, s.node, s.established) })
}

// established tells the actor that its dial is up, or the other side that it was given up meanwhile.
func (s *side) established() {
	n := s.node.net
	switch {
	case !s.open:
		n.sever(s.other, false)
	case !s.taken:
		s.taken = true
		n.tell("%s %d up", s.node.address, s.conn)
		s.node.actor.OnConnect(s.conn)
		s.flush()
	}
}

// accept hands a connection to the actor that it was dialed to.
func (s *side) accept() {
	s.taken = true
	s.node.net.tell("%s %d opened", s.node.address, s.conn)
	s.node.actor.OnAccept(s.conn)
	s.flush()
}

// flush delivers what has arrived before the side was taken.
func (s *side) flush() {
	for len(s.wait) > 0 && s.open {
		do := s.wait[0]
		s.wait = s.wait[1:]
		do()
	}
	s.wait = nil
}

// sever has the close of a connection arrive at a side.
func (n *network) sever(s *side, broken bool) {
	n.deliver(s, func() {
		s.open = false
		delete(s.node.ends, s.conn)
		n.tell("%s %d over %t", s.node.address, s.conn, broken)
		s.node.actor.OnClose(s.conn, broken)
	})
}

// write sends data, now and then in two pieces.
func (d *node) write(conn uint64, data []byte) {
	s := d.ends[conn]
	if s == nil || !s.open || s.other == nil || len(data) == 0 {
		return
	}
	n := d.net
	n.bytes += len(data)
	if len(data) > 1 && n.split > 0 && n.chance.Float64() < n.split {
		at := 1 + n.chance.Intn(len(data)-1)
		d.piece(s, data[:at])
		data = data[at:]
	}
	d.piece(s, data)
}

// piece sends one piece of data.
func (d *node) piece(s *side, data []byte) {
	n := d.net
	to := s.other
	copied := bytes.Clone(data)
	n.deliver(to, func() {
		if n.trace != nil {
			n.tell("%s %d came %q", to.node.address, to.conn, copied)
		}
		to.node.actor.OnData(to.conn, copied)
	})
}

// end closes or resets a connection from this side, at once.
func (d *node) end(conn uint64, broken bool) {
	s := d.ends[conn]
	if s == nil || !s.open {
		return
	}
	s.open = false
	delete(d.ends, conn)
	if s.other != nil {
		d.net.sever(s.other, broken)
	}
}

// host is a node as the model's actors see it; it implements model.Host.
type host struct{ *node }

// Now returns the time in milliseconds.
func (h host) Now() float64 { return h.net.now }

// After has do called once wait milliseconds have passed.
func (h host) After(wait float64, do func()) { h.net.after(wait, do) }

// Dial opens a connection and returns its number.
func (h host) Dial(address string) uint64 {
	h.last++
	h.dial(h.last, address)
	return h.last
}

// Write sends data on a connection.
func (h host) Write(conn uint64, data []byte) { h.write(conn, data) }

// Close closes a connection.
func (h host) Close(conn uint64) { h.end(conn, false) }

// Reset resets a connection.
func (h host) Reset(conn uint64) { h.end(conn, true) }
