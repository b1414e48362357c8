package store

import (
	"fmt"
	"slices"
)

// Flush writes and syncs all queued records and calls their done functions. It takes as long as the disk does.
// After an error the records stay queued: their callers were told no, but a disk that works again should have
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

// requeue puts records that could not be written before those that were put meanwhile. Nobody is told of them
// a second time.
func (s *Store) requeue(queue []pendingRecord) {
	for i := range queue {
		queue[i].done = nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue = append(dropSuperseded(queue), s.queue...)
}

// dropSuperseded keeps the last record of each kind and key, so that the queue of a disk that keeps failing
// can't grow without end.
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

// write brings queued records onto the disk: at the end of the present file, or, with all other live ones, in
// a new file.
func (s *Store) write(queue []pendingRecord, liveBytes int) error {
	isMostlyDead := s.fileBytes > compactAboveBytes && s.fileBytes > 2*liveBytes
	if s.file == nil || s.fileFailed || isMostlyDead {
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
		// The kernel may have dropped what it could not sync and report the next sync as good: nothing that is
		// written to this file can be relied on any more.
		s.fileFailed = true
		return fmt.Errorf("append to %s: %w", fileName(s.fileNumber), err)
	}
	return nil
}
