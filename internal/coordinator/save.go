package coordinator

import (
	"context"
	"fmt"
	"time"

	"valeshift/internal/store"
)

const (
	saveRetryInterval = 500 * time.Millisecond // between two attempts to save
	maxStoreBytes     = 16 << 20               // limit of all live records in the store
)

// saveLoop stores each state that the core returns, however long that takes, and sends the messages returned
// with it only once it is durable.
func (n *Node) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ready := <-n.saves:
			if !n.saveUntilDurable(ctx, ready.DurableState) {
				return
			}
			n.update(func(_ float64, core *Core) {
				n.sendMessages(ready.Messages)
				core.Advance()
			})
		}
	}
}

// saveUntilDurable retries until a save succeeds; false: the node was stopped before that.
func (n *Node) saveUntilDurable(ctx context.Context, data []byte) bool {
	for n.save(data) != nil {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(saveRetryInterval):
		}
	}
	return true
}

// save replaces the stored state, and returns once the new one is durable.
func (n *Node) save(data []byte) error {
	durable := make(chan error, 1)
	record := store.Record{Kind: store.KindConsensus, Body: data}
	n.store.Put(record, func(err error) { durable <- err })
	if err := n.store.Flush(); err != nil {
		n.log.Error("disk: this voter is silent until it can be written", "err", err)
		return fmt.Errorf("save votes: %w", err)
	}
	return <-durable
}
