package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	mathrand "math/rand"
	"sync"
	"time"

	"valeshift/balancer"
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// tickInterval is the time between two ticks of a node's core.
const tickInterval = 50 * time.Millisecond

// MaxDescriptors is the maximum number of file descriptors that a node uses: two sockets, the connections of relays
// that query it, those to relays that it queries, and the disk's files.
const MaxDescriptors = 2 + maxConcurrentQueries + 4 + 4

// Node drives a Core with sockets, a store and timers. It implements relay.Fleet.
type Node struct {
	name   string
	config Config
	key    []byte
	log    *slog.Logger
	clock  nodeClock
	relay  relayHooks

	mutex sync.Mutex // guards core; never held while the relay, a peer or the disk is waited for
	core  *Core

	sockets     sockets
	disk        disk
	replication replicationQueue
	orders      orderWaiters
	tasks       taskGroup
}

// relayHooks are the functions by which a node notifies the relay of events and reads the relay's state.
type relayHooks struct {
	notify           func(relay.Event)
	status           func() relay.Status
	snapshot         func() *relay.Snapshot
	zoneObservations func() (map[string]balancer.ZoneObservation, float64)
}

// nodeClock provides the relay's own clock and the machine's.
type nodeClock struct {
	startedAt   time.Time        // time when the relay's clock was at startMillis
	startMillis float64          // the relay's clock at startedAt, in ms
	machine     func() time.Time // reads the machine's clock
}

// now returns the relay's own clock, in milliseconds.
func (c *nodeClock) now() float64 {
	return c.startMillis + float64(time.Since(c.startedAt))/float64(time.Millisecond)
}

// wall returns the machine's clock, in Unix milliseconds.
func (c *nodeClock) wall() float64 { return float64(c.machine().UnixMicro()) / 1000 }

// NewNode returns the node of the relay with the given name; Start starts it. With a nil config there are no other
// relays, with a nil folder there is no disk. maxDiskBytes limits the size of the store on the disk.
func NewNode(name string, config *Config, folder store.FS, maxDiskBytes int, machineClock func() time.Time,
	log *slog.Logger) (*Node, error) {
	n := &Node{
		name:  name,
		log:   log,
		clock: nodeClock{machine: machineClock},
		disk:  disk{folder: folder, maxBytes: maxDiskBytes, flushRequested: make(chan struct{}, 1)},
		tasks: newTaskGroup(),
	}
	if config != nil {
		key, err := ReadKey(config.KeyFile)
		if err != nil {
			return nil, err
		}
		n.config = *config
		n.key = key
	}
	return n, nil
}

// Start opens the sockets and starts the node's goroutines; now is the present time of the relay's clock. notify
// delivers an event to the relay; the other functions return the relay's status, its snapshot, and its observations of
// zones with the demand of its sessions. Stop ends the goroutines and closes the sockets.
func (n *Node) Start(now float64, notify func(relay.Event), status func() relay.Status,
	snapshot func() *relay.Snapshot,
	zoneObservations func() (map[string]balancer.ZoneObservation, float64)) error {
	n.clock.startedAt = time.Now()
	n.clock.startMillis = now
	n.relay = relayHooks{notify: notify, status: status, snapshot: snapshot, zoneObservations: zoneObservations}
	seeds, err := drawSeeds()
	if err != nil {
		return err
	}
	if n.config.Listen != "" {
		if n.sockets, err = listen(n.config.Listen); err != nil {
			return fmt.Errorf("peers.listen: %w", err)
		}
	}
	n.startCore(now, seeds)
	n.startTasks()
	return nil
}

// randomSeeds are the random numbers drawn at each start of a relay.
type randomSeeds struct {
	incarnation uint64
	rng         int64 // seed of the random source of Core
}

func drawSeeds() (randomSeeds, error) {
	var drawn [16]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return randomSeeds{}, fmt.Errorf("drawing an incarnation: %w", err)
	}
	return randomSeeds{
		incarnation: binary.LittleEndian.Uint64(drawn[:8]),
		rng:         int64(binary.LittleEndian.Uint64(drawn[8:])),
	}, nil
}

// startCore creates the core from the config, and notifies the relay that it is a new incarnation and whether
// replication is enabled.
func (n *Node) startCore(now float64, seeds randomSeeds) {
	own := membership.MemberState{Name: n.name, Zone: n.config.Zone, Region: n.config.Region,
		Address: n.config.Listen, Incarnation: seeds.incarnation}
	rng := mathrand.New(mathrand.NewSource(seeds.rng))
	n.core = New(now, own, n.config.Seeds, n.key, n.disk.isConfigured(), rng)
	if n.core.membership != nil {
		n.core.membership.SeedsOnly = n.config.SeedsOnly
	}
	if len(n.config.Voters) > 0 {
		n.core.FollowCoordinators(n.name, n.config.Zone, n.config.Voters, n.key, rng)
	}
	n.relay.notify(relay.IncarnationChanged{})
	if n.config.Copies > 0 {
		n.replication = newReplicationQueue()
		for _, a := range n.core.EnableReplication(n.name, own.Incarnation, n.config.Copies,
			n.config.MarkerRetentionMillis, n.config.ReplicateAffinity, n.key, rng) {
			n.relay.notify(a.Event)
		}
	}
}

func (n *Node) startTasks() {
	if n.replication.isEnabled() {
		n.tasks.start(n.runReplication)
	}
	n.tasks.start(n.runTicks)
	if n.sockets.areOpen() {
		n.tasks.start(n.receiveDatagrams)
		n.tasks.start(n.acceptQueries)
	}
	if n.disk.isConfigured() {
		n.tasks.start(n.runDisk)
	}
}

// Stop closes the sockets, ends the node's goroutines and waits for them. If the disk is in use, the snapshot is
// written a last time.
func (n *Node) Stop() {
	n.tasks.cancel()
	n.sockets.close()
	n.tasks.wait()
}

// runTicks ticks the core every tickInterval, and sends observations to the coordinators, until the context is done.
func (n *Node) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			status := n.relay.status()
			n.update(func(core *Core) []Action { return core.Tick(n.clock.now(), n.clock.wall(), status) })
			n.sendObservations()
		}
	}
}

// sendObservations sends the relay's observations of zones to the coordinators if they are due.
func (n *Node) sendObservations() {
	n.mutex.Lock()
	isDue := n.core.IsObservationDue(n.clock.now())
	n.mutex.Unlock()
	if !isDue {
		return
	}
	zones, demand := n.relay.zoneObservations()
	n.update(func(core *Core) []Action { return core.SendObservations(n.clock.now(), zones, demand) })
}

// receiveDatagrams passes datagrams to the core until the socket is closed.
func (n *Node) receiveDatagrams(context.Context) {
	n.sockets.receive(func(from string, data []byte) {
		n.update(func(core *Core) []Action { return core.ReceiveDatagram(n.clock.now(), from, data) })
	})
}

// update applies a change to the core and executes the resulting actions.
func (n *Node) update(apply func(core *Core) []Action) {
	n.mutex.Lock()
	actions := apply(n.core)
	if n.replication.isEnabled() {
		now := n.clock.now()
		n.replication.bringForward(now + n.core.ReplicationDelay(now))
	}
	n.mutex.Unlock()
	for _, a := range actions {
		n.execute(a)
	}
}

// execute executes an action of the core.
func (n *Node) execute(a Action) {
	switch {
	case a.Send != nil:
		n.sockets.send(a.Send)
	case a.Query != nil:
		query := *a.Query
		n.tasks.start(func(ctx context.Context) { n.query(ctx, query) })
	case a.Persist != nil:
		n.persist(a)
	case a.OrderReplicated != nil:
		n.orders.complete(*a.OrderReplicated)
	case a.Event != nil:
		n.relay.notify(a.Event)
	case a.Log != "":
		n.log.Info("fleet", "what", a.Log)
	}
}

// persist puts an action's record on the disk, and passes the result to the core if the core awaits it.
func (n *Node) persist(a Action) {
	var finish func(error)
	if a.AwaitsPersistence() {
		finish = func(err error) {
			n.update(func(core *Core) []Action { return core.FinishPersist(n.clock.now(), a, err) })
		}
	}
	n.disk.put(*a.Persist, finish)
}

// ReplicationPage returns one part of the records that this relay stores, to be encoded as JSON; nil if replication
// is disabled.
func (n *Node) ReplicationPage(part int) any {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if page := n.core.ReplicationPage(n.clock.now(), part); page != nil {
		return page
	}
	return nil
}

// Status returns the relay's Status, to be encoded as JSON.
func (n *Node) Status() any {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Status(n.clock.now())
}
