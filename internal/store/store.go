// Package store keeps records on a disk that is not to be trusted: each with kind, key, owner, boot, time and
// checksum, in files that only grow, written in groups and synced once for each. It reads whatever it finds:
// a torn tail is cut off, a damaged record is left out and counted, all others are kept. Nobody who places
// links waits for it. The package knows no clock and starts nothing: Flush is called by whoever may wait.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
)

// Kind is what a record is about.
type Kind uint8

// The kinds. Their numbers are on disks: none is ever given another meaning.
const (
	KindHeader        Kind = iota // of a file
	KindBoot                      // the number of the last start
	KindOrder                     // of an operator
	KindSnapshot                  // the list, what was learnt, who was told to come again
	KindAttemptMarker             // of a link whose effect may have happened
	KindConsensus                 // all that a voter of the council keeps
	KindDecision                  // number of the highest that this relay has followed
	KindReplica                   // what this relay holds for another
)

// Record is one thing kept; the latest of a kind and key is what holds. One without a body takes it back.
type Record struct {
	Kind       Kind
	Key        string
	Boot       uint64
	UnixMillis float64 // clock time
	Body       []byte
}

type name struct {
	kind Kind
	key  string
}

// FS is a folder of its own on some disk.
type FS interface {
	ListFiles() ([]string, error)
	ReadFile(name string) ([]byte, error)
	OpenAppend(name string) (File, error) // made where there is none
	Rename(from, to string) error
	Remove(name string) error
	SyncNames() error                        // of the folder's names
	Lock() (release func() error, err error) // against a second process; that is told at once
}

// File is one that grows.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Recovery is what was read at the start.
type Recovery struct {
	Records   int
	Damaged   int  // records or pieces that could not be read and were passed over
	TornBytes int  // bytes cut off at the end
	IsNew     bool // nothing was there
	LastBoot  uint64
}

// The errors that name why a folder can't be used. All others are the disk's own.
var (
	ErrOtherOwner = errors.New("store: the folder is another relay's")
	ErrFull       = errors.New("store: more than it may hold")
	ErrClosed     = errors.New("store: closed")
)

const (
	magic    = 0x31735676 // before each frame, so that the next can be found behind a damaged one
	frame    = 12
	mostBody = 16 << 20
	prefix   = "log-"
	partial  = ".new"
	compact  = 1 << 20 // bytes of a file, above which it is written anew once half of it is dead
	version  = 1
)

// table is made at its first use: against every start of the program paying for it, also without a disk.
var table = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Store is one relay's.
type Store struct {
	fs      FS
	owner   string
	most    int
	release func() error

	mutex  sync.Mutex // over what follows; never held while the disk is waited for
	live   map[name]Record
	size   int // bytes of those
	queue  []waiting
	closed bool

	disk   sync.Mutex // one Flush at a time; over what follows
	file   File
	number uint64
	length int
	failed bool // the file's end may be torn: the next record goes to another
}

type waiting struct {
	record Record
	done   func(error)
}

// Open locks the folder and reads it. Most bounds the bytes of all that holds.
func Open(fs FS, owner string, most int) (*Store, Recovery, error) {
	release, err := fs.Lock()
	if err != nil {
		return nil, Recovery{}, err
	}
	s := &Store{fs: fs, owner: owner, most: most, release: release, live: map[name]Record{}}
	found, err := s.read()
	if err != nil {
		release()
		return nil, found, err
	}
	return s, found, nil
}

func (s *Store) read() (found Recovery, err error) {
	names, err := s.fs.ListFiles()
	if err != nil {
		return found, err
	}
	var files []uint64
	for _, n := range names {
		var number uint64
		if !strings.HasPrefix(n, prefix) {
			continue
		}
		if strings.HasSuffix(n, partial) {
			s.fs.Remove(n) // never finished: what it was made from is still there
			continue
		}
		if _, err := fmt.Sscanf(n, prefix+"%d", &number); err == nil && fileName(number) == n {
			files = append(files, number)
		}
	}
	slices.Sort(files)
	found.IsNew = len(files) == 0
	for _, number := range files {
		data, err := s.fs.ReadFile(fileName(number))
		if err != nil {
			return found, err
		}
		if err := s.readFile(data, &found); err != nil {
			return found, err
		}
		s.number = number
	}
	for n, r := range s.live {
		if len(r.Body) == 0 {
			delete(s.live, n)
			continue
		}
		s.size += size(r)
	}
	found.Records = len(s.live)
	return found, nil
}

// readFile takes one file's records over what was read before it. A whole copy voids that, unless it is
// damaged itself: then the former files, where they are still there, have what it lacks.
func (s *Store) readFile(data []byte, found *Recovery) error {
	damaged, copied := 0, false
	all := make([]Record, 0, len(data)/64)
	for at := 0; at < len(data); {
		body, next := cut(data, at)
		if body == nil {
			if rest := find(data, at+1); rest < 0 {
				found.TornBytes += len(data) - at
				break
			} else {
				at = rest
			}
			damaged++
			continue
		}
		at = next
		r, owner, ok := decode(body, s.owner)
		switch {
		case !ok:
			damaged++
		case owner != s.owner:
			return fmt.Errorf("%w: %q", ErrOtherOwner, owner)
		case r.Kind == KindHeader:
			copied = r.Key == "copy"
		default:
			all = append(all, r)
		}
	}
	if copied && damaged == 0 {
		s.live = make(map[name]Record, len(all))
	}
	for _, r := range all {
		s.live[name{r.Kind, r.Key}] = r
		found.LastBoot = max(found.LastBoot, r.Boot)
	}
	found.Damaged += damaged
	return nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%08d", prefix, number) }

// cut gives the frame's body and where the next begins, or nothing where it isn't whole.
func cut(data []byte, at int) (body []byte, next int) {
	if len(data)-at < frame || binary.LittleEndian.Uint32(data[at:]) != magic {
		return nil, 0
	}
	n := int(binary.LittleEndian.Uint32(data[at+4:]))
	if n > mostBody || n > len(data)-at-frame {
		return nil, 0
	}
	body = data[at+frame : at+frame+n]
	if crc32.Checksum(body, table()) != binary.LittleEndian.Uint32(data[at+8:]) {
		return nil, 0
	}
	return body, at + frame + n
}

// find looks for the next whole frame.
func find(data []byte, from int) int {
	for at := from; at+frame <= len(data); at++ {
		if data[at] == byte(magic&0xff) {
			if body, _ := cut(data, at); body != nil {
				return at
			}
		}
	}
	return -1
}

func encode(to []byte, owner string, r Record) []byte {
	begin := len(to)
	to = append(to, make([]byte, frame)...)
	to = append(to, version, byte(r.Kind))
	to = binary.AppendUvarint(to, r.Boot)
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(r.UnixMillis))
	for _, text := range []string{owner, r.Key} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = append(to, r.Body...)
	body := to[begin+frame:]
	binary.LittleEndian.PutUint32(to[begin:], magic)
	binary.LittleEndian.PutUint32(to[begin+4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(to[begin+8:], crc32.Checksum(body, table()))
	return to
}

// decode reads a frame's body, and whose it is, owner as a rule.
func decode(body []byte, owner string) (r Record, text string, ok bool) {
	if len(body) < 2 || body[0] != version {
		return r, "", false
	}
	r.Kind, body = Kind(body[1]), body[2:]
	boot, n := binary.Uvarint(body)
	if n <= 0 || len(body) < n+8 {
		return r, "", false
	}
	r.Boot = boot
	r.UnixMillis = math.Float64frombits(binary.LittleEndian.Uint64(body[n:]))
	body = body[n+8:]
	for i := range 2 {
		length, n := binary.Uvarint(body)
		if n <= 0 || length > uint64(len(body)-n) {
			return r, "", false
		}
		word := body[n : n+int(length)]
		if body = body[n+int(length):]; i == 1 {
			r.Key = string(word)
		} else if text = owner; string(word) != owner {
			text = string(word)
		}
	}
	r.Body = body[:len(body):len(body)] // of the file as it was read, which nothing writes to
	return r, text, true
}

func size(r Record) int { return frame + 24 + len(r.Key) + len(r.Body) }

// Get is the record that holds, as it was read or put last, durable or not.
func (s *Store) Get(kind Kind, key string) (Record, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, there := s.live[name{kind, key}]
	return r, there
}

// Records are the records of a kind, by key.
func (s *Store) Records(kind Kind) (all []Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n, r := range s.live {
		if n.kind == kind {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// Put has a record kept from the next Flush on; done, where it is given, is told once it is durable, or why
// it is not. It never waits.
func (s *Store) Put(r Record, done func(error)) {
	if err := s.put(r, done); err != nil && done != nil {
		done(err)
	}
}

func (s *Store) put(r Record, done func(error)) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := name{r.Kind, r.Key}
	old, there := s.live[n]
	grows := size(r)
	if there {
		grows -= size(old)
	}
	switch {
	case s.closed:
		return ErrClosed
	case len(r.Body) > mostBody-1024:
		return ErrFull
	case len(r.Body) == 0:
		delete(s.live, n)
		grows = 0
		if there {
			grows = -size(old)
		}
	case s.size+grows > s.most:
		return ErrFull
	default:
		s.live[n] = r
	}
	s.size += grows
	s.queue = append(s.queue, waiting{r, done})
	return nil
}

// Flush writes and syncs all that was put, and tells who waits for it. It may take as long as the disk does.
func (s *Store) Flush() error {
	s.disk.Lock()
	defer s.disk.Unlock()
	s.mutex.Lock()
	queue := s.queue
	s.queue = nil
	s.mutex.Unlock()
	if len(queue) == 0 {
		return nil
	}
	err := s.write(queue)
	for _, w := range queue {
		if w.done != nil {
			w.done(err)
		}
	}
	if err != nil {
		// It is given again: whoever was told no need not be told yes later, but a disk that is well again should
		// have what holds.
		s.mutex.Lock()
		for i := range queue {
			queue[i].done = nil
		}
		s.queue = append(s.last(queue), s.queue...)
		s.mutex.Unlock()
	}
	return err
}

// last drops what a later one of the same name in the queue replaces, so that it can't grow without end.
func (s *Store) last(queue []waiting) (kept []waiting) {
	seen := map[name]bool{}
	for _, w := range slices.Backward(queue) {
		if n := (name{w.record.Kind, w.record.Key}); !seen[n] {
			seen[n] = true
			kept = append(kept, w)
		}
	}
	slices.Reverse(kept)
	return kept
}

func (s *Store) write(queue []waiting) error {
	s.mutex.Lock()
	live := s.size
	s.mutex.Unlock()
	if s.file == nil || s.failed || (s.length > compact && s.length > 2*live) {
		return s.rewrite()
	}
	var out []byte
	for _, w := range queue {
		out = encode(out, s.owner, w.record)
	}
	n, err := s.file.Write(out)
	s.length += n
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		// Against a promise on what a failed sync has dropped from memory: nothing in this file counts any more.
		s.failed = true
	}
	return err
}

// rewrite puts all that holds into a new file, which takes the place of all former ones once it is durable.
func (s *Store) rewrite() error {
	s.mutex.Lock()
	live := maps.Clone(s.live)
	s.mutex.Unlock()
	number := s.number + 1
	to := fileName(number)
	s.fs.Remove(to + partial)
	file, err := s.fs.OpenAppend(to + partial)
	if err != nil {
		return err
	}
	length, out := 0, encode(nil, s.owner, Record{Kind: KindHeader, Key: "copy"})
	flush := func() error {
		n, err := file.Write(out)
		length, out = length+n, out[:0]
		return err
	}
	for _, r := range live {
		if out = encode(out, s.owner, r); len(out) > compact {
			if err = flush(); err != nil {
				break
			}
		}
	}
	if err == nil {
		err = flush()
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.fs.Rename(to+partial, to)
	}
	if err == nil {
		err = s.fs.SyncNames()
	}
	if err != nil {
		file.Close()
		s.fs.Remove(to + partial)
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.number, s.length, s.failed = file, number, length, false
	names, err := s.fs.ListFiles()
	for _, n := range names {
		if err == nil && strings.HasPrefix(n, prefix) && n != to {
			s.fs.Remove(n) // one that stays is read before this one, and voided by it
		}
	}
	return nil
}

// Close writes what is left and lets go of the folder.
func (s *Store) Close() error {
	err := s.Flush()
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.disk.Lock()
	defer s.disk.Unlock()
	if s.file != nil {
		s.file.Close()
	}
	return errors.Join(err, s.release())
}
