package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Scripts depend on the names of subcommands, arguments and flags, so renaming a field must not change them.
func TestCommandLineKeepsItsNames(t *testing.T) {
	var commands commandLine
	parser, err := kong.New(&commands, kong.BindTo(context.Background(), (*context.Context)(nil)))
	require.NoError(t, err)
	got := map[string][]string{}
	for _, command := range parser.Model.Children {
		names := []string{}
		for _, argument := range command.Positional {
			names = append(names, "<"+argument.Name+">")
		}
		for _, flag := range command.Flags {
			names = append(names, "--"+flag.Name)
		}
		got[command.Name] = names
	}
	assert.Equal(t, map[string][]string{
		"fleet":   {"<file>", "--report", "--relay", "--logs"},
		"sim":     {"<file>", "--report", "--seed", "--trace"},
		"load":    {"<file>", "--report", "--relay", "--logs"},
		"hunt":    {"--from", "--count", "--shrink", "--out", "--most", "--processes", "--side", "--relay"},
		"check":   {"<file>"},
		"cost":    {"--servers", "--clients", "--lasts", "--standing", "--every", "--idle", "--rounds", "--relay", "--json"},
		"forward": {"<address>"},
		"flood":   {"--kinds", "--peers", "--servers", "--lasts", "--standing", "--every", "--relay"},
		"demo":    {"--relay", "--out"},
	}, got)
}

// The relay's program is the one that is named, or else the one in this program's folder.
func TestRelayPath(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  func(named string) (string, error)
		named string
		want  string // the end of the path
	}{
		{"named", relayPath, "/opt/relay", "/opt/relay"},
		{"beside this program", relayPath, "", "/valeshift"},
		{"named, with a disk that fails", faultDiskRelayPath, "/opt/relay", "/opt/relay"},
		{"beside this program, with a disk that fails", faultDiskRelayPath, "", "/valeshift-faultdisk"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, err := c.path(c.named)
			require.NoError(t, err)
			assert.Regexp(t, c.want+"$", path)
		})
	}
}

// The build commands in README don't build the relay with the faulty disk, so the error says how to build it.
func TestMissingFaultDiskRelay(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "valeshift-faultdisk")
	_, err := findFaultDiskRelay(missing)
	assert.ErrorContains(t, err, "go build -tags faultdisk -o "+missing+" ./cmd/valeshift")
	require.NoError(t, os.WriteFile(missing, nil, 0o755))
	path, err := findFaultDiskRelay(missing)
	require.NoError(t, err)
	assert.Equal(t, missing, path)
}
