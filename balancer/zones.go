package balancer

import "math"

// maxZones is how many zones are observed.
const maxZones = 256

// ZoneObservation is what this relay has seen of a zone: attempts and polls since its start, and the load and
// capacity of its backends now, in what one warm backend bears.
type ZoneObservation struct {
	Attempts        float64 `json:"Tries"`
	FailedAttempts  float64 `json:"Failed"`
	Polls           float64 `json:"Probes"`
	UnansweredPolls float64 `json:"Silent"`
	Load            float64 `json:"Load"`
	Capacity        float64 `json:"Room"`
}

// ZoneWeight is a zone that a share of the sessions is meant for.
type ZoneWeight struct {
	Zone            int     `json:"Zone"`
	Weight          float64 `json:"Part"` // share of all sessions, from 0 to 1
	AcceptsOverflow bool    `json:"Open"` // the zone takes sessions meant for others that find no room there
}

// zoneRouting is what is decided on zones and what was seen of them.
type zoneRouting struct {
	weights      []ZoneWeight      // empty while no decision is in force
	observations []ZoneObservation // by number of the zone
}

// SetZoneWeights has sessions meant for zones by those weights from now on; none: wherever there is room. The
// weights are decided elsewhere, for all relays. The paper's buckets (section IV-B) know servers of one
// place; the departure, while there are weights, is that each session draws a zone first and takes its turn
// among that zone's backends.
func (b *Balancer) SetZoneWeights(weights []ZoneWeight) { b.zoneRouting.weights = weights }

// allClosed reports whether no zone is to have anything: an operators' order, as no decision by itself
// goes so far.
func (r *zoneRouting) allClosed() bool {
	for _, zone := range r.weights {
		if zone.AcceptsOverflow || zone.Weight > 0 {
			return false
		}
	}
	return len(r.weights) > 0
}

// targetZone is the zone that the session is meant for, or -1. Sessions of a group or key that decides draw
// alike.
func (b *Balancer) targetZone(session *Session) int {
	if len(b.zoneRouting.weights) == 0 {
		return -1
	}
	total := 0.0 // 1, but for what nobody has room for: that takes its chance with the rest
	for _, zone := range b.zoneRouting.weights {
		total += zone.Weight
	}
	left := total * (1 - math.Exp(-exponentialDraw(b.affinityHash(session), 0)))
	for _, zone := range b.zoneRouting.weights {
		left -= zone.Weight
		if left < 0 {
			return zone.Zone
		}
	}
	return -1
}

// zoneAllows reports whether the backend may have a session that is meant for the zone. One in a zone that
// nobody has decided on may have any.
func (b *Balancer) zoneAllows(backend, targetZone int) bool {
	for _, zone := range b.zoneRouting.weights {
		if zone.Zone == b.zones[backend] {
			return zone.AcceptsOverflow || zone.Zone == targetZone
		}
	}
	return true
}

// observeAttempt counts the end of an attempt for its zone.
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

// observePoll counts the end of a poll for its zone.
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

// observation returns the zone's counts, or nil for a number that is not observed.
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

// ZoneObservations returns what was seen of each zone, by its number, and the load of this relay's own
// sessions in what one warm backend bears (0: not known).
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
