package fleet

import (
	"fmt"
	"math"
	"slices"

	"valeshift/internal/recovery"
	"valeshift/internal/relay"
)

const (
	clockInterval = 1000.0 // between two comparisons of clocks
	// minClockOffset is the least change that is acted on: more than datagrams take, and than discovery's
	// answers, dated to a second, are off.
	minClockOffset = 1500.0
)

// fleetClock is the clock that all relays of the fleet agree on.
type fleetClock struct {
	fleetClockOffset float64 // ahead of this relay's own clock, as the relay was told
	clockDueAt       float64 // the next comparison
}

// updateClock compares this relay's clock with the fleet's, by which backends' start times are given, and tells
// the relay how far they are apart. Discovery's clock counts where its answers are dated (discoveryOffset is
// NaN elsewhere); else the median of this machine's wall clock and of those of the relays that are alive.
func (c *Core) updateClock(now, wallClock, discoveryOffset float64) []Action {
	if now < c.clockDueAt {
		return nil
	}
	if c.plan.Phase() >= recovery.Admitting { // before, each tick compares: backends that warm up wait for it
		c.clockDueAt = now + clockInterval
	}
	offsets := c.clockOffsets(now, wallClock)
	offset := lowerMedian(offsets)
	isDated := !math.IsNaN(discoveryOffset)
	if isDated {
		offset = discoveryOffset
	}
	if math.Abs(offset-c.fleetClockOffset) < minClockOffset {
		return nil
	}
	c.fleetClockOffset = offset
	ahead := -offset
	line := fmt.Sprintf("this relay's clock is ahead by %.0f ms, by %d relays' clocks, discovery's %t", ahead,
		len(offsets), isDated)
	return []Action{{Event: relay.ClockSkewMeasured{AheadMillis: ahead}}, {Log: line}}
}

// clockOffsets returns what this machine's wall clock and those of the relays that are alive are ahead of this
// relay's own clock.
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

// lowerMedian sorts the offsets and returns the median. One clock that is wrong moves it by one place only; of
// the two in the middle it is the earlier, by which backends have started later and so are less warm.
func lowerMedian(offsets []float64) float64 {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// shiftRetryTimes returns the snapshot with its retry times moved to a clock that is ahead by that many
// milliseconds. What is stored is by the fleet's clock.
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
