package fleet

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/relay"
)

// What operators' tools read of a relay's side of the decisions, as the build wrote it before its fields had
// tags.
func TestCouncilStatusGolden(t *testing.T) {
	want := CouncilStatus{Number: 42, Held: true, Renewed: 1250.5, Leads: "10.0.0.1:7946",
		Zones: []relay.Toward{{Zone: "a", Part: 0.75, Open: true}, {Zone: "b", Part: 0.25, Open: true}}}
	data, err := os.ReadFile("testdata/golden/council-status.json")
	require.NoError(t, err)
	var read CouncilStatus
	require.NoError(t, json.Unmarshal(data, &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, string(data), string(written))
}
