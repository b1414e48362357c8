package fleet

import (
	"encoding/json"
	"fmt"

	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// operatorOrder is the operators' latest order to this relay: to drain, or to accept clients again.
type operatorOrder struct {
	orderNumber uint64 // 0 if there was never an order
	draining    bool
}

// storedOrder is an order in the form that is stored on the disk and replicated to other relays.
type storedOrder struct {
	Number   uint64 `json:"Number"`
	Draining bool   `json:"Lame"`
}

// SetDraining puts an operator's order into effect at once, and returns its record. The order may be acknowledged
// once the record is durable.
func (c *Core) SetDraining(now float64, draining bool) (store.Record, []Action) {
	number := c.orderNumber + 1
	if c.membership != nil {
		number = max(number, c.membership.LocalState().OrderNumber+1)
	}
	actions := c.applyOrder(number, draining)
	return c.orderRecord(now), actions
}

// applyOrder puts an order into effect.
func (c *Core) applyOrder(number uint64, draining bool) []Action {
	hasChanged := draining != c.draining
	c.orderNumber = number
	c.draining = draining
	if c.membership != nil {
		state := c.membership.LocalState()
		state.OrderNumber = number
		state.Draining = draining
		c.membership.SetLocalState(state)
	}
	if !hasChanged {
		return nil
	}
	return []Action{{Event: relay.DrainRequested{On: draining}}}
}

// adoptOrder puts into effect an order to this relay that other relays remember, if it is later than the present one,
// or has the same number and is stricter: draining instead of not.
func (c *Core) adoptOrder(now float64, number uint64, draining bool) []Action {
	isStricter := draining && !c.draining
	if number < c.orderNumber || (number == c.orderNumber && !isStricter) {
		return nil
	}
	actions := logActions(fmt.Sprintf("order %d, draining %t, as other relays remember it", number, draining))
	actions = append(actions, c.applyOrder(number, draining)...)
	record := c.orderRecord(now)
	return append(actions, Action{Persist: &record})
}

// restoreOrder puts the order on the disk into effect, unless a later one is in effect.
func (c *Core) restoreOrder(s *store.Store) []Action {
	record, isStored := s.Get(store.KindOrder, "")
	if !isStored {
		return nil
	}
	var order storedOrder
	if err := json.Unmarshal(record.Body, &order); err != nil || order.Number < c.orderNumber {
		return nil
	}
	return c.applyOrder(order.Number, order.Draining)
}

// orderRecord returns the record of the order in effect.
func (c *Core) orderRecord(now float64) store.Record {
	body, _ := json.Marshal(storedOrder{Number: c.orderNumber, Draining: c.draining}) // can't fail with these types
	return store.Record{Kind: store.KindOrder, Boot: c.boot, UnixMillis: now, Body: body}
}
