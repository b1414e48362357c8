package fleet

import (
	"fmt"
	"math"
	"slices"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

const (
	clockInterval = 1000.0 // ms between two comparisons of clocks
	// minClockChange is the smallest change of the fleet clock's offset that is applied, in ms. It exceeds the time
	// that datagrams take, and the error of the dates in discovery's answers, which have a resolution of one second.
	minClockChange = 1500.0
)

// fleetClock is the clock that all relays of the fleet agree on.
type fleetClock struct {
	fleetClockOffset float64 // ms that the fleet's clock is ahead of this relay's own, as the relay was last notified
	clockDueAt       float64 // time of the next comparison
}

// updateClock compares this relay's clock with the fleet's, in which backends' start times are given, and notifies
// the relay of the difference. The fleet's clock is discovery's if discovery dates its answers (discoveryOffset is
// NaN if not), or else the median of this machine's wall clock and those of the relays that are alive.
func (c *Core) updateClock(now, wallClock, discoveryOffset float64) []Action {
	if now < c.clockDueAt {
		return nil
	}
	if c.plan.Phase() >= recovery.Admitting { // before that on each tick: it decides which backends are warming up
		c.clockDueAt = now + clockInterval
	}
	offsets := c.clockOffsets(now, wallClock)
	offset := lowerMedian(offsets)
	isDated := !math.IsNaN(discoveryOffset)
	if isDated {
		offset = discoveryOffset
	}
	if math.Abs(offset-c.fleetClockOffset) < minClockChange {
		return nil
	}
	c.fleetClockOffset = offset
	ahead := -offset
	line := fmt.Sprintf("this relay's clock is %.0f ms ahead of the fleet's; clocks compared: %d, discovery's used: %t",
		ahead, len(offsets), isDated)
	return []Action{{Event: relay.ClockSkewMeasured{AheadMillis: ahead}}, {Log: line}}
}

// clockOffsets returns by how many milliseconds this machine's wall clock, and the wall clock of each relay that is
// alive, are ahead of this relay's own clock.
func (c *Core) clockOffsets(now, wallClock float64) []float64 {
	own := wallClock - now
	if c.membership != nil {
		c.membership.ClockOffset = own
	}
	offsets := []float64{own}
	for _, m := range c.aliveMembers(now) {
		if !math.IsNaN(m.ClockOffset) {
			offsets = append(offsets, m.ClockOffset)
		}
	}
	return offsets
}

// lowerMedian sorts the offsets and returns their median, which one wrong clock shifts by one position at most. Of
// two in the middle it returns the lower, that of the earlier clock: by an earlier clock backends have started later
// and are less warm.
func lowerMedian(offsets []float64) float64 {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// shiftRetryTimes returns the snapshot with its retry times converted to a clock that is the given number of
// milliseconds ahead. Stored snapshots have the times of the fleet's clock.
func shiftRetryTimes(s *relay.Snapshot, ahead float64) *relay.Snapshot {
	if ahead == 0 || len(s.RetryAt) == 0 {
		return s
	}
	shifted := *s
	shifted.RetryAt = make(map[uint64]float64, len(s.RetryAt))
	for key, at := range s.RetryAt {
		shifted.RetryAt[key] = at + ahead
	}
	return &shifted
}
