package relay

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// nbio's Writev loses whatever follows the first chunk that the kernel did not take whole.
func TestGatheredWritesKeepEverything(t *testing.T) {
	d, connect := newTestDriver(t)
	for _, tt := range []struct{ pieces, size int }{{1, 60000}, {3, 20000}, {40, 1500}, {15, 4000}} {
		c, peer := connect()
		var chunks [][]byte
		var want []byte
		for i := range tt.pieces {
			chunks = append(chunks, bytes.Repeat([]byte{'a' + byte(i%26)}, tt.size))
			want = append(want, chunks[i]...)
		}
		writeAndClose(d, chunks...)
		require.Positive(t, c.unsent.Load(), "the kernel took it all: nothing is tested")
		rest, err := io.ReadAll(peer)
		require.NoError(t, err, "ended, not broken, once all is written")
		assert.True(t, bytes.Equal(want, rest), "%d pieces of %d: %d bytes came", tt.pieces, tt.size, len(rest))
		assert.Zero(t, c.unsent.Load())
	}
}
