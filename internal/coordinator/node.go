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
	tickInterval             = 10 * time.Millisecond
	announcementPollInterval = 250 * time.Millisecond // between questions to the leader, where another leads
)

// Node is one coordinator on a UDP socket and a store. Its methods may be called by any goroutine.
type Node struct {
	log       *slog.Logger
	key       []byte
	startedAt time.Time
	conn      *net.UDPConn
	store     *store.Store

	mutex sync.Mutex // over the core; never held while the disk is awaited
	core  *Core
	saves chan consensus.Ready // to saveLoop; one at most, as nothing more is ready before it is saved

	stop       context.CancelFunc
	goroutines sync.WaitGroup // tickLoop, receiveLoop and saveLoop; Stop waits for them
}

// Start starts a coordinator that listens at its own address and stores its votes in that folder.
func Start(self consensus.Member, voters []consensus.Member, zones []failover.Zone, key []byte, folder store.FS,
	log *slog.Logger) (*Node, error) {
	rng, err := newRand()
	if err != nil {
		return nil, err
	}
	votes, found, err := store.Open(folder, self.Name, maxStoreBytes)
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
		store:     votes,
		saves:     make(chan consensus.Ready, 1),
	}
	record, _ := votes.Get(store.KindConsensus, "")
	n.core, err = New(n.now(), self, voters, zones, record.Body, rng)
	if err != nil {
		return nil, errors.Join(err, votes.Close())
	}
	n.conn, err = listen(self.Address)
	if err != nil {
		return nil, errors.Join(err, votes.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.goroutines.Go(func() { n.tickLoop(ctx) })
	n.goroutines.Go(n.receiveLoop)
	n.goroutines.Go(func() { n.saveLoop(ctx) })
	return n, nil
}

// newRand returns a random source with a seed of the operating system.
func newRand() (*rand.Rand, error) {
	var seed [8]byte
	if _, err := cryptorand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("draw seed: %w", err)
	}
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))), nil
}

// Stop ends the coordinator and waits until it has ended. It is to be called once.
func (n *Node) Stop() {
	n.stop()
	n.conn.Close()
	n.goroutines.Wait()
	if err := n.store.Close(); err != nil {
		n.log.Warn("close folder", "err", err)
	}
}

// SetZones sets the zones that are decided on from now on.
func (n *Node) SetZones(zones []failover.Zone) {
	n.update(func(_ float64, core *Core) { core.SetZones(zones) })
}

// now returns the core's time: milliseconds since the start, from 1 on.
func (n *Node) now() float64 { return 1 + float64(time.Since(n.startedAt))/float64(time.Millisecond) }

// unixMillis returns the time by the machine's clock.
func unixMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// update has the core change, and carries out what follows. It never waits for the disk.
func (n *Node) update(change func(now float64, core *Core)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(n.now(), n.core)
	for {
		ready := n.core.Ready()
		if ready.DurableState != nil {
			n.saves <- ready // there is room, as nothing more is ready before it is saved
			return
		}
		if len(ready.Messages) == 0 {
			return
		}
		n.sendMessages(ready.Messages)
	}
}

// read has the core looked at.
func (n *Node) read(look func(now float64, core *Core)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	look(n.now(), n.core)
}

// tickLoop advances the core, and asks the leader for its announcement where another leads.
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
