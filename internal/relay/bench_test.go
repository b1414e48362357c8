package relay

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

// newBenchmarkRelay is a relay with so many backends that have been polled, and one established session.
func newBenchmarkRelay(t testing.TB, backends int) (r *StateMachine, now float64, client, server uint64) {
	values, err := settings.Flatten([]byte(baseSettings))
	require.NoError(t, err)
	values["limits.probes"], values["stats.how"] = "true", "probe"
	values["discovery"], values["family-info.tenant-quota-connections"] = "subscribe", "200000,300000"
	known := &EndpointUpdate{Complete: true}
	for i := range backends {
		known.Endpoints = append(known.Endpoints, Endpoint{Name: fmt.Sprint("b", i), Status: "active", Zone: "hall",
			Weight: 1, Address: "10.0.0.1:" + strconv.Itoa(1000+i)})
	}
	r, err = New(0, &Config{Seed: 5, Settings: values, Discovery: "10.1.0.1:85", InitialEndpoints: known})
	require.NoError(t, err)
	var play func(e Event)
	play = func(e Event) {
		for _, next := range backendAnswers(r.Handle(now, e), &server) {
			play(next)
		}
	}
	for ; now < 3000; now += 5 {
		play(TimerFired{})
	}
	play(ConnAccepted{Conn: 1})
	play(DataReceived{Conn: 1, Data: []byte("OPEN id 1 c=feed,t=one,d=1000\r\n")})
	require.Equal(t, 1, r.Established)
	return r, now, 1, server
}

// backendAnswers are the events by which backends answer the effects: each connection comes up, each poll and each request
// is answered. The connection of the last request goes to server.
func backendAnswers(effects []Effect, server *uint64) (answers []Event) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case *Dial:
			answers = append(answers, ConnEstablished{Conn: f.Conn})
		case *Write:
			switch {
			case f.Conn < firstDialedID:
			case string(f.Chunks[0]) == "STATS\r\n":
				answers = append(answers, DataReceived{Conn: f.Conn, Data: []byte("PONG x0=0.3\r\n")})
			default:
				*server = f.Conn
				answers = append(answers, DataReceived{Conn: f.Conn, Data: []byte("UP receipt\r\n")})
			}
		}
	}
	return answers
}

// BenchmarkLine forwards a line each way, by the size of the fleet.
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, now, client, server := newBenchmarkRelay(b, n)
			up, down := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Handle(now, DataReceived{Conn: client, Data: up})
				r.Handle(now, DataReceived{Conn: server, Data: down})
			}
		})
	}
}

// TestForwardedLineAllocatesNothing: a forwarded line allocates nothing.
func TestForwardedLineAllocatesNothing(t *testing.T) {
	r, now, client, server := newBenchmarkRelay(t, 200)
	up, down := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
	said := 0
	written := func(effects []Effect, conn uint64, line []byte) {
		for _, effect := range effects {
			if f, ok := effect.(*Write); ok && f.Conn == conn && string(f.Chunks[0]) == string(line) {
				said++
			}
		}
	}
	pass := func() {
		written(r.Handle(now, DataReceived{Conn: client, Data: up}), server, up)
		written(r.Handle(now, DataReceived{Conn: server, Data: down}), client, down)
	}
	for range 10 {
		pass()
	}
	require.Zero(t, testing.AllocsPerRun(100, pass))
	require.Equal(t, 2*111, said)
}

// playSession has a client come, its session assigned and established at a backend, and the client leave again.
func playSession(tb testing.TB, r *StateMachine, now float64, client uint64, request, answer []byte) {
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

// BenchmarkSession plays a session from its client's connection to its end.
func BenchmarkSession(b *testing.B) {
	r, now, client, _ := newBenchmarkRelay(b, 20)
	request, answer := []byte("OPEN other 1 c=feed,t=one,d=1000\r\n"), []byte("UP receipt\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		playSession(b, r, now+float64(i)*0.1, client+1+uint64(i), request, answer)
	}
}
