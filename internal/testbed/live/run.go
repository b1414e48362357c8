// Package live runs an experiment on loopback sockets: relay processes, the model's backends and clients on
// connections of their own, and discovery over HTTP. Arrivals keep their schedule however late anything else is,
// and the result says how far behind its schedule the machine was. One mutex guards the whole model.
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
	auditSlackMillis = 100.0 // that the testbed itself may be late by
	maxLagMillis     = 250.0 // behind its schedule by more than this a run is not counted
	settleTime       = 4 * time.Second
)

// Result is the outcome of a run.
type Result struct {
	Metrics            *model.Metrics
	FaultSpans         []model.FaultSpan
	Auditor            *audit.Auditor
	SlowStartOverloads int
	BehindSchedule     bool // the machine was too slow to keep the schedule: the figures don't count
	Logs               string
	Memory             map[int]int64   // resident bytes of each relay at the end
	CPU                map[int]float64 // seconds of each relay at the end
	FleetStatus        map[int][]byte  // what each relay says of the others, as JSON
}

// Run is one run on sockets. It implements model.Infrastructure.
type Run struct {
	*network
	experiment   *experiment.Experiment
	environment  *model.Environment
	auditor      *audit.Auditor
	relays       []*relayProcess
	dir          string
	relayBinary  string
	loopback     *procstat.LoopbackNetwork
	coordinators []*coordinatorProcess // on the first machines

	impairments map[[2]int]experiment.Impairment // as they are, by sender and receiver
	proxies     map[[2]int][]*netem.Proxy        // by who dials and who is dialed
}

// Play runs an experiment with relays of that program; files and logs go to dir.
func Play(ctx context.Context, x *experiment.Experiment, binary, dir string) (*Result, error) {
	loopback, err := procstat.ClaimLoopbackNetwork()
	if err != nil {
		return nil, err
	}
	defer loopback.Close() // once nobody of the run listens
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
	r.begin()
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

// startRelays starts all relays and waits until each of them answers.
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

// begin starts the clients' schedule.
func (r *Run) begin() {
	var addresses []string
	for _, p := range r.relays {
		addresses = append(addresses, p.address)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.environment.Metrics.Start = r.now()
	r.environment.Start(addresses)
	r.after(float64(r.experiment.Warmup)/2, r.copyDisksForLater)
}

func (r *Run) measureProcesses(result *Result) {
	for _, p := range r.relays {
		if p.cmd != nil && p.cmd.Process != nil {
			result.CPU[p.number], result.Memory[p.number] = procstat.Usage(p.cmd.Process.Pid)
		}
	}
}

// finish has the auditor judge the run and completes the result.
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

// newProxy puts a proxy between machine from, which dials it, and the target of machine to; stream numbers its
// random source.
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

// NewHost opens an address for an actor.
func (r *Run) NewHost(zone int) (model.Host, string) {
	h, err := r.newHost(zone)
	if err != nil {
		panic(fmt.Sprintf("no port on loopback: %v", err)) // no experiment can go on
	}
	return h, h.address
}

// Bind makes an actor the owner of an address.
func (r *Run) Bind(address string, actor model.Actor) { r.hosts[address].actor = actor }

// SetUnreachable stops all traffic to and from an address, or lets it pass again.
func (r *Run) SetUnreachable(address string, unreachable bool) {
	r.hosts[address].setUnreachable(unreachable)
}

// SetRefusing closes an address for new connections, or opens it again.
func (r *Run) SetRefusing(address string, refuse bool) { r.hosts[address].setRefusing(refuse) }

// IsolateZone stops all traffic to and from a zone's backends; on loopback its own relays lose them too.
func (r *Run) IsolateZone(zone int, isolate bool) {
	for _, h := range r.hosts {
		if h.zone == zone {
			h.setUnreachable(isolate)
		}
	}
}

// SetImpairment impairs the network between two machines in that direction.
func (r *Run) SetImpairment(from, to int, impairment experiment.Impairment) {
	r.impairments[[2]int{from, to}] = impairment
	for _, pair := range [][2]int{{from, to}, {to, from}} {
		reverse := [2]int{pair[1], pair[0]}
		for _, proxy := range r.proxies[pair] {
			proxy.SetImpairments(r.impairments[pair], r.impairments[reverse])
		}
	}
}

// isDeliveredAtOnce reports whether what discovery writes to a relay arrives at once.
func (r *Run) isDeliveredAtOnce(relayNumber int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	forward := r.impairments[[2]int{experiment.Discovery, relayNumber}]
	back := r.impairments[[2]int{relayNumber, experiment.Discovery}]
	forward.MaxPiece, back.MaxPiece = 0, 0 // pieces arrive at once all the same
	return forward == experiment.Impairment{} && back == experiment.Impairment{}
}

// clockFile is where a machine's clock offset stands.
func (r *Run) clockFile(relayNumber int) string {
	return filepath.Join(r.dir, fmt.Sprintf("clock-%d", relayNumber))
}
