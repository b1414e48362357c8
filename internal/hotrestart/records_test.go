package hotrestart

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHandoffIsReceivedOnceAndWhole(t *testing.T) {
	dir := t.TempDir()
	parent, child := acquire(t, dir), acquire(t, dir)
	start := time.Now()
	_, err := child.ReceiveHandoff(50 * time.Millisecond)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)
	go func() {
		time.Sleep(20 * time.Millisecond)
		parent.SendHandoff(2, []byte("what I know"))
	}()
	record, err := child.ReceiveHandoff(5 * time.Second)
	require.NoError(t, err)
	assert.Equal(t, "what I know", string(record))
	_, err = child.ReceiveHandoff(0)
	assert.ErrorIs(t, err, os.ErrNotExist, "a handoff is received only once")
	assert.ErrorIs(t, parent.SendHandoff(2, make([]byte, maxRecordBytes+1)), ErrTooLarge)
	require.NoError(t, os.WriteFile(child.path(2, handoffKind), make([]byte, maxRecordBytes+1), 0o600))
	_, err = child.ReceiveHandoff(0)
	assert.ErrorIs(t, err, ErrTooLarge)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, entries, 2, "only the slot files remain")
}
