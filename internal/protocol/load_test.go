package protocol

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestParseReport(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		text string
		want []float64
	}{
		{"inflight=7,queue=2,util=0.61", []float64{0.61, 7, nan}},
		{"cpu=0.5,x0=1,odd=3", []float64{0.5, nan, 1}},
		{"util=much,odd=3", nil},
		{"", nil},
	} {
		got := ParseReport([]byte(c.text), []string{"cpu", "active", "x0"})
		assert.Equal(t, len(c.want), len(got), c.text)
		assert.InDeltaSlice(t, c.want, got, 0, c.text)
	}
}

func TestParseLoad(t *testing.T) {
	for text, want := range map[string]float64{"7": 7, "0.5": 0.5, "-1": -1, "x": -1, "": -1, "NaN": -1} {
		got, ok := ParseLoad([]byte(text))
		assert.Equal(t, want >= 0, ok, text)
		if ok {
			assert.Equal(t, want, got)
		}
	}
}
