package relay

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestResumeAfterSuspend checks that after the process was suspended, sessions wait a bounded time for the endpoint updates
// that arrived in the meantime, and that sessions whose deadline is too near don't wait.
func TestResumeAfterSuspend(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"news came", []step{{7000, "came 2 OPEN b 1f c=feed,d=2000|", ""}, {7001, "news 1 1 whole b2=active", ""},
			{7150, "tick", "dial s1 10.0.0.2:9000"}}},
		{"none did", []step{{7000, "came 2 OPEN b 1f c=feed,d=2000|", ""},
			{7150, "tick", "dial s1 10.0.0.1:9000"}}},
		{"no time", []step{{7000, "came 2 OPEN b 1f c=feed,d=200|", "dial s1 10.0.0.1:9000"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, nil, 0, "b1=active")
			s.play(c.name, step{100, "tick", ""}, step{1000, "open 2", ""})
			s.play(c.name, c.steps...)
		})
	}
}

func TestBadConfiguration(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","settings":` + baseSettings + `}`
	for _, c := range []struct{ old, new, want string }{
		{`"name":"n",`, ``, "name"}, {`"name":"n",`, `"name":"n","ops":"here",`,
			"ops: address:port or nothing"}, {`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"127.0.0.1:1"`, `"127.0.0.1"`, "discovery"}, {`"ff"`, `"xyz"`, "seed"},
		{`"seed"`, `"limits":{"sockets":-1},"seed"`, "limits.sockets"},
		{`"seed"`, `"limits":{"sockets":37},"seed"`, "limits.sockets: 38"},
		{`"seed"`, `"known":{"index":1},"seed"`, "known"}, {`,"settings":` + baseSettings, ``, "settings"},
		{`{"name"`, `{{"name"`, "config.json"}, {`"cold-ms": 9000`, `"cold-ms": "soon"`, "contract.cold-ms"},
		{`"connect-timeout-ms": 250,`, ``, "limits.connect-timeout-ms"}, {`"name"`, `"odd":{"x":1},"name"`, ""},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		require.NotEqual(t, good, text)
		path := t.TempDir() + "/config.json"
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		config, err := LoadConfig(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
		if err == nil {
			_, err = New(0, config)
		}
		if c.want == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, c.want)
		}
	}
}
