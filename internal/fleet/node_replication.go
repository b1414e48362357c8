package fleet

import (
	"context"
	"math"
	"time"

	"valeshift/internal/relay"
)

const (
	// maxPendingReplications is how many of the relay's requests may wait to be handled, and how many best-effort
	// records to be replicated again.
	maxPendingReplications = 4096
	maxReplicationWait     = 1e6 // ms, of one setting of the timer
)

// replicationQueue is what the relay wants replicated, and when replication has to go on. The zero value is
// disabled.
type replicationQueue struct {
	requests     chan relay.ReplicationRequest
	dueAtChanged chan struct{} // has room for one
	dueAt        float64       // of the relay's clock; under Node.mutex
}

func newReplicationQueue() replicationQueue {
	return replicationQueue{
		requests:     make(chan relay.ReplicationRequest, maxPendingReplications),
		dueAtChanged: make(chan struct{}, 1),
		dueAt:        math.Inf(1),
	}
}

func (q *replicationQueue) isEnabled() bool { return q.requests != nil }

// bringForward has replication go on at that time, where it isn't due before. Node.mutex is held.
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

// Replicate handles a request of the relay: to replicate a record, to look one up or to release one. It is called
// under the relay's lock and waits for nothing: where too many are pending, the request is dropped, and the relay
// goes on without.
func (n *Node) Replicate(r relay.ReplicationRequest) {
	select {
	case n.replication.requests <- r:
	default:
	}
}

// runReplication handles the relay's requests, and has replication go on when it is due: ticks are too far apart
// for what takes some milliseconds.
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

// replicationWait returns how long it is until replication is due.
func (n *Node) replicationWait() time.Duration {
	n.mutex.Lock()
	wait := n.replication.dueAt - n.clock.now()
	n.mutex.Unlock()
	millis := min(max(wait, 0), maxReplicationWait)
	return time.Duration(millis * float64(time.Millisecond))
}
