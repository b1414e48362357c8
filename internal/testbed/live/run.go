// Package live runs an experiment in real time on loopback sockets: relays run as processes, the backends and clients
// of package model use TCP connections, and discovery is served over HTTP. The workload is open-loop: clients arrive on
// a fixed schedule however slow anything else is, and the result says how far the testbed fell behind that schedule.
// One mutex guards the whole model.
package live

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
	"valeshift/internal/testbed/netem"
	"valeshift/internal/testbed/procstat"
)

const (
	auditSlackMillis = 100.0           // milliseconds by which the testbed itself may see an event late
	maxLagMillis     = 250.0           // milliseconds behind schedule; a run that lagged by more is not counted
	settleTime       = 4 * time.Second // from the close of the workload to the end of the audit
)

// Result holds the metrics, the audit and the process figures of a run.
type Result struct {
	Metrics            *model.Metrics
	FaultSpans         []model.FaultSpan
	Auditor            *audit.Auditor
	SlowStartOverloads int
	BehindSchedule     bool            // the machine was too slow to keep the schedule: the figures don't count
	Logs               string          // folder of the logs and configuration files
	Memory             map[int]int64   // resident memory at the end, in bytes, by relay number
	CPU                map[int]float64 // CPU time used by the end, in seconds, by relay number
	FleetStatus        map[int][]byte  // answer to GET /_fleet at the end, as JSON, by relay number
}

// Run is one run of an experiment on loopback sockets. It implements model.Infrastructure.
type Run struct {
	*network
	experiment   *experiment.Experiment
	environment  *model.Environment
	auditor      *audit.Auditor
	relays       []*relayProcess
	dir          string
	relayBinary  string
	loopback     *procstat.LoopbackNetwork
	coordinators []*coordinatorProcess // by machine; the first machines have one each

	impairments map[[2]int]experiment.Impairment // current impairments, by sending and receiving machine
	proxies     map[[2]int][]*netem.Proxy        // by the machine that dials and the machine that is dialed
}

// Play runs an experiment with relays started from the binary. Configuration files, disks and logs are written to dir.
func Play(ctx context.Context, x *experiment.Experiment, binary, dir string) (*Result, error) {
	loopback, err := procstat.ClaimLoopbackNetwork()
	if err != nil {
		return nil, err
	}
	defer loopback.Close() // runs last, when no process of the run listens any more
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRun(ctx, x, loopback, binary, dir)
	defer r.close()
	if err := r.setUpEnvironment(); err != nil {
		return nil, err
	}
	if err := r.startRelays(ctx); err != nil {
		return nil, err
	}
	r.startWorkload()
	if err := sleep(ctx, time.Duration(float64(x.Length)*float64(time.Millisecond))); err != nil {
		return nil, err
	}
	result := &Result{Memory: map[int]int64{}, CPU: map[int]float64{}, Logs: dir}
	r.measureProcesses(result)
	result.FleetStatus = r.fleetStatuses()
	r.mutex.Lock()
	r.environment.Workload.Close()
	r.mutex.Unlock()
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	r.finish(result)
	return result, nil
}

func newRun(
	ctx context.Context,
	x *experiment.Experiment,
	loopback *procstat.LoopbackNetwork,
	binary, dir string,
) *Run {
	return &Run{
		network:     newNetwork(ctx),
		experiment:  x,
		auditor:     audit.New(auditSlackMillis, x.Fleet.OverloadMultiple, float64(x.Fleet.OverloadWindow)),
		dir:         dir,
		relayBinary: binary,
		loopback:    loopback,
		impairments: map[[2]int]experiment.Impairment{},
		proxies:     map[[2]int][]*netem.Proxy{},
	}
}

func (r *Run) setUpEnvironment() error {
	clients, err := r.newHost(-1)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.environment = model.NewEnvironment(r.experiment, r, clients, r.auditor)
	r.auditor.IsSameZone = r.environment.IsSameZone
	r.auditor.LocalityFrom = r.now() + float64(r.experiment.Warmup)
	return nil
}

// startRelays starts all relays and waits until each of them answers PING.
func (r *Run) startRelays(ctx context.Context) error {
	for i := range r.experiment.Relays.Count {
		p := &relayProcess{number: i}
		r.relays = append(r.relays, p)
		if err := r.prepare(p); err != nil {
			return err
		}
	}
	if err := r.configureFleet(); err != nil {
		return err
	}
	for _, p := range r.relays {
		if err := r.launch(p); err != nil {
			return err
		}
	}
	for _, p := range r.relays {
		if err := r.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// startWorkload starts the clients' schedule, and has disk copies saved after half the warm-up.
func (r *Run) startWorkload() {
	var addresses []string
	for _, p := range r.relays {
		addresses = append(addresses, p.address)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.environment.Metrics.Start = r.now()
	r.environment.Start(addresses)
	r.after(float64(r.experiment.Warmup)/2, r.saveDiskCopies)
}

func (r *Run) measureProcesses(result *Result) {
	for _, p := range r.relays {
		if p.cmd != nil && p.cmd.Process != nil {
			result.CPU[p.number], result.Memory[p.number] = procstat.Usage(p.cmd.Process.Pid)
		}
	}
}

// finish ends the audit and completes the result.
func (r *Run) finish(result *Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.auditor.Finish(r.now())
	result.Metrics = r.environment.Metrics
	result.FaultSpans = r.environment.FaultSpans
	result.Auditor = r.auditor
	result.SlowStartOverloads = r.environment.SlowStartOverloads()
	result.BehindSchedule = r.environment.Metrics.MaxLag > maxLagMillis
}

func (r *Run) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, h := range r.hosts {
		h.listener.Close()
		for _, c := range h.connections {
			c.reset()
		}
		h.reachable.Broadcast()
	}
	for _, p := range r.relays {
		if p.alive {
			p.alive = false
			p.cmd.Process.Kill()
		}
	}
	for k := range r.coordinators {
		r.killCoordinator(k)
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newProxy starts a proxy that the machine from dials to reach target, an address of the machine to. Stream selects
// the proxy's random source.
func (r *Run) newProxy(from, to int, target string, stream int) (*netem.Proxy, error) {
	proxy, err := netem.New(r.loopback.ProxyHost(from), target, r.experiment.Rand("way", stream))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(r.ctx, proxy.Close)
	pair := [2]int{from, to}
	r.proxies[pair] = append(r.proxies[pair], proxy)
	return proxy, nil
}

// NewHost opens an address for an actor in a zone.
func (r *Run) NewHost(zone int) (model.Host, string) {
	h, err := r.newHost(zone)
	if err != nil {
		panic(fmt.Sprintf("no port on loopback: %v", err)) // the experiment can't continue without the actor
	}
	return h, h.address
}

// Bind has the events of an address's connections delivered to an actor.
func (r *Run) Bind(address string, actor model.Actor) { r.hosts[address].actor = actor }

// SetUnreachable holds back all traffic to and from an address, or lets it pass again.
func (r *Run) SetUnreachable(address string, unreachable bool) {
	r.hosts[address].setUnreachable(unreachable)
}

// SetRefusing has an address refuse new connections, or accept them again.
func (r *Run) SetRefusing(address string, refuse bool) { r.hosts[address].setRefusing(refuse) }

// IsolateZone holds back all traffic to and from a zone's backends, or lets it pass again. Unlike in a real network
// split, the relays of the same zone can't reach them either.
func (r *Run) IsolateZone(zone int, isolate bool) {
	for _, h := range r.hosts {
		if h.zone == zone {
			h.setUnreachable(isolate)
		}
	}
}

// SetImpairment sets the impairment of the network in one direction, from one machine to another.
func (r *Run) SetImpairment(from, to int, impairment experiment.Impairment) {
	r.impairments[[2]int{from, to}] = impairment
	for _, pair := range [][2]int{{from, to}, {to, from}} {
		reverse := [2]int{pair[1], pair[0]}
		for _, proxy := range r.proxies[pair] {
			proxy.SetImpairments(r.impairments[pair], r.impairments[reverse])
		}
	}
}

// isDeliveredAtOnce reports whether the path between discovery and a relay delays and loses nothing, either way.
func (r *Run) isDeliveredAtOnce(relayNumber int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	forward := r.impairments[[2]int{experiment.Discovery, relayNumber}]
	back := r.impairments[[2]int{relayNumber, experiment.Discovery}]
	forward.MaxPiece, back.MaxPiece = 0, 0 // data split into pieces is not delayed
	return forward == experiment.Impairment{} && back == experiment.Impairment{}
}

// clockFile returns the path of the file that holds the clock offset of a machine's relay.
func (r *Run) clockFile(relayNumber int) string {
	return filepath.Join(r.dir, fmt.Sprintf("clock-%d", relayNumber))
}
