package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Nested JSON is flattened to the same settings as pairs on the wire.
func TestFlatten(t *testing.T) {
	for _, tt := range []struct {
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
		got, err := Flatten([]byte(tt.text))
		require.NoError(t, err)
		assert.Equal(t, tt.want, got)
	}
	for _, text := range []string{``, `[]`, `{"a":`, `7`} {
		_, err := Flatten([]byte(text))
		assert.ErrorContains(t, err, "settings", text)
	}
}

// assertWrongSetting checks that the reader's error names the path.
func assertWrongSetting(t *testing.T, r *Reader, path, name string) {
	t.Helper()
	var wrong *Error
	if assert.ErrorAs(t, r.Err(), &wrong, name) {
		assert.Equal(t, path, wrong.Path, name)
	}
	assert.ErrorContains(t, r.Err(), "settings: "+path+":", name)
}

func TestFirstWrongSettingIsNamed(t *testing.T) {
	values := map[string]string{"a": "1.5", "b": "-1", "c": "yes", "d": "odd", "e": "NaN"}
	r := NewReader(values)
	assert.Equal(t, 1.5, r.Float("a"))
	assert.Equal(t, 7.0, r.FloatOr("absent", 7))
	require.NoError(t, r.Err())
	for _, tt := range []struct {
		name string
		path string
		read func(*Reader)
	}{
		{"negative", "b", func(r *Reader) { r.Float("b") }},
		{"no flag", "c", func(r *Reader) { r.Bool("c") }},
		{"no number", "e", func(r *Reader) { r.Float("e") }},
		{"none of the words", "d", func(r *Reader) { r.Enum("d", "even") }},
		{"no whole number", "a", func(r *Reader) { r.Count("a") }},
		{"missing", "absent", func(r *Reader) { r.Float("absent") }},
	} {
		r := NewReader(values)
		tt.read(r)
		r.Float("z")
		assertWrongSetting(t, r, tt.path, tt.name)
	}
}

// The settings of the retry budget are either all set or none.
func TestRetryBudgetSettings(t *testing.T) {
	const free, ratio, window = "contract.free-resends", "contract.extra-share", "contract.extra-window-ms"
	for _, tt := range []struct {
		name   string
		values map[string]string
		wrong  string
	}{
		{"none", map[string]string{}, ""},
		{"all", map[string]string{free: "3", ratio: "0.1", window: "5000"}, ""},
		{"no retries", map[string]string{free: "0", ratio: "0", window: "5000"}, ""},
		{"negative", map[string]string{free: "-1", ratio: "0.1", window: "5000"}, free},
		{"no number", map[string]string{free: "3", ratio: "some", window: "5000"}, ratio},
		{"endless", map[string]string{free: "3", ratio: "Inf", window: "5000"}, ratio},
		{"no window", map[string]string{free: "3", ratio: "0.1", window: "0"}, window},
		{"without the window", map[string]string{free: "3", ratio: "0.1"}, window},
		{"without the share", map[string]string{free: "3", window: "5000"}, ratio},
		{"without the free ones", map[string]string{ratio: "0.1", window: "5000"}, free},
	} {
		r := NewReader(tt.values)
		budget := r.retryBudget()
		if tt.wrong == "" {
			require.NoError(t, r.Err(), tt.name)
			assert.Equal(t, len(tt.values) == 0, budget == nil, tt.name)
		} else {
			assertWrongSetting(t, r, tt.wrong, tt.name)
		}
	}
}
