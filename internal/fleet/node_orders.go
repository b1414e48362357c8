package fleet

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// orderTimeout is how long SetDraining waits for an order to be durable, and then again for it to be replicated.
const orderTimeout = time.Second

// Errors for an order that is in effect, but is not yet stored as safely as it is meant to be.
var (
	errOrderNotDurable    = errors.New("the order is in effect, but it is not on the disk yet")
	errOrderNotReplicated = errors.New("the order is in effect, but it is only on this machine's disk so far")
)

// SetDraining puts an operator's order into effect, and returns once the order is durable, if there is a disk, and
// replicated, if replication is enabled. The order is in effect even if an error is returned: the error says what is
// missing for the order to survive a restart or the loss of the disk.
func (n *Node) SetDraining(draining bool) error {
	n.mutex.Lock()
	record, actions := n.core.SetDraining(n.clock.now(), draining)
	n.mutex.Unlock()
	n.update(func(*Core) []Action { return actions })
	if !n.disk.isConfigured() {
		return nil
	}
	durable := make(chan error, 1)
	n.disk.put(record, func(err error) { durable <- err })
	select {
	case err := <-durable:
		if err != nil {
			return fmt.Errorf("the order is in effect, but only until the next start, as it could not be stored: %w", err)
		}
	case <-time.After(orderTimeout):
		return errOrderNotDurable
	}
	if !n.replication.isEnabled() {
		return nil
	}
	return n.replicateOrder()
}

// replicateOrder replicates the order, and waits until all its replicas have stored it.
func (n *Node) replicateOrder() error {
	replicated := make(chan bool, 1)
	n.update(func(core *Core) []Action {
		token, actions := core.ReplicateOrder(n.clock.now())
		n.orders.add(token, replicated)
		return actions
	})
	select {
	case isReplicated := <-replicated:
		if isReplicated {
			return nil
		}
	case <-time.After(orderTimeout):
	}
	return errOrderNotReplicated
}

// orderWaiters are the channels of callers that wait for an order to be replicated. The zero value is empty.
type orderWaiters struct {
	mutex   sync.Mutex
	byToken map[uint64]chan<- bool // by the token of Core.ReplicateOrder
}

// add registers a channel that complete sends the outcome to. The channel needs a buffer of one.
func (w *orderWaiters) add(token uint64, waiter chan<- bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.byToken == nil {
		w.byToken = map[uint64]chan<- bool{}
	}
	w.byToken[token] = waiter
}

// complete sends the outcome to the caller that waits for it, if any.
func (w *orderWaiters) complete(o OrderReplicated) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiter, isWaiting := w.byToken[o.Token]; isWaiting {
		delete(w.byToken, o.Token)
		waiter <- o.OK
	}
}
