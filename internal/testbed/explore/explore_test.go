package explore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
)

// Generated experiments break no rule. The command runs 200 of them; it is built without the race detector, as a run is
// a single goroutine. Some of them run here as well.
func TestDrawnExperimentsKeepTheRules(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valeshift-testbed")
	output, err := exec.Command("go", "build", "-o", binary, "valeshift/cmd/valeshift-testbed").CombinedOutput()
	require.NoError(t, err, "%s", output)
	cmd := exec.Command(binary, "hunt", "--count", "200", "--shrink", "0", "--out", t.TempDir())
	cmd.Env = append(os.Environ(), "GOMAXPROCS=3") // leaves cores to the tests of other packages that run at this time
	output, err = cmd.CombinedOutput()
	require.NoError(t, err, "%s", output)
	assert.Contains(t, string(output), "200 seeds from 1 on")
	assert.Contains(t, string(output), "0 break a rule")

	playedLast := 0
	exploration := Exploration{
		From:        1,
		To:          13,
		Generate:    Generate,
		Play:        Play,
		Parallelism: runtime.GOMAXPROCS(0),
		OnFinding: func(f *Finding) {
			t.Errorf("seed %d: %v %s %v", f.Seed, f.Counts, f.Panic, f.Violations[:min(len(f.Violations), 3)])
		},
		OnPlayed: func(played int) { playedLast = played },
	}
	exploration.Run(context.Background())
	assert.Equal(t, 12, playedLast)
}

// Seeds whose experiments once broke a rule break none any more.
func TestFormerFindingsKeepTheRules(t *testing.T) {
	for _, seed := range []uint64{
		42274, // a relay whose clock was ahead took a backend in slow start for a warm one
	} {
		finding := Play(Generate(seed))
		if finding != nil {
			t.Errorf("seed %d: %v %s %v", seed, finding.Counts, finding.Panic, finding.Violations)
		}
	}
}

// In an overload after a power loss, five relays use up their whole slow-start budget but overload no backend.
func TestSlowStartInAnOverload(t *testing.T) {
	const seed = 920299
	if finding := Play(Generate(seed)); finding != nil {
		t.Errorf("seed %d: %v %s %v", seed, finding.Counts, finding.Panic, finding.Violations)
	}
}

// A discovery service that restarts with an older version of its list announces backends that leave. The relay must not
// ignore that list, and sends these backends nothing more.
func TestDrainsOfADiscoveryThatCountsAnew(t *testing.T) {
	const seed = 5000944
	if finding := Play(Generate(seed)); finding != nil {
		t.Errorf("seed %d: %v %s %v", seed, finding.Counts, finding.Panic, finding.Violations)
	}
}

// Findings are recorded by their seed, so a seed must generate the same experiment forever. The hashes are of the files
// of the seeds below 1000, or of all experiments to which those of the seeds below 100 can shrink in one step.
func TestSeedsDrawTheSame(t *testing.T) {
	for _, c := range []struct {
		name     string
		seeds    uint64
		generate func(seed uint64) []*experiment.Experiment
		want     string
	}{
		{"simulated", 1000,
			func(seed uint64) []*experiment.Experiment { return []*experiment.Experiment{Generate(seed)} },
			"637ee5ee01f0e5b8a14f1acae595cc8e79d3a69ac8d3a54917294095b5eb91f2"},
		{"with processes", 1000,
			func(seed uint64) []*experiment.Experiment {
				return []*experiment.Experiment{GenerateForProcesses(seed)}
			},
			"0278037a6b8cc58569b16af716a41afd75294092bed4b7abae0447cf242153ce"},
		{"shrunk", 100,
			func(seed uint64) []*experiment.Experiment { return smallerExperiments(Generate(seed)) },
			"ed1d4d34195719c74027ddb4d78098892d5270cadd6e81564819dd6c478e2e74"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := sha256.New()
			for seed := range c.seeds {
				for _, x := range c.generate(seed) {
					text, err := (&Finding{Experiment: x}).Text()
					require.NoError(t, err)
					sum.Write(text)
				}
			}
			assert.Equal(t, c.want, hex.EncodeToString(sum.Sum(nil)))
		})
	}
}

// A generated experiment is written as a file that is read back as the same experiment.
func TestDrawnExperimentsAreFiles(t *testing.T) {
	for seed := range uint64(200) {
		text, err := (&Finding{Experiment: Generate(seed)}).Text()
		require.NoError(t, err)
		read, err := experiment.Parse(text)
		require.NoError(t, err, "%s", text)
		again, err := (&Finding{Experiment: read}).Text()
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
	}
}

// Shrinking removes what a violation does not depend on. In this experiment the first sessions overload backends in
// slow start, whatever other faults there are, so only the fault that adds such backends may remain.
func TestShrink(t *testing.T) {
	x := Generate(3)
	x.Variants = []string{"random"} // a policy that ignores slow start
	x.Fleet.SlowStartFrom = 0.05
	x.Fleet.SlowStart = 12000
	x.Fleet.OverloadMultiple = 0.2
	x.Faults = append(x.Faults, experiment.Fault{Kind: experiment.FaultGrowth, At: 2000, Duration: 1, Share: 1})
	require.NoError(t, x.Complete())
	found := Play(x)
	require.NotNil(t, found)
	require.NotZero(t, found.Counts[audit.SlowStart], found.Counts)
	shrunk := Shrink(found, 120, Play)
	assert.NotZero(t, shrunk.Counts[audit.SlowStart])
	assert.Len(t, shrunk.Experiment.Faults, 1)
	assert.Equal(t, experiment.FaultGrowth, shrunk.Experiment.Faults[0].Kind)
	assert.Less(t, shrunk.Experiment.Length, x.Length)
}
