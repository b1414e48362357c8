package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The subcommand check reports the invalid field of either file.
func TestCheck(t *testing.T) {
	discovery := newDiscoveryStub(t)
	good := discovery.relayConfig(0)
	for _, c := range []struct {
		name, config, operator, want string
		code                         int
	}{
		{"good", good, "[log]\nlevel = \"warn\"\n", "ok: n0 listens on 127.0.0.1:0, discovery " + discovery.address, 0},
		{"platform field", strings.Replace(good, `"listen":"127.0.0.1:0"`, `"listen":"here"`, 1), "",
			`check: listen: address:port expected, got "here"`, 1},
		{"operators' address", strings.Replace(good, `"ops":""`, `"ops":"x"`, 1), "",
			"check: ops: address:port or", 1},
		{"setting", strings.Replace(good, `"most-setup-tries":3`, `"most-setup-tries":-3`, 1), "",
			"check: settings: limits.most-setup-tries: a number expected", 1},
		{"too few sockets", discovery.relayConfig(12), "", "check: limits.sockets: 38 or more expected", 1},
		{"operator field", good, "[log]\nlevel = \"all\"\n", "2:9: log.level:", 1},
		{"operator unknown", good, "[logs]\n", "1:2: logs: no such field", 1},
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "c.json"), []byte(c.config), 0o600))
		require.NoError(t, os.WriteFile(filepath.Join(dir, "o.toml"), []byte(c.operator), 0o600))
		cmd := exec.Command(programPath, "check", "--operator", filepath.Join(dir, "o.toml"))
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "c.json"), "RELAY_LISTEN=",
			"RELAY_NAME=", "RELAY_OPS=",
			"RELAY_DISCOVERY=")
		output, _ := cmd.CombinedOutput()
		assert.Contains(t, string(output), c.want, c.name)
		assert.Equal(t, c.code, cmd.ProcessState.ExitCode(), c.name)
	}
}

// A reload applies both files or neither: the log's format and the discovery address change with a valid pair, and
// nothing changes if one of the files is invalid.
func TestReloadTakesBothFilesOrNeither(t *testing.T) {
	b := newBackend(t, "b1")
	discovery := newDiscoveryStub(t, b)
	file := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("")
	t.Setenv("VALESHIFT_OPERATOR", file)
	r := startProcess(t, discovery.relayConfig(0))
	r.address = r.awaitLog(`msg=serving .*listen=(\S+)`)[1]
	client, server := r.establish(b)

	other := newDiscoveryStub(t, b)
	write("[log]\nformat = \"jsn\"\n")
	r.reload(other.relayConfig(0))
	r.awaitLog(`msg="reload refused, all stays as it was" why=.*operator.toml:2:10: log.format: text or json`)
	write("[log]\nformat = \"json\"\n")
	r.reload(strings.Replace(other.relayConfig(0), `"zone":0`, `"zone":"x"`, 1))
	r.awaitLog(`msg="reload refused, all stays as it was" why="settings: zone`)
	assert.Zero(t, other.watches)
	r.reload(other.relayConfig(0))
	r.awaitLog(`"msg":"reloaded","discovery":"` + other.address + `","changed":true`)
	other.awaitWatch(t)
	client.send("still here")
	assert.Equal(t, "still here", server.receive())
}
