// Package hotrestart lets two processes of one relay share a listening socket that the platform holds, so that
// the program can be replaced while it serves. The processes find each other through files in a shared folder:
// each acquires a slot, which is a numbered file that it keeps locked as long as it runs. A parent process
// sends its state to its child as a record, and established sessions as open descriptors.
//
// Records are opaque bytes that arrive completely or not at all. The package doesn't decide which process
// serves.
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

// Files in the shared folder are named "valeshift.NUMBER.KIND", where NUMBER is the slot number of the process
// that the file is for. Processes of different builds share names and contents, so they must not change.
const (
	filePrefix  = "valeshift"
	tempPattern = "valeshift.new.*"

	slotKind    = "seat" // the slot file, locked by its process
	handoffKind = "left" // a handoff for the process
	messageKind = "told" // a message for the process
	socketKind  = "way"  // the socket on which the process receives sessions

	readyText = "ready" // content of a slot file once its process is ready; empty before
)

const maxAcquireAttempts = 1000 // attempts to take a number, each of which another process may win

var errNoFreeNumber = errors.New("no free slot number found")

// Slot is the numbered place of this process among the processes of the relay. It is held until the process
// ends, in whatever way: the kernel then releases the lock.
type Slot struct {
	dir    string
	number int
	file   *os.File
}

// Process is another live process of the relay. The zero value means that there is none.
type Process struct {
	Number int  // slot number
	Ready  bool // the process accepts clients
}

// Acquire acquires the slot with the next number in the folder.
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

// linkNextNumber links the slot's file under the first number above all existing ones.
func (s *Slot) linkNextNumber() error {
	// Lock the file before it gets its name: an unlocked slot file is treated as that of a dead process.
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
		if !errors.Is(err, os.ErrExist) { // if it exists, another process was faster
			return err
		}
	}
	return errNoFreeNumber
}

func (s *Slot) path(number int, kind string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%d.%s", filePrefix, number, kind))
}

// slotFiles returns the paths of all slot files by slot number, whether their processes are alive or not.
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

// Siblings returns the live processes with the nearest lower number (the parent) and the nearest higher number
// (the child). It removes the files of dead parents. Those of dead children stay, so that no number is used
// twice. If the folder can't be read, there are no siblings.
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

// inspectSlot reports whether the slot's process is alive, and whether it has marked itself as ready. If the
// file can be locked, its process is dead, whatever the content says.
func inspectSlot(path string) (alive, ready bool) {
	file, err := os.Open(path)
	if err != nil {
		return false, false
	}
	defer file.Close() // also releases the lock
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return false, false
	}
	content := make([]byte, len(readyText))
	n, _ := file.Read(content) // a process that is not ready has written nothing
	return true, string(content[:n]) == readyText
}

// MarkReady tells the other processes that this one accepts clients.
func (s *Slot) MarkReady() error {
	if _, err := s.file.WriteAt([]byte(readyText), 0); err != nil {
		return fmt.Errorf("mark slot as ready: %w", err)
	}
	return nil
}
