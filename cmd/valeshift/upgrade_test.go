package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sharedSocket is a listening socket that the platform holds, and the folder for hot restarts, both shared by the
// processes of one relay.
type sharedSocket struct {
	t         *testing.T
	file      *os.File
	dir       string
	discovery *discoveryStub
	sockets   int // limit on descriptors of each process
}

func newSharedSocket(t *testing.T, backends ...*backend) *sharedSocket {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		f.Close()
	})
	s := &sharedSocket{t: t, file: f, dir: t.TempDir(), discovery: newDiscoveryStub(t, backends...), sockets: 300}
	s.discovery.adminAddress = "127.0.0.1:0"
	s.discovery.listenAddress = l.Addr().String()
	return s
}

// start starts one more process with the shared socket.
func (s *sharedSocket) start() *process {
	s.t.Helper()
	return startProcess(s.t, s.discovery.relayConfig(s.sockets), s.file, "RELAY_SOCKET_FD=3", "TMPDIR="+s.dir)
}

// startRelay starts one more process, waits for its admin API, and returns both the process and that API's address.
func (s *sharedSocket) startRelay() (*process, string) {
	s.t.Helper()
	r := s.start()
	r.address, r.discovery = s.discovery.listenAddress, s.discovery
	return r, r.awaitLog(`msg="admin API listening" listen=(\S+)`)[1]
}

// awaitReady waits until the admin API at that address reports that its process is ready.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
		var answer [12]byte
		n, _ := c.Read(answer[:])
		return string(answer[:n]) == "HTTP/1.1 200"
	}, longWait, 10*time.Millisecond)
}

// attemptCounter counts the attempts that backends see of each session.
type attemptCounter struct {
	mutex    sync.Mutex
	byID     map[string]int // attempts by session ID
	repeated int            // attempts beyond a session's first
}

func (a *attemptCounter) count(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.byID[id]++
	if a.byID[id] > 1 {
		a.repeated++
	}
}

// echo accepts each session that arrives, and echoes its lines until the connection ends.
func (b *backend) echo(attempts *attemptCounter) { b.echoAfter(attempts, 0) }

// echoAfter does what echo does, but accepts each session after a random delay of at most longest.
func (b *backend) echoAfter(attempts *attemptCounter, longest time.Duration) {
	for request := range b.requests {
		p := <-b.sessions
		attempts.count(strings.Fields(request)[1])
		go func() {
			defer p.Close()
			if longest > 0 {
				time.Sleep(rand.N(longest))
			}
			p.Write([]byte("UP r\r\n"))
			for {
				line, err := p.reader.ReadString('\n')
				if err != nil {
					return
				}
				p.Write([]byte(line))
			}
		}()
	}
}

// steadyClients are clients that open one session after the other until they are stopped.
type steadyClients struct {
	address    string
	stop       chan struct{}
	goroutines sync.WaitGroup
	served     atomic.Int64 // number of clients that have finished
	moved      atomic.Int64 // how many of these were migrated
	failures   chan string
}

// startSteadyClients starts clients of the relay at that address.
func startSteadyClients(address string) *steadyClients {
	const workers = 12
	c := &steadyClients{address: address, stop: make(chan struct{}), failures: make(chan string, 10000)}
	for worker := range workers {
		c.goroutines.Go(func() { c.runWorker(worker) })
	}
	return c
}

// runWorker runs one client after the other, with a pause before each. The clients of every third worker stay until
// they are migrated or stopped.
func (c *steadyClients) runWorker(worker int) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(5*worker) * time.Millisecond):
		}
		result := runClient(c.address, fmt.Sprintf("%d.%d", worker, n), c.stop, worker%3 == 0)
		switch {
		case strings.HasSuffix(result, "UP MOVE"):
			c.moved.Add(1)
		case result != "UP":
			c.failures <- result
		}
		c.served.Add(1)
	}
}

// end stops the clients, and returns their failures.
func (c *steadyClients) end() []string {
	close(c.stop)
	c.goroutines.Wait()
	close(c.failures)
	var failures []string
	for failure := range c.failures {
		failures = append(failures, failure)
	}
	return failures
}

// A relay's process is replaced three times under a steady stream of clients. No client is rejected, left unanswered or
// cut off without notice, and no session has two attempts.
func TestProcessReplaced(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	shared := newSharedSocket(t, b1, b2)
	attempts := &attemptCounter{byID: map[string]int{}}
	go b1.echo(attempts)
	go b2.echo(attempts)
	parent, address := shared.startRelay()
	awaitReady(t, address)
	clients := startSteadyClients(shared.discovery.listenAddress)
	for range 3 {
		time.Sleep(shortWait)
		child, address := shared.startRelay()
		awaitReady(t, address)
		parent.signal(syscall.SIGTERM)
		assert.Zero(t, parent.awaitExit(), parent.log())
		parent.awaitLog(`msg=stopping "for a child process"=true`)
		child.awaitLog(`msg="restored the handoff of the parent process"`)
		child.awaitLog(`msg="parent process" alive=false`)
		parent = child
	}
	time.Sleep(shortWait)
	for _, failure := range clients.end() {
		assert.Fail(t, failure)
	}
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	assert.Zero(t, attempts.repeated, "attempts beyond a session's first")
	assert.Greater(t, clients.served.Load(), int64(100))
	t.Logf("%d clients served, %d of them migrated", clients.served.Load(), clients.moved.Load())
}

// runClient opens a session, sends some lines and leaves; a client that stays goes on until it is migrated or stopped.
// It returns "UP" if all went well, "UP MOVE" if it was migrated, and else what went wrong.
func runClient(address, id string, stop <-chan struct{}, stays bool) string {
	const lines = 4
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "dial " + err.Error()
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	receive := func() string {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err.Error()
		}
		return strings.TrimSuffix(line, "\r\n")
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "OPEN x%s 7f3a c=feed,t=one,d=2000\r\n", id)
	if line := receive(); line != "UP r" {
		return "first: " + line
	}
	for n := 0; stays || n < lines; n++ {
		select {
		case <-stop:
			return "UP"
		default:
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		want := fmt.Sprint("line ", n)
		if _, err := fmt.Fprintf(conn, "%s\r\n", want); err != nil {
			if line := receive(); line == "MOVE" {
				return "UP MOVE"
			}
			return "UP " + err.Error()
		}
		switch line := receive(); line {
		case want:
		case "MOVE":
			return "UP MOVE"
		default:
			return "UP then " + line
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "UP"
}

// The platform may set the shared socket to blocking mode when it starts a process, and that process may die before it
// sets it back. The other process must still be able to shut down.
func TestShutdownWithASocketThatBlocks(t *testing.T) {
	withoutExitSleep(t)
	b := newBackend(t, "b1")
	shared := newSharedSocket(t, b)
	r, address := shared.startRelay()
	awaitReady(t, address)
	require.NoError(t, syscall.SetNonblock(int(shared.file.Fd()), false))
	client, _ := r.establish(b) // the relay now waits for the next client
	from := time.Now()
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	assert.Less(t, time.Since(from), longestShutdown)
}

// The process logs a socket descriptor that is not usable and exits; it ignores a handoff of its parent that it can't
// parse.
func TestInvalidSocketOrHandoff(t *testing.T) {
	discovery := newDiscoveryStub(t)
	for value, want := range map[string]string{"x": "RELAY_SOCKET_FD: a descriptor from 3 on",
		"1":  "RELAY_SOCKET_FD: a d",
		"77": "RELAY_SOCKET_FD: a listening socket", "3": "RELAY_SOCKET_FD: a listening socket"} {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		r := startProcess(t, discovery.relayConfig(300), f, "RELAY_SOCKET_FD="+value, "TMPDIR="+t.TempDir())
		assert.Equal(t, 1, r.awaitExit(), value)
		assert.Contains(t, r.log(), want)
		f.Close()
	}
	b := newBackend(t, "b1")
	shared := newSharedSocket(t, b)
	first, at := shared.startRelay()
	awaitReady(t, at)
	unsupported, _ := json.Marshal(map[string]any{"Version": 99})
	require.NoError(t, os.WriteFile(shared.dir+"/valeshift.2.left", unsupported, 0o600))
	next, at := shared.startRelay()
	next.awaitLog(`level=WARN msg="starting without the parent's state" err="parse handoff: version 1 expected, got 99"`)
	awaitReady(t, at)
	next.signal(syscall.SIGKILL) // the child dies: the parent goes on, and later shuts down without a handoff
	next.awaitExit()
	first.awaitLog(`msg="child process" alive=false`)
	first.establish(b)
	first.signal(syscall.SIGTERM)
	first.awaitLog(`msg=stopping "for a child process"=false`)
	assert.Zero(t, first.awaitExit())
}

// Established sessions are transferred to the child process together with an incomplete line, and go on after the
// parent's exit. If the child can't be reached, they are migrated instead.
func TestEstablishedSessionIsTransferred(t *testing.T) {
	b := newBackend(t, "b1")
	shared := newSharedSocket(t, b)
	r, at := shared.startRelay()
	awaitReady(t, at)
	client, server := r.establish(b)
	idle, _ := r.establish(b)
	for n := range 2 {
		server.Write([]byte("half "))
		client.send("ask")
		assert.Equal(t, "ask", server.receive())
		time.Sleep(20 * time.Millisecond) // for the incomplete line to arrive at the relay
		next, at := shared.startRelay()
		awaitReady(t, at)
		r.signal(syscall.SIGTERM)
		assert.Zero(t, r.awaitExit(), r.log())
		r.awaitLog(`"endings.handed over"=2`)
		server.send("a line")
		assert.Equal(t, "half a line", client.receive(), "%d", n)
		client.send("more")
		assert.Equal(t, "more", server.receive())
		r = next
	}
	next, at := shared.startRelay()
	awaitReady(t, at)
	require.NoError(t, os.Remove(shared.dir+"/valeshift.4.way"))
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Equal(t, []string{"MOVE", "end"}, []string{idle.receive(), idle.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	next.establish(b)
}
