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

// counted waits until the relay's counters say so.
func (r *process) counted(pattern string) {
	r.t.Helper()
	want := compiled(`why=asked .*` + pattern)
	for until := time.Now().Add(soon); time.Now().Before(until); {
		before := r.text()
		r.signal(syscall.SIGUSR1)
		said := ""
		for said == "" && time.Now().Before(until) {
			said = compiled(`why=asked .*\n`).FindString(r.text()[len(before):])
			time.Sleep(time.Millisecond)
		}
		if want.MatchString(said) {
			return
		}
	}
	require.Fail(r.t, "counters without "+pattern, r.text())
}

// asks sends the first line of a request with that id.
func (r *process) asks(id string, deadline int) *peer {
	r.t.Helper()
	client := r.dial()
	client.say(fmt.Sprintf("OPEN %s 7f3a c=feed,t=one,d=%d", id, deadline))
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
			r := start(t, 0)
			client := r.asks("9a", 2000)
			r.counted(`in.heads=1`)
			c.leave(client)
			r.counted(`answered.unwanted=1`)
			b := newBackend(t, "b1")
			r.list.set(r.list.entry("b1", b.address, "active"))
			r.asks("9b", 2000)
			_, head := b.link()
			assert.Contains(t, head, "OPEN 9b ", "the first that comes")
			assert.Empty(t, b.heads)
		})
	}
}

// Whatever ends an attempt, none follows for a client that left meanwhile.
func TestClientLeavesBeforeItsAttemptFails(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(*peer)
	}{
		{"turned away", func(p *peer) { p.say("BUSY") }},
		{"error", func(p *peer) { p.say("ERR") }},
		{"end", func(p *peer) { p.Close() }},
		{"reset", func(p *peer) { p.reset() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, "b1")
			r := start(t, 0, b)
			client := r.asks("9a", 2000)
			server, _ := b.link()
			client.Close()
			r.counted(`answered.unwanted=1`)
			c.fail(server)
			r.asks("9b", 2000)
			_, head := b.link()
			assert.Contains(t, head, "OPEN 9b ", "no further attempt before it")
			r.counted(`sent.tries=2`)
		})
	}
}

// A request whose time is over is answered, and no attempt follows when its backend speaks at last.
func TestDeadlineBeforeTheBackendsAnswer(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	client := r.asks("9a", 300)
	server, _ := b.link()
	assert.Equal(t, []string{"BUSY 900", "end"}, []string{client.hear(), client.hear()})
	server.say("UP late")
	r.asks("9b", 2000)
	_, head := b.link()
	assert.Contains(t, head, "OPEN 9b ")
}

// A client may send in the very moment in which the relay closes its connection: the answer reaches it, and what
// it sent goes nowhere.
func TestRequestOnAConnectionThatIsClosed(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	resting := r.dial()
	require.Equal(t, "ERR", resting.hear(), "it has rested for too long")
	resting.say("OPEN 9a 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", resting.hear(), "no reset")
	resting.say("OPEN 9b 7f3a c=feed,t=one,d=2000")
	assert.Equal(t, "end", resting.hear())
	r.asks("9c", 2000)
	_, head := b.link()
	assert.Contains(t, head, "OPEN 9c ", "nothing else was sent on")
}

// SIGTERM finds requests in every state; each is answered before the process ends, and the process ends.
func TestStopFindsRequestsInEveryState(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	client, server := r.stands(b)
	begun := r.asks("9a", 2000)
	tried, _ := b.link()
	half := r.dial()
	half.Write([]byte("OPEN 9b 7f3a c=fe"))
	r.counted(`in.heads=2`)
	r.signal(syscall.SIGTERM)
	r.wait("msg=stopping")
	tried.say("UP late")
	assert.Equal(t, "UP late", begun.hear())
	r.list.set(r.list.entry("b1", b.address, "leaving")) // and a drain at the same time
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()})
	assert.Equal(t, "end", server.hear())
	half.say("ed,t=one,d=1000")
	assert.Regexp(t, `^BUSY`, half.hear(), "taken in during the stop, with no backend left")
	assert.Equal(t, []string{"MOVE", "end"}, []string{begun.hear(), begun.hear()})
	assert.Zero(t, r.exit(), r.text())
}

// A backend that never answers does not hold a stop up, nor leave its client without an answer.
func TestStopWithAnAttemptThatHangs(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	client := r.asks("9a", 2000)
	b.link()
	from := time.Now()
	r.signal(syscall.SIGTERM)
	assert.Equal(t, []string{"BUSY 900", "end"}, []string{client.hear(), client.hear()})
	assert.Zero(t, r.exit(), r.text())
	assert.Less(t, time.Since(from), 3500*time.Millisecond, "the race detector's second at the exit included")
}

// A reload in the middle of an attempt and of a standing connection changes neither, and the new discovery is
// heard though its first call is refused.
func TestReloadUnderRequests(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 0, b1)
	client, server := r.stands(b1)
	begun := r.asks("9a", 2000)
	tried, _ := b1.link()
	next := newList(t, b1, b2)
	next.answer(503)
	from := time.Now()
	r.reload(next.config(0))
	next.watched(t)
	client.say("still here")
	assert.Equal(t, "still here", server.hear())
	tried.say("UP begun")
	assert.Equal(t, "UP begun", begun.hear(), "an attempt that is out goes on")
	next.answer(0)
	next.set(next.entry("b1", b1.address, "leaving"), next.entry("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "MOVE"}, []string{client.hear(), begun.hear()}, "as their backend drains")
	r.stands(b2)
	assert.Less(t, time.Since(from), 4*time.Second)
}

// A watch that falls silent is noticed and opened anew, so that a drain is known within 6 s.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 0, b1)
	r.stands(b1)
	r.list.mute(t)
	from := time.Now()
	r.list.set(r.list.entry("b1", b1.address, "leaving"), r.list.entry("b2", b2.address, "active"))
	r.wait(`msg="watch fell silent"`)
	for range b2.probed { // it has the list
		break
	}
	assert.Less(t, time.Since(from), 6*time.Second)
	r.stands(b2)
	assert.Empty(t, b1.heads, "nothing to one that drains")
}

// A list may come in any layout.
func TestIndentedList(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 0, b1)
	r.stands(b1)
	r.list.indent()
	r.list.set(r.list.entry("b1", b1.address, "leaving"), r.list.entry("b2", b2.address, "active"))
	<-b2.probed
	r.stands(b2)
	assert.NotContains(t, r.text(), "watch failed")
}

// Idle clients take all descriptors that they can get while discovery is down; when it is back the list is heard
// and requests are served, without anybody's help.
func TestCrowdOfIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 80, b1)
	r.stands(b1)
	r.list.answer(503)
	r.list.set("{")
	r.wait(`msg="watch failed" why="watch: status 503"`)
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
			c, err := net.DialTimeout("tcp", r.address, little)
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
	r.wait(`msg="client rejected" why="pushed out"`)
	r.list.answer(0)
	from := time.Now()
	r.list.set(r.list.entry("b2", b2.address, "active"))
	<-b2.probed
	assert.Less(t, time.Since(from), 6*time.Second)
	require.Eventually(t, func() bool {
		client := r.asks("9a", 2000)
		defer client.Close()
		select {
		case <-b2.heads:
			server := <-b2.links
			server.say("UP served")
			return client.hear() == "UP served"
		case <-time.After(little):
			return false
		}
	}, soon, time.Millisecond)
	limit, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(limit), 80, "descriptors")
}
