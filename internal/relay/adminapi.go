package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"valeshift/internal/admin"
)

// openAdminListener opens the admin API's listener and enables the publishing of metrics. It returns nil if the address
// is empty.
func (d *driver) openAdminListener(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	d.metrics = newPublishedMetrics(d.machine)
	return listener, nil
}

// serveAdmin serves the admin API in the background. The returned function stops it and waits until it has stopped.
func (d *driver) serveAdmin(listener net.Listener) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := admin.Serve(ctx, listener, &adminAPI{driver: d}, d.log); err != nil {
			d.log.Warn("admin API has ended", "err", err)
		}
	})
	return func() {
		cancel()
		serving.Wait()
	}
}

var errStopping = errors.New("the relay is stopping")

// adminAPI implements admin.Relay on the driver.
type adminAPI struct {
	driver *driver
}

// IsReady reports whether the relay was ready for new clients after the last event.
func (a *adminAPI) IsReady() bool { return a.driver.metrics.serving.Load() }

// Metrics returns the metrics as published after the last event.
func (a *adminAPI) Metrics() []admin.Metric { return a.driver.metrics.published() }

// SetDraining drains the relay or returns it to service. It returns once the event has been handled and the fleet, if
// there is one, has taken the order.
func (a *adminAPI) SetDraining(draining bool) error {
	d := a.driver
	d.handle(DrainRequested{On: draining})
	d.mutex.Lock()
	stopping := d.machine.lifecycle.stopping
	d.mutex.Unlock()
	if stopping && !draining {
		return errStopping
	}
	if d.fleet == nil {
		return nil
	}
	return d.fleet.SetDraining(draining)
}

// FleetStatus returns the fleet's status; nil if there is no fleet.
func (a *adminAPI) FleetStatus() any {
	if a.driver.fleet == nil {
		return nil
	}
	return a.driver.fleet.Status()
}

// ReplicatedRecords returns one part of the records held for other relays; nil if there is no fleet.
func (a *adminAPI) ReplicatedRecords(part int) any {
	if a.driver.fleet == nil {
		return nil
	}
	return a.driver.fleet.ReplicationPage(part)
}
