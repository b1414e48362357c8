package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	mathrand "math/rand"
	"net"
	"os"
	"sync"
	"time"

	"valeshift/balancer"
	"valeshift/internal/membership"
	"valeshift/internal/relay"
	"valeshift/internal/store"
)

const (
	tickEvery              = 50 * time.Millisecond
	askTime                = 500 * time.Millisecond // for another relay's whole answer
	mostAnswer             = 8 << 20
	mostAskers             = 8 // at once
	orderTime              = time.Second
	diskRetry              = 2 * time.Second
	leastKey               = 16
	nonce                  = 16
	maxPendingReplications = 4096
	mostHeard              = 32 << 10 // of a datagram: a voter's word on many zones
	// MaxDescriptors is how many descriptors all of it may hold.
	MaxDescriptors = 2 + mostAskers + 4 + 4 // both sockets, those who ask, those asked, the disk's
)

// Config is where others are, as the operators' file says.
type Config struct {
	Listen, Zone, Region, KeyFile string
	Seeds                         []string
	SeedsOnly                     bool // others are reached by the seeds' addresses alone
	Voters                        []string
	Copies                        int  // of what this relay gives its word for; 0: none but its own
	ReplicateAffinity             bool // others hold where clients and groups stand
	// ms, beyond a link's hard limit, that marks of its setup tries are held
	MarkerRetentionMillis float64
}

// Node is one relay's side of the fleet, on sockets and a disk.
type Node struct {
	log   *slog.Logger
	name  string
	peers Config
	key   []byte
	fs    store.FS // nil: no disk
	most  int
	base  time.Time
	ms    float64
	clock func() time.Time // the machine's

	tell func(relay.Event)
	seen func() relay.Status
	kept func() *relay.Snapshot
	look func() (map[string]balancer.ZoneObservation, float64)

	mutex sync.Mutex // over core; never held while the relay, a peer or the disk is waited for
	core  *Core
	udp   *net.UDPConn
	tcp   net.Listener

	wants chan relay.ReplicationRequest // what the relay asks of holdings
	poked chan struct{}                 // holdings' time is nearer than it was
	dueAt float64                       // under mutex: when they are looked at next
	waits sync.Map                      // chan bool by token: who waits for an order to be held

	disk  sync.Mutex // over store
	store *store.Store
	dirty chan struct{}
	ended chan struct{}
	done  sync.WaitGroup
}

// NewNode takes the relay's name, where others are (nil: none) and the folder that it may keep up to most
// bytes in (nil: none), and the machine's clock.
func NewNode(name string, others *Config, fs store.FS, most int, clock func() time.Time,
	log *slog.Logger) (*Node, error) {
	r := &Node{log: log, name: name, clock: clock, fs: fs, most: most, dirty: make(chan struct{}, 1),
		ended: make(chan struct{})}
	if others != nil {
		r.peers = *others
		key, err := ReadKey(others.KeyFile)
		if err != nil {
			return nil, err
		}
		r.key = key
	}
	return r, nil
}

// ReadKey reads the key that all relays of a fleet share.
func ReadKey(path string) ([]byte, error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("peers.key-file: %w", err)
	}
	if len(key) < leastKey {
		return nil, fmt.Errorf("peers.key-file: %d bytes or more expected, got %d", leastKey, len(key))
	}
	return key, nil
}

func (r *Node) now() float64 {
	return r.ms + float64(time.Since(r.base))/float64(time.Millisecond)
}

// Start begins: tell gives the relay an event; seen, kept and looked ask it how it fares, what it knows and
// what it has seen of zones.
func (r *Node) Start(now float64, tell func(relay.Event), seen func() relay.Status, kept func() *relay.Snapshot,
	looked func() (map[string]balancer.ZoneObservation, float64)) error {
	r.base, r.ms, r.tell, r.seen, r.kept, r.look = time.Now(), now, tell, seen, kept, looked
	var lot [16]byte
	if _, err := rand.Read(lot[:]); err != nil {
		return err
	}
	own := membership.MemberState{Name: r.name, Zone: r.peers.Zone, Region: r.peers.Region, Address: r.peers.Listen,
		Incarnation: binary.LittleEndian.Uint64(lot[:])}
	chance := mathrand.New(mathrand.NewSource(int64(binary.LittleEndian.Uint64(lot[8:]))))
	if own.Address != "" {
		at, err := net.ResolveUDPAddr("udp", own.Address)
		if err != nil {
			return fmt.Errorf("peers.listen: %w", err)
		}
		if r.udp, err = net.ListenUDP("udp", at); err != nil {
			return fmt.Errorf("peers.listen: %w", err)
		}
		if r.tcp, err = net.Listen("tcp", own.Address); err != nil {
			r.udp.Close()
			return fmt.Errorf("peers.listen: %w", err)
		}
	}
	r.core = New(now, own, r.peers.Seeds, r.key, r.fs != nil, chance)
	if r.core.membership != nil {
		r.core.membership.SeedsOnly = r.peers.SeedsOnly
	}
	if len(r.peers.Voters) > 0 {
		r.core.FollowCoordinators(r.name, r.peers.Zone, r.peers.Voters, r.key, chance)
	}
	tell(relay.IncarnationChanged{})
	if r.peers.Copies > 0 {
		r.wants = make(chan relay.ReplicationRequest, maxPendingReplications)
		r.poked, r.dueAt = make(chan struct{}, 1), math.Inf(1)
		for _, a := range r.core.EnableReplication(r.name, own.Incarnation, r.peers.Copies, r.peers.MarkerRetentionMillis, r.peers.ReplicateAffinity, r.key,
			chance) {
			tell(a.Event)
		}
		r.goes(r.holds)
	}
	r.goes(r.ticks)
	if r.udp != nil {
		r.goes(r.hears)
		r.goes(r.isAsked)
	}
	if r.fs != nil {
		r.goes(r.keeps)
	}
	return nil
}

func (r *Node) goes(do func()) {
	r.done.Add(1)
	go func() { defer r.done.Done(); do() }()
}

// Stop ends it; what is known is written once more.
func (r *Node) Stop() {
	close(r.ended)
	if r.udp != nil {
		r.udp.Close()
		r.tcp.Close()
	}
	r.done.Wait()
}

// with has the core take something and does what follows.
func (r *Node) with(do func(c *Core) []Action) {
	r.mutex.Lock()
	acts := do(r.core)
	if r.wants != nil {
		if due := r.now() + r.core.ReplicationDelay(r.now()); due < r.dueAt {
			r.dueAt = due
			select {
			case r.poked <- struct{}{}:
			default:
			}
		}
	}
	r.mutex.Unlock()
	for _, a := range acts {
		switch {
		case a.Send != nil:
			if to, err := net.ResolveUDPAddr("udp", a.Send.To); err == nil {
				r.udp.WriteToUDP(a.Send.Data, to) // what is lost is said again
			}
		case a.Query != nil:
			question := *a.Query
			r.goes(func() { r.asks(question) })
		case a.Persist != nil:
			var done func(error)
			if number := a.ConfirmDecision; number > 0 {
				done = func(error) {
					r.with(func(c *Core) []Action { c.ConfirmDecisionPersisted(r.now(), number); return nil })
				}
			} else if then := a.ReplicationWrite; then != nil {
				done = func(err error) {
					if err == nil {
						r.with(func(c *Core) []Action { return c.CompleteReplicationWrite(r.now(), then) })
					}
				}
			}
			r.save(*a.Persist, done)
		case a.OrderReplicated != nil:
			r.settled(*a.OrderReplicated)
		case a.Event != nil:
			r.tell(a.Event)
		case a.Log != "":
			r.log.Info("fleet", "what", a.Log)
		}
	}
}

func (r *Node) ticks() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.ended:
			return
		case <-tick.C:
			seen := r.seen()
			r.with(func(c *Core) []Action {
				return c.Tick(r.now(), float64(r.clock().UnixMicro())/1000, seen)
			})
			r.shows()
		}
	}
}

// shows tells voters what is seen of zones, where that is due.
func (r *Node) shows() {
	r.mutex.Lock()
	due := r.core.IsObservationDue(r.now())
	r.mutex.Unlock()
	if due {
		zones, demand := r.look()
		r.with(func(c *Core) []Action { return c.SendObservations(r.now(), zones, demand) })
	}
}

func (r *Node) hears() {
	buffer := make([]byte, mostHeard)
	for {
		n, from, err := r.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.with(func(c *Core) []Action { return c.ReceiveDatagram(r.now(), from.String(), buffer[:n]) })
		}
	}
}

// isAsked answers others with what is kept. Against some that hang: so many at once, each for a bounded time.
func (r *Node) isAsked() {
	room := make(chan struct{}, mostAskers)
	for {
		conn, err := r.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(tickEvery)
			continue
		}
		select {
		case room <- struct{}{}:
			r.goes(func() {
				defer func() { conn.Close(); <-room }()
				conn.SetDeadline(time.Now().Add(askTime))
				r.answers(conn)
			})
		default:
			conn.Close()
		}
	}
}

// answers reads a sealed nonce and writes what is kept, sealed behind it: an answer is to one question only.
func (r *Node) answers(conn net.Conn) {
	question := make([]byte, nonce+32)
	if _, err := io.ReadFull(conn, question); err != nil {
		return
	}
	asked, err := membership.Open(r.key, question)
	if err != nil {
		return
	}
	k := r.kept()
	r.mutex.Lock()
	text := r.core.AnswerQuery(r.now(), k)
	r.mutex.Unlock()
	conn.Write(membership.Seal(r.key, append(asked, text...)))
	conn.(*net.TCPConn).CloseWrite()
}

func (r *Node) asks(q Query) {
	text, err := r.ask(q.Address)
	r.with(func(c *Core) []Action { c.ReceiveAnswer(q.Name, text, err); return nil })
}

func (r *Node) ask(address string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, askTime)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askTime))
	var own [nonce]byte
	if _, err := rand.Read(own[:]); err != nil {
		return nil, err
	}
	if _, err := conn.Write(membership.Seal(r.key, own[:])); err != nil {
		return nil, err
	}
	sealed, err := io.ReadAll(io.LimitReader(conn, mostAnswer))
	if err != nil {
		return nil, err
	}
	body, err := membership.Open(r.key, sealed)
	if err != nil {
		return nil, err
	}
	if len(body) < nonce || [nonce]byte(body) != own {
		return nil, errors.New("an answer to another question")
	}
	return body[nonce:], nil
}

// save has a record written; done is told once it is durable, or why it is not.
func (r *Node) save(record store.Record, done func(error)) {
	r.disk.Lock()
	s := r.store
	r.disk.Unlock()
	if s == nil {
		if done != nil {
			done(errors.New("there is no disk to keep it on"))
		}
		return
	}
	s.Put(record, done)
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// keeps reads the disk, however long that takes, and writes what is put from then on.
func (r *Node) keeps() {
	s, found, err := store.Open(r.fs, r.name, r.most)
	if err == nil {
		r.disk.Lock()
		r.store = s
		r.disk.Unlock()
	} else {
		r.log.Error("the disk can't be used, and nothing is kept", "err", err)
	}
	r.with(func(c *Core) []Action { return c.Restore(r.now(), s, found, err) })
	if err != nil {
		return
	}
	defer func() {
		r.keep(s)
		if err := s.Close(); err != nil {
			r.log.Warn("disk", "err", err)
		}
	}()
	look := time.NewTicker(10 * tickEvery)
	defer look.Stop()
	var failed time.Time
	for {
		select {
		case <-r.ended:
			return
		case <-r.dirty:
		case <-look.C:
			r.mutex.Lock()
			due := r.core.IsSnapshotDue(r.now())
			r.mutex.Unlock()
			if due {
				r.keep(s)
			}
		}
		if time.Since(failed) < diskRetry {
			continue
		}
		if err := s.Flush(); err != nil {
			failed = time.Now()
			r.log.Warn("disk: nothing is kept for now", "err", err)
		}
	}
}

func (r *Node) keep(s *store.Store) {
	k := r.kept()
	r.mutex.Lock()
	record := r.core.RecordSnapshot(r.now(), k)
	r.mutex.Unlock()
	s.Put(record, func(err error) {
		if errors.Is(err, store.ErrFull) {
			r.log.Warn("disk: more is known than it may hold", "bytes", len(record.Body))
		}
	})
}

// SetDraining takes an operators' order. It is answered once it is durable, where there is a disk; without one, or
// where that fails, it holds all the same and the error says so.
func (r *Node) SetDraining(lame bool) error {
	r.mutex.Lock()
	record, acts := r.core.SetDraining(r.now(), lame)
	r.mutex.Unlock()
	r.with(func(*Core) []Action { return acts })
	if r.fs == nil {
		return nil
	}
	durable := make(chan error, 1)
	r.save(record, func(err error) { durable <- err })
	select {
	case err := <-durable:
		if err != nil {
			return fmt.Errorf("it holds until the next start, as the disk did not keep it: %w", err)
		}
	case <-time.After(orderTime):
		return errors.New("it holds, and the disk has not kept it yet")
	}
	if r.wants == nil {
		return nil
	}
	return r.heldByOthers()
}

// heldByOthers waits until the order is on the disks of as many machines as copies are made.
func (r *Node) heldByOthers() error {
	held := make(chan bool, 1)
	r.with(func(c *Core) []Action {
		token, acts := c.ReplicateOrder(r.now())
		r.waits.Store(token, held)
		return acts
	})
	select {
	case ok := <-held:
		if ok {
			return nil
		}
	case <-time.After(orderTime):
	}
	return errors.New("it holds, and is on this machine's disk alone for now")
}

func (r *Node) settled(s OrderReplicated) {
	if held, there := r.waits.LoadAndDelete(s.Token); there {
		held.(chan bool) <- s.OK
	}
}

// Replicate has others hold something, or seeks it. It is called under the relay's lock and waits for nothing:
// where too much waits already, it is not done, and the relay goes on alone.
func (r *Node) Replicate(f relay.ReplicationRequest) {
	select {
	case r.wants <- f:
	default:
	}
}

// holds does what the relay asks for, and has holdings go on when they are due: ticks of the whole are too
// far apart for what is to be held in some milliseconds.
func (r *Node) holds() {
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	for {
		select {
		case <-r.ended:
			return
		case f := <-r.wants:
			r.with(func(c *Core) []Action { return c.HandleReplicationEffect(r.now(), f) })
		case <-due.C:
			r.mutex.Lock()
			r.dueAt = math.Inf(1)
			r.mutex.Unlock()
			r.with(func(c *Core) []Action { return c.TickReplication(r.now()) })
		case <-r.poked:
			r.mutex.Lock()
			wait := r.dueAt - r.now()
			r.mutex.Unlock()
			due.Reset(time.Duration(min(max(wait, 0), 1e6) * float64(time.Millisecond)))
		}
	}
}

// ReplicationPage shows one part of what is held for others; nil where nothing is.
func (r *Node) ReplicationPage(part int) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.core.ReplicationPage(r.now(), part); p != nil {
		return p
	}
	return nil
}

// Status is what operators are told.
func (r *Node) Status() any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.core.Status(r.now())
}
