package model

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"valeshift/internal/testbed/experiment"
)

// A kind of fault that an experiment file can name but that nothing acts on would make an experiment pass without
// its fault. Each kind either has an action or impairs the network.
func TestEveryFaultKindIsDone(t *testing.T) {
	for kind := range experiment.FaultKinds {
		t.Run(string(kind), func(t *testing.T) {
			f := &experiment.Fault{Kind: kind}
			_, impairs := f.Impairment()
			assert.NotEqual(t, impairs, faultActions[kind] != nil)
		})
	}
	assert.Len(t, experiment.FaultKinds, 40)
}

func TestTakeShare(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
		share float64
		want  int
	}{
		{"rounded", 10, 0.26, 3},
		{"one at the least", 10, 0, 1},
		{"all at the most", 10, 1.5, 10},
		{"none of none", 0, 0.5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Len(t, takeShare(make([]int, c.count), c.share), c.want)
		})
	}
}
