package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
)

var key = []byte("a key of the fleet's")

// network carries datagrams between relays under virtual time, in milliseconds.
type network struct {
	now        float64
	rng        *rand.Rand
	queue      eventQueue
	nextSeq    int
	relays     map[string]*View // by address
	stopped    map[string]bool  // processes that do nothing, by address
	lossRate   float64
	doubleRate float64
	isCut      func(from, to string) bool
}

type event struct {
	at  float64
	seq int // of two at one time the first scheduled comes first
	do  func()
}

// eventQueue is a heap with the next event at its top.
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

// after schedules an event.
func (n *network) after(wait float64, do func()) {
	n.nextSeq++
	heap.Push(&n.queue, event{n.now + wait, n.nextSeq, do})
}

// run plays all events of that many milliseconds.
func (n *network) run(millis float64) {
	until := n.now + millis
	for len(n.queue) > 0 && n.queue[0].at <= until {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.do()
	}
	n.now = until
}

// address is where the relay of that number is.
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// name is the name of the relay of that number.
func name(i int) string { return fmt.Sprintf("r%d", i) }

// start starts a process of a relay. All know the first three relays as seeds.
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

// startAll starts so many relays for the first time.
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

// drawCopies returns how often a datagram arrives.
func (n *network) drawCopies() int {
	if n.rng.Float64() < n.lossRate {
		return 0
	}
	if n.rng.Float64() < n.doubleRate {
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

// countByLiveness counts the members of a view as it sees them now.
func countByLiveness(v *View, now float64) (counts [Gone + 1]int) {
	for _, m := range v.Members(now) {
		counts[m.Liveness]++
	}
	return counts
}

// find returns a member as a view sees it now; one that it does not know is gone.
func find(v *View, now float64, name string) Member {
	for _, m := range v.Members(now) {
		if m.Name == name {
			return m
		}
	}
	return Member{Liveness: Gone}
}
