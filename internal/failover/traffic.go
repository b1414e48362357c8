package failover

import "math"

const (
	fullAbove         = 0.9    // of a zone's capacity: above that a share goes elsewhere
	targetUtilization = 0.8    // of a zone's capacity, up to which work is sent there
	minShareChange    = 0.05   // a share that changes by less stays as it is
	minFraction       = 0.001  // of the work near a zone: less is not diverted
	spillDelay        = 1000.0 // ms for which the share does not fit, before it changes
)

// updateSpilling has zones that are too full send a share elsewhere, and zones that have capacity again take
// it back. It reports whether any changed.
func (p *Policy) updateSpilling(now float64, zones []Zone, demand map[string]float64) (changed bool) {
	for i := range zones {
		if p.updateSpill(now, zones, i, demand[zones[i].Name]) {
			changed = true
		}
	}
	return changed
}

func (p *Policy) updateSpill(now float64, zones []Zone, index int, demand float64) (changed bool) {
	zone := &zones[index]
	if zone.State != Home && zone.State != Spilling {
		return false
	}
	load, capacity := p.loadOf(zone.Name)
	if capacity == 0 || demand == 0 {
		return false
	}
	share := 1.0
	if load > fullAbove*capacity || zone.State == Spilling {
		share = min(targetUtilization*capacity/demand, 1)
	}
	shareMismatch := &p.health[zone.Name].shareMismatch
	canServeAllAgain := share == 1 && zone.Share < 1
	if math.Abs(share-zone.Share) < minShareChange && !canServeAllAgain {
		shareMismatch.reset()
		return false
	}
	shareMismatch.update(now, true)
	if now < shareMismatch.since+spillDelay || !hasOtherHome(zones, index) {
		return false
	}
	shareMismatch.reset()
	if share == 1 {
		*zone = zone.with(Home, 1)
	} else {
		*zone = zone.with(Spilling, share)
	}
	zone.Reason = reasonCapacity(share)
	return true
}

func hasOtherHome(zones []Zone, index int) bool {
	for i, zone := range zones {
		if i != index && zone.State == Home {
			return true
		}
	}
	return false
}

// divert decides where the work near each zone goes that the zone does not serve itself: to zones that are
// home, of the same region first, as far as their capacity allows; what no zone has capacity for is unserved.
// Where no capacity is known the work is divided evenly.
func divert(zones []Zone, demand, capacity map[string]float64) {
	for i := range zones {
		zones[i].Diversions = nil
		zones[i].Unserved = 0
	}
	d := diversion{zones: zones, demand: demand, capacity: capacity, spare: spareCapacity(zones, demand, capacity)}
	for _, withinRegion := range []bool{true, false} {
		for i := range zones {
			d.divertFrom(i, withinRegion)
		}
	}
	for i := range zones {
		if rest := zones[i].undivertedShare(); rest >= minFraction {
			zones[i].Unserved = rest
		}
	}
}

// diversion is the state of one call of divert.
type diversion struct {
	zones    []Zone
	demand   map[string]float64
	capacity map[string]float64 // a zone without an entry has an unknown one
	spare    map[string]float64 // what zones that are home can still take
}

// spareCapacity is what each zone that is home can take beside the work near it.
func spareCapacity(zones []Zone, demand, capacity map[string]float64) map[string]float64 {
	spare := map[string]float64{}
	for _, zone := range zones {
		if zone.State == Home {
			spare[zone.Name] = max(targetUtilization*capacity[zone.Name]-demand[zone.Name], 0)
		}
	}
	return spare
}

// divertFrom sends what is left of one zone's work to the zones within its region, or to those outside.
func (d *diversion) divertFrom(from int, withinRegion bool) {
	zone := &d.zones[from]
	rest := zone.undivertedShare()
	if rest < minFraction {
		return
	}
	targets := d.targets(from, withinRegion)
	demand := d.demand[zone.Name]
	if demand > 0 && d.knowsCapacity(targets) {
		d.divertBySpare(zone, targets, rest, demand)
	} else {
		divertEvenly(zone, targets, rest)
	}
}

// targets are the names of the zones that can take work from another.
func (d *diversion) targets(from int, withinRegion bool) (names []string) {
	for i, zone := range d.zones {
		isWithin := zone.Region == d.zones[from].Region
		if i != from && zone.State == Home && isWithin == withinRegion {
			names = append(names, zone.Name)
		}
	}
	return names
}

func (d *diversion) knowsCapacity(zones []string) bool {
	for _, zone := range zones {
		if d.capacity[zone] > 0 {
			return true
		}
	}
	return false
}

// divertBySpare divides the rest in proportion to what the targets can still take, and takes it off that.
func (d *diversion) divertBySpare(zone *Zone, targets []string, rest, demand float64) {
	total := 0.0
	for _, target := range targets {
		total += d.spare[target]
	}
	fits := min(rest, total/demand)
	before := len(zone.Diversions)
	for _, target := range targets {
		zone.divertTo(target, fits*d.spare[target]/max(total, 1e-9))
	}
	for _, added := range zone.Diversions[before:] {
		d.spare[added.Zone] -= added.Fraction * demand
	}
}

func divertEvenly(zone *Zone, targets []string, rest float64) {
	for _, target := range targets {
		zone.divertTo(target, rest/float64(len(targets)))
	}
}

// divertTo sends a fraction of the zone's work to another, unless it is too small to matter.
func (z *Zone) divertTo(target string, fraction float64) {
	if fraction >= minFraction {
		z.Diversions = append(z.Diversions, TrafficShare{Zone: target, Fraction: fraction})
	}
}
