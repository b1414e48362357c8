package fleet

import (
	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

const (
	// settledAfter is how long the normal phase has lasted once load reports show what was assigned.
	settledAfter = 5000.0
	// minMeasuredSessions and minMeasuredLoad, in backends' worth, are the least that a measurement stands on.
	minMeasuredSessions = 5
	minMeasuredLoad     = 0.5
	// capacityInertia is how many times as slowly as other averages the measured capacity moves.
	capacityInertia = 3
)

// capacityEstimate is the moving average of a backend's capacity as this life measured it, in microseconds of
// work a second.
type capacityEstimate struct {
	measured float64 // 0: not measured yet
}

func (e *capacityEstimate) add(sample float64) {
	if e.measured == 0 {
		e.measured = sample
	}
	e.measured += (sample - e.measured) * smoothing / capacityInertia
}

// estimateCapacity returns a backend's capacity: as measured by this life, else as the last snapshot has it.
// Until a while into the normal phase nothing is measured, as load reports hold few of the sessions there are.
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

// isCapacityMeasurable tells whether there is enough to measure a backend's capacity by.
func (c *Core) isCapacityMeasurable(now float64, s *relay.Snapshot) bool {
	isSettled := c.plan.Phase() == recovery.Normal && c.plan.Status(now).PhaseMillis >= settledAfter
	return isSettled && float64(c.relayStatus.Sessions) >= minMeasuredSessions && s.TotalReportedLoad > minMeasuredLoad
}

// measureCapacity measures a backend's capacity by the whole fleet: this relay's load, scaled from its own
// sessions to those of all relays, over the load that backends report. A relay that takes its own part for an
// even one came to six times the truth while other relays were gone.
func (c *Core) measureCapacity(now float64, s *relay.Snapshot) float64 {
	own := float64(c.relayStatus.Sessions)
	all := own
	for _, m := range c.aliveMembers(now) {
		all += float64(m.Sessions)
	}
	return s.OwnLoad * all / own / s.TotalReportedLoad
}
