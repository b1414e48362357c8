package balancer

import "math"

// maxZones is the number of zones that are observed: those with a number below it.
const maxZones = 256

// ZoneObservation is what this relay has observed of a zone: counts of attempts and polls since the relay
// started, and the present load and capacity of the zone's backends, in units of one warm backend's capacity.
type ZoneObservation struct {
	Attempts        float64 `json:"Tries"`
	FailedAttempts  float64 `json:"Failed"`
	Polls           float64 `json:"Probes"`
	UnansweredPolls float64 `json:"Silent"`
	Load            float64 `json:"Load"`
	Capacity        float64 `json:"Room"`
}

// ZoneWeight is the share of all sessions that a zone is to get.
type ZoneWeight struct {
	Zone            int     `json:"Zone"`
	Weight          float64 `json:"Part"` // share of all sessions, from 0 to 1
	AcceptsOverflow bool    `json:"Open"` // the zone takes sessions that have another target zone and find no room there
}

// zoneRouting holds the zone weights in force and the observations of each zone.
type zoneRouting struct {
	weights      []ZoneWeight      // empty: no weights are in force
	observations []ZoneObservation // by zone number
}

// SetZoneWeights sets the zone weights for the sessions that follow. With none, a session goes wherever there
// is room. The weights are decided elsewhere, for all relays. This departs from the paper, whose buckets
// (section IV-B) know no zones: while there are weights, each session draws a target zone first, and then a
// backend among that zone's buckets.
func (b *Balancer) SetZoneWeights(weights []ZoneWeight) { b.zoneRouting.weights = weights }

// allClosed reports whether no zone may get any session. Only an operator order closes all zones; the
// automatic decision never does.
func (r *zoneRouting) allClosed() bool {
	for _, zone := range r.weights {
		if zone.AcceptsOverflow || zone.Weight > 0 {
			return false
		}
	}
	return len(r.weights) > 0
}

// targetZone draws the session's target zone by the zone weights; -1: it has none. Sessions with the same
// affinityHash get the same zone.
func (b *Balancer) targetZone(session *Session) int {
	if len(b.zoneRouting.weights) == 0 {
		return -1
	}
	// Less than 1 if no zone has room for a part of the sessions; that part is spread in proportion to the weights.
	totalWeight := 0.0
	for _, zone := range b.zoneRouting.weights {
		totalWeight += zone.Weight
	}
	remaining := totalWeight * (1 - math.Exp(-exponentialDraw(b.affinityHash(session), 0)))
	for _, zone := range b.zoneRouting.weights {
		remaining -= zone.Weight
		if remaining < 0 {
			return zone.Zone
		}
	}
	return -1
}

// zoneAllows reports whether the zone weights allow a session with that target zone on the backend. A zone
// without a weight takes any session.
func (b *Balancer) zoneAllows(backend, targetZone int) bool {
	for _, zone := range b.zoneRouting.weights {
		if zone.Zone == b.zones[backend] {
			return zone.AcceptsOverflow || zone.Zone == targetZone
		}
	}
	return true
}

// observeAttempt counts a finished attempt for the backend's zone.
func (b *Balancer) observeAttempt(backend int, failed bool) {
	zone := b.zoneRouting.observation(b.zones[backend])
	if zone == nil {
		return
	}
	zone.Attempts++
	if failed {
		zone.FailedAttempts++
	}
}

// observePoll counts a finished poll for the backend's zone.
func (b *Balancer) observePoll(backend int, answered bool) {
	zone := b.zoneRouting.observation(b.zones[backend])
	if zone == nil {
		return
	}
	zone.Polls++
	if !answered {
		zone.UnansweredPolls++
	}
}

// observation returns the zone's observation, or nil if the zone's number is out of range.
func (r *zoneRouting) observation(zone int) *ZoneObservation {
	if !isObservedZone(zone) {
		return nil
	}
	r.observations = growToZone(r.observations, zone)
	return &r.observations[zone]
}

func isObservedZone(zone int) bool { return zone >= 0 && zone < maxZones }

func growToZone(zones []ZoneObservation, zone int) []ZoneObservation {
	for len(zones) <= zone {
		zones = append(zones, ZoneObservation{})
	}
	return zones
}

// ZoneObservations returns the observation of each zone, by zone number, and as demand the load of this
// relay's own sessions in units of one warm backend's capacity (0: the capacity is unknown).
func (b *Balancer) ZoneObservations(now float64) (zones []ZoneObservation, demand float64) {
	zones = append(zones, b.zoneRouting.observations...)
	for backend, state := range b.states {
		demand += b.usage.loads[backend]
		zone := b.zones[backend]
		if state != Ready || !isObservedZone(zone) {
			continue
		}
		zones = growToZone(zones, zone)
		if b.outliers.isHealthy(backend) {
			zones[zone].Load += b.effectiveLoad(backend, now)
			zones[zone].Capacity += b.slowStart.capacityShare(backend, now)
		}
	}
	if b.fleet.capacity > 0 {
		return zones, demand / b.fleet.capacity
	}
	return zones, 0
}
