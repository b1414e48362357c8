package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The load that other relays announce replaces an estimate from the few sessions of this relay, which went to one
// backend by chance. The age of reports limits which assignments they may not include. For a backend in slow
// start the estimate is kept.
func TestRemoteLoadAndReportAge(t *testing.T) {
	for _, c := range []struct {
		name         string
		remoteLoad   float64 // unreported load of the other relays; below 0: unknown
		maxReportAge float64 // highest age of a report in milliseconds; 0: the default
		startedAt    float64 // time at which the backend started
		want         float64 // load estimate of a backend that this relay has just assigned two sessions to
	}{
		{"remote load unknown: estimated", -1, 0, 0, 0.2 + 0.02*(1+0.5*3/(1+3.0/64))},
		{"other relays assigned none", 0, 0, 0, 0.2 + 0.02},
		{"other relays assigned as much as this one", 4e4 * 2, 0, 0, 0.2 + 0.02 + 0.5*0.02/4},
		{"far more than is possible: the estimate, spread evenly", 1e12, 0, 0, 0.2 + 0.02 + 0.5*3/(1+3.0/64)*0.02/4},
		{"in slow start: the estimate, by its present capacity", 0, 0, 2e5, 0.2 + 0.1*(1+0.5*3/(1+3.0/64))},
		{"reports are recent", -1, 250, 0, 0.2},
	} {
		b := newRecoveringRelay(4, 4, 0, 1)
		b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, StartedAt: c.startedAt, Weight: 1})
		b.fleet.capacity = 4e6
		b.SetRemoteLoad(c.remoteLoad)
		if c.maxReportAge > 0 {
			b.SetMaxReportAge(c.maxReportAge)
		}
		now := 2e5
		for range 2 {
			b.startAttempt(now, &Session{load: 4e4}, 0)
		}
		b.LoadReported(now+300, 1, []float64{0.2})
		assert.InDelta(t, c.want, b.loadEstimate(0, now), 1e-6, c.name)
		unreported := 0.0
		for _, load := range b.poller.unreported.byBackend {
			unreported += load
		}
		assert.InDelta(t, unreported, b.UnreportedLoad(), 1e-6, c.name)
	}
}

// A session that no report includes yet counts with its measured load. Otherwise the excess over its expected load would
// count as reported load, and the capacity of backends would be estimated too high.
func TestMeasuredLoadIsUnreportedToo(t *testing.T) {
	const measured = 5e4
	now := 2e5
	b := newRecoveringRelay(1, 4, 0, 1)
	sessions := make([]*Session, 4)
	for i := range sessions {
		sessions[i] = &Session{load: 1} // 1 is the expected load while none has been measured
		b.startAttempt(now, sessions[i], i)
		b.LoadMeasured(sessions[i], measured)
	}
	assert.InDelta(t, 4*measured, b.UnreportedLoad(), 1e-6)

	for id := range uint32(4) {
		b.LoadReported(now+300, id+1, []float64{0.02})
	}
	b.refreshCapacity(b.sumFleet(now + 300))
	assert.Zero(t, b.fleet.capacityBySessions, "no report includes any of the sessions")

	b.LoadMeasured(sessions[0], 2*measured)
	assert.InDelta(t, 5*measured, b.UnreportedLoad(), 1e-6, "after the load of one session has changed")
	for _, session := range sessions {
		b.release(session)
	}
	assert.InDelta(t, 0, b.UnreportedLoad(), 1e-6)
}
