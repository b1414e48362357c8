package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A watch is one TCP connection, so its messages must arrive in the order in which they were sent. If a later list
// overtook an earlier one, the relay would take the earlier for that of a discovery whose versions start again.
func TestWatchKeepsItsOrder(t *testing.T) {
	for _, c := range []struct {
		name     string
		arrivals []int
		received []int
	}{
		{"as sent", []int{0, 1, 2}, []int{0, 1, 2}},
		{"the second first", []int{1, 0, 2}, []int{0, 1, 2}},
		{"the last first", []int{2, 1, 0}, []int{0, 1, 2}},
		{"one is under way", []int{0, 2}, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var order orderedStream
			var received []int
			var arrive []func()
			for number := range 3 {
				arrive = append(arrive, order.send(func() { received = append(received, number) }))
			}
			for _, number := range c.arrivals {
				arrive[number]()
			}
			assert.Equal(t, c.received, received)
		})
	}
}
