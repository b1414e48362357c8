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

// These tests force two things to happen at once, in a known order: docs/design/crossings.md lists them.

// awaitCounters waits until the relay's counters say so.
func (r *process) awaitCounters(pattern string) {
	r.t.Helper()
	want := compile(`why=asked .*` + pattern)
	for until := time.Now().Add(longWait); time.Now().Before(until); {
		before := r.log()
		r.signal(syscall.SIGUSR1)
		said := ""
		for said == "" && time.Now().Before(until) {
			said = compile(`why=asked .*\n`).FindString(r.log()[len(before):])
			time.Sleep(time.Millisecond)
		}
		if want.MatchString(said) {
			return
		}
	}
	require.Fail(r.t, "counters without "+pattern, r.log())
}

// sendRequest sends the first line of a request with that id.
func (r *process) sendRequest(id string, deadline int) *peer {
	r.t.Helper()
	client := r.dial()
	client.send(fmt.Sprintf("OPEN %s 7f3a c=feed,t=one,d=%d", id, deadline))
	return client
}

// A request that waits for a backend is not sent on once its client has left.
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
			assert.Contains(t, head, "OPEN 9b ", "the first that comes")
			assert.Empty(t, b.requests)
		})
	}
}

// Whatever ends an attempt, none follows for a client that left meanwhile.
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
			assert.Contains(t, head, "OPEN 9b ", "no further attempt before it")
			r.awaitCounters(`sent.tries=2`)
		})
	}
}

// A request whose time is over is answered, and no attempt follows when its backend speaks at last.
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

// A client may send in the very moment in which the relay closes its connection: the answer reaches it, and what
// it sent goes nowhere.
func TestRequestOnAConnectionThatIsClosed(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	resting := r.dial()
	require.Equal(t, "ERR", resting.receive(), "it has rested for too long")
	resting.send("OPEN 9a 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", resting.receive(), "no reset")
	resting.send("OPEN 9b 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", resting.receive())
	r.sendRequest("9c", 2000)
	_, head := b.awaitSession()
	assert.Contains(t, head, "OPEN 9c ", "nothing else was sent on")
}

// SIGTERM finds requests in every state; each is answered before the process ends, and the process ends.
func TestStopFindsRequestsInEveryState(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client, server := r.establish(b)
	begun := r.sendRequest("9a", 2000)
	tried, _ := b.awaitSession()
	half := r.dial()
	half.Write([]byte("OPEN 9b 7f3a c=fe"))
	r.awaitCounters(`in.heads=2`)
	r.signal(syscall.SIGTERM)
	r.awaitLog("msg=stopping")
	tried.send("UP late")
	assert.Equal(t, "UP late", begun.receive())
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b.address, "leaving")) // and a drain at the same time
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Equal(t, "end", server.receive())
	half.send("ed,t=one,d=1000")
	assert.Regexp(t, `^BUSY`, half.receive(), "taken in during the stop, with no backend left")
	assert.Equal(t, []string{"MOVE", "end"}, []string{begun.receive(), begun.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
}

// A backend that never answers does not hold a stop up, nor leave its client without an answer.
func TestStopWithAnAttemptThatHangs(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client := r.sendRequest("9a", 2000)
	b.awaitSession()
	from := time.Now()
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"BUSY 900", "end"}, []string{client.receive(), client.receive()})
	assert.Zero(t, r.awaitExit(), r.log())
	assert.Less(t, time.Since(from), 3500*time.Millisecond, "the race detector's second at the exit included")
}

// A reload in the middle of an attempt and of a standing connection changes neither, and the new discovery is
// heard though its first call is refused.
func TestReloadUnderRequests(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	client, server := r.establish(b1)
	begun := r.sendRequest("9a", 2000)
	tried, _ := b1.awaitSession()
	next := newDiscoveryStub(t, b1, b2)
	next.setStatus(503)
	from := time.Now()
	r.reload(next.relayConfig(0))
	next.awaitWatch(t)
	client.send("still here")
	assert.Equal(t, "still here", server.receive())
	tried.send("UP begun")
	assert.Equal(t, "UP begun", begun.receive(), "an attempt that is out goes on")
	next.setStatus(0)
	next.setEndpoints(next.endpoint("b1", b1.address, "leaving"), next.endpoint("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "MOVE"}, []string{client.receive(), begun.receive()}, "as their backend drains")
	r.establish(b2)
	assert.Less(t, time.Since(from), 4*time.Second)
}

// A watch that falls silent is noticed and opened anew, so that a drain is known within 6 s.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	r.establish(b1)
	r.discovery.muteWatches(t)
	from := time.Now()
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b1.address, "leaving"), r.discovery.endpoint("b2", b2.address, "active"))
	r.awaitLog(`msg="watch fell silent"`)
	for range b2.polls { // it has the list
		break
	}
	assert.Less(t, time.Since(from), 6*time.Second)
	r.establish(b2)
	assert.Empty(t, b1.requests, "nothing to one that drains")
}

// A list may come in any layout.
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

// Idle clients take all descriptors that they can get while discovery is down; when it is back the list is heard
// and requests are served, without anybody's help.
func TestCrowdOfIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 80, b1)
	r.establish(b1)
	r.discovery.setStatus(503)
	r.discovery.setEndpoints("{")
	r.awaitLog(`msg="watch failed" why="watch: status 503"`)
	stop := make(chan struct{})
	gone := make(chan struct{})
	go func() { // always as many as are let in
		defer close(gone)
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
				// The relay evicts nobody who came within its grace of 30 ms: on a fast machine 300 dials take less,
				// and clients that leave so soon are never in its way.
				time.Sleep(time.Until(idle[0].since.Add(200 * time.Millisecond)))
				idle[0].Close()
				idle = idle[1:]
			}
		}
	}()
	defer func() {
		close(stop)
		<-gone
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
