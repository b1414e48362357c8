package recovery

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The JSON form of the status, which operators' programs parse, must stay as the build of commit 32b198a wrote it.
func TestGoldenStatus(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "status.json"))
	require.NoError(t, err)
	want := Status{Phase: "admitting", Reason: "no other relay is heard", PhaseMillis: 1500.5, FullOutage: true, CapacityShare: 0.125,
		Accepted: []string{"2 servers, from the disk"}, Discarded: []string{"r2: no answer in time"}, EndpointsConfirmed: true, PendingAnswers: 3,
		Answers: 2}
	var read Status
	require.NoError(t, json.Unmarshal(text, &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(written))
}
