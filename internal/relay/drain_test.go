package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestGracefulShutdown(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	// Sessions that were migrated earlier would have no relay to go to until the only one is back.
	s.play("the only relay serves until the end of its shutdown", step{1000, "stop", ""}, step{1100, "open 2", ""},
		step{1100, "came 2 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1101, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"}, step{1102, "came s2 UP r|", "write 2 UP r|"},
		step{3399, "came 1 x|", "write s1 x|"},
		step{3400, "tick", "write 1 MOVE|; end 1; end s1; write 2 MOVE|; end 2; end s2; exit"})
	s = newHarness(t, replacing(`"replicas-of-me": 1`, `"replicas-of-me": 2`), 0, "b1=active")
	s.establishSession()
	s.play("shutdown beside another relay", step{1000, "stop", ""},
		step{1000, "open 2", ""}, step{1001, "came 2 PING|", "write 2 ERR|"},
		step{1100, "open 3", ""}, step{1100, "came 3 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1101, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"},
		step{1102, "open 4", ""}, step{1102, "came 4 OPEN c 1f c=feed,d=9000|", "dial s3 10.0.0.1:9000"},
		step{1103, "up s3", "write s3 OPEN c 1f c=feed,d=1989|"},
		step{1899, "tick", ""}, step{2650, "tick", "write 1 MOVE|; end 1; end s1; write 2 ERR|; end 2"},
		step{2660, "came s2 UP r|", "write 3 UP r|; write 3 MOVE|; end 3; end s2"})
	last := s.handle(1000+2000+finalAnswerTime, "tick")
	assert.Contains(t, last, "end s3; write 4 BUSY 900|; end 4")
	assert.True(t, strings.HasSuffix(last, "exit"), last)
	assert.NotContains(t, s.handle(9000, "tick"), "exit", "no second exit")
	assert.Zero(t, s.queue.sessions)

	s = newHarness(t, nil, 0, "b1=active")
	s.play("shutdown with a request on its way", step{1000, "stop", ""}, step{1400, "open 1", ""}, step{1500, "tick", ""},
		step{1700, "came 1 OPEN a 1f c=nothing,d=2000|", "write 1 ERR|; end 1; exit"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("shutdown of an idle relay", step{1000, "stop", ""}, step{1499, "tick", ""}, step{1500, "tick", "exit"},
		step{1501, "stop", ""}, step{9000, "tick", ""}, step{9150, "tick", ""})
}
