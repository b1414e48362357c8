package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// nextActionByFullScan is NextAction without the tracker: it looks at every backend.
func nextActionByFullScan(b *Balancer, now float64) Action {
	d := Action{Wait: b.watch.nextAt - now}
	if d.Wait <= 0 {
		b.watch.nextAt = now + b.watchRenewalInterval()
		return Action{Kind: ActionSubscribe}
	}
	p := b.poller
	if s := p.requests.next(); s >= 0 {
		return b.startPoll(now, s)
	}
	part, every := b.pollingPlan()
	if !p.enabled || part == 0 {
		return d
	}
	for s, c := range b.states {
		if c != Ready || p.polls.selectionDraws[s] >= part || !math.IsNaN(p.polls.sentAt[s]) {
			continue
		}
		if math.IsInf(p.polls.latestAt[s], -1) {
			p.polls.latestAt[s] = now + b.roundRobin.rng.Float64()*failedPollInterval - every
		}
		wait := p.polls.latestAt[s] + every*(0.9+0.2*p.polls.selectionDraws[s]) - now
		if b.outliers.consecutiveFailures[s] > 0 {
			wait = p.polls.latestAt[s] + failedPollInterval - now
		}
		if wait <= 0 {
			return b.startPoll(now, s)
		}
		d.Wait = min(d.Wait, wait)
	}
	return d
}

// comparison drives two equal balancers by the same random events. One uses its tracker, the other scans the
// fleet.
type comparison struct {
	rng      *rand.Rand
	now      float64
	backends int

	tracked, scanned                 *Balancer
	trackedSessions, scannedSessions []*Session
	polled                           []uint32 // whose polls are in flight
}

func newComparison(seed int64) *comparison {
	rng := rand.New(rand.NewSource(seed))
	backends := 1 + rng.Intn(60)
	relays := 1 + rng.Intn(100)
	cost := []float64{0, 0, 0.001, 0.02}[rng.Intn(4)]
	return &comparison{
		rng:      rng,
		now:      1,
		backends: backends,
		tracked:  newFleetOf(backends, relays, cost, seed),
		scanned:  newFleetOf(backends, relays, cost, seed),
	}
}

// step makes one random event happen.
func (c *comparison) step(t *testing.T) {
	t.Helper()
	c.now += c.rng.ExpFloat64() * 20
	switch kind := c.rng.Intn(10); {
	case kind < 3 && len(c.polled) > 0:
		c.finishPoll()
	case kind < 6:
		c.assign(t)
	case kind < 8 && len(c.trackedSessions) > 0:
		c.goOnWithSession(t)
	case kind == 8:
		c.updateEndpoint()
	}
}

func (c *comparison) finishPoll() {
	i := c.rng.Intn(len(c.polled))
	ok := c.rng.Intn(4) > 0
	report := []float64{c.rng.Float64()}
	c.tracked.PollFinished(c.now, c.polled[i], ok, report)
	c.scanned.PollFinished(c.now, c.polled[i], ok, report)
	c.polled = append(c.polled[:i], c.polled[i+1:]...)
}

func (c *comparison) assign(t *testing.T) {
	t.Helper()
	session, twin := newSession(c.now), newSession(c.now)
	require.Equal(t, c.scanned.Assign(c.now, twin), c.tracked.Assign(c.now, session))
	if session.state.reserved {
		c.trackedSessions = append(c.trackedSessions, session)
		c.scannedSessions = append(c.scannedSessions, twin)
	}
}

// goOnWithSession establishes a session or ends it badly.
func (c *comparison) goOnWithSession(t *testing.T) {
	t.Helper()
	i := c.rng.Intn(len(c.trackedSessions))
	session, twin := c.trackedSessions[i], c.scannedSessions[i]
	if c.rng.Intn(2) == 0 {
		c.tracked.SessionEstablished(c.now, session)
		c.scanned.SessionEstablished(c.now, twin)
		return
	}
	outcomes := []AttemptOutcome{OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable,
		OutcomeConnectionLost}
	outcome := outcomes[c.rng.Intn(len(outcomes))]
	require.Equal(t, c.scanned.AttemptFinished(c.now, twin, outcome, true),
		c.tracked.AttemptFinished(c.now, session, outcome, true))
	c.trackedSessions = append(c.trackedSessions[:i], c.trackedSessions[i+1:]...)
	c.scannedSessions = append(c.scannedSessions[:i], c.scannedSessions[i+1:]...)
}

func (c *comparison) updateEndpoint() {
	endpoint := Endpoint{
		ID:     uint32(c.rng.Intn(c.backends + 3)),
		State:  EndpointState(c.rng.Intn(3)),
		Weight: 1,
	}
	if c.rng.Intn(3) == 0 {
		endpoint.StartedAt = c.now
	}
	for _, b := range []*Balancer{c.tracked, c.scanned} {
		b.BeginEndpointUpdate(false)
		b.UpdateEndpoint(endpoint)
		b.EndEndpointUpdate(c.now)
	}
}

// compareActions runs all actions that are due, which must be the same.
func (c *comparison) compareActions(t *testing.T) {
	t.Helper()
	for {
		action := c.tracked.NextAction(c.now)
		require.Equal(t, nextActionByFullScan(c.scanned, c.now), action, "at %v", c.now)
		switch action.Kind {
		case ActionWait:
			return
		case ActionPoll:
			c.polled = append(c.polled, action.Backend)
		}
	}
}

// compareCounts checks the tracker's counts by a scan.
func (c *comparison) compareCounts(t *testing.T) {
	t.Helper()
	usable := 0
	for backend, state := range c.tracked.states {
		if state == Ready && c.tracked.outliers.isHealthy(backend) {
			usable++
		}
		if c.tracked.slowStart.capacityShare(backend, c.now) < 1 {
			require.Contains(t, c.tracked.warmingBackends(c.now), backend)
		}
	}
	require.Equal(t, usable, c.tracked.tracker.usable)
}

// Whatever happens, the same action is due, and the same backends are in slow start, as a scan of the fleet
// finds.
func TestTrackerMatchesFullScan(t *testing.T) {
	for seed := range int64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newComparison(seed)
			for range 1500 {
				c.step(t)
				c.compareActions(t)
				c.compareCounts(t)
			}
		})
	}
}
