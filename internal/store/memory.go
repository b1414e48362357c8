package store

import (
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// MemoryFS is a disk in memory with the faults of real ones: what was not synced is gone at a power loss, but
// for a part of it, and writes and syncs can fail. Tests and the simulation use it.
type MemoryFS struct {
	mutex       sync.Mutex
	files       map[string]*memoryFile
	synced      map[string]*memoryFile // names as they are durable
	held        bool
	IgnoresSync bool // its syncs of files do nothing

	// InjectFault, where set, is asked before each of those, and its error is given; a write is then done by half.
	InjectFault func(call string) error
}

type memoryFile struct {
	data    []byte
	durable int // bytes of it that a power loss leaves
}

// ErrNoSpace is what a full disk says.
var ErrNoSpace = errors.New("no space left on device")

// NewMemoryFS is an empty one.
func NewMemoryFS() *MemoryFS {
	return &MemoryFS{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}}
}

func (m *MemoryFS) fails(call string) error {
	if m.InjectFault != nil {
		return m.InjectFault(call)
	}
	return nil
}

// LosePower leaves what was durable, and of what was written since so many bytes more of each file.
func (m *MemoryFS) LosePower(more func(unsynced int) int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.files = map[string]*memoryFile{}
	for n, f := range m.synced {
		kept := f.durable + more(len(f.data)-f.durable)
		f.data, f.durable = f.data[:kept], kept
		m.files[n] = f
	}
	m.held = false
}

// MutateFiles does something to the bytes of each file, as wear or a careless hand would.
func (m *MemoryFS) MutateFiles(change func(name string, data []byte) []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for n, f := range m.files {
		f.data = change(n, slices.Clone(f.data))
		f.durable = len(f.data)
	}
}

// Clone is the same disk as it is now, durable or not.
func (m *MemoryFS) Clone() *MemoryFS {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := NewMemoryFS()
	for n, f := range m.files {
		c.files[n] = &memoryFile{slices.Clone(f.data), len(f.data)}
		c.synced[n] = c.files[n]
	}
	return c
}

// ListFiles are the files that are there.
func (m *MemoryFS) ListFiles() (names []string, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for n := range m.files {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile reads a file whole.
func (m *MemoryFS) ReadFile(name string) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if f := m.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

// OpenAppend opens a file to write at its end.
func (m *MemoryFS) OpenAppend(name string) (File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fails("append"); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		f = &memoryFile{}
		m.files[name] = f
	}
	return &memoryHandle{m, f}, nil
}

// Rename gives a file another name.
func (m *MemoryFS) Rename(from, to string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fails("rename"); err != nil {
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

// Remove takes a file away.
func (m *MemoryFS) Remove(name string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fails("remove"); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

// SyncNames has the names last.
func (m *MemoryFS) SyncNames() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.fails("sync names"); err != nil {
		return err
	}
	m.synced = map[string]*memoryFile{}
	for n, f := range m.files {
		m.synced[n] = f
	}
	return nil
}

// Lock holds the folder.
func (m *MemoryFS) Lock() (func() error, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.held {
		return nil, ErrLocked
	}
	m.held = true
	return func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.held = false
		return nil
	}, nil
}

type memoryHandle struct {
	m *MemoryFS
	f *memoryFile
}

func (h *memoryHandle) Write(data []byte) (int, error) {
	h.m.mutex.Lock()
	defer h.m.mutex.Unlock()
	if err := h.m.fails("write"); err != nil {
		h.f.data = append(h.f.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	h.f.data = append(h.f.data, data...)
	return len(data), nil
}

func (h *memoryHandle) Sync() error {
	h.m.mutex.Lock()
	defer h.m.mutex.Unlock()
	if err := h.m.fails("sync"); err != nil {
		return err
	}
	if !h.m.IgnoresSync {
		h.f.durable = len(h.f.data)
	}
	return nil
}

func (h *memoryHandle) Close() error { return nil }
