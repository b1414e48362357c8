package faultdisk

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUnsyncedBytesAreNotOnDisk(t *testing.T) {
	path := t.TempDir()
	disk := New(path)
	f, err := disk.OpenAppend("log")
	require.NoError(t, err)
	defer f.Close()
	_, err = f.Write([]byte("first "))
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	_, err = f.Write([]byte("second"))
	require.NoError(t, err)
	data, err := disk.ReadFile("log")
	require.NoError(t, err)
	assert.Equal(t, "first ", string(data))
	require.NoError(t, f.Sync())
	data, err = disk.ReadFile("log")
	require.NoError(t, err)
	assert.Equal(t, "first second", string(data))
}

func TestFaultsFile(t *testing.T) {
	for _, c := range []struct {
		faults string
		want   error
	}{
		{"", nil},
		{"full", syscall.ENOSPC},
		{"read-only", syscall.EROFS},
	} {
		t.Run("faults "+c.faults, func(t *testing.T) {
			path := t.TempDir()
			disk := New(path)
			f, err := disk.OpenAppend("log")
			require.NoError(t, err)
			defer f.Close()
			require.NoError(t, os.WriteFile(filepath.Join(path, FaultsFile), []byte(c.faults), 0o600))
			names, err := disk.ListFiles()
			require.NoError(t, err)
			assert.Equal(t, []string{"log"}, names, "the faults file is not the store's")
			_, err = disk.OpenAppend("other")
			assert.ErrorIs(t, err, c.want)
			_, err = f.Write([]byte("x"))
			assert.ErrorIs(t, err, c.want)
			assert.ErrorIs(t, f.Sync(), c.want)
			assert.ErrorIs(t, disk.Rename("log", "log"), c.want)
		})
	}
}

func TestReadClockOffset(t *testing.T) {
	path := filepath.Join(t.TempDir(), "clock")
	assert.Zero(t, ReadClockOffset(path), "no file")
	for text, want := range map[string]time.Duration{
		"1500.5\n":     1500500 * time.Microsecond,
		"-250":         -250 * time.Millisecond,
		"not a number": 0,
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.Equal(t, want, ReadClockOffset(path), text)
	}
}
