package failover

import "math"

const (
	fullAbove         = 0.9    // utilization above which a zone spills traffic to other zones
	targetUtilization = 0.8    // utilization up to which a zone is assigned traffic
	minShareChange    = 0.05   // smallest change of a zone's share, except back to all its local traffic
	minFraction       = 0.001  // smallest fraction of a zone's local traffic that is diverted
	spillDelay        = 1000.0 // ms for which a share must mismatch the capacity before it changes
)

// updateSpilling lowers the share of zones that are overloaded, so that the rest of their local traffic goes to
// other zones, and raises it again in zones that have regained capacity. It reports whether any zone changed.
func (p *Policy) updateSpilling(now float64, zones []Zone, demand map[string]float64) (changed bool) {
	for i := range zones {
		if p.updateZoneSpilling(now, zones, i, demand[zones[i].Name]) {
			changed = true
		}
	}
	return changed
}

// updateZoneSpilling updates the share of one zone if it is home or spilling, and reports whether it changed.
// The share is not lowered while no other zone is home.
func (p *Policy) updateZoneSpilling(now float64, zones []Zone, index int, demand float64) (changed bool) {
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
	if now < shareMismatch.since+spillDelay {
		return false
	}
	if share < zone.Share && !hasOtherHome(zones, index) {
		return false
	}
	shareMismatch.reset()
	if share == 1 {
		*zone = zone.withState(Home, 1)
	} else {
		*zone = zone.withState(Spilling, share)
	}
	zone.Reason = reasonCapacity(share)
	return true
}

// hasOtherHome reports whether a zone other than the one at the index is home.
func hasOtherHome(zones []Zone, index int) bool {
	for i, zone := range zones {
		if i != index && zone.State == Home {
			return true
		}
	}
	return false
}

// divert decides where the local traffic of each zone goes that the zone doesn't serve itself. It goes to home
// zones, first to those in the same region, as far as they have spare capacity. Traffic for which no zone has
// capacity is unserved. Among zones without any known capacity it is divided evenly.
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

// diversion is the state of one call of divert. Its maps are by zone name, and their unit is the capacity of
// one backend.
type diversion struct {
	zones    []Zone
	demand   map[string]float64 // load of each zone's local traffic
	capacity map[string]float64 // capacity of each zone; no entry if it is unknown
	spare    map[string]float64 // capacity that home zones have left for diverted traffic
}

// spareCapacity returns the load that each home zone can take in addition to its local traffic.
func spareCapacity(zones []Zone, demand, capacity map[string]float64) map[string]float64 {
	spare := map[string]float64{}
	for _, zone := range zones {
		if zone.State == Home {
			spare[zone.Name] = max(targetUtilization*capacity[zone.Name]-demand[zone.Name], 0)
		}
	}
	return spare
}

// divertFrom diverts the remaining traffic of one zone to zones within its region, or to those outside of it.
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

// targets returns the names of the home zones within or outside of the region of the zone at the index from,
// to which its traffic can be diverted.
func (d *diversion) targets(from int, withinRegion bool) (names []string) {
	for i, zone := range d.zones {
		isWithin := zone.Region == d.zones[from].Region
		if i != from && zone.State == Home && isWithin == withinRegion {
			names = append(names, zone.Name)
		}
	}
	return names
}

// knowsCapacity reports whether the capacity of at least one of the zones is known.
func (d *diversion) knowsCapacity(zones []string) bool {
	for _, zone := range zones {
		if d.capacity[zone] > 0 {
			return true
		}
	}
	return false
}

// divertBySpare divides the remaining traffic among the targets in proportion to their spare capacity, as far as
// that suffices, and reduces their spare capacity accordingly.
func (d *diversion) divertBySpare(zone *Zone, targets []string, rest, demand float64) {
	total := 0.0
	for _, target := range targets {
		total += d.spare[target]
	}
	divertible := min(rest, total/demand)
	before := len(zone.Diversions)
	for _, target := range targets {
		zone.divertTo(target, divertible*d.spare[target]/max(total, 1e-9))
	}
	for _, added := range zone.Diversions[before:] {
		d.spare[added.Zone] -= added.Fraction * demand
	}
}

// divertEvenly divides the remaining traffic evenly among the targets.
func divertEvenly(zone *Zone, targets []string, rest float64) {
	for _, target := range targets {
		zone.divertTo(target, rest/float64(len(targets)))
	}
}

// divertTo adds a diversion of a fraction of the zone's local traffic, unless it is less than minFraction.
func (z *Zone) divertTo(target string, fraction float64) {
	if fraction >= minFraction {
		z.Diversions = append(z.Diversions, TrafficShare{Zone: target, Fraction: fraction})
	}
}
