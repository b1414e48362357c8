package stand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Settings returns settings like those of a small deployment: one class, three backends or so, one or two relays. Tests
// change what they need.
func Settings() map[string]any {
	return map[string]any{
		"replicas-of-me": 1, "me": 0, "zone": 0, "localities": []string{"hall"}, "discovery": "subscribe",
		"family": "conn", "family-info": map[string]any{"groups": false, "mode": "proxy",
			"tenant-quota-connections": []float64{200}},
		"categories": []map[string]any{{"name": "feed", "promised-time-ms": 500.0, "hard-limit-ms": 2000.0, "gain": 1.0,
			"effect": "idempotent", "group": "all", "repeat-window-ms": 5000.0, "stream": true}},
		"parties": []map[string]any{{"name": "one", "portion": 1.0, "allowance-per-s": 10.0}},
		"stats":   map[string]any{"how": "probe", "fields": []string{"cpu", "rps", "x0"}},
		"contract": map[string]any{"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "cold-from": 0.16,
			"cold-ms": 24000.0, "drain-grace-ms": 500.0, "fall-ms": 3000.0, "tip-multiple": 3.0},
		"limits": map[string]any{"probes": true, "retry-after": true, "max-retry-after-ms": 1500.0, "most-setup-tries": 3,
			"connect-timeout-ms": 250.0, "may-cancel": true, "most-held": 1000000, "parallel-tries": false, "peers": false},
		"fees": map[string]any{"probe": 0.002}, "tick-ms": 4.0,
	}
}

// Platform starts relays as the platform does: with the command of the deploy file.
type Platform struct {
	Name      string
	Dir       string // temporary folder
	Listen    string // where clients connect
	Discovery string
	Known     any
	Settings  map[string]any
	Sockets   int
	// Shared makes the platform hold the clients' listening socket, which processes inherit.
	Shared bool

	record  *Record
	run     string
	socket  *os.File
	started int
}

// NewPlatform returns a platform for one relay.
func NewPlatform(record *Record, discovery *Discovery) *Platform {
	dir, err := os.MkdirTemp("", "review")
	record.Must(err, "temporary folder")
	record.Cleanup(func() { os.RemoveAll(dir) })
	deploy, err := os.ReadFile("deploy/balancer.toml")
	record.Must(err, "the deploy file")
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		record.Must(errors.New("no run in it"), "the deploy file")
	}
	return &Platform{Name: "n0", Dir: dir, Listen: FreeAddress(record), Discovery: discovery.Address,
		Known: discovery.Known(), Settings: Settings(), Sockets: 512, record: record, run: string(run[1])}
}

var handedOut sync.Map // the ports that FreeAddress has returned

// FreeAddress returns a loopback address that was free a moment ago, each one once. Its port lies below those that the system gives to
// outgoing connections, so that none of them takes it before the relay does.
func FreeAddress(record *Record) string {
	const lowest, highest, tries = 14000, 32000, 1000
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		if _, taken := handedOut.LoadOrStore(port, true); taken {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	record.Must(errors.New("no free port found"), "listen")
	return ""
}

// Configure writes the configuration, as at a start or for a reload.
func (p *Platform) Configure(ops string) string {
	text, err := json.MarshalIndent(map[string]any{"name": p.Name, "listen": p.Listen, "ops": ops,
		"discovery": p.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": p.Sockets},
		"known":  p.Known, "settings": p.Settings}, "", " ")
	p.record.Must(err, "configuration")
	path := filepath.Join(p.Dir, "config.json")
	p.record.Must(os.WriteFile(path+".new", text, 0o600), "configuration")
	p.record.Must(os.Rename(path+".new", path), "configuration")
	return path
}

// Relay is a running process of a relay.
type Relay struct {
	Ops    string
	Number int
	Done   chan struct{} // closed once the process has ended

	record *Record
	cmd    *exec.Cmd
}

// Start starts a process of the relay and waits until it is ready.
func (p *Platform) Start() *Relay {
	r := p.Launch()
	p.AwaitReady(r, 10*time.Second)
	return r
}

// Launch starts a process of the relay.
func (p *Platform) Launch() *Relay {
	p.started++
	r := &Relay{Ops: FreeAddress(p.record), Number: p.started, Done: make(chan struct{}), record: p.record}
	path := p.Configure(r.Ops)
	shared := filepath.Join(p.Dir, "tmp")
	p.record.Must(os.MkdirAll(shared, 0o700), "temporary folder")
	r.cmd = exec.Command("/bin/sh", "-c", p.run)
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + shared, "RELAY_NAME=" + p.Name,
		"RELAY_LISTEN=" + p.Listen, "RELAY_DISCOVERY=" + p.Discovery, "RELAY_CONFIG=" + path, "RELAY_OPS=" + r.Ops}
	if p.Shared {
		r.cmd.ExtraFiles = p.inherited()
		r.cmd.Env = append(r.cmd.Env, "RELAY_SOCKET_FD=5")
	}
	log, err := os.Create(filepath.Join(p.Dir, fmt.Sprintf("relay-%d.log", r.Number)))
	p.record.Must(err, "log")
	r.cmd.Stdout, r.cmd.Stderr = log, log
	err = p.record.Started(r.cmd.Start, func() {
		r.cmd.Process.Kill()
		<-r.Done
		p.copyLog(log.Name(), r.Number)
	})
	p.record.Must(err, "start "+p.run)
	p.record.Printf("process %d of the relay started, clients at %s, operators at %s", r.Number, p.Listen, r.Ops)
	go func() {
		r.cmd.Wait()
		p.record.Printf("process %d of the relay ended: %s", r.Number, r.cmd.ProcessState)
		log.Close()
		close(r.Done)
	}()
	return r
}

// copyLog puts the end of the relay's log into the record.
func (p *Platform) copyLog(path string, number int) {
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if at := bytes.Index(text, []byte("panic: ")); at >= 0 {
		p.record.Printf("process %d of the relay panicked: %s", number, text[at:min(at+200, len(text))])
	}
	const most = 6000
	if len(text) > most {
		text = text[len(text)-most:]
	}
	p.record.Printf("log of process %d of the relay:\n%s", number, text)
}

// inherited returns the files that a process inherits from descriptor 3 on: the listening socket is descriptor 5.
func (p *Platform) inherited() []*os.File {
	if p.socket == nil {
		listener, err := net.Listen("tcp", p.Listen)
		p.record.Must(err, "listen")
		p.socket, err = listener.(*net.TCPListener).File()
		p.record.Must(err, "listening socket")
		listener.Close()
		p.record.Cleanup(func() { p.socket.Close() })
	}
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	p.record.Must(err, os.DevNull)
	return []*os.File{null, null, p.socket}
}

// AwaitReady waits until the process says that it is ready.
func (p *Platform) AwaitReady(r *Relay, within time.Duration) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, _ := r.Call("GET", "/_ready"); status == http.StatusOK {
			p.record.Printf("process %d of the relay is ready", r.Number)
			return
		}
		select {
		case <-r.Done:
			p.record.Must(errors.New("it ended"), "start of the relay")
		default:
		}
	}
	p.record.Must(errors.New("not ready in time"), "start of the relay")
}

// Call makes one call of an operator.
func (r *Relay) Call(method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+r.Ops+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// Signal sends the process a signal.
func (r *Relay) Signal(s syscall.Signal) {
	r.record.Printf("signal %q to process %d of the relay", s, r.Number)
	r.cmd.Process.Signal(s)
}

// Pid returns the process's id.
func (r *Relay) Pid() string { return strconv.Itoa(r.cmd.Process.Pid) }

// Running reports whether the process runs.
func (r *Relay) Running() bool {
	select {
	case <-r.Done:
		return false
	default:
		return true
	}
}
