package balancer

import (
	"testing"
)

func forFleetSizes(b *testing.B, run func(b *testing.B, backends int)) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(map[int]string{20: "20", 200: "200", 1000: "1000", 5000: "5000"}[n], func(b *testing.B) { run(b, n) })
	}
}

// Assigning a session and ending it, with all loads known: 2000 sessions a second.
func BenchmarkAssign(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, backends int) {
		balancer, now := newPolledFleet(backends)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			session := &Session{Deadline: now + 2000}
			if balancer.Assign(now, session).Kind == Assign {
				balancer.SessionEstablished(now, session)
				balancer.AttemptFinished(now, session, OutcomeSucceeded, true)
			}
		}
	})
}

// NextAction is called after every event, a forwarded line among them.
func BenchmarkNextAction(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, backends int) {
		balancer, now := newPolledFleet(backends)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			balancer.NextAction(now)
		}
	})
}

// The same by a scan of the fleet, for comparison in one run.
func BenchmarkNextActionByFullScan(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, backends int) {
		balancer, now := newPolledFleet(backends)
		b.ResetTimer()
		for range b.N {
			nextActionByFullScan(balancer, now)
		}
	})
}

// One rebuild of the table of buckets.
func BenchmarkRefreshWeights(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, backends int) {
		balancer, now := newPolledFleet(backends)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			balancer.roundRobin.invalidate()
			balancer.refreshWeights(now)
		}
	})
}
