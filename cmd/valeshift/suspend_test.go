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
	drainGrace       = 500 * time.Millisecond // after the notice, in which a draining backend may still get sessions
	suspendedClients = 20
	timeToAnswer     = 2 * time.Second // the requests' deadline
)

// suspend stops the process, and has it go on when the returned function is called.
func (r *process) suspend() (resume func()) {
	r.t.Helper()
	r.signal(syscall.SIGSTOP)
	return func() {
		r.t.Helper()
		r.signal(syscall.SIGCONT)
	}
}

// acceptSessions answers all sessions that come to the backend until the test ends, and sends the time of each.
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

// A relay that was suspended reads the drain that came meanwhile before it assigns the sessions that came meanwhile,
// also where discovery is down by then.
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
		assert.LessOrEqual(t, (<-toDrained).Sub(notified), drainGrace, "a session came to the draining backend")
	}
	assert.NotEmpty(t, toKept)
}

// awaitPolls waits until each backend was polled.
func (r *process) awaitPolls(backends ...*backend) {
	r.t.Helper()
	for _, b := range backends {
		select {
		case <-b.polls:
		case <-time.After(longWait):
			assert.Fail(r.t, "no poll came to "+b.name)
		}
	}
}
