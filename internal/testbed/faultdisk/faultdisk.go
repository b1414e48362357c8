// Package faultdisk is a disk for the lab's build of the relay: what was not synced is gone when the process is
// killed, as at a power loss, and a file beside the store's, named faults, has it be full, read-only or slow.
package faultdisk

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"valeshift/internal/store"
)

// FaultsFile is the file that says what is wrong with the disk, in words: full, read-only, slow.
const FaultsFile = "faults"

const slow = 10 * time.Second

type folder struct{ store.DirFS }

// Folder is a folder with these faults.
func Folder(path string) store.FS { return folder{store.DirFS(path)} }

func (f folder) faulty(what string) bool {
	text, err := os.ReadFile(filepath.Join(string(f.DirFS), FaultsFile))
	return err == nil && strings.Contains(string(text), what)
}

// ListFiles leaves the lab's own file out, and takes its time on a slow disk.
func (f folder) ListFiles() (names []string, err error) {
	if f.faulty("slow") {
		time.Sleep(slow)
	}
	all, err := f.DirFS.ListFiles()
	for _, n := range all {
		if n != FaultsFile {
			names = append(names, n)
		}
	}
	return names, err
}

func (f folder) writes() error {
	switch {
	case f.faulty("full"):
		return syscall.ENOSPC
	case f.faulty("read-only"):
		return syscall.EROFS
	}
	return nil
}

func (f folder) OpenAppend(name string) (store.File, error) {
	if err := f.writes(); err != nil {
		return nil, err
	}
	inner, err := f.DirFS.OpenAppend(name)
	return &file{f, inner, nil}, err
}

func (f folder) Rename(from, to string) error {
	if err := f.writes(); err != nil {
		return err
	}
	return f.DirFS.Rename(from, to)
}

// file holds what is written back until it is synced.
type file struct {
	folder folder
	store.File
	held []byte
}

func (f *file) Write(data []byte) (int, error) {
	if err := f.folder.writes(); err != nil {
		return 0, err
	}
	f.held = append(f.held, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	if err := f.folder.writes(); err != nil {
		return err
	}
	if _, err := f.File.Write(f.held); err != nil {
		return err
	}
	f.held = nil
	return f.File.Sync()
}

// Clock is how far a machine's clock is off: milliseconds in a file. None where it can't be read.
func Clock(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
