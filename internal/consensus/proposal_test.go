package consensus

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestProposeRejects(t *testing.T) {
	c := newCluster(t, 3, 1, plantedFaults{})
	require.True(t, c.canCommit(5000))
	leader := c.leaderIndex()
	require.GreaterOrEqual(t, leader, 0)
	longest := strings.Repeat("x", maxEntryBytes)
	for name, test := range map[string]struct {
		voter int
		entry string
		want  error
	}{
		"an empty entry":         {leader, "", ErrEntrySize},
		"an entry that is long":  {leader, longest + "x", ErrEntrySize},
		"an entry at a follower": {(leader + 1) % 3, "x", ErrNotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.hosts[test.voter].Propose(c.clock(test.voter), []byte(test.entry))
			assert.ErrorIs(t, err, test.want)
		})
	}
	t.Run("entries beyond what may await a decision", func(t *testing.T) {
		var err error
		for range maxPendingEntries {
			require.NoError(t, err)
			err = c.hosts[leader].Propose(c.clock(leader), []byte(longest))
		}
		for range maxPendingEntries {
			if err == nil {
				err = c.hosts[leader].Propose(c.clock(leader), []byte(longest))
			}
		}
		assert.ErrorIs(t, err, ErrBusy)
	})
}
