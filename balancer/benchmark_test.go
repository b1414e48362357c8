package balancer

import (
	"testing"
)

func forFleetSizes(b *testing.B, run func(b *testing.B, backends int)) {
	for _, n := range []int{20, 200, 1000, 5000} {
		b.Run(map[int]string{20: "20", 200: "200", 1000: "1000", 5000: "5000"}[n], func(b *testing.B) { run(b, n) })
	}
}

// Measures assigning, establishing and ending a session, with all loads known. The reference rate is 2000 sessions
// a second.
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

// Measures NextAction, which is called after every event, forwarded lines included.
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

// Measures the same with a scan of all backends, for comparison within one run.
func BenchmarkNextActionByFullScan(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, backends int) {
		balancer, now := newPolledFleet(backends)
		b.ResetTimer()
		for range b.N {
			nextActionByFullScan(balancer, now)
		}
	})
}

// Measures one rebuild of the table of buckets.
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
