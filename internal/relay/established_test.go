package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEstablishedSessions(t *testing.T) {
	for _, c := range []struct {
		name   string
		steps  []step
		reason EndReason
	}{
		{"lines both ways, whole", []step{{200, "came 1 ping 1|", "write s1 ping 1|"},
			{201, "came s1 pong", ""}, {202, "came s1  1|x|y", "write 1 pong 1|; write 1 x|"},
			{203, "end 1", "end 1; end s1"}}, ClientClosed},
		{"a client's reset goes on as one", []step{{200, "reset 1", "end 1; reset s1"}}, ClientReset},
		{"finished", []step{{200, "came s1 BYE inflight=7,x0=0.4|junk|", "write 1 BYE inflight=7,x0=0.4|"},
			{201, "came s1 junk|", ""}, {202, "end s1", "end s1; end 1"}}, BackendFinished},
		{"finished without an end", []step{{200, "came s1 BYE|", "write 1 BYE|"},
			{699, "tick", ""}, {700, "tick", "end 1; end s1"}}, BackendFinished},
		{"nothing is told behind BYE", []step{{200, "came s1 BYE|" + strings.Repeat("x", 5000), "write 1 BYE|"},
			{201, "came s1 " + strings.Repeat("x", 5000), ""}, {202, "news 1 2 delta b1=leaving", "end 1; end s1"}},
			BackendFinished},
		{"the backend sends the client away", []step{{200, "came s1 MOVE|", "write 1 MOVE|"},
			{201, "end s1", "end s1; end 1"}}, BackendMovedClient},
		{"an end goes on as an end", []step{{200, "end s1", "end s1; end 1"}}, BackendClosed},
		{"a reset goes on as a reset", []step{{200, "reset s1", "end s1; reset 1"}}, BackendClosed},
		{"a line over the bound", []step{{200, "came s1 " + strings.Repeat("x", 5000), "reset 1; reset s1"}},
			MalformedAnswer},
		{"lines that bring nothing back", []step{{1000, "came 1 a|", "write s1 a|"}, {1001, "came s1 b|",
			"write 1 b|"},
			{3000, "heard 1", ""}, {3000, "came 1 a|", "write s1 a|"}, {6000, "heard 1", ""}, {6000, "came 1 a|",
				"write s1 a|"},
			{6999, "tick", ""}, {7000, "tick", "write 1 MOVE|; end 1; end s1"}}, BackendSilent},
		{"MOVE falls between two lines when the backend leaves", []step{{200, "came s1 half a li", ""},
			{201, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"}}, RelayMovedClient},
		{"a whole list without the backend", []step{
			{200, "news 1 2 whole b2=active", "write 1 MOVE|; end 1; end s1"}}, RelayMovedClient},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.establishSession()
			s.play(c.name, c.steps...)
			assert.Equal(t, uint64(1), s.EndReasons[c.reason], c.name)
			assert.Zero(t, s.queue.sessions, c.name)
			assert.Empty(t, s.conns.byID, c.name)
			assert.Empty(t, s.endpoints.findOrAdd("b1").sessions, c.name)
		})
	}
}

// TestSilentBackend: the sessions of a backend whose machine has vanished are migrated within seconds. A backend that
// only stops answering polls keeps its sessions.
func TestSilentBackend(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		migrated     bool
	}{{"says nothing at all", "tick", true}, {"still answers lines", "came s1 b|", false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active")
			s.establishSession()
			for _, event := range []string{"up s2", "came s2 PONG x0=0.1|"} {
				s.handle(400, event)
			}
			s.handle(900, "came 1 a|")
			s.handle(950, c.answer)
			for now := 1000.0; now < 3000; now += 50 {
				s.handle(now, "tick")
			}
			assert.Equal(t, c.migrated, s.EndReasons[BackendSilent] == 1)
			assert.Equal(t, !c.migrated, s.Established == 1)
		})
	}
}

func TestClientsOfADrainingBackendAreMigratedOneByOne(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("a second session", step{110, "open 2", ""}, step{110, "came 2 OPEN b 1f c=feed,d=2000|",
		"dial s2 10.0.0.1:9000"},
		step{111, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"}, step{112, "came s2 UP r|", "write 2 UP r|"},
		step{200, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"},
		step{500, "news 1 3 delta b1=leaving", ""}, // the delays between migrations don't start again
		step{1699, "tick", ""}, step{1700, "tick", "write 2 MOVE|; end 2; end s2"})
}

func TestSessionsFromBeforeTheStart(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active", "b2=active")
	s.play("resumed at its backend", step{100, "open 1", ""},
		// A request with at= may have so long a timeout, as all other sessions are reestablished, too.
		step{100, "came 1 OPEN a 1f c=feed,d=40000,at=b2|", "dial s1 10.0.0.2:9000"},
		step{101, "reset s1", "end s1"}, step{600, "tick", ""}, step{601, "tick", "dial s2 10.0.0.2:9000"},
		step{602, "up s2", "write s2 OPEN a 1f c=feed,d=40000,at=b2|"}, step{603, "came s2 UP r|", "write 1 UP r|"})
	s.play("its backend is not found", step{700, "open 2", ""}, step{700, "came 2 OPEN b 1f c=feed,d=2000,at=b7|", ""})
	for now := 1000.0; now < 40000 && s.Failed == 0; now += 500 {
		s.handle(now, "came 1 x|")
		s.handle(now, "came s2 x|")
	}
	assert.Equal(t, uint64(1), s.Failed)
	assert.Equal(t, 1, s.Established)
}
