package experiment

import (
	"flag"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/config"
)

var update = flag.Bool("update", false, "rewrite the golden file from what the code writes now")

const goldenFile = "testdata/golden/experiment.toml"

// goldenExperiment returns an experiment in which no field is zero, so that the golden file shows every field.
func goldenExperiment() *Experiment {
	return &Experiment{
		Name:     "golden",
		Seed:     7,
		Length:   12000,
		Warmup:   1500,
		Variants: []string{"module", "two"},
		Relays: Relays{
			Count:              5,
			RestartDelay:       1001,
			DetectionDelay:     1002,
			MaxDescriptors:     1003,
			MaxAttempts:        4,
			MaxRetryAfter:      1005,
			LoadPolling:        true,
			Membership:         true,
			Disk:               true,
			AnnouncesReportAge: true,
			Coordinators:       3,
			Replicas:           5,
			MarkerRetention:    1006,
			ReplicatesAffinity: true,
			KnowsEndpoints:     true,
		},
		Network: Network{Delay: 0.25, Jitter: 0.5, SplitProbability: 0.125},
		Fleet: Fleet{
			Backends:         11,
			Zones:            3,
			Regions:          2,
			Cores:            4.5,
			SpeedSpread:      0.125,
			SetupWork:        6,
			StoreRate:        7.5,
			MaxReportAge:     208,
			ReportNoise:      0.0625,
			SlowStartFrom:    0.25,
			SlowStart:        9001,
			OverloadMultiple: 3.5,
			OverloadWindow:   2001,
			OverloadDowntime: 5001,
		},
		Traffic: []Traffic{{
			Class:            "chat",
			Tenant:           "blue",
			PriorityWeight:   1.5,
			Effect:           EffectSingleUse,
			LatencyObjective: 501,
			HardLimit:        2002,
			Rate:             8.5,
			InitialClients:   9,
			Lifetime:         20001,
			Load:             10.5,
			LoadSpread:       0.75,
			LineInterval:     2003,
			Groups:           12,
			HonorsRetryAfter: 0.375,
			RetryDelay:       201,
		}},
		Faults: []Fault{{
			Kind:          FaultPowerLoss,
			At:            3001,
			Duration:      5002,
			Share:         0.5,
			Factor:        2.5,
			ReturnSpread:  2004,
			NeverReturn:   1,
			Disk:          DiskTorn,
			From:          "relay-1",
			To:            "zone-a",
			Bidirectional: true,
		}},
	}
}

// The file format of experiments stays the same: an experiment is written as the golden file, and the golden file is
// read as that experiment.
func TestGoldenExperiment(t *testing.T) {
	text, err := toml.Marshal(goldenExperiment())
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(goldenFile, text, 0o644))
	}
	want, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(text))
	read := &Experiment{}
	require.NoError(t, config.DecodeStrict(want, read))
	assert.Equal(t, goldenExperiment(), read)
	parsed, err := Parse(want)
	require.NoError(t, err)
	assert.Equal(t, goldenExperiment(), parsed)
}
