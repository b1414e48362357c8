package replication

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request without a reply is sent again before its deadline, however short the timeout is.
func TestRequestIsSentAgainInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout float64
		sentAt  []float64 // times of sending within the first 20 ms, in ms after the start
	}{
		{"a short time", 8, []float64{0, 2, 6}},
		{"a long time", 1000, []float64{0, 4, 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 9, 3, 3, 1, injectedFaults{})
			r := f.relays[0].Replicator
			_, actions := r.Lookup(f.now, Affinity, "k", c.timeout)
			var sentAt []float64
			for now := f.now; now < f.now+min(c.timeout, 20); now = r.NextDeadline() {
				actions = append(actions, r.Tick(now)...)
				if len(actions) > 0 {
					sentAt = append(sentAt, now-f.now)
				}
				actions = nil
			}
			assert.Equal(t, c.sentAt, sentAt)
		})
	}
}
