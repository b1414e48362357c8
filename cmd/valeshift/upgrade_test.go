package main

import (
	"encoding/json"
	"fmt"
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
}

func newSharedSocket(t *testing.T, backends ...*backend) *sharedSocket {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		f.Close()
	})
	g := &sharedSocket{t: t, file: f, dir: t.TempDir(), discovery: newDiscoveryStub(t, backends...)}
	g.discovery.adminAddress = "127.0.0.1:0"
	g.discovery.listenAddress = l.Addr().String()
	return g
}

// startRelay starts one more process, and gives it with where operators call it.
func (g *sharedSocket) startRelay() (*process, string) {
	g.t.Helper()
	r := startProcess(g.t, g.discovery.relayConfig(300), g.file, "RELAY_SOCKET_FD=3", "TMPDIR="+g.dir)
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

// One process after the other takes a steady stream of clients over: none of them is refused, left unread or
// cut off without a word, and no link has two tries out.
func TestProcessReplaced(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	g := newSharedSocket(t, b1, b2)
	var mutex sync.Mutex
	tries, twice := map[string]int{}, atomic.Int64{}
	for _, b := range []*backend{b1, b2} {
		go func() {
			for head := range b.requests {
				p, id := <-b.sessions, strings.Fields(head)[1]
				mutex.Lock()
				if tries[id]++; tries[id] > 1 {
					twice.Add(1)
				}
				mutex.Unlock()
				go func() { // echoes until its client is gone
					p.Write([]byte("UP r\r\n"))
					for line, err := p.reader.ReadString('\n'); err == nil; line, err = p.reader.ReadString('\n') {
						p.Write([]byte(line))
					}
					p.Close()
				}()
			}
		}()
	}
	r, address := g.startRelay()
	awaitReady(t, address)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, moved atomic.Int64
	wrong := make(chan string, 10000)
	for k := range 12 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5*k) * time.Millisecond):
				}
				what := runClient(g.discovery.listenAddress, fmt.Sprintf("%d.%d", k, n), stop, k%3 == 0)
				switch {
				case strings.HasSuffix(what, "UP MOVE"):
					moved.Add(1)
				case what != "UP":
					wrong <- what
				}
				served.Add(1)
			}
		})
	}
	for range 3 {
		time.Sleep(shortWait)
		next, at := g.startRelay()
		awaitReady(t, at)
		r.signal(syscall.SIGTERM)
		assert.Zero(t, r.awaitExit(), r.log())
		r.awaitLog(`msg=stopping "for a child process"=true`)
		next.awaitLog(`msg="restored the handoff of the parent process"`)
		next.awaitLog(`msg="parent process" alive=false`)
		r = next
	}
	time.Sleep(shortWait)
	close(stop)
	clients.Wait()
	close(wrong)
	for what := range wrong {
		assert.Fail(t, what)
	}
	assert.Zero(t, twice.Load(), "ids seen twice")
	assert.Greater(t, served.Load(), int64(100))
	t.Logf("%d clients served, %d of them moved", served.Load(), moved.Load())
}

// runClient opens a link, says some lines and leaves; those that stay do until they are moved or it is over. It
// tells what it saw.
func runClient(address, id string, stop <-chan struct{}, stays bool) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "dial " + err.Error()
	}
	defer c.Close()
	p := &peer{TCPConn: c.(*net.TCPConn)}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPEN x%s 7f3a c=feed,t=one,d=2000\r\n", id)
	said := ""
	buffer := make([]byte, 0, 100)
	next := func() string {
		for {
			if line, rest, found := strings.Cut(string(buffer), "\r\n"); found {
				buffer = []byte(rest)
				return line
			}
			piece := make([]byte, 100)
			n, err := p.Read(piece)
			if err != nil {
				return err.Error()
			}
			buffer = append(buffer, piece[:n]...)
		}
	}
	if line := next(); line != "UP r" {
		return "first: " + line
	}
	said = "UP"
	for n := 0; stays || n < 4; n++ {
		select {
		case <-stop:
			return said
		default:
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		want := fmt.Sprint("line ", n)
		if _, err := fmt.Fprintf(c, "%s\r\n", want); err != nil {
			if line := next(); line == "MOVE" {
				return said + " MOVE"
			}
			return said + " " + err.Error()
		}
		switch line := next(); line {
		case want:
		case "MOVE":
			return said + " MOVE"
		default:
			return said + " then " + line
		}
		time.Sleep(10 * time.Millisecond)
	}
	return said
}

// What can't be used is named, and nothing starts; what the elder left and can't be read is passed over.
func TestSocketThatIsNone(t *testing.T) {
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
	next.signal(syscall.SIGKILL) // the younger dies: the elder goes on, and its stop is a plain one
	next.awaitExit()
	first.awaitLog(`msg="child process" alive=false`)
	first.establish(b)
	first.signal(syscall.SIGTERM)
	first.awaitLog(`msg=stopping "for a child process"=false`)
	assert.Zero(t, first.awaitExit())
}

// A standing link goes on at the younger process, half a line and all, and the elder's end is nothing to it;
// where the younger can't be reached, it is moved.
func TestStandingLinkHandedOver(t *testing.T) {
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
