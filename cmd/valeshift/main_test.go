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

// A ping, a whole session and a shutdown, with the counters that the relay logs for them.
func TestOneSession(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	prober := r.dial()
	prober.send("PING")
	assert.Equal(t, "PONG", prober.receive())

	client := r.dial()
	client.send("OPEN 9b1f 7f3a c=feed,t=one,d=2000,g=5c")
	server, head := b.awaitSession()
	assert.Regexp(t, `^OPEN 9b1f 7f3a c=feed,t=one,d=19\d\d,g=5c$`, head)
	server.send("UP receipt", "LOAD 700")
	assert.Equal(t, []string{"UP receipt", "LOAD 700"}, []string{client.receive(), client.receive()})
	client.send("one", "two")
	assert.Equal(t, []string{"one", "two"}, []string{server.receive(), server.receive()})
	server.send("BYE")
	server.Close()
	assert.Equal(t, []string{"BYE", "end"}, []string{client.receive(), client.receive()})

	r.signal(syscall.SIGUSR1)
	counters := r.awaitLog(`msg=counters why=asked .*`)[0]
	for _, want := range []string{"in.pings=1", "in.heads=1", "sent.tries=1", "answered.satisfied=1",
		`"endings.served out"=1`, "sockets.standing=0"} {
		assert.Contains(t, counters, want)
	}
	r.awaitLog(`msg=backend name=b1 standing=0 trying=0 booked=0 "report age ms"=\S+ out=false`)
	r.signal(syscall.SIGTERM)
	assert.Zero(t, r.awaitExit(), r.log())
	r.awaitLog(`msg=counters why=exit .*`)
}

// The end of one connection of a session reaches the other one as what it was: an orderly end or a reset.
func TestEndsAndResetsAreForwarded(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	for _, c := range []struct {
		name string
		act  func(client, server *peer) string
		want string
	}{
		{"client ends", func(client, server *peer) string { client.Close(); return server.receive() }, "end"},
		{"client resets", func(client, server *peer) string { client.reset(); return server.receive() }, "reset"},
		{"backend ends", func(client, server *peer) string { server.Close(); return client.receive() }, "end"},
		{"backend resets", func(client, server *peer) string { server.reset(); return client.receive() }, "reset"},
		// A reset right after a line must not be forwarded as an orderly end.
		{"backend resets behind a line", func(client, server *peer) string {
			server.send("last")
			server.reset()
			first := client.receive()
			if first == "last" {
				first = client.receive()
			}
			return first
		}, "reset"},
	} {
		client, server := r.establish(b)
		from := time.Now()
		assert.Equal(t, c.want, c.act(client, server), c.name)
		assert.Less(t, time.Since(from), time.Second, c.name)
	}
}

// However the first attempt fails, the next one goes to the other backend.
func TestAttemptsOneAfterTheOther(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(*peer)
	}{
		{"rejected", func(p *peer) { p.send("BUSY") }},
		{"error", func(p *peer) { p.send("ERR") }},
		{"nonsense", func(p *peer) { p.send("WHAT") }},
		{"over-long", func(p *peer) { p.send(strings.Repeat("x", 5000)) }},
		{"ended", func(p *peer) { p.Close() }},
		{"broken", func(p *peer) { p.reset() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
			r := startRelay(t, 0, b1, b2)
			client := r.dial()
			client.send("OPEN 9b1f 7f3a c=feed,t=one,d=2000")
			next := b2
			var p *peer
			select {
			case <-b1.requests:
				p = <-b1.sessions
			case <-b2.requests:
				p, next = <-b2.sessions, b1
			case <-time.After(longWait):
				require.Fail(t, "no attempt")
			}
			c.act(p)
			server, _ := next.awaitSession()
			server.send("UP again")
			assert.Equal(t, "UP again", client.receive())
		})
	}
}

// Malformed, over-long, incomplete and missing requests, and one with the ID of an open session, are refused in time
// and not forwarded.
func TestInvalidRequestsAreRejected(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	for _, line := range []string{"GET / HTTP/1.1", "OPEN 1 2 c=nothing,d=2000", "OPEN 1 2 c=feed,d=2000,d=3",
		"OPEN 1 2 c=feed,d=x", "OPEN 1 2 c=feed,t=two,d=2000", "OPEN 1 c=feed,d=2000", "OPEN 1 2 c=feed,d=99999999",
		strings.Repeat("OPEN 1 2 c=feed,d=2000\r\n", 300), strings.Repeat("PING\r\n", 300),
		strings.Repeat("x", 4096), strings.Repeat("x", 8<<20)} {
		client := r.dial()
		go client.Write([]byte(line + "\r\n")) // fails once the relay has closed the connection
		received := client.receive()
		for received == "PONG" {
			received = client.receive()
		}
		assert.Equal(t, "ERR", received, line[:8])
		assert.NotEqual(t, "ERR", client.receive(), "closed")
	}
	silent, trickling := r.dial(), r.dial()
	go func() {
		for _, err := trickling.Write([]byte("O")); err == nil; _, err = trickling.Write([]byte("P")) {
			time.Sleep(shortWait)
		}
	}()
	from := time.Now()
	assert.Equal(t, []string{"ERR", "ERR"}, []string{silent.receive(), trickling.receive()})
	assert.Less(t, time.Since(from), 3*time.Second, "each of them holds a descriptor")
	half := r.dial()
	half.Write([]byte("OPEN 1 2 c=fe"))
	half.CloseWrite()
	assert.Equal(t, "end", half.receive(), "an end in the middle of a line")
	client := r.dial()
	client.send("OPEN 1 2 c=feed,t=one,d=600")
	server, _ := b.awaitSession()
	from = time.Now()
	duplicate := r.dial()
	duplicate.send("OPEN 1 2 c=feed,t=one,d=600")
	assert.Equal(t, "ERR", duplicate.receive(), "the id of an open session")
	assert.Regexp(t, `^BUSY`, client.receive(), "a backend that never answers")
	assert.Less(t, time.Since(from), 650*time.Millisecond)
	assert.Equal(t, "end", server.receive())
	assert.Empty(t, b.requests, "nothing else was forwarded")
	r.signal(syscall.SIGUSR1)
	r.awaitLog(`"bad clients.no head"=2 "bad clients.half a head"=1 .*"bad clients.id in use"=1`)
}

// Hundreds of clients that connect and send nothing don't keep other clients from being served.
func TestSilentClientsGiveWay(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 80, b)
	client, server := r.establish(b)
	var silent []*peer
	for range 200 {
		silent = append(silent, r.dial())
	}
	from := time.Now()
	r.establish(b)
	assert.Less(t, time.Since(from), 3*time.Second)
	client.send("still here")
	assert.Equal(t, "still here", server.receive())
	for _, p := range silent {
		assert.Contains(t, []string{"BUSY 900", "ERR"}, p.receive())
	}
	assert.Less(t, time.Since(from), 5*time.Second)
}

// At SIGTERM established sessions are migrated, and a request on an open connection is still served.
func TestGracefulShutdown(t *testing.T) {
	withoutExitSleep(t)
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client, server := r.establish(b)
	client.send("one")
	assert.Equal(t, "one", server.receive())
	late := r.dial()
	from := time.Now()
	r.signal(syscall.SIGTERM)
	r.awaitLog("msg=stopping")
	late.send("OPEN 1 2 c=feed,t=one,d=2000")
	other, _ := b.awaitSession()
	other.send("UP late")
	assert.Equal(t, []string{"UP late", "MOVE", "end"}, []string{late.receive(), late.receive(), late.receive()})
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Equal(t, "end", server.receive())
	assert.Zero(t, r.awaitExit(), r.log())
	assert.Less(t, time.Since(from), longestShutdown)
	r.awaitLog(`answered.moved=2`)
}

// After SIGKILL both ends of a session see it end, and a new process serves the returning client.
func TestRestartAfterAKill(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	client, server := r.establish(b)
	r.signal(syscall.SIGKILL)
	r.awaitExit()
	assert.Equal(t, []string{"end", "end"}, []string{client.receive(), server.receive()}, "no connection stays half open")
	restarted := startRelay(t, 0, b)
	returning := restarted.dial()
	returning.send("OPEN 9b1f 7f3a c=feed,t=one,d=2000,at=b1")
	server, head := b.awaitSession()
	assert.Equal(t, "OPEN 9b1f 7f3a c=feed,t=one,d=2000,at=b1", head)
	server.send("UP receipt")
	assert.Equal(t, "UP receipt", returning.receive())
	restarted.establish(b)
}

// The sessions of a draining backend are migrated between two lines; an incomplete line is not forwarded.
func TestDrainingBackendIsLeft(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	client, server := r.establish(b1)
	server.Write([]byte("half a li"))
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b1.address, "leaving"), r.discovery.endpoint("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()}, "between two lines")
	r.establish(b2)
}

// When the descriptors run out, new requests wait or get BUSY, none of them is lost, and established sessions go on.
func TestDescriptorsRunOut(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 44, b) // 32 are for the relay itself, and 4 for clients that are told to retry later
	<-b.polls                 // the connection of the load poll counts as well
	var clients, servers []*peer
	for range 3 {
		client, server := r.establish(b)
		clients, servers = append(clients, client), append(servers, server)
	}
	var idle []*peer
	for i := range 20 {
		waiting := r.dial()
		waiting.send(fmt.Sprintf("OPEN 1%d 2 c=feed,t=one,d=2000", i))
		idle = append(idle, waiting, r.dial())
		if len(idle) < 9 {
			assert.Equal(t, []string{"BUSY 900", "end"}, []string{waiting.receive(), waiting.receive()})
		}
	}
	clients[0].send("still here")
	assert.Equal(t, "still here", servers[0].receive())
	clients[1].Close()
	for i, p := range idle {
		if i%2 == 1 {
			p.Close()
		}
	}
	go func() {
		for range b.requests {
			(<-b.sessions).Write([]byte("UP late\r\n"))
		}
	}()
	for i := 10; i < len(idle); i += 2 {
		assert.Contains(t, []string{"UP late", "BUSY 900"}, idle[i].receive(), "no waiting request is lost")
		idle[i].Close()
	}
	r.signal(syscall.SIGUSR1)
	r.awaitLog(`in.holds=[1-9]`)
}

// A client that stops reading is disconnected, instead of filling the relay's memory with what is sent to it.
func TestSlowReaderIsCutOff(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	_, server := r.establish(b)
	line := []byte(strings.Repeat("x", 4000) + "\r\n")
	server.SetWriteDeadline(time.Now().Add(longWait))
	sent, err := 0, error(nil)
	for ; sent < 64<<20 && err == nil; sent += len(line) {
		_, err = server.Write(line)
	}
	assert.ErrorContains(t, err, "reset", "cut off after %d bytes", sent)
	r.signal(syscall.SIGUSR1)
	r.awaitLog(`"endings.slow reader"=1`)
}

// SIGHUP doesn't end the process, an invalid file changes nothing, and after a valid one the former discovery is not
// watched any more.
func TestReload(t *testing.T) {
	b1, b2 := newBackend(t, "b1"), newBackend(t, "b2")
	r := startRelay(t, 0, b1)
	client, server := r.establish(b1)
	r.discovery.setEndpoints(r.discovery.endpoint("b1", b1.address, "active")) // version 2; the next discovery starts at 1
	for i, c := range []struct{ text, field string }{{`{"name":`, "config.json"}, {"", "config.json"},
		{strings.Replace(r.discovery.relayConfig(0), `"seed"`, `"seeds"`, 1), "seed"},
		{strings.Replace(r.discovery.relayConfig(0), `"probes":true`, `"probes":7`, 1), "limits.probes"}} {
		r.reload(c.text)
		r.awaitLog(fmt.Sprintf(`(?s)(reload refused.*){%d}`, i+1)) // wait until the file has been read, before the next one replaces it
		r.awaitLog(`reload refused.*` + c.field)
	}
	former, next := r.discovery, newDiscoveryStub(t, b1, b2)
	r.reload(next.relayConfig(0))
	next.awaitWatch(t)
	r.reload(next.relayConfig(0))
	r.awaitLog(`msg=reloaded .*changed=false`)
	next.setEndpoints(next.endpoint("b1", b1.address, "active"), next.endpoint("b2", b2.address, "active"))
	client.send("still here")
	assert.Equal(t, "still here", server.receive())
	former.setEndpoints(former.endpoint("b1", b1.address, "leaving")) // must have no effect
	next.setEndpoints(next.endpoint("b1", b1.address, "leaving"), next.endpoint("b2", b2.address, "active"))
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	r.establish(b2)
	r.signal(syscall.SIGTERM)
	r.awaitLog("msg=stopping")
	r.reload(former.relayConfig(0))
	r.awaitLog(`msg=reloaded .*changed=true`)
	assert.Zero(t, r.awaitExit(), r.log())
	r.awaitLog(`in.reloads=3 "in.bad reloads"=4`)
}

// While discovery is down the relay serves with the last list, and it follows the new list once discovery is back.
func TestDiscoveryDown(t *testing.T) {
	b := newBackend(t, "b1")
	r := startRelay(t, 0, b)
	r.establish(b)
	r.discovery.awaitWatch(t) // the watch must be open before discovery goes down, so that it can break
	r.discovery.setStatus(503)
	r.discovery.setEndpoints("{") // ends the watch with broken JSON
	r.awaitLog(`msg="watch failed" why="list: `)
	r.awaitLog(`msg="watch failed" why="watch: status 503"`)
	r.establish(b)
	r.discovery.setStatus(0)
	b2 := newBackend(t, "b2")
	r.discovery.setEndpoints(r.discovery.endpoint("b2", b2.address, "active"))
	until := time.Now().Add(longWait)
	for found := false; !found; time.Sleep(shortWait) {
		client := r.dial()
		client.send("OPEN 1 2 c=feed,t=one,d=2000")
		select {
		case <-b2.requests:
			(<-b2.sessions).send("UP found")
			found = true
		case <-b.requests:
			(<-b.sessions).Close()
		case <-time.After(shortWait):
		}
		require.True(t, time.Now().Before(until), r.log())
	}
}

// With an invalid configuration the process logs the invalid field and exits with 1.
func TestInvalidConfiguration(t *testing.T) {
	for text, field := range map[string]string{`{`: "config.json", `{"name":"n"}`: "listen",
		`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}`: "settings: "} {
		r := startProcess(t, text)
		assert.Equal(t, 1, r.awaitExit(), text)
		assert.Contains(t, r.log(), field)
	}
}

// The admin API answers within a second while clients flood the relay and other callers stall, its metrics match what
// clients and backends saw, and it makes the relay drain and return to service.
func TestAdminAPI(t *testing.T) {
	b := newBackend(t, "b1")
	discovery := newDiscoveryStub(t, b)
	discovery.adminAddress = "127.0.0.1:0"
	r := startProcess(t, discovery.relayConfig(200))
	address := r.awaitLog(`msg="admin API listening" listen=(\S+)`)[1]
	r.address = r.awaitLog(`msg=serving .*listen=(\S+)`)[1]
	client, _ := r.establish(b)
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
	assert.Equal(t, []string{"MOVE", "end"}, []string{client.receive(), client.receive()})
	assert.Contains(t, call("GET", "/_vars"),
		"relay.attempts:1|c\nrelay.in_flight:0|g\nrelay.backends_known:1|g\n")
	assert.Contains(t, call("POST", "/_lameduck/off"), "200")
	assert.Contains(t, call("GET", "/_ready"), "200")
	r.establish(b)
	r.signal(syscall.SIGTERM)
	r.awaitLog("msg=stopping")
	assert.Contains(t, call("POST", "/_lameduck/off"), "409")
}
