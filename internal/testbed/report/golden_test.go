package report

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/model"
)

var update = flag.Bool("update", false, "write the golden file anew, from what the code writes now")

const goldenFile = "testdata/golden/report.json"

// goldenReport returns a report in which every field has a value other than zero.
func goldenReport() *Report {
	recovered := 1250.5
	return &Report{
		Name:   "golden",
		Seed:   7,
		Warmup: 1000,
		Faults: []model.FaultSpan{{From: 2000, To: 3500.5, Text: "slow"}, {From: 4000, To: 9000, Text: "relay-kill"}},
		Runs: []Run{{
			Variant:            "module",
			Mode:               Simulated,
			ServedShare:        0.9875,
			WorstSecond:        0.75,
			Answers:            map[string]int{"UP": 12, "BUSY": 3, "ERR": 1, "none": 2, "cut": 4},
			ViolationCounts:    map[string]int{"final answer": 1, "twice": 2, "drain": 3, "cold": 4, "lines": 5},
			Violations:         []string{"1.0 drain: what it was (link 1)"},
			SlowStartOverloads: 6,
			RecoveryTime:       &recovered,
			Classes: map[string]*Latency{"chat": {
				Setup: Quantiles{Count: 12, P50: 1.5, P99: 2.5, P999: 3.5},
				Line:  Quantiles{Count: 13, P50: 4.5, P99: 5.5, P999: 6.5},
			}},
			Seconds: []model.Second{{
				Offered:           1.5,
				Served:            2.5,
				Established:       3,
				Rejected:          4,
				Errored:           5,
				Unanswered:        6,
				Disconnected:      7,
				Sessions:          8,
				UtilizationStdDev: 9.5,
				MeanUtilization:   10.5,
				MaxUtilization:    11.5,
			}},
			IsLate: true,
			Memory: map[int]int64{0: 1 << 20},
			CPU:    map[int]float64{1: 2.25},
		}},
	}
}

// A report is encoded to the bytes of the golden file, and decoded from them to the same report.
func TestGoldenReport(t *testing.T) {
	text, err := goldenReport().JSON()
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(goldenFile, text, 0o644))
	}
	want, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(text))
	var read Report
	require.NoError(t, json.Unmarshal(want, &read))
	assert.Equal(t, goldenReport(), &read)
}
