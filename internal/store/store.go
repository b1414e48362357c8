// Package store keeps the records of a relay or coordinator on a disk that may fail or lose data.
//
// Records are appended to log files as frames with a checksum. All records put since the last Flush are written
// together and synced once. At the start the store recovers every intact record: it ignores a torn tail, and skips and
// counts damaged records. Once more than half of a file is superseded, the live records are compacted into a new file.
//
// The assignment of sessions never waits for the disk: Put only queues a record, and Flush is called by a goroutine
// that may block. The package starts no goroutines and reads no clock. A Store is safe for concurrent use.
package store

import (
	"errors"
	"slices"
	"strings"
	"sync"
)

// Kind is the type of a record.
type Kind uint8

// The kinds. Their numbers are stored on disks, so none may ever be reused with another meaning.
const (
	KindHeader        Kind = iota // header, the first record of a file
	KindBoot                      // number of the last start
	KindOrder                     // operator order
	KindSnapshot                  // endpoint list, load estimates and clients with a Retry-After
	KindAttemptMarker             // attempt marker of a session whose effect may have happened
	KindConsensus                 // whole state of a coordinator: term, vote and log
	KindDecision                  // number of the last failover decision that this relay has followed
	KindReplica                   // replica that this relay stores for another relay
)

// Record is a stored value. The latest record of a kind and key replaces earlier ones. A record without a body deletes
// them.
type Record struct {
	Kind       Kind
	Key        string
	Boot       uint64  // boot number of the process that wrote it
	UnixMillis float64 // Unix time in milliseconds, by the wall clock, at which it was written
	Body       []byte
}

// id returns the identity of the record, which a later record that supersedes it shares.
func (r Record) id() recordID { return recordID{r.Kind, r.Key} }

type recordID struct {
	kind Kind
	key  string
}

// FS is a folder that is used by one store alone.
type FS interface {
	// ListFiles returns the names of all files.
	ListFiles() ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// OpenAppend opens a file for appending and creates it if it doesn't exist.
	OpenAppend(name string) (File, error)
	// Rename renames a file and replaces a file that already has the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncNames makes creations, renames and removals of files durable.
	SyncNames() error
	// Lock locks the folder for this process. If another process has locked it, Lock returns ErrLocked at once.
	Lock() (release func() error, err error)
}

// File is a file that is open for appending.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// The errors of the store itself. All other errors come from the disk.
var (
	ErrLocked     = errors.New("store: the folder is held by another process")
	ErrOtherOwner = errors.New("store: the folder is another relay's")
	ErrFull       = errors.New("store: size limit exceeded")
	ErrClosed     = errors.New("store: closed")
)

// Store holds the records of one owner in one folder.
type Store struct {
	fs       FS
	owner    string
	maxBytes int          // limit on the accounted size of all live records
	release  func() error // releases the lock on the folder

	mutex     sync.Mutex // guards the fields up to closed; never held while waiting for the disk
	live      map[recordID]Record
	liveBytes int // accounted size of all live records
	queue     []pendingRecord
	closed    bool

	diskMutex  sync.Mutex // guards the fields below; held by one Flush at a time
	file       File       // nil until something has been written
	fileNumber uint64
	fileBytes  int
	fileFailed bool // whether a write or sync has failed: the end may be torn, so the next records go to a new file
}

// pendingRecord is a record that is queued to be written.
type pendingRecord struct {
	record Record
	done   func(error) // may be nil
}

// Open locks the folder and recovers the records in it. The error is ErrLocked if another process has locked the
// folder, and ErrOtherOwner if its records belong to another owner. All live records together may take up maxBytes.
func Open(fs FS, owner string, maxBytes int) (*Store, Recovery, error) {
	release, err := fs.Lock()
	if err != nil {
		return nil, Recovery{}, err
	}
	s := &Store{fs: fs, owner: owner, maxBytes: maxBytes, release: release, live: map[recordID]Record{}}
	recovery, err := s.recover()
	if err != nil {
		release()
		return nil, recovery, err
	}
	return s, recovery, nil
}

// Get returns the record of a kind and key as last recovered or put, whether it is durable yet or not.
func (s *Store) Get(kind Kind, key string) (r Record, exists bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, exists = s.live[recordID{kind, key}]
	return r, exists
}

// Records returns the records of a kind, ordered by key.
func (s *Store) Records(kind Kind) (records []Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, r := range s.live {
		if id.kind == kind {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// Put queues a record for the next Flush and never blocks. The function done, which may be nil, is called with nil once
// the record is durable. Otherwise it is called with ErrFull or ErrClosed at once, or with an error of the disk from
// Flush.
func (s *Store) Put(r Record, done func(error)) {
	if err := s.enqueue(r, done); err != nil && done != nil {
		done(err)
	}
}

func (s *Store) enqueue(r Record, done func(error)) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return ErrClosed
	}
	if len(r.Body) > maxPayloadBytes {
		return ErrFull
	}
	growth := 0
	if old, exists := s.live[r.id()]; exists {
		growth = -accountedBytes(old)
	}
	if len(r.Body) == 0 {
		delete(s.live, r.id())
	} else {
		growth += accountedBytes(r)
		if s.liveBytes+growth > s.maxBytes {
			return ErrFull
		}
		s.live[r.id()] = r
	}
	s.liveBytes += growth
	s.queue = append(s.queue, pendingRecord{r, done})
	return nil
}

// Close accepts no further records, flushes the queued ones and releases the folder.
func (s *Store) Close() error {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	err := s.Flush()
	s.diskMutex.Lock()
	defer s.diskMutex.Unlock()
	if s.file != nil {
		s.file.Close()
	}
	return errors.Join(err, s.release())
}
