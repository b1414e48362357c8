package cost

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A result is encoded to the same JSON as before all of its fields had tags, and decoded from it.
func TestResultGolden(t *testing.T) {
	want := Result{
		Path:               "relay",
		Backends:           30,
		Setups:             900,
		Failed:             2,
		SetupsPerSecond:    300.5,
		SetupsPerCPUSecond: 2500.25,
		LineP50Millis:      0.125,
		LineP99Millis:      0.5,
		LineP999Millis:     1.5,
		Lines:              4000,
		CPUMicrosPerLine:   12.5,
		BytesPerSession:    4096,
		IdleSessions:       1000,
	}
	data, err := os.ReadFile("testdata/golden/result.json")
	require.NoError(t, err)
	var read Result
	require.NoError(t, json.Unmarshal(data, &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, string(data), string(written))
}
