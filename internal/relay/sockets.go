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
	readBufferBytes      = 16 << 10
	maxUnsentBytes       = 64 << 10               // written but not taken by a peer, above which it is a slow reader and cut off
	siblingCheckInterval = 100 * time.Millisecond // for another process of this relay
	handoffTimeout       = 800 * time.Millisecond // for what the elder leaves
	acceptRetryDelay     = 20 * time.Millisecond
	unlimitedSockets     = 1 << 30 // more than there can be
)

// socket is a connection that nbio holds.
type socket struct {
	conn           uint64
	nbConn         *nbio.Conn
	unsent         atomic.Int64 // bytes written to nbio that the kernel has not taken
	closing        atomic.Bool  // once that is none
	discardedBytes int          // bytes that came since, and went nowhere
	readMutex      sync.Mutex   // held while it is read
	transferred    bool         // to the younger process, under reading
	awaitsRelease  bool         // adopted from the elder, which has not let go of it: nothing is read or written
	polled         bool         // nbio reads it
	deferredWrites []byte       // to be written then, counted as unsent
}

// driver runs one relay.
type driver struct {
	log       *slog.Logger
	machine   *StateMachine
	discovery *discoveryWatch
	engine    *nbio.Engine

	startTime     time.Time
	startMillis   float64
	mutex         sync.Mutex // over all below, and the reducer
	sockets       map[uint64]*socket
	dials         map[uint64]*pendingDial
	workers       workerPool
	timer         *time.Timer
	closing       []*socket // in the order in which their closing began; some may be gone
	acceptPaused  bool      // no client is accepted
	acceptEnding  bool      // nor ever again, but for those that wait
	acceptChanged *sync.Cond
	// acceptDone is closed once the accept loop is over.
	acceptDone chan struct{}
	chunks     [][]byte
	exit       chan struct{}
	metrics    *metricsBoard // where operators call; else nil
	fleet      Fleet         // nil: this relay keeps nothing and knows no other

	listener            *net.TCPListener
	slot                *hotrestart.Slot // among the processes of this relay; nil: there can be no other
	handoffChild        int              // number of the one that was left to
	sibling             int              // of the one that is there, and nearest; 0: none
	transfers           transferChannel
	detached            *TransferredSession     // and
	acceptedBackendConn uint64                  // of the event that is carried out
	lastClientConn      uint64                  // accepted or adopted
	siblings            SiblingProcessesChanged // who was there at the last look
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
	s := &driver{log: log, startTime: now, startMillis: float64(t.Clock().UnixMicro()) / 1000, sockets: map[uint64]*socket{},
		dials: map[uint64]*pendingDial{}, exit: make(chan struct{}), acceptDone: make(chan struct{})}
	if err := s.openListener(t); err != nil {
		return err
	}
	reducer, err := New(s.now(), t)
	if err != nil {
		return err
	}
	s.machine = reducer
	s.acceptChanged = sync.NewCond(&s.mutex)
	s.discovery = newDiscoveryWatch(s.handle)
	s.timer = time.AfterFunc(time.Hour, func() { s.handle(TimerFired{}) })
	logging.SetLogger(nbioLogger{log})
	if t.MaxSockets > 0 {
		nbio.MaxOpenFiles = max(t.MaxSockets, 64)
	}
	s.engine = nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readBufferBytes, MaxWriteBufferSize: maxUnsentBytes})
	buffer := make([]byte, readBufferBytes) // one poller reads, so one buffer serves all
	s.engine.OnRead(func(c *nbio.Conn) { s.readAvailable(c, buffer) })
	s.engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(s.onWritten)
	if err := s.engine.Start(); err != nil {
		return fmt.Errorf("poll: %w", err)
	}
	var called net.Listener
	if t.AdminAddress != "" {
		if called, err = net.Listen("tcp", t.AdminAddress); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		s.metrics = newMetricsBoard(reducer)
	}
	if s.slot != nil {
		receiver, err := s.slot.ReceiveSessions(s.receiveSession)
		s.logSiblingError(err)
		if err == nil {
			defer receiver.Close()
		}
	}
	s.handle(TimerFired{})
	stopAdmin := func() {}
	defer func() { stopAdmin() }() // after the fleet's end: calls are answered until then
	if s.fleet = mates; mates != nil {
		if err := mates.Start(s.now(), s.handle, s.status, s.snapshot, s.zoneObservations); err != nil {
			return err
		}
		defer mates.Stop()
	}
	if called != nil { // once all that is asked there has begun
		stopAdmin = s.serveAdmin(called)
	}
	go s.acceptClients()
	log.Info("serving", "name", t.Name, "listen", s.listener.Addr().String(), "backends", len(t.InitialEndpoints.Endpoints))
	var look <-chan time.Time
	if s.slot != nil {
		look = time.Tick(siblingCheckInterval)
	}
	for {
		select {
		case <-look:
			s.checkSiblings()
		case <-stop:
			yield := s.slot != nil && s.checkSiblings().Ready
			log.Info("stopping", "for a younger process", yield)
			s.handle(ShutdownRequested{YieldToChild: yield})
			stop = nil
		case <-print:
			s.logCounters("asked")
		case <-reload:
			s.handle(s.reload(again()))
		case <-s.exit:
			s.transfers.pending.Wait()
			s.finish()
			s.logCounters("exit")
			return nil
		}
	}
}

// status and keeps ask the reducer between two events.
func (s *driver) status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Status(s.now())
}

func (s *driver) zoneObservations() (map[string]balancer.ZoneObservation, float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.ZoneObservations(s.now())
}

func (s *driver) snapshot() *Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Snapshot()
}

// openListener has the clients' socket: the platform's, or one of its own. Where the platform holds it, another
// process of this relay may serve already; what it leaves is read here, and the start goes on without it
// where it can't be.
func (s *driver) openListener(t *Config) error {
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
	if s.slot, err = hotrestart.Acquire(t.SharedDir); err != nil {
		s.log.Warn("no seat beside other processes of this relay", "err", err)
		return nil
	}
	elder, _ := s.slot.Siblings()
	if t.HasParent = elder.Number > 0; !t.HasParent {
		return nil
	}
	s.siblings.HasParent, s.sibling = true, elder.Number
	text, err := s.slot.ReceiveHandoff(handoffTimeout)
	if err == nil {
		t.Handoff, err = ParseHandoff(text, s.now())
	}
	if err != nil {
		s.log.Warn("nothing of what the elder process knew", "err", err)
	}
	return nil
}

// checkSiblings sees who else is there, and tells the reducer what is new.
func (s *driver) checkSiblings() (younger hotrestart.Process) {
	elder, younger := s.slot.Siblings()
	fresh := younger.Number > 0 && younger.Number != s.handoffChild && !younger.Ready
	e := SiblingProcessesChanged{HasParent: elder.Number > 0, HasChild: younger.Number > 0, WantsHandoff: fresh}
	if fresh || e.HasParent != s.siblings.HasParent || e.HasChild != s.siblings.HasChild {
		s.handoffChild, s.siblings = younger.Number, e
		s.handle(e)
	}
	if s.sibling = max(elder.Number, younger.Number); s.sibling > 0 {
		var news *EndpointUpdate
		if text, err := s.slot.ReceiveMessage(); err == nil && json.Unmarshal(text, &news) == nil && news != nil {
			s.handle(SiblingEndpointsUpdated{Update: news})
		}
	}
	return younger
}

// sendRecord carries what goes to another process of this relay, by the seat's way to leave or to tell it.
func (s *driver) sendRecord(by func(number int, record []byte) error, number int, what any) {
	text, err := json.Marshal(what)
	if err == nil {
		err = by(number, text)
	}
	s.logSiblingError(err)
}

func (s *driver) logSiblingError(err error) {
	if err != nil {
		s.log.Warn("can't tell the other process of this relay", "err", err)
	}
}

// reload is the event of one reload. The file is checked whole, by the same steps as at the start.
func (s *driver) reload(t *Config, besides func(), err error) Event {
	if err == nil {
		_, err = New(0, t)
	}
	if err != nil {
		return ConfigReloaded{Err: err}
	}
	besides()
	return ConfigReloaded{DiscoveryAddress: t.Discovery}
}

func (s *driver) logCounters(why string) {
	s.mutex.Lock()
	c, beliefs := s.machine.Counters, s.machine.BackendStatuses(s.now())
	s.mutex.Unlock()
	c.Log(s.log, why)
	for _, b := range beliefs {
		s.log.Info("backend", "name", b.Name, "standing", b.Established, "trying", b.Attempts, "booked", b.Reserved,
			"report age ms", math.Round(b.ReportAgeMillis), "out", b.Ejected)
	}
}

// now is the clock that all machines read, held straight by this machine's monotonic one.
func (s *driver) now() float64 {
	return s.startMillis + float64(time.Since(s.startTime))/float64(time.Millisecond)
}

// handle gives the reducer one event, and carries out what follows. No callback runs beside it.
func (s *driver) handle(e Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handleLocked(e)
}

// handleLocked does so where the lock is held. The figures are published first: who has seen an effect finds it counted.
func (s *driver) handleLocked(e Event) {
	effects := s.machine.Handle(s.now(), e)
	if s.metrics != nil {
		s.metrics.publish(s.machine)
	}
	s.carryOut(effects)
}

// carryOut does what the state machine asks for, in order. The lock is held.
func (s *driver) carryOut(effects []Effect) {
	for i := 0; i < len(effects); i++ {
		switch e := effects[i].(type) {
		case *Write:
			i += s.writeRun(e, effects[i+1:])
		case *Dial:
			s.dial(e.Conn, e.ForClient, e.Address)
		case *Close:
			s.closeOrReset(e.Conn, gracefully)
		case *Reset:
			s.closeOrReset(e.Conn, byReset)
		case *PauseAccept:
			s.pauseAccept(true)
		case *ResumeAccept:
			s.pauseAccept(false)
		case *ReplicationRequest:
			s.fleet.Replicate(*e)
		case *StartWatch:
			s.discovery.start(e.Address, e.Watch, e.After)
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
func (s *driver) writeRun(first *Write, following []Effect) int {
	s.chunks = append(s.chunks[:0], first.Chunks...)
	merged := 0
	for _, effect := range following {
		write, isWrite := effect.(*Write)
		if !isWrite || write.Conn != first.Conn {
			break
		}
		s.chunks = append(s.chunks, write.Chunks...)
		merged++
	}
	s.write(first.Conn, s.chunks)
	return merged
}

// pauseAccept has clients accepted no longer, or again.
func (s *driver) pauseAccept(on bool) {
	s.acceptPaused = on
	s.acceptChanged.Broadcast()
	if s.acceptEnding {
		return // the listener's deadline is that of its last connections
	}
	if on { // also where a client is waited for already: the next is not accepted
		s.listener.SetDeadline(time.Unix(1, 0))
	} else {
		s.listener.SetDeadline(time.Time{})
	}
}

// carryOutProcess does what concerns this process as a whole.
func (s *driver) carryOutProcess(effect Effect) {
	switch e := effect.(type) {
	case *SetTimer:
		s.timer.Reset(time.Duration(max(e.At-s.now(), 0) * float64(time.Millisecond)))
	case *Log:
		s.log.Info(e.Message, e.Args...)
	case *AnnounceReady:
		if s.slot != nil {
			s.logSiblingError(s.slot.MarkReady())
		}
	case *Exit:
		close(s.exit)
	}
}

// carryOutHandoff does what concerns the other process of this relay.
func (s *driver) carryOutHandoff(effect Effect) {
	switch e := effect.(type) {
	case *SendHandoff:
		child, handoff := s.handoffChild, e.Handoff
		s.workers.run(func() { s.sendRecord(s.slot.SendHandoff, child, handoff) })
	case *SendEndpoints:
		if sibling, update := s.sibling, e.Update; sibling > 0 {
			s.workers.run(func() { s.sendRecord(s.slot.SendMessage, sibling, update) })
		}
	case *TransferSession:
		clientConn, backendConn := e.ClientConn, e.BackendConn
		s.transfers.pending.Add(1)
		s.workers.run(func() { s.transferSession(clientConn, backendConn) })
	case *SessionDetached:
		s.detached = e.Session
	case *SessionAccepted:
		s.acceptedBackendConn = e.BackendConn
	}
}

// acceptClients takes clients in. It waits where there is none to be had, against spinning without descriptors;
// nbio's own listener asks again at once.
func (s *driver) acceptClients() {
	defer close(s.acceptDone)
	for s.waitUntilAccepting() {
		s.acceptClient()
	}
}

// waitUntilAccepting waits while no client is to be accepted, and tells whether any is again.
func (s *driver) waitUntilAccepting() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.acceptPaused && !s.acceptEnding {
		s.acceptChanged.Wait()
	}
	return !s.acceptEnding
}

// acceptClient takes one client in, and tells whether one came.
func (s *driver) acceptClient() bool {
	plain, err := s.listener.Accept()
	if err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptRetryDelay)
		}
		return false
	}
	s.mutex.Lock()
	s.lastClientConn++
	conn := s.lastClientConn
	s.mutex.Unlock()
	s.register(conn, plain, false)
	return true
}

// register gives a connection to nbio, unless it was given up meanwhile, and tells whether it did. A client's is told
// of before its first bytes can be.
func (s *driver) register(conn uint64, plain net.Conn, dialed bool) bool {
	nb, err := nbio.NBConn(plain)
	if err != nil {
		plain.Close()
		if dialed {
			s.handle(ConnClosed{Conn: conn, Reset: true})
		}
		return false
	}
	c := &socket{conn: conn, nbConn: nb}
	nb.SetSession(c)
	s.mutex.Lock()
	if _, wanted := s.dials[conn]; dialed && !wanted {
		s.mutex.Unlock()
		nb.Close()
		return false
	}
	delete(s.dials, conn)
	s.evictClosing(1)
	s.sockets[conn] = c
	s.mutex.Unlock()
	if !dialed {
		s.handle(ConnAccepted{Conn: conn})
	}
	s.mutex.Lock()
	if s.sockets[conn] == c { // against handing over a descriptor that was closed since
		_, err = s.engine.AddConn(nb)
		c.polled = err == nil
	}
	s.mutex.Unlock()
	if err != nil {
		s.handle(ConnClosed{Conn: conn, Reset: true})
	}
	return err == nil
}

// readAvailable takes in what there is, to the end or the reset behind it.
func (s *driver) readAvailable(nb *nbio.Conn, buffer []byte) {
	s.mutex.Lock() // the one it was handed over under, as nbio orders nothing between its goroutines
	c := nb.Session().(*socket)
	s.mutex.Unlock()
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for !c.transferred {
		n, err := nb.Read(buffer)
		switch {
		case n > 0 && c.closing.Load():
			// Against one that sends at full speed, and takes nothing in, costing core until its time is over.
			if c.discardedBytes += n; c.discardedBytes > maxUnsentBytes {
				nb.Close()
				return
			}
		case n > 0:
			s.handle(DataReceived{Conn: c.conn, Data: buffer[:n]})
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

// onClose comes from a goroutine of nbio's that swallows panics, so the reducer is told from another.
func (s *driver) onClose(nb *nbio.Conn, err error) {
	c, ok := nb.Session().(*socket)
	if !ok {
		return
	}
	s.workers.run(func() {
		s.mutex.Lock()
		s.removeSocket(c)
		s.mutex.Unlock()
		s.handle(ConnClosed{Conn: c.conn, Reset: err != nil && !errors.Is(err, io.EOF), Unsent: c.unsent.Load() > 0, SlowReader: errors.Is(err, nbio.ErrOverflow)})
	})
}

// nbioLogger passes on what nbio logs, less its chatter.
type nbioLogger struct{ log *slog.Logger }

func (nbioLogger) SetLevel(int)                    {}
func (nbioLogger) Debug(string, ...any)            {}
func (nbioLogger) Info(string, ...any)             {}
func (l nbioLogger) Warn(format string, v ...any)  { l.log.Warn(fmt.Sprintf(format, v...)) }
func (l nbioLogger) Error(format string, v ...any) { l.log.Error(fmt.Sprintf(format, v...)) }
