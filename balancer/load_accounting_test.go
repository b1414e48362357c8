package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// What other relays announce replaces a guess from the few sessions of this relay, which came to one backend
// by chance; the age of reports bounds what they may not include. A backend in slow start stays with the
// guess.
func TestRemoteLoadAndReportAge(t *testing.T) {
	for _, c := range []struct {
		name         string
		remoteLoad   float64 // load, below 0: not known
		maxReportAge float64 // 0: nobody says
		startedAt    float64 // when the backend started
		want         float64 // load estimate of a backend that two sessions of this relay's have just gone to
	}{
		{"a guess", -1, 0, 0, 0.2 + 0.02*(1+0.5*3/(1+3.0/64))},
		{"none placed any", 0, 0, 0, 0.2 + 0.02},
		{"as much as this one", 4e4 * 2, 0, 0, 0.2 + 0.02 + 0.5*0.02/4},
		{"far more than can be: the guess, evenly", 1e12, 0, 0, 0.2 + 0.02 + 0.5*3/(1+3.0/64)*0.02/4},
		{"in slow start: the guess, of the share that it bears", 0, 0, 2e5, 0.2 + 0.1*(1+0.5*3/(1+3.0/64))},
		{"reports are young", -1, 250, 0, 0.2},
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

// A session counts with its measured load as long as no report includes it: the excess over what was expected would pass
// for load that backends report, which makes each look larger.
func TestMeasuredLoadIsUnreportedToo(t *testing.T) {
	const measured = 5e4
	now := 2e5
	b := newRecoveringRelay(1, 4, 0, 1)
	sessions := make([]*Session, 4)
	for i := range sessions {
		sessions[i] = &Session{load: 1} // nothing is known of sessions yet
		b.startAttempt(now, sessions[i], i)
		b.LoadMeasured(sessions[i], measured)
	}
	assert.InDelta(t, 4*measured, b.UnreportedLoad(), 1e-6)

	for id := range uint32(4) {
		b.LoadReported(now+300, id+1, []float64{0.02})
	}
	b.refreshCapacity(b.sumFleet(now + 300))
	assert.Zero(t, b.fleet.capacityBySessions, "no report includes any of them")

	b.LoadMeasured(sessions[0], 2*measured)
	assert.InDelta(t, 5*measured, b.UnreportedLoad(), 1e-6, "as a session's load changes")
	for _, session := range sessions {
		b.release(session)
	}
	assert.InDelta(t, 0, b.UnreportedLoad(), 1e-6)
}
