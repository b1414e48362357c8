package coordinator

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

// newSingleVoter is a council of one, which leads.
func newSingleVoter(t testing.TB, zones int) (*Core, float64) {
	var all []failover.Zone
	for z := range zones {
		all = append(all, failover.Zone{Name: fmt.Sprint("zone-", z), Region: fmt.Sprint("r", z/3)})
	}
	me := consensus.Member{Name: "v", Address: "x"}
	c, err := New(0, me, []consensus.Member{me}, all, nil, rand.New(rand.NewSource(1)))
	require.NoError(t, err)
	now := 0.0
	for ; now < 5000; now += 10 {
		c.Tick(now, 1e12+now)
		for out := c.Ready(); out.DurableState != nil; out = c.Ready() {
			c.Advance()
		}
	}
	require.True(t, c.voter.HasLease(now))
	return c, now
}

func encodedObservations(relay, zones int) []byte {
	e := failover.Observations{Relay: fmt.Sprint("relay-", relay), Zone: fmt.Sprint("zone-", relay%zones), Demand: 1,
		ByZone: map[string]failover.Observation{}}
	for z := range zones {
		e.ByZone[fmt.Sprint("zone-", z)] = failover.Observation{Attempts: 5, HealthChecks: 8, Load: 3.5, Capacity: 8}
	}
	return e.Encode()
}

// BenchmarkThreeHundredRelays is a second of who leads, with 300 relays that each tell what they see twice.
func BenchmarkThreeHundredRelays(b *testing.B) {
	c, now := newSingleVoter(b, 6)
	var all [][]byte
	for i := range 300 {
		all = append(all, encodedObservations(i, 6))
	}
	for b.Loop() {
		for k := range 100 {
			now += 10
			c.Tick(now, 1e12+now)
			for out := c.Ready(); out.DurableState != nil; out = c.Ready() {
				c.Advance()
			}
			for i := range 6 {
				if _, err := c.ReceiveObservations(now, all[(k*6+i)%300]); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// Whatever comes in a datagram, nothing of it is believed that can't be.
func FuzzReceive(f *testing.F) {
	f.Add(encodedObservations(1, 6))
	lie := failover.Observations{Relay: "x", Zone: "zone-0", Demand: -1, ByZone: map[string]failover.Observation{
		"zone-0": {Attempts: 1, FailedAttempts: 2}}}
	f.Add(lie.Encode())
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, now := newSingleVoter(t, 3)
		if _, err := c.ReceiveObservations(now, data); err == nil && len(data) > 0 {
			e, _ := failover.DecodeObservations(data)
			again, err := failover.DecodeObservations(e.Encode())
			require.NoError(t, err)
			require.Equal(t, len(e.ByZone), len(again.ByZone))
		}
		c.ReceiveMessage(now, data)
		c.ReceiveAnnouncement(now, data)
		c.Tick(now+200, 1e12)
		for out := c.Ready(); out.DurableState != nil; out = c.Ready() {
			c.Advance()
		}
		require.True(t, c.voter.HasLease(now+200))
		for _, z := range c.Announcement(now + 200).Zones {
			require.Equal(t, failover.Home, z.State)
		}
	})
}
