package fleet

import (
	"encoding/json"
	"fmt"

	"valeshift/internal/relay"
	"valeshift/internal/store"
)

// operatorOrder is the operators' last order to this relay: to drain, or to take clients again.
type operatorOrder struct {
	orderNumber uint64 // 0: none was ever given
	draining    bool
}

// storedOrder is an order as it is stored on the disk and replicated at other relays.
type storedOrder struct {
	Number   uint64 `json:"Number"`
	Draining bool   `json:"Lame"`
}

// SetDraining takes an operator's order, which is in effect at once, and returns its record: the order may be
// acknowledged once that is durable.
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

// adoptOrder takes an order to this relay that others remember, where it is later than the one in effect, or of
// the same number and the stricter.
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

// restoreOrder takes the order that the disk has, unless a later one is in effect.
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

// orderRecord is the record of the order in effect.
func (c *Core) orderRecord(now float64) store.Record {
	body, _ := json.Marshal(storedOrder{Number: c.orderNumber, Draining: c.draining}) // plain values: no error
	return store.Record{Kind: store.KindOrder, Boot: c.boot, UnixMillis: now, Body: body}
}
