package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A backend that is draining, gone or missing from a complete update gets no sessions.
func TestDrainingBackendsGetNoSessions(t *testing.T) {
	for _, c := range []struct {
		name   string
		update func(b *Balancer)
	}{
		{"draining", func(b *Balancer) {
			b.BeginEndpointUpdate(false)
			b.UpdateEndpoint(Endpoint{ID: 1, State: Draining, Weight: 1})
		}},
		{"gone", func(b *Balancer) {
			b.BeginEndpointUpdate(false)
			b.UpdateEndpoint(Endpoint{ID: 1, State: Gone, Weight: 1})
		}},
		{"missing from a complete update", func(b *Balancer) {
			b.BeginEndpointUpdate(true)
			b.UpdateEndpoint(Endpoint{ID: 2, Zone: 1, State: Ready, Cell: 1, Weight: 1})
		}},
		{"gone, beside one that was never listed", func(b *Balancer) {
			b.BeginEndpointUpdate(false)
			b.UpdateEndpoint(Endpoint{ID: 9, State: Gone, Weight: 1})
			b.UpdateEndpoint(Endpoint{ID: 1, State: Gone, Weight: 1})
		}},
	} {
		b := testFleet{Loads: []float64{0.1, 0.4}}.build(t)
		b.refreshWeights(start)
		c.update(b)
		b.EndEndpointUpdate(start)
		for range 30 {
			a := b.Assign(start, newSession(start))
			assert.NotEqual(t, uint32(1), a.Backend, c.name)
		}
	}
}

// A later start time in the list means a restart: the backend's earlier reports are dropped and its slow start
// begins.
func TestRestartBeginsSlowStart(t *testing.T) {
	b := testFleet{Loads: []float64{0.4, 0.4}}.build(t)
	b.BeginEndpointUpdate(false)
	b.UpdateEndpoint(Endpoint{ID: 1, State: Ready, StartedAt: start + 5, Weight: 1})
	b.EndEndpointUpdate(start + 10)
	assert.True(t, math.IsNaN(b.poller.reports.loads[0]))
	assert.Less(t, b.slowStart.capacityShare(0, start+10), 0.21)
}
