package coordinator

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
	"valeshift/internal/membership"
	"valeshift/internal/store"
)

const (
	tickInterval             = 10 * time.Millisecond
	announcementPollInterval = 250 * time.Millisecond
	saveRetryInterval        = 500 * time.Millisecond
	orderTimeout             = 2 * time.Second // for an order to be durable at a majority
	orderPollInterval        = 10 * time.Millisecond
	maxOrderBytes            = 4 << 10
	maxStoreBytes            = 16 << 20
	maxDatagramBytes         = 64 << 10
)

// Node is one voter on sockets and a disk. Everything is taken under one lock, and none of it waits.
type Node struct {
	log        *slog.Logger
	key        []byte
	startedAt  time.Time
	mutex      sync.Mutex
	core       *Core
	udp        *net.UDPConn
	store      *store.Store
	saves      chan consensus.Ready
	stopped    chan struct{}
	goroutines sync.WaitGroup
}

// Start starts a voter that hears others at its address; fs is its folder.
func Start(me consensus.Member, voters []consensus.Member, zones []failover.Zone, key []byte, fs store.FS,
	log *slog.Logger) (*Node, error) {
	kept, found, err := store.Open(fs, me.Name, maxStoreBytes)
	if err != nil {
		return nil, err
	}
	if found.Damaged > 0 || found.TornBytes > 0 {
		log.Warn("disk: damaged pieces passed over", "damaged", found.Damaged, "torn", found.TornBytes)
	}
	var lot [8]byte
	if _, err := rand.Read(lot[:]); err != nil {
		return nil, err
	}
	r := &Node{log: log, key: key, startedAt: time.Now(), store: kept, saves: make(chan consensus.Ready, 1),
		stopped: make(chan struct{})}
	record, _ := kept.Get(store.KindConsensus, "")
	chance := mathrand.New(mathrand.NewSource(int64(binary.LittleEndian.Uint64(lot[:]))))
	if r.core, err = New(r.now(), me, voters, zones, record.Body, chance); err != nil {
		return nil, errors.Join(err, kept.Close())
	}
	at, err := net.ResolveUDPAddr("udp", me.Address)
	if err == nil {
		r.udp, err = net.ListenUDP("udp", at)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen: %w", err), kept.Close())
	}
	r.goroutines.Add(3)
	go r.tickLoop()
	go r.receiveLoop()
	go r.saveLoop()
	return r, nil
}

// Stop ends it.
func (r *Node) Stop() {
	close(r.stopped)
	r.udp.Close()
	r.goroutines.Wait()
	if err := r.store.Close(); err != nil {
		r.log.Warn("disk", "err", err)
	}
}

// SetZones has those zones decided on from now on.
func (r *Node) SetZones(zones []failover.Zone) {
	r.update(func(_ float64, c *Core) { c.SetZones(zones) })
}

func (r *Node) now() float64 { return 1 + float64(time.Since(r.startedAt))/float64(time.Millisecond) }

func wallClockMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// update has the core take something, and carries out what follows.
func (r *Node) update(do func(now float64, c *Core)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	do(r.now(), r.core)
	for {
		out := r.core.Ready()
		if out.DurableState != nil {
			r.saves <- out // there is room, as nothing more comes before it is saved
			return
		}
		if len(out.Messages) == 0 {
			return
		}
		r.sendMessages(out.Messages)
	}
}

func (r *Node) sendMessages(all []consensus.OutgoingMessage) {
	for _, s := range all {
		r.sendDatagram(s.To, failover.ConsensusDatagram, s.Data)
	}
}

// sendDatagram loses what can't be sent: all of it is said again.
func (r *Node) sendDatagram(to string, kind byte, data []byte) {
	if at, err := net.ResolveUDPAddr("udp", to); err == nil {
		r.udp.WriteToUDP(membership.Seal(r.key, append([]byte{kind}, data...)), at)
	}
}

func (r *Node) tickLoop() {
	defer r.goroutines.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var asked time.Time
	leads := false
	for {
		select {
		case <-r.stopped:
			return
		case <-tick.C:
		}
		to, now := "", false
		r.update(func(at float64, c *Core) {
			c.Tick(at, wallClockMillis())
			to, now = c.AnnouncementSource(at), c.voter.HasLease(at)
		})
		if now != leads {
			leads = now
			r.log.Info("council", "leads", leads)
		}
		if to != "" && time.Since(asked) >= announcementPollInterval {
			asked = time.Now()
			r.sendDatagram(to, failover.ObservationsDatagram, nil)
		}
	}
}

func (r *Node) receiveLoop() {
	defer r.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		body, err := membership.Open(r.key, buffer[:n])
		if err != nil || len(body) == 0 {
			continue
		}
		r.dispatch(from, body[0], slices.Clone(body[1:]))
	}
}

func (r *Node) dispatch(from *net.UDPAddr, kind byte, data []byte) {
	switch kind {
	case failover.ConsensusDatagram:
		r.update(func(now float64, c *Core) { c.ReceiveMessage(now, data) })
	case failover.ObservationsDatagram:
		var word []byte
		r.update(func(now float64, c *Core) { word, _ = c.ReceiveObservations(now, data) })
		if word != nil {
			r.sendDatagram(from.String(), failover.AnnouncementDatagram, word)
		}
	case failover.AnnouncementDatagram:
		r.update(func(now float64, c *Core) { c.ReceiveAnnouncement(now, data) })
	}
}

// saveLoop saves what is to be saved, however long that takes: nothing is spoken of before.
func (r *Node) saveLoop() {
	defer r.goroutines.Done()
	for {
		select {
		case <-r.stopped:
			return
		case out := <-r.saves:
			for !r.save(out.DurableState) {
				select {
				case <-r.stopped:
					return
				case <-time.After(saveRetryInterval):
				}
			}
			r.update(func(_ float64, c *Core) {
				r.sendMessages(out.Messages)
				c.Advance()
			})
		}
	}
}

func (r *Node) save(data []byte) bool {
	durable := make(chan error, 1)
	r.store.Put(store.Record{Kind: store.KindConsensus, Body: data}, func(err error) { durable <- err })
	if err := r.store.Flush(); err != nil {
		r.log.Error("disk: this voter is silent until it can be written", "err", err)
		return false
	}
	return <-durable == nil
}

// Handler answers operators: how things stand, what was decided, and orders.
func (r *Node) Handler() http.Handler {
	calls := http.NewServeMux()
	say := func(w http.ResponseWriter, what any) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(what)
	}
	calls.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		say(w, r.core.Status(r.now()))
	})
	calls.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		say(w, r.core.History())
	})
	calls.HandleFunc("POST /order", func(w http.ResponseWriter, q *http.Request) {
		var o failover.OperatorOrder
		if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxOrderBytes)).Decode(&o); err != nil || o.ID == "" {
			http.Error(w, "an order with an ID expected", http.StatusBadRequest)
			return
		}
		entry, err := r.SubmitOrder(o)
		switch {
		case errors.Is(err, consensus.ErrNotLeader):
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case entry.Rejection != "":
			http.Error(w, "refused: "+entry.Rejection, http.StatusConflict)
		default:
			say(w, entry)
		}
	})
	return calls
}

// ErrNotDurable says that an order has no majority yet. It may come to hold all the same: the same order
// given again, under its ID, tells.
var ErrNotDurable = errors.New("not durable at a majority")

// SubmitOrder has an order decided, and tells what has become of it once that is durable at a majority.
func (r *Node) SubmitOrder(o failover.OperatorOrder) (entry failover.Decision, err error) {
	r.update(func(now float64, c *Core) { err = c.SubmitOrder(now, o) })
	for until := time.Now().Add(orderTimeout); err == nil; time.Sleep(orderPollInterval) {
		r.mutex.Lock()
		entry, there := r.core.DecisionOnOrder(o.ID)
		r.mutex.Unlock()
		if there {
			return entry, nil
		}
		if time.Now().After(until) {
			err = ErrNotDurable
		}
	}
	return entry, err
}
