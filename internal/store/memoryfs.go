package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// ErrNoSpace is the error of a full disk in memory.
var ErrNoSpace = errors.New("no space left on device")

// MemoryFS is an FS in memory with the faults of real disks: a power loss takes what was not synced, but for a
// part of it, and writes and syncs can be made to fail. Tests and the simulation use it. It is safe for
// concurrent use, but for its fields.
type MemoryFS struct {
	// IgnoresSync has syncs of files do nothing, and report success.
	IgnoresSync bool

	// InjectFault, where set, is called before each call that changes something, with the call's name, and its
	// error fails the call. A write that fails so is half done.
	InjectFault func(call string) error

	mutex  sync.Mutex
	files  map[string]*memoryFile
	synced map[string]*memoryFile // under the names that are durable
	locked bool
}

type memoryFile struct {
	data         []byte
	durableBytes int // that a power loss leaves
}

// NewMemoryFS returns an empty disk.
func NewMemoryFS() *MemoryFS {
	return &MemoryFS{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}}
}

func (m *MemoryFS) fault(call string) error {
	if m.InjectFault == nil {
		return nil
	}
	return m.InjectFault(call)
}

// LosePower leaves what was durable, and of each file's bytes that were not so many as survive returns. It
// releases the lock.
func (m *MemoryFS) LosePower(survive func(unsynced int) int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.files = map[string]*memoryFile{}
	for name, f := range m.synced {
		left := f.durableBytes + survive(len(f.data)-f.durableBytes)
		f.data = f.data[:left]
		f.durableBytes = left
		m.files[name] = f
	}
	m.locked = false
}

// MutateFiles replaces the content of each file, as wear or an operator's mistake would.
func (m *MemoryFS) MutateFiles(mutate func(name string, data []byte) []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, f := range m.files {
		f.data = mutate(name, slices.Clone(f.data))
		f.durableBytes = len(f.data)
	}
}

// Clone returns a disk with the same files as they are now, durable or not, all of them durable.
func (m *MemoryFS) Clone() *MemoryFS {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clone := NewMemoryFS()
	for name, f := range m.files {
		copied := &memoryFile{data: slices.Clone(f.data), durableBytes: len(f.data)}
		clone.files[name] = copied
		clone.synced[name] = copied
	}
	return clone
}

// ListFiles returns the names of all files, sorted.
func (m *MemoryFS) ListFiles() ([]string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

// ReadFile returns a file's content.
func (m *MemoryFS) ReadFile(name string) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// OpenAppend opens a file to write at its end, and makes it where there is none.
func (m *MemoryFS) OpenAppend(name string) (File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fault("append"); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		f = &memoryFile{}
		m.files[name] = f
	}
	return &memoryHandle{disk: m, file: f}, nil
}

// Rename gives a file another name.
func (m *MemoryFS) Rename(from, to string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fault("rename"); err != nil {
		return err
	}
	f := m.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

// Remove deletes a file.
func (m *MemoryFS) Remove(name string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fault("remove"); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

// SyncNames makes the files' names durable.
func (m *MemoryFS) SyncNames() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fault("sync names"); err != nil {
		return err
	}
	m.synced = maps.Clone(m.files)
	return nil
}

// Lock holds the disk until it is released or loses power.
func (m *MemoryFS) Lock() (release func() error, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return m.unlock, nil
}

func (m *MemoryFS) unlock() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.locked = false
	return nil
}

// memoryHandle is a file that was opened.
type memoryHandle struct {
	disk *MemoryFS
	file *memoryFile
}

// Write appends data, or half of it where a fault is injected.
func (h *memoryHandle) Write(data []byte) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	n := len(data)
	err := h.disk.fault("write")
	if err != nil {
		n /= 2
	}
	h.file.data = append(h.file.data, data[:n]...)
	return n, err
}

// Sync makes what was written durable.
func (h *memoryHandle) Sync() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.disk.fault("sync"); err != nil {
		return err
	}
	if !h.disk.IgnoresSync {
		h.file.durableBytes = len(h.file.data)
	}
	return nil
}

// Close does nothing.
func (h *memoryHandle) Close() error { return nil }
