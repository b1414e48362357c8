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

// Whatever the others say, and however capacity is shared, all relays together send backends in slow start no more
// within any span than nine tenths of what they bear, what each has saved included.
func TestSharesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.IntRange(1, 300).Draw(t, "relays")
		const capacity, sessions = 4e6, 4e6 / 4e4
		sum := 0.0
		for range relays {
			c := New()
			c.SetCapacity(capacity)
			share := rapid.OneOf(rapid.Float64Range(0, 2), rapid.Just(math.Inf(1)), rapid.Just(-1.0)).Draw(t, "part")
			c.SetRecovering(true, share, float64(relays))
			sum += c.SlowStartBudget(sessions, 3, 1, 2000, 0, 2, 2) * (2000 + c.SavedTimeLimit(2000, 3000))
		}
		if limit := 0.9 * 3 * sessions; sum > limit*(1+1e-9) {
			t.Fatalf("%d relays come to %v, %v at the most", relays, sum, limit)
		}
	})
}

// The time that sessions of a low weight are not offered is left to those of a high one, never given twice.
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
	assert.InDelta(t, 1, c.OfferedShare(1, 0, 5000), 1e-9, "where all weights are low, they are offered all")
}

// Clients that come back at the time they were told go before newcomers, also after the relay's next start.
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
	next.RestoreReservations(1200, 1000, map[uint64]float64{7: 1200 + 3.6e6, 8: 5}) // of a clock that was wrong
	assert.Empty(t, next.Reservations(1200, 1000))
}
