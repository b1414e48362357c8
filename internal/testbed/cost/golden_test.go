package cost

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The figures of a measurement as they are written to a file, by the build before all of them had tags.
func TestFiguresGolden(t *testing.T) {
	want := Figures{Way: "relay", Servers: 30, Setups: 900, Failed: 2, PerSecond: 300.5, PerCPU: 2500.25, P50: 0.125,
		P99: 0.5, P999: 1.5, Lines: 4000, LineCPU: 12.5, Memory: 4096, Idle: 1000}
	data, err := os.ReadFile("testdata/golden/figures.json")
	require.NoError(t, err)
	var read Figures
	require.NoError(t, json.Unmarshal(data, &read))
	assert.Equal(t, want, read)
	written, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, string(data), string(written))
}
