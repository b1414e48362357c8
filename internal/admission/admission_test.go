package admission

import (
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever shares the relays are given, all relays together send backends in slow start at most nine tenths of their
// overload limit within any overload span, including the budget that each relay has saved.
func TestSharesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.IntRange(1, 300).Draw(t, "relays")
		const capacity, sessions = 4e6, 4e6 / 4e4
		sum := 0.0
		for range relays {
			c := New()
			c.SetCapacity(capacity)
			share := rapid.OneOf(rapid.Float64Range(0, 2), rapid.Just(math.Inf(1)), rapid.Just(-1.0)).Draw(t, "share")
			c.SetRecovering(true, share, float64(relays))
			sum += c.SlowStartBudget(sessions, 3, 1, 2000, 0, 2, 2) * (2000 + c.SavedTimeLimit(2000, 3000))
		}
		if limit := 0.9 * 3 * sessions; sum > limit*(1+1e-9) {
			t.Fatalf("%d relays send %v sessions in all, want %v at most", relays, sum, limit)
		}
	})
}

// Sessions of a high priority weight are offered a larger share of the budget than those of a low weight, and no
// session is offered more than all of it. If all weights are low, each is offered all of it.
func TestHighWeightsFirst(t *testing.T) {
	c := New()
	weights := [2]float64{1, 8}
	c.SetRecovering(true, 0.5, 2)
	rng := rand.New(rand.NewSource(2))
	var shares, count [2]float64
	for i := range 2000 {
		class := rng.Intn(2)
		share := c.OfferedShare(weights[class], 0, 1000+float64(i))
		require.Greater(t, share, 0.0)
		require.LessOrEqual(t, share, 1.0)
		shares[class] += share
		count[class]++
	}
	assert.Greater(t, shares[1]/count[1], 2*shares[0]/count[0])
	c = New()
	c.SetRecovering(true, 0.5, 2)
	assert.InDelta(t, 1, c.OfferedShare(1, 0, 5000), 1e-9, "sessions are offered the whole budget if all weights are low")
}

// Clients that come back at the time they were given are served before newcomers, also after a restart of the relay.
// Reservations at impossible times, stored under a wrong clock, are not restored.
func TestReservations(t *testing.T) {
	c := New()
	c.SetRecovering(true, 0.5, 2)
	rng := rand.New(rand.NewSource(3))
	var waits []float64
	for key := range uint64(200) {
		waits = append(waits, c.RetryAfter(1000, key+1, 1000, rng.Float64()))
	}
	shortest, longest := slices.Min(waits), slices.Max(waits)
	assert.GreaterOrEqual(t, shortest, 500.0)
	assert.LessOrEqual(t, longest, 1000.0)
	assert.Greater(t, longest-shortest, 400.0)

	next := New()
	next.RestoreReservations(1200, 1000, c.Reservations(1200, 1000))
	next.SetRecovering(true, 0.5, 2)
	assert.InDelta(t, 1, next.OfferedShare(1, 7, 1000+waits[6]), 1e-9)
	assert.InDelta(t, newcomerShare, next.OfferedShare(1, 999, 1000+waits[6]+1), 1e-9)

	next = New()
	next.RestoreReservations(1200, 1000, map[uint64]float64{7: 1200 + 3.6e6, 8: 5}) // from a wrong clock
	assert.Empty(t, next.Reservations(1200, 1000))
}
