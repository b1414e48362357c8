package relay

import (
	"bytes"
	"io"
	"testing"
	"time"

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

// TestMoreChunksThanOneSystemCallTakes: a client was cut off without MOVE, and its lines were lost, when a backend sent
// more than 1,024 short lines at once, as the kernel refuses to gather more chunks in one system call.
func TestMoreChunksThanOneSystemCallTakes(t *testing.T) {
	d, connect := newTestDriver(t)
	for _, tt := range []struct {
		name        string
		count, size int
		backlog     int // bytes that are written before
	}{
		{"as many as one call takes", maxGatheredChunks, 1, 0},
		{"one more", maxGatheredChunks + 1, 1, 0},
		{"a read buffer full of empty lines", readBufferBytes, 1, 0},
		{"the kernel accepts only the first calls", 5000, 10, 0},
		{"the kernel accepts nothing more", 2000, 10, 40000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, peer := connect()
			want := bytes.Repeat([]byte{'-'}, tt.backlog)
			d.mutex.Lock()
			d.write(1, [][]byte{want})
			d.mutex.Unlock()
			var chunks [][]byte
			for i := range tt.count {
				chunk := bytes.Repeat([]byte{'a' + byte(i%26)}, tt.size)
				chunks = append(chunks, chunk)
				want = append(want, chunk...)
			}
			writeAndClose(d, chunks...)
			peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(peer)
			require.NoError(t, err, "the connection must end without a reset")
			assert.True(t, bytes.Equal(want, got), "%d bytes of %d received", len(got), len(want))
		})
	}
}
