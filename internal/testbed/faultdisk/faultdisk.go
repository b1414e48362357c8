// Package faultdisk is the disk of programs built with the tag faultdisk. Data that was not synced is lost when the
// process is killed, as in a power loss, and a file in the store's folder makes the disk full, read-only or slow.
package faultdisk

import (
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"valeshift/internal/store"
)

// FaultsFile is the name of the file in the store's folder that contains the disk's faults: any of the words full,
// read-only and slow.
const FaultsFile = "faults"

// fault is a word in the faults file.
type fault string

const (
	faultFull     fault = "full"
	faultReadOnly fault = "read-only"
	faultSlow     fault = "slow"
)

const slowDelay = 10 * time.Second // delay of each ListFiles on a slow disk

const flippedBits = 8 // in each file; fewer if a bit is chosen twice

// FlipBits flips random bits of a file's data, which it changes in place and returns.
func FlipBits(data []byte, rng *rand.Rand) []byte {
	if len(data) == 0 {
		return data
	}
	for range flippedBits {
		data[rng.Intn(len(data))] ^= 1 << rng.Intn(8)
	}
	return data
}

// folder is a folder of the file system with the faults that its faults file contains.
type folder struct{ store.DirFS }

// New returns the folder at a path as a disk that can have faults.
func New(path string) store.FS { return folder{store.DirFS(path)} }

// has reports whether the faults file contains a fault. The file is read each time, so that faults can change.
func (f folder) has(wanted fault) bool {
	text, err := os.ReadFile(filepath.Join(string(f.DirFS), FaultsFile))
	return err == nil && strings.Contains(string(text), string(wanted))
}

// writeError returns the error with which the disk's faults make writes fail, or nil.
func (f folder) writeError() error {
	switch {
	case f.has(faultFull):
		return syscall.ENOSPC
	case f.has(faultReadOnly):
		return syscall.EROFS
	}
	return nil
}

// ListFiles returns the names of all files but the faults file. It is the only call that a slow disk delays.
func (f folder) ListFiles() (names []string, err error) {
	if f.has(faultSlow) {
		time.Sleep(slowDelay)
	}
	all, err := f.DirFS.ListFiles()
	for _, name := range all {
		if name != FaultsFile {
			names = append(names, name)
		}
	}
	return names, err
}

// OpenAppend opens a file whose unsynced data is lost if the process is killed.
func (f folder) OpenAppend(name string) (store.File, error) {
	if err := f.writeError(); err != nil {
		return nil, err
	}
	opened, err := f.DirFS.OpenAppend(name)
	if err != nil {
		return nil, err
	}
	return &file{File: opened, folder: f}, nil
}

// Rename renames a file. It fails if the disk is full or read-only.
func (f folder) Rename(from, to string) error {
	if err := f.writeError(); err != nil {
		return err
	}
	return f.DirFS.Rename(from, to)
}

// file keeps written data in memory until it is synced.
type file struct {
	store.File
	folder   folder
	unsynced []byte
}

// Write keeps the data in memory until the next Sync.
func (f *file) Write(data []byte) (int, error) {
	if err := f.folder.writeError(); err != nil {
		return 0, err
	}
	f.unsynced = append(f.unsynced, data...)
	return len(data), nil
}

// Sync writes the data kept in memory to the file, and makes it durable.
func (f *file) Sync() error {
	if err := f.folder.writeError(); err != nil {
		return err
	}
	if _, err := f.File.Write(f.unsynced); err != nil {
		return err
	}
	f.unsynced = nil
	return f.File.Sync()
}

// ReadClockOffset returns by how much a machine's clock is ahead, or behind if negative. It reads the offset from the
// file at the path, which holds a number of milliseconds, and returns zero if that can't be read or parsed.
func ReadClockOffset(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	millis, err := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}
