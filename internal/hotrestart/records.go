package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	maxRecordBytes = 4 << 20 // keeps another process's file from filling the memory
	pollInterval   = 10 * time.Millisecond
)

// ErrTooLarge reports a record that is larger than one process may send to another.
var ErrTooLarge = errors.New("record is too large")

// SendHandoff leaves a record for the process of that number, whole or not at all. It stays until that process
// receives it.
func (s *Slot) SendHandoff(number int, record []byte) error {
	return s.send(number, handoffKind, record)
}

// SendMessage sends a message to the process of that number. It replaces one that was not received yet.
func (s *Slot) SendMessage(number int, record []byte) error {
	return s.send(number, messageKind, record)
}

// ReceiveHandoff waits for what a parent process leaves for this one, and removes it. The error is
// os.ErrNotExist where nothing comes in time.
func (s *Slot) ReceiveHandoff(timeout time.Duration) ([]byte, error) {
	return s.receive(handoffKind, timeout)
}

// ReceiveMessage takes the latest message of another process. The error is os.ErrNotExist where there is none.
func (s *Slot) ReceiveMessage() ([]byte, error) { return s.receive(messageKind, 0) }

// send writes a file of another name first, so that a reader never sees half a record.
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

// openWithin opens the file once it is there.
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
