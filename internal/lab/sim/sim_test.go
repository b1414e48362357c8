package sim

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"valeshift/internal/lab/experiment"
)

const calm = `
name = "calm"
seed = 4
length = "20s"
[relays]
count = 3
[fleet]
servers = 8
zones = 2
[[traffic]]
category = "chat"
rate = 20
standing = 300
life = "10s"
load = 40
load-spread = 0.5
honours-busy = 1
[[traffic]]
category = "order"
effect = "single-use"
gain = 3
rate = 10
life = "2s"
load = 20
every = "500ms"
`

func parse(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	x, err := experiment.Parse([]byte(text))
	require.NoError(t, err)
	return x
}

func play(t *testing.T, text, variant string) *Result {
	t.Helper()
	r, err := Run(parse(t, text), variant, nil)
	require.NoError(t, err)
	return r
}

func TestCalm(t *testing.T) {
	for _, variant := range experiment.Known {
		r := play(t, calm, variant)
		t.Log(variant, r.Tally.Service(3000, 20000), r.Tally.Answers, r.Audit.Counts, r.Events, r.Took,
			r.Tally.Line["chat"].ValueAtQuantile(50), r.Tally.Line["chat"].ValueAtQuantile(99), r.Tally.Seconds[10])
		for _, b := range r.Audit.Breaks {
			t.Log(b)
		}
	}
}

func TestSameSeedSameLog(t *testing.T) {
	var logs [2]bytes.Buffer
	for i := range logs {
		_, err := Run(parse(t, calm), "module", &logs[i])
		require.NoError(t, err)
	}
	require.True(t, bytes.Equal(logs[0].Bytes(), logs[1].Bytes()))
	require.Greater(t, logs[0].Len(), 1<<20)
}
