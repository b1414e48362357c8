package balancer

import "math"

// This file is the balancer's side of a decision in common on zones: what it has seen of each, and which
// part of its links is meant for which. The paper's buckets (section IV-B) know servers of one place; the
// departure is that each link draws a zone by the decision's parts first, and takes its turn among that
// zone's servers as ever. It acts only while Direct holds parts. What is decided comes from outside; nothing
// is decided here.

// ZoneObservation is what this relay has seen of a zone: tries and probes since its start, those without an answer
// in time, and what its servers hold and bear now, in what one of them bears.
type ZoneObservation struct {
	Attempts        float64 `json:"Tries"`
	FailedAttempts  float64 `json:"Failed"`
	Polls           float64 `json:"Probes"`
	UnansweredPolls float64 `json:"Silent"`
	Load            float64 `json:"Load"`
	Capacity        float64 `json:"Room"`
}

// ZoneWeight is a zone that a part of the links is meant for. An open one also takes links meant for others
// that find no room there.
type ZoneWeight struct {
	Zone            int     `json:"Zone"`
	Weight          float64 `json:"Part"`
	AcceptsOverflow bool    `json:"Open"`
}

// SetZoneWeights has links meant for zones by those parts from now on; none: wherever there is room, as ever.
func (b *Balancer) SetZoneWeights(parts []ZoneWeight) { b.zoneWeights = parts }

// allZonesClosed tells whether no zone is to have anything: an operators' order, as no decision by itself goes so far.
func (b *Balancer) allZonesClosed() bool {
	for _, d := range b.zoneWeights {
		if d.AcceptsOverflow || d.Weight > 0 {
			return false
		}
	}
	return len(b.zoneWeights) > 0
}

// targetZone is the zone that a link is meant for, or -1. Groups and keys that are kept together draw together.
func (b *Balancer) targetZone(l *Session) int {
	if len(b.zoneWeights) == 0 {
		return -1
	}
	all := 0.0 // the whole, but for what nobody has room for: that takes its chance with the rest
	for _, d := range b.zoneWeights {
		all += d.Weight
	}
	lot := all * (1 - math.Exp(-exponentialDraw(b.affinityHash(l), 0)))
	for _, d := range b.zoneWeights {
		if lot -= d.Weight; lot < 0 {
			return d.Zone
		}
	}
	return -1
}

// zoneAllows tells whether a server may have a link that is meant for that zone. One whose zone nobody has decided
// on may have any.
func (b *Balancer) zoneAllows(s, aim int) bool {
	for _, d := range b.zoneWeights {
		if d.Zone == b.zones[s] {
			return d.AcceptsOverflow || d.Zone == aim
		}
	}
	return true
}

// observeAttempt and asked count how tries and probes end, by zone.
func (b *Balancer) observeAttempt(s int, failed bool) {
	if look := b.zoneObservation(b.zones[s]); look != nil {
		if look.Attempts++; failed {
			look.FailedAttempts++
		}
	}
}

func (b *Balancer) observePoll(s int, ok bool) {
	if look := b.zoneObservation(b.zones[s]); look != nil {
		if look.Polls++; !ok {
			look.UnansweredPolls++
		}
	}
}

const maxZones = 256 // that are counted

func (b *Balancer) zoneObservation(zone int) *ZoneObservation {
	if zone < 0 || zone >= maxZones {
		return nil
	}
	for len(b.zoneObservations) <= zone {
		b.zoneObservations = append(b.zoneObservations, ZoneObservation{})
	}
	return &b.zoneObservations[zone]
}

// ZoneObservations gives what was seen of each zone, by its number, and what this relay's own links weigh together in
// what one server bears.
func (b *Balancer) ZoneObservations(now float64) (all []ZoneObservation, demand float64) {
	all = append(all, b.zoneObservations...)
	for s, c := range b.states {
		if z := b.zones[s]; c == Ready && z >= 0 && z < maxZones {
			for len(all) <= z {
				all = append(all, ZoneObservation{})
			}
			if b.outliers.isHealthy(s) {
				all[z].Load += b.effectiveLoad(s, now)
				all[z].Capacity += b.slowStart.capacityShare(s, now)
			}
		}
		demand += b.sessionLoads[s]
	}
	if b.capacity > 0 {
		return all, demand / b.capacity
	}
	return all, 0
}
