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

// steppedCluster is three voters that are driven step by step. Every order of steps up to some depth is explored,
// each starting from a cluster that has just been bootstrapped. Saves are durable within a step, except for the
// save that a crash interrupts.
type steppedCluster struct {
	*cluster
	inbox [3][3][][]byte // messages not yet received, by receiver and sender
}

// stepKind is what happens in a step.
type stepKind byte

const (
	campaign    stepKind = 'c' // a voter campaigns for votes
	deliver     stepKind = 'd' // a voter receives all that was sent to it
	exchange    stepKind = 'b' // two voters exchange messages until neither has any left
	crash       stepKind = 'k' // a voter loses power while it saves what it received, and restarts
	propose     stepKind = 'p' // a leader proposes an entry
	passTimeout stepKind = 't' // a voter's clock advances by the time after which it may vote for another
)

// clusterStep is one event at a voter, or between a voter and its peer.
type clusterStep struct {
	kind        stepKind
	voter, peer int
}

func (s clusterStep) String() string { return fmt.Sprintf("%c%d%d", s.kind, s.voter, s.peer) }

// allSteps returns every possible step.
func allSteps() (all []clusterStep) {
	for i := range 3 {
		for _, kind := range []stepKind{campaign, deliver, crash, propose, passTimeout} {
			all = append(all, clusterStep{kind, i, 0})
		}
	}
	return append(all, clusterStep{exchange, 0, 1}, clusterStep{exchange, 1, 2}, clusterStep{exchange, 0, 2})
}

// bootstrappedDisks returns the disks of a cluster that has just been bootstrapped and has no leader yet.
func bootstrappedDisks(t *testing.T) (disks [3][]byte) {
	t.Helper()
	s := &steppedCluster{cluster: newCluster(t, 3, 1, plantedFaults{})}
	s.padding = 0
	isNew := func(host *simulatedHost) bool { return len(host.founders) == 0 }
	for round := 0; slices.ContainsFunc(s.hosts, isNew); round++ {
		require.Less(t, round, 10)
		s.now += identityQueryIntervalMillis
		for i := range s.hosts {
			s.advance(i)
		}
		for i := range 3 {
			s.deliverAll(i)
		}
	}
	for i, host := range s.hosts {
		require.False(t, host.isLeader(), "no voter may lead before the first campaign")
		disks[i] = host.disk
	}
	return disks
}

func newSteppedCluster(t *testing.T, disks [3][]byte, faults plantedFaults) *steppedCluster {
	t.Helper()
	c := &cluster{
		t:                t,
		faults:           faults,
		committedEntries: map[uint64]string{},
		highestApplied:   map[int]uint64{},
		pendingWrites:    map[string]float64{},
	}
	s := &steppedCluster{cluster: c}
	for i := range disks {
		c.configured = append(c.configured, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		c.hosts = append(c.hosts, &simulatedHost{clockRate: 1, disk: disks[i]})
	}
	for i := range disks {
		c.start(i)
	}
	for i := range disks {
		s.confirmDisk(i)
	}
	return s
}

// advance makes a voter do what is due, without a tick of Raft's clock, and saves and sends its output.
func (s *steppedCluster) advance(i int) { s.saveAndSend(i, true) }

// saveAndSend does the same as advance, except that saving may fail. Then nothing is saved and nothing that
// depends on the save is sent.
func (s *steppedCluster) saveAndSend(i int, canSave bool) {
	host := s.hosts[i]
	host.tickedAt = s.clock(i)
	host.Tick(s.clock(i))
	for range 50 {
		ready := host.Ready()
		if ready.DurableState != nil {
			if !canSave {
				return
			}
			host.disk = ready.DurableState
			host.Advance()
		} else if len(ready.Messages) == 0 {
			return
		}
		for _, m := range ready.Messages {
			to := int(m.To[0] - '0')
			s.inbox[to][i] = append(s.inbox[to][i], m.Data)
		}
	}
	s.violations = append(s.violations, "a voter still has output after 50 rounds")
}

// receiveFrom delivers to a voter what one peer has sent it; false: there was nothing.
func (s *steppedCluster) receiveFrom(i, from int) bool {
	messages := s.inbox[i][from]
	s.inbox[i][from] = nil
	for _, data := range messages {
		s.hosts[i].Receive(s.clock(i), data)
	}
	return len(messages) > 0
}

func (s *steppedCluster) receiveAll(i int) {
	for from := range 3 {
		s.receiveFrom(i, from)
	}
}

func (s *steppedCluster) deliverAll(i int) {
	s.receiveAll(i)
	s.advance(i)
}

// confirmDisk passes the identity queries of a voter that has just started to the others, and their answers back,
// so that its disk is confirmed. The clock advances by the time that the voter has to wait for that. Messages that
// were sent before stay undelivered.
func (s *steppedCluster) confirmDisk(i int) {
	host := s.hosts[i]
	host.tickedAt = s.clock(i)
	host.Tick(s.clock(i))
	queries := host.output.messages
	host.output.messages = nil
	if !s.faults.voteEarly {
		s.now += confirmDelayMillis
	}
	for _, query := range queries {
		other := s.hosts[query.To[0]-'0']
		unsent := other.output.messages
		other.output.messages = nil
		other.Receive(s.clock(i), query.Data)
		for _, answer := range other.output.messages {
			host.Receive(s.clock(i), answer.Data)
		}
		other.output.messages = unsent
	}
	s.advance(i)
}

// perform carries out one step; false: the step is not possible. After each step except an exchange, it checks that
// at most one voter holds the lease. An exchange is excluded because a campaign step campaigns at once, while in
// service a voter campaigns only after the election timeout, which is longer than any lease.
func (s *steppedCluster) perform(step clusterStep) bool {
	s.now += 10
	if step.kind == exchange {
		return s.exchange(step.voter, step.peer)
	}
	if !s.performKind(step) {
		return false
	}
	leaders := 0
	for i, host := range s.hosts {
		if host.HasLease(s.clock(i)) {
			leaders++
		}
	}
	if leaders > 1 {
		s.violations = append(s.violations, "two voters hold the lease")
	}
	return true
}

func (s *steppedCluster) performKind(step clusterStep) bool {
	host := s.hosts[step.voter]
	switch step.kind {
	case campaign:
		if host.log.node == nil || !host.identity.confirmed || host.isLeader() {
			return false
		}
		host.log.node.Campaign()
		s.advance(step.voter)
	case deliver:
		if s.isInboxEmpty(step.voter) {
			return false
		}
		s.deliverAll(step.voter)
	case crash:
		s.receiveAll(step.voter)
		s.saveAndSend(step.voter, false)
		s.inbox[step.voter] = [3][][]byte{}
		s.start(step.voter)
		s.confirmDisk(step.voter)
	case propose:
		if !host.isLeader() {
			return false
		}
		s.write(step.voter)
		s.advance(step.voter)
	case passTimeout:
		if host.log.node == nil || host.log.node.BasicStatus().Lead == 0 {
			return false
		}
		s.now += electionTicks * tickMillis
		host.tickedAt = s.clock(step.voter) - electionTicks*tickMillis
		host.Tick(s.clock(step.voter))
		s.advance(step.voter)
	}
	return true
}

func (s *steppedCluster) isInboxEmpty(i int) bool {
	return len(s.inbox[i][0])+len(s.inbox[i][1])+len(s.inbox[i][2]) == 0
}

// exchange passes messages between two voters until neither has any left; false: there were none.
func (s *steppedCluster) exchange(i, j int) bool {
	anySent := false
	for range 20 {
		received := s.receiveFrom(i, j)
		s.advance(i)
		if s.receiveFrom(j, i) {
			received = true
		}
		if !received {
			break
		}
		s.advance(j)
		anySent = true
	}
	return anySent
}

// fingerprint returns a hash of the part of the state that can affect later steps.
func (s *steppedCluster) fingerprint() uint64 {
	sum := fnv.New64a()
	for i, host := range s.hosts {
		fmt.Fprintln(sum, i, string(host.disk), host.HasLease(s.clock(i)), host.log.appliedIndex,
			host.identity.confirmed)
		if host.log.node != nil {
			text, _ := json.Marshal(host.log.node.Status())
			sum.Write(text)
		}
		for from := range 3 {
			for _, data := range s.inbox[i][from] {
				sum.Write(data)
			}
		}
	}
	return sum.Sum64()
}

// replay carries out steps one after the other on a new cluster; false: one of them is not possible. A panic by
// Raft's own checks counts as a violation.
func replay(t *testing.T, disks [3][]byte, path []clusterStep, faults plantedFaults) (s *steppedCluster, ok bool) {
	t.Helper()
	s = newSteppedCluster(t, disks, faults)
	ok = true
	defer func() {
		if p := recover(); p != nil {
			s.violations = append(s.violations, fmt.Sprint(p))
			ok = true
		}
	}()
	for _, step := range path {
		ok = ok && s.perform(step)
	}
	return s, ok
}

// endState is the result of a path of steps.
type endState struct {
	path        []clusterStep
	fingerprint uint64
	violations  []string
}

// extend replays a path once for each possible next step, and returns the results.
func extend(t *testing.T, disks [3][]byte, path []clusterStep, faults plantedFaults) (ends []endState) {
	t.Helper()
	for _, step := range allSteps() {
		longer := append(slices.Clone(path), step)
		if s, ok := replay(t, disks, longer, faults); ok {
			ends = append(ends, endState{longer, s.fingerprint(), s.violations})
		}
	}
	return ends
}

// explore carries out the first steps and then every order of up to depth further steps. It returns the first
// violations with their path. A path that leads to a state seen before is not extended.
func explore(t *testing.T, disks [3][]byte, first []clusterStep, depth int, faults plantedFaults) (states int,
	violations []string) {
	t.Helper()
	level := [][]clusterStep{first}
	seen := map[uint64]bool{}
	for range depth {
		ends := make([][]endState, len(level))
		var work sync.WaitGroup
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		for n, path := range level {
			slots <- struct{}{}
			work.Go(func() {
				defer func() { <-slots }()
				ends[n] = extend(t, disks, path, faults)
			})
		}
		work.Wait()
		level = nil
		for _, end := range slices.Concat(ends...) {
			if len(end.violations) > 0 {
				return len(seen), append(end.violations, fmt.Sprint(end.path))
			}
			if !seen[end.fingerprint] {
				seen[end.fingerprint] = true
				level = append(level, end.path)
			}
		}
	}
	return len(seen), nil
}

// TestAllOrdersUpToDepth explores every order of campaigns, deliveries, crashes while saving, proposals and clock
// advances, up to a depth. All voters must apply the same entry under a number, and two voters must never hold the
// lease at once. Planted faults must be detected.
func TestAllOrdersUpToDepth(t *testing.T) {
	disks := bootstrappedDisks(t)
	campaigns := []clusterStep{{campaign, 0, 0}}
	leads := []clusterStep{{campaign, 0, 0}, {exchange, 0, 1}, {exchange, 0, 2}}
	after := func(steps []clusterStep, next clusterStep) []clusterStep { return append(slices.Clone(steps), next) }
	for _, test := range []struct {
		name     string
		first    []clusterStep
		depth    int
		faults   plantedFaults
		detected bool
	}{
		{name: "a voter campaigns", first: campaigns, depth: 3},
		{name: "a voter leads", first: leads, depth: 3},
		{name: "an entry is being decided", first: after(leads, clusterStep{propose, 0, 0}), depth: 3},
		{name: "the lease has ended for another", first: after(leads, clusterStep{passTimeout, 1, 0}), depth: 3},
		{name: "votes are not saved", first: after(campaigns, clusterStep{exchange, 0, 1}), depth: 3,
			faults: plantedFaults{sendUnsaved: true, acceptStaleDisk: true}, detected: true},
		{name: "the lease is too long", first: after(leads, clusterStep{passTimeout, 1, 0}), depth: 3,
			faults: plantedFaults{leaseFactor: 8}, detected: true},
	} {
		if testing.Short() {
			if test.detected {
				continue // a fault is detected only at the full depth
			}
			test.depth--
		}
		states, violations := explore(t, disks, test.first, test.depth, test.faults)
		t.Logf("%s: %d states, %v", test.name, states, violations)
		assert.Equal(t, test.detected, len(violations) > 0, "%s: %v", test.name, violations)
	}
}
