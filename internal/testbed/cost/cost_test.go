package cost

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A short measurement runs to its end with nothing failed, and has a figure for each way. What the figures
// are is the machine's.
func TestMeasure(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"valeshift", "valeshift-testbed"} {
		said, err := exec.Command("go", "build", "-o", filepath.Join(dir, name),
			"valeshift/cmd/"+name).CombinedOutput()
		require.NoError(t, err, "%s", said)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	all, err := Measure(ctx, Plan{RelayCommand: []string{filepath.Join(dir, "valeshift")},
		ForwarderCommand: []string{filepath.Join(dir, "valeshift-testbed"), "forward"}, Servers: 30, Clients: 4,
		Duration: 300 * time.Millisecond, ActiveSessions: 5, LineInterval: 10 * time.Millisecond, IdleSessions: 50, Rounds: 1, Dir: dir})
	require.NoError(t, err)
	require.Len(t, all, 3)
	for i, way := range []string{"relay", "forwarder", "direct"} {
		assert.Equal(t, way, all[i].Path)
		assert.Zero(t, all[i].Failed, way)
		assert.Greater(t, all[i].Setups, 20, way)
		assert.Greater(t, all[i].Lines, int64(50), way)
		assert.Greater(t, all[i].LineP50Millis, 0.0, way)
	}
}

// The forwarder says what it misses.
func TestForwardWantsServers(t *testing.T) {
	in, err := os.Open(os.DevNull)
	require.NoError(t, err)
	defer in.Close()
	assert.ErrorContains(t, RunForwarder(context.Background(), in, "127.0.0.1:0"), "servers' addresses expected")
}
