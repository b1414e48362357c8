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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"valeshift/internal/relay"
	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
	"valeshift/internal/testbed/netem"
	"valeshift/internal/testbed/procstat"
)

const (
	slack  = 100.0 // that the lab itself may be late by
	late   = 250.0 // behind its schedule by more than this a run is not counted
	settle = 4 * time.Second
	ready  = 10 * time.Second

	heldLook = 50 * time.Millisecond // at a way that was not open
	heldFor  = 6 * heldLook
)

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Result is what a run came to.
type Result struct {
	Tally  *model.Metrics
	Marks  []model.FaultSpan
	Audit  *audit.Auditor
	Fallen int
	Late   bool // the machine was too slow to keep the schedule: the figures don't count
	Logs   string
	Memory map[int]int64 // of each relay at the end, bytes resident
	CPU    map[int]float64
	Fleet  map[int][]byte // what each relay says of the others, as JSON
}

// Run is one run on sockets.
type Run struct {
	*ground
	x            *experiment.Experiment
	world        *model.Environment
	audit        *audit.Auditor
	relays       []*process
	dir          string
	binary       string
	number       int64                 // of the run
	coordinators []*coordinatorProcess // of voters, on the first machines
	given        map[string]bool

	ways     map[[2]int]experiment.Impairment // as they are, by who sends and who is sent to
	forwards map[[2]int][]*netem.Proxy        // by who dials and who is dialed
}

// process is one relay, in all its lives.
type process struct {
	number   int
	address  string
	lists    [2]string // addresses of its discovery
	using    int
	cmd      *exec.Cmd
	alive    bool
	turn     int
	log      *os.File
	socket   *os.File  // the clients', held here where a process can be replaced; else nil
	elder    *exec.Cmd // while it is being replaced
	ops      string    // where operators call
	known    []byte    // what the platform keeps of the list for it
	early    string    // why it ended before the run began
	disk     string    // its folder; empty: none
	operator string    // its operators' file; empty: none
}

// Play plays an experiment with relays of that program; files and logs go to dir.
func Play(ctx context.Context, x *experiment.Experiment, binary, dir string) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &Run{ground: newGround(ctx), x: x, dir: dir, binary: binary, number: runs.Add(1),
		ways: map[[2]int]experiment.Impairment{}, forwards: map[[2]int][]*netem.Proxy{}, given: map[string]bool{},
		audit: audit.New(slack, x.Fleet.OverloadMultiple, float64(x.Fleet.OverloadWindow))}
	defer r.close()
	home, err := r.place(-1)
	if err != nil {
		return nil, err
	}
	r.mutex.Lock()
	r.world = model.NewEnvironment(x, r, host{home}, r.audit)
	r.audit.IsSameZone, r.audit.LocalityFrom = r.world.IsSameZone, r.now()+float64(x.Warmup)
	r.mutex.Unlock()
	var addresses []string
	for i := range x.Relays.Count {
		p := &process{number: i}
		r.relays = append(r.relays, p)
		if err := r.prepare(p); err != nil {
			return nil, err
		}
		addresses = append(addresses, p.address)
	}
	if err := r.mates(); err != nil {
		return nil, err
	}
	for _, p := range r.relays {
		if err := r.launch(p); err != nil {
			return nil, err
		}
	}
	for _, p := range r.relays {
		if err := r.await(ctx, p); err != nil {
			return nil, err
		}
	}
	r.mutex.Lock()
	r.world.Metrics.Start = r.now()
	r.world.Start(addresses)
	r.after(float64(x.Warmup)/2, r.early)
	r.mutex.Unlock()
	if err := sleep(ctx, time.Duration(float64(x.Length)*float64(time.Millisecond))); err != nil {
		return nil, err
	}
	result := &Result{Memory: map[int]int64{}, CPU: map[int]float64{}, Logs: dir}
	for _, p := range r.relays {
		if p.cmd != nil && p.cmd.Process != nil {
			result.CPU[p.number], result.Memory[p.number] = procstat.Usage(p.cmd.Process.Pid)
		}
	}
	result.Fleet = r.fleets()
	r.mutex.Lock()
	r.world.Workload.Close()
	r.mutex.Unlock()
	if err := sleep(ctx, settle); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.audit.Finish(r.now())
	result.Tally, result.Marks, result.Audit = r.world.Metrics, r.world.FaultSpans, r.audit
	result.Fallen, result.Late = r.world.ColdOverloads(), r.world.Metrics.MaxLag > late
	return result, nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prepare gives a relay its address and two discoveries of its own, so that each knows whom it tells.
func (r *Run) prepare(p *process) error {
	var err error
	if slices.ContainsFunc(r.x.Faults, func(f experiment.Fault) bool { return f.Kind == "relay-replace" }) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.address = l.Addr().String()
		if p.socket, err = l.(*net.TCPListener).File(); err != nil {
			return err
		}
		l.Close() // the file holds it
		context.AfterFunc(r.ctx, func() { p.socket.Close() })
	} else if p.address, err = r.free(p.number); err != nil {
		return err
	}
	for i := range p.lists {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w, err := netem.New(r.road(p.number), l.Addr().String(), r.x.Rand("way", 10*p.number+i))
		if err != nil {
			return err
		}
		context.AfterFunc(r.ctx, w.Close)
		p.lists[i] = w.Address
		pair := [2]int{p.number, experiment.Discovery}
		r.forwards[pair] = append(r.forwards[pair], w)
		server := &http.Server{Handler: &list{r: r, relay: p.number}}
		go server.Serve(l)
		context.AfterFunc(r.ctx, func() { server.Close() })
	}
	r.mutex.Lock()
	r.keep(p)
	r.mutex.Unlock()
	p.log, err = os.Create(filepath.Join(r.dir, fmt.Sprintf("relay-%d.log", p.number)))
	return err
}

// runs counts them, as several may be played side by side.
var runs atomic.Int64

// home is a machine's own address on loopback, and no other run's: against a port that is free when it is
// looked for, and somebody else's when it is listened on.
func (r *Run) home(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+r.number%250, 1+machine/200, 1+machine%200)
}

// free is an address of a machine whose port is free, and was not given before: against one that is only
// listened on later being given twice.
func (r *Run) free(machine int) (string, error) {
	for {
		address, err := procstat.FreeAddressOn(r.home(machine))
		if err != nil || !r.given[address] {
			r.given[address] = true
			return address, err
		}
	}
}

// road is where the ways from a machine begin: elsewhere, for the same reason.
func (r *Run) road(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+r.number%250, 101+machine/200, 1+machine%200)
}

// FreezeRelay stops a relay's process, or has it go on.
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

func (r *Run) clock(i int) string { return filepath.Join(r.dir, fmt.Sprintf("clock-%d", i)) }

// SetClockOffset has a relay's machine have a clock that is so many milliseconds ahead.
func (r *Run) SetClockOffset(i int, ahead float64) {
	os.WriteFile(r.clock(i)+".new", fmt.Append(nil, ahead), 0o600)
	os.Rename(r.clock(i)+".new", r.clock(i)) // so that nobody reads half of it
}

// SetImpairment sets what lies between two machines in that direction.
func (r *Run) SetImpairment(from, to int, way experiment.Impairment) {
	r.ways[[2]int{from, to}] = way
	for _, pair := range [][2]int{{from, to}, {to, from}} {
		for _, w := range r.forwards[pair] {
			w.SetImpairments(r.ways[pair], r.ways[[2]int{pair[1], pair[0]}])
		}
	}
}

// keep has the platform keep the list as it is now for a relay, where the experiment has it do so.
func (r *Run) keep(p *process) {
	if r.x.Relays.KnowsEndpoints {
		p.known = encode(r.world.Discovery.FullUpdate())
	}
}

// configure writes the relay's configuration.
func (r *Run) configure(p *process) error {
	told := map[string]any{"name": fmt.Sprintf("relay-%d", p.number), "listen": p.address,
		"discovery": p.lists[p.using], "ops": p.ops,
		"seed":     strconv.FormatUint(r.x.Rand("relay", p.number*1000+p.turn).Uint64(), 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": 0, "sockets": r.x.Relays.MaxDescriptors},
		"settings": r.x.RelaySettings(p.number % r.x.Fleet.Zones)}
	if p.known != nil {
		told["known"] = json.RawMessage(p.known)
	}
	text, err := json.Marshal(told)
	if err != nil {
		return err
	}
	return os.WriteFile(r.file(p), text, 0o600)
}

func (r *Run) file(p *process) string {
	return filepath.Join(r.dir, fmt.Sprintf("relay-%d.json", p.number))
}

func (r *Run) shared(p *process) string {
	return filepath.Join(r.dir, fmt.Sprintf("relay-%d", p.number))
}

func (r *Run) launch(p *process) error {
	p.turn++
	if err := r.startCoordinator(p.number); err != nil {
		return err
	}
	var err error
	if p.ops, err = r.free(p.number); err != nil {
		return err
	}
	if err := r.configure(p); err != nil {
		return err
	}
	p.cmd = exec.Command(r.binary)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.file(p), "RELAY_NAME=", "RELAY_LISTEN=",
		"RELAY_DISCOVERY=", "RELAY_OPS=",
		"VALESHIFT_OPERATOR="+p.operator, "VALELAB_CLOCK="+r.clock(p.number))
	if p.socket != nil {
		p.cmd.ExtraFiles = []*os.File{p.socket}
		p.cmd.Env = append(p.cmd.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+r.shared(p))
		if err := os.MkdirAll(r.shared(p), 0o700); err != nil {
			return err
		}
	}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	p.alive = true
	cmd, turn := p.cmd, p.turn
	go func() {
		err := cmd.Wait()
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.closed || p.turn != turn || !p.alive {
			return
		}
		p.alive = false
		if r.world.Workload == nil { // the run has not begun: it is over before it does
			p.early = fmt.Sprint(cmp.Or(err, errors.New("exit status 0")))
			return
		}
		r.keep(p)
		r.world.RelayExited(p.number) // it ended by itself: planned, or a crash
	}()
	return nil
}

// await waits until a relay answers.
func (r *Run) await(ctx context.Context, p *process) error {
	for until := time.Now().Add(ready); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r.mutex.Lock()
		early := p.early
		r.mutex.Unlock()
		if early != "" {
			return fmt.Errorf("relay %d ended before the run began (%s): %s", p.number, early, r.lastWords(p))
		}
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write([]byte("PING\r\n"))
		var answer [6]byte
		n, _ := c.Read(answer[:])
		c.Close()
		if string(answer[:n]) == "PONG\r\n" {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("relay %d does not serve: %s", p.number, r.lastWords(p))
}

// lastWords is the end of a relay's log.
func (r *Run) lastWords(p *process) string {
	text, _ := os.ReadFile(p.log.Name())
	text = bytes.TrimSpace(text)
	return string(text[max(len(text)-400, 0):])
}

func (r *Run) close() {
	r.mutex.Lock()
	r.closed = true
	for _, p := range r.places {
		p.listener.Close()
		for _, k := range p.conns {
			k.reset()
		}
		p.lit.Broadcast()
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
	r.mutex.Unlock()
}

// NewHost opens an address for an actor.
func (r *Run) NewHost(zone int) (model.Host, string) {
	p, err := r.place(zone)
	if err != nil {
		panic(fmt.Sprintf("no port on loopback: %v", err)) // no experiment can go on
	}
	return host{p}, p.address
}

// Bind says who stands there.
func (r *Run) Bind(address string, who model.Actor) { r.places[address].actor = who }

// SetUnreachable has nothing pass to or from an address.
func (r *Run) SetUnreachable(address string, dark bool) { r.places[address].setDark(dark) }

// SetRefusing closes an address for new connections.
func (r *Run) SetRefusing(address string, refuse bool) { r.places[address].refuse(refuse) }

// IsolateZone has nothing pass to or from a zone's servers; on loopback its own relays lose them too.
func (r *Run) IsolateZone(zone int, cut bool) {
	for _, p := range r.places {
		if p.zone == zone {
			p.setDark(cut)
		}
	}
}

// KillRelay ends a relay at once.
func (r *Run) KillRelay(i int) {
	p := r.relays[i]
	p.alive = false
	r.keep(p)
	r.killCoordinator(i)
	p.cmd.Process.Kill()
	if p.elder != nil {
		p.elder.Process.Kill()
	}
}

// call makes one operators' call beside the model, and tells afterwards, under its lock, whether it was yes.
func (r *Run) call(address, method, path string, then func(yes bool)) {
	go func() {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(r.ctx, method, "http://"+address+path, nil)
		yes := false
		if err == nil {
			var answer *http.Response
			if answer, err = client.Do(request); err == nil {
				yes = answer.StatusCode < 300
				answer.Body.Close()
			}
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if !r.closed {
			then(yes)
		}
	}()
}

// DrainRelay has operators empty a relay, or take it back to work.
func (r *Run) DrainRelay(i int, on bool) {
	path := "/_lameduck/off"
	if on {
		path = "/_lameduck/on"
	}
	r.call(r.relays[i].ops, http.MethodPost, path, func(bool) {})
}

// ReplaceRelay starts another process beside a relay's; once that says that it is ready, the elder is stopped.
func (r *Run) ReplaceRelay(i int, done func()) {
	p := r.relays[i]
	elder := p.cmd
	if err := r.launch(p); err != nil {
		panic(err)
	}
	p.elder = elder
	turn := p.turn
	var ask func()
	ask = func() {
		r.call(p.ops, http.MethodGet, "/_ready", func(yes bool) {
			switch {
			case p.turn != turn || !p.alive:
			case yes:
				elder.Process.Signal(syscall.SIGTERM)
				r.killLater(p, elder, turn)
				r.after(r.x.KillAfter(), func() {
					if p.turn == turn {
						p.elder = nil
						done()
					}
				})
			default:
				r.after(20, ask)
			}
		})
	}
	ask()
}

// StopRelay has a relay stop as planned, and kills it when the platform would.
func (r *Run) StopRelay(i int) {
	p := r.relays[i]
	p.cmd.Process.Signal(syscall.SIGTERM)
	r.killLater(p, p.cmd, p.turn)
}

// killLater kills a process that was told to stop, if it has not by the time that the platform gives.
func (r *Run) killLater(p *process, cmd *exec.Cmd, turn int) {
	r.after(r.x.KillAfter(), func() {
		if p.turn == turn && (p.alive || cmd != p.cmd) {
			cmd.Process.Kill()
		}
	})
}

// StartRelay has a relay start again.
func (r *Run) StartRelay(i int) {
	if err := r.launch(r.relays[i]); err != nil {
		panic(err)
	}
}

// ReloadRelay gives a relay the other address of discovery.
func (r *Run) ReloadRelay(i int) {
	p := r.relays[i]
	p.using = 1 - p.using
	if r.configure(p) == nil && p.alive {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// list is discovery over HTTP, for one relay.
type list struct {
	r     *Run
	relay int
}

// watcher passes what the catalogue tells on to one open watch.
type watcher struct {
	mutex sync.Mutex
	lines [][]byte
	news  []*relay.EndpointUpdate
	ended bool
	wake  chan struct{}
}

func (w *watcher) add(line []byte, n *relay.EndpointUpdate, ended bool) {
	w.mutex.Lock()
	w.lines, w.news, w.ended = append(w.lines, line), append(w.news, n), w.ended || ended
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watcher) OnUpdate(n *relay.EndpointUpdate) { w.add(encode(n), n, false) }
func (w *watcher) OnHeartbeat()                     { w.add([]byte("\n"), nil, false) }
func (w *watcher) OnFailure(error)                  { w.add(nil, nil, true) }

func encode(n *relay.EndpointUpdate) []byte {
	type entry struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   float64 `json:"since_ms"`
	}
	all := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{n.Index, n.Complete, []entry{}}
	for _, e := range n.Endpoints {
		all.Endpoints = append(all.Endpoints, entry{e.Name, e.Address, e.Zone, e.Group, e.Status, e.Weight,
			e.StartedAt})
	}
	text, _ := json.Marshal(all) // of plain values: it can't fail
	return append(text, '\n')
}

func (l *list) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	watch := &watcher{wake: make(chan struct{}, 1)}
	r := l.r
	r.mutex.Lock()
	id := r.world.Discovery.Watch(after, watch)
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		r.world.Discovery.Unwatch(id)
		r.mutex.Unlock()
	}()
	told := map[string]bool{}
	// What is written while the way is not open has not arrived; and once it is, the relay may have given this
	// watch up meanwhile, whose end is known here a moment later.
	var held []*relay.EndpointUpdate
	var opened time.Time
	look := time.NewTicker(heldLook)
	defer look.Stop()
	for {
		select {
		case <-look.C:
		case <-watch.wake:
		case <-request.Context().Done():
			return
		}
		watch.mutex.Lock()
		lines, news, ended := watch.lines, watch.news, watch.ended
		watch.lines, watch.news = nil, nil
		watch.mutex.Unlock()
		for i, line := range lines {
			w.Write(line)
			if n := news[i]; n != nil {
				held = append(held, n)
				// What allows more counts from when it is written, what forbids from when it is there.
				r.tell(l.relay, active(n), told)
			}
		}
		if len(lines) > 0 {
			w.(http.Flusher).Flush()
		}
		if !r.arrives(l.relay) {
			opened = time.Now()
		} else if len(held) > 0 && time.Since(opened) > heldFor {
			for i, n := range held {
				r.tell(l.relay, lasting(n, held[i+1:]), told)
			}
			held = nil
		}
		if ended {
			return
		}
	}
}

// arrives tells whether what discovery writes to a relay is there at once.
func (r *Run) arrives(number int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	there, back := r.ways[[2]int{experiment.Discovery, number}], r.ways[[2]int{number, experiment.Discovery}]
	there.MaxPiece, back.MaxPiece = 0, 0 // they come at once all the same
	return there == experiment.Impairment{} && back == experiment.Impairment{}
}

// active is the part of news that allows more.
func active(n *relay.EndpointUpdate) *relay.EndpointUpdate {
	part := &relay.EndpointUpdate{Index: n.Index}
	for _, e := range n.Endpoints {
		if e.Status == "active" {
			part.Endpoints = append(part.Endpoints, e)
		}
	}
	return part
}

// lasting is the part of news that nothing later has changed.
func lasting(n *relay.EndpointUpdate, later []*relay.EndpointUpdate) *relay.EndpointUpdate {
	part := &relay.EndpointUpdate{Index: n.Index, Complete: n.Complete && len(later) == 0}
	for _, e := range n.Endpoints {
		if !slices.ContainsFunc(later, func(n *relay.EndpointUpdate) bool {
			return slices.ContainsFunc(n.Endpoints, func(f relay.Endpoint) bool { return f.Name == e.Name })
		}) {
			part.Endpoints = append(part.Endpoints, e)
		}
	}
	return part
}

// tell has the auditor know what a relay was told.
func (r *Run) tell(number int, n *relay.EndpointUpdate, told map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := map[string]bool{}
	for _, e := range n.Endpoints {
		told[e.Name], seen[e.Name] = true, true
		r.audit.EndpointUpdated(r.now(), number, e.Name, e.Status, e.StartedAt)
	}
	for name := range told {
		if n.Complete && !seen[name] {
			r.audit.EndpointUpdated(r.now(), number, name, "left", 0)
		}
	}
}
