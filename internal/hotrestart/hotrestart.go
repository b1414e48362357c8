// Package hotrestart is how the processes of one relay find each other where the platform holds the clients'
// socket: by files in a directory that they share. Each takes the next number and a file of that number,
// which it keeps locked while it lives; a lock that can be had means a dead owner, whatever the file says. It
// carries what one leaves to another as bytes, whole or not at all. It must never know what they mean, or
// decide who serves.
package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	maxRecordBytes = 4 << 20 // bytes that one may leave, against a file of another's filling the memory
	pollInterval   = 10 * time.Millisecond
	name           = "valeshift.%d.%s"
	slotKind       = "seat"
	handoffKind    = "left" // for the process of that number
	messageKind    = "told" // to it, by another
)

// Slot is this process's place.
type Slot struct {
	dir    string
	number int
	file   *os.File
}

// Process is another process of the relay that is alive.
type Process struct {
	Number int
	Ready  bool
}

// Acquire takes the next number in the directory.
func Acquire(dir string) (*Slot, error) {
	file, err := os.CreateTemp(dir, "valeshift.new.*")
	if err != nil {
		return nil, fmt.Errorf("seat: %w", err)
	}
	defer os.Remove(file.Name())
	// Locked before it has its name: against being taken for one whose owner is dead.
	if err := lock(file); err != nil {
		file.Close()
		return nil, fmt.Errorf("seat: %w", err)
	}
	for range 1000 {
		s := &Slot{dir: dir, number: 1, file: file}
		all, err := s.slotFiles()
		if err != nil {
			file.Close()
			return nil, err
		}
		for n := range all {
			s.number = max(s.number, n+1)
		}
		switch err := os.Link(file.Name(), s.path(s.number, slotKind)); {
		case err == nil:
			return s, nil
		case !errors.Is(err, os.ErrExist): // taken by another meanwhile
			file.Close()
			return nil, fmt.Errorf("seat: %w", err)
		}
	}
	file.Close()
	return nil, errors.New("seat: no number to be had")
}

func lock(f *os.File) error { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) }

func (s *Slot) path(number int, kind string) string {
	return filepath.Join(s.dir, fmt.Sprintf(name, number, kind))
}

// slotFiles are the seats there are, dead or alive.
func (s *Slot) slotFiles() (map[int]string, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("seat: %w", err)
	}
	all := map[int]string{}
	for _, e := range entries {
		part := strings.Split(e.Name(), ".")
		if len(part) != 3 || part[0] != "valeshift" || part[2] != slotKind {
			continue
		}
		if n, err := strconv.Atoi(part[1]); err == nil && n > 0 {
			all[n] = filepath.Join(s.dir, e.Name())
		}
	}
	return all, nil
}

// Siblings are the elder and the younger processes that are alive: of each the nearest, with number 0 for none.
// Files of dead ones are taken away, but for the highest number, so that none is given twice.
func (s *Slot) Siblings() (elder, younger Process) {
	all, err := s.slotFiles()
	if err != nil {
		return elder, younger
	}
	for n, path := range all {
		if n == s.number {
			continue
		}
		alive, ready := inspectSlot(path)
		switch o := (Process{n, ready}); {
		case !alive && n < s.number:
			os.Remove(path)
			os.Remove(s.path(n, handoffKind))
			os.Remove(s.path(n, messageKind))
		case !alive:
		case n < s.number && n > elder.Number:
			elder = o
		case n > s.number && (younger.Number == 0 || n < younger.Number):
			younger = o
		}
	}
	return elder, younger
}

// inspectSlot tells whether the seat's owner lives, and whether it has said that it is ready.
func inspectSlot(path string) (alive, ready bool) {
	f, err := os.Open(path)
	if err != nil {
		return false, false
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return false, false // and closing it lets the lock go
	}
	var word [5]byte
	n, _ := f.Read(word[:])
	return true, string(word[:n]) == "ready"
}

// MarkReady says that this process takes clients now.
func (s *Slot) MarkReady() error {
	_, err := s.file.WriteAt([]byte("ready"), 0)
	return err
}

// SendHandoff leaves a record to the process of that number, whole or not at all.
func (s *Slot) SendHandoff(number int, record []byte) error {
	return s.send(number, handoffKind, record)
}

// SendMessage tells something to the process of that number; what it has not heard yet is forgotten.
func (s *Slot) SendMessage(number int, record []byte) error {
	return s.send(number, messageKind, record)
}

// ReceiveHandoff waits for what an elder process leaves to this one, and takes it away.
func (s *Slot) ReceiveHandoff(within time.Duration) ([]byte, error) {
	return s.receive(handoffKind, within)
}

// ReceiveMessage takes what another process has told, where there is something new.
func (s *Slot) ReceiveMessage() ([]byte, error) { return s.receive(messageKind, 0) }

func (s *Slot) send(number int, kind string, record []byte) error {
	if len(record) > maxRecordBytes {
		return fmt.Errorf("record: %d bytes, %d at the most", len(record), maxRecordBytes)
	}
	f, err := os.CreateTemp(s.dir, "valeshift.new.*")
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	_, err = f.Write(record)
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.path(number, kind))
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

func (s *Slot) receive(kind string, within time.Duration) ([]byte, error) {
	path := s.path(s.number, kind)
	for until := time.Now().Add(within); ; time.Sleep(pollInterval) {
		f, err := os.Open(path)
		if errors.Is(err, os.ErrNotExist) && time.Now().Before(until) {
			continue
		} else if err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		defer f.Close()
		defer os.Remove(path)
		record, err := io.ReadAll(io.LimitReader(f, maxRecordBytes+1))
		if err == nil && len(record) > maxRecordBytes {
			err = fmt.Errorf("more than %d bytes", maxRecordBytes)
		}
		if err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		return record, nil
	}
}

// CheckListener tells whether the descriptor is a listening socket, and leaves it as it is.
func CheckListener(fd int) error {
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return fmt.Errorf("a listening socket expected: %w", err)
	} else if on == 0 {
		return errors.New("a listening socket expected, got another")
	}
	return nil
}

// InheritListener is the listening socket that this process inherited as that descriptor. It is never shut down,
// which would end it for the other process too; this process's second number for it is given back.
func InheritListener(fd int) (*net.TCPListener, error) {
	if err := CheckListener(fd); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, errors.New("a TCP socket expected, got another")
	}
	return tcp, nil
}
