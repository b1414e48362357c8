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

// register is a state machine that holds the last committed entry, and reports each entry to the cluster.
type register struct {
	cluster *cluster
	voter   int
	last    string
	count   int
}

func (r *register) Apply(number uint64, data []byte) {
	r.last = string(data)
	r.count++
	r.cluster.recordCommit(r.voter, number, r.last)
}

func (r *register) Snapshot() []byte {
	// The text is so long that it fits into a datagram only after compression.
	text, _ := json.Marshal([3]any{r.last, r.count, strings.Repeat(r.last+", ", r.cluster.padding)})
	return text
}

func (r *register) Restore(data []byte) error {
	var state [3]any
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	r.last = state[0].(string)
	r.count = int(state[1].(float64))
	return nil
}

// simulatedHost is a machine with a voter, a disk, and a clock that runs at its own rate.
type simulatedHost struct {
	*Voter
	register       *register
	disk           []byte // durable state
	earlierDisk    []byte // an earlier copy of disk, which a test can bring back
	unsavedDisk    []byte // state that is being saved; nil if there is none
	savedAt        float64
	unsentMessages []OutgoingMessage // messages to send once unsavedDisk is saved
	down           bool
	suspended      bool // the process is stopped, and can wake up again
	inbox          [][]byte
	clockRate      float64
}

// cluster simulates voters and the network between them, and checks what they commit. Times are milliseconds.
type cluster struct {
	t          *testing.T
	now        float64
	rng        *rand.Rand
	hosts      []*simulatedHost
	configured []Member
	inFlight   []inFlightMessage
	severed    map[[2]int]bool // links that deliver nothing, by sender and receiver
	loss       float64         // fraction of messages that are lost
	delay      float64         // one-way delay in milliseconds, without jitter
	jitter     float64         // largest random delay added to a message, as a multiple of delay
	shouldDrop func(to int, data []byte) bool
	faults     plantedFaults

	committedEntries map[uint64]string // committed entries, by number
	highestApplied   map[int]uint64    // highest number that was applied, by voter
	violations       []string
	starts           int
	padding          int // how often a register's snapshot repeats its last entry
	operations       []porcupine.Operation
	pendingWrites    map[string]float64 // times at which entries were proposed, by entry
	writeCount       int
}

type inFlightMessage struct {
	arrivesAt float64
	from, to  int
	data      []byte
}

func newCluster(t *testing.T, voters int, seed int64, faults plantedFaults) *cluster {
	t.Helper()
	c := &cluster{
		t:                t,
		rng:              rand.New(rand.NewSource(seed)),
		severed:          map[[2]int]bool{},
		delay:            5,
		jitter:           2,
		faults:           faults,
		padding:          6000,
		committedEntries: map[uint64]string{},
		highestApplied:   map[int]uint64{},
		pendingWrites:    map[string]float64{},
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

// recordCommit checks that all voters apply the same entry under a number, and that each applies entries in
// increasing order.
func (c *cluster) recordCommit(voter int, number uint64, data string) {
	if earlier, isKnown := c.committedEntries[number]; isKnown && earlier != data {
		c.violations = append(c.violations, fmt.Sprintf("entry %d is both %q and %q", number, earlier, data))
	}
	c.committedEntries[number] = data
	if number <= c.highestApplied[voter] {
		c.violations = append(c.violations, fmt.Sprintf("voter %d went back to entry %d", voter, number))
	}
	c.highestApplied[voter] = number
	if proposedAt, isPending := c.pendingWrites[data]; isPending {
		c.recordWrite(voter, data, proposedAt)
	}
}

// recordWrite records that a proposed entry was committed, once a voter that has the lease applies it.
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

// clock returns the time by a voter's clock, in milliseconds.
func (c *cluster) clock(i int) float64 { return 1e6 + c.now*c.hosts[i].clockRate }

// start starts a voter's process on the contents of its disk.
func (c *cluster) start(i int) {
	c.t.Helper()
	host := c.hosts[i]
	c.starts++
	c.highestApplied[i] = 0
	host.register = &register{cluster: c, voter: i}
	rng := rand.New(rand.NewSource(int64(c.starts) * 7919))
	voter, err := New(c.clock(i), c.configured[i], c.configured, host.disk, host.register, rng)
	require.NoError(c.t, err)
	voter.faults = c.faults
	host.Voter = voter
	host.down = false
	host.unsavedDisk = nil
	host.unsentMessages = nil
	host.inbox = nil
}

// kill ends a voter's process. State that was not durable is lost.
func (c *cluster) kill(i int) {
	c.hosts[i].down = true
	c.hosts[i].unsavedDisk = nil
	c.hosts[i].unsentMessages = nil
}

// heal ends all faults: the network delivers all messages, and all voters run.
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

// startAll starts all voters that are down, and resumes those that are suspended.
func (c *cluster) startAll() {
	c.t.Helper()
	for i, host := range c.hosts {
		host.suspended = false
		if host.down {
			c.start(i)
		}
	}
}

// run simulates up to the given time, and calls afterStep (which may be nil) after each step.
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
			c.violations = append(c.violations, fmt.Sprintf("two voters hold the lease at %.0f ms", c.now))
		}
		if afterStep != nil {
			afterStep()
		}
	}
}

// deliver moves the messages that have arrived to the inboxes of their receivers.
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

// flush saves and sends what a voter has ready. A save takes up to two simulation steps.
func (c *cluster) flush(i int) {
	host := c.hosts[i]
	for range 20 {
		if host.unsavedDisk != nil {
			if c.now < host.savedAt {
				if ready := host.Ready(); ready.DurableState != nil || len(ready.Messages) > 0 {
					c.violations = append(c.violations, "Ready returned more work before the previous state was saved")
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

// send puts messages on the network, which loses some of them and delivers others twice.
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

// leaderIndex returns the index of the running voter that has the lease, or -1 if there is none.
func (c *cluster) leaderIndex() int {
	return slices.IndexFunc(c.hosts, func(host *simulatedHost) bool {
		return !host.down && !host.suspended && host.HasLease(c.clock(slices.Index(c.hosts, host)))
	})
}

// readOrWrite makes the voter that has the lease propose an entry or read the last one, in some of the steps.
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
				Output:   host.register.last,
				Call:     int64(c.now * 1000),
				Return:   int64(c.now*1000) + 1,
			})
		} else if len(c.pendingWrites) < 8 {
			c.write(i)
		}
	}
}

// write makes a voter propose an entry that no other call has proposed.
func (c *cluster) write(i int) {
	c.writeCount++
	data := fmt.Sprintf("%d by %d", c.writeCount, i)
	if c.hosts[i].Propose(c.clock(i), []byte(data)) == nil {
		c.pendingWrites[data] = c.now
	}
}

// registerModel is the model that histories are checked against: a read returns the last committed entry.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return output == state, state
		}
		return true, input
	},
}

// checkHistory returns all violations so far, including that the history is not linearizable.
func (c *cluster) checkHistory() []string {
	operations := slices.Clone(c.operations)
	for data, proposedAt := range c.pendingWrites { // no result is known: the entry may be committed at any time
		operations = append(operations, porcupine.Operation{
			ClientId: len(operations),
			Input:    data,
			Call:     int64(proposedAt * 1000),
			Return:   math.MaxInt64,
		})
	}
	if !porcupine.CheckOperations(registerModel, operations) {
		return append(c.violations, "the history is not linearizable: a read did not return the last committed entry")
	}
	return c.violations
}

// canCommit reports whether any entry is committed within the given time, in milliseconds.
func (c *cluster) canCommit(within float64) bool {
	before := len(c.committedEntries)
	for until := c.now + within; c.now < until && len(c.committedEntries) == before; {
		if i := c.leaderIndex(); i >= 0 {
			c.write(i)
		}
		c.run(c.now+50, nil)
	}
	return len(c.committedEntries) > before
}
