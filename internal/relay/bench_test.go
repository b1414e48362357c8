package relay

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/settings"
)

// fleetOf is a relay with so many backends that have been probed, and one link that stands.
func fleetOf(t testing.TB, backends int) (r *StateMachine, now float64, client, server uint64) {
	values, err := settings.Flatten([]byte(told))
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
		for _, f := range append([]Effect(nil), r.Handle(now, e)...) {
			switch {
			case f.Kind == Dial:
				play(Event{Kind: ConnEstablished, Conn: f.Conn})
			case f.Kind == Write && f.Conn >= firstDialedID && string(f.Chunks[0]) == "STATS\r\n":
				play(Event{Kind: DataReceived, Conn: f.Conn, Data: []byte("PONG x0=0.3\r\n")})
			case f.Kind == Write && f.Conn >= firstDialedID:
				server = f.Conn
				play(Event{Kind: DataReceived, Conn: f.Conn, Data: []byte("UP receipt\r\n")})
			}
		}
	}
	for ; now < 3000; now += 5 {
		play(Event{Kind: TimerFired})
	}
	play(Event{Kind: ConnAccepted, Conn: 1})
	play(Event{Kind: DataReceived, Conn: 1, Data: []byte("OPEN id 1 c=feed,t=one,d=1000\r\n")})
	require.Equal(t, 1, r.Established)
	return r, now, 1, server
}

// A line each way through a relay, by the size of the fleet.
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, now, client, server := fleetOf(b, n)
			up, down := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Handle(now, Event{Kind: DataReceived, Conn: client, Data: up})
				r.Handle(now, Event{Kind: DataReceived, Conn: server, Data: down})
			}
		})
	}
}

// A passed line allocates nothing, whatever the size of the fleet.
func TestPassedLineAllocatesNothing(t *testing.T) {
	r, now, client, server := fleetOf(t, 200)
	up, down := []byte("a line of a client\r\n"), []byte("a line of a server\r\n")
	said := 0
	pass := func() {
		for _, f := range r.Handle(now, Event{Kind: DataReceived, Conn: client, Data: up}) {
			if f.Kind == Write && f.Conn == server && string(f.Chunks[0]) == string(up) {
				said++
			}
		}
		for _, f := range r.Handle(now, Event{Kind: DataReceived, Conn: server, Data: down}) {
			if f.Kind == Write && f.Conn == client && string(f.Chunks[0]) == string(down) {
				said++
			}
		}
	}
	for range 10 {
		pass()
	}
	require.Zero(t, testing.AllocsPerRun(100, pass))
	require.Equal(t, 2*111, said)
}
