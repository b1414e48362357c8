package hotrestart

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// acquire acquires a slot and releases it when the test ends.
func acquire(t *testing.T, dir string) *Slot {
	t.Helper()
	s, err := Acquire(dir)
	require.NoError(t, err)
	t.Cleanup(func() { s.file.Close() })
	return s
}

func TestSlotsOfLiveAndDeadProcesses(t *testing.T) {
	dir := t.TempDir()
	first := acquire(t, dir)
	parent, child := first.Siblings()
	assert.Equal(t, [2]Process{}, [2]Process{parent, child}, "the only process")
	second := acquire(t, dir)
	_, child = first.Siblings()
	assert.Equal(t, Process{2, false}, child)
	parent, _ = second.Siblings()
	assert.Equal(t, Process{1, false}, parent)
	require.NoError(t, second.MarkReady())
	_, child = first.Siblings()
	assert.Equal(t, Process{2, true}, child)
	third := acquire(t, dir)
	parent, _ = third.Siblings()
	assert.Equal(t, 2, parent.Number, "the nearest lower number")
	_, child = first.Siblings()
	assert.Equal(t, 2, child.Number, "the nearest higher number")

	second.file.Close() // releases the lock: the process counts as dead although its file says ready
	_, child = first.Siblings()
	assert.Equal(t, Process{3, false}, child)
	first.file.Close()
	parent, child = third.Siblings()
	assert.Equal(t, [2]Process{}, [2]Process{parent, child})
	assert.NoFileExists(t, filepath.Join(dir, "valeshift.1.seat"), "the file of a dead parent is removed")
	assert.Equal(t, 4, acquire(t, dir).number, "no number is used twice")

	for _, name := range []string{"valeshift.x.seat", "valeshift.9.other", "other.9.seat", "valeshift.-3.seat"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), nil, 0o600))
	}
	_, child = third.Siblings()
	assert.Equal(t, 4, child.Number, "other files in the folder are ignored")
	_, err := Acquire(filepath.Join(dir, "absent"))
	assert.Error(t, err)
}

func TestSlotsAcquiredAtOnceHaveNumbersOfTheirOwn(t *testing.T) {
	dir := t.TempDir()
	acquired := make(chan *Slot)
	for range 20 {
		go func() {
			s, _ := Acquire(dir)
			acquired <- s
		}()
	}
	numbers := map[int]bool{}
	for range 20 {
		s := <-acquired
		require.NotNil(t, s)
		defer s.file.Close()
		numbers[s.number] = true
	}
	assert.Len(t, numbers, 20)
}
