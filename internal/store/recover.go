package store

import (
	"fmt"
	"slices"
	"strings"
)

const (
	filePrefix    = "log-"
	partialSuffix = ".new"
	copyHeaderKey = "copy" // key of the header record of a compacted file, which replaces all earlier files
)

// Recovery describes what Open found in the folder.
type Recovery struct {
	Records   int    // number of live records
	Damaged   int    // number of records and other pieces that could not be read and were skipped
	TornBytes int    // number of incomplete bytes at the ends of files, which were ignored
	IsNew     bool   // whether the folder had no log files
	LastBoot  uint64 // highest boot number in any record
}

// fileName returns the name of the log file with the given number.
func fileName(number uint64) string { return fmt.Sprintf("%s%08d", filePrefix, number) }

// recover restores the live records from all log files, the oldest file first.
func (s *Store) recover() (recovery Recovery, err error) {
	numbers, err := s.listLogFiles()
	if err != nil {
		return recovery, err
	}
	recovery.IsNew = len(numbers) == 0
	for _, number := range numbers {
		data, err := s.fs.ReadFile(fileName(number))
		if err != nil {
			return recovery, err
		}
		if err := s.recoverFile(data, &recovery); err != nil {
			return recovery, err
		}
		s.fileNumber = number
	}
	for id, r := range s.live {
		if len(r.Body) == 0 {
			delete(s.live, id)
			continue
		}
		s.liveBytes += accountedBytes(r)
	}
	recovery.Records = len(s.live)
	return recovery, nil
}

// listLogFiles returns the numbers of the log files in ascending order. It removes the file of a compaction that was
// not completed, because the files that it was made from are still there.
func (s *Store) listLogFiles() (numbers []uint64, err error) {
	names, err := s.fs.ListFiles()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, filePrefix) {
			continue
		}
		if strings.HasSuffix(name, partialSuffix) {
			s.fs.Remove(name)
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(name, filePrefix+"%d", &number); err == nil && fileName(number) == name {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// recoverFile applies the records of one file on top of those of the files before it. A compacted file replaces all
// earlier records, unless it is damaged itself: then the earlier files, if they are still there, may have the records
// that it lacks.
func (s *Store) recoverFile(data []byte, recovery *Recovery) error {
	file, err := readLog(data, s.owner)
	if err != nil {
		return err
	}
	if file.isCopy && file.damaged == 0 {
		s.live = make(map[recordID]Record, len(file.records))
	}
	for _, r := range file.records {
		s.live[r.id()] = r
		recovery.LastBoot = max(recovery.LastBoot, r.Boot)
	}
	recovery.Damaged += file.damaged
	recovery.TornBytes += file.tornBytes
	return nil
}

// logContent is the content of one log file.
type logContent struct {
	records   []Record
	isCopy    bool // whether the file was written by a compaction
	damaged   int  // number of records and other pieces that could not be read
	tornBytes int  // number of bytes after the last intact frame
}

// readLog decodes the data of a log file. The bodies of the records share its memory. The error is ErrOtherOwner if a
// record belongs to another owner.
func readLog(data []byte, owner string) (logContent, error) {
	content := logContent{records: make([]Record, 0, len(data)/64)}
	for at := 0; at < len(data); {
		body, next := frameAt(data, at)
		if body == nil {
			intact := findFrame(data, at+1)
			if intact < 0 {
				content.tornBytes = len(data) - at
				break
			}
			at = intact
			content.damaged++
			continue
		}
		at = next
		r, recordOwner, ok := decodeRecord(body, owner)
		switch {
		case !ok:
			content.damaged++
		case recordOwner != owner:
			return content, fmt.Errorf("%w: %q", ErrOtherOwner, recordOwner)
		case r.Kind == KindHeader:
			content.isCopy = r.Key == copyHeaderKey
		default:
			content.records = append(content.records, r)
		}
	}
	return content, nil
}
