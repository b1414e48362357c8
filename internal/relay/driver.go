package relay

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"valeshift/balancer"
	"valeshift/internal/hotrestart"
)

const (
	siblingCheckInterval = 100 * time.Millisecond // interval between checks for other processes of this relay
	minNbioOpenFiles     = 64                     // lower bound for nbio.MaxOpenFiles
)

// driver runs one relay on sockets. It turns what happens on the sockets, in the fleet and in the process into events,
// passes them to the state machine one at a time under a lock, and carries out the resulting effects. It makes no
// decisions of its own.
type driver struct {
	log       *slog.Logger
	discovery *discoveryWatch
	engine    *nbio.Engine
	fleet     Fleet             // nil if this relay has no storage and no peers
	metrics   *publishedMetrics // nil if there is no admin API
	exit      chan struct{}     // closed by the Exit effect
	workers   workerPool
	batches   batchBoundary
	transfers transferChannel // sends sessions to a child process
	listener  *net.TCPListener
	slot      *hotrestart.Slot // nil without a shared listening socket, or if no slot could be acquired

	startTime   time.Time // when the driver was created, with its monotonic clock reading
	startMillis float64   // the same instant by Config.Clock, in Unix milliseconds

	mutex   sync.Mutex // guards all fields below
	machine *StateMachine
	timer   *time.Timer
	sockets map[uint64]*socket      // by connection ID
	dials   map[uint64]*pendingDial // by connection ID
	closing []*socket               // in the order in which closing began; may include sockets closed since
	chunks  [][]byte                // scratch buffer, reused for each write
	joined  []byte                  // scratch buffer, reused for each write whose chunks are joined

	suspension     suspensionDetector
	lastClientConn uint64 // the highest ID assigned to a client connection so far
	accept         acceptState
	siblings       siblingState

	detached  *TransferredSession // set by the SessionDetached effect, which answers DetachRequested
	receiving *sessionSockets     // sockets of a session that the parent sends, until SessionAccepted adds them; else nil
}

// acceptState controls the accept loop.
type acceptState struct {
	paused  bool          // no clients are accepted
	ending  bool          // the relay is exiting: only clients already in the listen backlog are still accepted
	changed *sync.Cond    // uses the driver's mutex; broadcast when paused or ending changes
	done    chan struct{} // closed when the accept loop returns

	inFlight chan struct{} // has an element for each accepted client that is not added yet
}

// siblingState is the result of the last check for other processes of this relay.
type siblingState struct {
	last         SiblingProcessesChanged
	nearest      int // slot number of the nearest sibling; 0 if there is none
	handoffChild int // slot number of the child that was last sent a handoff; 0 if there is none
}

// Fleet is the relay's storage on disk and its connection to the other relays. Except for SetDraining and Stop, its
// methods wait for neither.
type Fleet interface {
	// Start starts the fleet's goroutines, which call the functions passed in: handle passes an event to the relay;
	// status and snapshot return the relay's status and the state to be kept for its next start; zoneObservations
	// returns what the relay has observed of each zone, and as demand the load of its sessions.
	Start(now float64, handle func(Event), status func() Status, snapshot func() *Snapshot,
		zoneObservations func() (map[string]balancer.ZoneObservation, float64)) error
	// SetDraining takes an operator's order to drain the relay or to return it to service, and waits for a bounded time
	// until the order would survive a restart. An error says what is missing for that; the order is in effect anyway.
	SetDraining(draining bool) error
	// Replicate asks other relays to hold, look up or release a record, and returns without waiting for them. The
	// results arrive as events.
	Replicate(request ReplicationRequest)
	// ReplicationPage returns one part of the records held for other relays, as a value to encode as JSON; nil if
	// there are none.
	ReplicationPage(part int) any
	// Status returns the fleet's status, as a value to encode as JSON.
	Status() any
	// Stop stops the fleet's goroutines and waits for them to return.
	Stop()
}

// Options are the dependencies of a relay besides its configuration.
type Options struct {
	Log   *slog.Logger
	Fleet Fleet // may be nil
	// Reload rereads the configuration. The relay validates the returned Config and, if it is valid, calls apply, which
	// applies the settings outside this package.
	Reload  func() (config *Config, apply func(), err error)
	Signals Signals
}

// Signals deliver requests from outside the process, such as those sent as operating system signals.
type Signals struct {
	Shutdown    <-chan struct{} // only the first value has an effect
	LogCounters <-chan struct{}
	Reload      <-chan struct{}
}

// Serve runs the relay until it has shut down, or returns an error if it can't start. It may be called only once per
// process, because nbio's poller and the watch of the endpoint list keep running until the process exits.
func Serve(config *Config, options Options) error {
	d := newDriver(config, options)
	defer d.workers.stop()
	if err := d.openListener(config); err != nil {
		return err
	}
	machine, err := New(d.now(), config)
	if err != nil {
		return err
	}
	d.machine = machine
	if err := d.startEngine(config.MaxSockets); err != nil {
		return err
	}
	adminListener, err := d.openAdminListener(config.AdminAddress)
	if err != nil {
		return err
	}
	stopReceiving := d.startReceivingSessions()
	defer stopReceiving()
	d.handle(TimerFired{})
	stopAdmin := func() {}
	defer func() { stopAdmin() }() // runs after fleet.Stop: calls are answered until the fleet has stopped
	if d.fleet != nil {
		if err := d.fleet.Start(d.now(), d.handle, d.status, d.snapshot, d.zoneObservations); err != nil {
			return err
		}
		defer d.fleet.Stop()
	}
	if adminListener != nil { // only now, as admin calls query the fleet, which has to be started first
		stopAdmin = d.serveAdmin(adminListener)
	}
	go d.acceptClients() // closeListener waits for it to return
	d.log.Info("serving", "name", config.Name, "listen", d.listener.Addr().String(), "backends",
		len(config.InitialEndpoints.Endpoints))
	d.run(options)
	return nil
}

func newDriver(config *Config, options Options) *driver {
	d := &driver{
		log:         options.Log,
		fleet:       options.Fleet,
		startTime:   time.Now(),
		startMillis: float64(config.Clock().UnixMicro()) / 1000,
		sockets:     map[uint64]*socket{},
		dials:       map[uint64]*pendingDial{},
		exit:        make(chan struct{}),
		accept:      acceptState{done: make(chan struct{}), inFlight: make(chan struct{}, maxAcceptsInFlight)},
	}
	d.accept.changed = sync.NewCond(&d.mutex)
	d.discovery = newDiscoveryWatch(d.handle)
	d.timer = time.AfterFunc(time.Hour, func() { d.handle(TimerFired{}) }) // until the first SetTimer
	return d
}

// startEngine starts nbio's poller. maxSockets is 0 if the platform sets no limit.
func (d *driver) startEngine(maxSockets int) error {
	logging.SetLogger(nbioLogger{d.log})
	if maxSockets > 0 {
		nbio.MaxOpenFiles = max(maxSockets, minNbioOpenFiles)
	}
	d.engine = nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readBufferBytes,
		MaxWriteBufferSize: maxUnsentBytes})
	buffer := make([]byte, readBufferBytes) // there is one poller, so all connections can share it
	d.engine.OnRead(func(nbConn *nbio.Conn) { d.onReadable(nbConn, buffer) })
	d.engine.OnClose(d.onClose)
	d.engine.OnWrittenSize(d.onWritten)
	if err := d.engine.Start(); err != nil {
		return fmt.Errorf("start poller: %w", err)
	}
	return d.batches.open(d.engine)
}

// run handles signals and periodic checks until the Exit effect, and then answers the remaining clients.
func (d *driver) run(options Options) {
	var siblingCheck <-chan time.Time
	if d.slot != nil {
		siblingCheck = time.Tick(siblingCheckInterval)
	}
	d.startDetectingSuspension()
	liveness := time.Tick(livenessInterval * time.Millisecond)
	shutdown := options.Signals.Shutdown
	for {
		select {
		case <-liveness:
			d.detectSuspension()
		case <-siblingCheck:
			d.checkSiblings()
		case <-shutdown:
			d.shutDown()
			shutdown = nil
		case <-options.Signals.LogCounters:
			d.logCounters("asked")
		case <-options.Signals.Reload:
			d.handle(reloadEvent(options.Reload()))
		case <-d.exit:
			d.stopDetectingSuspension()
			d.transfers.pending.Wait()
			d.finish()
			d.logCounters("exit")
			return
		}
	}
}

// shutDown starts a graceful shutdown, which leaves new clients to a child process if one is ready.
func (d *driver) shutDown() {
	yieldToChild := d.slot != nil && d.checkSiblings().Ready
	d.log.Info("stopping", "for a child process", yieldToChild)
	d.handle(ShutdownRequested{YieldToChild: yieldToChild})
}

// reloadEvent validates a reloaded configuration with the same checks as at the start, and applies the settings outside
// this package if it is valid.
func reloadEvent(config *Config, apply func(), err error) Event {
	if err == nil {
		_, err = New(0, config)
	}
	if err != nil {
		return ConfigReloaded{Err: err}
	}
	apply()
	return ConfigReloaded{DiscoveryAddress: config.Discovery}
}

// handle passes one event to the state machine and carries out the resulting effects, one event at a time.
func (d *driver) handle(event Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.handleLocked(event)
}

// handleLocked is handle for callers that hold d.mutex.
func (d *driver) handleLocked(event Event) {
	now := d.now()
	d.observeSuspension(now)
	d.handleAt(now, event)
}

// handleAt handles an event at the given time. Metrics are published before the effects are carried out, so whoever
// observes an effect finds it counted. The caller holds d.mutex.
func (d *driver) handleAt(now float64, event Event) {
	effects := d.machine.Handle(now, event)
	if d.metrics != nil {
		d.metrics.publish(d.machine)
	}
	d.carryOut(effects)
}

func (d *driver) startDetectingSuspension() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.suspension.start(d.now())
}

func (d *driver) stopDetectingSuspension() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.suspension.stop()
}

// detectSuspension tells the state machine if the process was suspended until now.
func (d *driver) detectSuspension() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.observeSuspension(d.now())
}

// observeSuspension is detectSuspension for callers that hold d.mutex.
func (d *driver) observeSuspension(now float64) {
	if suspended := d.suspension.observe(now); suspended > 0 {
		d.handleAt(now, ProcessSuspended{Millis: suspended})
	}
}

// now returns the current time in Unix milliseconds: the wall clock, which all machines share, as read when the driver
// was created, advanced by this machine's monotonic clock.
func (d *driver) now() float64 {
	return d.startMillis + float64(time.Since(d.startTime))/float64(time.Millisecond)
}

// status, snapshot and zoneObservations query the state machine between two events.
func (d *driver) status() Status {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.Status(d.now())
}

func (d *driver) snapshot() *Snapshot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.Snapshot()
}

func (d *driver) zoneObservations() (zones map[string]balancer.ZoneObservation, demand float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.ZoneObservations(d.now())
}

// logCounters logs the relay's counters and one line per backend.
func (d *driver) logCounters(why string) {
	d.mutex.Lock()
	counters := d.machine.Counters
	backends := d.machine.BackendStatuses(d.now())
	d.mutex.Unlock()
	counters.Log(d.log, why)
	for _, b := range backends {
		d.log.Info("backend", "name", b.Name, "standing", b.Established, "trying", b.Attempts, "booked", b.Reserved,
			"report age ms", math.Round(b.ReportAgeMillis), "out", b.Excluded)
	}
}
