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
	soon   = 10 * time.Second // for what has to come
	little = 300 * time.Millisecond
)

var program string

// The program is built once, with the race detector, which makes it exit with 66 after a race.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "valeshift")
	if err == nil {
		program = filepath.Join(dir, "valeshift")
		var said []byte
		if said, err = exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, said)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// peer is one end of a connection, read line by line.
type peer struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Cleanup(func() { c.Close() })
	return &peer{TCPConn: c.(*net.TCPConn), t: t, in: bufio.NewReader(c)}
}

func (p *peer) say(lines ...string) {
	p.t.Helper()
	_, err := p.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	require.NoError(p.t, err)
}

// hear gives the next line, or "end" or "reset".
func (p *peer) hear() string {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(soon))
	line, err := p.in.ReadString('\n')
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

// backend is a stand-in that answers probes by itself and hands the test every link that comes.
type backend struct {
	t       *testing.T
	name    string
	address string
	links   chan *peer
	heads   chan string
	probed  chan struct{}
}

func newBackend(t *testing.T, name string) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{t: t, name: name, address: l.Addr().String(), links: make(chan *peer, 1000),
		heads: make(chan string, 1000), probed: make(chan struct{}, 1000)}
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
		line, err := p.in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "STATS\r\n" {
			b.probed <- struct{}{}
			p.Write([]byte("PONG util=0.1,qps=1,x0=0.1\r\n"))
			continue
		}
		b.heads <- strings.TrimSuffix(line, "\r\n")
		b.links <- p
		return
	}
}

// link waits for the next link to come, and gives its head.
func (b *backend) link() (*peer, string) {
	b.t.Helper()
	select {
	case head := <-b.heads:
		return <-b.links, head
	case <-time.After(soon):
		require.Fail(b.t, "no link came to "+b.name)
		return nil, ""
	}
}

// list is a stand-in for discovery.
type list struct {
	address string
	mutex   sync.Mutex
	index   int
	entries []string
	status  int // of the next calls, where not 0
	calls   int
	changed chan struct{}
	muted   chan struct{} // closed: watches that are open say nothing any more
	layout  string        // between the entries and around them
	ops     string        // where operators call, in configurations
	listen  string        // and clients
}

func (l *list) entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"hall","group":0,"status":%q,"weight":1}`,
		name, address, status)
}

// set changes the list and has all watches told.
func (l *list) set(entries ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	l.entries = entries
	close(l.changed)
	l.changed = make(chan struct{})
}

// answer has the next calls answered by that status, or by the list again (0).
func (l *list) answer(status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.status = status
}

// watched waits for the first watch.
func (l *list) watched(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return l.calls > 0
	}, soon, time.Millisecond)
}

func (l *list) text() (string, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, l.index,
		l.layout+strings.Join(l.entries, ","+l.layout)+l.layout), l.changed
}

// mute has all watches that are open fall silent: nothing comes of them, and they stay open.
func (l *list) mute(t *testing.T) {
	l.watched(t)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.muted)
	l.muted = make(chan struct{})
}

// indent has the list come over several lines from now on.
func (l *list) indent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.layout = "\n    "
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	l.calls++
	status, muted := l.status, l.muted
	l.mutex.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	for {
		text, changed := l.text()
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
	t       *testing.T
	cmd     *exec.Cmd
	config  string // its path
	address string
	mutex   sync.Mutex
	said    bytes.Buffer
	done    chan struct{}
	list    *list
	ids     int // of links that stood
}

const told = `{"replicas-of-me":1,"zone":0,"localities":["hall"],"discovery":"subscribe",
	"categories":[{"name":"feed","promised-time-ms":300,"hard-limit-ms":2000,"gain":1,"effect":"idempotent"}],
	"parties":[{"name":"one"}],"family-info":{"tenant-quota-connections":[100]},
	"stats":{"how":"probe","fields":["cpu","rps","x0"]},
	"contract":{"ask-within-ms":10000,"cold-from":0.2,"cold-ms":9000,"fall-ms":2000,"tip-multiple":3},
	"limits":{"probes":true,"retry-after":true,"max-retry-after-ms":900,"most-setup-tries":3,
		"connect-timeout-ms":250,
		"may-cancel":true}}`

func newList(t *testing.T, backends ...*backend) *list {
	l := &list{index: 1, changed: make(chan struct{}), muted: make(chan struct{}), listen: "127.0.0.1:0"}
	for _, b := range backends {
		l.entries = append(l.entries, l.entry(b.name, b.address, "active"))
	}
	server := httptest.NewServer(l)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

// config is a configuration that names this discovery.
func (l *list) config(sockets int) string {
	known, _ := l.text()
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": l.listen, "ops": l.ops,
		"discovery": l.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  json.RawMessage(known), "settings": json.RawMessage(told)})
	return string(text)
}

// start starts a relay whose list has the backends given; sockets is its limit on descriptors.
func start(t *testing.T, sockets int, backends ...*backend) *process {
	t.Helper()
	l := newList(t, backends...)
	r := run(t, l.config(sockets))
	r.list = l
	found := r.wait(`msg=serving .*listen=(\S+)`)
	require.NotNil(t, found, "not serving: %s", r.text())
	r.address = found[1]
	return r
}

// run starts the program on a configuration; with a file that it inherits as descriptor 3, and more of the
// environment.
func run(t *testing.T, config string, more ...any) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	r := &process{t: t, cmd: exec.Command(program), config: path, done: make(chan struct{})}
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
		require.NotContains(t, r.text(), "DATA RACE")
		require.NotContains(t, r.text(), "panic:")
	})
	return r
}

func (r *process) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.said.Write(p)
}

func (r *process) text() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.said.String()
}

var patterns sync.Map // compiled, by their text

func compiled(pattern string) *regexp.Regexp {
	if found, known := patterns.Load(pattern); known {
		return found.(*regexp.Regexp)
	}
	want := regexp.MustCompile(pattern)
	patterns.Store(pattern, want)
	return want
}

// wait waits for the log to say something.
func (r *process) wait(pattern string) []string {
	r.t.Helper()
	want := compiled(pattern)
	for until := time.Now().Add(soon); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if found := want.FindStringSubmatch(r.text()); found != nil {
			return found
		}
	}
	require.Fail(r.t, "log without "+pattern, r.text())
	return nil
}

func (r *process) dial() *peer {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	require.NoError(r.t, err)
	return newPeer(r.t, c)
}

// stands brings one link to stand, and gives both its sides.
func (r *process) stands(b *backend) (client, server *peer) {
	r.t.Helper()
	client = r.dial()
	r.ids++
	client.say(fmt.Sprintf("OPEN 9b1f%04x 7f3a c=feed,t=one,d=2000", r.ids))
	server, _ = b.link()
	server.say("UP receipt")
	require.Equal(r.t, "UP receipt", client.hear())
	return client, server
}

// exit waits for the program's end.
func (r *process) exit() int {
	r.t.Helper()
	select {
	case <-r.done:
	case <-time.After(soon):
		require.Fail(r.t, "still running", r.text())
	}
	return r.cmd.ProcessState.ExitCode()
}

// reload replaces the configuration and has the program read it.
func (r *process) reload(config string) {
	r.t.Helper()
	require.NoError(r.t, os.WriteFile(r.config, []byte(config), 0o600))
	r.signal(syscall.SIGHUP)
}

func (r *process) signal(s syscall.Signal) { require.NoError(r.t, r.cmd.Process.Signal(s)) }
