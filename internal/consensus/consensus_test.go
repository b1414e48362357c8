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
	cluster *cluster
	voter   int
	last    string
	count   int
}

func (l *ledger) Apply(number uint64, data []byte) {
	l.last, l.count = string(data), l.count+1
	l.cluster.recordDecision(l.voter, number, l.last)
}

func (l *ledger) Snapshot() []byte {
	// Long enough that no datagram would hold it as it is.
	text, _ := json.Marshal([3]any{l.last, l.count, strings.Repeat(l.last+", ", l.cluster.padding)})
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

// simulatedHost is a machine with a voter, a disk and a clock of its own pace.
type simulatedHost struct {
	*Voter
	ledger         *ledger
	disk           []byte // durable
	earlierDisk    []byte // a copy of it
	unsavedDisk    []byte
	savedAt        float64
	unsentMessages []OutgoingMessage
	down           bool
	stopped        bool
	inbox          [][]byte
	pace           float64
}

// cluster is voters, the network between them, and what is checked of all.
type cluster struct {
	t          *testing.T
	now        float64
	rng        *rand.Rand
	hosts      []*simulatedHost
	configured []Member
	inFlight   []inFlightMessage
	severed    map[[2]int]bool
	loss       float64
	delay      float64 // one way
	jitter     float64 // of that, on top of it at the most
	shouldDrop func(to int, data []byte) bool
	faults     plantedFaults

	decisions      map[uint64]string
	highestApplied map[int]uint64
	violations     []string
	starts         int
	padding        int // of what a machine keeps
	operations     []porcupine.Operation
	pendingWrites  map[string]float64 // those out
	writeCount     int
}

type inFlightMessage struct {
	arrivesAt float64
	from, to  int
	data      []byte
}

func newCluster(t *testing.T, voters int, seed int64, faults plantedFaults) *cluster {
	w := &cluster{t: t, rng: rand.New(rand.NewSource(seed)), severed: map[[2]int]bool{}, delay: 5, jitter: 2,
		faults: faults, padding: 6000,
		decisions: map[uint64]string{}, highestApplied: map[int]uint64{}, pendingWrites: map[string]float64{}}
	for i := range voters {
		w.configured = append(w.configured, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		w.hosts = append(w.hosts, &simulatedHost{pace: 1})
	}
	for i := range voters {
		w.start(i)
	}
	return w
}

// recordDecision checks that a number stands for one thing, and none comes after a higher one.
func (w *cluster) recordDecision(who int, number uint64, data string) {
	if was, there := w.decisions[number]; there && was != data {
		w.violations = append(w.violations, fmt.Sprintf("%d is %q and %q", number, was, data))
	}
	w.decisions[number] = data
	if number <= w.highestApplied[who] {
		w.violations = append(w.violations, fmt.Sprintf("voter %d went back to %d", who, number))
	}
	w.highestApplied[who] = number
	if from, out := w.pendingWrites[data]; out && w.hosts[who].Voter != nil && w.hosts[who].HasLease(w.clock(who)) {
		delete(w.pendingWrites, data)
		w.operations = append(w.operations, porcupine.Operation{ClientId: len(w.operations), Input: data, Output: "",
			Call:   int64(from * 1000),
			Return: int64(w.now * 1000)})
	}
}

func (w *cluster) clock(i int) float64 { return 1e6 + w.now*w.hosts[i].pace }

func (w *cluster) start(i int) {
	h := w.hosts[i]
	w.starts++
	w.highestApplied[i] = 0
	h.ledger = &ledger{cluster: w, voter: i}
	v, err := New(w.clock(i), w.configured[i], w.configured, h.disk, h.ledger,
		rand.New(rand.NewSource(int64(w.starts)*7919)))
	require.NoError(w.t, err)
	v.faults = w.faults
	h.Voter, h.down, h.unsavedDisk, h.unsentMessages, h.inbox = v, false, nil, nil, nil
}

// kill loses what was not durable.
func (w *cluster) kill(i int) {
	w.hosts[i].down, w.hosts[i].unsavedDisk, w.hosts[i].unsentMessages = true, nil, nil
}

func (w *cluster) run(until float64, each func()) {
	for ; w.now < until; w.now += 5 {
		var later []inFlightMessage
		for _, f := range w.inFlight {
			if f.arrivesAt > w.now {
				later = append(later, f)
			} else if h := w.hosts[f.to]; !h.down && !w.severed[[2]int{f.from, f.to}] {
				h.inbox = append(h.inbox, f.data)
			}
		}
		w.inFlight = later
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
			w.flush(i)
		}
		if leading > 1 {
			w.violations = append(w.violations, fmt.Sprintf("two lead at %.0f", w.now))
		}
		if each != nil {
			each()
		}
	}
}

func (w *cluster) flush(i int) {
	h := w.hosts[i]
	for range 20 {
		if h.unsavedDisk != nil {
			if w.now < h.savedAt {
				if out := h.Ready(); out.DurableState != nil || len(out.Messages) > 0 {
					w.violations = append(w.violations, "something is to be done before what came before is saved")
				}
				return
			}
			h.disk, h.unsavedDisk = h.unsavedDisk, nil
			w.send(i, h.unsentMessages)
			h.unsentMessages = nil
			h.Advance()
		}
		out := h.Ready()
		if out.DurableState != nil {
			h.unsavedDisk, h.savedAt, h.unsentMessages = out.DurableState, w.now+float64(w.rng.Intn(3))*5, out.Messages
			continue
		}
		if len(out.Messages) == 0 {
			return
		}
		w.send(i, out.Messages)
	}
}

func (w *cluster) send(from int, all []OutgoingMessage) {
	for _, s := range all {
		var to int
		fmt.Sscan(s.To, &to)
		for range 1 + w.rng.Intn(12)/11 { // some twice
			if w.rng.Float64() >= w.loss && (w.shouldDrop == nil || !w.shouldDrop(to, s.Data)) {
				w.inFlight = append(w.inFlight, inFlightMessage{w.now + w.delay*(1+w.jitter*w.rng.Float64()), from, to, s.Data})
			}
		}
	}
}

func (w *cluster) leaderIndex() int {
	return slices.IndexFunc(w.hosts, func(h *simulatedHost) bool {
		return !h.down && !h.stopped && h.HasLease(w.clock(slices.Index(w.hosts, h)))
	})
}

// readOrWrite has the leader decide something now and then, and tell what was decided last.
func (w *cluster) readOrWrite() {
	if w.rng.Intn(8) > 0 {
		return
	}
	for i, h := range w.hosts { // whoever holds that it leads
		if h.down || h.stopped || !h.HasLease(w.clock(i)) {
			continue
		}
		if w.rng.Intn(2) == 0 {
			w.operations = append(w.operations, porcupine.Operation{ClientId: len(w.operations), Input: "", Output: h.ledger.last,
				Call: int64(w.now * 1000), Return: int64(w.now*1000) + 1})
		} else if len(w.pendingWrites) < 8 {
			w.write(i)
		}
	}
}

// write has voter i decide something.
func (w *cluster) write(i int) {
	w.writeCount++
	if data := fmt.Sprintf("%d by %d", w.writeCount, i); w.hosts[i].Propose(w.clock(i), []byte(data)) == nil {
		w.pendingWrites[data] = w.now
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

func (w *cluster) checkHistory() []string {
	ops := slices.Clone(w.operations)
	for data, from := range w.pendingWrites { // no answer: it may be decided at any time
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: data, Call: int64(from * 1000),
			Return: math.MaxInt64})
	}
	if !porcupine.CheckOperations(register, ops) {
		return append(w.violations, "what was read is not what was decided last")
	}
	return w.violations
}

func (w *cluster) canDecide(within float64) bool {
	before := len(w.decisions)
	for until := w.now + within; w.now < until && len(w.decisions) == before; {
		if i := w.leaderIndex(); i >= 0 {
			w.write(i)
		}
		w.run(w.now+50, nil)
	}
	return len(w.decisions) > before
}

func TestBootstrap(t *testing.T) {
	for _, n := range []int{1, 3, 5, 7} {
		w := newCluster(t, n, int64(n), plantedFaults{})
		require.True(t, w.canDecide(5000), "%d voters", n)
		assert.Empty(t, w.checkHistory())
	}
	w := newCluster(t, 3, 1, plantedFaults{})
	w.kill(2)
	assert.False(t, w.canDecide(5000), "a council is founded by all")
	w.start(2)
	assert.True(t, w.canDecide(5000))
	_, err := New(0, Member{Name: "x"}, w.configured, nil, nil, w.rng)
	assert.ErrorContains(t, err, "none of the voters")
	for _, disk := range []string{"{", `{"Version":9}`} {
		_, err = New(0, w.configured[0], w.configured, []byte(disk), &ledger{cluster: w}, w.rng)
		assert.ErrorContains(t, err, "disk")
	}
}

// One thing after the other goes wrong; then all is whole, and the council goes on.
func TestSurvivesFaults(t *testing.T) {
	for name, c := range map[string]func(w *cluster){
		"its leader killed": func(w *cluster) { w.kill(w.leaderIndex()) },
		"its leader stopped, which wakes and believes that it leads": func(w *cluster) {
			w.hosts[w.leaderIndex()].stopped = true
			w.run(w.now+4000, w.readOrWrite)
		},
		"a leader that hears nobody": func(w *cluster) {
			l := w.leaderIndex()
			for i := range w.hosts {
				w.severed[[2]int{i, l}] = true
			}
			w.run(w.now+4000, w.readOrWrite)
		},
		"a leader that nobody hears": func(w *cluster) {
			l := w.leaderIndex()
			for i := range w.hosts {
				w.severed[[2]int{l, i}] = true
			}
			w.run(w.now+4000, w.readOrWrite)
		},
		"power loss of all": func(w *cluster) {
			for i := range w.hosts {
				w.kill(i)
			}
		},
		"a third lost, some late": func(w *cluster) {
			w.loss, w.delay = 0.33, 80
			w.run(w.now+4000, w.readOrWrite)
		},
		"clocks of another pace": func(w *cluster) {
			for i, h := range w.hosts {
				h.pace = 0.85 + 0.3*float64(i)/float64(len(w.hosts)-1)
				h.Voter.tickedAt, h.Voter.nextRenewalAt, h.Voter.nextIdentityQueryAt = w.clock(i), 0, 0
			}
			w.run(w.now+4000, w.readOrWrite)
		},
		"two wiped, one after the other": func(w *cluster) {
			for i := range 2 {
				w.kill(i)
				w.hosts[i].disk = nil
				w.start(i)
				w.run(w.now+3000, w.readOrWrite)
				assert.Contains(w.t, w.hosts[4].Status().Voters, w.hosts[i].self, "%+v", w.hosts[4].Status())
			}
		},
		"an older disk": func(w *cluster) {
			w.kill(3)
			w.hosts[3].disk = w.hosts[3].earlierDisk
			w.start(3)
			w.run(w.now+3000, w.readOrWrite)
			assert.Contains(w.t, w.hosts[3].Status().DiskDiscardedReason, "knows of start")
			assert.Contains(w.t, w.hosts[3].Status().Voters, w.hosts[3].self, "let in as new")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, 5, 42, plantedFaults{})
			require.True(t, w.canDecide(5000))
			for _, h := range w.hosts {
				h.earlierDisk = h.disk
			}
			w.run(w.now+3000, w.readOrWrite)
			require.GreaterOrEqual(t, w.leaderIndex(), 0)
			c(w)
			w.run(w.now+2000, w.readOrWrite)
			w.loss, w.delay, w.severed = 0, 5, map[[2]int]bool{}
			for i, h := range w.hosts {
				if h.stopped = false; h.down {
					w.start(i)
				}
			}
			w.run(w.now+3000, w.readOrWrite)
			assert.True(t, w.canDecide(3000), "it goes on")
			w.run(w.now+1000, w.readOrWrite)
			w.run(w.now+500, nil)
			assert.Empty(t, w.checkHistory())
			for i := range w.hosts {
				assert.Equal(t, w.hosts[0].ledger.count, w.hosts[i].ledger.count, "voter %d has all", i)
			}
		})
	}
}

// A decision takes one way there and back between voters, and what their disks take: far under three.
func TestDecisionTakesOneRoundTrip(t *testing.T) {
	const there = 100.0
	for _, n := range []int{3, 5, 7} {
		w := newCluster(t, n, 9, plantedFaults{})
		w.delay, w.jitter = there, 0
		require.True(t, w.canDecide(20000))
		w.run(w.now+3000, nil)
		for range 5 {
			before, from := len(w.decisions), w.now
			l := w.leaderIndex()
			require.GreaterOrEqual(t, l, 0)
			w.write(l)
			for len(w.decisions) == before && w.now < from+20*there {
				w.run(w.now+5, nil)
			}
			assert.Less(t, (w.now-from)/(2*there), 1.3, "round trips, %d voters", n)
			w.run(w.now+500, nil)
		}
	}
}

// One that was away for longer than entries are kept is sent what stands for them, and the first such
// datagrams are lost: who leads hears nothing of that, and sends it again.
func TestLostSnapshotIsResent(t *testing.T) {
	w := newCluster(t, 3, 5, plantedFaults{})
	require.True(t, w.canDecide(5000))
	away, lost := (w.leaderIndex()+1)%3, 0
	w.kill(away)
	for range 3 * compactionThreshold {
		w.run(w.now+20, nil)
		w.write(w.leaderIndex())
	}
	w.shouldDrop = func(to int, data []byte) bool {
		var f message
		var m raftpb.Message
		if to != away || lost >= 3 || json.Unmarshal(data, &f) != nil || m.Unmarshal(f.RaftMessage) != nil ||
			m.Type != raftpb.MsgSnap {
			return false
		}
		lost++
		return true
	}
	leader := w.leaderIndex()
	w.start(away)
	w.run(w.now+3000, nil)
	assert.Equal(t, 3, lost)
	assert.Equal(t, leader, w.leaderIndex(), "nobody else came to lead, who would send it anyway")
	assert.Equal(t, w.hosts[leader].ledger.count, w.hosts[away].ledger.count)
	assert.Empty(t, w.checkHistory())
}

// runRandomSchedule plays a schedule that a seed draws, and gives what was wrong.
func runRandomSchedule(t *testing.T, seed int64, faults plantedFaults) []string {
	w := newCluster(t, 3+2*int(seed%2), seed, faults)
	w.run(3000, nil)
	for _, h := range w.hosts {
		h.earlierDisk = h.disk
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
		i := w.rng.Intn(len(w.hosts))
		switch h := w.hosts[i]; w.rng.Intn(9) {
		case 0, 1:
			w.kill(i)
		case 2:
			h.stopped = true
		case 3:
			a, b := w.rng.Intn(len(w.hosts)), w.rng.Intn(len(w.hosts))
			w.severed[[2]int{a, b}] = true
		case 4:
			w.severed, w.loss, w.delay = map[[2]int]bool{}, 0, 5
		case 5:
			w.loss, w.delay = 0.4*w.rng.Float64(), 60*w.rng.Float64()
		case 6: // one machine at a time has lost its disk
			if down() == 0 && w.leaderIndex() >= 0 && w.loss == 0 && len(w.severed) == 0 {
				w.kill(i)
				if h.disk = nil; w.rng.Intn(2) == 0 {
					h.disk = h.earlierDisk
				}
				w.start(i)
				w.run(w.now+3000, w.readOrWrite)
			}
		default:
			for i, h := range w.hosts {
				if h.stopped = false; h.down {
					w.start(i)
				}
			}
		}
		w.run(w.now+100+1500*w.rng.Float64(), w.readOrWrite)
	}
	return w.checkHistory()
}

// scheduleCount is how many schedules are: few of them where all runs many times slower, under the race detector,
// which has nothing to find where there is one routine.
func scheduleCount(n int64) int64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

func TestRandomSchedules(t *testing.T) {
	for seed := range scheduleCount(25) {
		require.Empty(t, runRandomSchedule(t, seed, plantedFaults{}), "seed %d", seed)
	}
}

// runEarlyVotes has one voter ask for votes all the time, as it does not hear the leader, and two others start anew
// just as nobody hears that one any more.
func runEarlyVotes(t *testing.T, seed int64, faults plantedFaults) []string {
	w := newCluster(t, 5, seed, faults)
	w.run(3000, nil)
	l := w.leaderIndex()
	require.GreaterOrEqual(t, l, 0)
	at := func(k int) int { return (l + k) % 5 }
	w.severed[[2]int{l, at(1)}], w.severed[[2]int{at(1), l}] = true, true
	w.run(w.now+3000, nil)
	for i := range 5 {
		w.severed[[2]int{l, i}], w.severed[[2]int{i, l}] = true, true
	}
	for _, k := range []int{2, 3, 4} {
		w.kill(at(k))
		w.start(at(k))
	}
	w.run(w.now+3000, w.readOrWrite)
	return w.checkHistory()
}

// A check that a planted fault does not trip is none.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		faults plantedFaults
		play   func(t *testing.T, seed int64, faults plantedFaults) []string
	}{
		"votes and entries not saved": {plantedFaults{sendUnsaved: true}, runRandomSchedule},
		"a lease too long":            {plantedFaults{leaseFactor: 8}, runRandomSchedule},
		"goes on with an older disk":  {plantedFaults{acceptStaleDisk: true}, runRandomSchedule},
		"votes just after a start":    {plantedFaults{voteEarly: true}, runEarlyVotes},
	} {
		t.Run(name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("many schedules, on one routine")
			}
			for seed := range int64(300) {
				if len(detectViolations(t, seed, c.faults, c.play)) > 0 {
					t.Log("seen with seed", seed)
					return
				}
			}
			assert.Fail(t, "never seen")
		})
	}
	for seed := range scheduleCount(20) {
		assert.Empty(t, runEarlyVotes(t, seed, plantedFaults{}), "seed %d", seed)
	}
}

// detectViolations also counts an end by Raft's own checks.
func detectViolations(t *testing.T, seed int64, faults plantedFaults,
	play func(t *testing.T, seed int64, faults plantedFaults) []string) (wrong []string) {
	defer func() {
		if p := recover(); p != nil {
			wrong = append(wrong, fmt.Sprint(p))
		}
	}()
	return play(t, seed, faults)
}
