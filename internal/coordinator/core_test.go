package coordinator

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

const startUnixMillis = 1e12

// newSingleCoordinator returns a coordinator that is the only voter and leads, and its current time.
func newSingleCoordinator(t testing.TB, zoneCount int) (core *Core, now float64) {
	t.Helper()
	var zones []failover.Zone
	for i := range zoneCount {
		zones = append(zones, failover.Zone{Name: fmt.Sprint("zone-", i), Region: fmt.Sprint("r", i/3)})
	}
	self := consensus.Member{Name: "v", Address: "x"}
	core, err := New(0, self, []consensus.Member{self}, zones, nil, rand.New(rand.NewSource(1)))
	require.NoError(t, err)
	for ; now < 5000; now += 10 {
		advance(core, now)
	}
	require.True(t, core.HasLease(now))
	return core, now
}

// advance ticks a coordinator whose saves are durable at once.
func advance(core *Core, now float64) {
	core.Tick(now, startUnixMillis+now)
	saveAll(core)
}

func saveAll(core *Core) {
	for core.Ready().DurableState != nil {
		core.Advance()
	}
}

// encodeObservations returns the observations that a relay sends while all zones are healthy.
func encodeObservations(relay, zoneCount int) []byte {
	observations := failover.Observations{
		Relay:  fmt.Sprint("relay-", relay),
		Zone:   fmt.Sprint("zone-", relay%zoneCount),
		Demand: 1,
		ByZone: map[string]failover.Observation{},
	}
	for i := range zoneCount {
		observations.ByZone[fmt.Sprint("zone-", i)] = failover.Observation{
			Attempts:     5,
			HealthChecks: 8,
			Load:         3.5,
			Capacity:     8,
		}
	}
	return observations.Encode()
}

// BenchmarkThreeHundredRelays measures one simulated second of a leader with 300 relays, each of which sends its
// observations twice.
func BenchmarkThreeHundredRelays(b *testing.B) {
	core, now := newSingleCoordinator(b, 6)
	var encoded [][]byte
	for relay := range 300 {
		encoded = append(encoded, encodeObservations(relay, 6))
	}
	for b.Loop() {
		for step := range 100 {
			now += 10
			advance(core, now)
			for i := range 6 {
				if _, err := core.ReceiveObservations(now, encoded[(step*6+i)%300]); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// FuzzReceive passes arbitrary data as each kind of datagram. The coordinator must keep its lease, and no data may
// divert traffic from a zone. Observations that are accepted must survive another encoding.
func FuzzReceive(f *testing.F) {
	f.Add(encodeObservations(1, 6))
	impossible := failover.Observations{
		Relay:  "x",
		Zone:   "zone-0",
		Demand: -1,
		ByZone: map[string]failover.Observation{"zone-0": {Attempts: 1, FailedAttempts: 2}},
	}
	f.Add(impossible.Encode())
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		core, now := newSingleCoordinator(t, 3)
		if _, err := core.ReceiveObservations(now, data); err == nil && len(data) > 0 {
			observations, err := failover.DecodeObservations(data)
			require.NoError(t, err)
			again, err := failover.DecodeObservations(observations.Encode())
			require.NoError(t, err)
			require.Equal(t, len(observations.ByZone), len(again.ByZone))
		}
		core.ReceiveMessage(now, data)
		core.ReceiveAnnouncement(now, data)
		core.Tick(now+200, startUnixMillis)
		saveAll(core)
		require.True(t, core.HasLease(now+200))
		for _, zone := range core.Announcement(now + 200).Zones {
			require.Equal(t, failover.Home, zone.State)
		}
	})
}
