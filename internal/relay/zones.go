package relay

import "valeshift/balancer"

// This file is the part of the reducer for zones that are decided on in common: names become numbers here,
// and back.

// ZoneWeight is a zone that a part of the links is meant for; an open one takes others' too where those find no
// room.
type ZoneWeight struct {
	Zone            string  `json:"Zone"`
	Share           float64 `json:"Part"`
	AcceptsOverflow bool    `json:"Open"`
}

// setZoneWeights takes where links are meant to go from now on; none: as this relay finds.
func (m *StateMachine) setZoneWeights(all []ZoneWeight) {
	var parts []balancer.ZoneWeight
	for _, t := range all {
		parts = append(parts, balancer.ZoneWeight{Zone: m.zoneNumber(t.Zone), Weight: t.Share, AcceptsOverflow: t.AcceptsOverflow})
	}
	m.dispatcher.Balancer.SetZoneWeights(parts)
	m.log("directed", "zones", len(all))
}

// ZoneObservations is what this relay has seen of each zone since its start, and what its links weigh.
func (m *StateMachine) ZoneObservations(now float64) (map[string]balancer.ZoneObservation, float64) {
	all, demand := m.dispatcher.Balancer.ZoneObservations(now)
	named := map[string]balancer.ZoneObservation{}
	for name, z := range m.zones {
		if z < len(all) {
			named[name] = all[z]
		}
	}
	return named, demand
}
