package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// ErrNoSpace is the error of a full disk, for faults injected into a MemoryFS.
var ErrNoSpace = errors.New("no space left on device")

// MemoryFS is an FS in memory with the faults of real disks: a power loss discards data that was not synced, except
// perhaps a part of it, and calls can be made to fail. It is used by tests and the simulation. Its methods are safe for
// concurrent use, its fields are not.
type MemoryFS struct {
	// IgnoresSync makes syncs of files do nothing and report success.
	IgnoresSync bool

	// InjectFault, if set, is called with the name of each call that changes something, before the call takes
	// effect. If it returns an error, the call fails with that error. A write that fails in this way still appends
	// half of its data.
	InjectFault func(call string) error

	mutex  sync.Mutex
	files  map[string]*memoryFile // files by their current names
	synced map[string]*memoryFile // files by the names that survive a power loss
	locked bool
}

type memoryFile struct {
	data         []byte
	durableBytes int // number of bytes that survive a power loss
}

// NewMemoryFS returns an empty disk.
func NewMemoryFS() *MemoryFS {
	return &MemoryFS{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}}
}

// injectedFault returns the error with which a call is to fail, or nil.
func (m *MemoryFS) injectedFault(call string) error {
	if m.InjectFault == nil {
		return nil
	}
	return m.InjectFault(call)
}

// LosePower simulates a power loss. What was durable survives; of the bytes of each file that were not, the first ones
// survive, as many as survive returns. It also releases the lock.
func (m *MemoryFS) LosePower(survive func(unsynced int) int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.files = map[string]*memoryFile{}
	for name, f := range m.synced {
		kept := f.durableBytes + survive(len(f.data)-f.durableBytes)
		f.data = f.data[:kept]
		f.durableBytes = kept
		m.files[name] = f
	}
	m.locked = false
}

// MutateFiles replaces the content of each file, to simulate a worn disk or an operator's mistake.
func (m *MemoryFS) MutateFiles(mutate func(name string, data []byte) []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, f := range m.files {
		f.data = mutate(name, slices.Clone(f.data))
		f.durableBytes = len(f.data)
	}
}

// Clone returns a disk with the current files, all of them durable, whether they were so before or not.
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

// ReadFile returns the content of a file.
func (m *MemoryFS) ReadFile(name string) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// OpenAppend opens a file for appending and creates it if it doesn't exist.
func (m *MemoryFS) OpenAppend(name string) (File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.injectedFault("append"); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		f = &memoryFile{}
		m.files[name] = f
	}
	return &memoryHandle{disk: m, file: f}, nil
}

// Rename renames a file and replaces a file that already has the new name.
func (m *MemoryFS) Rename(from, to string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.injectedFault("rename"); err != nil {
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
	if err := m.injectedFault("remove"); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

// SyncNames makes creations, renames and removals of files durable.
func (m *MemoryFS) SyncNames() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.injectedFault("sync names"); err != nil {
		return err
	}
	m.synced = maps.Clone(m.files)
	return nil
}

// Lock locks the disk until the lock is released or power is lost.
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

// memoryHandle is an open file.
type memoryHandle struct {
	disk *MemoryFS
	file *memoryFile
}

// Write appends data to the file, or half of it if a fault is injected.
func (h *memoryHandle) Write(data []byte) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	n := len(data)
	err := h.disk.injectedFault("write")
	if err != nil {
		n /= 2
	}
	h.file.data = append(h.file.data, data[:n]...)
	return n, err
}

// Sync makes the data written so far durable, unless IgnoresSync is set.
func (h *memoryHandle) Sync() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if err := h.disk.injectedFault("sync"); err != nil {
		return err
	}
	if !h.disk.IgnoresSync {
		h.file.durableBytes = len(h.file.data)
	}
	return nil
}

// Close does nothing.
func (h *memoryHandle) Close() error { return nil }
