package live

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/experiment"
)

// smallFleet returns the backends and the traffic of an experiment, with that many new chat clients a second.
func smallFleet(chatsPerSecond int) string {
	return fmt.Sprintf(`[fleet]
servers = 6
cores = 2
[[traffic]]
category = "chat"
standing = 80
rate = %d
life = "10s"
load = 10
every = "400ms"
honours-busy = 1
[[traffic]]
category = "order"
effect = "single-use"
rate = 4
life = "2s"
load = 5
every = "400ms"
`, chatsPerSecond)
}

const killAndDrain = `
name = "kill and drain"
seed = 2
length = "15s"
warm = "3s"
[relays]
count = 2
back = "700ms"
%s[[fault]]
kind = "drain"
at = "4s"
for = "5s"
share = 0.3
[[fault]]
kind = "relay-kill"
at = "7s"
share = 0.5
[[fault]]
kind = "relay-restart"
at = "10s"
share = 0.5
[[fault]]
kind = "reload"
at = "5s"
share = 1
`

const replaceAndDrain = `
name = "replace and empty"
seed = 3
length = "15s"
warm = "3s"
[relays]
count = 2
%s[[fault]]
kind = "relay-replace"
at = "4s"
share = 1
[[fault]]
kind = "relay-drain"
at = "9s"
for = "4500ms"
share = 0.5
`

// nineRelays has relays that know of each other and have disks, and that start without an endpoint list.
const nineRelays = `[relays]
count = 9
known = false
peers = true
disk = true
`

const impairedNetwork = `
name = "ways and power"
seed = 4
length = "18s"
warm = "3s"
` + nineRelays + `%s[[fault]]
kind = "way-cut"
at = "3s"
for = "3s"
from = "discovery"
to = "half"
[[fault]]
kind = "drain"
at = "4s"
for = "4s"
share = 0.2
[[fault]]
kind = "relay-freeze"
at = "4500ms"
for = "1s"
share = 0.3
[[fault]]
kind = "way-pieces"
at = "7s"
for = "2s"
both = true
[[fault]]
kind = "power-loss"
at = "9s"
for = "1s"
spread = "500ms"
share = 1
disk = "flipped"
[[fault]]
kind = "way-cut"
at = "9s"
for = "4s"
from = "half"
to = "rest"
both = true
[[fault]]
kind = "power-loss"
at = "11500ms"
for = "500ms"
spread = "1s"
share = 1
disk = "torn"
never = 1
`

// Relay processes on loopback break no audit rule, first while backends drain and relays are killed, shut down and
// reloaded, then while relays are replaced without migrating sessions or are drained and taken back, and last with
// impaired network paths, frozen relays and power losses that damage disks.
func TestKillAndDrain(t *testing.T) {
	for _, c := range []struct {
		text       string
		faults     []string
		minService float64 // lowest share of the offered weight that is served after the warm-up
	}{
		{fmt.Sprintf(killAndDrain, smallFleet(6)), []string{"drain", "relay-kill", "relay-restart", "reload"}, 0.7},
		{fmt.Sprintf(replaceAndDrain, smallFleet(20)), []string{"relay-replace", "relay-drain"}, 0.9},
		{fmt.Sprintf(impairedNetwork, smallFleet(20)), []string{"way-cut", "drain", "relay-freeze", "way-pieces",
			"power-loss",
			"way-cut", "power-loss"}, 0.3},
	} {
		checkExperiment(t, c.text, c.faults, c.minService)
	}
}

// buildRelay builds the relay and the coordinator with the tag faultdisk, and returns the path of the relay's binary.
func buildRelay(t *testing.T, flags ...string) string {
	dir := t.TempDir()
	build := append([]string{"build", "-tags", "faultdisk", "-o", dir}, flags...)
	output, err := exec.Command("go", append(build, "valeshift/cmd/valeshift",
		"valeshift/cmd/valeshift-coordinator")...).CombinedOutput()
	require.NoError(t, err, "%s", output)
	return filepath.Join(dir, "valeshift")
}

// playExperiment runs an experiment. It returns nil if the machine was too slow for the run to count.
func playExperiment(t *testing.T, binary, text string) *Result {
	x, err := experiment.Parse([]byte(text))
	require.NoError(t, err)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	r, err := Play(ctx, x, binary, t.TempDir())
	require.NoError(t, err)
	for _, b := range r.Auditor.Violations {
		t.Log(b)
	}
	if r.BehindSchedule {
		t.Logf("%.0f ms behind schedule: the machine is too slow for this run to count", r.Metrics.MaxLag)
		return nil
	}
	return r
}

// checkExperiment runs an experiment and checks that it breaks no rule, serves enough and has the faults wanted.
func checkExperiment(t *testing.T, text string, wantFaults []string, minService float64) {
	r := playExperiment(t, buildRelay(t, "-race"), text)
	if r == nil {
		return
	}
	assert.Zero(t, r.Auditor.ViolationCount())
	assert.Greater(t, r.Metrics.Answers["UP"], 100)
	assert.Greater(t, r.Metrics.ServedShare(3000, 15000), minService)
	var kinds []string
	for _, m := range r.FaultSpans {
		kinds = append(kinds, m.Text)
	}
	assert.ElementsMatch(t, wantFaults, kinds)
}

// A relay process that ends before the run begins fails the run with an error that has its number, its exit status and
// the end of its log. Such a process once caused a nil pointer dereference.
func TestEndsEarly(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "relay")
	require.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\necho no such luck >&2\nexit 3\n"), 0o755))
	x, err := experiment.Parse([]byte("[relays]\ncount = 1\n[[traffic]]\nrate = 1\n"))
	require.NoError(t, err)
	_, err = Play(context.Background(), x, binary, dir)
	assert.ErrorContains(t, err, "relay 0 ended before the run began (exit status 3): no such luck")
}
