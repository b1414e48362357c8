package failover

import (
	"cmp"
	"slices"
)

// Policy turns what relays observe into proposals, at the coordinator that leads. What it holds is lost with
// that coordinator: the next leader starts from the decision log and observes anew.
type Policy struct {
	zones        []Zone         // names and regions as configured, sorted by name
	indices      map[string]int // of zones, by name
	health       map[string]*zoneHealth
	observations map[string]timedObservations // the latest of each relay
	views        [][]zoneView                 // by the index of the observing zone and of the observed one
	loads        []zoneLoad                   // by the index of the zone
}

// NewPolicy decides on the given zones. Their states and shares are not read.
func NewPolicy(zones []Zone) *Policy {
	p := &Policy{observations: map[string]timedObservations{}}
	p.SetZones(zones)
	return p
}

// SetZones replaces the zones to decide on. Zones that stay keep their health; new ones begin as home; ones
// that are left out are not in the next proposal, which ends the orders on them.
func (p *Policy) SetZones(zones []Zone) {
	formerHealth := p.health
	p.zones = make([]Zone, 0, len(zones))
	p.health = map[string]*zoneHealth{}
	for _, z := range zones {
		p.zones = append(p.zones, Zone{Name: z.Name, Region: z.Region, State: Home, Share: 1})
		health := formerHealth[z.Name]
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

// evaluation is what is the same for all zones in one call of Evaluate.
type evaluation struct {
	now          float64
	failureRates []float64 // by the index of the zone; NaN: too little is known
	commonCause  bool      // most zones fail alike
	emptied      []Zone    // already, or by this proposal
	waitFactor   float64   // of the waits of zones that return
}

// Evaluate returns what to propose to the other coordinators, and whether it differs from what the log holds
// and may be proposed.
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

// evaluateZones puts the next state of each zone into the command, and reports whether any differs from what
// the log holds.
func (p *Policy) evaluateZones(e *evaluation, log *DecisionLog, command *Command) (changed bool) {
	held := make(map[string]Zone, len(log.PolicyZones))
	for _, zone := range log.PolicyZones {
		held[zone.Name] = zone
	}
	changed = len(log.PolicyZones) != len(p.zones)
	for i, configured := range p.zones {
		zone, isKnown := held[configured.Name]
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

// mayEmpty reports whether a zone may be emptied in addition to those that are: up to a third of all, or one
// whole region if there is a healthy zone in another. So that no single fault empties zone after zone.
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

// hasCommonCause reports whether most zones fail, so that the cause must be one that they share, as a slow
// store, and emptying zones can't help.
func (p *Policy) hasCommonCause(failureRates []float64) bool {
	failing := 0
	for i, zone := range p.zones {
		if failureRates[i] > degradedAbove || p.health[zone.Name].meanFailureRate > degradedAbove {
			failing++
		}
	}
	return 2*failing > len(p.zones)
}

// waitFactor shortens the waits of returning zones while those that are home are full together, as a zone
// that waits then costs service.
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

func (p *Policy) updateMeans(now float64, failureRates []float64) {
	for i, zone := range p.zones {
		p.health[zone.Name].updateMean(now, failureRates[i])
	}
}

// demandAndCapacity are the figures of each zone by its name; a capacity that no relay reported is left out.
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

// loadOf returns the load and the capacity of a zone; 0 if it is unknown.
func (p *Policy) loadOf(zone string) (load, capacity float64) {
	i, isKnown := p.indices[zone]
	if !isKnown {
		return 0, 0
	}
	return p.loads[i].load, p.loads[i].capacity
}
