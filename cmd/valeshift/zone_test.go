package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/failover"
)

// zoneGolden returns the text of a golden file: an answer of a coordinator, or what `valeshift zone` sends or prints.
// The files were written by the build before its structs had JSON tags.
func zoneGolden(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", "zone", name))
	require.NoError(t, err)
	return string(data)
}

// coordinatorStub is a coordinator that leads or does not, and records the last order that it got.
type coordinatorStub struct {
	status string // answer to GET /status
	leads  bool   // whether it answers orders
	order  []byte // body of the last order; nil: none yet
}

// start serves the admin API and returns its address.
func (v *coordinatorStub) start(t *testing.T) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	answer := func(path, text string) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	}
	answer("/status", v.status)
	answer("/history", zoneGolden(t, "history.json"))
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		if !v.leads {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		v.order, _ = io.ReadAll(r.Body)
		if strings.Contains(string(v.order), `"refuse-me"`) {
			http.Error(w, "refused: no such zone", http.StatusConflict)
			return
		}
		io.WriteString(w, zoneGolden(t, "order-answer.json"))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// captureStdout runs the command, and returns what it printed on standard output, with addresses replaced by names, and
// its error.
func captureStdout(t *testing.T, names map[string]string, run func() error) (string, error) {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = writer
	defer func() { os.Stdout = stdout }()
	runErr := run()
	require.NoError(t, writer.Close())
	text, err := io.ReadAll(reader)
	require.NoError(t, err)
	for address, name := range names {
		text = bytes.ReplaceAll(text, []byte(address), []byte(name))
	}
	return string(text), runErr
}

// Each action of `valeshift zone` prints, and sends, what the golden files have.
func TestZoneCommandGolden(t *testing.T) {
	leader := &coordinatorStub{status: zoneGolden(t, "status-leader.json"), leads: true}
	other := &coordinatorStub{status: zoneGolden(t, "status-other.json")}
	leaderAddress, otherAddress := leader.start(t), other.start(t)
	names := map[string]string{leaderAddress: "LEADER", otherAddress: "OTHER"}
	coordinators := []string{"--council", otherAddress, "--council", leaderAddress}
	for name, args := range map[string][]string{
		"status":  {"status"},
		"history": {"history"},
		"empty":   {"empty", "d", "--reason=rack work", "--who=ana", "--force", "--id=order-1"},
		"return":  {"return", "d", "--reason=rack work", "--who=ana", "--id=order-1"},
		"hold":    {"hold", "d", "--reason=rack work", "--who=ana", "--id=order-1"},
	} {
		t.Run(name, func(t *testing.T) {
			leader.order = nil
			text, err := captureStdout(t, names, func() error {
				return runSubcommand(&zoneArguments{}, "valeshift zone", append(args, coordinators...))
			})
			require.NoError(t, err)
			assert.Equal(t, zoneGolden(t, name+".txt"), text)
			if leader.order != nil {
				assert.Equal(t, zoneGolden(t, name+"-order.json"), string(leader.order))
			}
			assert.Equal(t, name != "status" && name != "history", leader.order != nil, "an order was sent")
		})
	}
}

// With --for the order gets the time at which it expires; without --id it gets a random ID.
func TestZoneCommandOrderEnds(t *testing.T) {
	leader := &coordinatorStub{leads: true}
	address := leader.start(t)
	before := time.Now().Add(time.Hour).UnixMilli()
	_, err := captureStdout(t, nil, func() error {
		return runSubcommand(&zoneArguments{}, "valeshift zone", []string{"hold", "d", "--for=1h", "--council", address})
	})
	require.NoError(t, err)
	var order failover.OperatorOrder
	require.NoError(t, json.Unmarshal(leader.order, &order))
	assert.GreaterOrEqual(t, order.ExpiresAt, float64(before))
	assert.LessOrEqual(t, order.ExpiresAt, float64(time.Now().Add(time.Hour).UnixMilli()))
	assert.NotEmpty(t, order.ID, "random, as none was given")
}

func TestZoneCommandErrors(t *testing.T) {
	leader := &coordinatorStub{status: zoneGolden(t, "status-leader.json"), leads: true}
	other := &coordinatorStub{status: zoneGolden(t, "status-other.json")}
	leaderAddress, otherAddress := leader.start(t), other.start(t)
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"an order without a zone":     {[]string{"empty", "--council", leaderAddress}, errNoZone.Error()},
		"nobody that was asked leads": {[]string{"empty", "d", "--council", otherAddress}, errNoLeader.Error()},
		"no leader to show":           {[]string{"status", "--council", otherAddress}, errNoLeader.Error()},
		"an order that is not accepted": {
			[]string{"empty", "refuse-me", "--id=1", "--council", leaderAddress},
			"order 1: refused: no such zone",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := captureStdout(t, nil, func() error { return runSubcommand(&zoneArguments{}, "valeshift zone", c.args) })
			assert.EqualError(t, err, c.want)
		})
	}
}

// The names of arguments, flags and environment variables, and their help texts, are those of the golden file.
func TestZoneCommandHelpGolden(t *testing.T) {
	t.Setenv("USER", "")
	var help bytes.Buffer
	parser, err := kong.New(&zoneArguments{}, kong.Name("valeshift zone"), kong.Writers(&help, &help),
		kong.Exit(func(int) {}))
	require.NoError(t, err)
	parser.Parse([]string{"--help"})
	assert.Equal(t, zoneGolden(t, "help.txt"), help.String())
}
