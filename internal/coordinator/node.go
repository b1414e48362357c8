package coordinator

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"time"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
	"valeshift/internal/store"
)

const (
	tickInterval             = 10 * time.Millisecond  // between two ticks of the core
	announcementPollInterval = 250 * time.Millisecond // between two requests for the leader's announcement
)

// Node runs a coordinator on a UDP socket and a store. Its methods are safe for concurrent use.
type Node struct {
	log       *slog.Logger
	key       []byte
	startedAt time.Time
	conn      *net.UDPConn
	store     *store.Store

	mutex sync.Mutex // guards core; never held while waiting for the disk
	core  *Core
	saves chan consensus.Ready // states for saveLoop; holds at most one, as the core returns the next only after a save

	stop       context.CancelFunc
	goroutines sync.WaitGroup // tickLoop, receiveLoop and saveLoop, which Stop waits for
}

// Start starts a coordinator that listens on the address of self and stores its votes in the given folder.
func Start(self consensus.Member, voters []consensus.Member, zones []failover.Zone, key []byte, folder store.FS,
	log *slog.Logger) (*Node, error) {
	rng, err := newRand()
	if err != nil {
		return nil, err
	}
	voteStore, found, err := store.Open(folder, self.Name, maxStoreBytes)
	if err != nil {
		return nil, fmt.Errorf("open folder: %w", err)
	}
	if found.Damaged > 0 || found.TornBytes > 0 {
		log.Warn("disk: damaged pieces passed over", "damaged", found.Damaged, "torn", found.TornBytes)
	}
	n := &Node{
		log:       log,
		key:       key,
		startedAt: time.Now(),
		store:     voteStore,
		saves:     make(chan consensus.Ready, 1),
	}
	record, _ := voteStore.Get(store.KindConsensus, "")
	n.core, err = New(n.now(), self, voters, zones, record.Body, rng)
	if err != nil {
		return nil, errors.Join(err, voteStore.Close())
	}
	n.conn, err = listen(self.Address)
	if err != nil {
		return nil, errors.Join(err, voteStore.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.goroutines.Go(func() { n.tickLoop(ctx) })
	n.goroutines.Go(n.receiveLoop)
	n.goroutines.Go(func() { n.saveLoop(ctx) })
	return n, nil
}

// newRand returns a random number generator that is seeded by the operating system.
func newRand() (*rand.Rand, error) {
	var seed [8]byte
	if _, err := cryptorand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("draw seed: %w", err)
	}
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))), nil
}

// Stop stops the coordinator and waits until its goroutines have ended. It must be called only once.
func (n *Node) Stop() {
	n.stop()
	n.conn.Close()
	n.goroutines.Wait()
	if err := n.store.Close(); err != nil {
		n.log.Warn("close folder", "err", err)
	}
}

// SetZones replaces the zones to decide on.
func (n *Node) SetZones(zones []failover.Zone) {
	n.update(func(_ float64, core *Core) { core.SetZones(zones) })
}

// now returns the time for the core: milliseconds since the start, beginning at 1.
func (n *Node) now() float64 { return 1 + float64(time.Since(n.startedAt))/float64(time.Millisecond) }

// unixMillis returns the Unix time by the machine's clock, in milliseconds.
func unixMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// update calls change with the core, then sends the core's messages and hands its state to saveLoop. It never
// waits for the disk.
func (n *Node) update(change func(now float64, core *Core)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(n.now(), n.core)
	for {
		ready := n.core.Ready()
		if ready.DurableState != nil {
			n.saves <- ready // doesn't block: the core returns the next state only after this one is saved
			return
		}
		if len(ready.Messages) == 0 {
			return
		}
		n.sendMessages(ready.Messages)
	}
}

// read calls inspect with the core, which must not change it.
func (n *Node) read(inspect func(now float64, core *Core)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inspect(n.now(), n.core)
}

// tickLoop advances the core, and asks the leader for its announcement while another coordinator leads.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var polledAt time.Time
	hadLease := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var source string
		var hasLease bool
		n.update(func(now float64, core *Core) {
			core.Tick(now, unixMillis())
			source = core.AnnouncementSource(now)
			hasLease = core.HasLease(now)
		})
		if hasLease != hadLease {
			hadLease = hasLease
			n.log.Info("leader lease", "held", hasLease)
		}
		if source != "" && time.Since(polledAt) >= announcementPollInterval {
			polledAt = time.Now()
			n.sendDatagram(source, failover.ObservationsDatagram, nil)
		}
	}
}
