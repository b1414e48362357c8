package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSuspensionDetector: the process counts as suspended if too much time passes between two observations.
func TestSuspensionDetector(t *testing.T) {
	for _, c := range []struct {
		name    string
		started bool
		at      []float64
		want    []float64
	}{
		{"observed as planned", true, []float64{1150, 1300, 1450}, []float64{0, 0, 0}},
		{"a machine that is busy", true, []float64{1150, 1449}, []float64{0, 0}},
		{"suspended for half a second", true, []float64{1150, 1650, 1700}, []float64{0, 500, 0}},
		{"twice in a row", true, []float64{1300, 4300}, []float64{300, 3000}},
		{"before the start of the relay", false, []float64{5000, 9000}, []float64{0, 0}},
	} {
		detector := suspensionDetector{}
		if c.started {
			detector.start(1000)
		}
		for i, at := range c.at {
			assert.Equal(t, c.want[i], detector.observe(at), "%s: at %v", c.name, at)
		}
	}
}

// TestDeadlinesAfterSuspension: data that arrived while the process was suspended is read before a deadline that passed
// meanwhile is acted on; a final answer is not postponed.
func TestDeadlinesAfterSuspension(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a request that came in time", []step{{200, "open 2", ""}, {2700, "suspended 2500", ""},
			{2701, "came 2 OPEN b 1f c=feed,t=one,d=2000|", ""}, {2850, "tick", "dial s2 10.0.0.1:9000"}}},
		{"a request that did not come", []step{{200, "open 2", ""}, {2700, "suspended 2500", ""},
			{2849, "tick", ""}, {2850, "tick", "write 2 ERR|; end 2"}}},
		{"a backend's reply", []step{{200, "came 1 PUB x|", "write s1 PUB x|"}, {4700, "suspended 4500", ""},
			{4701, "came s1 ACK x|", "write 1 ACK x|"}, {4850, "tick", ""}}},
		{"no reply", []step{{200, "came 1 PUB x|", "write s1 PUB x|"}, {4700, "suspended 4500", ""},
			{4850, "tick", "write 1 MOVE|; end 1; end s1"}}},
		{"a connect that was done", []step{{200, "open 2", ""},
			{200, "came 2 OPEN b 1f c=feed,t=one,d=2000|", "dial s2 10.0.0.1:9000"}, {900, "suspended 700", ""},
			{901, "up s2", "write s2 OPEN b 1f c=feed,t=one,d=1289|"}, {1060, "tick", ""}}},
		{"a deadline", []step{{200, "open 2", ""},
			{200, "came 2 OPEN b 1f c=feed,t=one,d=2000|", "dial s2 10.0.0.1:9000"},
			{201, "up s2", "write s2 OPEN b 1f c=feed,t=one,d=1989|"},
			{2700, "suspended 2500", "end s2; write 2 BUSY 900|; end 2"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.establishSession()
			s.play(c.name, c.steps...)
		})
	}
}
