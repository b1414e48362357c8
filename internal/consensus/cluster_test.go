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
	"github.com/stretchr/testify/require"
)

const simulationStepMillis = 5

// ledger is a state machine that holds what was decided last, and reports each decision to the cluster.
type ledger struct {
	cluster *cluster
	voter   int
	last    string
	count   int
}

func (l *ledger) Apply(number uint64, data []byte) {
	l.last = string(data)
	l.count++
	l.cluster.recordDecision(l.voter, number, l.last)
}

func (l *ledger) Snapshot() []byte {
	// Long enough that no datagram would hold it as it is.
	text, _ := json.Marshal([3]any{l.last, l.count, strings.Repeat(l.last+", ", l.cluster.padding)})
	return text
}

func (l *ledger) Restore(data []byte) error {
	var state [3]any
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	l.last = state[0].(string)
	l.count = int(state[1].(float64))
	return nil
}

// simulatedHost is a machine with a voter, a disk and a clock of its own rate.
type simulatedHost struct {
	*Voter
	ledger         *ledger
	disk           []byte // durable
	earlierDisk    []byte // a copy of it
	unsavedDisk    []byte // being saved; nil: nothing is
	savedAt        float64
	unsentMessages []OutgoingMessage // that wait for it
	down           bool
	suspended      bool // its process has stopped and can wake up
	inbox          [][]byte
	clockRate      float64
}

// cluster simulates voters and the network between them, and checks what they decide.
type cluster struct {
	t          *testing.T
	now        float64
	rng        *rand.Rand
	hosts      []*simulatedHost
	configured []Member
	inFlight   []inFlightMessage
	severed    map[[2]int]bool // one way, from the first to the second
	loss       float64         // share of the messages
	delay      float64         // one way
	jitter     float64         // of the delay, on top of it at the most
	shouldDrop func(to int, data []byte) bool
	faults     plantedFaults

	decisions      map[uint64]string // by number
	highestApplied map[int]uint64    // number, by voter
	violations     []string
	starts         int
	padding        int // of the ledger's snapshot
	operations     []porcupine.Operation
	pendingWrites  map[string]float64 // when they were proposed
	writeCount     int
}

type inFlightMessage struct {
	arrivesAt float64
	from, to  int
	data      []byte
}

func newCluster(t *testing.T, voters int, seed int64, faults plantedFaults) *cluster {
	t.Helper()
	c := &cluster{
		t:              t,
		rng:            rand.New(rand.NewSource(seed)),
		severed:        map[[2]int]bool{},
		delay:          5,
		jitter:         2,
		faults:         faults,
		padding:        6000,
		decisions:      map[uint64]string{},
		highestApplied: map[int]uint64{},
		pendingWrites:  map[string]float64{},
	}
	for i := range voters {
		c.configured = append(c.configured, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint(i)})
		c.hosts = append(c.hosts, &simulatedHost{clockRate: 1})
	}
	for i := range voters {
		c.start(i)
	}
	return c
}

// recordDecision checks that a number stands for one entry, and that no voter applies one after a higher one.
func (c *cluster) recordDecision(voter int, number uint64, data string) {
	if earlier, isKnown := c.decisions[number]; isKnown && earlier != data {
		c.violations = append(c.violations, fmt.Sprintf("%d is %q and %q", number, earlier, data))
	}
	c.decisions[number] = data
	if number <= c.highestApplied[voter] {
		c.violations = append(c.violations, fmt.Sprintf("voter %d went back to %d", voter, number))
	}
	c.highestApplied[voter] = number
	if proposedAt, isPending := c.pendingWrites[data]; isPending {
		c.recordWrite(voter, data, proposedAt)
	}
}

// recordWrite records that a proposed entry was decided, as soon as a voter that has the lease applies it.
func (c *cluster) recordWrite(voter int, data string, proposedAt float64) {
	host := c.hosts[voter]
	if host.Voter == nil || !host.HasLease(c.clock(voter)) {
		return
	}
	delete(c.pendingWrites, data)
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: len(c.operations),
		Input:    data,
		Output:   "",
		Call:     int64(proposedAt * 1000),
		Return:   int64(c.now * 1000),
	})
}

// clock returns the time at a voter.
func (c *cluster) clock(i int) float64 { return 1e6 + c.now*c.hosts[i].clockRate }

// start starts a voter's process on what its disk holds.
func (c *cluster) start(i int) {
	c.t.Helper()
	host := c.hosts[i]
	c.starts++
	c.highestApplied[i] = 0
	host.ledger = &ledger{cluster: c, voter: i}
	rng := rand.New(rand.NewSource(int64(c.starts) * 7919))
	voter, err := New(c.clock(i), c.configured[i], c.configured, host.disk, host.ledger, rng)
	require.NoError(c.t, err)
	voter.faults = c.faults
	host.Voter = voter
	host.down = false
	host.unsavedDisk = nil
	host.unsentMessages = nil
	host.inbox = nil
}

// kill ends a voter's process; what was not durable is lost.
func (c *cluster) kill(i int) {
	c.hosts[i].down = true
	c.hosts[i].unsavedDisk = nil
	c.hosts[i].unsentMessages = nil
}

// heal ends all faults: the network delivers, and all voters run.
func (c *cluster) heal() {
	c.t.Helper()
	c.restoreNetwork()
	c.startAll()
}

func (c *cluster) restoreNetwork() {
	c.loss = 0
	c.delay = 5
	c.severed = map[[2]int]bool{}
}

// startAll starts the voters that are down, and wakes those that are suspended.
func (c *cluster) startAll() {
	c.t.Helper()
	for i, host := range c.hosts {
		host.suspended = false
		if host.down {
			c.start(i)
		}
	}
}

// run simulates until that time, with a call after each step.
func (c *cluster) run(until float64, afterStep func()) {
	for ; c.now < until; c.now += simulationStepMillis {
		c.deliver()
		leaders := 0
		for i, host := range c.hosts {
			if host.down {
				continue
			}
			if host.HasLease(c.clock(i)) {
				leaders++
			}
			if !host.suspended {
				c.runHost(i)
			}
		}
		if leaders > 1 {
			c.violations = append(c.violations, fmt.Sprintf("two lead at %.0f", c.now))
		}
		if afterStep != nil {
			afterStep()
		}
	}
}

// deliver puts the messages that have arrived into the inboxes.
func (c *cluster) deliver() {
	var later []inFlightMessage
	for _, m := range c.inFlight {
		if m.arrivesAt > c.now {
			later = append(later, m)
			continue
		}
		if host := c.hosts[m.to]; !host.down && !c.severed[[2]int{m.from, m.to}] {
			host.inbox = append(host.inbox, m.data)
		}
	}
	c.inFlight = later
}

func (c *cluster) runHost(i int) {
	host := c.hosts[i]
	for _, data := range host.inbox {
		host.Receive(c.clock(i), data)
	}
	host.inbox = nil
	host.Tick(c.clock(i))
	c.flush(i)
}

// flush saves and sends what a voter has ready. Saving takes up to two steps.
func (c *cluster) flush(i int) {
	host := c.hosts[i]
	for range 20 {
		if host.unsavedDisk != nil {
			if c.now < host.savedAt {
				if ready := host.Ready(); ready.DurableState != nil || len(ready.Messages) > 0 {
					c.violations = append(c.violations, "something is to be done before what came before is saved")
				}
				return
			}
			host.disk = host.unsavedDisk
			host.unsavedDisk = nil
			c.send(i, host.unsentMessages)
			host.unsentMessages = nil
			host.Advance()
		}
		ready := host.Ready()
		if ready.DurableState != nil {
			host.unsavedDisk = ready.DurableState
			host.savedAt = c.now + float64(c.rng.Intn(3))*simulationStepMillis
			host.unsentMessages = ready.Messages
			continue
		}
		if len(ready.Messages) == 0 {
			return
		}
		c.send(i, ready.Messages)
	}
}

// send puts messages on the network, which loses some and delivers some twice.
func (c *cluster) send(from int, messages []OutgoingMessage) {
	for _, m := range messages {
		var to int
		fmt.Sscan(m.To, &to)
		copies := 1 + c.rng.Intn(12)/11
		for range copies {
			if c.rng.Float64() < c.loss {
				continue
			}
			if c.shouldDrop != nil && c.shouldDrop(to, m.Data) {
				continue
			}
			arrivesAt := c.now + c.delay*(1+c.jitter*c.rng.Float64())
			c.inFlight = append(c.inFlight, inFlightMessage{arrivesAt: arrivesAt, from: from, to: to, data: m.Data})
		}
	}
}

// leaderIndex returns the voter that has the lease and runs; -1: there is none.
func (c *cluster) leaderIndex() int {
	return slices.IndexFunc(c.hosts, func(host *simulatedHost) bool {
		return !host.down && !host.suspended && host.HasLease(c.clock(slices.Index(c.hosts, host)))
	})
}

// readOrWrite has whoever holds the lease propose an entry now and then, or read what was decided last.
func (c *cluster) readOrWrite() {
	if c.rng.Intn(8) > 0 {
		return
	}
	for i, host := range c.hosts {
		if host.down || host.suspended || !host.HasLease(c.clock(i)) {
			continue
		}
		if c.rng.Intn(2) == 0 {
			c.operations = append(c.operations, porcupine.Operation{
				ClientId: len(c.operations),
				Input:    "",
				Output:   host.ledger.last,
				Call:     int64(c.now * 1000),
				Return:   int64(c.now*1000) + 1,
			})
		} else if len(c.pendingWrites) < 8 {
			c.write(i)
		}
	}
}

// write has a voter propose an entry of its own.
func (c *cluster) write(i int) {
	c.writeCount++
	data := fmt.Sprintf("%d by %d", c.writeCount, i)
	if c.hosts[i].Propose(c.clock(i), []byte(data)) == nil {
		c.pendingWrites[data] = c.now
	}
}

// register is the model that histories are checked against: a read returns what was decided last.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return output == state, state
		}
		return true, input
	},
}

// checkHistory returns all violations so far.
func (c *cluster) checkHistory() []string {
	operations := slices.Clone(c.operations)
	for data, proposedAt := range c.pendingWrites { // no answer: it may be decided at any time
		operations = append(operations, porcupine.Operation{
			ClientId: len(operations),
			Input:    data,
			Call:     int64(proposedAt * 1000),
			Return:   math.MaxInt64,
		})
	}
	if !porcupine.CheckOperations(register, operations) {
		return append(c.violations, "what was read is not what was decided last")
	}
	return c.violations
}

// canDecide tells whether anything is decided within that time.
func (c *cluster) canDecide(within float64) bool {
	before := len(c.decisions)
	for until := c.now + within; c.now < until && len(c.decisions) == before; {
		if i := c.leaderIndex(); i >= 0 {
			c.write(i)
		}
		c.run(c.now+50, nil)
	}
	return len(c.decisions) > before
}
