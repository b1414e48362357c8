package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBuckets(t *testing.T) {
	for _, c := range []struct {
		name       string
		load, mean float64
		want       int
	}{
		{"at the mean", 0.5, 0.5, 10},
		{"idle gets twice as many as at the mean", 0, 0.5, 20},
		{"twice the mean", 1, 0.5, 7},
		{"far above the mean gets the minimum", 50, 0.5, 2},
		{"a negligible mean gives all the same", 0.02, 0.001, 10},
	} {
		assert.Equal(t, c.want, bucketCount(c.load, c.mean), c.name)
	}
}
