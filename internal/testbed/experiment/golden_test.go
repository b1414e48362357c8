package experiment

import (
	"flag"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/config"
)

var update = flag.Bool("update", false, "write the golden file anew, from what the code writes now")

const goldenFile = "testdata/golden/experiment.toml"

// goldenExperiment has no field left zero.
func goldenExperiment() *Experiment {
	return &Experiment{Name: "golden", Seed: 7, Length: 12000, Warm: 1500, Variants: []string{"module", "two"},
		Relays: Relays{Count: 5, Back: 1001, FrontNotice: 1002, Sockets: 1003, Tries: 4, MaxBack: 1005, Probes: true,
			Peers: true, Disk: true, ReportAge: true, Council: 3, Holdings: 5, Remember: 1006, Stood: true,
			Known: true},
		Network: Network{Delay: 0.25, Jitter: 0.5, Split: 0.125},
		Fleet: Fleet{Servers: 11, Zones: 3, Regions: 2, Cores: 4.5, SpeedSpread: 0.125, SetupWork: 6, StoreRate: 7.5,
			Reports: 208, Noise: 0.0625, ColdFrom: 0.25, Cold: 9001, TipMultiple: 3.5, Fall: 2001, Down: 5001},
		Traffic: []Traffic{{Category: "chat", Party: "blue", Gain: 1.5, Effect: "single-use", Promised: 501,
			HardLimit: 2002, Rate: 8.5, Standing: 9, Life: 20001, Load: 10.5, LoadSpread: 0.75, Every: 2003,
			Groups: 12, HonoursMS: 0.375, Retry: 201}},
		Faults: []Fault{{Kind: "power-loss", At: 3001, For: 5002, Share: 0.5, Factor: 2.5, Spread: 2004, Never: 1,
			Disk: "torn", From: "relay-1", To: "zone-a", Both: true}}}
}

// An experiment is written as the same bytes as before, and read as what it was written from.
func TestGoldenExperiment(t *testing.T) {
	text, err := toml.Marshal(goldenExperiment())
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(goldenFile, text, 0o644))
	}
	want, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(text))
	read := &Experiment{}
	require.NoError(t, config.Strict(want, read))
	assert.Equal(t, goldenExperiment(), read)
	parsed, err := Parse(want)
	require.NoError(t, err)
	assert.Equal(t, goldenExperiment(), parsed)
}
