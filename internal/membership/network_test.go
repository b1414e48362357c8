package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
)

var key = []byte("a key of the fleet's")

// network simulates a network that carries datagrams between relays. Its virtual time is in milliseconds.
type network struct {
	now             float64
	rng             *rand.Rand
	queue           eventQueue
	nextSeq         int
	relays          map[string]*View // views by address
	stopped         map[string]bool  // whether the process is suspended, by address
	lossRate        float64
	duplicationRate float64
	isCut           func(from, to string) bool
}

type event struct {
	at  float64
	seq int // sequence number, which orders events that are due at the same time
	do  func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNetwork(seed int64) *network {
	return &network{
		now:     1e6,
		rng:     rand.New(rand.NewSource(seed)),
		relays:  map[string]*View{},
		stopped: map[string]bool{},
		isCut:   func(string, string) bool { return false },
	}
}

// after schedules an event in the given number of milliseconds.
func (n *network) after(wait float64, do func()) {
	n.nextSeq++
	heap.Push(&n.queue, event{n.now + wait, n.nextSeq, do})
}

// run executes the events of the given number of milliseconds.
func (n *network) run(millis float64) {
	until := n.now + millis
	for len(n.queue) > 0 && n.queue[0].at <= until {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.do()
	}
	n.now = until
}

// address returns the address of a relay by its number.
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// name returns the name of a relay by its number.
func name(i int) string { return fmt.Sprintf("r%d", i) }

// start starts a process of a relay. The first three relays are the seeds of all others.
func (n *network) start(i int, boot uint64) *View {
	at := address(i)
	var seeds []string
	for seed := range 3 {
		if seed != i {
			seeds = append(seeds, address(seed))
		}
	}
	local := MemberState{Name: name(i), Zone: "a", Address: at, Boot: boot, Incarnation: n.rng.Uint64()}
	v := New(n.now, local, seeds, key, rand.New(rand.NewSource(n.rng.Int63())))
	n.relays[at] = v
	n.scheduleTick(at, v)
	return v
}

// startAll starts the given number of relays for the first time.
func (n *network) startAll(count int) {
	for i := range count {
		n.start(i, 1)
	}
}

func (n *network) scheduleTick(at string, v *View) {
	n.after(max(v.NextTick()-n.now, 1), func() {
		if n.relays[at] != v {
			return
		}
		if !n.stopped[at] {
			n.send(at, v.Tick(n.now))
		}
		n.scheduleTick(at, v)
	})
}

func (n *network) send(from string, datagrams []Datagram) {
	for _, d := range datagrams {
		for range n.drawCopies() {
			n.after(0.2+5*n.rng.Float64(), func() { n.deliver(from, d) })
		}
	}
}

// drawCopies draws how many copies of a datagram arrive.
func (n *network) drawCopies() int {
	if n.rng.Float64() < n.lossRate {
		return 0
	}
	if n.rng.Float64() < n.duplicationRate {
		return 2
	}
	return 1
}

func (n *network) deliver(from string, d Datagram) {
	to := n.relays[d.To]
	if to == nil || n.stopped[d.To] || n.isCut(from, d.To) {
		return
	}
	n.send(d.To, to.Receive(n.now, from, d.Data))
}

// countByLiveness returns the number of members of a view at each level of liveness.
func countByLiveness(v *View, now float64) (counts [Gone + 1]int) {
	for _, m := range v.Members(now) {
		counts[m.Liveness]++
	}
	return counts
}

// find returns the state of a member in a view. A member that the view doesn't know counts as gone.
func find(v *View, now float64, name string) Member {
	for _, m := range v.Members(now) {
		if m.Name == name {
			return m
		}
	}
	return Member{Liveness: Gone}
}
