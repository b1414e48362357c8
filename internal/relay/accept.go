package relay

// This file is the driver's accept loop, which can be paused.

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	acceptRetryDelay   = 20 * time.Millisecond // wait after a failed accept
	maxAcceptsInFlight = 4                     // clients that are accepted and not known to the state machine yet
)

// acceptClients runs the accept loop until the relay exits. nbio's own listener is not used, because it retries without
// a delay and so spins when no descriptors are left.
func (d *driver) acceptClients() {
	defer close(d.accept.done)
	for d.waitUntilAccepting() {
		d.acceptClient()
	}
}

// restoreNonblocking puts the listening socket into nonblocking mode. All processes that hold the socket share this
// mode, and a process that passes the socket to a new one may have made it blocking. A deadline does not interrupt a
// blocking call.
func (d *driver) restoreNonblocking() {
	conn, err := d.listener.SyscallConn()
	if err == nil {
		conn.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
	}
	if err != nil {
		d.log.Warn("listening socket may block", "err", err)
	}
}

// waitUntilAccepting waits while accepting is paused. It returns false once the relay is exiting.
func (d *driver) waitUntilAccepting() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for d.accept.paused && !d.accept.ending {
		d.accept.changed.Wait()
	}
	return !d.accept.ending
}

// acceptClient accepts one client, and reports whether it did.
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
	d.addAccepted(netConn)
	return true
}
