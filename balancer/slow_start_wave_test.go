package balancer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// overloadLimit returns the load above which a backend in slow start that can take n sessions is overloaded, in sessions
// of the mean load. It is the service's rule, which allows more random variation where the load consists of few sessions.
func overloadLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstShare returns the highest share of overloadLimit that was assigned to a backend in slow start within the overload
// span. It is called after run.
func (f *slowStartFleet) worstShare() (worst float64) {
	for _, s := range f.backends {
		from := 0
		for i, at := range s.assignedAt {
			for s.assignedAt[from] <= at-simulatedOverloadSpan {
				from++
			}
			n := simulatedOverloadMultiple * s.capacityShare(at) * f.sessionsPerBackend * simulatedOverloadSpan /
				simulatedDuration
			worst = max(worst, float64(i-from+1)/overloadLimit(n))
		}
	}
	return worst
}

// A wave of clients overloads no backend in slow start, whether it follows a silence or usual traffic, at any size of
// the fleet.
func TestSlowStartBudgetHoldsInWaves(t *testing.T) {
	seeds, sizes, bearings := int64(20), []int{2, 8, 16, 20, 30, 60, 300}, []float64{12, 25, 60}
	if testing.Short() {
		seeds, sizes, bearings = 5, []int{16, 30, 60}, []float64{25, 60}
	}
	for _, load := range []slowStartLoad{
		{"after 8 s", 0.9, 0.05, 6, 8000, false},
		{"after 8 s, uneven clients", 0.9, 0.05, 6, 8000, true},
		{"after 6 s, steep", 0.9, 0.05, 12, 6000, false},
		{"after 4 s", 0.9, 0.05, 6, 4000, false},
		{"after 8 s, warm backends with room", 0.5, 0.05, 6, 8000, false},
		{"out of usual traffic", 0.9, 1, 6, 8000, false},
		{"out of little traffic", 0.9, 0.3, 6, 8000, false},
	} {
		for _, balancers := range sizes {
			for _, bears := range bearings {
				name := fmt.Sprintf("%s, %d balancers, %v sessions a backend", load.name, balancers, bears)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					assert.LessOrEqual(t, load.worstShare(balancers, bears, seeds), 1.0)
				})
			}
		}
	}
}

// worstShare returns the highest worstShare of a fleet over the given number of seeds.
func (l slowStartLoad) worstShare(balancers int, sessionsPerBackend float64, seeds int64) (worst float64) {
	for seed := range seeds {
		fleet := l.fleet(balancers, sessionsPerBackend, seed)
		fleet.run()
		worst = max(worst, fleet.worstShare())
	}
	return worst
}
