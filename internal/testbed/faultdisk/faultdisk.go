// Package faultdisk is the disk of the programs that are built with the tag faultdisk. What was not synced is
// gone when the process is killed, as at a power loss, and a file beside the store's own has the disk be full,
// read-only or slow.
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

// FaultsFile is the name of the file, in the store's folder, that names what is wrong with the disk: any of the
// words full, read-only and slow.
const FaultsFile = "faults"

// fault is a word of the faults file.
type fault string

const (
	faultFull     fault = "full"
	faultReadOnly fault = "read-only"
	faultSlow     fault = "slow"
)

const slowDelay = 10 * time.Second

const flippedBits = 8 // in each file, at most

// FlipBits spoils the data of a file, which it returns, by some bits.
func FlipBits(data []byte, rng *rand.Rand) []byte {
	if len(data) == 0 {
		return data
	}
	for range flippedBits {
		data[rng.Intn(len(data))] ^= 1 << rng.Intn(8)
	}
	return data
}

// folder is a folder of the file system that fails as its faults file says.
type folder struct{ store.DirFS }

// New returns the folder at a path as a disk with faults.
func New(path string) store.FS { return folder{store.DirFS(path)} }

func (f folder) has(wanted fault) bool {
	text, err := os.ReadFile(filepath.Join(string(f.DirFS), FaultsFile))
	return err == nil && strings.Contains(string(text), string(wanted))
}

// writeError returns the error that a write gets, or nil.
func (f folder) writeError() error {
	switch {
	case f.has(faultFull):
		return syscall.ENOSPC
	case f.has(faultReadOnly):
		return syscall.EROFS
	}
	return nil
}

// ListFiles leaves the faults file out. It is the call that a slow disk delays.
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

// OpenAppend opens a file that loses what is not synced.
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

// Rename gives a file another name.
func (f folder) Rename(from, to string) error {
	if err := f.writeError(); err != nil {
		return err
	}
	return f.DirFS.Rename(from, to)
}

// file holds back what is written until it is synced.
type file struct {
	store.File
	folder   folder
	unsynced []byte
}

// Write holds the data back until the next Sync.
func (f *file) Write(data []byte) (int, error) {
	if err := f.folder.writeError(); err != nil {
		return 0, err
	}
	f.unsynced = append(f.unsynced, data...)
	return len(data), nil
}

// Sync writes what was held back, and makes it durable.
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

// ReadClockOffset returns by how much a machine's clock is off: the milliseconds that the file at the path
// holds, or zero where it can't be read.
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
