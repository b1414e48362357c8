package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"valeshift/internal/admin"
)

// openAdminListener opens the admin API's socket, and publishes metrics from now on; nil where there is no address.
func (d *driver) openAdminListener(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	d.metrics = newMetricsBoard(d.machine)
	return listener, nil
}

// serveAdmin serves the admin API beside the relay. The function that it returns ends that, and waits for it.
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

// adminAPI is the relay as the admin API asks it.
type adminAPI struct {
	driver *driver
}

// IsReady reports whether the relay was fit to be sent clients after the last event.
func (a *adminAPI) IsReady() bool { return a.driver.metrics.serving.Load() }

// Metrics returns the metrics after the last event.
func (a *adminAPI) Metrics() []admin.Metric { return a.driver.metrics.published() }

// SetDraining returns once the event is handled and, where there is a fleet, its order taken.
func (a *adminAPI) SetDraining(draining bool) error {
	d := a.driver
	d.handle(DrainRequested{On: draining})
	d.mutex.Lock()
	stopping := d.machine.drain.stopping
	d.mutex.Unlock()
	if stopping && !draining {
		return errStopping
	}
	if d.fleet == nil {
		return nil
	}
	return d.fleet.SetDraining(draining)
}

// FleetStatus returns what the fleet knows; nil where there is none.
func (a *adminAPI) FleetStatus() any {
	if a.driver.fleet == nil {
		return nil
	}
	return a.driver.fleet.Status()
}

// ReplicatedRecords returns one part of the records held for other relays; nil where there is no fleet.
func (a *adminAPI) ReplicatedRecords(part int) any {
	if a.driver.fleet == nil {
		return nil
	}
	return a.driver.fleet.ReplicationPage(part)
}
