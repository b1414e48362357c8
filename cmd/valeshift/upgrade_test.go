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

// sharedSocket is a socket that the platform holds, and the folder that a relay's processes share.
type sharedSocket struct {
	t         *testing.T
	file      *os.File
	dir       string
	discovery *discoveryStub
	sockets   int // the relays' limit on descriptors
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
	g := &sharedSocket{t: t, file: f, dir: t.TempDir(), discovery: newDiscoveryStub(t, backends...), sockets: 300}
	g.discovery.adminAddress = "127.0.0.1:0"
	g.discovery.listenAddress = l.Addr().String()
	return g
}

// start starts one more process.
func (g *sharedSocket) start() *process {
	g.t.Helper()
	return startProcess(g.t, g.discovery.relayConfig(g.sockets), g.file, "RELAY_SOCKET_FD=3", "TMPDIR="+g.dir)
}

// startRelay starts one more process, and returns it with the address of its admin API.
func (g *sharedSocket) startRelay() (*process, string) {
	g.t.Helper()
	r := g.start()
	r.address, r.discovery = g.discovery.listenAddress, g.discovery
	return r, r.awaitLog(`msg="admin API listening" listen=(\S+)`)[1]
}

// awaitReady waits until the process says that it is ready.
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
	byID     map[string]int
	repeated int // attempts beyond a session's first
}

func (a *attemptCounter) count(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.byID[id]++
	if a.byID[id] > 1 {
		a.repeated++
	}
}

// echo establishes each session that comes, and echoes its lines until the client has left.
func (b *backend) echo(attempts *attemptCounter) { b.echoAfter(attempts, 0) }

// echoAfter does so after a while, of that length at the most.
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

// steadyClients are clients that come and go until they are stopped.
type steadyClients struct {
	address    string
	stop       chan struct{}
	goroutines sync.WaitGroup
	served     atomic.Int64
	moved      atomic.Int64 // among those served
	failures   chan string
}

func startSteadyClients(address string) *steadyClients {
	const lanes = 12
	c := &steadyClients{address: address, stop: make(chan struct{}), failures: make(chan string, 10000)}
	for lane := range lanes {
		c.goroutines.Go(func() { c.run(lane) })
	}
	return c
}

// run runs one client after the other, with a pause before each. Every third lane's clients stay.
func (c *steadyClients) run(lane int) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(5*lane) * time.Millisecond):
		}
		seen := runClient(c.address, fmt.Sprintf("%d.%d", lane, n), c.stop, lane%3 == 0)
		switch {
		case strings.HasSuffix(seen, "UP MOVE"):
			c.moved.Add(1)
		case seen != "UP":
			c.failures <- seen
		}
		c.served.Add(1)
	}
}

// end stops the clients, and returns what failed.
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

// One process after the other takes a steady stream of clients over: none of them is rejected, left unread or cut off
// without notice, and no session has two attempts.
func TestProcessReplaced(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	g := newSharedSocket(t, b1, b2)
	attempts := &attemptCounter{byID: map[string]int{}}
	go b1.echo(attempts)
	go b2.echo(attempts)
	parent, address := g.startRelay()
	awaitReady(t, address)
	clients := startSteadyClients(g.discovery.listenAddress)
	for range 3 {
		time.Sleep(shortWait)
		child, address := g.startRelay()
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
	assert.Zero(t, attempts.repeated, "ids seen twice")
	assert.Greater(t, clients.served.Load(), int64(100))
	t.Logf("%d clients served, %d of them moved", clients.served.Load(), clients.moved.Load())
}

// runClient opens a session, sends some lines and leaves; one that stays does so until it is moved or stopped. It returns
// what it saw.
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

// A platform that starts a process with the shared socket may have it block, and the process may die before it undoes that.
// The shutdown of the other one ends all the same.
func TestShutdownWithASocketThatBlocks(t *testing.T) {
	withoutExitSleep(t)
	b := newBackend(t, "b1")
	g := newSharedSocket(t, b)
	r, address := g.startRelay()
	awaitReady(t, address)
	require.NoError(t, syscall.SetNonblock(int(g.file.Fd()), false))
	client, _ := r.establish(b) // after which the relay waits for the next client
	from := time.Now()
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	assert.Less(t, time.Since(from), longestShutdown)
}

// A socket that can't be used is named, and nothing starts; a handoff of the parent that can't be read is ignored.
func TestInvalidSocketOrHandoff(t *testing.T) {
	l := newDiscoveryStub(t)
	for value, want := range map[string]string{"x": "RELAY_SOCKET_FD: a descriptor from 3 on",
		"1":  "RELAY_SOCKET_FD: a d",
		"77": "RELAY_SOCKET_FD: a listening socket", "3": "RELAY_SOCKET_FD: a listening socket"} {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		r := startProcess(t, l.relayConfig(300), f, "RELAY_SOCKET_FD="+value, "TMPDIR="+t.TempDir())
		assert.Equal(t, 1, r.awaitExit(), value)
		assert.Contains(t, r.log(), want)
		f.Close()
	}
	b := newBackend(t, "b1")
	g := newSharedSocket(t, b)
	first, at := g.startRelay()
	awaitReady(t, at)
	bad, _ := json.Marshal(map[string]any{"Version": 99})
	require.NoError(t, os.WriteFile(g.dir+"/valeshift.2.left", bad, 0o600))
	next, at := g.startRelay()
	next.awaitLog(`level=WARN msg="starting without the parent's state" err="parse handoff: version 1 expected, got 99"`)
	awaitReady(t, at)
	next.signal(syscall.SIGKILL) // the child dies: the parent goes on, and its shutdown is a plain one
	next.awaitExit()
	first.awaitLog(`msg="child process" alive=false`)
	first.establish(b)
	first.signal(syscall.SIGTERM)
	first.awaitLog(`msg=stopping "for a child process"=false`)
	assert.Zero(t, first.awaitExit())
}

// An established session goes on at the child process, half a line and all, and the parent's end is nothing to it; where
// the child can't be reached, it is moved.
func TestEstablishedSessionIsTransferred(t *testing.T) {
	b := newBackend(t, "b1")
	g := newSharedSocket(t, b)
	r, at := g.startRelay()
	awaitReady(t, at)
	client, server := r.establish(b)
	quiet, _ := r.establish(b)
	for n := range 2 {
		server.Write([]byte("half "))
		client.send("ask")
		assert.Equal(t, "ask", server.receive())
		time.Sleep(20 * time.Millisecond) // for the half line to be there
		next, at := g.startRelay()
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
	next, at := g.startRelay()
	awaitReady(t, at)
	require.NoError(t, os.Remove(g.dir+"/valeshift.4.way"))
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Equal(t, []string{"MOVE", "end"}, []string{quiet.receive(), quiet.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	next.establish(b)
}
