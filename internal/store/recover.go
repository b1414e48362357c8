package store

import (
	"fmt"
	"slices"
	"strings"
)

const (
	filePrefix    = "log-"
	partialSuffix = ".new"
	copyHeader    = "copy" // key of the header of a file that replaces all former ones
)

// Recovery is what Open found in the folder.
type Recovery struct {
	Records   int  // that are live
	Damaged   int  // records or pieces that could not be read and were passed over
	TornBytes int  // cut off at the ends of files
	IsNew     bool // nothing was there
	LastBoot  uint64
}

// fileName returns the name of the log file of that number.
func fileName(number uint64) string { return fmt.Sprintf("%s%08d", filePrefix, number) }

// recover reads all log files, the oldest first.
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

// listLogFiles returns the numbers of the log files in order, and removes what a compaction left that did not
// come to its end: the files that it was made from are still there.
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

// recoverFile takes one file's records over what was read before it. A copy replaces all that, unless it is
// damaged itself: then the former files, where they are still there, have what it lacks.
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

// logContent is what was read from one log file.
type logContent struct {
	records   []Record
	isCopy    bool
	damaged   int
	tornBytes int
}

// readLog reads a log file. The records' bodies share its memory. It returns ErrOtherOwner where a record is
// not the owner's.
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
			content.isCopy = r.Key == copyHeader
		default:
			content.records = append(content.records, r)
		}
	}
	return content, nil
}
