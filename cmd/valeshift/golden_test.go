package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/failover"
)

// golden returns the text of a golden file.
func golden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/golden/" + name)
	require.NoError(t, err)
	return string(text)
}

// Subcommands, arguments, flags, their environment variables and their defaults are those of the golden file, so
// renaming a Go field does not change them.
func TestGoldenCommandLine(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		name    string
		grammar any
	}{
		{"valeshift", &commandLine{}},
		{"valeshift fleet", &struct {
			Show  fleetShow  `cmd:"" name:"show" default:"withargs"`
			Leave fleetLeave `cmd:"" name:"leave"`
		}{}},
		{"valeshift zone", &zoneArguments{}},
		{"valeshift holdings", &struct {
			Show   replicationSummary `cmd:"" name:"show" default:"withargs"`
			Export replicationExport  `cmd:"" name:"export"`
			Verify replicationVerify  `cmd:"" name:"verify"`
		}{}},
	} {
		parser, err := kong.New(c.grammar, kong.Name(c.name))
		require.NoError(t, err)
		describe(&got, parser.Model.Node)
	}
	assert.Equal(t, golden(t, "commandline.txt"), got.String())
}

// describe writes the arguments and flags of a command and of its subcommands.
func describe(to io.Writer, n *kong.Node) {
	fmt.Fprintf(to, "%s\n", n.FullPath())
	for _, p := range n.Positional {
		fmt.Fprintf(to, "  argument %s enum=%q default=%q required=%t\n", p.Name, p.Enum, p.Default, p.Required)
	}
	for _, f := range n.Flags {
		fmt.Fprintf(to, "  flag --%s env=%v default=%q required=%t placeholder=%q\n", f.Name, f.Envs, f.Default, f.Required,
			f.PlaceHolder)
	}
	for _, child := range n.Children {
		describe(to, child)
	}
}

// serveAnswers starts a server that answers each path with its text, and records the request bodies.
func serveAnswers(t *testing.T, answers map[string]string) (address string, bodies *[]string) {
	t.Helper()
	bodies = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body) > 0 {
			*bodies = append(*bodies, string(body))
		}
		answer, ok := answers[r.URL.RequestURI()]
		if !ok {
			answer = answers[r.URL.Path]
		}
		io.WriteString(w, answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), bodies
}

// runProgram runs the program, which must succeed, and returns its standard output.
func runProgram(t *testing.T, arguments ...string) string {
	t.Helper()
	cmd := exec.Command(programPath, arguments...)
	cmd.Env = append(os.Environ(), "USER=ops")
	output, err := cmd.Output()
	require.NoError(t, err, arguments)
	return string(output)
}

// The export prints records with the fields that the relay sent, and the name of that relay.
func TestGoldenHoldingsExport(t *testing.T) {
	address, _ := serveAnswers(t, map[string]string{"/_holdings?part=0": golden(t, "page.json"), "/_holdings": "{}"})
	assert.Equal(t, golden(t, "export.jsonl"), runProgram(t, "holdings", "export", address))
}

// With --json a relay's answer is printed unchanged, including fields that this build does not know.
func TestGoldenFleetJSON(t *testing.T) {
	text := `{"Name":"relay-1","Boot":3,"Other":[1,2]}`
	address, _ := serveAnswers(t, map[string]string{"/_fleet": text})
	assert.Equal(t, text+"\n", runProgram(t, "fleet", "show", "--json", address))
}

// A coordinator's answers are decoded, and an order is encoded, with the JSON names that coordinators use.
func TestGoldenZoneAnswersAndOrder(t *testing.T) {
	address, bodies := serveAnswers(t, map[string]string{"/status": golden(t, "status.json"),
		"/history": golden(t, "history.json"), "/order": strings.Trim(golden(t, "history.json"), "[]\n")})
	output := runProgram(t, "zone", "status", "--council", address)
	for _, want := range []string{"voter-1", "leader", "leads true", "decision 17", "set aside", "west", "north", "0.25",
		"east 0.75", "o-1", "by ops", "upkeep"} {
		assert.Contains(t, output, want)
	}
	output = runProgram(t, "zone", "history", "--council", address)
	for _, want := range []string{"17", "1970-01-01T00:00:05Z", "ordered", "not now"} {
		assert.Contains(t, output, want)
	}
	output = runProgram(t, "zone", "empty", "west", "--council", address, "--reason", "upkeep", "--force", "--id", "o-1",
		"--for", "1h")
	assert.Contains(t, output, "decision 17, order o-1\n")
	require.Len(t, *bodies, 1)
	var fields map[string]any
	require.NoError(t, json.Unmarshal([]byte((*bodies)[0]), &fields))
	assert.Greater(t, fields["Until"], 1.7e12)
	fields["Until"] = 0
	got, err := json.Marshal(fields)
	require.NoError(t, err)
	assert.Equal(t, golden(t, "order.json"), string(got)+"\n")
	var order failover.OperatorOrder
	require.NoError(t, json.Unmarshal([]byte((*bodies)[0]), &order))
}
