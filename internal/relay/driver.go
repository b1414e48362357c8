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
	siblingCheckInterval = 100 * time.Millisecond // between two looks for another process of this relay
	minNbioOpenFiles     = 64
)

// driver runs one relay on sockets: it turns what happens on them, in the fleet and in the process into events of the
// state machine, one after the other under one lock, and carries out its effects. It decides nothing itself.
type driver struct {
	log       *slog.Logger
	discovery *discoveryWatch
	engine    *nbio.Engine
	fleet     Fleet         // nil where this relay stores nothing and knows no other
	metrics   *metricsBoard // nil where there is no admin API
	exit      chan struct{} // closed once the state machine is done
	workers   workerPool
	transfers transferChannel // of sessions, to a child process
	listener  *net.TCPListener
	slot      *hotrestart.Slot // among the processes of this relay; nil where there can be no other

	startTime   time.Time // of the monotonic clock
	startMillis float64   // the same time in Unix milliseconds

	mutex   sync.Mutex // guards all below
	machine *StateMachine
	timer   *time.Timer
	sockets map[uint64]*socket      // by connection
	dials   map[uint64]*pendingDial // by connection
	closing []*socket               // in the order in which their closing began; some may be closed since
	chunks  [][]byte                // used again for each write

	suspension     suspensionDetector
	lastClientConn uint64 // the highest number that a client's connection was given
	accept         acceptState
	siblings       siblingState

	detached            *TransferredSession // set by the effects of DetachRequested
	acceptedBackendConn uint64              // set by the effects of SessionReceived; 0: not accepted
}

// acceptState says whether clients are accepted.
type acceptState struct {
	paused  bool          // no client is accepted
	ending  bool          // none is from now on, but for those in the backlog
	changed *sync.Cond    // of the driver's mutex, for both
	done    chan struct{} // closed once the accept loop is over
}

// siblingState is what the last look at the other processes of this relay found.
type siblingState struct {
	last         SiblingProcessesChanged
	nearest      int // the slot's number of the nearest; 0: none
	handoffChild int // of the child that was last sent a handoff; 0: none
}

// Fleet is what the relay stores on disk, and what it knows of other relays. No method waits for either.
type Fleet interface {
	// Start begins. The functions are called from goroutines of the fleet's: handle takes an event, the others
	// return how the relay fares, what it knows, and what it has observed of zones and how much load it has.
	Start(now float64, handle func(Event), status func() Status, snapshot func() *Snapshot,
		zoneObservations func() (map[string]balancer.ZoneObservation, float64)) error
	// SetDraining takes an operator's order to drain the relay or take it back into service. The error says what is
	// missing for it to hold after a restart, too.
	SetDraining(draining bool) error
	// Replicate has other relays hold, find or release a record. Events follow.
	Replicate(request ReplicationRequest)
	// ReplicationPage returns one part of the records held for others, to be encoded as JSON; nil where there are none.
	ReplicationPage(part int) any
	// Status returns what the fleet knows, to be encoded as JSON.
	Status() any
	// Stop ends the fleet's goroutines and waits for them.
	Stop()
}

// Options are what a relay runs with besides its configuration.
type Options struct {
	Log   *slog.Logger
	Fleet Fleet // may be nil
	// Reload reads the configuration again. The function that it returns applies the rest of it, and is called once
	// the relay's part is found valid.
	Reload  func() (config *Config, apply func(), err error)
	Signals Signals
}

// Signals bring the requests of the process's environment.
type Signals struct {
	Shutdown    <-chan struct{} // only the first counts
	LogCounters <-chan struct{}
	Reload      <-chan struct{}
}

// Serve runs the relay until it has shut down, or returns why it can't start. It is to be called once a process: nbio's
// poller and the watch of the endpoint list end with that.
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
	defer func() { stopAdmin() }() // calls are answered until the fleet has ended
	if d.fleet != nil {
		if err := d.fleet.Start(d.now(), d.handle, d.status, d.snapshot, d.zoneObservations); err != nil {
			return err
		}
		defer d.fleet.Stop()
	}
	if adminListener != nil { // calls ask the fleet, which has started by now
		stopAdmin = d.serveAdmin(adminListener)
	}
	go d.acceptClients() // closeListener waits for its end
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
		accept:      acceptState{done: make(chan struct{})},
	}
	d.accept.changed = sync.NewCond(&d.mutex)
	d.discovery = newDiscoveryWatch(d.handle)
	d.timer = time.AfterFunc(time.Hour, func() { d.handle(TimerFired{}) }) // until the first SetTimer
	return d
}

// startEngine starts nbio's poller. maxSockets is 0 where the platform does not limit them.
func (d *driver) startEngine(maxSockets int) error {
	logging.SetLogger(nbioLogger{d.log})
	if maxSockets > 0 {
		nbio.MaxOpenFiles = max(maxSockets, minNbioOpenFiles)
	}
	d.engine = nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readBufferBytes,
		MaxWriteBufferSize: maxUnsentBytes})
	buffer := make([]byte, readBufferBytes) // one poller reads, so that one buffer serves all
	d.engine.OnRead(func(nbConn *nbio.Conn) { d.readAvailable(nbConn, buffer) })
	d.engine.OnClose(d.onClose)
	d.engine.OnWrittenSize(d.onWritten)
	if err := d.engine.Start(); err != nil {
		return fmt.Errorf("start poller: %w", err)
	}
	return nil
}

// run handles signals until the state machine is done, and finishes.
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

// shutDown yields to a child process where one is ready.
func (d *driver) shutDown() {
	yield := d.slot != nil && d.checkSiblings().Ready
	d.log.Info("stopping", "for a child process", yield)
	d.handle(ShutdownRequested{YieldToChild: yield})
}

// reloadEvent checks the whole configuration by the same steps as at the start, and applies what is not the relay's.
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

// handle has the state machine handle one event, and carries out what follows. No callback runs beside it.
func (d *driver) handle(event Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.handleLocked(event)
}

// handleLocked does so where the lock is held. Metrics are published before the effects: whoever has seen an effect
// finds it counted.
func (d *driver) handleLocked(event Event) {
	now := d.now()
	d.observeSuspension(now)
	d.handleAt(now, event)
}

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

// detectSuspension tells the state machine where the process was suspended until now.
func (d *driver) detectSuspension() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.observeSuspension(d.now())
}

// observeSuspension does so where the lock is held.
func (d *driver) observeSuspension(now float64) {
	if suspended := d.suspension.observe(now); suspended > 0 {
		d.handleAt(now, ProcessSuspended{Millis: suspended})
	}
}

// now returns the clock that all machines read, in Unix milliseconds, kept steady by this machine's monotonic one.
func (d *driver) now() float64 {
	return d.startMillis + float64(time.Since(d.startTime))/float64(time.Millisecond)
}

// status, snapshot and zoneObservations ask the state machine between two events.
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

func (d *driver) zoneObservations() (zones map[string]balancer.ZoneObservation, load float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.ZoneObservations(d.now())
}

// logCounters logs the counters, and a line for each backend.
func (d *driver) logCounters(why string) {
	d.mutex.Lock()
	counters := d.machine.Counters
	backends := d.machine.BackendStatuses(d.now())
	d.mutex.Unlock()
	counters.Log(d.log, why)
	for _, b := range backends {
		d.log.Info("backend", "name", b.Name, "standing", b.Established, "trying", b.Attempts, "booked", b.Reserved,
			"report age ms", math.Round(b.ReportAgeMillis), "out", b.Ejected)
	}
}
