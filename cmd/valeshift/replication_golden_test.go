package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenRelay starts a stub that answers as a relay did before its structs had JSON tags, and returns its address.
func goldenRelay(t *testing.T, name string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		file := ""
		switch r.URL.RequestURI() {
		case "/_fleet":
			file = name + "-fleet.json"
		case "/_holdings?part=3":
			file = name + "-part3.json"
		default:
			w.Write([]byte(`{"Name":"` + name + `","Now":1700000000000,"Records":[]}`))
			return
		}
		text, err := os.ReadFile(filepath.Join("testdata", "golden", "holdings", file))
		if err != nil {
			t.Error(err)
		}
		w.Write(text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// The output of the subcommands show, export and verify of `valeshift holdings` is that of the golden files.
func TestGoldenHoldingsCommand(t *testing.T) {
	one, two, wrong := goldenRelay(t, "relay-1"), goldenRelay(t, "relay-2"), goldenRelay(t, "relay-wrong")
	for _, c := range []struct {
		name, golden string
		arguments    []string
		fails        bool
	}{
		{"sums", "show.txt", []string{one, two}, false},
		{"not enough relays", "show-unable.txt", []string{one, wrong}, false},
		{"records as lines of JSON", "export.txt", []string{"export", one, two}, false},
		{"all whole", "verify.txt", []string{"verify", one, two}, false},
		{"contradictions", "verify-wrong.txt", []string{"verify", one, two, wrong}, true},
		{"one relay not asked", "verify-unknown.txt", []string{"verify", one}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			command := exec.Command(programPath, append([]string{"holdings"}, c.arguments...)...)
			var out bytes.Buffer
			command.Stdout = &out
			err := command.Run()
			assert.Equal(t, c.fails, err != nil, "%v", err)
			want, err := os.ReadFile(filepath.Join("testdata", "golden", "holdings", c.golden))
			require.NoError(t, err)
			assert.Equal(t, string(want), strings.ReplaceAll(out.String(), wrong, "ADDRESS"))
		})
	}
}
