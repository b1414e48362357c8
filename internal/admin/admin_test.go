package admin

import (
	"bufio"
	"context"
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

// stubRelay is a Relay that has no replicated records in part 0 and no fleet status while it drains.
type stubRelay struct {
	ready, draining, stopping atomic.Bool
}

func (s *stubRelay) IsReady() bool { return s.ready.Load() }
func (s *stubRelay) Metrics() []Metric {
	return []Metric{{"served.chat", 812, true}, {"refused.chat", 0, true}, {"in_flight", 14, false}}
}
func (s *stubRelay) SetDraining(draining bool) error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	s.draining.Store(draining)
	return nil
}

func (s *stubRelay) FleetStatus() any {
	if s.draining.Load() {
		return nil
	}
	return map[string]int{"Boot": 3}
}

func (s *stubRelay) ReplicatedRecords(part int) any {
	if part == 0 {
		return nil
	}
	return map[string]int{"Part": part}
}

// serve serves the admin API of a stub until the test ends, and returns the stub and the API's address.
func serve(t *testing.T) (*stubRelay, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := &stubRelay{}
	go func() { ended <- Serve(ctx, listener, s, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return s, listener.Addr().String()
}

// If the listener fails, Serve returns its error.
func TestServeReportsTheListenersError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	err = Serve(context.Background(), listener, &stubRelay{}, slog.New(slog.DiscardHandler))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// call makes one call and returns its status and body. Its timeout is one second, as long as operators wait.
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
	assert.True(t, answer.Close, "the connection must be closed after one call")
	return answer.StatusCode, string(body)
}

func TestAnswers(t *testing.T) {
	s, address := serve(t)
	for _, tt := range []struct {
		name         string
		prepare      func()
		method, path string
		status       int
		body         string
	}{
		{"not ready", func() {}, "GET", "/_ready", 503, "not ready\n"},
		{"ready", func() { s.ready.Store(true) }, "GET", "/_ready", 200, "ready\n"},
		{"metrics", func() {}, "GET", "/_vars", 200,
			"relay.served.chat:812|c\nrelay.refused.chat:0|c\nrelay.in_flight:14|g\n"},
		{"drain", func() {}, "POST", "/_lameduck/on", 200, "on\n"},
		{"back into service", func() {}, "POST", "/_lameduck/off", 200, "off\n"},
		{"back into service while it stops", func() { s.stopping.Store(true) }, "POST", "/_lameduck/off", 409, "stopping\n"},
		{"replicated records", func() {}, "GET", "/_holdings?part=7", 200, "{\"Part\":7}\n"},
		{"no replicated records", func() {}, "GET", "/_holdings?part=0", 404, "404 page not found\n"},
		{"not a part", func() {}, "GET", "/_holdings?part=-1", 400, "part: a number from 0 on expected\n"},
		{"wrong method of a drain", func() {}, "GET", "/_lameduck/on", 405, "Method Not Allowed\n"},
		{"wrong method of the metrics", func() {}, "POST", "/_vars", 405, "Method Not Allowed\n"},
		{"other path", func() {}, "GET", "/_lameduck", 404, "404 page not found\n"},
	} {
		tt.prepare()
		status, body := call(t, address, tt.method, tt.path)
		assert.Equal(t, tt.status, status, tt.name)
		assert.Equal(t, tt.body, body, tt.name)
	}
	assert.False(t, s.draining.Load())
}

// Callers that never finish a request must not keep out others, nor hold their descriptors forever.
func TestStalledCallersAreClosed(t *testing.T) {
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
	start := time.Now()
	for i, c := range stalled {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		for err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		assert.False(t, strings.Contains(err.Error(), "timeout"), "%d is still open", i)
		if i < len(stalled)-maxConns {
			assert.Less(t, time.Since(start), callTimeout/2, "%d", i) // closed to make room for later connections
		}
	}
	assert.Less(t, time.Since(start), callTimeout+2*time.Second)
}
