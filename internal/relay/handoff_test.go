package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// newChildHarness returns a child process. Its handoff is encoded and parsed first.
func newChildHarness(t *testing.T, handoff *Handoff, sockets int) *harness {
	if handoff != nil {
		text, err := json.Marshal(handoff)
		require.NoError(t, err)
		handoff, err = ParseHandoff(text, handoff.CreatedAt+50)
		require.NoError(t, err)
	}
	return newHarnessWith(t, replacing(`"probes": false`, `"probes": true`), &Config{
		Seed:             6,
		MaxSockets:       sockets,
		HasParent:        true,
		Handoff:          handoff,
		Discovery:        "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: parseEndpoints([]string{"b9=active"})},
	})
}

func TestChildProcess(t *testing.T) {
	parent := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active")
	parent.play("the parent", step{10, "news 1 4 whole b1=active b2=leaving", ""}, step{299, "tick",
		"dial s1 10.0.0.1:9000"},
		step{300, "up s1", "write s1 STATS|"}, step{301, "came s1 PONG x0=0.5|", ""},
		step{400, "sibling child", "send-handoff"}, step{401, "sibling child", "send-handoff"})
	s := newChildHarness(t, parent.siblings.handoff, 0)
	assert.Contains(t, strings.Join(s.logs, " "), "restored the handoff of the parent process")
	assert.Equal(t, balancer.Draining, s.endpoints.byName["b2"].condition, "a drain that the parent was notified of")
	assert.Nil(t, s.endpoints.byName["b9"], "the parent's list is newer")
	s.play("with a handoff: not ready before discovery sends the list", step{1, "tick", ""})
	assert.False(t, s.isServing())
	s.play("with a handoff: ready once it does", step{100, "news 1 5 whole b1=active b2=leaving", "resume-accept"})
	assert.True(t, s.isServing())

	s = newChildHarness(t, nil, 0)
	assert.True(t, s.intake.acceptPaused, "no client is accepted")
	s.play("without a handoff: not ready before the first polls", step{10, "news 1 5 whole b1=active", ""},
		step{308, "tick", "dial s1 10.0.0.1:9000"}, step{310, "up s1", "write s1 STATS|"})
	assert.False(t, s.isServing())
	s.play("without a handoff: ready once they are answered", step{312, "came s1 PONG x0=0.5|", "resume-accept"})
	assert.True(t, s.isServing())

	s = newChildHarness(t, nil, 0)
	s.play("no poll is answered: ready within the platform's time all the same", step{10, "news 1 5 whole", ""},
		step{childReadyTimeout - 1, "heard 1", ""}, step{childReadyTimeout, "tick", "resume-accept"})
	assert.True(t, s.isServing())
	bad := *parent.siblings.handoff
	bad.Balancer.ConcurrencyLimit = -1
	s = newHarnessWith(t, nil, &Config{
		HasParent:        true,
		Handoff:          &bad,
		Discovery:        "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{},
	})
	assert.Contains(t, strings.Join(s.logs, " "), "handoff of the parent process ignored")
}

func TestParseHandoff(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.handle(1000, "sibling child")
	good, err := json.Marshal(s.siblings.handoff)
	require.NoError(t, err)
	for _, c := range []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"a field more", `{"Version"`, `{"Later":1,"Version"`, ""},
		{"cut short", `]}`, ``, "parse handoff: "},
		{"another version", `"Version":1`, `"Version":2`, "version 1 expected, got 2"},
		{"too old", `"At":1000,`, `"At":-20000,`, "ms ago"},
		{"not yet", `"At":1000,`, `"At":20000,`, "ms ago"},
		{"no list", `"List":`, `"Lust":`, "missing or wrong"},
		{"names without backends", `"Names":["b1"]`, `"Names":[]`, "missing or wrong"},
		{"fewer than none", `"Links":`, `"Links":-`, "missing or wrong"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(good), c.old, c.new, 1)
			require.Equal(t, c.old == "", text == string(good), c.name)
			_, err := ParseHandoff([]byte(text), 1050)
			if c.want == "" {
				assert.NoError(t, err, c.name)
			} else {
				assert.ErrorContains(t, err, c.want, c.name)
			}
		})
	}
}

// TestParentAsksForTheWholeList: a parent without a watch starts one when the child appears, and soon again if that
// fails. Otherwise it would learn of a drain later than the child, which has its own watch, and an operator who drains
// a backend sees both as one relay.
func TestParentAsksForTheWholeList(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("the new watch fails", step{1, "failed 1", ""}, step{10, "sibling child", "watch 2 after 0; send-handoff"},
		step{11, "failed 2", ""}, step{261, "tick", "watch 3 after 0"},
		step{262, "sibling child", "send-handoff"})
}

// TestSiblingEndpoints: the endpoint list of one process counts at the other where it is stricter, until discovery has
// sent the whole list to the process that remains.
func TestSiblingEndpoints(t *testing.T) {
	for _, other := range []string{"child", "parent"} {
		s := newHarness(t, nil, 0, "b1=active", "b2=active", "b3=active", "b4=active")
		conditions := func() (all string) {
			for _, name := range []string{"b1", "b2", "b3", "b4"} {
				b := s.endpoints.byName[name]
				all += fmt.Sprintf("%t@%.0f ", b.condition == balancer.Ready, b.StartedAt)
			}
			return all
		}
		s.handle(1, "sibling-endpoints b1=leaving")
		assert.Equal(t, "true@0 true@0 true@0 true@0 ", conditions(), "ignored without a sibling")
		s.handle(2, "sibling "+other)
		s.handle(10, "news 1 4 whole b1=active b2=active b3=active b4=active")
		require.NotNil(t, s.sentEndpoints)
		assert.Len(t, s.sentEndpoints.Endpoints, 4)
		s.handle(20, "sibling-endpoints b1=leaving b3=active@15 b4=active")
		want := "false@0 false@0 true@15 true@0 "
		assert.Equal(t, want, conditions(), "b1 drains, b2 is missing, b3 has restarted")
		s.handle(30, "news 1 5 whole b1=active b2=active b3=active@15 b4=active")
		assert.Equal(t, want, conditions(), "an update that still lacks the drains")
		s.play("asks for the whole list once it is alone", step{40, "sibling none", "watch 2 after 0"})
		assert.Equal(t, want, conditions())
		s.handle(50, "news 2 5 whole b1=active b2=leaving b3=active@15 b4=active")
		assert.Equal(t, "true@0 false@0 true@15 true@0 ", conditions(), "by its own watch alone")

		s.handle(60, "sibling "+other)
		s.handle(61, "sibling-endpoints b1=leaving b2=leaving b3=active@15 b4=active")
		s.handle(62, "sibling-endpoints b1=active b2=leaving b3=active@15 b4=active")
		assert.Equal(t, "true@0 false@0 true@15 true@0 ", conditions(), "the sibling's drain of b1 is taken back")
	}
}

// TestParentProcess: a parent leaves all new clients to a child that is ready, and serves those that it has accepted
// until their sessions are transferred, migrated or ended.
func TestParentProcess(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("shuts down for the child", step{200, "sibling child", "send-handoff"}, step{300, "open 2", ""},
		step{1000, "stop yield", "transfer 1; pause-accept"}, step{1000, "detach 1", "detached 1"}, step{1001, "open 3",
			""}, // this client was being accepted
		step{1002, "came 3 PING|", "write 3 PONG|"}, // a ping is about the relay as a whole
		step{1003, "came 2 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1004, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"},
		step{1005, "came s2 UP r|", "write 2 UP r|; transfer 2"}, step{1005, "detach 2", "detached 2"},
		step{1600, "tick", ""}, // not migrated while it may be the child's
		step{1601, "transferred 1", "end 1; end s1"}, step{1602, "transferred 1", ""},
		// It does not wait for clients that have only sent pings.
		step{1610, "transferred 2", "end 2; end s2; exit"})
	assert.Equal(t, []uint64{2, 0}, []uint64{s.EndReasons[TransferredToChild], s.Migrated})

	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("a session that can't be transferred is migrated", step{200, "sibling child", "send-handoff"},
		step{1000, "stop yield", "transfer 1; pause-accept"}, step{1001, "detach 1", "detached 1"},
		step{1002, "transferred 1 not", ""}, step{1003, "came 1 x|", "write s1 x|"})
	for now := 1010.0; now < 1000+s.maxDrainTime() && !s.lifecycle.exiting; now += 10 {
		s.handle(now, "tick")
	}
	assert.Equal(t, uint64(1), s.Migrated)
	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("a session whose connection closed during the transfer is ended", step{200, "sibling child", "send-handoff"},
		step{1000, "stop yield", "transfer 1; pause-accept"}, step{1001, "detach 1", "detached 1"}, step{1002, "reset s1",
			"end s1"},
		step{1003, "transferred 1 not", "reset 1; exit"})
	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("a session that is about to end is not transferred",
		step{200, "came s1 BYE|", "write 1 BYE|"}, step{201, "detach 1", ""},
		step{202, "detach 7", ""})

	s = newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("the child dies first: an ordinary shutdown", step{200, "sibling child", "send-handoff"}, step{300,
		"sibling none", ""},
		step{1000, "stop", ""}, step{1400, "open 2", ""}, step{1401, "came 2 OPEN b 1f c=feed,d=2000|",
			"dial s2 10.0.0.1:9000"})
}

// TestLimitsOfTwoProcesses: parent and child together keep to the limits of one relay.
func TestLimitsOfTwoProcesses(t *testing.T) {
	const sockets = 200
	for _, sessions := range []int{0, 10, 30, 50} {
		parent := newHarness(t, replacing(`"may-cancel": true`, `"may-cancel": true, "most-held": 60`), sockets, "b1=active")
		parent.handle(1, "news 1 4 whole b1=active")
		for i := 1; i <= sessions; i++ {
			parent.handle(2, "open "+string(rune('0'+i/10))+string(rune('0'+i%10)))
			parent.handle(2,
				"came "+string(rune('0'+i/10))+string(rune('0'+i%10))+" OPEN i"+string(rune('0'+i))+" 1f c=feed,d=2000|")
		}
		unsharedDescriptors, openConns := parent.limits.ownDescriptors, len(parent.conns.byID)
		parent.handle(3, "sibling child")
		assert.LessOrEqual(t, openConns, parent.limits.ownDescriptors, "with %d sessions", sessions)
		s := newHarnessWith(t, replacing(`"may-cancel": true`, `"may-cancel": true, "most-held": 60`), &Config{
			HasParent:        true,
			Handoff:          parent.siblings.handoff,
			MaxSockets:       sockets,
			Discovery:        "10.1.0.1:85",
			InitialEndpoints: &EndpointUpdate{},
		})
		reserved := s.limits.reserved + s.limits.siblingReserve()
		assert.LessOrEqual(t, parent.limits.ownDescriptors+s.limits.ownDescriptors+reserved, sockets, "with %d sessions",
			sessions)
		assert.LessOrEqual(t, parent.limits.ownSessions+s.limits.ownSessions, 60, "with %d sessions", sessions)
		assert.GreaterOrEqual(t, s.limits.sessionDescriptors, descriptorsPerSession, "with %d sessions", sessions)
		s.handle(10, "sibling none")
		assert.Equal(t, unsharedDescriptors, s.limits.ownDescriptors, "the parent is gone")
		parent.handle(10, "sibling none")
		assert.Equal(t, unsharedDescriptors, parent.limits.ownDescriptors, "the child is gone")
	}
	parent := newHarness(t, nil, 0, "b1=active")
	parent.handle(3, "sibling child")
	assert.Equal(t, math.MaxInt, parent.limits.ownDescriptors, "without a limit there is none to share")
}

// TestSessionTransfer: a session continues at the child as it was at the parent, with its partial line, the reply that
// it waits for, the drain of its backend and its load.
func TestSessionTransfer(t *testing.T) {
	parent := newHarness(t, nil, 0, "b1=active")
	parent.establishSession()
	parent.play("a partial line, and one that waits for its reply",
		step{103, "came s1 LOAD 700|half a", "write 1 LOAD 700|"},
		step{104, "came 1 ask|", "write s1 ask|"}, step{105, "detach 1", "detached 1"})
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the line goes on", []step{{200, "came s1  line|x", "write 7 half a line|"},
			{201, "came 7 y|", "write s1 y|"}, {202, "end 7", "end 7; end s1"}}},
		{"its client's line waits on", []step{{4099, "tick", ""}, {4105, "tick", "write 7 MOVE|; end 7; end s1"}}},
		{"its backend goes", []step{{200, "news 1 2 delta b1=leaving", "write 7 MOVE|; end 7; end s1"}}},
		{"so does the process", []step{{200, "stop", ""}, {2600, "tick", "write 7 MOVE|; end 7; end s1; exit"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.detached = parent.detached
			s.play(c.name, step{1, "heard 1", ""}, step{105, "receive 7", "accepted 7 s1"})
			backendSessions := s.queue.dispatcher.Balancer.BackendStatus(s.endpoints.byName["b1"].id).Sessions
			assert.Equal(t, []int{1, 1, 1}, []int{backendSessions, s.Established, s.queue.sessions}, c.name)
			assert.Equal(t, "in_flight 1, backends_known 1", s.nonZeroMetrics(), "in flight here, but not counted as a request")
			s.handle(3000, "heard 1")
			s.now = 105
			s.play(c.name, c.steps...)
			assert.Zero(t, s.queue.sessions, c.name)
			assert.Empty(t, s.queue.byID, c.name)
		})
	}
	for name, corrupt := range map[string]func(*TransferredSession){
		"version": func(p *TransferredSession) { p.Version = 9 }, "category": func(p *TransferredSession) { p.Class = "x" },
		"party": func(p *TransferredSession) { p.Tenant = "x" }, "backend": func(p *TransferredSession) { p.Backend = "b7" },
		"load": func(p *TransferredSession) { p.Load = math.NaN() }, "id": func(p *TransferredSession) { p.ID = "" },
	} {
		bad := *parent.detached
		corrupt(&bad)
		s := newHarness(t, nil, 0, "b1=active")
		s.detached = &bad
		s.play(name, step{105, "receive 7", ""})
		assert.Empty(t, s.conns.byID, name)
	}
	parent = newHarness(t, nil, 0, "b1=active")
	parent.establishSession()
	parent.play("the drain of its backend is transferred too", step{200, "open 2", ""},
		step{200, "came 2 OPEN b 1f c=feed,t=one,d=2000|", "dial s2 10.0.0.1:9000"},
		step{201, "up s2", "write s2 OPEN b 1f c=feed,t=one,d=1989|"}, step{202, "came s2 UP r|", "write 2 UP r|"},
		step{300, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"}, step{400, "detach 2", "detached 2"})
	s := newHarness(t, nil, 0, "b1=leaving")
	s.detached = parent.detached
	s.play("the child migrates it at the time that the parent had scheduled",
		step{400, "receive 7", "accepted 7 s1"}, step{1799, "heard 1", ""},
		step{1801, "tick", "write 7 MOVE|; end 7; end s1"})
}

// TestTransferredTimesGoOn guards against a silent connection that is held: the child started the time for a reply, and
// that for a client's next data, anew (7.8 s instead of 4 s; each further replacement added up to 4 s).
func TestTransferredTimesGoOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  []step // at the parent, whose session was established at 102
		times   TransferredSession
		movedAt float64 // by the child, which receives the session at 3900
	}{
		{"for the reply to a line", []step{{1000, "came 1 ask|", "write s1 ask|"}},
			TransferredSession{ReplyInMillis: 1100, IdleInMillis: 17100}, 5000},
		{"for the client's next data", []step{{1000, "came 1 ask|", "write s1 ask|"}, {1001, "came s1 LOAD 7|", "write 1 LOAD 7|"}},
			TransferredSession{IdleInMillis: 17100, BackendDataAgoMillis: 2899}, 21000},
	} {
		t.Run(c.name, func(t *testing.T) {
			parent := newHarness(t, nil, 0, "b1=active")
			parent.establishSession()
			parent.handle(900, "heard 1")
			parent.play(c.name, c.before...)
			parent.handle(3800, "heard 1")
			parent.play(c.name, step{3900, "detach 1", "detached 1"})
			sent := parent.detached
			assert.Equal(t, c.times, TransferredSession{ReplyInMillis: sent.ReplyInMillis, IdleInMillis: sent.IdleInMillis,
				BackendDataAgoMillis: sent.BackendDataAgoMillis})
			s := newHarness(t, nil, 0, "b1=active")
			s.detached = sent
			s.play(c.name, step{1, "heard 1", ""}, step{3900, "receive 7", "accepted 7 s1"})
			s.requireMoveAt(c.movedAt)
		})
	}
}

// requireMoveAt requires that the session of client 7 is migrated at that time, and not earlier.
func (s *harness) requireMoveAt(at float64) {
	s.t.Helper()
	for now := s.now; now < at; now += 100 { // in steps, so that the process does not count as suspended
		require.NotContains(s.t, s.handle(now, "heard 1"), "MOVE", now)
	}
	s.play("the last moment", step{at - 1, "tick", ""}, step{at, "tick", "write 7 MOVE|; end 7; end s1"})
}

// TestTimesOfAnOlderParentStartAnew: a parent of a version that tells no times, or one that tells nonsense.
func TestTimesOfAnOlderParentStartAnew(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/passed-without-times.json")
	require.NoError(t, err)
	var older TransferredSession
	require.NoError(t, json.Unmarshal(text, &older))
	require.True(t, older.AwaitsReply)
	for _, told := range []float64{0, -1, 1e9} {
		session := older
		session.Group, session.LeavesInMillis, session.ReplyInMillis, session.IdleInMillis = 0, -1, told, told
		s := newHarness(t, nil, 0, "b1=active")
		s.detached = &session
		s.play("older", step{1, "heard 1", ""}, step{105, "receive 7", "accepted 7 s1"})
		s.requireMoveAt(105 + replyTimeout)
	}
}

// TestChildKeepsAccepting: a child with few descriptors keeps some for new clients. Polls or received sessions used to
// take them all, so that clients were not accepted until the parent was gone (in 2 of 2,000 random experiments).
func TestChildKeepsAccepting(t *testing.T) {
	for sockets, minTransferred := range map[int]int{110: 0, 130: 1, 160: 30} {
		requireChildAccepts(t, sockets, minTransferred)
	}
}

func requireChildAccepts(t *testing.T, sockets, minTransferred int) {
	t.Helper()
	names := []string{"b1=active", "b2=active", "b3=active", "b4=active", "b5=active", "b6=active", "b7=active",
		"b8=active", "b9=active"}
	probing := replacing(`"probes": false`, `"probes": true`)
	parent := newHarnessWith(t, probing, &Config{Seed: 5, MaxSockets: sockets, Discovery: "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Index: 1, Complete: true, Endpoints: parseEndpoints(names)}})
	for i := 1; i <= 30; i++ {
		id := strings.Repeat("i", i)
		parent.handle(2, "open "+strconv.Itoa(i))
		if effects := parent.handle(2,
			"came "+strconv.Itoa(i)+" OPEN "+id+" 1f c=feed,t=one,d=2000|"); strings.HasPrefix(effects, "dial") {
			conn := strings.Fields(effects)[1]
			parent.handle(3, "up "+conn)
			parent.handle(4, "came "+conn+" UP r|")
		}
	}
	require.Greater(t, parent.Established, 20)
	parent.handle(100, "sibling child")
	s := newHarnessWith(t, probing, &Config{Seed: 6, MaxSockets: sockets, HasParent: true,
		Handoff:          parent.siblings.handoff,
		Discovery:        "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{}})
	s.handle(10, "news 1 5 whole "+strings.Join(names, " "))
	for now := 100.0; now < 2600; now += 50 {
		s.handle(now, "tick")
	}
	assert.False(t, s.intake.acceptPaused, "%d connections of %d", len(s.conns.byID), s.limits.ownDescriptors)
	assert.Less(t, s.Polls, uint64(200), "polls are not repeated in a busy loop")
	parent.handle(2600, "stop yield")
	transferred := 0
	for i := 1; i <= 30; i++ {
		parent.detached = nil
		parent.handle(2601, "detach "+strconv.Itoa(i))
		if s.detached = parent.detached; s.detached == nil {
			continue
		}
		if s.handle(2601, "receive "+strconv.Itoa(1000+i)) != "" {
			transferred++
			parent.handle(2602, "transferred "+strconv.Itoa(i))
		} else {
			parent.handle(2602, "transferred "+strconv.Itoa(i)+" not")
		}
		if minTransferred > 0 {
			assert.LessOrEqual(t, len(parent.conns.byID)+parent.limits.siblingReserve()+len(s.conns.byID)+s.limits.reserved,
				sockets, i)
		}
	}
	assert.LessOrEqual(t, transferred, 30)
	assert.GreaterOrEqual(t, transferred, minTransferred, "%d descriptors", sockets)
	assert.False(t, s.intake.acceptPaused, "%d connections of %d after %d", len(s.conns.byID),
		s.limits.ownDescriptors, transferred)
	s.handle(2700, "open 1")
	s.handle(2701, "came 1 OPEN z 1f c=feed,t=one,d=2000|")
	assert.Equal(t, uint64(1), s.Requests, "a new client is served")
}

// TestDrainedChildMovesReceivedSessionsInTime: a drained child kept a session that its parent sent late for as long as the
// backend's drain allowed, up to 3 s beyond its own drain. It has to hold no session then.
func TestDrainedChildMovesReceivedSessionsInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		at, leaves float64
		movedAt    float64
	}{
		{"its backend drains later than the child", 3500, 1400, 3500},
		{"its backend drains sooner", 600, 100, 700},
		{"its backend does not drain", 3500, -1, 3500},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.play("drained", step{100, "drain on", ""}, step{c.at - 1, "heard 1", ""})
			s.detached = parentSession(false)
			s.detached.LeavesInMillis = c.leaves
			want := "accepted 7 s1"
			if c.movedAt == c.at {
				want += "; write 7 MOVE|; end 7; end s1"
			}
			s.play(c.name, step{c.at, "receive 7", want})
			if c.movedAt > c.at {
				s.play(c.name, step{c.movedAt - 1, "tick", ""}, step{c.movedAt, "tick", "write 7 MOVE|; end 7; end s1"})
			}
		})
	}
}
