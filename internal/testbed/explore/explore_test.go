package explore

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
)

// What is drawn keeps the rules: 200 experiments by the command, which is built without the race detector, as
// one run is one routine; and some of them here.
func TestDrawnExperimentsKeepTheRules(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valeshift-testbed")
	said, err := exec.Command("go", "build", "-o", binary, "valeshift/cmd/valeshift-testbed").CombinedOutput()
	require.NoError(t, err, "%s", said)
	cmd := exec.Command(binary, "hunt", "--count", "200", "--shrink", "0", "--out", t.TempDir())
	cmd.Env = append(os.Environ(), "GOMAXPROCS=3") // other packages' tests run beside this one
	said, err = cmd.CombinedOutput()
	require.NoError(t, err, "%s", said)
	assert.Contains(t, string(said), "200 seeds from 1 on")
	assert.Contains(t, string(said), "0 break a rule")

	n := 0
	Explore(context.Background(), 1, 13, func(f *Finding) {
		t.Errorf("seed %d: %v %s %v", f.Seed, f.Counts, f.Panic, f.Violations[:min(len(f.Violations), 3)])
	}, func(played int) { n = played })
	assert.Equal(t, 12, n)
}

// What was found at first is written as a file that is read as the same experiment.
func TestDrawnExperimentsAreFiles(t *testing.T) {
	for seed := range uint64(200) {
		x := Generate(seed)
		text, err := (&Finding{Experiment: x}).Text()
		require.NoError(t, err)
		y, err := experiment.Parse(text)
		require.NoError(t, err, "%s", text)
		again, err := (&Finding{Experiment: y}).Text()
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
	}
}

// Shrinking takes away what does not matter: here by a fleet whose cold servers are pushed over by the first
// links, whatever else goes wrong.
func TestShrink(t *testing.T) {
	x := Generate(3)
	x.Variants = []string{"random"} // which knows nothing of cold servers
	x.Fleet.SlowStartFrom, x.Fleet.SlowStart, x.Fleet.OverloadMultiple = 0.05, 12000, 0.2
	x.Faults = append(x.Faults, experiment.Fault{Kind: "growth", At: 2000, Duration: 1, Share: 1})
	require.NoError(t, x.Complete())
	f := Play(x)
	require.NotNil(t, f)
	require.NotZero(t, f.Counts[audit.SlowStart], f.Counts)
	g := Shrink(f, 120)
	assert.NotZero(t, g.Counts[audit.SlowStart])
	assert.Len(t, g.Experiment.Faults, 1)
	assert.Equal(t, "growth", g.Experiment.Faults[0].Kind)
	assert.Less(t, g.Experiment.Length, x.Length)
}
