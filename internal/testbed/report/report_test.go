package report

import (
	"encoding/json"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/sim"
)

// A report says what the runs came to, on one page that needs nothing else.
func TestReport(t *testing.T) {
	x, err := experiment.Parse([]byte(`
name = "two <variants>"
length = "8s"
warm = "1s"
variants = ["module", "random"]
[[traffic]]
category = "chat"
standing = 50
rate = 5
every = "500ms"
[[fault]]
kind = "slow"
at = "3s"
for = "1s"
`))
	require.NoError(t, err)
	r := New(x)
	for _, variant := range x.Variants {
		s, err := sim.Run(x, variant, nil)
		require.NoError(t, err)
		r.AddRun(x, variant, "simulated", s.Tally, s.Marks, s.Audit, s.Fallen)
	}
	text, err := r.JSON()
	require.NoError(t, err)
	var back Report
	require.NoError(t, json.Unmarshal(text, &back))
	require.Len(t, back.Runs, 2)
	assert.Equal(t, "random", back.Runs[1].Variant)
	assert.InDelta(t, 1, back.Runs[0].Service, 0.05)
	assert.Greater(t, back.Runs[0].Categories["chat"]["line"].Count, int64(500))
	assert.Equal(t, "slow", back.Marks[0].Text)
	require.NotNil(t, back.Runs[0].Recovered)

	page, err := r.HTML()
	require.NoError(t, err)
	assert.Contains(t, string(page), "two &lt;variants&gt;")
	assert.Equal(t, 8, strings.Count(string(page), "<svg"))
	assert.NotContains(t, string(page), "src=")
	for rest := string(page); strings.Contains(rest, "<svg"); { // each plot is well formed
		at, end := strings.Index(rest, "<svg"), strings.Index(rest, "</svg>")+len("</svg>")
		in := xml.NewDecoder(strings.NewReader(rest[at:end]))
		for err = nil; err == nil; {
			_, err = in.Token()
		}
		require.ErrorIs(t, err, io.EOF)
		rest = rest[end:]
	}
}
