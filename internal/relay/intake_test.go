package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRequests(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"malformed", "GET / HTTP/1.1|", "write 1 ERR|; end 1"},
		{"no key", "OPEN a c=feed,d=5|", "write 1 ERR|; end 1"},
		{"no CR", "OPEN a 1f c=feed,d=2000\n", "write 1 ERR|; end 1"},
		{"unknown class", "OPEN a 1f c=feeds,d=2000|", "write 1 ERR|; end 1"},
		{"doubled name", "OPEN a 1f c=feed,d=2000,d=1|", "write 1 ERR|; end 1"},
		{"impossible number", "OPEN a 1f c=feed,d=-1|", "write 1 ERR|; end 1"},
		{"no number", "OPEN a 1f c=feed,d=NaN|", "write 1 ERR|; end 1"},
		{"no wait", "OPEN a 1f c=feed|", "write 1 ERR|; end 1"},
		{"over-long", "OPEN " + strings.Repeat("a", 4096) + "|", "write 1 ERR|; end 1"},
		{"over-long without an end", strings.Repeat("a", 4096), "write 1 ERR|; end 1"},
		{"a wait beyond all bounds", "OPEN a 1f c=feed,d=20001|", "write 1 ERR|; end 1"},
		{"unknown tenant", "OPEN a 1f c=feed,t=nobody,d=2000|", "write 1 ERR|; end 1"},
		{"more in the same bytes", "OPEN a 1f c=feed,t=one,d=2000|OPEN b 1f c=feed,t=one,d=2000|",
			"write 1 ERR|; end 1"},
		{"half of more", "OPEN a 1f c=feed,t=one,d=2000|x", "write 1 ERR|; end 1"},
		{"pings without end", strings.Repeat("PING|", maxPings+1), "write 1 ERR|; end 1"},
		{"further fields", "OPEN a 1f c=feed,zz=1,h=2,r=1,d=2000|", "dial s1 10.0.0.1:9000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.play(c.name, step{100, "open 1", ""}, step{101, "came 1 " + c.line, c.want})
		})
	}
	s := newHarness(t, nil, 0, "b1=active")
	s.play("request in pieces, sent slowly", step{100, "open 1", ""}, step{1000, "came 1 OPEN a 1f c=fe", ""},
		step{1599, "came 1 ed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{1601, "up s1", "write s1 OPEN a 1f c=feed,d=1988|"},
		step{1603, "came s1 UP r|LOAD 7|", "write 1 UP r|; write 1 LOAD 7|"},
		step{1604, "came 1 more|", "write s1 more|"},
		step{1605, "open 2", ""}, step{1606, "came 2 OPEN a 2f c=feed,d=2000|", "write 2 ERR|; end 2"}, // the ID is in use
		step{1607, "end 1", "end 1; end s1"}, step{1608, "open 3", ""},
		step{1609, "came 3 OPEN a 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("request too slow, with and without pings", step{1100, "open 1", ""}, step{1100, "open 2", ""},
		step{1500, "came 1 OPEN", ""}, step{2500, "came 2 PING|", "write 2 PONG|"}, step{2599, "tick", ""},
		step{2600, "tick", "write 2 ERR|; end 2"}, step{3100, "came 1  a", ""}, step{3100, "heard 1", ""},
		step{3799, "tick", ""},
		step{3800, "tick", "write 1 ERR|; end 1"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("a request written over two seconds", step{100, "open 1", ""}, step{800, "came 1 OPEN a 1f ", ""},
		step{1650, "tick", ""}, step{2200, "came 1 c=feed,d=2000|", "dial s1 10.0.0.1:9000"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("data before the answer", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "came 1 x", "write 1 ERR|; reset s1; end 1"}, step{102, "came 1 y|", ""})
	assert.Zero(t, s.queue.sessions)
	assert.Empty(t, s.queue.byID)
}

// A client's timeout includes the time that its request waits in the listener's backlog.
func TestRequestThatWaitedToBeAccepted(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("the backend gets the remaining timeout", step{1100, "open 1", ""},
		step{1100, "waited 1 600 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{1101, "up s1", "write s1 OPEN a 1f c=feed,d=1389|"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("answered before the timeout", step{2100, "open 1", ""},
		step{2100, "waited 1 1900 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"}, step{2189, "tick", ""},
		step{2190, "tick", "reset s1; write 1 BUSY 900|; end 1"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("answered at once if the timeout has passed", step{2100, "open 1", ""},
		step{2100, "waited 1 1990 OPEN a 1f c=feed,d=2000|", "write 1 BUSY 900|; end 1"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("a ping waited, the request did not", step{1100, "open 1", ""}, step{1100, "waited 1 600 PING|", "write 1 PONG|"},
		step{1200, "came 1 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{1201, "up s1", "write s1 OPEN a 1f c=feed,d=1989|"})
}

func TestDescriptorsRunOut(t *testing.T) {
	s := newHarness(t, nil, spareDescriptors+minAwaiting+2, "b1=active")
	s.play("clients are told to retry, no session is broken, and silent clients are evicted first", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "open 2", ""}, step{102, "open 3", ""}, step{102, "open 4", ""}, step{102, "open 5", "pause-accept"},
		step{103, "came 2 OPEN b 1f c=order,d=2000|", "write 2 BUSY 900|; end 2; resume-accept"},
		step{104, "open 6", "pause-accept"}, step{131, "tick", ""}, step{132, "tick", "write 3 BUSY 900|; end 3; resume-accept"},
		step{133, "open 7", "write 4 BUSY 900|; end 4"}, step{134, "end 1", "end 1; reset s1"},
		step{135, "open 8", ""}, step{136, "open 9", "write 5 BUSY 900|; end 5"},
		step{137, "came 6 OPEN d 1f c=order,d=2000|", "dial s2 10.0.0.1:9000"})
	assert.Equal(t, uint64(3), s.RequestErrors[Evicted])
}

func TestReadyBeforePong(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("ready on the first endpoint list", step{10, "open 1", ""}, step{10, "came 1 PING|", ""}, step{20, "open 2", ""},
		step{30, "news 1 1 whole b1=active", "write 1 PONG|"}, step{31, "came 1 PING|PING|",
			"write 1 PONG|; write 1 PONG|"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("ready after the timeout without a list", step{10, "open 1", ""}, step{10, "came 1 PING|", ""}, step{1000, "tick",
		"write 1 PONG|"})
}

// TestSlowRequestsAreNotEvictedByACrowd checks that a client that writes its request slowly is evicted last, after clients
// that idle or stop halfway through their requests.
func TestSlowRequestsAreNotEvictedByACrowd(t *testing.T) {
	s := newHarness(t, nil, spareDescriptors+40, "b1=active") // leaves five descriptors for clients without a request
	s.handle(100, "open 1")
	s.handle(100, "came 1 OPEN a 1f c=fe")
	s.handle(100, "open 2")
	s.handle(100, "came 2 OPEN b 1f c=fe")
	n := 3
	for now := 110.0; now < 2000; now += 10 {
		s.handle(now, fmt.Sprintf("open %d", n))
		if n%2 == 0 {
			s.handle(now, fmt.Sprintf("came %d PING|", n))
		}
		n++
		if now == 1000 {
			s.handle(now, "came 1 ed,")
		}
		assert.LessOrEqual(t, s.intake.awaitingCount, s.limits.maxAwaiting()+1, now)
	}
	assert.NotZero(t, s.RequestErrors[Evicted])
	assert.Contains(t, s.handle(2001, "came 1 d=2000|"), "dial s1 10.0.0.1:9000")
	s.handle(2001, "came 2 ed,d=2000|")
	assert.Equal(t, uint64(2), s.Attempts,
		"a client that paused for longer is kept too, as the others have not begun a request")

	s = newHarness(t, nil, spareDescriptors+40, "b1=active")
	for n := 1; n <= 5; n++ {
		s.handle(float64(n), fmt.Sprintf("open %d", n))
		s.handle(float64(n), fmt.Sprintf("came %d OPEN a", n))
	}
	s.handle(60, "came 1 1")
	assert.Equal(t, "write 2 BUSY 900|; end 2", s.handle(90, "open 6"),
		"of the clients that have begun a request, the one silent for longest is evicted")
}
