package balancer

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// seasoned is a balancer that has seen links, a failure, a cold server and weights.
func seasoned(t *testing.T) *Balancer {
	b := fleet{Loads: []float64{0.2, 0.6, 0.3, 0.1}, Cold: start - 4000, Seed: 3}.build(t)
	now := start + 100
	for i := range 12 {
		l := arrive(now)
		l.Key = uint64(i + 1)
		if a := b.Assign(now, l); a.Kind == Assign {
			b.SessionEstablished(now+20, l)
			b.LoadMeasured(l, 900)
			if i%3 == 0 {
				b.AttemptFinished(now+40, l, OutcomeConnectionLost, true)
			}
		}
		now += 50
	}
	b.PollFinished(now, 2, false, nil)
	b.PollFinished(now, 2, false, nil)
	return b
}

// What was learnt goes on whole: the next process holds the same of every server and is sent the same way.
func TestRecordGoesOn(t *testing.T) {
	old := seasoned(t)
	now := start + 1000
	text, err := json.Marshal(old.Snapshot(now))
	require.NoError(t, err)
	var r Snapshot
	require.NoError(t, json.Unmarshal(text, &r))
	b := fleet{Loads: []float64{math.NaN(), math.NaN(), math.NaN(), math.NaN()}, Cold: start - 4000}.build(t)
	require.NoError(t, b.Restore(now, &r))
	assert.Equal(t, old.poller.loads, b.poller.loads)
	assert.Equal(t, old.poller.reportedAt, b.poller.reportedAt)
	assert.Equal(t, old.poller.unreportedLoads, b.poller.unreportedLoads)
	assert.Equal(t, old.outliers.consecutiveFailures, b.outliers.consecutiveFailures)
	assert.Equal(t, old.slowStart.startedAt, b.slowStart.startedAt)
	assert.Equal(t, old.quotas.classLoads, b.quotas.classLoads)
	assert.Equal(t, old.attempts.concurrencyLimit, b.attempts.concurrencyLimit)
	load, known := b.quotas.endedLoads.lookup(1)
	assert.True(t, known)
	assert.Equal(t, 900.0, load)
	_, avoided := b.Counts()
	assert.Equal(t, 1, avoided)
	old.refreshWeights(now)
	b.refreshWeights(now)
	assert.Equal(t, old.outliers.evidence, b.outliers.evidence)
	for i, n := range old.roundRobin.bucketCounts { // its own links tell the elder more of what a server bears
		assert.InDelta(t, n, b.roundRobin.bucketCounts[i], 1)
	}
	assert.GreaterOrEqual(t, b.slowStart.requestedAt, now, "what was saved up for cold servers is not given twice")

	other := fleet{Loads: []float64{0.5, 0.5}, Cold: start + 500}.build(t)
	require.NoError(t, other.Restore(now, &r))
	assert.Equal(t, []int{0, 0}, other.outliers.consecutiveFailures, "server 2 has started again since")
	assert.Equal(t, 0.5, other.poller.loads[1])
}

func TestRecordThatCantBe(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"other categories":  func(r *Snapshot) { r.ClassLoads = r.ClassLoads[:1] },
		"negative width":    func(r *Snapshot) { r.ConcurrencyLimit = -1 },
		"endless mean":      func(r *Snapshot) { r.MeanSessionLoad = math.Inf(1) },
		"a server's load":   func(r *Snapshot) { r.Backends[0].Load = -2 },
		"doubt beyond all":  func(r *Snapshot) { r.Backends[0].OutlierEvidence = 2 },
		"a server's health": func(r *Snapshot) { r.Backends[0].ConsecutiveFailures = -1 },
		"a placed link":     func(r *Snapshot) { r.Backends[0].RecentAssignments = []AssignmentSnapshot{{1, math.NaN()}} },
		"an ended link":     func(r *Snapshot) { r.EndedSessionLoads[1] = -5 },
	} {
		r := seasoned(t).Snapshot(start + 1000)
		spoil(&r)
		b := fleet{Loads: []float64{0.2, 0.6, 0.3, 0.1}}.build(t)
		before := b.Snapshot(start)
		assert.Error(t, b.Restore(start+1000, &r), name)
		assert.Equal(t, before, b.Snapshot(start), "%s: nothing changed", name)
	}
}

// Two processes of one relay have one budget for cold servers: the one that yields sends none there.
func TestYieldLeavesColdServers(t *testing.T) {
	for _, yield := range []bool{false, true} {
		cold := 0
		b := fleet{Loads: []float64{0.7, 0.1}, Cold: start - 8000, Seed: 1}.build(t)
		b.SetDraining(yield)
		for i := range 200 {
			now := start + 50*float64(i)
			b.LoadReported(now, 1, []float64{0, 0.7})
			b.LoadReported(now, 2, []float64{0, 0.1})
			l := arrive(now)
			if a := b.Assign(now, l); a.Kind == Assign && a.Backend == 2 && b.slowStart.capacityShare(1, now) < 1 {
				cold++
			}
			b.AttemptFinished(now, l, OutcomeSucceeded, true)
		}
		assert.Equal(t, yield, cold == 0, "yield %t: %d links", yield, cold)
	}
}

// Beside a process that serves, another takes over once most servers have told their figures.
func TestFit(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		name  string
		loads []float64
		down  int
		want  bool
	}{
		{"no figure", []float64{nan, nan, nan, nan}, 0, false},
		{"half of them", []float64{0.1, 0.1, nan, nan}, 0, false},
		{"most", []float64{0.1, 0.1, 0.1, nan}, 0, true},
		{"one that doesn't answer is not waited for", []float64{0.1, 0.1, nan, nan}, 3, true},
		{"no server", nil, 0, false},
	} {
		b := fleet{Loads: c.loads}.build(t)
		if c.down > 0 {
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
			b.PollFinished(start, uint32(c.down+1), false, nil)
		}
		assert.Equal(t, c.want, b.IsReady(start+10), c.name)
		assert.False(t, b.IsReady(start+10000), "%s: figures grow old", c.name)
	}
	b := fleet{Loads: []float64{nan, nan, nan, nan}, Relays: 5000}.build(t)
	assert.True(t, b.IsReady(start+10), "asked for links only")
}

// A stop with another process to take the clients goes over all its time, not to its end.
func TestLeaveForAnother(t *testing.T) {
	b := fleet{Loads: []float64{0.1}}.build(t)
	assert.Equal(t, 2400.0, b.DrainDelay(0, 4, 2400))
	b.SetDraining(true)
	for i := range 4 {
		assert.InDelta(t, 600*float64(i), b.DrainDelay(i, 4, 2400), 0.01)
	}
}
