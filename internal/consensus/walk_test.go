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

// small is three voters that are driven step by step: every order of steps up to a depth is walked, each from
// a council that has just been founded. Saves are durable within a step, but for one that a crash cuts off.
type small struct {
	*world
	inbox [3][3][][]byte // to whom, from whom
}

// step is one thing that happens, told by its letter and who it happens to.
type step struct {
	what byte
	i, j int
}

func (s step) String() string { return fmt.Sprintf("%c%d%d", s.what, s.i, s.j) }

func steps() (all []step) {
	for i := range 3 {
		for _, what := range []byte("cdkpt") {
			all = append(all, step{what, i, 0})
		}
	}
	return append(all, step{'b', 0, 1}, step{'b', 1, 2}, step{'b', 0, 2})
}

// founded gives the disks of a council that was just founded, which nobody leads.
func founded(t *testing.T) (disks [3][]byte) {
	s := &small{world: newWorld(t, 3, 1, Faults{})}
	s.pad = 0
	unformed := func(h *host) bool { return len(h.formed) == 0 }
	for round := 0; slices.ContainsFunc(s.hosts, unformed); round++ {
		require.Less(t, round, 10)
		s.now += helloEvery
		for i := range s.hosts {
			s.touch(i)
		}
		for i := range 3 {
			s.deliver(i)
		}
	}
	for i, h := range s.hosts {
		require.False(t, h.leads(), "nobody was told to")
		disks[i] = h.disk
	}
	return disks
}

func newSmall(t *testing.T, disks [3][]byte, faults Faults) *small {
	w := &world{t: t, faults: faults, numbers: map[uint64]string{}, highest: map[int]uint64{},
		writes: map[string]float64{}}
	s := &small{world: w}
	for i := range disks {
		w.names = append(w.names, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		w.hosts = append(w.hosts, &host{pace: 1, disk: disks[i]})
	}
	for i := range disks {
		w.start(i)
	}
	for i := range disks {
		s.vouch(i)
	}
	return s
}

// touch has voter i do what is due, without a tick of its clock, and carries out what follows. Nothing is
// saved, and so nothing said, where it ends before.
func (s *small) touch(i int) { s.carryOut(i, false) }

func (s *small) carryOut(i int, ends bool) {
	h := s.hosts[i]
	h.ticked = s.clock(i)
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
	s.wrong = append(s.wrong, "it never rests")
}

// take has voter i take what one has sent it.
func (s *small) take(i, from int) bool {
	all := s.inbox[i][from]
	s.inbox[i][from] = nil
	for _, data := range all {
		s.hosts[i].Receive(s.clock(i), data)
	}
	return len(all) > 0
}

func (s *small) deliver(i int) {
	for from := range 3 {
		s.take(i, from)
	}
	s.touch(i)
}

// vouch has the others tell voter i, which has just started, that its disk is the one they know: at once, as
// long as it waits. What was on its way before stays there.
func (s *small) vouch(i int) {
	h := s.hosts[i]
	h.ticked = s.clock(i)
	h.Tick(s.clock(i))
	asks := h.words
	h.words = nil
	s.now += vouchTime
	if s.faults.VotesEarly {
		s.now -= vouchTime
	}
	for _, ask := range asks {
		o := s.hosts[ask.To[0]-'0']
		had := o.words
		o.words = nil
		o.Receive(s.clock(i), ask.Data)
		for _, answer := range o.words {
			h.Receive(s.clock(i), answer.Data)
		}
		o.words = had
	}
	s.touch(i)
}

// do has one step happen, or tells that it can't.
func (s *small) do(a step) bool {
	h := s.hosts[a.i]
	s.now += 10
	switch a.what {
	case 'c': // it asks for votes
		if h.node == nil || !h.vouched || h.leads() {
			return false
		}
		h.node.Campaign()
		s.touch(a.i)
	case 'd': // all that was sent to it comes
		if len(s.inbox[a.i][0])+len(s.inbox[a.i][1])+len(s.inbox[a.i][2]) == 0 {
			return false
		}
		s.deliver(a.i)
	case 'b': // two talk until they have nothing to say
		any := false
		for range 20 {
			was := s.take(a.i, a.j)
			s.touch(a.i)
			if was = s.take(a.j, a.i) || was; !was {
				break
			}
			s.touch(a.j)
			any = true
		}
		return any
	case 'k': // power is lost as it saves what came; then it starts anew
		for from := range 3 {
			s.take(a.i, from)
		}
		s.carryOut(a.i, true)
		s.inbox[a.i] = [3][][]byte{}
		s.start(a.i)
		s.vouch(a.i)
	case 'p': // it decides something
		if h.node == nil || !h.leads() {
			return false
		}
		s.write(a.i)
		s.touch(a.i)
	case 't': // its clock goes on by the time after which it votes for another
		if h.node == nil || h.node.BasicStatus().Lead == 0 {
			return false
		}
		s.now += election * tick
		h.ticked = s.clock(a.i) - election*tick
		h.Tick(s.clock(a.i))
		s.touch(a.i)
	}
	leading := 0
	for i, o := range s.hosts {
		if o.HasLease(s.clock(i)) {
			leading++
		}
	}
	if leading > 1 {
		s.wrong = append(s.wrong, "two lead")
	}
	return true
}

// sum is the state as far as it can make a difference to what comes.
func (s *small) sum() uint64 {
	h := fnv.New64a()
	for i, o := range s.hosts {
		fmt.Fprintln(h, i, string(o.disk), o.HasLease(s.clock(i)), o.applied, o.vouched)
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

// played has those steps happen one after the other; false: they can't. An end by Raft's own checks is
// something wrong.
func played(t *testing.T, disks [3][]byte, path []step, faults Faults) (s *small, ok bool) {
	s, ok = newSmall(t, disks, faults), true
	defer func() {
		if p := recover(); p != nil {
			s.wrong, ok = append(s.wrong, fmt.Sprint(p)), true
		}
	}()
	for _, a := range path {
		ok = ok && s.do(a)
	}
	return s, ok
}

// walk plays every order of steps behind those given, up to so many, and gives the first that goes wrong.
// What leads to a state that was seen is not gone on with.
func walk(t *testing.T, disks [3][]byte, first []step, depth int, faults Faults) (states int,
	wrong []string) {
	type end struct {
		path  []step
		sum   uint64
		wrong []string
	}
	level, seen := [][]step{first}, map[uint64]bool{}
	for range depth {
		ends := make([][]end, len(level))
		var work sync.WaitGroup
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		for n, path := range level {
			slots <- struct{}{}
			work.Go(func() {
				defer func() { <-slots }()
				for _, a := range steps() {
					longer := append(path[:len(path):len(path)], a)
					if s, ok := played(t, disks, longer, faults); ok {
						ends[n] = append(ends[n], end{longer, s.sum(), s.wrong})
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
func TestAllSmallOrders(t *testing.T) {
	disks := founded(t)
	asks := []step{{'c', 0, 0}}
	leads := []step{{'c', 0, 0}, {'b', 0, 1}, {'b', 0, 2}}
	for _, c := range []struct {
		name   string
		first  []step
		depth  int
		faults Faults
		found  bool
	}{
		{name: "one asks for votes", first: asks, depth: 3},
		{name: "one leads", first: leads, depth: 3},
		{name: "something is being decided", first: append(leads[:3:3], step{'p', 0, 0}), depth: 3},
		{name: "the leader's lease may be over for another", first: append(leads[:3:3], step{'t', 1, 0}), depth: 3},
		{"votes are not saved", append(asks[:1:1], step{'b', 0, 1}), 3, Faults{Unsaved: true, KeepsOld: true},
			true},
		{"a lease too long", append(leads[:3:3], step{'t', 1, 0}), 3, Faults{LongLease: 8}, true},
	} {
		if testing.Short() {
			if c.depth--; c.found {
				continue // it takes the whole depth
			}
		}
		states, wrong := walk(t, disks, c.first, c.depth, c.faults)
		t.Logf("%s: %d states, %v", c.name, states, wrong)
		assert.Equal(t, c.found, len(wrong) > 0, "%s: %v", c.name, wrong)
	}
}
