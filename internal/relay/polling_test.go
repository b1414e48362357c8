package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPollsLeaveDescriptorsForClients: when established sessions hold most descriptors, polls of new backends don't
// take those that further clients need.
func TestPollsLeaveDescriptorsForClients(t *testing.T) {
	s := newHarness(t, replacing(`"probes": false`, `"probes": true`), spareDescriptors+12, "b1=active")
	for i, c := range []string{"1", "2", "3"} {
		s.handle(float64(100+i), "open "+c)
		s.handle(float64(100+i), "came "+c+" OPEN "+c+" 1f c=feed,t=one,d=2000|")
	}
	for i := 1; i <= 4; i++ {
		s.handle(150, fmt.Sprintf("up s%d", i))
		s.handle(151, fmt.Sprintf("came s%d UP r|", i))
	}
	require.Equal(t, 3, s.Established)
	s.handle(1000, "news 1 1 delta b2=active b3=active b4=active b5=active b6=active b7=active b8=active")
	for now := 1050.0; now < 4000; now += 50 {
		assert.NotContains(t, s.handle(now, "tick"), "pause-accept", "%v", now)
	}
	assert.LessOrEqual(t, len(s.conns.byID), s.limits.ownDescriptors-s.limits.maxAwaiting())
	s.handle(4000, "open 9")
	assert.Contains(t, s.handle(4001, "came 9 OPEN z 1f c=feed,t=one,d=2000|"), "write 9 BUSY 900|; end 9")
}

func TestPolls(t *testing.T) {
	s := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active")
	s.play("all polls share one connection", step{299, "tick", "dial s1 10.0.0.1:9000"}, step{300, "up s1",
		"write s1 STATS|"},
		step{301, "came s1 PONG qps=7,ut", ""}, step{302, "came s1 il=1,x0=0.5|", ""}, step{1500, "tick",
			"write s1 STATS|"},
		step{1501, "came s1 ERR|", ""}, step{1900, "tick", "write s1 STATS|"}, step{2400, "tick",
			"reset s1; dial s2 10.0.0.1:9000"},
		step{2401, "came s1 PONG x0=0|", ""}, step{2402, "up s2", "write s2 STATS|"},
		step{2403, "came s2 PONG x0=0.4|", ""}, step{2404, "end s2", "end s2"}, step{2500, "heard 1", ""},
		step{3600, "tick", "dial s3 10.0.0.1:9000"})
	assert.Equal(t, uint64(5), s.Polls)
	s.play("the connection closes when the backend leaves", step{3601, "up s3", "write s3 STATS|"},
		step{3602, "news 1 2 whole", "reset s3"})
	assert.Empty(t, s.endpoints.byName, "a backend that is gone is removed")
	assert.NotPanics(t, func() { s.Poll(7) }, "a poll requested before the removal")
}

// TestPollAnswerHasALargestSize guards against a backend whose answer to a poll never ends: the relay read it without a
// bound, as lines behind the answer were ignored one by one.
func TestPollAnswerHasALargestSize(t *testing.T) {
	const line = "PONG x0=0.1|"
	longest := strings.Repeat(line, maxPollAnswerBytes/(len(line)+1)) // | is CRLF
	for _, c := range []struct {
		name, answer, effects string
		failed                bool
	}{
		{"one line", line, "", false},
		{"as much as may be", longest, "", false},
		{"more lines", longest + line, "reset s1", true},
		{"a line that does not end", strings.Repeat("x", maxPollAnswerBytes), "reset s1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active")
			s.play(c.name, step{299, "tick", "dial s1 10.0.0.1:9000"}, step{300, "up s1", "write s1 STATS|"},
				step{301, "came s1 " + c.answer, c.effects})
			assert.Equal(t, c.failed, s.endpoints.byName["b1"].pollConn == nil)
			assert.Equal(t, c.failed, slices.Contains(s.logs, "answer to a poll too long[backend b1 limit bytes 4096]"), s.logs)
		})
	}
	s := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active")
	s.play("behind the answer, in pieces", step{299, "tick", "dial s1 10.0.0.1:9000"}, step{300, "up s1", "write s1 STATS|"},
		step{301, "came s1 " + line, ""}, step{302, "came s1 " + longest[:len(longest)-len(line)], ""},
		step{303, "came s1 " + line, "reset s1"})
	s.play("the next poll has a connection of its own", step{1499, "tick", "dial s2 10.0.0.1:9000"})
}
