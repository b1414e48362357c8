package fleet

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/relay"
)

// The JSON form of CoordinatorStatus, which operators' tools read. The golden file was written by a build before the
// fields had tags.
func TestCoordinatorStatusGolden(t *testing.T) {
	want := CoordinatorStatus{Number: 42, Followed: true, RenewalDueMillis: 1250.5, Leader: "10.0.0.1:7946",
		ZoneWeights: []relay.ZoneWeight{
			{Zone: "a", Share: 0.75, AcceptsOverflow: true},
			{Zone: "b", Share: 0.25, AcceptsOverflow: true},
		}}
	data, err := os.ReadFile("testdata/golden/coordinator-status.json")
	require.NoError(t, err)
	var read CoordinatorStatus
	require.NoError(t, json.Unmarshal(data, &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, string(data), string(written))
}
