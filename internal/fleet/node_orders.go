package fleet

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// orderTimeout is how long an operator waits for an order to be durable, and again for its replicas.
const orderTimeout = time.Second

// What an operator is told of an order that is in effect, and not as safe as it is to be.
var (
	errOrderNotDurable    = errors.New("the order is in effect, and not on the disk yet")
	errOrderNotReplicated = errors.New("the order is in effect, and on this machine's disk alone for now")
)

// SetDraining takes an operator's order. It returns once the order is durable and replicated, where there is a
// disk and replicas are made. With an error the order is in effect all the same: the error says what is missing.
func (n *Node) SetDraining(draining bool) error {
	n.mutex.Lock()
	record, actions := n.core.SetDraining(n.clock.now(), draining)
	n.mutex.Unlock()
	n.update(func(*Core) []Action { return actions })
	if !n.disk.isNamed() {
		return nil
	}
	durable := make(chan error, 1)
	n.disk.put(record, func(err error) { durable <- err })
	select {
	case err := <-durable:
		if err != nil {
			return fmt.Errorf("storing the order: it is in effect until the next start only: %w", err)
		}
	case <-time.After(orderTimeout):
		return errOrderNotDurable
	}
	if !n.replication.isEnabled() {
		return nil
	}
	return n.replicateOrder()
}

// replicateOrder waits until as many relays hold the order as copies are made.
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

// orderWaiters are those that wait for an order to be replicated, by its token. The zero value is none.
type orderWaiters struct {
	mutex   sync.Mutex
	byToken map[uint64]chan<- bool
}

// add has complete tell a waiter, whose channel has room for one.
func (w *orderWaiters) add(token uint64, waiter chan<- bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.byToken == nil {
		w.byToken = map[uint64]chan<- bool{}
	}
	w.byToken[token] = waiter
}

// complete tells who waits for that order.
func (w *orderWaiters) complete(o OrderReplicated) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiter, isWaiting := w.byToken[o.Token]; isWaiting {
		delete(w.byToken, o.Token)
		waiter <- o.OK
	}
}
