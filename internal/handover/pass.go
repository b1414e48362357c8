package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Pair is how many descriptors go with a packet: a client's connection and that to its backend.
const Pair = 2

const (
	packet   = 16 << 10
	passTime = 500 * time.Millisecond // for the other process's answer
	way      = "way"                  // the socket of packets that the process of that number listens on
	taken    = "taken"
	refused  = "refused"
)

// ErrRefused says that the other process left the connections to this one.
var ErrRefused = errors.New("pass: refused")

// Takes has the packets that an elder process passes given to take, which tells whether it has them from then
// on; if not, the descriptors are closed here and stay the elder's alone. It ends with the process.
func (s *Seat) Takes(take func(record []byte, files [Pair]*os.File) bool) error {
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: s.path(s.number, way)})
	if err != nil {
		return fmt.Errorf("way: %w", err)
	}
	go func() {
		for {
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for takeOne(c, take) {
				}
			}()
		}
	}()
	return nil
}

func takeOne(c *net.UnixConn, take func(record []byte, files [Pair]*os.File) bool) bool {
	record, rights := make([]byte, packet), make([]byte, syscall.CmsgSpace(4*Pair))
	n, m, flags, _, err := c.ReadMsgUnix(record, rights)
	if err != nil || n == 0 {
		return false
	}
	var files [Pair]*os.File
	got := descriptors(rights[:m])
	for i, fd := range got {
		f := os.NewFile(uintptr(fd), "passed")
		if i < Pair {
			files[i] = f
		}
	}
	answer := refused
	if len(got) == Pair && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) == 0 && take(record[:n], files) {
		answer = taken
	}
	for _, f := range files { // whoever took them has others of its own
		if f != nil {
			f.Close()
		}
	}
	_, err = c.Write([]byte(answer))
	return err == nil
}

func descriptors(rights []byte) (all []int) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		if fds, err := syscall.ParseUnixRights(&m); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

// Way leads to a younger process.
type Way struct{ conn *net.UnixConn }

// Way opens the way to the process of that number.
func (s *Seat) Way(number int) (*Way, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: s.path(number, way)})
	if err != nil {
		return nil, fmt.Errorf("way: %w", err)
	}
	return &Way{c}, nil
}

// Pass passes two connections on. ErrRefused, or an error from before they went out, leaves them here; after
// any other they may be the other process's.
func (w *Way) Pass(record []byte, fds [Pair]int) (gone bool, err error) {
	if len(record) > packet {
		return false, fmt.Errorf("pass: %d bytes, %d at the most", len(record), packet)
	}
	w.conn.SetDeadline(time.Now().Add(passTime))
	if _, _, err := w.conn.WriteMsgUnix(record, syscall.UnixRights(fds[:]...), nil); err != nil {
		return false, fmt.Errorf("pass: %w", err)
	}
	answer := make([]byte, len(refused))
	n, err := w.conn.Read(answer)
	switch {
	case err != nil:
		return true, fmt.Errorf("pass: %w", err)
	case string(answer[:n]) != taken:
		return false, ErrRefused
	}
	return true, nil
}

// Close closes the way.
func (w *Way) Close() { w.conn.Close() }
