package admission

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever the others say, and however they are parted, all relays together send cold servers no more within
// any span than nine tenths of what they bear, what each has saved up included.
func TestPartsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.IntRange(1, 300).Draw(t, "relays")
		links, sum := 4e6/4e4, 0.0
		for range relays {
			a := New()
			a.SetCapacity(4e6)
			part := rapid.OneOf(rapid.Float64Range(0, 2), rapid.Just(math.Inf(1)), rapid.Just(-1.0)).Draw(t, "part")
			a.SetRecovering(true, part, float64(relays))
			sum += a.SlowStartBudget(links, 3, 1, 2000, 0, 2, 2) * (2000 + a.SavedTimeLimit(2000, 3000))
		}
		if most := 0.9 * 3 * links; sum > most*(1+1e-9) {
			t.Fatalf("%d relays come to %v, %v at the most", relays, sum, most)
		}
	})
}

// The time that cheap links are not offered is left to dear ones, never given twice.
func TestDearLinksFirst(t *testing.T) {
	a, gains := New(), [2]float64{1, 8}
	a.SetRecovering(true, 0.5, 2)
	chance, part, sum := rand.New(rand.NewSource(2)), [2]float64{}, [2]float64{}
	for i := range 2000 {
		c := chance.Intn(2)
		p := a.OfferedShare(gains[c], 0, 1000+float64(i))
		require.Greater(t, p, 0.0)
		require.LessOrEqual(t, p, 1.0)
		part[c], sum[c] = part[c]+p, sum[c]+1
	}
	assert.Greater(t, part[1]/sum[1], 2*part[0]/sum[0])
	a = New()
	a.SetRecovering(true, 0.5, 2)
	assert.InDelta(t, 1, a.OfferedShare(1, 0, 5000), 1e-9, "where all are cheap, they are offered all")
}

// Clients that come at the time they were told go before newcomers, also after the relay's next start.
func TestToldTimes(t *testing.T) {
	a := New()
	a.SetRecovering(true, 0.5, 2)
	chance := rand.New(rand.NewSource(3))
	var waits []float64
	for key := range uint64(200) {
		waits = append(waits, a.RetryAfter(1000, key+1, 1000, chance.Float64()))
	}
	least, most := 1e9, 0.0
	for _, w := range waits {
		least, most = min(least, w), max(most, w)
	}
	assert.GreaterOrEqual(t, least, 500.0)
	assert.LessOrEqual(t, most, 1000.0)
	assert.Greater(t, most-least, 400.0)
	next := New()
	next.RestoreReservations(1200, 1000, a.Reservations(1200, 1000))
	next.SetRecovering(true, 0.5, 2)
	assert.InDelta(t, 1, next.OfferedShare(1, 7, 1000+waits[6]), 1e-9)
	assert.InDelta(t, newcomerShare, next.OfferedShare(1, 999, 1000+waits[6]+1), 1e-9)
	next = New()
	next.RestoreReservations(1200, 1000, map[uint64]float64{7: 1200 + 3.6e6, 8: 5}) // of a clock that was wrong
	assert.Empty(t, next.Reservations(1200, 1000))
}
