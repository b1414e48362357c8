package balancer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The files under testdata/golden were written before the fields of these types were renamed. Other processes and
// older versions read and write the same bytes, so renaming a field must not change them.

func goldenSnapshot() *Snapshot {
	return &Snapshot{
		TakenAt:  1700000001500.5,
		Backends: []BackendSnapshot{goldenBackend(1), goldenBackend(2)},
		SessionLoadSnapshot: SessionLoadSnapshot{
			ClassLoads:      []float64{1200.5, 3400.25},
			ClassSamples:    []float64{12, 34},
			MeanSessionLoad: 2100.75,
			LoadSamples:     46,
		},
		EstimatedCapacity: 4000000.5,
		ListedBackends:    24,
		AttemptSnapshot: AttemptSnapshot{
			EstablishedSessions:  17.5,
			EstablishedSpan:      9000.25,
			EstablishedAsOf:      1700000001400.25,
			ConcurrencyLimit:     6.5,
			ConcurrencyReducedAt: 1700000001200.125,
		},
		SlowStartRequestedAt: 1700000001300.5,
		RetryBudgetSnapshot: RetryBudgetSnapshot{
			BudgetSlot:     21762557,
			BudgetSessions: []float64{3, 1, 4},
			BudgetRetries:  []float64{1, 5, 9},
		},
		EndedSessionLoads: map[uint64]float64{7: 900.5, 18446744073709551615: 1100.25},
	}
}

func goldenBackend(id uint32) BackendSnapshot {
	return BackendSnapshot{
		ID:                  id,
		StartedAt:           1700000000000.5,
		Load:                0.25 + float64(id),
		ReportedAt:          1700000001450.5,
		PolledAt:            1700000001440.25,
		SlowStartAt:         1700000000100.125,
		ConsecutiveFailures: 3,
		SessionsLost:        true,
		OutlierEvidence:     0.375,
		RecentAssignments: []AssignmentSnapshot{
			{At: 1700000001460.5, Load: 910.5},
			{At: 1700000001470.5, Load: 920.25},
		},
	}
}

func goldenEstimates() *Estimates {
	return &Estimates{
		Capacity:        4000000.5,
		MeanSessionLoad: 2100.75,
		ClassLoads:      []float64{1200.5, 3400.25},
		ClassSamples:    []float64{12, 34},
		OwnLoad:         56000.125,
		ReportedLoad:    0.875,
	}
}

func goldenObservation() *ZoneObservation {
	return &ZoneObservation{
		Attempts:        11,
		FailedAttempts:  2,
		Polls:           33,
		UnansweredPolls: 4,
		Load:            5.5,
		Capacity:        6.25,
	}
}

// Each type is read from its golden file and written back byte for byte.
func TestGoldenForms(t *testing.T) {
	for _, c := range []struct {
		file          string
		want, decoded any
	}{
		{"snapshot.json", goldenSnapshot(), &Snapshot{}},
		{"estimates.json", goldenEstimates(), &Estimates{}},
		{"zone_observation.json", goldenObservation(), &ZoneObservation{}},
		{"zone_weight.json", &ZoneWeight{Zone: 3, Weight: 0.625, AcceptsOverflow: true}, &ZoneWeight{}},
	} {
		t.Run(c.file, func(t *testing.T) {
			path := filepath.Join("testdata", "golden", c.file)
			stored, err := os.ReadFile(path)
			require.NoError(t, err)
			decoder := json.NewDecoder(bytes.NewReader(stored))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(c.decoded))
			assert.Equal(t, c.want, c.decoded, "read")
			text, err := json.Marshal(c.want)
			require.NoError(t, err)
			assert.Equal(t, string(stored), string(text)+"\n", "written")
		})
	}
}
