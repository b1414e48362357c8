package replication

import (
	"math"
	"math/rand"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
)

// TestHistoriesWithUnknownOutcomesAreChecked guards the check itself: it passed over a record's whole history if one of
// its acquisitions had not ended or had failed.
func TestHistoriesWithUnknownOutcomesAreChecked(t *testing.T) {
	operation := func(outcome string, from, to float64) porcupine.Operation {
		return newAcquisition(int(from), outcome, from, to)
	}
	endless := math.Inf(1)
	for _, c := range []struct {
		name         string
		operations   []porcupine.Operation
		pendingSince map[uint64]float64
		isViolation  bool
	}{
		{"acquired twice, while one is under way", []porcupine.Operation{operation(acquired, 1, 2), operation(acquired, 3, 4)},
			map[uint64]float64{1: 1}, true},
		{"acquired twice, after one failed", []porcupine.Operation{operation(unknown, 0, endless), operation(acquired, 1, 2),
			operation(acquired, 3, 4)}, nil, true},
		{"used before the only one that may have used it began", []porcupine.Operation{operation(alreadyUsed, 1, 2)},
			map[uint64]float64{1: 3}, true},
		{"used by the one under way", []porcupine.Operation{operation(alreadyUsed, 4, 5)}, map[uint64]float64{1: 3}, false},
		{"the one under way did nothing", []porcupine.Operation{operation(acquired, 4, 5)}, map[uint64]float64{1: 3}, false},
		{"used by one that failed", []porcupine.Operation{operation(unknown, 0, endless), operation(alreadyUsed, 1, 2)}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			history := &recordHistory{operations: c.operations, pendingSince: c.pendingSince}
			f := &testFleet{histories: map[string]*recordHistory{"k": history}}
			assert.Equal(t, c.isViolation, len(f.checkHistories()) > 0)
		})
	}
}

// TestTokensFillAllPartitions: the IDs of records were always odd, so that half of the partitions stayed empty.
func TestTokensFillAllPartitions(t *testing.T) {
	r := New("own", 1, 1, 10, rand.New(rand.NewSource(1)))
	partitions := map[uint64]bool{}
	for range 2000 {
		partitions[r.newToken()%Partitions] = true
	}
	assert.Len(t, partitions, Partitions)
}
