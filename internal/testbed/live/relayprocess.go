package live

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"valeshift/internal/testbed/experiment"
)

const (
	startTimeout       = 10 * time.Second      // for a relay to answer PING after its launch
	startCheckInterval = 20 * time.Millisecond // between two PINGs to a relay that starts
	readyCheckInterval = 20.0                  // milliseconds between two readiness checks of a replacing process
	maxLogTailBytes    = 400                   // bytes of a relay's log that an error quotes
)

// relayProcess is one relay of the experiment. Its process can be started several times during a run.
type relayProcess struct {
	number             int
	address            string    // where clients connect
	discoveryAddresses [2]string // of the proxies in front of its two discovery servers
	currentDiscovery   int       // index in discoveryAddresses of the one that it is configured with
	cmd                *exec.Cmd // the process started last
	alive              bool      // the process started last runs, and the run has not killed it
	launches           int       // number of processes started so far
	log                *os.File
	listenSocket       *os.File  // for clients, inherited by all its processes; nil unless relays are replaced
	parent             *exec.Cmd // the old process, while a new one replaces it
	adminAddress       string    // of the process started last
	knownEndpoints     []byte    // endpoint list that the platform stores for the relay, as discovery encodes it
	earlyExit          string    // exit status of a process that ended before the run began; empty: none did
	diskFolder         string    // empty: the relay has no disk
	operatorFile       string    // path of its operators' file; empty: it has none
}

// prepare gives a relay its address, its log and two discovery servers. No other relay uses these servers, so each
// server knows which relay it notifies.
func (r *Run) prepare(p *relayProcess) error {
	if err := r.assignAddress(p); err != nil {
		return err
	}
	for i := range p.discoveryAddresses {
		if err := r.serveDiscovery(p, i); err != nil {
			return err
		}
	}
	r.mutex.Lock()
	r.saveKnownEndpoints(p)
	r.mutex.Unlock()
	var err error
	p.log, err = os.Create(filepath.Join(r.dir, fmt.Sprintf("relay-%d.log", p.number)))
	return err
}

// assignAddress chooses the address where clients connect. If the experiment replaces relays, the testbed opens the
// listening socket itself and keeps it open, for all processes of the relay to inherit.
func (r *Run) assignAddress(p *relayProcess) error {
	isReplaced := slices.ContainsFunc(r.experiment.Faults, func(f experiment.Fault) bool {
		return f.Kind == "relay-replace"
	})
	var err error
	if !isReplaced {
		p.address, err = r.loopback.AssignAddress(p.number)
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close() // the file keeps the socket open
	p.address = listener.Addr().String()
	if p.listenSocket, err = listener.(*net.TCPListener).File(); err != nil {
		return err
	}
	context.AfterFunc(r.ctx, func() { p.listenSocket.Close() })
	return nil
}

// serveDiscovery starts one of the relay's two discovery servers, by index, and a proxy in front of it.
func (r *Run) serveDiscovery(p *relayProcess, index int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := r.newProxy(p.number, experiment.Discovery, listener.Addr().String(), 10*p.number+index)
	if err != nil {
		return err
	}
	p.discoveryAddresses[index] = proxy.Address
	server := &http.Server{Handler: &discoveryServer{run: r, relayNumber: p.number}}
	go server.Serve(listener)
	context.AfterFunc(r.ctx, func() { server.Close() })
	return nil
}

// saveKnownEndpoints stores the current endpoint list, which the relay's next start is given, if the experiment has
// relays start with the list that they had last.
func (r *Run) saveKnownEndpoints(p *relayProcess) {
	if r.experiment.Relays.KnowsEndpoints {
		p.knownEndpoints = encodeUpdate(r.environment.Discovery.FullUpdate())
	}
}

// relayConfig is the platform's configuration file of a relay.
type relayConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Ops       string          `json:"ops"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    relayLimits     `json:"limits"`
	Settings  any             `json:"settings"`
	Known     json.RawMessage `json:"known,omitempty"` // the endpoint list that the relay had last
}

type relayLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func (r *Run) writeConfig(p *relayProcess) error {
	seed := r.experiment.Rand("relay", p.number*1000+p.launches).Uint64()
	text, err := json.Marshal(relayConfig{
		Name:      fmt.Sprintf("relay-%d", p.number),
		Listen:    p.address,
		Discovery: p.discoveryAddresses[p.currentDiscovery],
		Ops:       p.adminAddress,
		Seed:      strconv.FormatUint(seed, 16),
		Limits:    relayLimits{Cores: 1, Sockets: r.experiment.Relays.MaxDescriptors},
		Settings:  r.experiment.RelaySettings(p.number % r.experiment.Fleet.Zones),
		Known:     p.knownEndpoints,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.configFile(p), text, 0o600)
}

func (r *Run) configFile(p *relayProcess) string {
	return filepath.Join(r.dir, fmt.Sprintf("relay-%d.json", p.number))
}

// sharedDir returns the temporary folder that the old and the new process of a relay share during a replacement.
func (r *Run) sharedDir(p *relayProcess) string {
	return filepath.Join(r.dir, fmt.Sprintf("relay-%d", p.number))
}

// launch starts a new process of the relay, and the coordinator on its machine if that does not run.
func (r *Run) launch(p *relayProcess) error {
	p.launches++
	if err := r.startCoordinator(p.number); err != nil {
		return err
	}
	var err error
	if p.adminAddress, err = r.loopback.AssignAddress(p.number); err != nil {
		return err
	}
	if err := r.writeConfig(p); err != nil {
		return err
	}
	p.cmd = exec.Command(r.relayBinary)
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.configFile(p), "RELAY_NAME=", "RELAY_LISTEN=",
		"RELAY_DISCOVERY=", "RELAY_OPS=",
		"VALESHIFT_OPERATOR="+p.operatorFile, "VALELAB_CLOCK="+r.clockFile(p.number))
	if p.listenSocket != nil {
		p.cmd.ExtraFiles = []*os.File{p.listenSocket}
		p.cmd.Env = append(p.cmd.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+r.sharedDir(p))
		if err := os.MkdirAll(r.sharedDir(p), 0o700); err != nil {
			return err
		}
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start relay process: %w", err)
	}
	p.alive = true
	go r.awaitExit(p, p.cmd, p.launches)
	return nil
}

// awaitExit waits for a process to end. It reports the end to the model unless the run has killed or replaced the
// process: what remains is a graceful shutdown, a crash, or a kill because the shutdown took too long.
func (r *Run) awaitExit(p *relayProcess, cmd *exec.Cmd, launch int) {
	err := cmd.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || p.launches != launch || !p.alive {
		return
	}
	p.alive = false
	if r.environment.Workload == nil { // the workload has not started: awaitReady fails the run
		p.earlyExit = fmt.Sprint(cmp.Or(err, errors.New("exit status 0")))
		return
	}
	r.saveKnownEndpoints(p)
	r.environment.RelayExited(p.number)
}

// awaitReady waits until a relay answers PING. It fails if the process ends, or after startTimeout.
func (r *Run) awaitReady(ctx context.Context, p *relayProcess) error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(startCheckInterval) {
		r.mutex.Lock()
		earlyExit := p.earlyExit
		r.mutex.Unlock()
		if earlyExit != "" {
			return fmt.Errorf("relay %d ended before the run began (%s): %s", p.number, earlyExit, r.logTail(p))
		}
		isReady, err := answersPing(p.address)
		if err != nil {
			continue
		}
		if isReady {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("relay %d does not answer PING; its log ends with: %s", p.number, r.logTail(p))
}

// answersPing reports whether a relay answers PING. It returns an error if the relay can't be reached.
func answersPing(address string) (bool, error) {
	const pong = "PONG\r\n"
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	c.Write([]byte("PING\r\n"))
	var answer [len(pong)]byte
	n, _ := c.Read(answer[:])
	return string(answer[:n]) == pong, nil
}

// logTail returns the end of a relay's log.
func (r *Run) logTail(p *relayProcess) string {
	text, _ := os.ReadFile(p.log.Name())
	text = bytes.TrimSpace(text)
	return string(text[max(len(text)-maxLogTailBytes, 0):])
}

// KillRelay kills all processes of a relay, and the coordinator on its machine.
func (r *Run) KillRelay(i int) {
	p := r.relays[i]
	p.alive = false
	r.saveKnownEndpoints(p)
	r.killCoordinator(i)
	p.cmd.Process.Kill()
	if p.parent != nil {
		p.parent.Process.Kill()
	}
}

// FreezeRelay suspends a machine's relay and coordinator by SIGSTOP, or resumes them by SIGCONT.
func (r *Run) FreezeRelay(i int, on bool) {
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	if p := r.relays[i]; p.alive {
		p.cmd.Process.Signal(signal)
	}
	if i < len(r.coordinators) && r.coordinators[i].cmd != nil {
		r.coordinators[i].cmd.Process.Signal(signal)
	}
}

// SetClockOffset sets the clock of a machine's relay ahead by that many milliseconds, or back if negative. The relay
// reads the offset from a file; the machine's coordinator does not.
func (r *Run) SetClockOffset(i int, aheadMillis float64) {
	file := r.clockFile(i)
	os.WriteFile(file+".new", fmt.Append(nil, aheadMillis), 0o600)
	os.Rename(file+".new", file) // replaced as a whole, so that the relay never reads a part of it
}

// callAdmin sends a request to a relay's admin API in the background. It then calls then under the mutex, unless the
// run has ended, and tells it whether the request succeeded.
func (r *Run) callAdmin(address, method, path string, then func(succeeded bool)) {
	go func() {
		succeeded := r.requestAdmin(address, method, path)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if !r.closed {
			then(succeeded)
		}
	}()
}

func (r *Run) requestAdmin(address, method, path string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(r.ctx, method, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode < 300
}

// DrainRelay starts or ends the draining of a relay by a request to its admin API, as operators do.
func (r *Run) DrainRelay(i int, on bool) {
	path := "/_lameduck/off"
	if on {
		path = "/_lameduck/on"
	}
	r.callAdmin(r.relays[i].adminAddress, http.MethodPost, path, func(bool) {})
}

// ReplaceRelay starts a new process of a relay on the same socket, and stops the old one once the new one is ready.
func (r *Run) ReplaceRelay(i int, done func()) {
	p := r.relays[i]
	parent := p.cmd
	if err := r.launch(p); err != nil {
		panic(err)
	}
	p.parent = parent
	launch := p.launches
	var checkReady func()
	checkReady = func() {
		r.callAdmin(p.adminAddress, http.MethodGet, "/_ready", func(isReady bool) {
			switch {
			case p.launches != launch || !p.alive:
			case isReady:
				r.stopParent(p, parent, launch, done)
			default:
				r.after(readyCheckInterval, checkReady)
			}
		})
	}
	checkReady()
}

// stopParent shuts down the old process of a relay by SIGTERM. It calls done at the time at which the platform would
// kill that process.
func (r *Run) stopParent(p *relayProcess, parent *exec.Cmd, launch int, done func()) {
	parent.Process.Signal(syscall.SIGTERM)
	r.killLater(p, parent, launch)
	r.after(r.experiment.KillAfter(), func() {
		if p.launches == launch {
			p.parent = nil
			done()
		}
	})
}

// StopRelay asks a relay to shut down by SIGTERM, and kills it if it takes longer than the platform allows.
func (r *Run) StopRelay(i int) {
	p := r.relays[i]
	p.cmd.Process.Signal(syscall.SIGTERM)
	r.killLater(p, p.cmd, p.launches)
}

// killLater kills a process that was told to shut down, if it still runs after the time that the platform allows
// (Experiment.KillAfter).
func (r *Run) killLater(p *relayProcess, cmd *exec.Cmd, launch int) {
	r.after(r.experiment.KillAfter(), func() {
		if p.launches == launch && (p.alive || cmd != p.cmd) {
			cmd.Process.Kill()
		}
	})
}

// StartRelay starts a relay that has ended.
func (r *Run) StartRelay(i int) {
	if err := r.launch(r.relays[i]); err != nil {
		panic(err)
	}
}

// ReloadRelay writes the address of the relay's other discovery server to its configuration, and has it reload by
// SIGHUP.
func (r *Run) ReloadRelay(i int) {
	p := r.relays[i]
	p.currentDiscovery = 1 - p.currentDiscovery
	if r.writeConfig(p) == nil && p.alive {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
}
