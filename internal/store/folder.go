package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// DirFS is a folder of the file system.
type DirFS string

const lockName = "lock"

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("store: the folder is held by another process")

// ListFiles are the files that are there.
func (f DirFS) ListFiles() (names []string, err error) {
	all, err := os.ReadDir(string(f))
	for _, e := range all {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile reads a file whole.
func (f DirFS) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(f), name))
}

// OpenAppend opens a file to write at its end.
func (f DirFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename gives a file another name.
func (f DirFS) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// Remove takes a file away.
func (f DirFS) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// SyncNames has the names last.
func (f DirFS) SyncNames() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock holds the folder for this process; the kernel lets go of it when the process ends, however it does.
func (f DirFS) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(string(f), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, f)
		}
		return nil, err
	}
	return file.Close, nil
}
