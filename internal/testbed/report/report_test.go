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

const twoVariants = `
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
`

// playReport simulates an experiment with two variants and returns its report.
func playReport(t *testing.T) *Report {
	t.Helper()
	x, err := experiment.Parse([]byte(twoVariants))
	require.NoError(t, err)
	r := New(x)
	for _, variant := range x.Variants {
		result, err := sim.Run(x, variant, nil)
		require.NoError(t, err)
		r.AddRun(x, Outcome{
			Variant:            variant,
			Mode:               Simulated,
			Metrics:            result.Metrics,
			FaultSpans:         result.FaultSpans,
			Audit:              result.Auditor,
			SlowStartOverloads: result.SlowStartOverloads,
		})
	}
	return r
}

func TestReportSaysWhatTheRunsCameTo(t *testing.T) {
	text, err := playReport(t).JSON()
	require.NoError(t, err)
	var read Report
	require.NoError(t, json.Unmarshal(text, &read))
	require.Len(t, read.Runs, 2)
	assert.Equal(t, "random", read.Runs[1].Variant)
	assert.InDelta(t, 1, read.Runs[0].ServedShare, 0.05)
	assert.Greater(t, read.Runs[0].Classes["chat"].Line.Count, int64(500))
	assert.Equal(t, "slow", read.Faults[0].Text)
	require.NotNil(t, read.Runs[0].RecoveryTime)
}

// The page refers to no other file, and each of its plots is well-formed XML.
func TestPageIsSelfContained(t *testing.T) {
	html, err := playReport(t).HTML()
	require.NoError(t, err)
	page := string(html)
	assert.Contains(t, page, "two &lt;variants&gt;")
	assert.Equal(t, 8, strings.Count(page, "<svg"))
	assert.NotContains(t, page, "src=")
	for strings.Contains(page, "<svg") {
		start := strings.Index(page, "<svg")
		end := strings.Index(page, "</svg>") + len("</svg>")
		requireWellFormed(t, page[start:end])
		page = page[end:]
	}
}

func requireWellFormed(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	var err error
	for err == nil {
		_, err = decoder.Token()
	}
	require.ErrorIs(t, err, io.EOF)
}
