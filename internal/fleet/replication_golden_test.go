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

// What /_fleet has under Holdings, as the build before the fields had tags wrote it.
func TestGoldenHoldingsStatus(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "holdings-status.json"))
	require.NoError(t, err)
	golden := strings.TrimSpace(string(text))
	want := HoldingsStatus{
		Kinds: map[string]replication.Standing{"marks": {Held: 1, Open: 2, Under: 3, Short: 4},
			"places": {Held: 5, Open: 6, Under: 7, Short: 8}},
		Able: true,
		Counts: map[string]replication.Counts{"places": {Held: 1, Full: 2, Promised: 3, Refused: 4, Sought: 5,
			Took: 6, Again: 7, Missed: 8, Accepted: 9}},
		P50: 0.75,
		P99: 12.5,
	}
	var read HoldingsStatus
	require.NoError(t, json.Unmarshal([]byte(golden), &read))
	assert.Equal(t, want, read)
	again, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, golden, string(again))
}
