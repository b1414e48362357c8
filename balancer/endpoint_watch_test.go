package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The list is watched at the start, again soon after a failure, and again when the watch has been silent too long.
func TestWatchIsRenewed(t *testing.T) {
	b := testFleet{MustWatch: true, Loads: []float64{0.3}}.build(t)
	assert.Equal(t, ActionSubscribe, b.NextAction(start).Kind, "the cached list did not come from a watch")
	assert.NotEqual(t, ActionSubscribe, b.NextAction(start).Kind)
	b.WatchFailed(start + 50)
	assert.Equal(t, ActionSubscribe, b.NextAction(start+350).Kind, "a failed call is retried soon")
	b.BeginEndpointUpdate(false)
	b.EndEndpointUpdate(start + 400)
	assert.NotEqual(t, ActionSubscribe, b.NextAction(start+5000).Kind)
	assert.Equal(t, ActionSubscribe, b.NextAction(start+10000).Kind, "a silent watch is renewed")
}

// The watches of hundreds of relays are spread, so that they do not overload a discovery service of fixed capacity.
func TestWatchesOfManyRelaysAreSpread(t *testing.T) {
	soon, again := 0, 0
	for seed := range int64(220) {
		b := testFleet{MustWatch: true, Loads: []float64{0.3}, Relays: 220, Seed: seed}.build(t)
		if b.NextAction(start+500).Kind == ActionSubscribe {
			soon++
		}
		b.WatchFailed(start + 5000)
		if b.NextAction(start+5500).Kind == ActionSubscribe {
			again++
		}
		for range 9 {
			b.WatchFailed(start + 6000)
			assert.Less(t, b.watch.nextAt-start-6000, 4*10000.0, "the backoff ends before the relay counts as notified of a change")
		}
		b.BeginEndpointUpdate(false)
		b.EndEndpointUpdate(start + 6000)
		assert.NotEqual(t, ActionSubscribe, b.NextAction(start+60000).Kind, "the renewal interval grows with the number of relays")
	}
	assert.Less(t, soon, 60)
	assert.Less(t, again, 60)
}

// A relay counts as notified of a change 6 s after discovery has the change and can be reached. A call that began
// just before may take 3.5 s until it is given up, so the retry must follow within 2 s, after any number of
// failures.
func TestListBackoffIsBounded(t *testing.T) {
	for _, relays := range []int{1, 3, 30, 300} {
		for seed := range int64(20) {
			b := testFleet{MustWatch: true, Loads: []float64{0.3}, Relays: relays, Seed: seed}.build(t)
			now := start + 1000
			for failure := range 12 {
				b.WatchFailed(now)
				assert.LessOrEqual(t, b.watch.nextAt-now, 2000.0, "%d relays, failure %d", relays, failure)
				assert.Greater(t, b.watch.nextAt-now, 50.0, "%d relays, failure %d", relays, failure)
				now = b.watch.nextAt
				assert.Equal(t, ActionSubscribe, b.NextAction(now).Kind)
			}
		}
	}
}
