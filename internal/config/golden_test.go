package config

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The keys of all fields stay as they are in testdata/golden/full.toml, whose values are all read.
func TestGoldenFileIsRead(t *testing.T) {
	f, err := Load("testdata/golden/full.toml")
	require.NoError(t, err)
	assert.Equal(t, &File{
		Log:      Log{Format: FormatJSON, Level: slog.LevelWarn + 1, Source: true},
		Backends: Backends{MaxReportAge: 250},
		Peers: Peers{Listen: "127.0.0.1:7000", Seeds: []string{"127.0.0.1:7001", "127.0.0.1:7002"}, Zone: "west",
			Region: "north", SeedsOnly: true, KeyFile: "fleet.key"},
		Disk:         Disk{Folder: "state", MaxMegabytes: 12},
		Coordinators: Coordinators{Voters: []string{"127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"}},
		Replication:  Replication{Copies: 3, MarkerRetention: 20000, Affinity: true},
	}, f)
}
