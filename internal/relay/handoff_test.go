package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/balancer"
)

// beside is the younger of two processes, which has been left what the elder knows, by the form of the file.
func beside(t *testing.T, left *Handoff, sockets int) *scene {
	if left != nil {
		text, err := json.Marshal(left)
		require.NoError(t, err)
		left, err = ParseHandoff(text, left.CreatedAt+50)
		require.NoError(t, err)
	}
	return begin(t, with(`"probes": false`, `"probes": true`), &Config{Seed: 6, MaxSockets: sockets,
		HasParent: true, Handoff: left,
		Discovery: "10.1.0.1:85", InitialEndpoints: &EndpointUpdate{Complete: true, Endpoints: entries([]string{"b9=active"})}})
}

func TestYoungerProcess(t *testing.T) {
	old := open(t, with(`"probes": false`, `"probes": true`), 0, "b1=active")
	old.play("the elder", step{10, "news 1 4 whole b1=active b2=leaving", ""}, step{299, "tick",
		"dial s1 10.0.0.1:9000"},
		step{300, "up s1", "write s1 STATS|"}, step{301, "came s1 PONG x0=0.5|", ""},
		step{400, "beside younger", "bequeath"}, step{401, "beside younger", "bequeath"})
	s := beside(t, old.siblings.handoff, 0)
	assert.Contains(t, strings.Join(s.notes, " "), "took over what the elder process knew")
	assert.Equal(t, balancer.Draining, s.endpoints.byName["b2"].condition, "a drain that the elder was told")
	assert.Nil(t, s.endpoints.byName["b9"], "the elder's list is the newer")
	s.play("fit with the elder's figures as soon as the list is heard", step{1, "tick", ""})
	assert.False(t, s.serving())
	s.play("not before", step{100, "news 1 5 whole b1=active b2=leaving", "free"})
	assert.True(t, s.serving())

	s = beside(t, nil, 0)
	assert.True(t, s.intake.acceptPaused, "nobody is accepted")
	s.play("without a record: after the first probes", step{10, "news 1 5 whole b1=active", ""},
		step{308, "tick", "dial s1 10.0.0.1:9000"}, step{310, "up s1", "write s1 STATS|"})
	assert.False(t, s.serving())
	s.play("told", step{312, "came s1 PONG x0=0.5|", "free"})
	assert.True(t, s.serving())

	s = beside(t, nil, 0)
	s.play("nothing answers: within the platform's time all the same", step{10, "news 1 5 whole", ""},
		step{childReadyTimeout - 1, "heard 1", ""}, step{childReadyTimeout, "tick", "free"})
	assert.True(t, s.serving())
	bad := *old.siblings.handoff
	bad.Balancer.ConcurrencyLimit = -1
	s = begin(t, nil, &Config{HasParent: true, Handoff: &bad, Discovery: "10.1.0.1:85", InitialEndpoints: &EndpointUpdate{}})
	assert.Contains(t, strings.Join(s.notes, " "), "what the elder process left is passed over")
}

func TestReadHandover(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.at(1000, "beside younger")
	good, err := json.Marshal(s.siblings.handoff)
	require.NoError(t, err)
	for _, c := range []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"a field more", `{"Version"`, `{"Later":1,"Version"`, ""},
		{"cut short", `]}`, ``, "handover: "},
		{"another version", `"Version":1`, `"Version":2`, "version 1 expected, got 2"},
		{"too old", `"At":1000,`, `"At":-20000,`, "ms ago"},
		{"not yet", `"At":1000,`, `"At":20000,`, "ms ago"},
		{"no list", `"List":`, `"Lust":`, "missing or wrong"},
		{"names without servers", `"Names":["b1"]`, `"Names":[]`, "missing or wrong"},
		{"fewer than none", `"Links":`, `"Links":-`, "missing or wrong"},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		require.Equal(t, c.old == "", text == string(good), c.name)
		_, err := ParseHandoff([]byte(text), 1050)
		if c.want == "" {
			assert.NoError(t, err, c.name)
		} else {
			assert.ErrorContains(t, err, c.want, c.name)
		}
	}
}

// An elder process without a watch asks for the list as the younger comes, and soon again where that fails:
// the younger is told by its own watch, and this is one relay to who drains a server.
func TestElderAsksAnew(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.play("fails", step{1, "failed 1", ""}, step{10, "beside younger", "watch 2 after 0; bequeath"},
		step{11, "failed 2", ""}, step{261, "tick", "watch 3 after 0"},
		step{262, "beside younger", "bequeath"})
}

// What one of two processes was told counts at the other where that is stricter, until discovery tells it
// all to the one that is left.
func TestToldByTheOtherProcess(t *testing.T) {
	for _, other := range []string{"younger", "elder"} {
		s := open(t, nil, 0, "b1=active", "b2=active", "b3=active", "b4=active")
		conditions := func() (all string) {
			for _, name := range []string{"b1", "b2", "b3", "b4"} {
				b := s.endpoints.byName[name]
				all += fmt.Sprintf("%t@%.0f ", b.condition == balancer.Ready, b.StartedAt)
			}
			return all
		}
		s.at(1, "confided b1=leaving")
		assert.Equal(t, "true@0 true@0 true@0 true@0 ", conditions(), "from nobody")
		s.at(2, "beside "+other)
		s.at(10, "news 1 4 whole b1=active b2=active b3=active b4=active")
		require.NotNil(t, s.confides)
		assert.Len(t, s.confides.Endpoints, 4)
		s.at(20, "confided b1=leaving b3=active@15 b4=active")
		want := "false@0 false@0 true@15 true@0 "
		assert.Equal(t, want, conditions(), "b2 is not there any more, b3 has restarted")
		s.at(30, "news 1 5 whole b1=active b2=active b3=active@15 b4=active")
		assert.Equal(t, want, conditions(), "told late")
		s.play("alone, it asks for all", step{40, "beside none", "watch 2 after 0"})
		assert.Equal(t, want, conditions())
		s.at(50, "news 2 5 whole b1=active b2=leaving b3=active@15 b4=active")
		assert.Equal(t, "true@0 false@0 true@15 true@0 ", conditions(), "by its own watch")

		s.at(60, "beside "+other)
		s.at(61, "confided b1=leaving b2=leaving b3=active@15 b4=active")
		s.at(62, "confided b1=active b2=leaving b3=active@15 b4=active")
		assert.Equal(t, "true@0 false@0 true@15 true@0 ", conditions(), "taken back")
	}
}

// To a younger process that is ready all clients are left at once; those taken before are served to their
// end.
func TestElderProcess(t *testing.T) {
	s := open(t, nil, 0, "b1=active")
	s.stands()
	s.play("stops for the younger", step{200, "beside younger", "bequeath"}, step{300, "open 2", ""},
		step{1000, "stop yield", "pass 1; hold"}, step{1000, "part 1", "parted 1"}, step{1001, "open 3",
			""}, // it was being accepted
		step{1002, "came 3 PING|", "write 3 PONG|"}, // for the relay as a whole
		step{1003, "came 2 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1004, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"},
		step{1005, "came s2 UP r|", "write 2 UP r|; pass 2"}, step{1005, "part 2", "parted 2"},
		step{1600, "tick", ""}, // not to be moved while it may be the other's
		step{1601, "given 1", "end 1; end s1"}, step{1602, "given 1", ""},
		// And it does not wait for who asks only whether it is there.
		step{1610, "given 2", "end 2; end s2; quit"})
	assert.Equal(t, []uint64{2, 0}, []uint64{s.EndReasons[TransferredToChild], s.Migrated})

	s = open(t, nil, 0, "b1=active")
	s.stands()
	s.play("what can't be passed is moved", step{200, "beside younger", "bequeath"},
		step{1000, "stop yield", "pass 1; hold"}, step{1001, "part 1", "parted 1"}, step{1002, "given 1 not", ""},
		step{1003, "came 1 x|", "write s1 x|"})
	for now := 1010.0; now < 1000+s.maxDrainTime() && !s.drain.exiting; now += 10 {
		s.at(now, "tick")
	}
	assert.Equal(t, uint64(1), s.Migrated)
	s = open(t, nil, 0, "b1=active")
	s.stands()
	s.play("or ended, as it has broken meanwhile", step{200, "beside younger", "bequeath"},
		step{1000, "stop yield", "pass 1; hold"}, step{1001, "part 1", "parted 1"}, step{1002, "reset s1",
			"end s1"},
		step{1003, "given 1 not", "break 1; quit"})
	s = open(t, nil, 0, "b1=active")
	s.stands()
	s.play("nothing that is about to end", step{200, "came s1 BYE|", "write 1 BYE|"}, step{201, "part 1", ""},
		step{202, "part 7", ""})

	s = open(t, nil, 0, "b1=active")
	s.stands()
	s.play("the younger dies first: all as before", step{200, "beside younger", "bequeath"}, step{300,
		"beside none", ""},
		step{1000, "stop", ""}, step{1400, "open 2", ""}, step{1401, "came 2 OPEN b 1f c=feed,d=2000|",
			"dial s2 10.0.0.1:9000"})
}

// Both processes keep to the limits of one relay.
func TestLimitsOfTwoProcesses(t *testing.T) {
	const sockets = 200
	for _, held := range []int{0, 10, 30, 50} {
		old := open(t, with(`"may-cancel": true`, `"may-cancel": true, "most-held": 60`), sockets, "b1=active")
		old.at(1, "news 1 4 whole b1=active")
		for i := 1; i <= held; i++ {
			old.at(2, "open "+string(rune('0'+i/10))+string(rune('0'+i%10)))
			old.at(2,
				"came "+string(rune('0'+i/10))+string(rune('0'+i%10))+" OPEN i"+string(rune('0'+i))+" 1f c=feed,d=2000|")
		}
		whole, files := old.limits.ownDescriptors, len(old.conns.byID)
		old.at(3, "beside younger")
		assert.LessOrEqual(t, files, old.limits.ownDescriptors, "held %d", held)
		s := begin(t, with(`"may-cancel": true`, `"may-cancel": true, "most-held": 60`), &Config{HasParent: true,
			Handoff: old.siblings.handoff, MaxSockets: sockets, Discovery: "10.1.0.1:85", InitialEndpoints: &EndpointUpdate{}})
		assert.LessOrEqual(t, old.limits.ownDescriptors+s.limits.ownDescriptors+s.limits.reserved+s.limits.siblingReserve(), sockets, "held %d", held)
		assert.LessOrEqual(t, old.limits.ownSessions+s.limits.ownSessions, 60, "held %d", held)
		assert.GreaterOrEqual(t, s.limits.sessionDescriptors, descriptorsPerSession, "held %d", held)
		s.at(10, "beside none")
		assert.Equal(t, whole, s.limits.ownDescriptors, "the elder is gone")
		old.at(10, "beside none")
		assert.Equal(t, whole, old.limits.ownDescriptors, "the younger is gone")
	}
	old := open(t, nil, 0, "b1=active")
	old.at(3, "beside younger")
	assert.Equal(t, math.MaxInt, old.limits.ownDescriptors, "no limit stays none")
}

// A link goes on at the younger process as it stood: bytes between two lines, silence, its backend's end,
// weight.
func TestLinkHandedOver(t *testing.T) {
	old := open(t, nil, 0, "b1=active")
	old.stands()
	old.play("half a line, and one that waits", step{103, "came s1 LOAD 700|half a", "write 1 LOAD 700|"},
		step{104, "came 1 ask|", "write s1 ask|"}, step{105, "part 1", "parted 1"})
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the line goes on", []step{{200, "came s1  line|x", "write 7 half a line|"},
			{201, "came 7 y|", "write s1 y|"}, {202, "end 7", "end 7; end s1"}}},
		{"its client's line waits on", []step{{4099, "tick", ""}, {4105, "tick", "write 7 MOVE|; end 7; end s1"}}},
		{"its backend goes", []step{{200, "news 1 2 delta b1=leaving", "write 7 MOVE|; end 7; end s1"}}},
		{"so does the process", []step{{200, "stop", ""}, {2600, "tick", "write 7 MOVE|; end 7; end s1; quit"}}},
	} {
		s := open(t, nil, 0, "b1=active")
		s.parted = old.parted
		s.play(c.name, step{1, "heard 1", ""}, step{105, "adopt 7", "adopted 7 s1"})
		links := s.queue.dispatcher.Balancer.BackendStatus(s.endpoints.byName["b1"].id).Sessions
		assert.Equal(t, []int{1, 1, 1}, []int{links, s.Established, s.queue.sessions}, c.name)
		assert.Equal(t, "in_flight 1, backends_known 1", s.told(), "served by the other process")
		s.at(3000, "heard 1")
		s.now = 105
		s.play(c.name, c.steps...)
		assert.Zero(t, s.queue.sessions, c.name)
		assert.Empty(t, s.queue.byID, c.name)
	}
	for name, spoil := range map[string]func(*TransferredSession){
		"version": func(p *TransferredSession) { p.Version = 9 }, "category": func(p *TransferredSession) { p.Class = "x" },
		"party": func(p *TransferredSession) { p.Tenant = "x" }, "backend": func(p *TransferredSession) { p.Backend = "b7" },
		"load": func(p *TransferredSession) { p.Load = math.NaN() }, "id": func(p *TransferredSession) { p.ID = "" },
	} {
		bad := *old.parted
		spoil(&bad)
		s := open(t, nil, 0, "b1=active")
		s.parted = &bad
		s.play(name, step{105, "adopt 7", ""})
		assert.Empty(t, s.conns.byID, name)
	}
	old = open(t, nil, 0, "b1=active")
	old.stands()
	old.play("a drain goes along", step{200, "open 2", ""}, step{200, "came 2 OPEN b 1f c=feed,t=one,d=2000|",
		"dial s2 10.0.0.1:9000"}, step{201, "up s2", "write s2 OPEN b 1f c=feed,t=one,d=1989|"},
		step{202, "came s2 UP r|", "write 2 UP r|"},
		step{300, "news 1 2 delta b1=leaving", "write 1 MOVE|; end 1; end s1"}, step{400, "part 2", "parted 2"})
	s := open(t, nil, 0, "b1=leaving")
	s.parted = old.parted
	s.play("by the time it was given", step{400, "adopt 7", "adopted 7 s1"}, step{1799, "heard 1", ""},
		step{1801, "tick", "write 7 MOVE|; end 7; end s1"})
}

// Against a younger process that has so few descriptors left that probes, or links handed over, take what
// clients come in by: they waited at the door until the elder was gone (two of 2,000 drawn experiments).
func TestYoungerKeepsItsDoorOpen(t *testing.T) {
	for sockets, most := range map[int]int{110: 0, 130: 1, 160: 30} {
		youngerKeepsItsDoorOpen(t, sockets, most)
	}
}

func youngerKeepsItsDoorOpen(t *testing.T, sockets, most int) {
	t.Helper()
	names := []string{"b1=active", "b2=active", "b3=active", "b4=active", "b5=active", "b6=active", "b7=active",
		"b8=active", "b9=active"}
	probing := with(`"probes": false`, `"probes": true`)
	old := begin(t, probing, &Config{Seed: 5, MaxSockets: sockets, Discovery: "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{Index: 1, Complete: true, Endpoints: entries(names)}})
	for i := 1; i <= 30; i++ {
		id := strings.Repeat("i", i)
		old.at(2, "open "+strconv.Itoa(i))
		if said := old.at(2,
			"came "+strconv.Itoa(i)+" OPEN "+id+" 1f c=feed,t=one,d=2000|"); strings.HasPrefix(said, "dial") {
			conn := strings.Fields(said)[1]
			old.at(3, "up "+conn)
			old.at(4, "came "+conn+" UP r|")
		}
	}
	require.Greater(t, old.Established, 20)
	old.at(100, "beside younger")
	s := begin(t, probing, &Config{Seed: 6, MaxSockets: sockets, HasParent: true, Handoff: old.siblings.handoff,
		Discovery:        "10.1.0.1:85",
		InitialEndpoints: &EndpointUpdate{}})
	s.at(10, "news 1 5 whole "+strings.Join(names, " "))
	for now := 100.0; now < 2600; now += 50 {
		s.at(now, "tick")
	}
	assert.False(t, s.intake.acceptPaused, "%d connections of %d", len(s.conns.byID), s.limits.ownDescriptors)
	assert.Less(t, s.Polls, uint64(200), "no spinning")
	old.at(2600, "stop yield")
	handed := 0
	for i := 1; i <= 30; i++ {
		old.parted = nil
		old.at(2601, "part "+strconv.Itoa(i))
		if s.parted = old.parted; s.parted == nil {
			continue
		}
		if s.at(2601, "adopt "+strconv.Itoa(1000+i)) != "" {
			handed++
			old.at(2602, "given "+strconv.Itoa(i))
		} else {
			old.at(2602, "given "+strconv.Itoa(i)+" not")
		}
		if most > 0 {
			assert.LessOrEqual(t, len(old.conns.byID)+old.limits.siblingReserve()+len(s.conns.byID)+s.limits.reserved, sockets, i)
		}
	}
	assert.LessOrEqual(t, handed, 30)
	assert.GreaterOrEqual(t, handed, most, "%d descriptors", sockets)
	assert.False(t, s.intake.acceptPaused, "%d connections of %d after %d", len(s.conns.byID), s.limits.ownDescriptors, handed)
	s.at(2700, "open 1")
	s.at(2701, "came 1 OPEN z 1f c=feed,t=one,d=2000|")
	assert.Equal(t, uint64(1), s.Requests, "whoever comes is heard")
}
