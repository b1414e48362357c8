package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// All relays together assign no more to a backend in slow start than it can take, in a wave too. Without the
// budget, an idle one would get the even shares of all relays, or one session from each of hundreds at once.
func TestSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		name             string
		relays, sessions int
		span             float64
	}{
		{"one relay, steady", 1, 300, 20000},
		{"four relays, steady", 4, 100, 20000},
		{"hundreds, few sessions each", 220, 3, 20000},
		{"hundreds, a wave at the start", 220, 3, 600},
	} {
		times := map[int]float64{}
		for r := range c.relays {
			b := testFleet{Loads: []float64{0.4, 0.4, 0.4, 0}, LastStartedAt: start, Relays: c.relays, Seed: int64(r)}.build(t)
			b.refreshWeights(start)
			for i := range c.sessions {
				now := start + c.span*(float64(i)+b.roundRobin.rng.Float64())/float64(c.sessions)
				session := newSession(now)
				if assignWithPolls(b, now, session, []float64{0.4, 0.4, 0.4, 0}).Backend == 4 {
					times[int((now-start)/2000)]++
				}
			}
		}
		backendCapacity := 1000.0 / quotaCapacityShare / 4 // sessions that fill a backend, by the quotas that testFleet sets
		for window, assigned := range times {
			capacityShare := 0.2 + 0.8*float64(window)*2000/20000
			assert.LessOrEqual(t, assigned, 3*capacityShare*backendCapacity/20000*2000+2, "%s, window %d", c.name, window)
		}
	}
}

// A backend in slow start takes the sessions that warm ones have no room for, once its report includes what all
// relays assigned to it. Before that it stays within the budget, even if all others are full. Without this rule,
// eighty relays with few sessions each rejected clients for twelve seconds after a release, while backends in
// slow start were idle.
func TestWarmingBackendTakesOverflow(t *testing.T) {
	for _, c := range []struct {
		name         string
		relays       int
		age          float64 // milliseconds since the backend in slow start started
		warming      float64 // load of the backend in slow start
		least, most  int     // bounds on the number of relays, of eighty, that assign a session to it
		warm, placed float64 // load of each warm backend; number of sessions that the relay assigned to the one in slow start
	}{
		{"just started", 80, 1000, 0, 0, 24, 0.9, 0}, // 24: what it can take within the overload span
		{"its report includes all assignments", 80, 6000, 0.1, 60, 80, 0.9, 0},
		{"it is full as well", 80, 6000, 0.9, 0, 0, 0.9, 0},
		{"warm backends have room: an even share", 80, 6000, 0.1, 10, 40, 0.3, 0},
		{"sessions count by the capacity that it has now", 80, 6000, 0.1, 0, 0, 0.9, 100},
		// Regular polls leave reports up to a second old. In randomly generated experiments, a wave overloaded a
		// backend in slow start because of such reports.
		{"few relays, which do not poll for each session", 4, 6000, 0.1, 0, 35, 0.9, 0},
	} {
		sent := 0
		for seed := range int64(80) {
			b := testFleet{Loads: []float64{c.warm, c.warm, c.warm, c.warming}, LastStartedAt: start, Relays: c.relays,
				Seed: seed}.build(t)
			now := start + c.age
			b.poller.unreported.assignments[3] = []assignment{{now - 100, c.placed / 20}}
			if assignWithPolls(b, now, newSession(now), []float64{c.warm, c.warm, c.warm, c.warming}).Backend == 4 {
				sent++
			}
		}
		assert.GreaterOrEqual(t, sent, c.least, c.name)
		assert.LessOrEqual(t, sent, c.most, c.name)
	}
}

// Two processes of one relay share one budget for backends in slow start: the draining process assigns no
// sessions to them.
func TestDrainingProcessAvoidsWarmingBackends(t *testing.T) {
	for _, draining := range []bool{false, true} {
		toWarming := 0
		b := testFleet{Loads: []float64{0.7, 0.1}, LastStartedAt: start - 8000, Seed: 1}.build(t)
		b.SetDraining(draining)
		for i := range 200 {
			now := start + 50*float64(i)
			b.LoadReported(now, 1, []float64{0, 0.7})
			b.LoadReported(now, 2, []float64{0, 0.1})
			session := newSession(now)
			if a := b.Assign(now, session); a.Kind == Assign && a.Backend == 2 && b.slowStart.capacityShare(1, now) < 1 {
				toWarming++
			}
			b.AttemptFinished(now, session, OutcomeSucceeded, true)
		}
		assert.Equal(t, draining, toWarming == 0, "draining %t: %d sessions", draining, toWarming)
	}
}

// A relay that has just started uses budget beyond the usual one only if the backend has reported load. Otherwise all
// relays would spend, before any report, what they saved up while no clients came.
func TestYoungRelayWaitsForReportedLoad(t *testing.T) {
	const unknown = -1.0
	for _, c := range []struct {
		name         string
		onlyIfLoaded bool
		load         float64
		eligible     bool
	}{
		{"usual budget, no report", false, unknown, true},
		{"wider budget, no report", true, unknown, false},
		{"wider budget, idle by its report", true, 0.05, false},
		{"wider budget, loaded by its report", true, 0.2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRecoveringRelay(30, 4, start, 1)
			if c.load != unknown {
				b.LoadReported(start+10, 1, []float64{c.load})
			}
			session := &Session{attempt: latestAttempt{backend: noBackend}}
			session.warming = slowStartGrant{backend: 0, onlyIfLoaded: c.onlyIfLoaded}
			s := b.newSelection(session, start+20)
			assert.Equal(t, c.eligible, s.isEligible(0))
		})
	}
}

// Only the first sessions of a relay depend on a reported load, and of those only the ones beyond the usual budget.
func TestOnlyYoungRelaysAskForReportedLoad(t *testing.T) {
	const relays, sessions = 1000, 8
	requiringLoad := make([]int, sessions)
	granted := make([]int, sessions)
	for seed := range int64(relays) {
		b := testFleet{Loads: []float64{0.4, 0.4, 0.4, 0}, LastStartedAt: start, Relays: 300, Seed: seed}.build(t)
		b.refreshWeights(start)
		b.poller.polledShare = 0
		for i := range sessions {
			session := newSession(start + 5000 + 2000*float64(i))
			session.load = b.quotas.meanSessionLoad
			if b.drawWarmingBackend(start+5000+2000*float64(i), session) == noBackend {
				continue
			}
			granted[i]++
			if session.warming.onlyIfLoaded {
				requiringLoad[i]++
			}
		}
	}
	t.Logf("granted %v, of those only if the backend has reported load %v", granted, requiringLoad)
	for i := range sessions {
		assert.Less(t, requiringLoad[i], granted[i], "within the usual budget no reported load is required, session %d", i)
		assert.Equal(t, i < newRelaySessions, requiringLoad[i] > 0, "session %d", i)
	}
}
