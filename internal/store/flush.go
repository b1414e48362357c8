package store

import (
	"fmt"
	"slices"
)

// Flush writes and syncs all queued records and calls their done functions. It blocks until the disk is done. After an
// error the records stay queued: their callers have been given the error, but once the disk works again it should hold
// the live records.
func (s *Store) Flush() error {
	s.diskMutex.Lock()
	defer s.diskMutex.Unlock()
	s.mutex.Lock()
	queue := s.queue
	s.queue = nil
	liveBytes := s.liveBytes
	s.mutex.Unlock()
	if len(queue) == 0 {
		return nil
	}
	err := s.write(queue, liveBytes)
	for _, p := range queue {
		if p.done != nil {
			p.done(err)
		}
	}
	if err != nil {
		s.requeue(queue)
	}
	return err
}

// requeue puts records that could not be written back at the front of the queue, before those that were put meanwhile.
// Their done functions are not called again.
func (s *Store) requeue(queue []pendingRecord) {
	for i := range queue {
		queue[i].done = nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue = append(dropSuperseded(queue), s.queue...)
}

// dropSuperseded returns the last record of each kind and key, so that the queue doesn't grow without limit while the
// disk keeps failing.
func dropSuperseded(queue []pendingRecord) (last []pendingRecord) {
	seen := map[recordID]bool{}
	for _, p := range slices.Backward(queue) {
		if seen[p.record.id()] {
			continue
		}
		seen[p.record.id()] = true
		last = append(last, p)
	}
	slices.Reverse(last)
	return last
}

// write writes queued records to the disk, either at the end of the current file or, together with all other live
// records, in a new file.
func (s *Store) write(queue []pendingRecord, liveBytes int) error {
	isMostlySuperseded := s.fileBytes > minCompactionBytes && s.fileBytes > 2*liveBytes
	if s.file == nil || s.fileFailed || isMostlySuperseded {
		return s.compact()
	}
	return s.appendToFile(queue)
}

func (s *Store) appendToFile(queue []pendingRecord) error {
	var frames []byte
	for _, p := range queue {
		frames = appendFrame(frames, s.owner, p.record)
	}
	n, err := s.file.Write(frames)
	s.fileBytes += n
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		// The kernel may drop the data that it could not sync and report success for the next sync, so nothing
		// written to this file is reliable any more.
		s.fileFailed = true
		return fmt.Errorf("append to %s: %w", fileName(s.fileNumber), err)
	}
	return nil
}
