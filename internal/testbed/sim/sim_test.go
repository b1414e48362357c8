package sim

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/experiment"
)

// calm is an experiment without faults.
const calm = `
name = "calm"
seed = 4
length = "20s"
[relays]
count = 3
[fleet]
servers = 8
zones = 2
regions = 2
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

func run(t *testing.T, text, variant string) *Result {
	t.Helper()
	r, err := Run(parse(t, text), variant, nil)
	require.NoError(t, err)
	return r
}

// Without faults every policy serves nearly all requests and breaks no rule. Policies that see the backends' loads
// spread them more evenly.
func TestPoliciesWithoutFaults(t *testing.T) {
	spread := map[string]float64{}
	for _, variant := range experiment.Policies {
		r := run(t, calm, variant)
		assert.Zero(t, r.Auditor.ViolationCount(), "%s: %v", variant, r.Auditor.Violations)
		assert.Greater(t, r.Metrics.ServedShare(3000, 20000), 0.98, variant)
		assert.Greater(t, r.Metrics.Answers["UP"], 800, variant)
		assert.Equal(t, r.Metrics.Answers["UP"], r.Metrics.Requests, variant)
		for _, s := range r.Metrics.Seconds[5:20] {
			spread[variant] += s.UtilizationStdDev / 15
		}
	}
	assert.Less(t, spread["module"], spread["random"])
	assert.Less(t, spread["sight"], spread["random"])
}

// With a single fault of any kind the run breaks no rule, and most requests are served after the fault has ended.
func TestEachFault(t *testing.T) {
	for kind := range experiment.FaultKinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			r := run(t, calm+"[[fault]]\nkind = \""+string(kind)+"\"\nat = \"6s\"\nfor = \"4s\"\nshare = 0.3\n", "module")
			assert.Zero(t, r.Auditor.ViolationCount(), "%v", r.Auditor.Violations)
			require.Len(t, r.FaultSpans, 1)
			assert.Greater(t, r.Metrics.ServedShare(14000, 20000), 0.7)
		})
	}
}

// While discovery is down, restarted relays serve with the endpoint list that the platform kept for them, and serve
// nobody if it kept none. This guards against a simulation whose relays know more than real processes would.
func TestRestartWhileDiscoveryIsDown(t *testing.T) {
	setups := map[bool]int{}
	for _, isKnown := range []bool{false, true} {
		x := parse(t, calm+"[[fault]]\nkind = \"relay-kill\"\nat = \"6s\"\nshare = 1\n"+
			"[[fault]]\nkind = \"discovery-down\"\nat = \"6s\"\nfor = \"6s\"\n")
		x.Relays.KnowsEndpoints = isKnown
		r, err := Run(x, "module", nil)
		require.NoError(t, err)
		assert.Zero(t, r.Auditor.ViolationCount())
		for _, s := range r.Metrics.Seconds[8:11] {
			setups[isKnown] += s.Established
		}
	}
	assert.Zero(t, setups[false])
	assert.Greater(t, setups[true], 100)
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
