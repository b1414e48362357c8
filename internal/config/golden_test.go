package config

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Every field of the operators' file keeps its key, and the values of testdata/golden/full.toml are read.
func TestGoldenFileIsRead(t *testing.T) {
	f, err := Read("testdata/golden/full.toml")
	require.NoError(t, err)
	assert.Equal(t, &File{
		Log:     Log{Format: JSON, Level: slog.LevelWarn + 1, Source: true},
		Servers: Servers{ReportAge: 250},
		Peers: Peers{Listen: "127.0.0.1:7000", Seeds: []string{"127.0.0.1:7001", "127.0.0.1:7002"}, Zone: "west",
			Region: "north", Only: true, KeyFile: "fleet.key"},
		Disk:     Disk{Folder: "state", MostMB: 12},
		Council:  Council{Voters: []string{"127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"}},
		Holdings: Holdings{Copies: 3, Remember: 20000, Stood: true},
	}, f)
}
