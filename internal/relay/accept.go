package relay

import (
	"errors"
	"os"
	"time"
)

const acceptRetryDelay = 20 * time.Millisecond

// acceptClients accepts clients until the end. nbio's own listener would spin where there are no descriptors left, as it
// asks again at once.
func (d *driver) acceptClients() {
	defer close(d.acceptDone)
	for d.waitUntilAccepting() {
		d.acceptClient()
	}
}

// waitUntilAccepting waits while accepting is paused, and reports whether clients are accepted again.
func (d *driver) waitUntilAccepting() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for d.acceptPaused && !d.acceptEnding {
		d.acceptChanged.Wait()
	}
	return !d.acceptEnding
}

// acceptClient accepts one client, and reports whether one came.
func (d *driver) acceptClient() bool {
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
