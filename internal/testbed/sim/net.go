// Package sim plays an experiment under virtual time: the relays' real reducers, unchanged, on a simulated
// network, among the lab's model. Nothing runs side by side and nothing asks a clock, so one seed gives one
// run to the letter. Every byte that clients, servers and relays exchange goes through the reducers.
package sim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand"

	"valeshift/internal/testbed/model"
)

// start is the clock at the beginning of a run: late enough that 0 is long ago.
const start = 1e9

const dialTime = 10000.0 // after which the kernel would give a dial up

type event struct {
	at  float64
	seq uint64
	do  func()
}

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
	(*q)[last], *q = event{}, (*q)[:last]
	return x
}

// network is the virtual time and all connections.
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
	held          []held       // what waits for the way to be open again
	trace         io.Writer
	bytes         int
	events        int
}

// node is a place on the network. Its actor is called for its connections.
type node struct {
	net     *network
	address string
	zone    int
	actor   model.Actor
	ends    map[uint64]*side
	last    uint64 // connection
	dark    bool
	refuse  bool
	closed  bool // takes nobody in for now; who comes waits
}

// side is one side of a connection.
type side struct {
	node   *node
	conn   uint64
	other  *side
	open   bool
	taken  bool    // by an actor that accepted it, or dialed it
	arrive float64 // when the latest that was sent to it arrives
	wait   []func()
}

type held struct {
	from, to *node
	do       func()
}

func newNetwork(chance *rand.Rand, delay, jitter, split float64) *network {
	return &network{now: start, chance: chance, delay: delay, jitter: jitter, split: split,
		nodes: map[string]*node{}, cut: map[int]bool{}}
}

func (n *network) after(wait float64, do func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + max(wait, 0), n.seq, do})
}

// run plays until that time.
func (n *network) run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.events++
		e.do()
	}
	n.now = until
}

func (n *network) tell(format string, args ...any) {
	if n.trace != nil {
		fmt.Fprintf(n.trace, "%.4f ", n.now-start)
		fmt.Fprintf(n.trace, format+"\n", args...)
	}
}

func (n *network) node(address string, zone int) *node {
	d := &node{net: n, address: address, zone: zone, ends: map[uint64]*side{}}
	n.nodes[address] = d
	n.order = append(n.order, d)
	return d
}

// way is how long a piece travels.
func (n *network) way() float64 { return n.delay + 2*n.jitter*n.chance.Float64() }

// passes tells whether anything gets from one node to the other.
func (n *network) passes(a, b *node) bool {
	together := a.zone == b.zone || a.zone < 0 || b.zone < 0
	return !a.dark && !b.dark && (together || !(n.cut[a.zone] || n.cut[b.zone]))
}

// carry brings something from one node to another, once the way is open.
func (n *network) carry(from, to *node, do func()) {
	if !n.passes(from, to) {
		n.held = append(n.held, held{from, to, do})
		return
	}
	do()
}

// reopened brings what was held where the way is open now.
func (n *network) reopened() {
	all := n.held
	n.held = nil
	for _, h := range all {
		if n.passes(h.from, h.to) {
			n.after(0, h.do)
		} else {
			n.held = append(n.held, h)
		}
	}
}

// deliver has something arrive at a side, behind all that was sent there before.
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

func (d *node) dial(conn uint64, address string) {
	n := d.net
	own := &side{node: d, conn: conn, open: true}
	d.ends[conn] = own
	over := func() {
		if own.open {
			own.open = false
			delete(d.ends, conn)
			n.tell("%s %d never up", d.address, conn)
			d.actor.OnClose(conn, true)
		}
	}
	n.after(dialTime, func() {
		if !own.taken {
			over()
		}
	})
	n.after(n.way(), func() {
		to := n.nodes[address]
		if to == nil {
			n.after(n.way(), over)
			return
		}
		n.carry(d, to, func() {
			if to.refuse {
				n.after(n.way(), func() { n.carry(to, d, over) })
				return
			}
			to.last++
			there := &side{node: to, conn: to.last, other: own, open: true}
			own.other = there
			to.ends[there.conn] = there
			if !to.closed {
				there.accept()
			}
			own.arrive = n.now + n.way()
			n.after(own.arrive-n.now, func() {
				n.carry(to, d, func() {
					if own.open && !own.taken {
						own.taken = true
						n.tell("%s %d up", d.address, conn)
						d.actor.OnConnect(conn)
						own.flush()
					} else if !own.open { // given up meanwhile
						n.sever(there, false)
					}
				})
			})
		})
	})
}

func (s *side) accept() {
	s.taken = true
	s.node.net.tell("%s %d opened", s.node.address, s.conn)
	s.node.actor.OnAccept(s.conn)
	s.flush()
}

func (s *side) flush() {
	for len(s.wait) > 0 && s.open {
		do := s.wait[0]
		s.wait = s.wait[1:]
		do()
	}
	s.wait = nil
}

// sever has the end of a connection arrive at a side.
func (n *network) sever(s *side, broken bool) {
	n.deliver(s, func() {
		s.open = false
		delete(s.node.ends, s.conn)
		n.tell("%s %d over %t", s.node.address, s.conn, broken)
		s.node.actor.OnClose(s.conn, broken)
	})
}

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

func (d *node) piece(s *side, data []byte) {
	n, to := d.net, s.other
	copied := append(make([]byte, 0, len(data)), data...)
	n.deliver(to, func() {
		if n.trace != nil {
			n.tell("%s %d came %q", to.node.address, to.conn, copied)
		}
		to.node.actor.OnData(to.conn, copied)
	})
}

// end ends a connection from this side, at once.
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

// host is what the model's actors see of a node.
type host struct{ *node }

func (h host) Now() float64                   { return h.net.now }
func (h host) Write(conn uint64, data []byte) { h.write(conn, data) }
func (h host) Close(conn uint64)              { h.end(conn, false) }
func (h host) Reset(conn uint64)              { h.end(conn, true) }
func (h host) After(wait float64, do func())  { h.net.after(wait, do) }
func (h host) Dial(address string) (conn uint64) {
	h.last++
	h.dial(h.last, address)
	return h.last
}
