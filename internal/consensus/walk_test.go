package consensus

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// steppedCluster is three voters that are driven step by step: every order of steps up to a depth is walked, each from
// a council that has just been founded. Saves are durable within a step, but for one that a crash cuts off.
type steppedCluster struct {
	*cluster
	inbox [3][3][][]byte // to whom, from whom
}

// clusterStep is one thing that happens, told by its letter and who it happens to.
type clusterStep struct {
	kind byte
	i, j int
}

func (s clusterStep) String() string { return fmt.Sprintf("%c%d%d", s.kind, s.i, s.j) }

func allSteps() (all []clusterStep) {
	for i := range 3 {
		for _, what := range []byte("cdkpt") {
			all = append(all, clusterStep{what, i, 0})
		}
	}
	return append(all, clusterStep{'b', 0, 1}, clusterStep{'b', 1, 2}, clusterStep{'b', 0, 2})
}

// bootstrappedDisks gives the disks of a council that was just founded, which nobody leads.
func bootstrappedDisks(t *testing.T) (disks [3][]byte) {
	s := &steppedCluster{cluster: newCluster(t, 3, 1, plantedFaults{})}
	s.padding = 0
	unformed := func(h *simulatedHost) bool { return len(h.founders) == 0 }
	for round := 0; slices.ContainsFunc(s.hosts, unformed); round++ {
		require.Less(t, round, 10)
		s.now += identityQueryIntervalMillis
		for i := range s.hosts {
			s.advance(i)
		}
		for i := range 3 {
			s.deliverAll(i)
		}
	}
	for i, h := range s.hosts {
		require.False(t, h.isLeader(), "nobody was told to")
		disks[i] = h.disk
	}
	return disks
}

func newSteppedCluster(t *testing.T, disks [3][]byte, faults plantedFaults) *steppedCluster {
	w := &cluster{t: t, faults: faults, decisions: map[uint64]string{}, highestApplied: map[int]uint64{},
		pendingWrites: map[string]float64{}}
	s := &steppedCluster{cluster: w}
	for i := range disks {
		w.configured = append(w.configured, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		w.hosts = append(w.hosts, &simulatedHost{pace: 1, disk: disks[i]})
	}
	for i := range disks {
		w.start(i)
	}
	for i := range disks {
		s.confirmDisk(i)
	}
	return s
}

// advance has voter i do what is due, without a tick of its clock, and carries out what follows. Nothing is
// saved, and so nothing said, where it ends before.
func (s *steppedCluster) advance(i int) { s.advanceUntil(i, false) }

func (s *steppedCluster) advanceUntil(i int, ends bool) {
	h := s.hosts[i]
	h.tickedAt = s.clock(i)
	h.Tick(s.clock(i))
	for range 50 {
		out := h.Ready()
		if out.DurableState != nil {
			if ends {
				return
			}
			h.disk = out.DurableState
			h.Advance()
		} else if len(out.Messages) == 0 {
			return
		}
		for _, m := range out.Messages {
			to := int(m.To[0] - '0')
			s.inbox[to][i] = append(s.inbox[to][i], m.Data)
		}
	}
	s.violations = append(s.violations, "it never rests")
}

// receiveFrom has voter i take what one has sent it.
func (s *steppedCluster) receiveFrom(i, from int) bool {
	all := s.inbox[i][from]
	s.inbox[i][from] = nil
	for _, data := range all {
		s.hosts[i].Receive(s.clock(i), data)
	}
	return len(all) > 0
}

func (s *steppedCluster) deliverAll(i int) {
	for from := range 3 {
		s.receiveFrom(i, from)
	}
	s.advance(i)
}

// confirmDisk has the others tell voter i, which has just started, that its disk is the one they know: at once, as
// long as it waits. What was on its way before stays there.
func (s *steppedCluster) confirmDisk(i int) {
	h := s.hosts[i]
	h.tickedAt = s.clock(i)
	h.Tick(s.clock(i))
	asks := h.outbox
	h.outbox = nil
	s.now += confirmDelayMillis
	if s.faults.voteEarly {
		s.now -= confirmDelayMillis
	}
	for _, ask := range asks {
		o := s.hosts[ask.To[0]-'0']
		had := o.outbox
		o.outbox = nil
		o.Receive(s.clock(i), ask.Data)
		for _, answer := range o.outbox {
			h.Receive(s.clock(i), answer.Data)
		}
		o.outbox = had
	}
	s.advance(i)
}

// perform has one step happen, or tells that it can't.
func (s *steppedCluster) perform(a clusterStep) bool {
	h := s.hosts[a.i]
	s.now += 10
	switch a.kind {
	case 'c': // it asks for votes
		if h.node == nil || !h.diskConfirmed || h.isLeader() {
			return false
		}
		h.node.Campaign()
		s.advance(a.i)
	case 'd': // all that was sent to it comes
		if len(s.inbox[a.i][0])+len(s.inbox[a.i][1])+len(s.inbox[a.i][2]) == 0 {
			return false
		}
		s.deliverAll(a.i)
	case 'b': // two talk until they have nothing to say
		any := false
		for range 20 {
			was := s.receiveFrom(a.i, a.j)
			s.advance(a.i)
			if was = s.receiveFrom(a.j, a.i) || was; !was {
				break
			}
			s.advance(a.j)
			any = true
		}
		return any
	case 'k': // power is lost as it saves what came; then it starts anew
		for from := range 3 {
			s.receiveFrom(a.i, from)
		}
		s.advanceUntil(a.i, true)
		s.inbox[a.i] = [3][][]byte{}
		s.start(a.i)
		s.confirmDisk(a.i)
	case 'p': // it decides something
		if h.node == nil || !h.isLeader() {
			return false
		}
		s.write(a.i)
		s.advance(a.i)
	case 't': // its clock goes on by the time after which it votes for another
		if h.node == nil || h.node.BasicStatus().Lead == 0 {
			return false
		}
		s.now += electionTicks * tickMillis
		h.tickedAt = s.clock(a.i) - electionTicks*tickMillis
		h.Tick(s.clock(a.i))
		s.advance(a.i)
	}
	leading := 0
	for i, o := range s.hosts {
		if o.HasLease(s.clock(i)) {
			leading++
		}
	}
	if leading > 1 {
		s.violations = append(s.violations, "two lead")
	}
	return true
}

// fingerprint is the state as far as it can make a difference to what comes.
func (s *steppedCluster) fingerprint() uint64 {
	h := fnv.New64a()
	for i, o := range s.hosts {
		fmt.Fprintln(h, i, string(o.disk), o.HasLease(s.clock(i)), o.appliedIndex, o.diskConfirmed)
		if o.node != nil {
			text, _ := json.Marshal(o.node.Status())
			h.Write(text)
		}
		for from := range 3 {
			for _, data := range s.inbox[i][from] {
				h.Write(data)
			}
		}
	}
	return h.Sum64()
}

// replay has those steps happen one after the other; false: they can't. An end by Raft's own checks is
// something wrong.
func replay(t *testing.T, disks [3][]byte, path []clusterStep, faults plantedFaults) (s *steppedCluster, ok bool) {
	s, ok = newSteppedCluster(t, disks, faults), true
	defer func() {
		if p := recover(); p != nil {
			s.violations, ok = append(s.violations, fmt.Sprint(p)), true
		}
	}()
	for _, a := range path {
		ok = ok && s.perform(a)
	}
	return s, ok
}

// explore plays every order of steps behind those given, up to so many, and gives the first that goes wrong.
// What leads to a state that was seen is not gone on with.
func explore(t *testing.T, disks [3][]byte, first []clusterStep, depth int, faults plantedFaults) (states int,
	wrong []string) {
	type end struct {
		path  []clusterStep
		sum   uint64
		wrong []string
	}
	level, seen := [][]clusterStep{first}, map[uint64]bool{}
	for range depth {
		ends := make([][]end, len(level))
		var work sync.WaitGroup
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		for n, path := range level {
			slots <- struct{}{}
			work.Go(func() {
				defer func() { <-slots }()
				for _, a := range allSteps() {
					longer := append(path[:len(path):len(path)], a)
					if s, ok := replay(t, disks, longer, faults); ok {
						ends[n] = append(ends[n], end{longer, s.fingerprint(), s.violations})
					}
				}
			})
		}
		work.Wait()
		level = nil
		for _, e := range slices.Concat(ends...) {
			if len(e.wrong) > 0 {
				return len(seen), append(e.wrong, fmt.Sprint(e.path))
			}
			if !seen[e.sum] {
				seen[e.sum] = true
				level = append(level, e.path)
			}
		}
	}
	return len(seen), nil
}

// Every order of votes, deliveries, crashes while saving, decisions and clocks that go on, up to a depth: one
// number is one thing, and two never lead. Planted faults are found by it.
func TestAllOrdersUpToDepth(t *testing.T) {
	disks := bootstrappedDisks(t)
	asks := []clusterStep{{'c', 0, 0}}
	leads := []clusterStep{{'c', 0, 0}, {'b', 0, 1}, {'b', 0, 2}}
	for _, c := range []struct {
		name   string
		first  []clusterStep
		depth  int
		faults plantedFaults
		found  bool
	}{
		{name: "one asks for votes", first: asks, depth: 3},
		{name: "one leads", first: leads, depth: 3},
		{name: "something is being decided", first: append(leads[:3:3], clusterStep{'p', 0, 0}), depth: 3},
		{name: "the leader's lease may be over for another", first: append(leads[:3:3], clusterStep{'t', 1, 0}), depth: 3},
		{"votes are not saved", append(asks[:1:1], clusterStep{'b', 0, 1}), 3, plantedFaults{sendUnsaved: true, acceptStaleDisk: true},
			true},
		{"a lease too long", append(leads[:3:3], clusterStep{'t', 1, 0}), 3, plantedFaults{leaseFactor: 8}, true},
	} {
		if testing.Short() {
			if c.depth--; c.found {
				continue // it takes the whole depth
			}
		}
		states, wrong := explore(t, disks, c.first, c.depth, c.faults)
		t.Logf("%s: %d states, %v", c.name, states, wrong)
		assert.Equal(t, c.found, len(wrong) > 0, "%s: %v", c.name, wrong)
	}
}
