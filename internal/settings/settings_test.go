package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Nested JSON and the wire's pairs are the same settings.
func TestFlatten(t *testing.T) {
	for _, c := range []struct {
		text string
		want map[string]string
	}{
		{`{"zone":0,"fees":{"probe":0.002},"discovery":"subscribe"}`,
			map[string]string{"zone": "0", "fees.probe": "0.002", "discovery": "subscribe"}},
		{`{"categories":[{"name":"a","gain":1.0,"stream":true},{"name":"b"}]}`, map[string]string{
			"categories.count": "2", "categories.0.name": "a", "categories.0.gain": "1.0",
			"categories.0.stream": "true", "categories.1.name": "b"}},
		{`{"stats":{"fields":["cpu","x0"]},"quota":[22.0,3],"none":[],"nothing":null}`,
			map[string]string{"stats.fields": "cpu,x0", "quota": "22.0,3", "none": ""}},
		{`{"large":9007199254740993}`, map[string]string{"large": "9007199254740993"}},
	} {
		got, err := Flatten([]byte(c.text))
		require.NoError(t, err)
		assert.Equal(t, c.want, got)
	}
	for _, text := range []string{``, `[]`, `{"a":`, `7`} {
		_, err := Flatten([]byte(text))
		assert.ErrorContains(t, err, "settings", text)
	}
}

func TestFirstWrongSettingIsNamed(t *testing.T) {
	p := NewReader(map[string]string{"a": "1.5", "b": "-1", "c": "yes", "d": "odd", "e": "NaN"})
	assert.Equal(t, 1.5, p.Float("a"))
	assert.Equal(t, 7.0, p.FloatOr("absent", 7))
	require.NoError(t, p.Err())
	for path, ask := range map[string]func(*Reader){
		"b": func(p *Reader) { p.Float("b") }, "c": func(p *Reader) { p.Bool("c") },
		"e": func(p *Reader) { p.Float("e") },
		"d": func(p *Reader) { p.Enum("d", "even") }, "a": func(p *Reader) { p.Count("a") },
		"absent": func(p *Reader) { p.Float("absent") },
	} {
		p := NewReader(p.values)
		ask(p)
		p.Float("z")
		assert.ErrorContains(t, p.Err(), "settings: "+path+":")
	}
}

// The budget of setup tries comes whole or not at all.
func TestBudgetSettings(t *testing.T) {
	const free, share, window = "contract.free-resends", "contract.extra-share", "contract.extra-window-ms"
	for _, c := range []struct {
		name   string
		values map[string]string
		wrong  string
	}{
		{"none", map[string]string{}, ""},
		{"whole", map[string]string{free: "3", share: "0.1", window: "5000"}, ""},
		{"nothing given", map[string]string{free: "0", share: "0", window: "5000"}, ""},
		{"negative", map[string]string{free: "-1", share: "0.1", window: "5000"}, free},
		{"no number", map[string]string{free: "3", share: "some", window: "5000"}, share},
		{"endless", map[string]string{free: "3", share: "Inf", window: "5000"}, share},
		{"no window", map[string]string{free: "3", share: "0.1", window: "0"}, window},
		{"without the window", map[string]string{free: "3", share: "0.1"}, window},
		{"without the share", map[string]string{free: "3", window: "5000"}, share},
		{"without the free ones", map[string]string{share: "0.1", window: "5000"}, free},
	} {
		p := NewReader(c.values)
		b := p.retryBudget()
		if c.wrong == "" {
			require.NoError(t, p.Err(), c.name)
			assert.Equal(t, len(c.values) == 0, b == nil, c.name)
		} else {
			assert.ErrorContains(t, p.Err(), "settings: "+c.wrong+":", c.name)
		}
	}
}
