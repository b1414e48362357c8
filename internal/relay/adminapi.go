package relay

import (
	"context"
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
		if err := admin.Serve(ctx, listener, adminAPI{d, d.metrics}, d.log); err != nil {
			d.log.Warn("admin API has ended", "err", err)
		}
	})
	return func() {
		cancel()
		serving.Wait()
	}
}
