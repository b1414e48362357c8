package relay

// This file owns the sockets: it carries the reducer's effects out on lesismal/nbio and turns its callbacks
// into events, one after the other under one lock. It must never decide anything, nor know what the bytes
// mean.
//
// Where nbio 1.6.8 falls short (docs/architecture.md has the probes): its DialAsync gives no connection until
// that is up and says nothing of one that never is, so net.Dialer dials and nbio takes over; its Writev keeps
// nothing of what follows the first piece that the kernel did not take whole, so what is left goes by Write;
// its OnData tells a reset that follows data as an end, so OnRead reads here.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"valeshift/balancer"
	"valeshift/internal/hotrestart"
)

const (
	readPiece  = 16 << 10
	mostUnread = 64 << 10               // written but not taken by a peer, above which it is a slow reader and cut off
	lookEvery  = 100 * time.Millisecond // for another process of this relay
	leftWait   = 800 * time.Millisecond // for what the elder leaves
	acceptGap  = 20 * time.Millisecond
	maxSockets = 1 << 30 // more than there can be
)

// socket is a connection that nbio holds.
type socket struct {
	conn    uint64
	nb      *nbio.Conn
	unsent  atomic.Int64 // bytes written to nbio that the kernel has not taken
	closing atomic.Bool  // once that is none
	dropped int          // bytes that came since, and went nowhere
	reading sync.Mutex   // held while it is read
	passed  bool         // to the younger process, under reading
	early   bool         // adopted from the elder, which has not let go of it: nothing is read or written
	polled  bool         // nbio reads it
	later   []byte       // to be written then, counted as unsent
}

// Sockets runs one relay.
type Sockets struct {
	log       *slog.Logger
	reducer   *StateMachine
	discovery *discovery
	engine    *nbio.Engine

	base    time.Time
	baseMS  float64
	mutex   sync.Mutex // over all below, and the reducer
	open    map[uint64]*socket
	dialing map[uint64]*dialing
	work    workers
	timer   *time.Timer
	closing []*socket // in the order in which their closing began; some may be gone
	held    bool      // no client is accepted
	ending  bool      // nor ever again, but for those that wait
	freed   *sync.Cond
	// accepted is closed once the accept loop is over.
	accepted chan struct{}
	parts    [][]byte
	quit     chan struct{}
	board    *board // where operators call; else nil
	mates    Fleet  // nil: this relay keeps nothing and knows no other

	listener *net.TCPListener
	seat     *hotrestart.Slot // among the processes of this relay; nil: there can be no other
	younger  int              // number of the one that was left to
	other    int              // of the one that is there, and nearest; 0: none
	passing  transferChannel
	parted   *TransferredSession     // and
	adopted  uint64                  // of the event that is carried out
	clients  uint64                  // accepted or adopted
	besides  SiblingProcessesChanged // who was there at the last look
}

// Fleet is what this relay keeps and hears from others. Of what is told, nothing may wait for any of them.
type Fleet interface {
	// Start begins: tell gives the relay an event; seen, kept and looked ask it how it fares, what it knows
	// and what it has seen of zones.
	Start(now float64, tell func(Event), seen func() Status, kept func() *Snapshot,
		looked func() (map[string]balancer.ZoneObservation, float64)) error
	// SetDraining takes an operators' order to empty the relay, or take it back to work; an error says what is
	// missing.
	SetDraining(lame bool) error
	// Replicate has others hold something (Entrust), or no more (Release), or seeks what they hold (Claim). It waits
	// for nothing: events follow.
	Replicate(request ReplicationRequest)
	// ReplicationPage shows one part of what is held for others, to be told as JSON; nil where nothing is.
	ReplicationPage(part int) any
	Status() any
	Stop()
}

// Serve runs the relay until it has stopped, with its mates where it has some. Again reads anew what the
// relay is told, and gives what is to be done besides once that is found to be right as a whole; stop, print
// and reload bring the signals.
func Serve(t *Config, mates Fleet, again func() (*Config, func(), error), log *slog.Logger,
	stop, print, reload <-chan struct{}) error {
	now := time.Now()
	s := &Sockets{log: log, base: now, baseMS: float64(t.Clock().UnixMicro()) / 1000, open: map[uint64]*socket{},
		dialing: map[uint64]*dialing{}, quit: make(chan struct{}), accepted: make(chan struct{})}
	if err := s.sit(t); err != nil {
		return err
	}
	reducer, err := New(s.now(), t)
	if err != nil {
		return err
	}
	s.reducer = reducer
	s.freed = sync.NewCond(&s.mutex)
	s.discovery = newDiscovery(s.take)
	s.timer = time.AfterFunc(time.Hour, func() { s.take(TimerFired{}) })
	logging.SetLogger(nbioLog{log})
	if t.MaxSockets > 0 {
		nbio.MaxOpenFiles = max(t.MaxSockets, 64)
	}
	s.engine = nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readPiece, MaxWriteBufferSize: mostUnread})
	buffer := make([]byte, readPiece) // one poller reads, so one buffer serves all
	s.engine.OnRead(func(c *nbio.Conn) { s.read(c, buffer) })
	s.engine.OnClose(s.closed)
	s.engine.OnWrittenSize(s.written)
	if err := s.engine.Start(); err != nil {
		return fmt.Errorf("poll: %w", err)
	}
	var called net.Listener
	if t.AdminAddress != "" {
		if called, err = net.Listen("tcp", t.AdminAddress); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		s.board = newBoard(reducer)
	}
	if s.seat != nil {
		receiver, err := s.seat.ReceiveSessions(s.receiveSession)
		s.said(err)
		if err == nil {
			defer receiver.Close()
		}
	}
	s.take(TimerFired{})
	stopAdmin := func() {}
	defer func() { stopAdmin() }() // after the fleet's end: calls are answered until then
	if s.mates = mates; mates != nil {
		if err := mates.Start(s.now(), s.take, s.looks, s.keeps, s.lookedAt); err != nil {
			return err
		}
		defer mates.Stop()
	}
	if called != nil { // once all that is asked there has begun
		stopAdmin = s.serveAdmin(called)
	}
	go s.accept()
	log.Info("serving", "name", t.Name, "listen", s.listener.Addr().String(), "backends", len(t.InitialEndpoints.Endpoints))
	var look <-chan time.Time
	if s.seat != nil {
		look = time.Tick(lookEvery)
	}
	for {
		select {
		case <-look:
			s.look()
		case <-stop:
			yield := s.seat != nil && s.look().Ready
			log.Info("stopping", "for a younger process", yield)
			s.take(ShutdownRequested{YieldToChild: yield})
			stop = nil
		case <-print:
			s.counters("asked")
		case <-reload:
			s.take(s.reloaded(again()))
		case <-s.quit:
			s.passing.pending.Wait()
			s.endAll()
			s.counters("exit")
			return nil
		}
	}
}

// looks and keeps ask the reducer between two events.
func (s *Sockets) looks() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reducer.Status(s.now())
}

func (s *Sockets) lookedAt() (map[string]balancer.ZoneObservation, float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reducer.ZoneObservations(s.now())
}

func (s *Sockets) keeps() *Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reducer.Snapshot()
}

// sit has the clients' socket: the platform's, or one of its own. Where the platform holds it, another
// process of this relay may serve already; what it leaves is read here, and the start goes on without it
// where it can't be.
func (s *Sockets) sit(t *Config) error {
	if t.SocketFD == 0 {
		l, err := net.Listen("tcp", t.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		s.listener = l.(*net.TCPListener)
		return nil
	}
	var err error
	if s.listener, err = hotrestart.InheritListener(t.SocketFD); err != nil {
		return fmt.Errorf("RELAY_SOCKET_FD: %w", err)
	}
	if s.seat, err = hotrestart.Acquire(t.SharedDir); err != nil {
		s.log.Warn("no seat beside other processes of this relay", "err", err)
		return nil
	}
	elder, _ := s.seat.Siblings()
	if t.HasParent = elder.Number > 0; !t.HasParent {
		return nil
	}
	s.besides.HasParent, s.other = true, elder.Number
	text, err := s.seat.ReceiveHandoff(leftWait)
	if err == nil {
		t.Handoff, err = ParseHandoff(text, s.now())
	}
	if err != nil {
		s.log.Warn("nothing of what the elder process knew", "err", err)
	}
	return nil
}

// look sees who else is there, and tells the reducer what is new.
func (s *Sockets) look() (younger hotrestart.Process) {
	elder, younger := s.seat.Siblings()
	fresh := younger.Number > 0 && younger.Number != s.younger && !younger.Ready
	e := SiblingProcessesChanged{HasParent: elder.Number > 0, HasChild: younger.Number > 0, WantsHandoff: fresh}
	if fresh || e.HasParent != s.besides.HasParent || e.HasChild != s.besides.HasChild {
		s.younger, s.besides = younger.Number, e
		s.take(e)
	}
	if s.other = max(elder.Number, younger.Number); s.other > 0 {
		var news *EndpointUpdate
		if text, err := s.seat.ReceiveMessage(); err == nil && json.Unmarshal(text, &news) == nil && news != nil {
			s.take(SiblingEndpointsUpdated{Update: news})
		}
	}
	return younger
}

// leaves carries what goes to another process of this relay, by the seat's way to leave or to tell it.
func (s *Sockets) leaves(by func(number int, record []byte) error, number int, what any) {
	text, err := json.Marshal(what)
	if err == nil {
		err = by(number, text)
	}
	s.said(err)
}

func (s *Sockets) said(err error) {
	if err != nil {
		s.log.Warn("can't tell the other process of this relay", "err", err)
	}
}

// reloaded is the event of one reload. The file is checked whole, by the same steps as at the start.
func (s *Sockets) reloaded(t *Config, besides func(), err error) Event {
	if err == nil {
		_, err = New(0, t)
	}
	if err != nil {
		return ConfigReloaded{Err: err}
	}
	besides()
	return ConfigReloaded{DiscoveryAddress: t.Discovery}
}

func (s *Sockets) counters(why string) {
	s.mutex.Lock()
	c, beliefs := s.reducer.Counters, s.reducer.BackendStatuses(s.now())
	s.mutex.Unlock()
	c.Log(s.log, why)
	for _, b := range beliefs {
		s.log.Info("backend", "name", b.Name, "standing", b.Established, "trying", b.Attempts, "booked", b.Reserved,
			"report age ms", math.Round(b.ReportAgeMillis), "out", b.Ejected)
	}
}

// now is the clock that all machines read, held straight by this machine's monotonic one.
func (s *Sockets) now() float64 {
	return s.baseMS + float64(time.Since(s.base))/float64(time.Millisecond)
}

// take gives the reducer one event, and carries out what follows. No callback runs beside it.
func (s *Sockets) take(e Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tell(e)
}

// tell does so where the lock is held. The figures are published first: who has seen an effect finds it counted.
func (s *Sockets) tell(e Event) {
	effects := s.reducer.Handle(s.now(), e)
	if s.board != nil {
		s.board.publish(s.reducer)
	}
	s.carryOut(effects)
}

// carryOut does what the state machine asks for, in order. The lock is held.
func (s *Sockets) carryOut(effects []Effect) {
	for i := 0; i < len(effects); i++ {
		switch e := effects[i].(type) {
		case *Write:
			i += s.writeRun(e, effects[i+1:])
		case *Dial:
			s.dial(e.Conn, e.ForClient, e.Address)
		case *Close:
			s.end(e.Conn, gracefully)
		case *Reset:
			s.end(e.Conn, byReset)
		case *PauseAccept:
			s.pauseAccept(true)
		case *ResumeAccept:
			s.pauseAccept(false)
		case *ReplicationRequest:
			s.mates.Replicate(*e)
		case *StartWatch:
			s.discovery.watch(e.Address, e.Watch, e.After)
		case *StopWatch:
			s.discovery.stop()
		case *SendHandoff, *SendEndpoints, *TransferSession, *SessionDetached, *SessionAccepted:
			s.carryOutHandoff(e)
		default:
			s.carryOutProcess(e)
		}
	}
}

// writeRun writes the chunks of a Write together with those of the writes to the same connection that follow it, and
// returns how many those are.
func (s *Sockets) writeRun(first *Write, following []Effect) int {
	s.parts = append(s.parts[:0], first.Chunks...)
	merged := 0
	for _, effect := range following {
		write, isWrite := effect.(*Write)
		if !isWrite || write.Conn != first.Conn {
			break
		}
		s.parts = append(s.parts, write.Chunks...)
		merged++
	}
	s.write(first.Conn, s.parts)
	return merged
}

// pauseAccept has clients accepted no longer, or again.
func (s *Sockets) pauseAccept(on bool) {
	s.held = on
	s.freed.Broadcast()
	if s.ending {
		return // the listener's deadline is that of its last connections
	}
	if on { // also where a client is waited for already: the next is not accepted
		s.listener.SetDeadline(time.Unix(1, 0))
	} else {
		s.listener.SetDeadline(time.Time{})
	}
}

// carryOutProcess does what concerns this process as a whole.
func (s *Sockets) carryOutProcess(effect Effect) {
	switch e := effect.(type) {
	case *SetTimer:
		s.timer.Reset(time.Duration(max(e.At-s.now(), 0) * float64(time.Millisecond)))
	case *Log:
		s.log.Info(e.Message, e.Args...)
	case *AnnounceReady:
		if s.seat != nil {
			s.said(s.seat.MarkReady())
		}
	case *Exit:
		close(s.quit)
	}
}

// carryOutHandoff does what concerns the other process of this relay.
func (s *Sockets) carryOutHandoff(effect Effect) {
	switch e := effect.(type) {
	case *SendHandoff:
		child, handoff := s.younger, e.Handoff
		s.work.do(func() { s.leaves(s.seat.SendHandoff, child, handoff) })
	case *SendEndpoints:
		if sibling, update := s.other, e.Update; sibling > 0 {
			s.work.do(func() { s.leaves(s.seat.SendMessage, sibling, update) })
		}
	case *TransferSession:
		clientConn, backendConn := e.ClientConn, e.BackendConn
		s.passing.pending.Add(1)
		s.work.do(func() { s.transferSession(clientConn, backendConn) })
	case *SessionDetached:
		s.parted = e.Session
	case *SessionAccepted:
		s.adopted = e.BackendConn
	}
}

// accept takes clients in. It waits where there is none to be had, against spinning without descriptors;
// nbio's own listener asks again at once.
func (s *Sockets) accept() {
	defer close(s.accepted)
	for s.mayAccept() {
		s.acceptOne()
	}
}

// mayAccept waits while no client is to be accepted, and tells whether any is again.
func (s *Sockets) mayAccept() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.held && !s.ending {
		s.freed.Wait()
	}
	return !s.ending
}

// acceptOne takes one client in, and tells whether one came.
func (s *Sockets) acceptOne() bool {
	plain, err := s.listener.Accept()
	if err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptGap)
		}
		return false
	}
	s.mutex.Lock()
	s.clients++
	conn := s.clients
	s.mutex.Unlock()
	s.hold(conn, plain, false)
	return true
}

// hold gives a connection to nbio, unless it was given up meanwhile, and tells whether it did. A client's is told
// of before its first bytes can be.
func (s *Sockets) hold(conn uint64, plain net.Conn, dialed bool) bool {
	nb, err := nbio.NBConn(plain)
	if err != nil {
		plain.Close()
		if dialed {
			s.take(ConnClosed{Conn: conn, Reset: true})
		}
		return false
	}
	c := &socket{conn: conn, nb: nb}
	nb.SetSession(c)
	s.mutex.Lock()
	if _, wanted := s.dialing[conn]; dialed && !wanted {
		s.mutex.Unlock()
		nb.Close()
		return false
	}
	delete(s.dialing, conn)
	s.limitClosing(1)
	s.open[conn] = c
	s.mutex.Unlock()
	if !dialed {
		s.take(ConnAccepted{Conn: conn})
	}
	s.mutex.Lock()
	if s.open[conn] == c { // against handing over a descriptor that was closed since
		_, err = s.engine.AddConn(nb)
		c.polled = err == nil
	}
	s.mutex.Unlock()
	if err != nil {
		s.take(ConnClosed{Conn: conn, Reset: true})
	}
	return err == nil
}

// read takes in what there is, to the end or the reset behind it.
func (s *Sockets) read(nb *nbio.Conn, buffer []byte) {
	s.mutex.Lock() // the one it was handed over under, as nbio orders nothing between its goroutines
	c := nb.Session().(*socket)
	s.mutex.Unlock()
	c.reading.Lock()
	defer c.reading.Unlock()
	for !c.passed {
		n, err := nb.Read(buffer)
		switch {
		case n > 0 && c.closing.Load():
			// Against one that sends at full speed, and takes nothing in, costing core until its time is over.
			if c.dropped += n; c.dropped > mostUnread {
				nb.Close()
				return
			}
		case n > 0:
			s.take(DataReceived{Conn: c.conn, Data: buffer[:n]})
		case err == nil:
			nb.CloseWithError(io.EOF)
			return
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			nb.CloseWithError(err)
			return
		}
	}
}

// closed comes from a goroutine of nbio's that swallows panics, so the reducer is told from another.
func (s *Sockets) closed(nb *nbio.Conn, err error) {
	c, ok := nb.Session().(*socket)
	if !ok {
		return
	}
	s.work.do(func() {
		s.mutex.Lock()
		s.forgetSocket(c)
		s.mutex.Unlock()
		s.take(ConnClosed{Conn: c.conn, Reset: err != nil && !errors.Is(err, io.EOF), Unsent: c.unsent.Load() > 0, SlowReader: errors.Is(err, nbio.ErrOverflow)})
	})
}

// nbioLog passes on what nbio logs, less its chatter.
type nbioLog struct{ log *slog.Logger }

func (nbioLog) SetLevel(int)                    {}
func (nbioLog) Debug(string, ...any)            {}
func (nbioLog) Info(string, ...any)             {}
func (l nbioLog) Warn(format string, v ...any)  { l.log.Warn(fmt.Sprintf(format, v...)) }
func (l nbioLog) Error(format string, v ...any) { l.log.Error(fmt.Sprintf(format, v...)) }
