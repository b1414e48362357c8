package fleet

import (
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

const (
	// capacitySettleMillis is how many milliseconds the normal phase has to last before capacity is measured: only
	// then do load reports include the sessions that were assigned.
	capacitySettleMillis = 5000.0
	// minMeasuredSessions and minMeasuredLoad are the fewest sessions of this relay and the smallest estimated load of
	// the backends, in multiples of one backend's capacity, that capacity is measured with.
	minMeasuredSessions = 5
	minMeasuredLoad     = 0.5
	// capacitySmoothingDivisor divides the weight of a new sample: measured capacity changes that many times more
	// slowly than the other moving averages.
	capacitySmoothingDivisor = 3
)

// capacityEstimate is the moving average of a backend's capacity as measured since this relay's start, in
// microseconds of work per second.
type capacityEstimate struct {
	measured float64 // microseconds of work per second; 0 before the first measurement
}

func (e *capacityEstimate) add(sample float64) {
	if e.measured == 0 {
		e.measured = sample
	}
	e.measured += (sample - e.measured) * smoothing / capacitySmoothingDivisor
}

// estimateCapacity returns a backend's capacity: as measured since this relay's start, or else from the last
// snapshot. Nothing is measured until the normal phase has lasted for capacitySettleMillis, as load reports include
// only few of the sessions before. Without other relays it returns the relay's own estimate.
func (c *Core) estimateCapacity(now float64, s *relay.Snapshot) float64 {
	if c.membership == nil {
		return s.Capacity
	}
	if c.isCapacityMeasurable(now, s) {
		c.capacity.add(c.measureCapacity(now, s))
	}
	if c.capacity.measured > 0 {
		return c.capacity.measured
	}
	return c.snapshots.last.Capacity
}

// isCapacityMeasurable reports whether there are enough sessions and load to measure a backend's capacity.
func (c *Core) isCapacityMeasurable(now float64, s *relay.Snapshot) bool {
	isSettled := c.plan.Phase() == recovery.Normal && c.plan.Status(now).PhaseMillis >= capacitySettleMillis
	return isSettled && float64(c.relayStatus.Sessions) >= minMeasuredSessions && s.TotalReportedLoad > minMeasuredLoad
}

// measureCapacity measures a backend's capacity from the whole fleet: this relay's load, scaled from its own
// sessions to those of all relays, divided by the load that backends report. When each relay was instead assumed to
// have an even share of the sessions, the result was six times the true capacity while other relays were gone.
func (c *Core) measureCapacity(now float64, s *relay.Snapshot) float64 {
	own := float64(c.relayStatus.Sessions)
	all := own
	for _, m := range c.aliveMembers(now) {
		all += float64(m.Sessions)
	}
	return s.OwnLoad * all / own / s.TotalReportedLoad
}
