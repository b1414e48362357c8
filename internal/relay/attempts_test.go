package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEndReasonsOfAttempts ends an attempt in each possible way. It is retried, unless that might run a request twice
// that is not idempotent: its client is told that the request failed.
func TestEndReasonsOfAttempts(t *testing.T) {
	for _, c := range []struct {
		name, event            string
		connects               bool
		reason                 EndReason
		retriedIfNonIdempotent bool // also where the request must not run twice
	}{
		{"refused", "reset s1", false, ConnectFailed, true},
		{"never up", "tick", false, ConnectFailed, true},
		{"broken before the request was written", "cut s1", true, ConnectFailed, true},
		{"rejected", "came s1 BUSY|", true, BackendBusy, true},
		{"backend's error", "came s1 ERR|", true, BackendError, false},
		{"no answer of the protocol", "came s1 HELLO|", true, MalformedAnswer, false},
		{"line too long", "came s1 " + strings.Repeat("x", 5000), true, MalformedAnswer, false},
		{"finished before it was established", "came s1 BYE|", true, MalformedAnswer, false},
		{"reset", "reset s1", true, ClosedBeforeAnswer, false},
		{"ended", "end s1", true, ClosedBeforeAnswer, false},
		{"sent away", "came s1 MOVE|", true, BackendMovedClient, false},
		{"an answer with another behind it", "came s1 BUSY|UP r|", true, BackendBusy, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, category := range []string{"feed", "order"} {
				s := newHarness(t, nil, 0, "b1=active")
				s.play(c.name, step{100, "open 1", ""},
					step{100, "came 1 OPEN a 1f c=" + category + ",t=one,d=2000|", "dial s1 10.0.0.1:9000"})
				if c.connects {
					s.handle(101, "up s1")
				}
				effects := s.handle(351, c.event)
				assert.Equal(t, uint64(1), s.EndReasons[c.reason], c.name)
				if category == "feed" || c.retriedIfNonIdempotent {
					assert.Contains(t, effects, "dial s2", "%s, %s", c.name, category)
					assert.NotContains(t, effects, "write 1", c.name)
					assert.Equal(t, "", s.handle(352, "came s1 UP late|"), "%s: an answer to an earlier attempt is ignored", c.name)
				} else {
					assert.Contains(t, effects, "write 1 ERR|; end 1", "%s, %s", c.name, category)
				}
			}
		})
	}
}

func TestFinalAnswerBeforeTheHardLimit(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("a backend that says nothing", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=feed,t=one,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"},
		step{2089, "tick", ""},
		step{2090, "tick", "end s1; write 1 BUSY 900|; end 1"},
		step{2091, "came s1 UP r1|", ""}, step{2091, "end 1", ""})
	s = newHarness(t, nil, 0)
	s.play("no backend at all: queued, then rejected with half the time left", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,t=one,d=2000|", ""})
	for now := 150.0; now < 1200 && s.Rejected == 0; now += 50 {
		s.handle(now, "tick")
	}
	assert.Equal(t, uint64(1), s.Rejected)
	assert.Zero(t, s.queue.sessions)
}

func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name, event string
		change      func(string) string
		want        string
	}{
		{"while dialing", "tick", nil, "end 1; reset s1"},
		{"while an attempt is out", "up s1", nil, "end 1; end s1"},
		{"where an attempt may not be called off", "up s1", replacing(`"may-cancel": true`, `"may-cancel": false`),
			"end 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, c.change, 0, "b1=active")
			s.play(c.name, step{100, "open 1", ""}, step{100, "came 1 OPEN a 1f c=feed,d=2000|",
				"dial s1 10.0.0.1:9000"})
			s.handle(101, c.event)
			s.play(c.name, step{102, "end 1", c.want})
			s.handle(103, "came s1 UP r|")
			assert.Zero(t, s.queue.sessions, c.name)
			assert.Empty(t, s.conns.byID, c.name)
		})
	}
}

func TestDrainBetweenChoiceAndSend(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("no request to a backend that has begun to drain", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "news 1 2 delta b1=leaving b2=active", ""},
		step{102, "up s1", "end s1; dial s2 10.0.0.2:9000"})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("no request to a backend that has restarted", step{100, "open 1", ""},
		step{100, "came 1 OPEN a 1f c=order,d=2000|", "dial s1 10.0.0.1:9000"},
		step{101, "news 1 2 delta b1=active@90 b2=active", ""},
		step{102, "up s1", "end s1; dial s2 10.0.0.2:9000"})
}

// TestQueuedSessionsCountWithTheirBackendConnections: when descriptors are short, queued sessions count with the
// backend connections that they will need. They would otherwise take all descriptors once they are assigned, and
// further clients could not be accepted and rejected at once. Connections for polls are closed after each poll.
func TestQueuedSessionsCountWithTheirBackendConnections(t *testing.T) {
	s := newHarness(t, nil, 46) // 14 of the 46 descriptors are for connections, 10 of these for sessions
	for i := 1; i <= 9; i++ {
		s.handle(100, fmt.Sprintf("open %d", i))
		effects := s.handle(100, fmt.Sprintf("came %d OPEN i%d 1f c=feed,t=one,d=2000|", i, i))
		if i <= 5 { // queued: there is no backend yet
			assert.Empty(t, effects, i)
		} else {
			assert.Equal(t, fmt.Sprintf("write %d BUSY 900|; end %d", i, i), effects)
		}
	}
	s.handle(110, "news 1 2 whole b1=active")
	s.handle(160, "tick")
	assert.Equal(t, 5, int(s.Attempts))
	assert.Len(t, s.conns.byID, 10)
	assert.False(t, s.intake.acceptPaused)
	s.play("a further client is still accepted", step{170, "open 10", ""},
		step{170, "came 10 OPEN x 1f c=feed,t=one,d=2000|", "write 10 BUSY 900|; end 10"})
}
