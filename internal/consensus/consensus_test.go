package consensus

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// ledger is a machine that holds what was decided, and tells the checker.
type ledger struct {
	world *world
	who   int
	last  string
	count int
}

func (l *ledger) Apply(number uint64, data []byte) {
	l.last, l.count = string(data), l.count+1
	l.world.decided(l.who, number, l.last)
}

func (l *ledger) Snapshot() []byte {
	// Long enough that no datagram would hold it as it is.
	text, _ := json.Marshal([3]any{l.last, l.count, strings.Repeat(l.last+", ", l.world.pad)})
	return text
}

func (l *ledger) Restore(data []byte) error {
	var kept [3]any
	if err := json.Unmarshal(data, &kept); err != nil {
		return err
	}
	l.last, l.count = kept[0].(string), int(kept[1].(float64))
	return nil
}

// host is a machine with a voter, a disk and a clock of its own pace.
type host struct {
	*Voter
	machine *ledger
	disk    []byte // durable
	older   []byte // a copy of it
	saving  []byte
	savedAt float64
	waits   []OutgoingMessage
	down    bool
	stopped bool
	inbox   [][]byte
	pace    float64
}

// world is voters, the network between them, and what is checked of all.
type world struct {
	t      *testing.T
	now    float64
	chance *rand.Rand
	hosts  []*host
	names  []Member
	flight []flying
	cut    map[[2]int]bool
	loss   float64
	delay  float64 // one way
	jitter float64 // of that, on top of it at the most
	drops  func(to int, data []byte) bool
	faults Faults

	numbers map[uint64]string
	highest map[int]uint64
	wrong   []string
	lives   int
	pad     int // of what a machine keeps
	ops     []porcupine.Operation
	writes  map[string]float64 // those out
	written int
}

type flying struct {
	at       float64
	from, to int
	data     []byte
}

func newWorld(t *testing.T, voters int, seed int64, faults Faults) *world {
	w := &world{t: t, chance: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}, delay: 5, jitter: 2,
		faults: faults, pad: 6000,
		numbers: map[uint64]string{}, highest: map[int]uint64{}, writes: map[string]float64{}}
	for i := range voters {
		w.names = append(w.names, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		w.hosts = append(w.hosts, &host{pace: 1})
	}
	for i := range voters {
		w.start(i)
	}
	return w
}

// decided checks that a number stands for one thing, and none comes after a higher one.
func (w *world) decided(who int, number uint64, data string) {
	if was, there := w.numbers[number]; there && was != data {
		w.wrong = append(w.wrong, fmt.Sprintf("%d is %q and %q", number, was, data))
	}
	w.numbers[number] = data
	if number <= w.highest[who] {
		w.wrong = append(w.wrong, fmt.Sprintf("voter %d went back to %d", who, number))
	}
	w.highest[who] = number
	if from, out := w.writes[data]; out && w.hosts[who].Voter != nil && w.hosts[who].HasLease(w.clock(who)) {
		delete(w.writes, data)
		w.ops = append(w.ops, porcupine.Operation{ClientId: len(w.ops), Input: data, Output: "",
			Call:   int64(from * 1000),
			Return: int64(w.now * 1000)})
	}
}

func (w *world) clock(i int) float64 { return 1e6 + w.now*w.hosts[i].pace }

func (w *world) start(i int) {
	h := w.hosts[i]
	w.lives++
	w.highest[i] = 0
	h.machine = &ledger{world: w, who: i}
	v, err := New(w.clock(i), w.names[i], w.names, h.disk, h.machine,
		rand.New(rand.NewSource(int64(w.lives)*7919)))
	require.NoError(w.t, err)
	v.faults = w.faults
	h.Voter, h.down, h.saving, h.waits, h.inbox = v, false, nil, nil, nil
}

// kill loses what was not durable.
func (w *world) kill(i int) { w.hosts[i].down, w.hosts[i].saving, w.hosts[i].waits = true, nil, nil }

func (w *world) run(until float64, each func()) {
	for ; w.now < until; w.now += 5 {
		var later []flying
		for _, f := range w.flight {
			if f.at > w.now {
				later = append(later, f)
			} else if h := w.hosts[f.to]; !h.down && !w.cut[[2]int{f.from, f.to}] {
				h.inbox = append(h.inbox, f.data)
			}
		}
		w.flight = later
		leading := 0
		for i, h := range w.hosts {
			if h.down {
				continue
			}
			if h.Voter.HasLease(w.clock(i)) {
				leading++
			}
			if h.stopped {
				continue
			}
			for _, data := range h.inbox {
				h.Receive(w.clock(i), data)
			}
			h.inbox = nil
			h.Tick(w.clock(i))
			w.carry(i)
		}
		if leading > 1 {
			w.wrong = append(w.wrong, fmt.Sprintf("two lead at %.0f", w.now))
		}
		if each != nil {
			each()
		}
	}
}

func (w *world) carry(i int) {
	h := w.hosts[i]
	for range 20 {
		if h.saving != nil {
			if w.now < h.savedAt {
				if out := h.Ready(); out.DurableState != nil || len(out.Messages) > 0 {
					w.wrong = append(w.wrong, "something is to be done before what came before is saved")
				}
				return
			}
			h.disk, h.saving = h.saving, nil
			w.send(i, h.waits)
			h.waits = nil
			h.Advance()
		}
		out := h.Ready()
		if out.DurableState != nil {
			h.saving, h.savedAt, h.waits = out.DurableState, w.now+float64(w.chance.Intn(3))*5, out.Messages
			continue
		}
		if len(out.Messages) == 0 {
			return
		}
		w.send(i, out.Messages)
	}
}

func (w *world) send(from int, all []OutgoingMessage) {
	for _, s := range all {
		var to int
		fmt.Sscan(s.To, &to)
		for range 1 + w.chance.Intn(12)/11 { // some twice
			if w.chance.Float64() >= w.loss && (w.drops == nil || !w.drops(to, s.Data)) {
				w.flight = append(w.flight, flying{w.now + w.delay*(1+w.jitter*w.chance.Float64()), from, to, s.Data})
			}
		}
	}
}

func (w *world) leader() int {
	return slices.IndexFunc(w.hosts, func(h *host) bool {
		return !h.down && !h.stopped && h.HasLease(w.clock(slices.Index(w.hosts, h)))
	})
}

// writeRead has the leader decide something now and then, and tell what was decided last.
func (w *world) writeRead() {
	if w.chance.Intn(8) > 0 {
		return
	}
	for i, h := range w.hosts { // whoever holds that it leads
		if h.down || h.stopped || !h.HasLease(w.clock(i)) {
			continue
		}
		if w.chance.Intn(2) == 0 {
			w.ops = append(w.ops, porcupine.Operation{ClientId: len(w.ops), Input: "", Output: h.machine.last,
				Call: int64(w.now * 1000), Return: int64(w.now*1000) + 1})
		} else if len(w.writes) < 8 {
			w.write(i)
		}
	}
}

// write has voter i decide something.
func (w *world) write(i int) {
	w.written++
	if data := fmt.Sprintf("%d by %d", w.written, i); w.hosts[i].Propose(w.clock(i), []byte(data)) == nil {
		w.writes[data] = w.now
	}
}

// register is what the histories are checked against: what is read is what was decided last.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return output == state, state
		}
		return true, input
	},
}

func (w *world) check() []string {
	ops := slices.Clone(w.ops)
	for data, from := range w.writes { // no answer: it may be decided at any time
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: data, Call: int64(from * 1000),
			Return: math.MaxInt64})
	}
	if !porcupine.CheckOperations(register, ops) {
		return append(w.wrong, "what was read is not what was decided last")
	}
	return w.wrong
}

func (w *world) decides(within float64) bool {
	before := len(w.numbers)
	for until := w.now + within; w.now < until && len(w.numbers) == before; {
		if i := w.leader(); i >= 0 {
			w.write(i)
		}
		w.run(w.now+50, nil)
	}
	return len(w.numbers) > before
}

func TestCouncilForms(t *testing.T) {
	for _, n := range []int{1, 3, 5, 7} {
		w := newWorld(t, n, int64(n), Faults{})
		require.True(t, w.decides(5000), "%d voters", n)
		assert.Empty(t, w.check())
	}
	w := newWorld(t, 3, 1, Faults{})
	w.kill(2)
	assert.False(t, w.decides(5000), "a council is founded by all")
	w.start(2)
	assert.True(t, w.decides(5000))
	_, err := New(0, Member{Name: "x"}, w.names, nil, nil, w.chance)
	assert.ErrorContains(t, err, "none of the voters")
	for _, disk := range []string{"{", `{"Version":9}`} {
		_, err = New(0, w.names[0], w.names, []byte(disk), &ledger{world: w}, w.chance)
		assert.ErrorContains(t, err, "disk")
	}
}

// One thing after the other goes wrong; then all is whole, and the council goes on.
func TestCouncilOutlives(t *testing.T) {
	for name, c := range map[string]func(w *world){
		"its leader killed": func(w *world) { w.kill(w.leader()) },
		"its leader stopped, which wakes and believes that it leads": func(w *world) {
			w.hosts[w.leader()].stopped = true
			w.run(w.now+4000, w.writeRead)
		},
		"a leader that hears nobody": func(w *world) {
			l := w.leader()
			for i := range w.hosts {
				w.cut[[2]int{i, l}] = true
			}
			w.run(w.now+4000, w.writeRead)
		},
		"a leader that nobody hears": func(w *world) {
			l := w.leader()
			for i := range w.hosts {
				w.cut[[2]int{l, i}] = true
			}
			w.run(w.now+4000, w.writeRead)
		},
		"power loss of all": func(w *world) {
			for i := range w.hosts {
				w.kill(i)
			}
		},
		"a third lost, some late": func(w *world) {
			w.loss, w.delay = 0.33, 80
			w.run(w.now+4000, w.writeRead)
		},
		"clocks of another pace": func(w *world) {
			for i, h := range w.hosts {
				h.pace = 0.85 + 0.3*float64(i)/float64(len(w.hosts)-1)
				h.Voter.ticked, h.Voter.renewAt, h.Voter.helloAt = w.clock(i), 0, 0
			}
			w.run(w.now+4000, w.writeRead)
		},
		"two wiped, one after the other": func(w *world) {
			for i := range 2 {
				w.kill(i)
				w.hosts[i].disk = nil
				w.start(i)
				w.run(w.now+3000, w.writeRead)
				assert.Contains(w.t, w.hosts[4].Status().Voters, w.hosts[i].me, "%+v", w.hosts[4].Status())
			}
		},
		"an older disk": func(w *world) {
			w.kill(3)
			w.hosts[3].disk = w.hosts[3].older
			w.start(3)
			w.run(w.now+3000, w.writeRead)
			assert.Contains(w.t, w.hosts[3].Status().DiskDiscardedReason, "knows of start")
			assert.Contains(w.t, w.hosts[3].Status().Voters, w.hosts[3].me, "let in as new")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 42, Faults{})
			require.True(t, w.decides(5000))
			for _, h := range w.hosts {
				h.older = h.disk
			}
			w.run(w.now+3000, w.writeRead)
			require.GreaterOrEqual(t, w.leader(), 0)
			c(w)
			w.run(w.now+2000, w.writeRead)
			w.loss, w.delay, w.cut = 0, 5, map[[2]int]bool{}
			for i, h := range w.hosts {
				if h.stopped = false; h.down {
					w.start(i)
				}
			}
			w.run(w.now+3000, w.writeRead)
			assert.True(t, w.decides(3000), "it goes on")
			w.run(w.now+1000, w.writeRead)
			w.run(w.now+500, nil)
			assert.Empty(t, w.check())
			for i := range w.hosts {
				assert.Equal(t, w.hosts[0].machine.count, w.hosts[i].machine.count, "voter %d has all", i)
			}
		})
	}
}

// A decision takes one way there and back between voters, and what their disks take: far under three.
func TestRoundTrips(t *testing.T) {
	const there = 100.0
	for _, n := range []int{3, 5, 7} {
		w := newWorld(t, n, 9, Faults{})
		w.delay, w.jitter = there, 0
		require.True(t, w.decides(20000))
		w.run(w.now+3000, nil)
		for range 5 {
			before, from := len(w.numbers), w.now
			l := w.leader()
			require.GreaterOrEqual(t, l, 0)
			w.write(l)
			for len(w.numbers) == before && w.now < from+20*there {
				w.run(w.now+5, nil)
			}
			assert.Less(t, (w.now-from)/(2*there), 1.3, "round trips, %d voters", n)
			w.run(w.now+500, nil)
		}
	}
}

// One that was away for longer than entries are kept is sent what stands for them, and the first such
// datagrams are lost: who leads hears nothing of that, and sends it again.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	w := newWorld(t, 3, 5, Faults{})
	require.True(t, w.decides(5000))
	away, lost := (w.leader()+1)%3, 0
	w.kill(away)
	for range 3 * compactOver {
		w.run(w.now+20, nil)
		w.write(w.leader())
	}
	w.drops = func(to int, data []byte) bool {
		var f frame
		var m raftpb.Message
		if to != away || lost >= 3 || json.Unmarshal(data, &f) != nil || m.Unmarshal(f.Raft) != nil ||
			m.Type != raftpb.MsgSnap {
			return false
		}
		lost++
		return true
	}
	leader := w.leader()
	w.start(away)
	w.run(w.now+3000, nil)
	assert.Equal(t, 3, lost)
	assert.Equal(t, leader, w.leader(), "nobody else came to lead, who would send it anyway")
	assert.Equal(t, w.hosts[leader].machine.count, w.hosts[away].machine.count)
	assert.Empty(t, w.check())
}

// chaos plays a schedule that a seed draws, and gives what was wrong.
func chaos(t *testing.T, seed int64, faults Faults) []string {
	w := newWorld(t, 3+2*int(seed%2), seed, faults)
	w.run(3000, nil)
	for _, h := range w.hosts {
		h.older = h.disk
	}
	down := func() (n int) {
		for _, h := range w.hosts {
			if h.down || h.stopped {
				n++
			}
		}
		return n
	}
	for range 14 {
		i := w.chance.Intn(len(w.hosts))
		switch h := w.hosts[i]; w.chance.Intn(9) {
		case 0, 1:
			w.kill(i)
		case 2:
			h.stopped = true
		case 3:
			a, b := w.chance.Intn(len(w.hosts)), w.chance.Intn(len(w.hosts))
			w.cut[[2]int{a, b}] = true
		case 4:
			w.cut, w.loss, w.delay = map[[2]int]bool{}, 0, 5
		case 5:
			w.loss, w.delay = 0.4*w.chance.Float64(), 60*w.chance.Float64()
		case 6: // one machine at a time has lost its disk
			if down() == 0 && w.leader() >= 0 && w.loss == 0 && len(w.cut) == 0 {
				w.kill(i)
				if h.disk = nil; w.chance.Intn(2) == 0 {
					h.disk = h.older
				}
				w.start(i)
				w.run(w.now+3000, w.writeRead)
			}
		default:
			for i, h := range w.hosts {
				if h.stopped = false; h.down {
					w.start(i)
				}
			}
		}
		w.run(w.now+100+1500*w.chance.Float64(), w.writeRead)
	}
	return w.check()
}

// drawn is how many schedules are: few of them where all runs many times slower, under the race detector,
// which has nothing to find where there is one routine.
func drawn(n int64) int64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

func TestCouncilInChaos(t *testing.T) {
	for seed := range drawn(25) {
		require.Empty(t, chaos(t, seed, Faults{}), "seed %d", seed)
	}
}

// early has one voter ask for votes all the time, as it does not hear the leader, and two others start anew
// just as nobody hears that one any more.
func early(t *testing.T, seed int64, faults Faults) []string {
	w := newWorld(t, 5, seed, faults)
	w.run(3000, nil)
	l := w.leader()
	require.GreaterOrEqual(t, l, 0)
	at := func(k int) int { return (l + k) % 5 }
	w.cut[[2]int{l, at(1)}], w.cut[[2]int{at(1), l}] = true, true
	w.run(w.now+3000, nil)
	for i := range 5 {
		w.cut[[2]int{l, i}], w.cut[[2]int{i, l}] = true, true
	}
	for _, k := range []int{2, 3, 4} {
		w.kill(at(k))
		w.start(at(k))
	}
	w.run(w.now+3000, w.writeRead)
	return w.check()
}

// A check that a planted fault does not trip is none.
func TestPlantedFaultsAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		play   func(t *testing.T, seed int64, faults Faults) []string
	}{
		"votes and entries not saved": {Faults{Unsaved: true}, chaos},
		"a lease too long":            {Faults{LongLease: 8}, chaos},
		"goes on with an older disk":  {Faults{KeepsOld: true}, chaos},
		"votes just after a start":    {Faults{VotesEarly: true}, early},
	} {
		t.Run(name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("many schedules, on one routine")
			}
			for seed := range int64(300) {
				if len(caught(t, seed, c.faults, c.play)) > 0 {
					t.Log("seen with seed", seed)
					return
				}
			}
			assert.Fail(t, "never seen")
		})
	}
	for seed := range drawn(20) {
		assert.Empty(t, early(t, seed, Faults{}), "seed %d", seed)
	}
}

// caught also counts an end by Raft's own checks.
func caught(t *testing.T, seed int64, faults Faults,
	play func(t *testing.T, seed int64, faults Faults) []string) (wrong []string) {
	defer func() {
		if p := recover(); p != nil {
			wrong = append(wrong, fmt.Sprint(p))
		}
	}()
	return play(t, seed, faults)
}
