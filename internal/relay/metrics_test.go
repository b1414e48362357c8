package relay

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// nonZeroMetrics returns the names and values of the metrics that are not 0.
func (s *harness) nonZeroMetrics() string {
	var nonZeroMetrics []string
	values := s.metricValues(nil)
	for i, metric := range s.metricNames() {
		if values[i] > 0 {
			nonZeroMetrics = append(nonZeroMetrics, fmt.Sprint(metric.Name, " ", values[i]))
		}
	}
	return strings.Join(nonZeroMetrics, ", ")
}

// TestMetricsOfSessions checks the metrics at each stage of a client's connection, and after each way in which it can end.
func TestMetricsOfSessions(t *testing.T) {
	const request = "came 1 OPEN a 1f c=feed,t=one,d=2000|"
	up := []step{{100, "open 1", ""}, {100, request, "dial s1 10.0.0.1:9000"},
		{101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=1989|"}}
	established := append(append([]step{}, up...), step{102, "came s1 UP r|", "write 1 UP r|"})
	for _, c := range []struct {
		name  string
		start []step
		event string
		want  string
	}{
		{"nothing yet", nil, "tick", ""},
		{"accepted", nil, "open 1", ""},
		{"dialing", up[:2], "tick", "in_flight 1"},
		{"attempt sent", up, "tick", "attempts 1, in_flight 1"},
		{"established", established, "tick", "served.feed 1, attempts 1, in_flight 1"},
		{"established, and the client closed", established, "end 1", "served.feed 1, attempts 1"},
		{"established, and the backend reset", established, "reset s1", "served.feed 1, attempts 1"},
		{"established, and moved", established, "news 1 2 delta b1=leaving",
			"served.feed 1, attempts 1"},
		{"retried", up, "came s1 BUSY|", "attempts 1, in_flight 1"},
		{"connection never established", up[:2], "reset s1", "in_flight 1"},
		{"client left before its answer", up, "end 1", "attempts 1"},
		{"data before the answer", up, "came 1 x|", "failed.feed 1, attempts 1"},
		{"request that can't be read", up[:1], "came 1 HELLO|", ""},
		{"unknown class", up[:1], "came 1 OPEN a 1f c=x,d=2000|", ""},
		{"deadline that can't be", up[:1], "came 1 OPEN a 1f c=order,d=90000|", "failed.order 1"},
		{"re-established", []step{{100, "open 1", ""}, {100, "came 1 OPEN a 1f c=feed,t=one,d=2000,at=b1|",
			"dial s1 10.0.0.1:9000"}, {101, "up s1", "write s1 OPEN a 1f c=feed,t=one,d=2000,at=b1|"}},
			"came s1 UP r|", "served.feed 1, attempts 1, in_flight 1"},
		{"failed", []step{{100, "open 1", ""}, {100, "came 1 OPEN a 1f c=order,t=one,d=2000|",
			"dial s1 10.0.0.1:9000"}, {101, "up s1", "write s1 OPEN a 1f c=order,t=one,d=1989|"}},
			"came s1 ERR|", "failed.order 1, attempts 1"},
	} {
		s := newHarness(t, nil, 0, "b1=active", "b2=active")
		s.play(c.name, c.start...)
		s.handle(103, c.event)
		s.handle(2000, "tick")
		want := "backends_known 2"
		if strings.HasPrefix(c.event, "news") {
			want += ", backends_excluded 1"
		}
		assert.Equal(t, strings.TrimPrefix(c.want+", "+want, ", "), s.nonZeroMetrics(), c.name)
	}
	s := newHarness(t, nil, 0)
	s.play("rejected without a backend", step{100, "open 1", ""}, step{100, request, ""})
	for now := 150.0; now < 1300; now += 50 {
		s.handle(now, "tick")
	}
	assert.Equal(t, "refused.feed 1", s.nonZeroMetrics())
}

// TestMetricsOfBackends checks that draining and unresponsive backends count as excluded, and that a backend that has left
// no longer counts as known.
func TestMetricsOfBackends(t *testing.T) {
	s := newHarness(t, replacing(`"probes": false`, `"probes": true`), 0, "b1=active", "b2=active", "b3=leaving")
	assert.Equal(t, "backends_known 3, backends_excluded 1", s.nonZeroMetrics())
	for now := 0.0; now < 3000; now += 50 {
		s.handle(now, "tick") // no poll connection is established
	}
	assert.Equal(t, "backends_known 3, backends_excluded 3", s.nonZeroMetrics())
	s.handle(3000, "heard 1")
	s.handle(3001, "news 1 2 whole b2=active")
	assert.Equal(t, "backends_known 1, backends_excluded 1", s.nonZeroMetrics())
}

func TestLameDuck(t *testing.T) {
	two := replacing(`"replicas-of-me": 1`, `"replicas-of-me": 2`)
	s := newHarness(t, two, 0, "b1=active")
	s.establishSession()
	s.play("sessions are migrated over the time of a shutdown, and the relay goes on",
		step{1000, "drain on", ""}, step{1001, "drain on", ""},
		step{1001, "open 2", ""}, step{1001, "came 2 PING|", "write 2 ERR|"}, step{1002, "end 2", "end 2"},
		step{1300, "open 3", ""}, step{1300, "came 3 OPEN b 1f c=feed,d=2000|", "dial s2 10.0.0.1:9000"},
		step{1301, "up s2", "write s2 OPEN b 1f c=feed,d=1989|"}, step{1899, "tick", ""},
		step{2650, "tick", "write 1 MOVE|; end 1; end s1"}, step{2651, "heard 1", ""})
	assert.False(t, s.isServing())
	s.play("a session established during the drain is migrated at once", step{3399, "came s2 UP r|",
		"write 3 UP r|; write 3 MOVE|; end 3; end s2"},
		step{3400, "tick", ""}, step{9000, "heard 1", ""})
	assert.Zero(t, s.queue.sessions)
	s.play("serving again at once", step{9001, "drain off", ""}, step{9001, "drain off", ""}, step{9002, "open 4", ""},
		step{9002, "came 4 PING|", "write 4 PONG|"})
	assert.True(t, s.isServing())

	s = newHarness(t, two, 0, "b1=active", "b2=active")
	s.establishSession()
	s.play("a session that was not migrated before the drain was undone stays",
		step{1000, "drain on", ""}, step{1200, "drain off", ""})
	for now := 1500.0; now < 9000; now += 500 {
		s.play("session stays", step{now, "came 1 x|", "write s1 x|"}, step{now + 1, "came s1 y|", "write 1 y|"})
		s.handle(now+2, "heard 1")
	}
	s.play("it is migrated if its backend drains", step{9100, "drain on", ""}, step{9101, "news 1 2 delta b1=leaving", ""},
		step{9102, "drain off", ""})
	s.handle(12200, "tick")
	assert.Zero(t, s.Established)
	assert.Equal(t, uint64(1), s.Migrated)

	s = newHarness(t, two, 0, "b1=active")
	s.establishSession()
	s.play("a shutdown takes precedence over drain on and off", step{1000, "drain on", ""}, step{1500, "stop", ""}, step{1600,
		"drain off", ""},
		step{1601, "drain on", ""})
	assert.True(t, s.lifecycle.stopping)
	assert.False(t, s.isServing())
	for now := 1700.0; now < 5000 && !s.lifecycle.exiting; now += 50 {
		s.handle(now, "tick")
	}
	assert.True(t, s.lifecycle.exiting)
	s = newHarness(t, nil, 0, "b1=active")
	s.play("a reload while draining is applied", step{1, "drain on", ""}, step{2, "reload 10.1.0.2:85",
		"watch 2 after 0 at 10.1.0.2:85"}, step{3, "news 2 1 whole b1=active", ""}, step{4, "drain off", ""})
	assert.True(t, s.isServing())
}

// servingRecorder is a log handler that records the published serving flag whenever the state machine logs a drain, which
// is while its effects are carried out.
type servingRecorder struct {
	slog.Handler
	currentMetrics func() *publishedMetrics
	observed       []bool
}

func (h *servingRecorder) Enabled(context.Context, slog.Level) bool { return true }

// Handle is called with the driver's lock held. It ignores the watch failures that are logged because there is no discovery.
func (h *servingRecorder) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "draining" {
		h.observed = append(h.observed, h.currentMetrics().serving.Load())
	}
	return nil
}

// TestMetricsArePublishedBeforeEffects checks that whoever has seen an effect reads metrics that include its event.
func TestMetricsArePublishedBeforeEffects(t *testing.T) {
	s, _ := newTestDriver(t)
	startMachine(t, s)
	seen := &servingRecorder{currentMetrics: func() *publishedMetrics { return s.metrics }}
	s.mutex.Lock()
	s.log, s.metrics = slog.New(seen), newPublishedMetrics(s.machine)
	s.machine.becomeReady()
	s.mutex.Unlock()
	s.handle(TimerFired{})
	s.handle(DrainRequested{On: true})
	s.handle(DrainRequested{})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	assert.Equal(t, []bool{false, true}, seen.observed, "serving flag at the log lines of drain on and off")
}
