package store

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files with the output of the present code")

const goldenFolder = "testdata/golden"

// goldenRecords returns one record of each kind that callers put, with no field left zero.
func goldenRecords() []Record {
	return []Record{
		{Kind: KindBoot, Key: "boot", Boot: 7, UnixMillis: 1700000000000.5, Body: []byte{7}},
		{Kind: KindOrder, Key: "order", Boot: 8, UnixMillis: 1700000000001, Body: []byte(`{"Number":5,"Lame":true}`)},
		{Kind: KindSnapshot, Key: "list", Boot: 300, UnixMillis: 1700000000002.25, Body: []byte("what the relay knew")},
		{Kind: KindAttemptMarker, Key: "attempt-é", Boot: 70000, UnixMillis: 1700000000003, Body: []byte{0, 255, 10, 13}},
		{Kind: KindConsensus, Key: "voter", Boot: 9, UnixMillis: 1700000000004, Body: make([]byte, 300)},
		{Kind: KindDecision, Key: "decision", Boot: 10, UnixMillis: 1700000000005, Body: []byte("12")},
		{Kind: KindReplica, Key: "holding", Boot: 1 << 40, UnixMillis: -1, Body: []byte("held for another")},
	}
}

// writeGolden writes the golden records to a folder, as a relay does: each is durable before the next is put. Each
// replaces an earlier record, and one further record is deleted.
func writeGolden(t *testing.T, folder DirFS) {
	t.Helper()
	s, recovery, err := Open(folder, owner, testMaxBytes)
	require.NoError(t, err)
	require.True(t, recovery.IsNew)
	put := func(r Record) {
		s.Put(r, nil)
		require.NoError(t, s.Flush())
	}
	for _, r := range goldenRecords() {
		first := r
		first.Body = []byte("replaced")
		put(first)
		put(r)
	}
	put(Record{Kind: KindAttemptMarker, Key: "deleted", Boot: 11, UnixMillis: 1, Body: []byte("x")})
	put(Record{Kind: KindAttemptMarker, Key: "deleted", Boot: 12, UnixMillis: 2})
	require.NoError(t, s.Close())
}

// The present code writes the same bytes as in the golden folder.
func TestGoldenFolderIsWritten(t *testing.T) {
	folder := DirFS(t.TempDir())
	writeGolden(t, folder)
	names, err := folder.ListFiles()
	require.NoError(t, err)
	assert.Equal(t, []string{lockName, "log-00000001"}, names)
	written, err := folder.ReadFile("log-00000001")
	require.NoError(t, err)
	path := filepath.Join(goldenFolder, "log-00000001")
	if *update {
		require.NoError(t, os.WriteFile(path, written, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, want, written)
}

// The golden folder is read into the records that it was written from.
func TestGoldenFolderIsRead(t *testing.T) {
	want, err := os.ReadFile(filepath.Join(goldenFolder, "log-00000001"))
	require.NoError(t, err)
	folder := DirFS(t.TempDir())
	require.NoError(t, os.WriteFile(filepath.Join(string(folder), "log-00000001"), want, 0o600))
	s, recovery, err := Open(folder, owner, testMaxBytes)
	require.NoError(t, err)
	defer s.Close()
	assert.Equal(t, Recovery{Records: len(goldenRecords()), LastBoot: 1 << 40}, recovery)
	for _, r := range goldenRecords() {
		got, isThere := s.Get(r.Kind, r.Key)
		assert.True(t, isThere, r.Key)
		assert.Equal(t, r, got)
	}
	_, isThere := s.Get(KindAttemptMarker, "deleted")
	assert.False(t, isThere)
}
