package relay

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// nbio's Writev drops all chunks after the first that the kernel accepts only in part, so the driver writes them again.
func TestGatheredWritesKeepEverything(t *testing.T) {
	d, connect := newTestDriver(t)
	for _, tt := range []struct{ count, size int }{{1, 60000}, {3, 20000}, {40, 1500}, {15, 4000}} {
		c, peer := connect()
		var chunks [][]byte
		var want []byte
		for i := range tt.count {
			chunks = append(chunks, bytes.Repeat([]byte{'a' + byte(i%26)}, tt.size))
			want = append(want, chunks[i]...)
		}
		writeAndClose(d, chunks...)
		require.Positive(t, c.unsent.Load(), "the kernel accepted everything, so the test covers nothing")
		got, err := io.ReadAll(peer)
		require.NoError(t, err, "the connection must end without a reset")
		assert.True(t, bytes.Equal(want, got), "%d chunks of %d bytes: %d bytes received", tt.count, tt.size, len(got))
		assert.Zero(t, c.unsent.Load())
	}
}
