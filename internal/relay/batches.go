package relay

// This file adds connections to nbio's poller between two batches of events. nbio 1.6.8 looks up the connection of an
// event by its descriptor, as it comes to the event in its batch. If the connection has been closed since the batch was
// fetched, and another one with the same descriptor was added, the event counts as the other one's, which is closed if the
// event is the end of the connection (TestEventOfAClosedConnectionIsNotTheNextOnes).

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// batchBoundary runs functions once all events have been handled that the poller had fetched when they were passed. For
// that it makes an event of its own: it comes in a batch that is fetched later.
type batchBoundary struct {
	mutex   sync.Mutex
	marker  *nbio.Conn // the poller reports an event on it after a byte was written to trigger
	trigger int        // descriptor of the other end
	armed   []func()   // run by the event that has been triggered
	waiting []func()   // passed since then, and run by the event after it
}

// open adds the marker to the poller, which must be running.
func (b *batchBoundary) open(engine *nbio.Engine) error {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return fmt.Errorf("open batch boundary: %w", err)
	}
	file := os.NewFile(uintptr(ends[0]), "batch boundary")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		unix.Close(ends[1])
		return fmt.Errorf("open batch boundary: %w", err)
	}
	marker, err := nbio.NBConn(conn)
	if err != nil {
		unix.Close(ends[1])
		return fmt.Errorf("open batch boundary: %w", err)
	}
	b.mutex.Lock()
	b.marker = marker
	b.trigger = ends[1]
	marker.SetSession(b)
	b.mutex.Unlock()
	if _, err := engine.AddConn(marker); err != nil {
		return fmt.Errorf("open batch boundary: %w", err)
	}
	return nil
}

// afterBatch has the function run by the poller's goroutine, after all events that the poller has fetched by now.
func (b *batchBoundary) afterBatch(function func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.armed != nil {
		b.waiting = append(b.waiting, function)
		return
	}
	b.armed = append(b.armed, function)
	b.triggerEvent()
}

// triggerEvent makes the poller report an event on the marker. The caller holds b.mutex. The write can't fail for want of
// space, as a byte is written only after the one before it was read.
func (b *batchBoundary) triggerEvent() { unix.Write(b.trigger, []byte{0}) }

// handleEvent runs the functions that were armed, if the event is the marker's. It reports whether it is.
func (b *batchBoundary) handleEvent(nbConn *nbio.Conn) bool {
	b.mutex.Lock()
	if nbConn != b.marker {
		b.mutex.Unlock()
		return false
	}
	var one [1]byte
	b.marker.Read(one[:])
	ready := b.armed
	b.armed, b.waiting = b.waiting, nil
	if b.armed != nil {
		b.triggerEvent()
	}
	b.mutex.Unlock()
	for _, function := range ready {
		function()
	}
	return true
}
