package balancer

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newUsedBalancer returns a balancer that has had sessions, failed polls, a backend in slow start and measured
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

// After a restore, the next process knows the same about every backend and gives it nearly the same weight.
func TestSnapshotIsRestored(t *testing.T) {
	old := newUsedBalancer(t)
	now := start + 1000
	text, err := json.Marshal(old.Snapshot(now))
	require.NoError(t, err)
	var snapshot Snapshot
	require.NoError(t, json.Unmarshal(text, &snapshot))
	b := testFleet{Loads: []float64{math.NaN(), math.NaN(), math.NaN(), math.NaN()}, LastStartedAt: start - 4000}.build(t)
	require.NoError(t, b.Restore(now, &snapshot))
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
	_, excluded := b.Counts()
	assert.Equal(t, 1, excluded)
	old.refreshWeights(now)
	b.refreshWeights(now)
	assert.Equal(t, old.outliers.evidence, b.outliers.evidence)
	for i, n := range old.roundRobin.bucketCounts { // off by one at most: only the parent has sessions to estimate capacity
		assert.InDelta(t, n, b.roundRobin.bucketCounts[i], 1)
	}
	assert.GreaterOrEqual(t, b.slowStart.requestedAt, now, "saved slow-start budget is not spent twice")

	other := testFleet{Loads: []float64{0.5, 0.5}, LastStartedAt: start + 500}.build(t)
	require.NoError(t, other.Restore(now, &snapshot))
	assert.Equal(t, []int{0, 0}, other.outliers.consecutiveFailures, "backend 2 has restarted since")
	assert.Equal(t, 0.5, other.poller.reports.loads[1])
}

func TestInvalidSnapshotIsRefused(t *testing.T) {
	for name, corrupt := range map[string]func(*Snapshot){
		"another number of classes":   func(snapshot *Snapshot) { snapshot.ClassLoads = snapshot.ClassLoads[:1] },
		"negative concurrency limit":  func(snapshot *Snapshot) { snapshot.ConcurrencyLimit = -1 },
		"infinite mean session load":  func(snapshot *Snapshot) { snapshot.MeanSessionLoad = math.Inf(1) },
		"negative backend load":       func(snapshot *Snapshot) { snapshot.Backends[0].Load = -2 },
		"outlier evidence above 1":    func(snapshot *Snapshot) { snapshot.Backends[0].OutlierEvidence = 2 },
		"negative number of failures": func(snapshot *Snapshot) { snapshot.Backends[0].ConsecutiveFailures = -1 },
		"assignment load not a number": func(snapshot *Snapshot) {
			snapshot.Backends[0].RecentAssignments = []AssignmentSnapshot{{1, math.NaN()}}
		},
		"negative load of an ended session": func(snapshot *Snapshot) { snapshot.EndedSessionLoads[1] = -5 },
	} {
		snapshot := newUsedBalancer(t).Snapshot(start + 1000)
		corrupt(&snapshot)
		b := testFleet{Loads: []float64{0.2, 0.6, 0.3, 0.1}}.build(t)
		before := b.Snapshot(start)
		assert.Error(t, b.Restore(start+1000, &snapshot), name)
		assert.Equal(t, before, b.Snapshot(start), "%s: the refused snapshot must change nothing", name)
	}
}
