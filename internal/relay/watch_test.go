package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/balancer"
)

func TestWatch(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("a watch that fell silent is restarted at once", step{2000, "heard 1", ""}, step{4799, "tick", ""},
		step{4800, "tick", "watch 2 after 0"}, step{4801, "news 1 9 whole", ""}, step{8099, "tick", ""})
	s.play("a call that is never answered is retried soon", step{8100, "tick", ""},
		step{9700, "tick", "watch 3 after 0 beside 2"})
	s.play("other ends of a watch", step{9701, "news 3 9 whole b1=active", "stop-watches-but 3"}, step{9702, "failed 1", ""},
		step{9703, "failed 3", ""}, step{11300, "tick", "watch 4 after 9"},
		step{11301, "news 4 8 delta b1=leaving", "watch 5 after 0"}, // at once: a backend may have been drained
		step{11302, "news 5 3 whole b1=active b2=active", ""},
		step{11303, "news 5 2 delta b1=leaving", "stop-watch"}, // not at once again, as that could repeat without end
		step{12900, "tick", "watch 6 after 0"}, step{12900, "news 6 3 whole b1=active b2=active", ""})
	assert.Equal(t, uint64(3), s.endpoints.index, "a complete list may have an older version")
	s.endpoints.findOrAdd("b1").Endpoint.Invalid = ""
	bad := []Endpoint{{Name: "b1", Status: "odd", Invalid: "status"}, {Name: "b2", Status: "left"}}
	s.Handle(12902, EndpointsUpdated{Watch: 6, Update: &EndpointUpdate{Index: 4, Complete: true, Endpoints: bad}})
	assert.Equal(t, balancer.Ready, s.endpoints.findOrAdd("b1").condition, "an invalid entry changes nothing")
	assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
}

// TestWholeListOfAnOlderVersionIsUsed guards against new work for a draining backend: a discovery that counts its versions
// anew answered a call for changes with the whole list, which the relay dropped and asked for again, slowly.
func TestWholeListOfAnOlderVersionIsUsed(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.play("discovery is lost and comes back", step{100, "news 1 9 whole b1=active b2=active", ""}, step{200, "failed 1", ""},
		step{1800, "tick", "watch 2 after 9"}, step{1801, "news 2 3 whole b1=leaving", ""})
	assert.Equal(t, balancer.Draining, s.endpoints.findOrAdd("b1").condition)
	assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
	assert.Equal(t, uint64(3), s.endpoints.index)
	s.play("its changes count from there", step{1802, "news 2 4 delta b1=active", ""})
	assert.Equal(t, balancer.Ready, s.endpoints.findOrAdd("b1").condition)
}

// TestReload: a reload keeps the known list, asks a new discovery again soon if it fails, and accepts its lower
// versions.
func TestReload(t *testing.T) {
	s := newHarness(t, nil, 0, "b1=active")
	s.establishSession()
	s.play("reload to another discovery", step{200, "news 1 7 whole b1=active b2=active", ""},
		step{300, "reload-error", ""}, step{301, "reload 10.1.0.1:85", ""},
		step{302, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"},
		step{303, "news 1 8 delta b1=leaving", ""},
		step{310, "failed 2", ""}, step{560, "tick", "watch 3 after 0 at 10.1.0.2:85"},
		step{2011, "came 1 x|", "write s1 x|"}, step{2012, "came s1 x|", "write 1 x|"}, step{3859, "tick", ""},
		step{3860, "tick", ""}, step{4110, "tick", "watch 4 after 0 at 10.1.0.2:85 beside 3"},
		step{4111, "news 4 2 whole b1=active b3=active", "stop-watches-but 4"}, step{6910, "tick", ""},
		step{6911, "tick", "watch 5 after 2 at 10.1.0.2:85"})
	assert.Equal(t, balancer.Gone, s.endpoints.findOrAdd("b2").condition)
	assert.Equal(t, []uint64{2, 1}, []uint64{s.Reloads, s.FailedReloads})
	assert.Equal(t, 1, s.Established)
	s = newHarness(t, nil, 0, "b1=active")
	s.play("reload while the former watch is failing", step{1, "failed 1", ""},
		step{2, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"}, step{3, "heard 2", ""},
		step{3000, "heard 2", ""}, step{3001, "news 2 1 whole b1=active", ""}, step{6500, "heard 2", ""})
	s = newHarness(t, nil, 0, "b1=active")
	s.play("several reloads in a row, one during a shutdown",
		step{1, "reload 10.1.0.2:85", "watch 2 after 0 at 10.1.0.2:85"},
		step{2, "reload 10.1.0.3:85", "watch 3 after 0 at 10.1.0.3:85"}, step{3, "failed 2", ""},
		step{4, "stop", ""},
		step{5, "reload 10.1.0.1:85", "watch 4 after 0"}, step{6, "news 4 1 delta b1=leaving", ""},
		step{504, "tick", "exit"})
	assert.Equal(t, balancer.Draining, s.endpoints.findOrAdd("b1").condition)
}

// TestStartTimesByDiscoveryClock: a relay whose clock differs from discovery's corrects backends' start times by it, so
// that a backend in slow start is recognized. It can't if discovery sends no date.
func TestStartTimesByDiscoveryClock(t *testing.T) {
	const now = 100000.0 // by discovery's clock, a second after the backend's start; slow start lasts 9 s
	for _, c := range []struct {
		name    string
		ahead   float64 // milliseconds by which this relay's clock is ahead
		dated   bool
		warming int
	}{
		{"the same clock", 0, true, 1},
		{"ahead, dated", 30000, true, 1},
		{"ahead, not dated", 30000, false, 0}, // this relay can't know the difference
		{"behind, dated", -30000, true, 1},
		{"as far as dates are off", 1400, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			update := s.parseUpdate("2 whole b1=active@99000")
			if c.dated {
				update.DiscoveryTime = now
			}
			s.Handle(now+c.ahead, EndpointsUpdated{Watch: 1, Update: update})
			warming, usable := s.balancer().WarmingUp(now + c.ahead)
			assert.Equal(t, []int{c.warming, 1}, []int{warming, usable})
			warming, _ = s.balancer().WarmingUp(now + c.ahead + 8500)
			assert.Zero(t, warming, "slow start has ended")
		})
	}
}
