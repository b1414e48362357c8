package coordinator

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/consensus"
	"valeshift/internal/failover"
)

// alone is a council of one, which leads.
func alone(t testing.TB, zones int) (*Core, float64) {
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
		for out := c.Next(); out.Save != nil; out = c.Next() {
			c.Saved()
		}
	}
	require.True(t, c.voter.Leads(now))
	return c, now
}

func evidence(relay, zones int) []byte {
	e := failover.Evidence{Relay: fmt.Sprint("relay-", relay), Zone: fmt.Sprint("zone-", relay%zones), Demand: 1,
		Looks: map[string]failover.Look{}}
	for z := range zones {
		e.Looks[fmt.Sprint("zone-", z)] = failover.Look{Tries: 5, Probes: 8, Load: 3.5, Room: 8}
	}
	return e.Text()
}

// BenchmarkThreeHundredRelays is a second of who leads, with 300 relays that each tell what they see twice.
func BenchmarkThreeHundredRelays(b *testing.B) {
	c, now := alone(b, 6)
	var all [][]byte
	for i := range 300 {
		all = append(all, evidence(i, 6))
	}
	for b.Loop() {
		for k := range 100 {
			now += 10
			c.Tick(now, 1e12+now)
			for out := c.Next(); out.Save != nil; out = c.Next() {
				c.Saved()
			}
			for i := range 6 {
				if _, err := c.Hear(now, all[(k*6+i)%300]); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// Whatever comes in a datagram, nothing of it is believed that can't be.
func FuzzHear(f *testing.F) {
	f.Add(evidence(1, 6))
	lie := failover.Evidence{Relay: "x", Zone: "zone-0", Demand: -1, Looks: map[string]failover.Look{
		"zone-0": {Tries: 1, Failed: 2}}}
	f.Add(lie.Text())
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, now := alone(t, 3)
		if _, err := c.Hear(now, data); err == nil && len(data) > 0 {
			e, _ := failover.ReadEvidence(data)
			again, err := failover.ReadEvidence(e.Text())
			require.NoError(t, err)
			require.Equal(t, len(e.Looks), len(again.Looks))
		}
		c.Take(now, data)
		c.Told(now, data)
		c.Tick(now+200, 1e12)
		for out := c.Next(); out.Save != nil; out = c.Next() {
			c.Saved()
		}
		require.True(t, c.voter.Leads(now+200))
		for _, z := range c.Word(now + 200).Zones {
			require.Equal(t, failover.Home, z.State)
		}
	})
}
