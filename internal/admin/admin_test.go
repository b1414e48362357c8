package admin

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type stub struct {
	ready, lame, stopping atomic.Bool
}

func (s *stub) IsReady() bool { return s.ready.Load() }
func (s *stub) Metrics() []Metric {
	return []Metric{{"served.chat", 812, true}, {"refused.chat", 0, true}, {"in_flight", 14, false}}
}
func (s *stub) SetDraining(on bool) error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	s.lame.Store(on)
	return nil
}

func (s *stub) FleetStatus() any {
	if s.lame.Load() {
		return nil
	}
	return map[string]int{"Boot": 3}
}

func (s *stub) ReplicatedRecords(part int) any {
	if part == 0 {
		return nil
	}
	return map[string]int{"Part": part}
}

func serve(t *testing.T) (*stub, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &stub{}
	go Serve(listener, s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return s, listener.Addr().String()
}

// call makes one call, with a second for it as operators have, and gives its status and body.
func call(t *testing.T, address, method, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	require.NoError(t, err)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	answer, err := client.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	assert.True(t, answer.Close, "one call to a connection")
	return answer.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	s, address := serve(t)
	for _, c := range []struct {
		name         string
		set          func()
		method, path string
		status       int
		body         string
	}{
		{"not ready", func() {}, "GET", "/_ready", 503, "not ready\n"},
		{"ready", func() { s.ready.Store(true) }, "GET", "/_ready", 200, "ready\n"},
		{"figures", func() {}, "GET", "/_vars", 200,
			"relay.served.chat:812|c\nrelay.refused.chat:0|c\nrelay.in_flight:14|g\n"},
		{"on", func() {}, "POST", "/_lameduck/on", 200, "on\n"},
		{"off", func() {}, "POST", "/_lameduck/off", 200, "off\n"},
		{"refused", func() { s.stopping.Store(true) }, "POST", "/_lameduck/off", 409, "stopping\n"},
		{"holdings", func() {}, "GET", "/_holdings?part=7", 200, "{\"Part\":7}\n"},
		{"nothing held", func() {}, "GET", "/_holdings?part=0", 404, "404 page not found\n"},
		{"no part", func() {}, "GET", "/_holdings?part=-1", 400, "part: a number from 0 on expected\n"},
		{"other method", func() {}, "GET", "/_lameduck/on", 405, "Method Not Allowed\n"},
		{"other method", func() {}, "POST", "/_vars", 405, "Method Not Allowed\n"},
		{"other path", func() {}, "GET", "/_lameduck", 404, "404 page not found\n"},
	} {
		c.set()
		status, body := call(t, address, c.method, c.path)
		assert.Equal(t, c.status, status, c.name)
		assert.Equal(t, c.body, body, c.name)
	}
	assert.False(t, s.lame.Load())
}

// Against callers that never finish a call keeping out those that do, or holding their descriptors for good.
func TestStalledCallers(t *testing.T) {
	s, address := serve(t)
	s.ready.Store(true)
	var stalled []net.Conn
	for i := range 4 * maxConns {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, "GET /_ready HTTP/1.1\r\nHost: x\r\n"[:i%30])
		stalled = append(stalled, c)
		if i%8 == 7 {
			status, _ := call(t, address, "GET", "/_ready")
			assert.Equal(t, 200, status)
		}
	}
	from := time.Now()
	for i, c := range stalled {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		for err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		assert.False(t, strings.Contains(err.Error(), "timeout"), "%d is still open", i)
		if i < len(stalled)-maxConns {
			assert.Less(t, time.Since(from), callTimeout/2, "%d", i) // let go for those that came later
		}
	}
	assert.Less(t, time.Since(from), callTimeout+2*time.Second)
}
