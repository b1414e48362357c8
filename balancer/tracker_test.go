package balancer

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// nextActionByFullScan is NextAction without the tracker: a look at every backend.
func nextActionByFullScan(b *Balancer, now float64) Action {
	d := Action{Wait: b.watchAt - now}
	if d.Wait <= 0 {
		b.watchAt = now + b.watchSilence()
		return Action{Kind: ActionSubscribe}
	}
	p := b.poller
	if s := p.nextRequested(); s >= 0 {
		return b.startPoll(now, s)
	}
	part, every := b.pollingPlan()
	if !p.enabled || part == 0 {
		return d
	}
	for s, c := range b.states {
		if c != Ready || p.selectionDraws[s] >= part || !math.IsNaN(p.pollSentAt[s]) {
			continue
		}
		if math.IsInf(p.polledAt[s], -1) {
			p.polledAt[s] = now + b.roundRobin.rng.Float64()*failedPollInterval - every
		}
		wait := p.polledAt[s] + every*(0.9+0.2*p.selectionDraws[s]) - now
		if b.outliers.consecutiveFailures[s] > 0 {
			wait = p.polledAt[s] + failedPollInterval - now
		}
		if wait <= 0 {
			return b.startPoll(now, s)
		}
		d.Wait = min(d.Wait, wait)
	}
	return d
}

// Whatever happens, the same is due, and the same backends are in slow start, as a look at every backend finds.
func TestTrackerMatchesFullScan(t *testing.T) {
	outcomes := []AttemptOutcome{OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable,
		OutcomeConnectionLost}
	for seed := range int64(60) {
		rng := rand.New(rand.NewSource(seed))
		backends, relays, fee := 1+rng.Intn(60), 1+rng.Intn(100), []float64{0, 0, 0.001, 0.02}[rng.Intn(4)]
		a, b := newFleetOf(backends, relays, fee, seed), newFleetOf(backends, relays, fee, seed)
		now := 1.0
		var asked []uint32
		var as, bs []*Session
		for range 1500 {
			now += rng.ExpFloat64() * 20
			switch k := rng.Intn(10); {
			case k < 3 && len(asked) > 0:
				i := rng.Intn(len(asked))
				ok, load := rng.Intn(4) > 0, rng.Float64()
				a.PollFinished(now, asked[i], ok, []float64{load})
				b.PollFinished(now, asked[i], ok, []float64{load})
				asked = append(asked[:i], asked[i+1:]...)
			case k < 6:
				x, y := &Session{Deadline: now + 2000}, &Session{Deadline: now + 2000}
				require.Equal(t, b.Assign(now, y), a.Assign(now, x), "seed %d", seed)
				if x.reserved {
					as, bs = append(as, x), append(bs, y)
				}
			case k < 8 && len(as) > 0:
				i := rng.Intn(len(as))
				if rng.Intn(2) == 0 {
					a.SessionEstablished(now, as[i])
					b.SessionEstablished(now, bs[i])
					break
				}
				outcome := outcomes[rng.Intn(len(outcomes))]
				require.Equal(t, b.AttemptFinished(now, bs[i], outcome, true),
					a.AttemptFinished(now, as[i], outcome, true))
				as = append(as[:i], as[i+1:]...)
				bs = append(bs[:i], bs[i+1:]...)
			case k == 8:
				id, cond, since := uint32(rng.Intn(backends+3)), EndpointState(rng.Intn(3)), 0.0
				if rng.Intn(3) == 0 {
					since = now
				}
				for _, of := range []*Balancer{a, b} {
					of.BeginEndpointUpdate(false)
					of.UpdateEndpoint(Endpoint{ID: id, State: cond, StartedAt: since, Weight: 1})
					of.EndEndpointUpdate(now)
				}
			}
			for {
				x, y := a.NextAction(now), nextActionByFullScan(b, now)
				require.Equal(t, y, x, "seed %d at %v", seed, now)
				if x.Kind == ActionWait {
					break
				}
				if x.Kind == ActionPoll {
					asked = append(asked, x.Backend)
				}
			}
			usable := 0
			for s, c := range a.states {
				if c == Ready && a.outliers.isHealthy(s) {
					usable++
				}
				if a.slowStart.capacityShare(s, now) < 1 {
					require.Contains(t, a.warmingBackends(now), s)
				}
			}
			require.Equal(t, usable, a.tracker.usable, "seed %d", seed)
		}
	}
}
