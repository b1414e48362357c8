package store

import (
	"fmt"
	"maps"
	"strings"
)

const (
	minCompactionBytes = 1 << 20 // bytes; a smaller file is not compacted, however much of it is superseded
	copyChunkBytes     = 1 << 20 // approximate size in bytes of the chunks in which a compacted file is written
)

// compact writes all live records to a new file. Once that is durable, it replaces all earlier files.
func (s *Store) compact() error {
	s.mutex.Lock()
	live := maps.Clone(s.live)
	s.mutex.Unlock()
	number := s.fileNumber + 1
	name := fileName(number)
	s.fs.Remove(name + partialSuffix) // left by an earlier compaction that failed
	file, err := s.fs.OpenAppend(name + partialSuffix)
	if err != nil {
		return fmt.Errorf("compact to %s: %w", name, err)
	}
	length, err := s.writeCopy(file, live)
	if err == nil {
		err = s.publish(name)
	}
	if err != nil {
		file.Close()
		s.fs.Remove(name + partialSuffix)
		return fmt.Errorf("compact to %s: %w", name, err)
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file = file
	s.fileNumber = number
	s.fileBytes = length
	s.fileFailed = false
	s.removeFilesExcept(name)
	return nil
}

// writeCopy writes a copy of the live records, syncs it and returns its length in bytes.
func (s *Store) writeCopy(file File, live map[recordID]Record) (length int, err error) {
	chunk := appendFrame(nil, s.owner, Record{Kind: KindHeader, Key: copyHeaderKey})
	writeChunk := func() error {
		n, err := file.Write(chunk)
		length += n
		chunk = chunk[:0]
		return err
	}
	for _, r := range live {
		chunk = appendFrame(chunk, s.owner, r)
		if len(chunk) <= copyChunkBytes {
			continue
		}
		if err := writeChunk(); err != nil {
			return length, err
		}
	}
	if err := writeChunk(); err != nil {
		return length, err
	}
	return length, file.Sync()
}

// publish renames a complete copy to its final name and makes that durable.
func (s *Store) publish(name string) error {
	if err := s.fs.Rename(name+partialSuffix, name); err != nil {
		return err
	}
	return s.fs.SyncNames()
}

// removeFilesExcept removes the log files that a copy has replaced. A file that can't be removed does no harm: the next
// recovery reads it before the copy, which replaces its records.
func (s *Store) removeFilesExcept(name string) {
	names, err := s.fs.ListFiles()
	if err != nil {
		return
	}
	for _, other := range names {
		if strings.HasPrefix(other, filePrefix) && other != name {
			s.fs.Remove(other)
		}
	}
}
