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

// ground is a socket that the platform holds, and the folder that a relay's processes share.
type ground struct {
	t      *testing.T
	socket *os.File
	dir    string
	list   *list
}

func newGround(t *testing.T, backends ...*backend) *ground {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		f.Close()
	})
	g := &ground{t: t, socket: f, dir: t.TempDir(), list: newList(t, backends...)}
	g.list.ops = "127.0.0.1:0"
	g.list.listen = l.Addr().String()
	return g
}

// starts starts one more process, and gives it with where operators call it.
func (g *ground) starts() (*process, string) {
	g.t.Helper()
	r := run(g.t, g.list.config(300), g.socket, "RELAY_SOCKET_FD=3", "TMPDIR="+g.dir)
	r.address, r.list = g.list.listen, g.list
	return r, r.wait(`msg="admin API listening" listen=(\S+)`)[1]
}

// yes waits until the process says that it is ready.
func yes(t *testing.T, address string) {
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
	}, soon, 10*time.Millisecond)
}

// One process after the other takes a steady stream of clients over: none of them is refused, left unread or
// cut off without a word, and no link has two tries out.
func TestProcessReplaced(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	g := newGround(t, b1, b2)
	var mutex sync.Mutex
	tries, twice := map[string]int{}, atomic.Int64{}
	for _, b := range []*backend{b1, b2} {
		go func() {
			for head := range b.heads {
				p, id := <-b.links, strings.Fields(head)[1]
				mutex.Lock()
				if tries[id]++; tries[id] > 1 {
					twice.Add(1)
				}
				mutex.Unlock()
				go func() { // echoes until its client is gone
					p.Write([]byte("UP r\r\n"))
					for line, err := p.in.ReadString('\n'); err == nil; line, err = p.in.ReadString('\n') {
						p.Write([]byte(line))
					}
					p.Close()
				}()
			}
		}()
	}
	r, address := g.starts()
	yes(t, address)
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
				what := client(g.list.listen, fmt.Sprintf("%d.%d", k, n), stop, k%3 == 0)
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
		time.Sleep(little)
		next, at := g.starts()
		yes(t, at)
		r.signal(syscall.SIGTERM)
		assert.Zero(t, r.exit(), r.text())
		r.wait(`msg=stopping "for a child process"=true`)
		next.wait(`msg="restored the handoff of the parent process"`)
		next.wait(`msg="parent process" alive=false`)
		r = next
	}
	time.Sleep(little)
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

// client opens a link, says some lines and leaves; those that stay do until they are moved or it is over. It
// tells what it saw.
func client(address, id string, stop <-chan struct{}, stays bool) string {
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
	l := newList(t)
	for value, want := range map[string]string{"x": "RELAY_SOCKET_FD: a descriptor from 3 on",
		"1":  "RELAY_SOCKET_FD: a d",
		"77": "RELAY_SOCKET_FD: a listening socket", "3": "RELAY_SOCKET_FD: a listening socket"} {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		r := run(t, l.config(300), f, "RELAY_SOCKET_FD="+value, "TMPDIR="+t.TempDir())
		assert.Equal(t, 1, r.exit(), value)
		assert.Contains(t, r.text(), want)
		f.Close()
	}
	b := newBackend(t, "b1")
	g := newGround(t, b)
	first, at := g.starts()
	yes(t, at)
	bad, _ := json.Marshal(map[string]any{"Version": 99})
	require.NoError(t, os.WriteFile(g.dir+"/valeshift.2.left", bad, 0o600))
	next, at := g.starts()
	next.wait(`level=WARN msg="starting without the parent's state" err="parse handoff: version 1 expected, got 99"`)
	yes(t, at)
	next.signal(syscall.SIGKILL) // the younger dies: the elder goes on, and its stop is a plain one
	next.exit()
	first.wait(`msg="child process" alive=false`)
	first.stands(b)
	first.signal(syscall.SIGTERM)
	first.wait(`msg=stopping "for a child process"=false`)
	assert.Zero(t, first.exit())
}

// A standing link goes on at the younger process, half a line and all, and the elder's end is nothing to it;
// where the younger can't be reached, it is moved.
func TestStandingLinkHandedOver(t *testing.T) {
	b := newBackend(t, "b1")
	g := newGround(t, b)
	r, at := g.starts()
	yes(t, at)
	client, server := r.stands(b)
	quiet, _ := r.stands(b)
	for n := range 2 {
		server.Write([]byte("half "))
		client.say("ask")
		assert.Equal(t, "ask", server.hear())
		time.Sleep(20 * time.Millisecond) // for the half line to be there
		next, at := g.starts()
		yes(t, at)
		r.signal(syscall.SIGTERM)
		assert.Zero(t, r.exit(), r.text())
		r.wait(`"endings.handed over"=2`)
		server.say("a line")
		assert.Equal(t, "half a line", client.hear(), "%d", n)
		client.say("more")
		assert.Equal(t, "more", server.hear())
		r = next
	}
	next, at := g.starts()
	yes(t, at)
	require.NoError(t, os.Remove(g.dir+"/valeshift.4.way"))
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()})
	assert.Equal(t, []string{"MOVE", "end"}, []string{quiet.hear(), quiet.hear()})
	assert.Zero(t, r.exit(), r.text())
	next.stands(b)
}
