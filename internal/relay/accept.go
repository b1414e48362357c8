package relay

// This file is the driver's side of accepting: the loop at the listener, and its pauses.

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const acceptRetryDelay = 20 * time.Millisecond

// acceptClients accepts clients until the end. nbio's own listener would spin where there are no descriptors left, as it
// asks again at once.
func (d *driver) acceptClients() {
	defer close(d.accept.done)
	for d.waitUntilAccepting() {
		d.acceptClient()
	}
}

// restoreNonblocking has calls on the listening socket not block. Whether they do is a property of the socket, which all
// processes that hold it share: one that starts another with it may set it, and a deadline does not end a call that
// blocks.
func (d *driver) restoreNonblocking() {
	conn, err := d.listener.SyscallConn()
	if err == nil {
		conn.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
	}
	if err != nil {
		d.log.Warn("listening socket may block", "err", err)
	}
}

// waitUntilAccepting waits while accepting is paused, and reports whether clients are accepted again.
func (d *driver) waitUntilAccepting() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for d.accept.paused && !d.accept.ending {
		d.accept.changed.Wait()
	}
	return !d.accept.ending
}

// acceptClient accepts one client, and reports whether one came.
func (d *driver) acceptClient() bool {
	if d.slot != nil {
		d.restoreNonblocking()
	}
	netConn, err := d.listener.Accept()
	if err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptRetryDelay)
		}
		return false
	}
	d.mutex.Lock()
	d.lastClientConn++
	conn := d.lastClientConn
	d.mutex.Unlock()
	d.register(conn, netConn, false)
	return true
}
