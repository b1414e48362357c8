package relay

import "valeshift/balancer"

// ZoneWeight is the share of sessions that the coordinators mean for a zone.
type ZoneWeight struct {
	Zone            string  `json:"Zone"`
	Share           float64 `json:"Part"`
	AcceptsOverflow bool    `json:"Open"` // it takes sessions meant for other zones too, where those have no capacity
}

// setZoneWeights has sessions assigned to zones by these weights; none: as this relay finds.
func (m *StateMachine) setZoneWeights(weights []ZoneWeight) {
	var byNumber []balancer.ZoneWeight
	for _, w := range weights {
		byNumber = append(byNumber, balancer.ZoneWeight{
			Zone:            m.endpoints.zoneNumber(w.Zone),
			Weight:          w.Share,
			AcceptsOverflow: w.AcceptsOverflow,
		})
	}
	m.balancer().SetZoneWeights(byNumber)
	m.log("zone weights changed", "zones", len(weights))
}

// ZoneObservations is what this relay has seen of each zone since its start, and what its sessions weigh. It is called
// between events.
func (m *StateMachine) ZoneObservations(now float64) (byZone map[string]balancer.ZoneObservation, demand float64) {
	all, demand := m.balancer().ZoneObservations(now)
	byZone = map[string]balancer.ZoneObservation{}
	for name, number := range m.endpoints.zones {
		if number < len(all) {
			byZone[name] = all[number]
		}
	}
	return byZone, demand
}
