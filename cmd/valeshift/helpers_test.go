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
	longWait  = 10 * time.Second // for what has to come
	shortWait = 300 * time.Millisecond
)

var program string // its path

// TestMain builds the program once, with the race detector, which makes it exit with 66 after a race.
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

// buildProgram returns the folder that has the program.
func buildProgram() (dir string, err error) {
	dir, err = os.MkdirTemp("", "valeshift")
	if err != nil {
		return "", err
	}
	program = filepath.Join(dir, "valeshift")
	output, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return dir, nil
}

// peer is one end of a connection, read line by line.
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

// receive returns the next line, or what ended the connection: "end" or "reset".
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

func (p *peer) reset() {
	p.SetLinger(0)
	p.Close()
}

// backend is a stand-in that answers load polls by itself, and gives the test every session that comes.
type backend struct {
	t        *testing.T
	name     string
	address  string
	sessions chan *peer
	requests chan string
	polls    chan struct{}
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
			go b.serve(newPeer(t, c))
		}
	}()
	return b
}

func (b *backend) serve(p *peer) {
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

// awaitSession waits for the next session to come, and returns it with its request.
func (b *backend) awaitSession() (*peer, string) {
	b.t.Helper()
	select {
	case head := <-b.requests:
		return <-b.sessions, head
	case <-time.After(longWait):
		require.Fail(b.t, "no session came to "+b.name)
		return nil, ""
	}
}

// discoveryStub stands in for discovery.
type discoveryStub struct {
	address       string
	mutex         sync.Mutex
	index         int
	endpoints     []string
	status        int // of the next watches, where not 0
	watches       int
	changed       chan struct{}
	muted         chan struct{} // closed: open watches bring nothing more
	layout        string        // between the entries and around them
	adminAddress  string        // of the admin API, in configurations
	listenAddress string        // for clients, in configurations
}

func (l *discoveryStub) endpoint(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"hall","group":0,"status":%q,"weight":1}`,
		name, address, status)
}

// setEndpoints changes the list and notifies all watches.
func (l *discoveryStub) setEndpoints(entries ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	l.endpoints = entries
	close(l.changed)
	l.changed = make(chan struct{})
}

// setStatus has the next watches answered by that status, or by the list again (0).
func (l *discoveryStub) setStatus(status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.status = status
}

// awaitWatch waits for the first watch.
func (l *discoveryStub) awaitWatch(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return l.watches > 0
	}, longWait, time.Millisecond)
}

func (l *discoveryStub) encode() (string, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, l.index,
		l.layout+strings.Join(l.endpoints, ","+l.layout)+l.layout), l.changed
}

// muteWatches has all open watches fall silent: they bring nothing more, and stay open.
func (l *discoveryStub) muteWatches(t *testing.T) {
	t.Helper()
	l.awaitWatch(t)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.muted)
	l.muted = make(chan struct{})
}

// indent has the list sent over several lines from now on.
func (l *discoveryStub) indent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.layout = "\n    "
}

func (l *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	l.watches++
	status, muted := l.status, l.muted
	l.mutex.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	for {
		text, changed := l.encode()
		fmt.Fprintf(w, "%s\n", text)
		w.(http.Flusher).Flush()
		for quiet := true; quiet; {
			select {
			case <-muted:
				<-r.Context().Done()
				return
			case <-changed:
				quiet = false
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// process is the program, started.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	configPath string // its path
	address    string
	mutex      sync.Mutex
	output     bytes.Buffer
	done       chan struct{}
	discovery  *discoveryStub
	sessions   int // that were established
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
	l := &discoveryStub{index: 1, changed: make(chan struct{}), muted: make(chan struct{}), listenAddress: "127.0.0.1:0"}
	for _, b := range backends {
		l.endpoints = append(l.endpoints, l.endpoint(b.name, b.address, "active"))
	}
	server := httptest.NewServer(l)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

// relayConfig returns a configuration that names this discovery.
func (l *discoveryStub) relayConfig(sockets int) string {
	known, _ := l.encode()
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": l.listenAddress, "ops": l.adminAddress,
		"discovery": l.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  json.RawMessage(known), "settings": json.RawMessage(settingsJSON)})
	return string(text)
}

// startRelay starts a relay whose list has the backends; sockets is its limit on descriptors.
func startRelay(t *testing.T, sockets int, backends ...*backend) *process {
	t.Helper()
	l := newDiscoveryStub(t, backends...)
	r := startProcess(t, l.relayConfig(sockets))
	r.discovery = l
	found := r.awaitLog(`msg=serving .*listen=(\S+)`)
	require.NotNil(t, found, "not serving: %s", r.log())
	r.address = found[1]
	return r
}

// startProcess starts the program with a configuration. More is a file that it inherits as descriptor 3, or variables of
// its environment.
func startProcess(t *testing.T, config string, more ...any) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	r := &process{t: t, cmd: exec.Command(program), configPath: path, done: make(chan struct{})}
	var file struct{ Discovery string }
	json.Unmarshal([]byte(config), &file) // the environment has it too, as in service
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

func (r *process) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.output.Write(p)
}

func (r *process) log() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.output.String()
}

var patterns sync.Map // compiled, by their text

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

// establish establishes a session, and returns both its ends.
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

// awaitExit waits for the program's end, and returns its exit code.
func (r *process) awaitExit() int {
	r.t.Helper()
	select {
	case <-r.done:
	case <-time.After(longWait):
		require.Fail(r.t, "still running", r.log())
	}
	return r.cmd.ProcessState.ExitCode()
}

// reload replaces the configuration and has the program read it.
func (r *process) reload(config string) {
	r.t.Helper()
	require.NoError(r.t, os.WriteFile(r.configPath, []byte(config), 0o600))
	r.signal(syscall.SIGHUP)
}

func (r *process) signal(s syscall.Signal) { require.NoError(r.t, r.cmd.Process.Signal(s)) }
