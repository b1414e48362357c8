package failover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Orders override the policy until they expire or are replaced, only a forced order may empty the last zone
// that serves, and invalid orders are rejected.
func TestOrders(t *testing.T) {
	s := newSimulation(t, 12)
	s.runUntil(3000)
	order := func(id, zone string, action OrderAction, force bool) (rejection string) {
		t.Helper()
		o := OperatorOrder{ID: id, Zone: zone, Action: action, ExpiresAt: 9000, Reason: "work", IssuedBy: "x", Force: force}
		return s.apply(Command{Order: &o, Cause: CauseOrdered(o)}).Rejection
	}
	before := s.log.Number
	assert.Empty(t, order("1", "b", ActionEmpty, false))
	assert.Equal(t, "b emptied", s.states())
	assert.Equal(t, before+1, s.log.Number)
	assert.Empty(t, order("1", "b", ActionEmpty, false), "an order sent again is accepted")
	s.runUntil(6000)
	assert.Equal(t, "b emptied", s.states(), "the order overrides the policy")
	assert.Equal(t, "a", s.log.EffectiveZones()[1].Diversions[0].Zone)
	assert.Empty(t, order("2", "b", ActionReturn, false))
	assert.Empty(t, s.states(), "the later order replaces the earlier one")
	assert.Equal(t, errUnknownZone.Error(), order("3", "x", ActionEmpty, false))
	assert.Equal(t, `empty, return or hold expected, got "burn"`, order("4", "b", "burn", false))
	assert.Equal(t, errIncompleteOrder.Error(), order("", "b", ActionEmpty, false))

	assert.Empty(t, order("5", "b", ActionHold, false))
	s.failureRate = zoneFails("b", 1, 0, forever)
	s.runUntil(12000)
	assert.Empty(t, s.states(), "the zone is held as home although it fails")

	for _, zone := range []string{"a", "c", "d", "e"} {
		assert.Empty(t, order("e"+zone, zone, ActionEmpty, false))
	}
	assert.Empty(t, order("eb", "b", ActionEmpty, false))
	assert.Equal(t, errLastZone.Error(), order("ef", "f", ActionEmpty, false))
	assert.Empty(t, order("ef!", "f", ActionEmpty, true), "a forced order may empty the last zone")
	assert.Equal(t, s.number, s.log.Number)
	decision, isDecided := s.log.DecisionOnOrder("ef")
	assert.True(t, isDecided)
	assert.Equal(t, errLastZone.Error(), decision.Rejection)

	assert.Len(t, s.log.ExpiredOrderIDs(9000), 6)
	for _, id := range s.log.ExpiredOrderIDs(9000) {
		assert.Empty(t, s.apply(Command{ExpiredOrderID: id, Cause: CauseOrderExpired}).Rejection)
	}
	assert.Equal(t, errUnknownOrder.Error(), s.apply(Command{ExpiredOrderID: "1"}).Rejection)
	assert.Equal(t, "b emptied", s.states(), "without orders the policy's decision is in force")
	s.log.Apply(999, []byte("{"))
	assert.Equal(t, errUnreadableCommand.Error(), s.latestDecision().Rejection)
}

// TestHoldOutlivesTheHistory guards against a hold that ends by itself: the state to hold was read from the history, which
// keeps 30 decisions, so that after 30 further ones the zone went back to what the policy said.
func TestHoldOutlivesTheHistory(t *testing.T) {
	s := newSimulation(t, 12)
	s.runUntil(3000)
	apply := func(id, zone string, action OrderAction) {
		t.Helper()
		order := OperatorOrder{ID: id, Zone: zone, Action: action, Reason: "work", IssuedBy: "x"}
		require.Empty(t, s.apply(Command{Order: &order, Cause: CauseOrdered(order)}).Rejection)
	}
	apply("empty", "b", ActionEmpty)
	apply("hold", "b", ActionHold)
	require.Equal(t, "b emptied", s.states())
	for i := range maxHistory + 2 {
		apply(fmt.Sprint("other ", i), "c", ActionReturn)
	}
	assert.Equal(t, "b emptied", s.states())

	assert.Contains(t, string(s.log.Snapshot()), `"Held":{"hold":{"State":"emptied","Share":0}}`, "the stored form")
	restored := &DecisionLog{}
	require.NoError(t, restored.Restore(s.log.Snapshot()))
	assert.Equal(t, s.log.EffectiveZones(), restored.EffectiveZones(), "a coordinator that restarts holds it, too")

	require.Empty(t, s.apply(Command{ExpiredOrderID: "hold", Cause: CauseOrderExpired}).Rejection)
	assert.Empty(t, s.states(), "the policy decides again")
	assert.Empty(t, s.log.Held)
}

func TestRestoreOfDamagedSnapshot(t *testing.T) {
	log := &DecisionLog{Number: 7}
	require.Error(t, log.Restore([]byte("{")))
	assert.Equal(t, &DecisionLog{Number: 7}, log, "the log is unchanged")
}
