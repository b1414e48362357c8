package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/replication"
)

// The JSON form of ReplicationStatus, which /_fleet has under Holdings. The golden file was written by a build before
// the fields had tags.
func TestGoldenReplicationStatus(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "holdings-status.json"))
	require.NoError(t, err)
	goldenJSON := strings.TrimSpace(string(text))
	want := ReplicationStatus{
		Kinds: map[string]replication.KindStatus{
			"marks":  {Stored: 1, Open: 2, UnderReplicated: 3, BelowQuorum: 4},
			"places": {Stored: 5, Open: 6, UnderReplicated: 7, BelowQuorum: 8},
		},
		HasEnoughMembers: true,
		Counts: map[string]replication.Counts{
			"places": {Stored: 1, RejectedFull: 2, Replicated: 3, NotReplicated: 4, Lookups: 5, Found: 6,
				AlreadyUsed: 7, Missed: 8, Accepted: 9},
		},
		P50Millis: 0.75,
		P99Millis: 12.5,
	}
	var read ReplicationStatus
	require.NoError(t, json.Unmarshal([]byte(goldenJSON), &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, goldenJSON, string(written))
}
