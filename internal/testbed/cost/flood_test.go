package cost

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestUsualSessionsBesideAFlood guards against one peer that never stops sending: it held the lines of all others for
// seconds. The bound is the second for which a relay may hold a line.
func TestUsualSessionsBesideAFlood(t *testing.T) {
	dir := t.TempDir()
	relay := filepath.Join(dir, "valeshift")
	output, err := exec.Command("go", "build", "-o", relay, "valeshift/cmd/valeshift").CombinedOutput()
	require.NoError(t, err, "%s", output)
	for _, kind := range FloodKinds() {
		t.Run(string(kind), func(t *testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), time.Minute)
			defer stop()
			result, err := MeasureFlood(ctx, Plan{
				RelayCommand:   []string{relay},
				Servers:        10,
				Duration:       time.Second,
				ActiveSessions: 10,
				LineInterval:   20 * time.Millisecond,
				Dir:            t.TempDir(),
			}, kind, 2)
			require.NoError(t, err)
			assert.Greater(t, result.Lines, int64(100))
			assert.Less(t, result.LineMaxMillis, 1000.0)
		})
	}
}
