package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	longWait  = 10 * time.Second       // time limit for an event that must happen
	shortWait = 300 * time.Millisecond // pause, or time limit for an event that may not happen
)

var programPath string // path of the program under test

// longestShutdown bounds a graceful shutdown where the longest hard limit is 2 s: that limit, 0.4 s, 50 ms for clients
// to close, and a margin for a busy machine.
const longestShutdown = 2800 * time.Millisecond

// withoutExitSleep makes the test's processes exit at once: otherwise the race detector sleeps for a second at the
// exit, which would count as part of the shutdown.
func withoutExitSleep(t *testing.T) {
	t.Helper()
	t.Setenv("GORACE", "atexit_sleep_ms=0")
}

// TestMain builds the program once, with the race detector, which makes a process with a data race exit with code 66.
func TestMain(m *testing.M) {
	dir, err := buildProgram()
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// buildProgram builds the program and returns the folder that it is in.
func buildProgram() (dir string, err error) {
	dir, err = os.MkdirTemp("", "valeshift")
	if err != nil {
		return "", err
	}
	programPath = filepath.Join(dir, "valeshift")
	output, err := exec.Command("go", "build", "-race", "-o", programPath, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return dir, nil
}

// peer is the test's end of a TCP connection, read line by line.
type peer struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Helper()
	t.Cleanup(func() { c.Close() })
	return &peer{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReader(c)}
}

func (p *peer) send(lines ...string) {
	p.t.Helper()
	_, err := p.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	require.NoError(p.t, err)
}

// receive returns the next line, or how the connection ended: "reset", or "end" behind any incomplete line.
func (p *peer) receive() string {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(longWait))
	line, err := p.reader.ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimSuffix(line, "\r\n")
	case os.IsTimeout(err):
		require.NoError(p.t, err)
	case strings.Contains(err.Error(), "reset"):
		return "reset"
	}
	return line + "end"
}

// reset closes the connection with a TCP reset.
func (p *peer) reset() {
	p.SetLinger(0)
	p.Close()
}

// backend is a stub that answers load polls by itself, and hands every session that arrives to the test.
type backend struct {
	t        *testing.T
	name     string
	address  string
	sessions chan *peer    // connection of each session that arrived
	requests chan string   // request line of each of these sessions, in the same order
	polls    chan struct{} // a value for each load poll
}

func newBackend(t *testing.T, name string) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{t: t, name: name, address: l.Addr().String(), sessions: make(chan *peer, 1000),
		requests: make(chan string, 1000), polls: make(chan struct{}, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConn(newPeer(t, c))
		}
	}()
	return b
}

// serveConn answers load polls, until a request comes or the connection ends.
func (b *backend) serveConn(p *peer) {
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			return
		}
		if line == "STATS\r\n" {
			b.polls <- struct{}{}
			p.Write([]byte("PONG util=0.1,qps=1,x0=0.1\r\n"))
			continue
		}
		b.requests <- strings.TrimSuffix(line, "\r\n")
		b.sessions <- p
		return
	}
}

// awaitSession waits for the next session, and returns its connection and its request line.
func (b *backend) awaitSession() (*peer, string) {
	b.t.Helper()
	select {
	case head := <-b.requests:
		return <-b.sessions, head
	case <-time.After(longWait):
		require.Fail(b.t, "no session arrived at "+b.name)
		return nil, ""
	}
}

// discoveryStub is a discovery service whose endpoint list the test sets.
type discoveryStub struct {
	address       string
	mutex         sync.Mutex
	index         int           // version of the list
	endpoints     []string      // the list's entries, as JSON
	status        int           // HTTP status that new watches are answered with; 0: they get the list
	watches       int           // number of watches that were opened
	changed       chan struct{} // closed and replaced at each change of the list
	muted         chan struct{} // closed: open watches send nothing more
	layout        string        // whitespace between the entries and around them
	adminAddress  string        // address of the admin API that relayConfig sets
	listenAddress string        // address for clients that relayConfig sets
}

// endpoint returns an entry of the list.
func (d *discoveryStub) endpoint(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"hall","group":0,"status":%q,"weight":1}`,
		name, address, status)
}

// setEndpoints replaces the list and notifies all watches.
func (d *discoveryStub) setEndpoints(entries ...string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.index++
	d.endpoints = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// setStatus makes new watches get that HTTP status, or the list again if it is 0.
func (d *discoveryStub) setStatus(status int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.status = status
}

// awaitWatch waits until a watch has been opened.
func (d *discoveryStub) awaitWatch(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return d.watches > 0
	}, longWait, time.Millisecond)
}

// encode returns the list as JSON, and a channel that is closed when the list changes.
func (d *discoveryStub) encode() (string, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, d.index,
		d.layout+strings.Join(d.endpoints, ","+d.layout)+d.layout), d.changed
}

// muteWatches makes all open watches fall silent: they stay open, and send neither updates nor heartbeats.
func (d *discoveryStub) muteWatches(t *testing.T) {
	t.Helper()
	d.awaitWatch(t)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.muted)
	d.muted = make(chan struct{})
}

// indent makes the list go out over several lines from now on.
func (d *discoveryStub) indent() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.layout = "\n    "
}

// ServeHTTP answers a watch: it sends the list at once and at each change, and a heartbeat every 2 s in between.
func (d *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mutex.Lock()
	d.watches++
	status, muted := d.status, d.muted
	d.mutex.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	for {
		text, changed := d.encode()
		fmt.Fprintf(w, "%s\n", text)
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-muted:
				<-r.Context().Done()
				return
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// process is a running instance of the program.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	configPath string         // path of the platform's file
	address    string         // address that clients connect to
	mutex      sync.Mutex     // guards output
	output     bytes.Buffer   // the log
	done       chan struct{}  // closed once the process has exited
	discovery  *discoveryStub // nil if the test started discovery itself
	sessions   int            // number of sessions opened by establish
}

const settingsJSON = `{"replicas-of-me":1,"zone":0,"localities":["hall"],"discovery":"subscribe",
	"categories":[{"name":"feed","promised-time-ms":300,"hard-limit-ms":2000,"gain":1,"effect":"idempotent"}],
	"parties":[{"name":"one"}],"family-info":{"tenant-quota-connections":[100]},
	"stats":{"how":"probe","fields":["cpu","rps","x0"]},
	"contract":{"ask-within-ms":10000,"cold-from":0.2,"cold-ms":9000,"fall-ms":2000,"tip-multiple":3},
	"limits":{"probes":true,"retry-after":true,"max-retry-after-ms":900,"most-setup-tries":3,
		"connect-timeout-ms":250,
		"may-cancel":true}}`

func newDiscoveryStub(t *testing.T, backends ...*backend) *discoveryStub {
	t.Helper()
	d := &discoveryStub{index: 1, changed: make(chan struct{}), muted: make(chan struct{}), listenAddress: "127.0.0.1:0"}
	for _, b := range backends {
		d.endpoints = append(d.endpoints, d.endpoint(b.name, b.address, "active"))
	}
	server := httptest.NewServer(d)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.address = strings.TrimPrefix(server.URL, "http://")
	return d
}

// relayConfig returns a platform's file that names this discovery; sockets is its limit on descriptors.
func (d *discoveryStub) relayConfig(sockets int) string {
	known, _ := d.encode()
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": d.listenAddress, "ops": d.adminAddress,
		"discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  json.RawMessage(known), "settings": json.RawMessage(settingsJSON)})
	return string(text)
}

// startRelay starts a relay and a discovery that lists the backends, and waits until the relay serves. sockets is its
// limit on descriptors.
func startRelay(t *testing.T, sockets int, backends ...*backend) *process {
	t.Helper()
	stub := newDiscoveryStub(t, backends...)
	r := startProcess(t, stub.relayConfig(sockets))
	r.discovery = stub
	found := r.awaitLog(`msg=serving .*listen=(\S+)`)
	require.NotNil(t, found, "not serving: %s", r.log())
	r.address = found[1]
	return r
}

// startProcess starts the program with a platform's file. Each of more is an open file, the first of which the process
// inherits as descriptor 3, or a variable of its environment.
func startProcess(t *testing.T, config string, more ...any) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	r := &process{t: t, cmd: exec.Command(programPath), configPath: path, done: make(chan struct{})}
	var file struct{ Discovery string }
	json.Unmarshal([]byte(config), &file) // the environment names it as well, as in production
	r.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_OPS=",
		"RELAY_DISCOVERY="+file.Discovery)
	for _, x := range more {
		if f, ok := x.(*os.File); ok {
			r.cmd.ExtraFiles = append(r.cmd.ExtraFiles, f)
		} else {
			r.cmd.Env = append(r.cmd.Env, x.(string))
		}
	}
	r.cmd.Stderr = r
	require.NoError(t, r.cmd.Start())
	go func() {
		r.cmd.Wait()
		close(r.done)
	}()
	t.Cleanup(func() {
		r.cmd.Process.Kill()
		<-r.done
		require.NotContains(t, r.log(), "DATA RACE")
		require.NotContains(t, r.log(), "panic:")
	})
	return r
}

// Write appends to the log; it is the process's standard error.
func (r *process) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.output.Write(p)
}

// log returns what the process has logged up to now.
func (r *process) log() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.output.String()
}

var patterns sync.Map // compiled regular expressions by their text

// compile returns the compiled pattern, which it caches.
func compile(pattern string) *regexp.Regexp {
	if found, known := patterns.Load(pattern); known {
		return found.(*regexp.Regexp)
	}
	want := regexp.MustCompile(pattern)
	patterns.Store(pattern, want)
	return want
}

// awaitLog waits until the log matches, and returns the submatches.
func (r *process) awaitLog(pattern string) []string {
	r.t.Helper()
	want := compile(pattern)
	for until := time.Now().Add(longWait); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if found := want.FindStringSubmatch(r.log()); found != nil {
			return found
		}
	}
	require.Fail(r.t, "log without "+pattern, r.log())
	return nil
}

func (r *process) dial() *peer {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	require.NoError(r.t, err)
	return newPeer(r.t, c)
}

// establish opens a session that the backend accepts, and returns both ends of it.
func (r *process) establish(b *backend) (client, server *peer) {
	r.t.Helper()
	client = r.dial()
	r.sessions++
	client.send(fmt.Sprintf("OPEN 9b1f%04x 7f3a c=feed,t=one,d=2000", r.sessions))
	server, _ = b.awaitSession()
	server.send("UP receipt")
	require.Equal(r.t, "UP receipt", client.receive())
	return client, server
}

// awaitExit waits until the process exits, and returns its exit code.
func (r *process) awaitExit() int {
	r.t.Helper()
	select {
	case <-r.done:
	case <-time.After(longWait):
		require.Fail(r.t, "still running", r.log())
	}
	return r.cmd.ProcessState.ExitCode()
}

// reload replaces the platform's file and sends SIGHUP, at which the program reloads it.
func (r *process) reload(config string) {
	r.t.Helper()
	require.NoError(r.t, os.WriteFile(r.configPath, []byte(config), 0o600))
	r.signal(syscall.SIGHUP)
}

func (r *process) signal(s syscall.Signal) { require.NoError(r.t, r.cmd.Process.Signal(s)) }
