package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// nextActionByFullScan does the same as NextAction without the tracker, by a scan of all backends.
func nextActionByFullScan(b *Balancer, now float64) Action {
	action := Action{Wait: b.watch.nextAt - now}
	if action.Wait <= 0 {
		b.watch.nextAt = now + b.watchRenewalInterval()
		return Action{Kind: ActionSubscribe}
	}
	loadPoller := b.poller
	if backend := loadPoller.requests.next(); backend >= 0 {
		return b.startPoll(now, backend)
	}
	share, interval := b.pollingPlan()
	if !loadPoller.enabled || share == 0 {
		return action
	}
	for backend, state := range b.states {
		if state != Ready || loadPoller.polls.selectionDraws[backend] >= share || !math.IsNaN(loadPoller.polls.sentAt[backend]) {
			continue
		}
		if math.IsInf(loadPoller.polls.latestAt[backend], -1) {
			loadPoller.polls.latestAt[backend] = now + b.roundRobin.rng.Float64()*failedPollInterval - interval
		}
		wait := loadPoller.polls.latestAt[backend] + interval*(0.9+0.2*loadPoller.polls.selectionDraws[backend]) - now
		if b.outliers.consecutiveFailures[backend] > 0 {
			wait = loadPoller.polls.latestAt[backend] + failedPollInterval - now
		}
		if wait <= 0 {
			return b.startPoll(now, backend)
		}
		action.Wait = min(action.Wait, wait)
	}
	return action
}

// comparison drives two equal balancers with the same random events. One uses its tracker; the other scans all
// backends.
type comparison struct {
	rng      *rand.Rand
	now      float64
	backends int

	tracked, scanned                 *Balancer
	trackedSessions, scannedSessions []*Session
	polled                           []uint32 // IDs of the backends with a poll in flight
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

// step applies one random event to both balancers.
func (c *comparison) step(t *testing.T) {
	t.Helper()
	c.now += c.rng.ExpFloat64() * 20
	switch kind := c.rng.Intn(10); {
	case kind < 3 && len(c.polled) > 0:
		c.finishPoll()
	case kind < 6:
		c.assign(t)
	case kind < 8 && len(c.trackedSessions) > 0:
		c.advanceSession(t)
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
	session, scannedSession := newSession(c.now), newSession(c.now)
	require.Equal(t, c.scanned.Assign(c.now, scannedSession), c.tracked.Assign(c.now, session))
	if session.state.reserved {
		c.trackedSessions = append(c.trackedSessions, session)
		c.scannedSessions = append(c.scannedSessions, scannedSession)
	}
}

// advanceSession establishes a random session or ends its attempt without success.
func (c *comparison) advanceSession(t *testing.T) {
	t.Helper()
	i := c.rng.Intn(len(c.trackedSessions))
	session, scannedSession := c.trackedSessions[i], c.scannedSessions[i]
	if c.rng.Intn(2) == 0 {
		c.tracked.SessionEstablished(c.now, session)
		c.scanned.SessionEstablished(c.now, scannedSession)
		return
	}
	outcomes := []AttemptOutcome{OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable,
		OutcomeConnectionLost}
	outcome := outcomes[c.rng.Intn(len(outcomes))]
	require.Equal(t, c.scanned.AttemptFinished(c.now, scannedSession, outcome, true),
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

// compareActions performs all actions that are due, which must be the same for both balancers.
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

// compareCounts checks the tracker's number of usable backends and its backends in slow start against a scan.
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

// After any sequence of events, the tracker finds the same due action, number of usable backends and backends in
// slow start as a scan of all backends.
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
