package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	maxRecordBytes = 4 << 20               // maximum size of a record in bytes: a file must not exhaust memory
	pollInterval   = 10 * time.Millisecond // interval between checks for a file
)

// ErrTooLarge is returned for a record that is too large to be sent to another process.
var ErrTooLarge = errors.New("record is too large")

// SendHandoff sends a record, completely or not at all, to the process with that slot number. It is kept until
// that process receives it.
func (s *Slot) SendHandoff(number int, record []byte) error {
	return s.send(number, handoffKind, record)
}

// SendMessage sends a message to the process with that slot number. It replaces one that was not received yet.
func (s *Slot) SendMessage(number int, record []byte) error {
	return s.send(number, messageKind, record)
}

// ReceiveHandoff waits for the handoff that a parent process sends to this one, and removes it. The error
// wraps os.ErrNotExist if there is none within the timeout.
func (s *Slot) ReceiveHandoff(timeout time.Duration) ([]byte, error) {
	return s.receive(handoffKind, timeout)
}

// ReceiveMessage returns the latest message of another process and removes it. The error wraps os.ErrNotExist
// if there is none.
func (s *Slot) ReceiveMessage() ([]byte, error) { return s.receive(messageKind, 0) }

// send writes a temporary file and renames it, so that a reader never sees an incomplete record.
func (s *Slot) send(number int, kind string, record []byte) error {
	if len(record) > maxRecordBytes {
		return fmt.Errorf("send record: %w: %d bytes, at most %d expected", ErrTooLarge, len(record), maxRecordBytes)
	}
	file, err := os.CreateTemp(s.dir, tempPattern)
	if err != nil {
		return fmt.Errorf("send record: %w", err)
	}
	_, err = file.Write(record)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), s.path(number, kind))
	}
	if err != nil {
		os.Remove(file.Name())
		return fmt.Errorf("send record: %w", err)
	}
	return nil
}

func (s *Slot) receive(kind string, timeout time.Duration) ([]byte, error) {
	path := s.path(s.number, kind)
	file, err := openWithin(path, timeout)
	if err != nil {
		return nil, fmt.Errorf("receive record: %w", err)
	}
	defer file.Close()
	defer os.Remove(path)
	record, err := io.ReadAll(io.LimitReader(file, maxRecordBytes+1))
	if err != nil {
		return nil, fmt.Errorf("receive record: %w", err)
	}
	if len(record) > maxRecordBytes {
		return nil, fmt.Errorf("receive record: %w: at most %d bytes expected", ErrTooLarge, maxRecordBytes)
	}
	return record, nil
}

// openWithin opens the file as soon as it exists, or fails after the timeout.
func openWithin(path string, timeout time.Duration) (*os.File, error) {
	deadline := time.Now().Add(timeout)
	for {
		file, err := os.Open(path)
		if !errors.Is(err, os.ErrNotExist) || !time.Now().Before(deadline) {
			return file, err
		}
		time.Sleep(pollInterval)
	}
}
