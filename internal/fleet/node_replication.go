package fleet

import (
	"context"
	"math"
	"time"

	"valeshift/internal/relay"
)

const (
	// maxPendingReplications is the maximum number of the relay's requests that wait to be handled, and of best-effort
	// records that wait to be replicated again.
	maxPendingReplications = 4096
	maxReplicationWait     = 1e6 // the longest time that the timer is set for, in ms
)

// replicationQueue holds the relay's pending replication requests, and the time of the next Core.TickReplication. The
// zero value is disabled.
type replicationQueue struct {
	requests     chan relay.ReplicationRequest
	dueAtChanged chan struct{} // capacity 1; filled when dueAt was brought forward
	dueAt        float64       // time of the relay's clock; guarded by Node.mutex
}

func newReplicationQueue() replicationQueue {
	return replicationQueue{
		requests:     make(chan relay.ReplicationRequest, maxPendingReplications),
		dueAtChanged: make(chan struct{}, 1),
		dueAt:        math.Inf(1),
	}
}

func (q *replicationQueue) isEnabled() bool { return q.requests != nil }

// bringForward sets the time of the next Core.TickReplication, unless that is due earlier. Node.mutex must be held.
func (q *replicationQueue) bringForward(dueAt float64) {
	if dueAt >= q.dueAt {
		return
	}
	q.dueAt = dueAt
	select {
	case q.dueAtChanged <- struct{}{}:
	default:
	}
}

// Replicate queues a request of the relay to replicate a record, look one up or release one. It is called under the
// relay's lock and never blocks: if maxPendingReplications requests are pending, this one is dropped, and the relay
// continues without its outcome.
func (n *Node) Replicate(r relay.ReplicationRequest) {
	select {
	case n.replication.requests <- r:
	default:
	}
}

// runReplication handles the relay's requests, and calls Core.TickReplication when that is due: the interval of the
// core's ticks is too long for operations that take a few milliseconds.
func (n *Node) runReplication(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.replication.requests:
			n.update(func(core *Core) []Action { return core.HandleReplicationRequest(n.clock.now(), r) })
		case <-timer.C:
			n.mutex.Lock()
			n.replication.dueAt = math.Inf(1)
			n.mutex.Unlock()
			n.update(func(core *Core) []Action { return core.TickReplication(n.clock.now()) })
		case <-n.replication.dueAtChanged:
			timer.Reset(n.replicationWait())
		}
	}
}

// replicationWait returns the time until the next Core.TickReplication, at most maxReplicationWait.
func (n *Node) replicationWait() time.Duration {
	n.mutex.Lock()
	wait := n.replication.dueAt - n.clock.now()
	n.mutex.Unlock()
	millis := min(max(wait, 0), maxReplicationWait)
	return time.Duration(millis * float64(time.Millisecond))
}
