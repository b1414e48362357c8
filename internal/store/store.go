// Package store keeps a relay's or a coordinator's records on a disk that is not to be trusted.
//
// Records are appended to log files as frames with a checksum. Those that were put since the last Flush are
// written in one go and synced once. At the start the store reads whatever it finds: a torn tail is cut off, a
// damaged record is left out and counted, all others are recovered. Once half of a file is superseded, the live
// records are compacted into a new one.
//
// Nobody who assigns sessions waits for the disk: Put only queues, and Flush is called by a goroutine that may
// wait. The package starts no goroutine and reads no clock. A Store is safe for concurrent use.
package store

import (
	"errors"
	"slices"
	"strings"
	"sync"
)

// Kind is what a record is about.
type Kind uint8

// The kinds. Their numbers are on disks: none is ever given another meaning.
const (
	KindHeader        Kind = iota // the first record of a file
	KindBoot                      // the number of the last start
	KindOrder                     // an operators' order
	KindSnapshot                  // endpoint list, load estimates, clients with a Retry-After
	KindAttemptMarker             // of a session whose effect may have happened
	KindConsensus                 // all that a coordinator keeps: term, vote, log
	KindDecision                  // the number of the last failover decision that this relay has followed
	KindReplica                   // what this relay holds for another
)

// Record is one thing kept. The latest of a kind and key counts; one without a body deletes it.
type Record struct {
	Kind       Kind
	Key        string
	Boot       uint64  // of the process that wrote it
	UnixMillis float64 // when it was written, by the wall clock
	Body       []byte
}

// id returns what a later record must have in common with this one to supersede it.
func (r Record) id() recordID { return recordID{r.Kind, r.Key} }

type recordID struct {
	kind Kind
	key  string
}

// FS is a folder on some disk that a store has to itself.
type FS interface {
	// ListFiles returns the names of all files.
	ListFiles() ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// OpenAppend opens a file to write at its end, and makes it where there is none.
	OpenAppend(name string) (File, error)
	// Rename gives a file another name, in place of one that has it already.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncNames makes the files' names durable.
	SyncNames() error
	// Lock holds the folder for this process. It returns ErrLocked at once where another process has it.
	Lock() (release func() error, err error)
}

// File is a file that is written at its end.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// The errors that name why a folder can't be used. All others are the disk's own.
var (
	ErrLocked     = errors.New("store: the folder is held by another process")
	ErrOtherOwner = errors.New("store: the folder is another relay's")
	ErrFull       = errors.New("store: more than it may hold")
	ErrClosed     = errors.New("store: closed")
)

// Store is the store of one owner in one folder.
type Store struct {
	fs       FS
	owner    string
	maxBytes int // of all live records
	release  func() error

	mutex     sync.Mutex // over what follows; never held while the disk is waited for
	live      map[recordID]Record
	liveBytes int
	queue     []pendingRecord
	closed    bool

	diskMutex  sync.Mutex // over what follows; held by one Flush at a time
	file       File       // nil: nothing was written yet
	fileNumber uint64
	fileBytes  int
	fileFailed bool // its end may be torn: the next record goes to another file
}

// pendingRecord is a record that waits to be written.
type pendingRecord struct {
	record Record
	done   func(error) // may be nil
}

// Open locks the folder and recovers the records in it. It returns ErrLocked where another process has the
// folder and ErrOtherOwner where its records are another owner's. All live records together may take maxBytes.
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

// Get returns the record of that kind and key, as it was recovered or put last, durable or not.
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

// Put queues a record for the next Flush and never waits. Done, which may be nil, is called with nil once the
// record is durable, or with why it is not: ErrFull and ErrClosed at once, the disk's errors from Flush.
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

// Close writes what is queued and releases the folder.
func (s *Store) Close() error {
	err := s.Flush()
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.diskMutex.Lock()
	defer s.diskMutex.Unlock()
	if s.file != nil {
		s.file.Close()
	}
	return errors.Join(err, s.release())
}
