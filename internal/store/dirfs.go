package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const lockName = "lock"

// DirFS is an FS in a directory of the operating system's file system. Its value is the path.
type DirFS string

func (f DirFS) path(name string) string { return filepath.Join(string(f), name) }

// ListFiles returns the names of all files.
func (f DirFS) ListFiles() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (f DirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// OpenAppend opens a file for appending and creates it if it doesn't exist.
func (f DirFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename renames a file and replaces a file that already has the new name.
func (f DirFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove deletes a file.
func (f DirFS) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncNames makes creations, renames and removals of files durable.
func (f DirFS) SyncNames() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Lock locks the folder for this process. The kernel releases the lock when the process ends, even in a crash.
func (f DirFS) Lock() (release func() error, err error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file.Close, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%w: %s", ErrLocked, f)
	}
	return nil, err
}
