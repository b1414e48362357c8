package failover

import (
	"cmp"
	"slices"
)

// Policy runs at the leading coordinator and turns the relays' observations into proposals. Its state is not
// replicated: the next leader starts with the decision log and collects observations anew.
type Policy struct {
	zones        []Zone                       // names and regions as configured, sorted by name
	indices      map[string]int               // indices in zones, by zone name
	health       map[string]*zoneHealth       // health of each zone, by zone name
	observations map[string]timedObservations // latest observations of each relay, by relay name
	views        [][]zoneView                 // views by the index of the observing zone, then of the observed one
	loads        []zoneLoad                   // loads by the index of the zone
}

// NewPolicy returns a policy that decides on the given zones. It ignores their states and shares.
func NewPolicy(zones []Zone) *Policy {
	p := &Policy{observations: map[string]timedObservations{}}
	p.SetZones(zones)
	return p
}

// SetZones replaces the zones to decide on. Zones that were configured before keep their health, and new zones
// start as home. Removed zones are missing in the next proposal, which removes the orders for them.
func (p *Policy) SetZones(zones []Zone) {
	previousHealth := p.health
	p.zones = make([]Zone, 0, len(zones))
	p.health = map[string]*zoneHealth{}
	for _, z := range zones {
		p.zones = append(p.zones, Zone{Name: z.Name, Region: z.Region, State: Home, Share: 1})
		health := previousHealth[z.Name]
		if health == nil {
			health = newZoneHealth()
		}
		p.health[z.Name] = health
	}
	slices.SortFunc(p.zones, compareNames)
	p.indices = map[string]int{}
	p.views = make([][]zoneView, len(p.zones))
	for i, z := range p.zones {
		p.indices[z.Name] = i
		p.views[i] = make([]zoneView, len(p.zones))
	}
	p.loads = make([]zoneLoad, len(p.zones))
	for relay, o := range p.observations {
		if !containsZone(p.zones, o.Zone) {
			delete(p.observations, relay)
		}
	}
}

// evaluation holds the values that one call of Evaluate uses for all zones.
type evaluation struct {
	now          float64
	failureRates []float64 // failure rates by the index of the zone; NaN if too little is known
	commonCause  bool      // true if most zones fail, so that the cause must be one that they share
	emptied      []Zone    // zones emptied already or by this proposal
	waitFactor   float64   // multiplier of the waits of returning zones
}

// Evaluate returns the command to propose to the coordinators, and whether it differs from the decisions in the
// log and is valid.
func (p *Policy) Evaluate(now float64, log *DecisionLog) (command Command, changed bool) {
	p.aggregate(now)
	failureRates := p.failureRates()
	p.updateMeans(now, failureRates)
	e := evaluation{
		now:          now,
		failureRates: failureRates,
		commonCause:  p.hasCommonCause(failureRates),
		emptied:      emptiedZones(log.PolicyZones),
		waitFactor:   p.waitFactor(log.PolicyZones),
	}
	command.Demand, command.Capacity = p.demandAndCapacity()
	changed = p.evaluateZones(&e, log, &command)
	if p.updateSpilling(now, command.Zones, command.Demand) {
		changed = true
		command.Cause = cmp.Or(command.Cause, causeCapacity)
	}
	command.Cause = cmp.Or(command.Cause, causeZonesConfigured)
	divert(command.Zones, command.Demand, command.Capacity)
	return command, changed && validateProposal(command.Zones) == nil
}

// evaluateZones adds each zone with its next state to the command, and reports whether the zones differ from
// those in the log.
func (p *Policy) evaluateZones(e *evaluation, log *DecisionLog, command *Command) (changed bool) {
	decided := make(map[string]Zone, len(log.PolicyZones))
	for _, zone := range log.PolicyZones {
		decided[zone.Name] = zone
	}
	changed = len(log.PolicyZones) != len(p.zones)
	for i, configured := range p.zones {
		zone, isKnown := decided[configured.Name]
		if !isKnown {
			zone = configured
			changed = true
		}
		zone.Region = configured.Region
		next, reason := p.nextState(e, i, zone)
		if next.State != zone.State || next.Share != zone.Share {
			changed = true
			next.Reason = reason
			command.Cause = causeTransition(next, reason)
			if next.State == Emptied {
				e.emptied = append(e.emptied, next)
			}
		}
		command.Zones = append(command.Zones, next)
	}
	return changed
}

func emptiedZones(zones []Zone) (emptied []Zone) {
	for _, zone := range zones {
		if zone.State == Emptied {
			emptied = append(emptied, zone)
		}
	}
	return emptied
}

// mayEmpty reports whether a zone may be emptied in addition to those already emptied. Up to a third of all
// zones may be, or a whole region if another region has a healthy zone. The limit keeps a single fault from
// emptying one zone after the other.
func (p *Policy) mayEmpty(e *evaluation, zone Zone) bool {
	count := len(e.emptied) + 1
	if count <= max(1, len(p.zones)/3) {
		return count < len(p.zones)
	}
	if slices.ContainsFunc(e.emptied, func(z Zone) bool { return z.Region != zone.Region }) {
		return false
	}
	for i, other := range p.zones {
		if other.Region != zone.Region && e.failureRates[i] < healthyBelow {
			return true
		}
	}
	return false
}

// hasCommonCause reports whether more than half of the zones fail. The cause must then be one that they share,
// such as a slow store, and emptying zones can't help.
func (p *Policy) hasCommonCause(failureRates []float64) bool {
	failing := 0
	for i, zone := range p.zones {
		if failureRates[i] > degradedAbove || p.health[zone.Name].meanFailureRate > degradedAbove {
			failing++
		}
	}
	return 2*failing > len(p.zones)
}

// waitFactor returns the multiplier of the waits of emptied and returning zones. It shortens the waits while the
// load of the home zones together exceeds their target utilization, as the capacity of a waiting zone is then
// missing.
func (p *Policy) waitFactor(zones []Zone) float64 {
	load, capacity := 0.0, 0.0
	for _, zone := range zones {
		if zone.State == Home {
			zoneLoad, zoneCapacity := p.loadOf(zone.Name)
			load += zoneLoad
			capacity += zoneCapacity
		}
	}
	if load > targetUtilization*capacity {
		return overloadedWaitFactor
	}
	return 1
}

// updateMeans updates the mean failure rate of each zone.
func (p *Policy) updateMeans(now float64, failureRates []float64) {
	for i, zone := range p.zones {
		p.health[zone.Name].updateMean(now, failureRates[i])
	}
}

// demandAndCapacity returns the demand and the capacity of each zone, by zone name. A capacity that no relay
// reported is left out.
func (p *Policy) demandAndCapacity() (demand, capacity map[string]float64) {
	demand = map[string]float64{}
	capacity = map[string]float64{}
	for i, zone := range p.zones {
		demand[zone.Name] = p.loads[i].demand
		if p.loads[i].capacity > 0 {
			capacity[zone.Name] = p.loads[i].capacity
		}
	}
	return demand, capacity
}

// loadOf returns the load and the capacity of a zone, or zeros if they are unknown.
func (p *Policy) loadOf(zone string) (load, capacity float64) {
	i, isKnown := p.indices[zone]
	if !isKnown {
		return 0, 0
	}
	return p.loads[i].load, p.loads[i].capacity
}
