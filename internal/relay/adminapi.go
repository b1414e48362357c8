package relay

import (
	"context"
	"net"
	"sync"

	"valeshift/internal/admin"
)

// serveAdmin serves the admin API beside the relay. The function that it returns ends that, and waits for it.
func (s *driver) serveAdmin(listener net.Listener) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := admin.Serve(ctx, listener, adminAPI{s, s.metrics}, s.log); err != nil {
			s.log.Warn("admin API has ended", "err", err)
		}
	})
	return func() {
		cancel()
		serving.Wait()
	}
}
