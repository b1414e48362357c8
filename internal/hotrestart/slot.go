// Package hotrestart lets two processes of one relay share a listening socket that the platform holds, so that
// the program can be replaced while it serves. The processes find each other by files in a folder that they
// share: each acquires a slot, a numbered file that it keeps locked while it lives. A parent process hands its
// state to its child as a record, and established sessions as open descriptors.
//
// The package carries records as bytes, whole or not at all. It doesn't know what they mean and doesn't decide
// which process serves.
package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Files in the shared folder are called "valeshift.NUMBER.KIND". Names and contents are shared by processes of
// different builds, so they must not change.
const (
	filePrefix  = "valeshift"
	tempPattern = "valeshift.new.*"

	slotKind    = "seat" // locked by the process of that number
	handoffKind = "left" // a handoff for the process of that number
	messageKind = "told" // a message to the process of that number
	socketKind  = "way"  // the socket on which the process of that number receives sessions

	readyText = "ready" // the content of a slot file once its process is ready
)

const maxAcquireAttempts = 1000

var errNoFreeNumber = errors.New("no free number found")

// Slot is the place of this process among the processes of the relay. It is held until the process ends: the
// kernel releases the lock then, however the process ends.
type Slot struct {
	dir    string
	number int
	file   *os.File
}

// Process is another live process of the relay. The zero value stands for none.
type Process struct {
	Number int
	Ready  bool // it takes clients
}

// Acquire takes the next number in the folder.
func Acquire(dir string) (*Slot, error) {
	file, err := os.CreateTemp(dir, tempPattern)
	if err != nil {
		return nil, fmt.Errorf("acquire slot: %w", err)
	}
	defer os.Remove(file.Name())
	slot := &Slot{dir: dir, file: file}
	if err := slot.linkNextNumber(); err != nil {
		file.Close()
		return nil, fmt.Errorf("acquire slot: %w", err)
	}
	return slot, nil
}

// linkNextNumber gives the slot's file the first number above those in use.
func (s *Slot) linkNextNumber() error {
	// The file is locked before it has its name: an unlocked slot is taken for that of a dead process.
	if err := syscall.Flock(int(s.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return err
	}
	for range maxAcquireAttempts {
		slots, err := s.slotFiles()
		if err != nil {
			return err
		}
		s.number = 1
		for number := range slots {
			s.number = max(s.number, number+1)
		}
		err = os.Link(s.file.Name(), s.path(s.number, slotKind))
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrExist) { // otherwise another process was faster
			return err
		}
	}
	return errNoFreeNumber
}

func (s *Slot) path(number int, kind string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%d.%s", filePrefix, number, kind))
}

// slotFiles returns the path of each slot file by its number, whether its process lives or not.
func (s *Slot) slotFiles() (map[int]string, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	slots := map[int]string{}
	for _, entry := range entries {
		parts := strings.Split(entry.Name(), ".")
		if len(parts) != 3 || parts[0] != filePrefix || parts[2] != slotKind {
			continue
		}
		number, err := strconv.Atoi(parts[1])
		if err == nil && number > 0 {
			slots[number] = filepath.Join(s.dir, entry.Name())
		}
	}
	return slots, nil
}

// Siblings returns the nearest live process with a lower number and the nearest one with a higher number. It
// removes the files of dead parents; those of dead children stay, so that no number is given twice. A folder
// that can't be read has no siblings.
func (s *Slot) Siblings() (parent, child Process) {
	slots, err := s.slotFiles()
	if err != nil {
		return Process{}, Process{}
	}
	for number, path := range slots {
		if number == s.number {
			continue
		}
		alive, ready := inspectSlot(path)
		switch {
		case !alive && number < s.number:
			os.Remove(path)
			os.Remove(s.path(number, handoffKind))
			os.Remove(s.path(number, messageKind))
		case !alive:
		case number < s.number && number > parent.Number:
			parent = Process{Number: number, Ready: ready}
		case number > s.number && (child.Number == 0 || number < child.Number):
			child = Process{Number: number, Ready: ready}
		}
	}
	return parent, child
}

// inspectSlot reports whether the slot's process lives, and whether it has marked itself as ready. A lock that
// can be had means a dead process, whatever the file says.
func inspectSlot(path string) (alive, ready bool) {
	file, err := os.Open(path)
	if err != nil {
		return false, false
	}
	defer file.Close() // releases the lock, too
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return false, false
	}
	content := make([]byte, len(readyText))
	n, _ := file.Read(content) // a process that is not ready has written nothing
	return true, string(content[:n]) == readyText
}

// MarkReady tells the other processes that this one takes clients.
func (s *Slot) MarkReady() error {
	if _, err := s.file.WriteAt([]byte(readyText), 0); err != nil {
		return fmt.Errorf("mark slot as ready: %w", err)
	}
	return nil
}
