package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Sessions leave one after the other, so that their clients do not all return within one report interval.
func TestDrainDelayIsPaced(t *testing.T) {
	assert.Equal(t, 4000.0, testFleet{}.build(t).ShutdownDrainDelay(5, 10, 4000), "the only relay stops")
	b := testFleet{Loads: []float64{0.1, 0.1}, Relays: 2}.build(t)
	for _, c := range []struct {
		name              string
		delay             float64
		shortest, longest float64
	}{
		{"first of a backend", b.BackendDrainDelay(0, 30), 0, drainSpread / 30},
		{"middle of a backend", b.BackendDrainDelay(15, 30), drainSpread / 2, drainSpread * 16 / 30},
		{"last of a backend", b.BackendDrainDelay(29, 30), drainSpread * 29 / 30, drainSpread},
		{"short shutdown", b.ShutdownDrainDelay(5, 10, 400), 200, 240},
		{"long shutdown", b.ShutdownDrainDelay(5, 10, 4000), 4000 - shutdownDrainSpread/2,
			4000 - shutdownDrainSpread*4/10},
		{"shutdown without time", b.ShutdownDrainDelay(15, 30, 0), drainSpread / 2, drainSpread * 16 / 30},
		{"shutdown beyond its time", b.ShutdownDrainDelay(15, 30, -50), drainSpread / 2, drainSpread * 16 / 30},
	} {
		assert.GreaterOrEqual(t, c.delay, c.shortest, c.name)
		assert.LessOrEqual(t, c.delay, c.longest, c.name)
	}
}

// Eighty relays with one session each spread them over the drain, as each adds jitter to the delay.
func TestDrainDelayOfManyRelaysIsSpread(t *testing.T) {
	var sessionsByQuarter [4]int
	for seed := range int64(80) {
		b := testFleet{Loads: []float64{0.1, 0.1}, Relays: 80, Seed: seed}.build(t)
		sessionsByQuarter[int(b.BackendDrainDelay(0, 1)*float64(len(sessionsByQuarter))/drainSpread)]++
	}
	for quarter, n := range sessionsByQuarter {
		assert.InDelta(t, 20, n, 12, "quarter %d of the time", quarter)
	}
}

// If another process takes the sessions over, they leave over the whole time of the shutdown, not only at its
// end.
func TestDrainDelayWithSuccessor(t *testing.T) {
	b := testFleet{Loads: []float64{0.1}}.build(t)
	assert.Equal(t, 2400.0, b.ShutdownDrainDelay(0, 4, 2400))
	b.SetDraining(true)
	for i := range 4 {
		assert.InDelta(t, 600*float64(i), b.ShutdownDrainDelay(i, 4, 2400), 0.01)
	}
}
