package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOneLink(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	front := r.dial()
	front.say("PING")
	assert.Equal(t, "PONG", front.hear())

	client := r.dial()
	client.say("OPEN 9b1f 7f3a c=feed,t=one,d=2000,g=5c")
	server, head := b.link()
	assert.Regexp(t, `^OPEN 9b1f 7f3a c=feed,t=one,d=19\d\d,g=5c$`, head)
	server.say("UP receipt", "LOAD 700")
	assert.Equal(t, []string{"UP receipt", "LOAD 700"}, []string{client.hear(), client.hear()})
	client.say("one", "two")
	assert.Equal(t, []string{"one", "two"}, []string{server.hear(), server.hear()})
	server.say("BYE")
	server.Close()
	assert.Equal(t, []string{"BYE", "end"}, []string{client.hear(), client.hear()})

	r.signal(syscall.SIGUSR1)
	said := r.wait(`msg=counters why=asked .*`)[0]
	for _, want := range []string{"in.pings=1", "in.heads=1", "sent.tries=1", "answered.satisfied=1",
		`"endings.served out"=1`, "sockets.standing=0"} {
		assert.Contains(t, said, want)
	}
	r.wait(`msg=backend name=b1 standing=0 trying=0 booked=0 "report age ms"=\S+ out=false`)
	r.signal(syscall.SIGTERM)
	assert.Zero(t, r.exit(), r.text())
	r.wait(`msg=counters why=exit .*`)
}

func TestEndsGoOnInKind(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	for _, c := range []struct {
		name string
		act  func(client, server *peer) string
		want string
	}{
		{"client ends", func(client, server *peer) string { client.Close(); return server.hear() }, "end"},
		{"client breaks", func(client, server *peer) string { client.reset(); return server.hear() }, "reset"},
		{"backend ends", func(client, server *peer) string { server.Close(); return client.hear() }, "end"},
		{"backend breaks", func(client, server *peer) string { server.reset(); return client.hear() }, "reset"},
		// Against an end told for a reset that stands right behind a line.
		{"backend breaks behind a line", func(client, server *peer) string {
			server.say("last")
			server.reset()
			first := client.hear()
			if first == "last" {
				first = client.hear()
			}
			return first
		}, "reset"},
	} {
		client, server := r.stands(b)
		from := time.Now()
		assert.Equal(t, c.want, c.act(client, server), c.name)
		assert.Less(t, time.Since(from), time.Second, c.name)
	}
}

func TestTriesOneAfterTheOther(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(*peer)
	}{
		{"turned down", func(p *peer) { p.say("BUSY") }},
		{"error", func(p *peer) { p.say("ERR") }},
		{"nonsense", func(p *peer) { p.say("WHAT") }},
		{"over-long", func(p *peer) { p.say(strings.Repeat("x", 5000)) }},
		{"ended", func(p *peer) { p.Close() }},
		{"broken", func(p *peer) { p.reset() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
			r := start(t, 0, b1, b2)
			client := r.dial()
			client.say("OPEN 9b1f 7f3a c=feed,t=one,d=2000")
			next := b2
			var p *peer
			select {
			case <-b1.heads:
				p = <-b1.links
			case <-b2.heads:
				p, next = <-b2.links, b1
			case <-time.After(soon):
				require.Fail(t, "no try")
			}
			c.act(p)
			server, _ := next.link()
			server.say("UP again")
			assert.Equal(t, "UP again", client.hear())
		})
	}
}

func TestBadClients(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	for _, line := range []string{"GET / HTTP/1.1", "OPEN 1 2 c=nothing,d=2000", "OPEN 1 2 c=feed,d=2000,d=3",
		"OPEN 1 2 c=feed,d=x", "OPEN 1 2 c=feed,t=two,d=2000", "OPEN 1 c=feed,d=2000", "OPEN 1 2 c=feed,d=99999999",
		strings.Repeat("OPEN 1 2 c=feed,d=2000\r\n", 300), strings.Repeat("PING\r\n", 300),
		strings.Repeat("x", 4096), strings.Repeat("x", 8<<20)} {
		client := r.dial()
		go client.Write([]byte(line + "\r\n")) // cut short by the close
		heard := client.hear()
		for heard == "PONG" {
			heard = client.hear()
		}
		assert.Equal(t, "ERR", heard, line[:8])
		assert.NotEqual(t, "ERR", client.hear(), "closed")
	}
	mute, trickle := r.dial(), r.dial()
	go func() {
		for _, err := trickle.Write([]byte("O")); err == nil; _, err = trickle.Write([]byte("P")) {
			time.Sleep(little)
		}
	}()
	from := time.Now()
	assert.Equal(t, []string{"ERR", "ERR"}, []string{mute.hear(), trickle.hear()})
	assert.Less(t, time.Since(from), 3*time.Second, "they hold a descriptor")
	half := r.dial()
	half.Write([]byte("OPEN 1 2 c=fe"))
	half.CloseWrite()
	assert.Equal(t, "end", half.hear(), "an end in mid-line")
	client := r.dial()
	client.say("OPEN 1 2 c=feed,t=one,d=600")
	server, _ := b.link()
	from = time.Now()
	twin := r.dial()
	twin.say("OPEN 1 2 c=feed,t=one,d=600")
	assert.Equal(t, "ERR", twin.hear(), "the id of an open link")
	assert.Regexp(t, `^BUSY`, client.hear(), "a backend that says nothing")
	assert.Less(t, time.Since(from), 650*time.Millisecond)
	assert.Equal(t, "end", server.hear())
	assert.Empty(t, b.heads, "nothing else was sent on")
	r.signal(syscall.SIGUSR1)
	r.wait(`"bad clients.no head"=2 "bad clients.half a head"=1 .*"bad clients.id in use"=1`)
}

// Against hundreds that connect and say nothing keeping the usual ones out.
func TestSilentClientsGiveWay(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 80, b)
	client, server := r.stands(b)
	var silent []*peer
	for range 200 {
		silent = append(silent, r.dial())
	}
	from := time.Now()
	r.stands(b)
	assert.Less(t, time.Since(from), 3*time.Second)
	client.say("still here")
	assert.Equal(t, "still here", server.hear())
	for _, p := range silent {
		assert.Contains(t, []string{"BUSY 900", "ERR"}, p.hear())
	}
	assert.Less(t, time.Since(from), 5*time.Second)
}

func TestPlannedStop(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	client, server := r.stands(b)
	client.say("one")
	assert.Equal(t, "one", server.hear())
	late := r.dial()
	from := time.Now()
	r.signal(syscall.SIGTERM)
	r.wait("msg=stopping")
	late.say("OPEN 1 2 c=feed,t=one,d=2000")
	other, _ := b.link()
	other.say("UP late")
	assert.Equal(t, []string{"UP late", "MOVE", "end"}, []string{late.hear(), late.hear(), late.hear()})
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()})
	assert.Equal(t, "end", server.hear())
	assert.Zero(t, r.exit(), r.text())
	assert.Less(t, time.Since(from), 3500*time.Millisecond)
	r.wait(`answered.moved=2`)
}

func TestKilledAndStartedAgain(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	client, server := r.stands(b)
	r.signal(syscall.SIGKILL)
	r.exit()
	assert.Equal(t, []string{"end", "end"}, []string{client.hear(), server.hear()}, "nothing is left half open")
	again := start(t, 0, b)
	before := again.dial()
	before.say("OPEN 9b1f 7f3a c=feed,t=one,d=2000,at=b1")
	server, head := b.link()
	assert.Equal(t, "OPEN 9b1f 7f3a c=feed,t=one,d=2000,at=b1", head)
	server.say("UP receipt")
	assert.Equal(t, "UP receipt", before.hear())
	again.stands(b)
}

func TestBackendLeaves(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 0, b1)
	client, server := r.stands(b1)
	server.Write([]byte("half a li"))
	r.list.set(r.list.entry("b1", b1.address, "leaving"), r.list.entry("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()}, "between two lines")
	r.stands(b2)
}

func TestDescriptorsRunOut(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 44, b) // 32 of them are the relay's own, 4 for clients that are told to come again
	<-b.probed           // that connection counts too
	var clients, servers []*peer
	for range 3 {
		client, server := r.stands(b)
		clients, servers = append(clients, client), append(servers, server)
	}
	var idle []*peer
	for i := range 20 {
		full := r.dial()
		full.say(fmt.Sprintf("OPEN 1%d 2 c=feed,t=one,d=2000", i))
		idle = append(idle, full, r.dial())
		if len(idle) < 9 {
			assert.Equal(t, []string{"BUSY 900", "end"}, []string{full.hear(), full.hear()})
		}
	}
	clients[0].say("still here")
	assert.Equal(t, "still here", servers[0].hear())
	clients[1].Close()
	for i, p := range idle {
		if i%2 == 1 {
			p.Close()
		}
	}
	go func() {
		for range b.heads {
			(<-b.links).Write([]byte("UP late\r\n"))
		}
	}()
	for i := 10; i < len(idle); i += 2 {
		assert.Contains(t, []string{"UP late", "BUSY 900"}, idle[i].hear(), "none of those that waited is lost")
		idle[i].Close()
	}
	r.signal(syscall.SIGUSR1)
	r.wait(`in.holds=[1-9]`)
}

// Against a reader that takes nothing in filling the relay's memory.
func TestSlowReader(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	_, server := r.stands(b)
	line := []byte(strings.Repeat("x", 4000) + "\r\n")
	server.SetWriteDeadline(time.Now().Add(soon))
	sent, err := 0, error(nil)
	for ; sent < 64<<20 && err == nil; sent += len(line) {
		_, err = server.Write(line)
	}
	assert.ErrorContains(t, err, "reset", "cut off after %d bytes", sent)
	r.signal(syscall.SIGUSR1)
	r.wait(`"endings.slow reader"=1`)
}

// Against SIGHUP ending the program, a bad file taking anything away, and the former discovery being kept.
func TestReload(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := start(t, 0, b1)
	client, server := r.stands(b1)
	r.list.set(r.list.entry("b1", b1.address, "active")) // versions of the next count from 1
	for i, c := range []struct{ text, field string }{{`{"name":`, "config.json"}, {"", "config.json"},
		{strings.Replace(r.list.config(0), `"seed"`, `"seeds"`, 1), "seed"},
		{strings.Replace(r.list.config(0), `"probes":true`, `"probes":7`, 1), "limits.probes"}} {
		r.reload(c.text)
		r.wait(fmt.Sprintf(`(?s)(reload refused.*){%d}`, i+1)) // each is read before the next replaces it
		r.wait(`reload refused.*` + c.field)
	}
	former, next := r.list, newList(t, b1, b2)
	r.reload(next.config(0))
	next.watched(t)
	r.reload(next.config(0))
	r.wait(`msg=reloaded .*changed=false`)
	next.set(next.entry("b1", b1.address, "active"), next.entry("b2", b2.address, "active"))
	client.say("still here")
	assert.Equal(t, "still here", server.hear())
	former.set(former.entry("b1", b1.address, "leaving")) // nobody listens to it
	next.set(next.entry("b1", b1.address, "leaving"), next.entry("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()})
	r.stands(b2)
	r.signal(syscall.SIGTERM)
	r.wait("msg=stopping")
	r.reload(former.config(0))
	r.wait(`msg=reloaded .*changed=true`)
	assert.Zero(t, r.exit(), r.text())
	r.wait(`in.reloads=3 "in.bad reloads"=4`)
}

func TestDiscoveryDown(t *testing.T) {
	b := newBackend(t, "b1")
	r := start(t, 0, b)
	r.stands(b)
	r.list.watched(t) // against a relay that finds it down from the start, and no watch to break
	r.list.answer(503)
	r.list.set("{") // ends the watch with broken JSON
	r.wait(`msg="watch failed" why="list: `)
	r.wait(`msg="watch failed" why="watch: status 503"`)
	r.stands(b)
	r.list.answer(0)
	b2 := newBackend(t, "b2")
	r.list.set(r.list.entry("b2", b2.address, "active"))
	until := time.Now().Add(soon)
	for found := false; !found; time.Sleep(little) {
		client := r.dial()
		client.say("OPEN 1 2 c=feed,t=one,d=2000")
		select {
		case <-b2.heads:
			(<-b2.links).say("UP found")
			found = true
		case <-b.heads:
			(<-b.links).Close()
		case <-time.After(little):
		}
		require.True(t, time.Now().Before(until), r.text())
	}
}

func TestBadConfiguration(t *testing.T) {
	for text, field := range map[string]string{`{`: "config.json", `{"name":"n"}`: "listen",
		`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}`: "settings: "} {
		r := run(t, text)
		assert.Equal(t, 1, r.exit(), text)
		assert.Contains(t, r.text(), field)
	}
}

// Operators are answered within their second while clients flood the relay and callers stall, the figures are
// what the peers saw, and a drained relay empties itself and comes back.
func TestOperatorsCalls(t *testing.T) {
	b := newBackend(t, "b1")
	l := newList(t, b)
	l.ops = "127.0.0.1:0"
	r := run(t, l.config(200))
	address := r.wait(`msg="admin API listening" listen=(\S+)`)[1]
	r.address = r.wait(`msg=serving .*listen=(\S+)`)[1]
	client, _ := r.stands(b)
	for range 20 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		c.Write([]byte("GET /_vars HTTP/1.1\r\n"))
	}
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for range 8 {
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", r.address); err == nil {
					c.Write([]byte(strings.Repeat("PING\r\n", 100)))
					c.Close()
				}
			}
		})
	}
	call := func(method, path string) string {
		t.Helper()
		request, err := http.NewRequest(method, "http://"+address+path, nil)
		require.NoError(t, err)
		from := time.Now()
		answer, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{}}).Do(request)
		require.NoError(t, err, "after %v", time.Since(from))
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		return fmt.Sprint(answer.StatusCode, " ", string(body))
	}
	for range 20 {
		assert.Contains(t, call("GET", "/_vars"), "relay.served.feed:1|c\nrelay.refused.feed:0|c\n")
		assert.Equal(t, "200 ready\n", call("GET", "/_ready"))
	}
	close(stop)
	flood.Wait()
	assert.Contains(t, call("POST", "/_lameduck/on"), "200")
	assert.Contains(t, call("GET", "/_ready"), "503")
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.hear(), client.hear()})
	assert.Contains(t, call("GET", "/_vars"),
		"relay.attempts:1|c\nrelay.in_flight:0|g\nrelay.backends_known:1|g\n")
	assert.Contains(t, call("POST", "/_lameduck/off"), "200")
	assert.Contains(t, call("GET", "/_ready"), "200")
	r.stands(b)
	r.signal(syscall.SIGTERM)
	r.wait("msg=stopping")
	assert.Contains(t, call("POST", "/_lameduck/off"), "409")
}
