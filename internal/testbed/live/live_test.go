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

// smallFleet is what both experiments play on, with so many new chats a second.
func smallFleet(chats int) string {
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
`, chats)
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

const replaceAndEmpty = `
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

// nineRelays know of each other, have disks and are told no list.
const nineRelays = `[relays]
count = 9
known = false
peers = true
disk = true
`

const brokenWays = `
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

// Relay processes on loopback keep the rules through a drain, a kill, a reload and a planned stop; and while
// they are replaced, without a move, or emptied and taken back.
func TestKillAndDrain(t *testing.T) {
	for _, c := range []struct {
		text  string
		kinds []string
		least float64 // service
	}{
		{fmt.Sprintf(killAndDrain, smallFleet(6)), []string{"drain", "relay-kill", "relay-restart", "reload"}, 0.7},
		{fmt.Sprintf(replaceAndEmpty, smallFleet(20)), []string{"relay-replace", "relay-drain"}, 0.9},
		{fmt.Sprintf(brokenWays, smallFleet(20)), []string{"way-cut", "drain", "relay-freeze", "way-pieces",
			"power-loss",
			"way-cut", "power-loss"}, 0.3},
	} {
		livePlay(t, c.text, c.kinds, c.least)
	}
}

// buildRelay builds the relay and the coordinator with a faultdisk.
func buildRelay(t *testing.T, flags ...string) string {
	dir := t.TempDir()
	build := append([]string{"build", "-tags", "faultdisk", "-o", dir}, flags...)
	said, err := exec.Command("go", append(build, "valeshift/cmd/valeshift",
		"valeshift/cmd/valeshift-coordinator")...).CombinedOutput()
	require.NoError(t, err, "%s", said)
	return filepath.Join(dir, "valeshift")
}

// played plays an experiment; nil where the machine is too slow for it to count.
func played(t *testing.T, binary, text string) *Result {
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
		t.Logf("%.0f ms behind the schedule: the machine is too slow for this run to count", r.Metrics.MaxLag)
		return nil
	}
	return r
}

func livePlay(t *testing.T, text string, want []string, least float64) {
	r := played(t, buildRelay(t, "-race"), text)
	if r == nil {
		return
	}
	assert.Zero(t, r.Auditor.ViolationCount())
	assert.Greater(t, r.Metrics.Answers["UP"], 100)
	assert.Greater(t, r.Metrics.ServedShare(3000, 15000), least)
	var kinds []string
	for _, m := range r.FaultSpans {
		kinds = append(kinds, m.Text)
	}
	assert.ElementsMatch(t, want, kinds)
}

// A relay that ends before the run begins is named, with its last words: before, the run ended in a nil
// pointer.
func TestEndsEarly(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "relay")
	require.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\necho no such luck >&2\nexit 3\n"), 0o755))
	x, err := experiment.Parse([]byte("[relays]\ncount = 1\n[[traffic]]\nrate = 1\n"))
	require.NoError(t, err)
	_, err = Play(context.Background(), x, binary, dir)
	assert.ErrorContains(t, err, "relay 0 ended before the run began (exit status 3): no such luck")
}
