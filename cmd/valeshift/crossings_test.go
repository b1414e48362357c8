package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each of these tests makes two events race in a known order. docs/design/crossings.md lists the pairs.

// awaitCounters makes the relay log its counters again and again until they match the pattern.
func (r *process) awaitCounters(pattern string) {
	r.t.Helper()
	want := compile(`why=asked .*` + pattern)
	for until := time.Now().Add(longWait); time.Now().Before(until); {
		before := r.log()
		r.signal(syscall.SIGUSR1)
		counters := ""
		for counters == "" && time.Now().Before(until) {
			counters = compile(`why=asked .*\n`).FindString(r.log()[len(before):])
			time.Sleep(time.Millisecond)
		}
		if want.MatchString(counters) {
			return
		}
	}
	require.Fail(r.t, "counters without "+pattern, r.log())
}

// sendRequest opens a connection and sends the request line of a session with that id and that deadline, in
// milliseconds.
func (r *process) sendRequest(id string, deadline int) *peer {
	r.t.Helper()
	client := r.dial()
	client.send(fmt.Sprintf("OPEN %s 7f3a c=feed,t=one,d=%d", id, deadline))
	return client
}

// A request that waits for a backend is not forwarded once its client has disconnected.
func TestClientLeavesWhileItsRequestWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*peer)
	}{
		{"close", func(p *peer) { p.Close() }},
		{"reset", func(p *peer) { p.reset() }},
		{"end of sending", func(p *peer) { p.CloseWrite() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRelay(t, 0)
			client := r.sendRequest("9a", 2000)
			r.awaitCounters(`in.heads=1`)
			c.leave(client)
			r.awaitCounters(`answered.unwanted=1`)
			b := newBackend(t, "b1")
			r.discovery.setEndpoints(r.discovery.endpoint("b1", b.address, "active"))
			r.sendRequest("9b", 2000)
			_, head := b.awaitSession()
			assert.Contains(t, head, "OPEN 9b ", "the first request that arrives")
			assert.Empty(t, b.requests)
		})
	}
}

// However an attempt ends, it is not retried for a client that has disconnected meanwhile.
func TestClientLeavesBeforeItsAttemptFails(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(*peer)
	}{
		{"turned away", func(p *peer) { p.send("BUSY") }},
		{"error", func(p *peer) { p.send("ERR") }},
		{"end", func(p *peer) { p.Close() }},
		{"reset", func(p *peer) { p.reset() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, "b1")
			r := startRelay(t, 0, b)
			client := r.sendRequest("9a", 2000)
			server, _ := b.awaitSession()
			client.Close()
			r.awaitCounters(`answered.unwanted=1`)
			c.fail(server)
			r.sendRequest("9b", 2000)
			_, head := b.awaitSession()
			assert.Contains(t, head, "OPEN 9b ", "no retry of 9a before it")
			r.awaitCounters(`sent.tries=2`)
		})
	}
}

// A request is answered at its deadline, and not retried when its backend answers too late.
func TestDeadlineBeforeTheBackendsAnswer(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client := r.sendRequest("9a", 300)
	server, _ := b.awaitSession()
	assert.Equal(t, []string{"BUSY 900", "end"}, []string{client.receive(), client.receive()})
	server.send("UP late")
	r.sendRequest("9b", 2000)
	_, head := b.awaitSession()
	assert.Contains(t, head, "OPEN 9b ")
}

// A client may send a request at the moment at which the relay closes its idle connection. It receives the relay's
// answer, not a reset, and the request is not forwarded.
func TestRequestOnAConnectionThatIsClosed(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	idle := r.dial()
	require.Equal(t, "ERR", idle.receive(), "idle for too long")
	idle.send("OPEN 9a 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", idle.receive(), "no reset")
	idle.send("OPEN 9b 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", idle.receive())
	r.sendRequest("9c", 2000)
	_, head := b.awaitSession()
	assert.Contains(t, head, "OPEN 9c ", "nothing else was forwarded")
}

// SIGTERM arrives while there are requests in every state. Each is answered before the process exits.
func TestStopFindsRequestsInEveryState(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client, server := r.establish(b)
	pending := r.sendRequest("9a", 2000)
	attempted, _ := b.awaitSession()
	half := r.dial()
	half.Write([]byte("OPEN 9b 7f3a c=fe"))
	r.awaitCounters(`in.heads=2`)
	r.signal(syscall.SIGTERM)
	r.awaitLog("msg=stopping")
	attempted.send("UP late")
	assert.Equal(t, "UP late", pending.receive())
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b.address, "leaving")) // the backend drains at the same time
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Equal(t, "end", server.receive())
	half.send("ed,t=one,d=1000")
	assert.Regexp(t, `^BUSY`, half.receive(), "read during the shutdown, with no backend left")
	assert.Equal(t, []string{"MOVE", "end"}, []string{pending.receive(), pending.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
}

// A backend that never answers neither delays the shutdown nor leaves its client without an answer.
func TestStopWithAnAttemptThatHangs(t *testing.T) {
	withoutExitSleep(t)
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client := r.sendRequest("9a", 2000)
	b.awaitSession()
	from := time.Now()
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"BUSY 900", "end"}, []string{client.receive(), client.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	assert.Less(t, time.Since(from), longestShutdown)
}

// A reload disturbs neither an attempt in progress nor an established session, and the relay follows the new discovery
// though its first watch is answered with an error.
func TestReloadUnderRequests(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	client, server := r.establish(b1)
	pending := r.sendRequest("9a", 2000)
	attempted, _ := b1.awaitSession()
	next := newDiscoveryStub(t, b1, b2)
	next.setStatus(503)
	from := time.Now()
	r.reload(next.relayConfig(0))
	next.awaitWatch(t)
	client.send("still here")
	assert.Equal(t, "still here", server.receive())
	attempted.send("UP begun")
	assert.Equal(t, "UP begun", pending.receive(), "the attempt in progress goes on")
	next.setStatus(0)
	next.setEndpoints(next.endpoint("b1", b1.address, "leaving"), next.endpoint("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "MOVE"}, []string{client.receive(), pending.receive()}, "as their backend drains")
	r.establish(b2)
	assert.Less(t, time.Since(from), 4*time.Second)
}

// A watch that falls silent is detected and reopened, so that the relay learns of a drain within 6 s.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	r.establish(b1)
	r.discovery.muteWatches(t)
	from := time.Now()
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b1.address, "leaving"), r.discovery.endpoint("b2", b2.address, "active"))
	r.awaitLog(`msg="watch fell silent"`)
	for range b2.polls { // the first poll shows that the relay has the new list
		break
	}
	assert.Less(t, time.Since(from), 6*time.Second)
	r.establish(b2)
	assert.Empty(t, b1.requests, "no session goes to the draining backend")
}

// The endpoint list may be indented JSON over several lines.
func TestIndentedList(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	r.establish(b1)
	r.discovery.indent()
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b1.address, "leaving"), r.discovery.endpoint("b2", b2.address, "active"))
	<-b2.polls
	r.establish(b2)
	assert.NotContains(t, r.log(), "watch failed")
}

// Idle clients use up all descriptors they can get while discovery is down. Once it is back, the relay still gets the
// new list and serves requests, without any intervention.
func TestCrowdOfIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 80, b1)
	r.establish(b1)
	r.discovery.setStatus(503)
	r.discovery.setEndpoints("{")
	r.awaitLog(`msg="watch failed" why="watch: status 503"`)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() { // keeps as many idle connections open as the relay accepts
		defer close(stopped)
		type idleClient struct {
			net.Conn
			since time.Time
		}
		var idle []idleClient
		defer func() {
			for _, c := range idle {
				c.Close()
			}
		}()
		for {
			select {
			case <-stop:
				return
			default:
			}
			c, err := net.DialTimeout("tcp", r.address, shortWait)
			if err == nil {
				idle = append(idle, idleClient{c, time.Now()})
			}
			if len(idle) > 300 {
				// The relay does not evict a client within 30 ms of its connection. On a fast machine 300 dials take less,
				// and without this pause clients would be gone before the relay had to evict any.
				time.Sleep(time.Until(idle[0].since.Add(200 * time.Millisecond)))
				idle[0].Close()
				idle = idle[1:]
			}
		}
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	r.awaitLog(`msg="client rejected" why="pushed out"`)
	r.discovery.setStatus(0)
	from := time.Now()
	r.discovery.setEndpoints(r.discovery.endpoint("b2", b2.address, "active"))
	<-b2.polls
	assert.Less(t, time.Since(from), 6*time.Second)
	require.Eventually(t, func() bool {
		client := r.sendRequest("9a", 2000)
		defer client.Close()
		select {
		case <-b2.requests:
			server := <-b2.sessions
			server.send("UP served")
			return client.receive() == "UP served"
		case <-time.After(shortWait):
			return false
		}
	}, longWait, time.Millisecond)
	limit, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(limit), 80, "descriptors")
}
