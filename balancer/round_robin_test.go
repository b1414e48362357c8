package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBucketsAreSpreadAndWalkStartsAtRandom(t *testing.T) {
	starts := map[int]bool{}
	for seed := range int64(20) {
		b := testFleet{Loads: []float64{0.1, 0.3, 0.3}, Seed: seed}.build(t)
		b.refreshWeights(start)
		starts[b.roundRobin.position] = true
		counts := map[int]int{}
		run, longest := 0, 0
		for i, entry := range b.roundRobin.table {
			counts[entry.backend]++
			if run++; i > 0 && b.roundRobin.table[i-1].backend != entry.backend {
				run = 1
			}
			longest = max(longest, run)
		}
		for index, count := range b.roundRobin.bucketCounts {
			assert.Equal(t, count, counts[index])
		}
		assert.LessOrEqual(t, longest, 2, "most buckets of one backend in a row")
	}
	assert.Greater(t, len(starts), 5)
}

func TestSameSeedGivesSameAssignments(t *testing.T) {
	assignedIDs := func(seed int64) (ids []uint32) {
		b := testFleet{Loads: []float64{0.2, 0.3, 0.4, 0.5}, Seed: seed}.build(t)
		for i := range 40 {
			now := start + float64(i)*300
			ids = append(ids, b.Assign(now, newSession(now)).Backend)
			b.LoadReported(now, uint32(i%4+1), []float64{0, 0.3})
		}
		return ids
	}
	assert.Equal(t, assignedIDs(5), assignedIDs(5))
	assert.NotEqual(t, assignedIDs(5), assignedIDs(6))
}
