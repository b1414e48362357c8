package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var key = []byte("a key of the fleet's")

// net carries datagrams between relays under virtual time.
type net struct {
	now     float64
	chance  *rand.Rand
	queue   events
	seq     int
	relays  map[string]*View // by address
	stopped map[string]bool
	loss    float64
	double  float64
	cut     func(from, to string) bool
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNet(seed int64) *net {
	return &net{now: 1e6, chance: rand.New(rand.NewSource(seed)), relays: map[string]*View{},
		stopped: map[string]bool{}, cut: func(string, string) bool { return false }}
}

func (n *net) after(wait float64, do func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + wait, n.seq, do})
}

func (n *net) run(for_ float64) {
	for until := n.now + for_; ; {
		if len(n.queue) == 0 || n.queue[0].at > until {
			n.now = until
			return
		}
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
	}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// start begins a life; all know the first three relays as seeds.
func (n *net) start(i int, boot uint64) *View {
	at := address(i)
	var seeds []string
	for s := range 3 {
		if s != i {
			seeds = append(seeds, address(s))
		}
	}
	p := New(n.now, MemberState{Name: fmt.Sprintf("r%d", i), Zone: "a", Address: at, Boot: boot,
		Incarnation: n.chance.Uint64()},
		seeds, key, rand.New(rand.NewSource(n.chance.Int63())))
	n.relays[at] = p
	n.tick(at, p)
	return p
}

func (n *net) tick(at string, p *View) {
	n.after(max(p.NextTick()-n.now, 1), func() {
		if n.relays[at] != p {
			return
		}
		if !n.stopped[at] {
			n.send(at, p.Tick(n.now))
		}
		n.tick(at, p)
	})
}

func (n *net) send(from string, all []Datagram) {
	for _, d := range all {
		times := 1
		if n.chance.Float64() < n.loss {
			times = 0
		} else if n.chance.Float64() < n.double {
			times = 2
		}
		for range times {
			n.after(0.2+5*n.chance.Float64(), func() {
				if to := n.relays[d.To]; to != nil && !n.stopped[d.To] && !n.cut(from, d.To) {
					n.send(d.To, to.Receive(n.now, from, d.Data))
				}
			})
		}
	}
}

func states(p *View, now float64) (all [3]int) {
	for _, m := range p.Members(now) {
		all[m.Liveness]++
	}
	return all
}

func TestDeathIsKnown(t *testing.T) {
	for _, c := range []struct {
		relays   int
		loss     float64
		joined   float64 // ms until all know all
		detected float64 // ms until all hold one that died to be gone
	}{{3, 0, 2000, 4000}, {12, 0, 2000, 4000}, {12, 0.2, 3000, 6000}, {60, 0.2, 8000, 16000}} {
		n := newNet(int64(c.relays))
		n.loss, n.double = c.loss, 0.1
		for i := range c.relays {
			n.start(i, 1)
		}
		n.run(c.joined)
		for at, p := range n.relays {
			require.Equal(t, c.relays-1, states(p, n.now)[Alive]+states(p, n.now)[Suspected], "%s of %d", at, c.relays)
		}
		bad := 0
		for range 100 { // 20 s without a false word
			n.run(200)
			for _, p := range n.relays {
				bad += states(p, n.now)[Gone]
			}
		}
		assert.Zero(t, bad, "false deaths of %d at loss %v", c.relays, c.loss)
		delete(n.relays, address(c.relays-1))
		n.run(c.detected)
		for at, p := range n.relays {
			assert.Equal(t, 1, states(p, n.now)[Gone], "%s of %d", at, c.relays)
			assert.Equal(t, Gone, find(p, n.now, fmt.Sprintf("r%d", c.relays-1)).Liveness)
		}
	}
}

// A relay that was stopped and goes on holds nobody else for gone, and is back at once for the others.
func TestStopped(t *testing.T) {
	n := newNet(3)
	for i := range 9 {
		n.start(i, 1)
	}
	n.run(3000)
	n.stopped[address(4)] = true
	n.run(8000)
	assert.Equal(t, Gone, find(n.relays[address(0)], n.now, "r4").Liveness)
	n.stopped[address(4)] = false
	n.run(300)
	assert.Equal(t, [3]int{8, 0, 0}, states(n.relays[address(4)], n.now))
	n.run(1500)
	assert.Equal(t, Alive, find(n.relays[address(0)], n.now, "r4").Liveness)
}

func find(p *View, now float64, name string) Member {
	for _, m := range p.Members(now) {
		if m.Name == name {
			return m
		}
	}
	return Member{Liveness: Gone}
}

// Two islands hold each other for gone, and find each other again without a seed's help.
func TestIslands(t *testing.T) {
	n := newNet(4)
	for i := range 12 {
		n.start(i, 1)
	}
	n.run(3000)
	island := func(at string) bool { return at < address(6) && len(at) == len(address(1)) }
	n.cut = func(from, to string) bool { return island(from) != island(to) }
	n.run(8000)
	assert.NotZero(t, states(n.relays[address(11)], n.now)[Gone])
	n.cut = func(string, string) bool { return false }
	n.run(8000)
	for _, p := range n.relays {
		assert.Equal(t, [3]int{11, 0, 0}, states(p, n.now))
	}
}

// A life that has forgotten its former ones takes a boot above them, and the order that it had.
func TestForgottenLives(t *testing.T) {
	n := newNet(5)
	for i := range 5 {
		n.start(i, 1)
	}
	p := n.relays[address(4)]
	w := p.LocalState()
	w.OrderNumber, w.Draining = 7, true
	p.SetLocalState(w)
	n.run(3000)
	for range 3 {
		old := n.relays[address(4)].LocalState().Boot
		delete(n.relays, address(4))
		n.run(1000)
		p = n.start(4, 1) // a wiped disk
		n.run(1000)
		assert.Greater(t, p.LocalState().Boot, old)
		assert.Equal(t, uint64(7), p.LocalState().OrderNumber)
		assert.True(t, p.LocalState().Draining)
	}
	w = p.LocalState()
	w.OrderNumber, w.Draining = 8, false // taken back
	p.SetLocalState(w)
	n.run(1000)
	delete(n.relays, address(4))
	p = n.start(4, 1)
	p.own.OrderNumber, p.own.Draining = 7, true // from an older copy of the disk
	n.run(2000)
	assert.Equal(t, uint64(8), p.LocalState().OrderNumber)
	assert.False(t, p.LocalState().Draining)
}

// Two processes under one name see each other, and neither is taken for the other by its later word alone.
func TestTwins(t *testing.T) {
	n := newNet(6)
	for i := range 5 {
		n.start(i, 1)
	}
	twin := New(n.now, MemberState{Name: "r4", Address: address(9), Boot: 1, Incarnation: 99}, []string{address(0),
		address(4)}, key,
		rand.New(rand.NewSource(1)))
	n.relays[address(9)] = twin
	n.tick(address(9), twin)
	n.run(4000)
	assert.NotZero(t, twin.DuplicateSeenAt)
	assert.NotZero(t, n.relays[address(4)].DuplicateSeenAt)
	assert.Zero(t, n.relays[address(1)].DuplicateSeenAt)
}

func TestRefused(t *testing.T) {
	n := newNet(7)
	p := n.start(0, 1)
	other := New(n.now, MemberState{Name: "x", Address: address(1), Incarnation: 5}, nil, []byte("another key"), n.chance)
	good := New(n.now, MemberState{Name: "y", Address: address(2), Incarnation: 6}, nil, key, n.chance)
	frame := good.frame(n.now, address(0), true).Data
	spoil := func(at int, to byte) []byte {
		data := slices.Clone(frame)
		data[at] = to
		return data
	}
	for name, data := range map[string][]byte{"another key": other.frame(n.now, "", true).Data, "nothing": nil,
		"another version": spoil(3, 9), "a bit": spoil(30, frame[30]^1), "too long": make([]byte, 3000),
		"cut": frame[:len(frame)-1]} {
		assert.Empty(t, p.Receive(n.now, address(1), data), name)
		assert.Empty(t, p.Members(n.now), name)
	}
	assert.NotEmpty(t, p.Receive(n.now, address(2), frame))
	answers := 0
	for range 1000 { // a flood of good ones is answered no more often than a bound has it
		answers += len(p.Receive(n.now, address(2), frame))
	}
	assert.Less(t, answers, mostBack)
}

// Words in any order, doubled or lost, come to the same as in order: the last of each relay.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) MemberState {
			life := rapid.Uint64Range(1, 3).Draw(t, "life")
			return MemberState{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Boot: life, Incarnation: life,
				Heartbeat: rapid.Uint64Range(1, 5).Draw(t, "beat")}
		}), 1, 20).Draw(t, "words")
		shuffled := rapid.Permutation(append(slices.Clone(words), words...)).Draw(t, "order")
		last := func(all []MemberState) (out []MemberState) {
			p := New(0, MemberState{Name: "self", Incarnation: 1}, nil, key, rand.New(rand.NewSource(1)))
			for _, w := range all {
				p.hear(0, w, false)
			}
			for _, m := range p.Members(0) {
				out = append(out, m.MemberState)
			}
			return out
		}
		assert.Equal(t, last(words), last(shuffled))
	})
}

func FuzzTake(f *testing.F) {
	p := New(0, MemberState{Name: "a", Address: "1.1.1.1:1", Incarnation: 3}, nil, key, rand.New(rand.NewSource(1)))
	f.Add(p.frame(0, "", true).Data[header:])
	f.Add([]byte{1, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		words, err := readWords(data, 1+len(data)%3)
		if err == nil {
			for _, w := range words {
				if back, err := readWords(appendWord(nil, w), 1); err != nil || back[0] != w {
					t.Fatal(back, w, err)
				}
			}
		}
		sealed := p.seal(append(append(append([]byte{}, magic[:]...), 1, 1, 0), data...))
		p.Receive(1, "x", sealed)
	})
}

// What gossip costs a relay, and how long until a death is known to all: the figures are in
// docs/design/recovery.md.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{10, 0}, {100, 0}, {300, 0}, {300, 0.2}} {
		b.Run(fmt.Sprint(c.relays, " loss ", c.loss), func(b *testing.B) {
			for b.Loop() {
				n := newNet(1)
				n.loss = c.loss
				for i := range c.relays {
					n.start(i, 1)
				}
				joined := 0.0
				for ; joined < 60000 && states(n.relays[address(9)], n.now)[Alive] < c.relays-1; joined += 100 {
					n.run(100)
				}
				n.run(5000)
				before, bad := n.relays[address(9)].Counts, 0
				for range 20 {
					n.run(500)
					for i := range 10 {
						bad += states(n.relays[address(i)], n.now)[Gone]
					}
				}
				after := n.relays[address(9)].Counts
				b.ReportMetric(float64(after.SentBytes-before.SentBytes)/10000, "kB/s")
				b.ReportMetric(float64(after.Received-before.Received)/10, "heard/s")
				b.ReportMetric(float64(bad), "false")
				b.ReportMetric(joined/1000, "s/join")
				delete(n.relays, address(5))
				took := 0.0
				for known := false; !known && took < 90000; took += 200 {
					n.run(200)
					known = true
					for _, p := range n.relays {
						known = known && find(p, n.now, "r5").Liveness == Gone
					}
				}
				b.ReportMetric(took/1000, "s/death")
			}
		})
	}
}
