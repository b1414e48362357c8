package relay

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

// newBenchmarkRelay returns a relay that has polled the given number of backends and has one established session. client
// and server are the IDs of the session's connections.
func newBenchmarkRelay(t testing.TB, backends int) (r *StateMachine, now float64, client, server uint64) {
	values, err := settings.Flatten([]byte(baseSettings))
	require.NoError(t, err)
	values["limits.probes"], values["stats.how"] = "true", "probe"
	values["discovery"], values["family-info.tenant-quota-connections"] = "subscribe", "200000,300000"
	update := &EndpointUpdate{Complete: true}
	for i := range backends {
		update.Endpoints = append(update.Endpoints, Endpoint{Name: fmt.Sprint("b", i), Status: "active", Zone: "hall",
			Weight: 1, Address: "10.0.0.1:" + strconv.Itoa(1000+i)})
	}
	r, err = New(0, &Config{Seed: 5, Settings: values, Discovery: "10.1.0.1:85", InitialEndpoints: update})
	require.NoError(t, err)
	var handleAndAnswer func(e Event)
	handleAndAnswer = func(e Event) {
		for _, next := range backendAnswers(r.Handle(now, e), &server) {
			handleAndAnswer(next)
		}
	}
	for ; now < 3000; now += 5 {
		handleAndAnswer(TimerFired{})
	}
	handleAndAnswer(ConnAccepted{Conn: 1})
	handleAndAnswer(DataReceived{Conn: 1, Data: []byte("OPEN id 1 c=feed,t=one,d=1000\r\n")})
	require.Equal(t, 1, r.Established)
	return r, now, 1, server
}

// backendAnswers returns the events with which backends respond to the effects: every dial succeeds, and every poll and
// request is answered. It sets server to the ID of the last request's connection.
func backendAnswers(effects []Effect, server *uint64) (answers []Event) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *Dial:
			answers = append(answers, ConnEstablished{Conn: e.Conn})
		case *Write:
			switch {
			case e.Conn < dialedIDBase:
			case string(e.Chunks[0]) == "STATS\r\n":
				answers = append(answers, DataReceived{Conn: e.Conn, Data: []byte("PONG x0=0.3\r\n")})
			default:
				*server = e.Conn
				answers = append(answers, DataReceived{Conn: e.Conn, Data: []byte("UP receipt\r\n")})
			}
		}
	}
	return answers
}

// BenchmarkLine measures forwarding one line in each direction, for several numbers of backends.
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, now, client, server := newBenchmarkRelay(b, n)
			fromClient, fromServer := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Handle(now, DataReceived{Conn: client, Data: fromClient})
				r.Handle(now, DataReceived{Conn: server, Data: fromServer})
			}
		})
	}
}

// Forwarding is the relay's most frequent work, so it must not allocate memory.
func TestForwardedLineAllocatesNothing(t *testing.T) {
	r, now, client, server := newBenchmarkRelay(t, 200)
	fromClient, fromServer := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
	forwarded := 0
	countWritten := func(effects []Effect, conn uint64, line []byte) {
		for _, effect := range effects {
			if e, ok := effect.(*Write); ok && e.Conn == conn && string(e.Chunks[0]) == string(line) {
				forwarded++
			}
		}
	}
	forwardBothWays := func() {
		countWritten(r.Handle(now, DataReceived{Conn: client, Data: fromClient}), server, fromClient)
		countWritten(r.Handle(now, DataReceived{Conn: server, Data: fromServer}), client, fromServer)
	}
	for range 10 {
		forwardBothWays()
	}
	require.Zero(t, testing.AllocsPerRun(100, forwardBothWays))
	require.Equal(t, 2*111, forwarded)
}

// runSession accepts a client, establishes its session at a backend and closes the client's connection.
func runSession(tb testing.TB, r *StateMachine, now float64, client uint64, request, answer []byte) {
	tb.Helper()
	r.Handle(now, ConnAccepted{Conn: client})
	backend := uint64(0)
	for _, effect := range r.Handle(now, DataReceived{Conn: client, Data: request}) {
		if dial, ok := effect.(*Dial); ok {
			backend = dial.Conn
		}
	}
	require.NotZero(tb, backend)
	r.Handle(now, ConnEstablished{Conn: backend})
	r.Handle(now, DataReceived{Conn: backend, Data: answer})
	r.Handle(now, ConnClosed{Conn: client})
}

// BenchmarkSession measures a whole session, from accepting its client to closing the client's connection.
func BenchmarkSession(b *testing.B) {
	r, now, client, _ := newBenchmarkRelay(b, 20)
	request, answer := []byte("OPEN other 1 c=feed,t=one,d=1000\r\n"), []byte("UP receipt\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		runSession(b, r, now+float64(i)*0.1, client+1+uint64(i), request, answer)
	}
}
