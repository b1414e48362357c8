package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	drainGrace       = 500 * time.Millisecond // how long after the notice a draining backend may still get sessions
	suspendedClients = 20                     // requests sent while the relay is suspended
	timeToAnswer     = 2 * time.Second        // deadline of these requests
)

// suspend stops the process by SIGSTOP, until the returned function is called.
func (r *process) suspend() (resume func()) {
	r.t.Helper()
	r.signal(syscall.SIGSTOP)
	return func() {
		r.t.Helper()
		r.signal(syscall.SIGCONT)
	}
}

// acceptSessions accepts all sessions that arrive at the backend, and sends the time of each on the channel.
func (b *backend) acceptSessions() <-chan time.Time {
	arrivals := make(chan time.Time, suspendedClients)
	go func() {
		for range b.requests {
			arrivals <- time.Now()
			(<-b.sessions).Write([]byte("UP receipt\r\n"))
		}
	}()
	return arrivals
}

// After a suspension the relay applies a drain that was announced during it before it assigns the requests that
// arrived during it, even if discovery is down by then.
func TestSuspendedRelayAppliesDrainFirst(t *testing.T) {
	for _, suspended := range []time.Duration{150 * time.Millisecond, 500 * time.Millisecond, time.Second,
		2 * time.Second, 3 * time.Second, 10 * time.Second} {
		for _, sinceHeartbeat := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v, %v after a heartbeat", suspended, sinceHeartbeat), func(t *testing.T) {
				t.Parallel()
				testDrainDuringSuspension(t, suspended, sinceHeartbeat)
			})
		}
	}
}

// testDrainDuringSuspension drains a backend while the relay is suspended. The suspension begins sinceHeartbeat after
// the relay has opened its watch and polled both backends.
func testDrainDuringSuspension(t *testing.T, suspended, sinceHeartbeat time.Duration) {
	drained, kept := newBackend(t, "b1"), newBackend(t, "b2")
	toDrained, toKept := drained.acceptSessions(), kept.acceptSessions()
	r := startRelay(t, 0, drained, kept)
	r.discovery.awaitWatch(t)
	r.awaitPolls(drained, kept)
	time.Sleep(sinceHeartbeat)

	resume := r.suspend()
	r.discovery.setStatus(http.StatusServiceUnavailable)
	r.discovery.setEndpoints(r.discovery.endpoint("b1", drained.address, "leaving"),
		r.discovery.endpoint("b2", kept.address, "active"))
	notified := time.Now()
	time.Sleep(suspended)
	var clients []*peer
	for i := range suspendedClients {
		clients = append(clients, r.sendRequest(fmt.Sprintf("9b%02x", i), int(timeToAnswer/time.Millisecond)))
	}
	resume()
	for _, client := range clients {
		assert.Equal(t, "UP receipt", client.receive())
	}
	for len(toDrained) > 0 {
		assert.LessOrEqual(t, (<-toDrained).Sub(notified), drainGrace, "the draining backend got a session too late")
	}
	assert.NotEmpty(t, toKept)
}

// awaitPolls waits until the relay has polled each backend.
func (r *process) awaitPolls(backends ...*backend) {
	r.t.Helper()
	for _, b := range backends {
		select {
		case <-b.polls:
		case <-time.After(longWait):
			assert.Fail(r.t, "no load poll arrived at "+b.name)
		}
	}
}
