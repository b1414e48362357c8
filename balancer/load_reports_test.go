package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A report that is invalid or of an unknown backend changes no load to an invalid value.
func TestInvalidReportsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name   string
		report []float64
		want   float64
	}{
		{"good", []float64{1, 0.9}, 0.9},
		{"not a number", []float64{1, math.NaN()}, 0.5},
		{"infinite", []float64{1, math.Inf(1)}, 0.5},
		{"negative", []float64{1, -3}, 0.5},
		{"absent", nil, 0.5},
	} {
		b := testFleet{Loads: []float64{0.5}}.build(t)
		b.LoadReported(start+10, 1, c.report)
		b.LoadReported(start+10, 77, c.report)
		if c.name == "good" || c.report == nil {
			assert.Equal(t, c.want, b.poller.reports.loads[0], c.name)
		} else {
			assert.False(t, math.IsNaN(b.poller.reports.loads[0]) || math.IsInf(b.poller.reports.loads[0], 0) ||
				b.poller.reports.loads[0] < 0, c.name)
		}
	}
}

// The load is read from the preferred field, and divided by the backend's weight unless it is a share of a
// capacity.
func TestLoadFields(t *testing.T) {
	for _, c := range []struct {
		fields []string
		report []float64
		weight float64
		want   float64
	}{
		{[]string{"rps", "cpu", "x0"}, []float64{9, 0.4, 0.7}, 2, 0.7},
		{[]string{"rps", "cpu"}, []float64{9, 0.4}, 2, 0.4},
		{[]string{"rps", "active"}, []float64{9, 4}, 2, 2},
		{[]string{"unheard_of"}, []float64{9}, 2, math.NaN()},
	} {
		got := NewLoadPoller(true, 0, c.fields).reports.read(c.report, c.weight)
		assert.Equal(t, math.IsNaN(c.want), math.IsNaN(got), c.fields)
		if !math.IsNaN(c.want) {
			assert.Equal(t, c.want, got, c.fields)
		}
	}
}
