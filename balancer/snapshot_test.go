package balancer

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newUsedBalancer is a balancer that has seen sessions, a failure, a backend in slow start and measured
// loads.
func newUsedBalancer(t *testing.T) *Balancer {
	t.Helper()
	b := testFleet{Loads: []float64{0.2, 0.6, 0.3, 0.1}, LastStartedAt: start - 4000, Seed: 3}.build(t)
	now := start + 100
	for i := range 12 {
		session := newSession(now)
		session.Key = uint64(i + 1)
		if a := b.Assign(now, session); a.Kind == Assign {
			b.SessionEstablished(now+20, session)
			b.LoadMeasured(session, 900)
			if i%3 == 0 {
				b.AttemptFinished(now+40, session, OutcomeConnectionLost, true)
			}
		}
		now += 50
	}
	b.PollFinished(now, 2, false, nil)
	b.PollFinished(now, 2, false, nil)
	return b
}

// The next process knows the same of every backend and weighs it alike.
func TestSnapshotIsRestored(t *testing.T) {
	old := newUsedBalancer(t)
	now := start + 1000
	text, err := json.Marshal(old.Snapshot(now))
	require.NoError(t, err)
	var r Snapshot
	require.NoError(t, json.Unmarshal(text, &r))
	b := testFleet{Loads: []float64{math.NaN(), math.NaN(), math.NaN(), math.NaN()}, LastStartedAt: start - 4000}.build(t)
	require.NoError(t, b.Restore(now, &r))
	assert.Equal(t, old.poller.reports.loads, b.poller.reports.loads)
	assert.Equal(t, old.poller.reports.receivedAt, b.poller.reports.receivedAt)
	assert.Equal(t, old.poller.unreported.byBackend, b.poller.unreported.byBackend)
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
	for i, n := range old.roundRobin.bucketCounts { // its own sessions tell the elder more of what a backend bears
		assert.InDelta(t, n, b.roundRobin.bucketCounts[i], 1)
	}
	assert.GreaterOrEqual(t, b.slowStart.requestedAt, now, "what was saved up for backends in slow start is not given twice")

	other := testFleet{Loads: []float64{0.5, 0.5}, LastStartedAt: start + 500}.build(t)
	require.NoError(t, other.Restore(now, &r))
	assert.Equal(t, []int{0, 0}, other.outliers.consecutiveFailures, "backend 2 has started again since")
	assert.Equal(t, 0.5, other.poller.reports.loads[1])
}

func TestInvalidSnapshotIsRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"other classes":      func(r *Snapshot) { r.ClassLoads = r.ClassLoads[:1] },
		"negative width":     func(r *Snapshot) { r.ConcurrencyLimit = -1 },
		"endless mean":       func(r *Snapshot) { r.MeanSessionLoad = math.Inf(1) },
		"a backend's load":   func(r *Snapshot) { r.Backends[0].Load = -2 },
		"doubt beyond all":   func(r *Snapshot) { r.Backends[0].OutlierEvidence = 2 },
		"a backend's health": func(r *Snapshot) { r.Backends[0].ConsecutiveFailures = -1 },
		"a placed session":   func(r *Snapshot) { r.Backends[0].RecentAssignments = []AssignmentSnapshot{{1, math.NaN()}} },
		"an ended session":   func(r *Snapshot) { r.EndedSessionLoads[1] = -5 },
	} {
		r := newUsedBalancer(t).Snapshot(start + 1000)
		spoil(&r)
		b := testFleet{Loads: []float64{0.2, 0.6, 0.3, 0.1}}.build(t)
		before := b.Snapshot(start)
		assert.Error(t, b.Restore(start+1000, &r), name)
		assert.Equal(t, before, b.Snapshot(start), "%s: nothing changed", name)
	}
}
