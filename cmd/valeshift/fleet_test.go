package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/fleet"
)

// The golden files were written by the build of commit 32b198a.
var update = flag.Bool("update", false, "rewrite the golden files; only for an intended change of the output")

// `valeshift fleet` prints a relay's status in the format of the golden file, and with --json exactly as the relay
// sends it.
func TestGoldenFleet(t *testing.T) {
	status, err := os.ReadFile(filepath.Join("..", "..", "internal", "fleet", "testdata", "golden", "status.json"))
	require.NoError(t, err)
	path := filepath.Join("testdata", "golden", "fleet.txt")
	var s fleet.Status
	require.NoError(t, json.Unmarshal(status, &s))
	var shown bytes.Buffer
	printFleetStatus(&shown, "ADDRESS", &s)
	if *update {
		require.NoError(t, os.WriteFile(path, shown.Bytes(), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), shown.String())

	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "/_fleet", r.URL.Path)
		w.Write(status)
	}))
	defer relay.Close()
	address := strings.TrimPrefix(relay.URL, "http://")
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"as text", []string{"fleet", address}, strings.ReplaceAll(string(want), "ADDRESS", address)},
		{"as it is told", []string{"fleet", "--json", address}, string(status) + "\n"},
	} {
		text, err := exec.Command(programPath, c.args...).Output()
		require.NoError(t, err, c.name)
		assert.Equal(t, c.want, string(text), c.name)
	}
}
